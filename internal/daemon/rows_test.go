package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a process that gets all pools because its row says that it has more
// processor time than any host, and against one that can't be called.
func TestOddRowsOfProcesses(t *testing.T) {
	logger, _ := test.NewNullLogger()
	for row, want := range map[string]bool{
		`{"addr":"10.0.0.1:7075","life":"a","processor":0.4}`:   true,
		`{"addr":"10.0.0.1:7075","life":"a"}`:                   true,
		`{"addr":"10.0.0.1:0","life":"a"}`:                      false,
		`{"addr":"10.0.0.1:7075","life":"a","processor":1e300}`: false,
		`{"addr":"10.0.0.1:7075","life":"a","processor":-1}`:    false,
		`{"addr":"10.0.0.1:7075"}`:                              false,
		`{"addr":7,"life":"a"}`:                                 false,
		`null`:                                                  false,
	} {
		d := New(platform.Settings{Node: "self"}, logrus.NewEntry(logger))
		d.applyMemberRow(platform.Row{Table: tableMember, Key: "other", Value: []byte(row), Version: 1})
		if (d.peers["other"] != nil) != want {
			t.Errorf("%s: peer %+v", row, d.peers["other"])
		}
	}
}

// Guards against a deadline that overflows, so that the caller is refused at once.
func TestDeadlineOfACaller(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1000": 850 * time.Millisecond, "100": 50 * time.Millisecond, "": defaultCallerTimeout - answerMargin, "-5": defaultCallerTimeout - answerMargin,
		"9223372036854775807": maxCallerTimeout - answerMargin, "9223372036854": maxCallerTimeout - answerMargin, "1e99": defaultCallerTimeout - answerMargin,
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(platform.DeadlineHeader, text)
		if got := callerTimeout(r); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
