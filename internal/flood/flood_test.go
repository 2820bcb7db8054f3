package flood

import (
	"testing"
	"time"
)

// A run depends on nothing but the scenario and its seed.
func TestRunsRepeat(t *testing.T) {
	s := Floods()[0]
	s.Length = 25 * time.Second
	first, second := Run(Dispatcher(s), s), Run(Dispatcher(s), s)
	for name, c := range first.Classes {
		if d := second.Classes[name]; c.Good != d.Good || c.Refused != d.Refused || c.P99() != d.P99() {
			t.Errorf("%s differs: %+v and %+v", name, c, d)
		}
	}
}
