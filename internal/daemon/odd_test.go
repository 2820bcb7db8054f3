package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against a submission that the store does not take: its transaction failed again and
// again, and no other job of the pool was accepted meanwhile. Others of the kind ended the
// process, by the memory for their tasks.
func TestOddSubmissionsHoldNobodyUp(t *testing.T) {
	s := newSystem(t, 2, mimic.Options{})
	p := s.processes[0]
	for i, tt := range []string{
		`{"steps":[{"count":1,"cpu":100,"image":"` + strings.Repeat("x", 100_000) + `"}]}`,
		`{"steps":[{"count":1},{"count":1,"after":[0` + strings.Repeat(",0", 60_000) + `]}]}`,
		`{"steps":[{"count":4096},{"count":4096},{"count":4096},{"count":4096}],"repetitions":10000,"start_at_ms":1}`,
		`{"steps":[{"count":1,"estimate_ms":9223372036854775807}]}`,
		`{"steps":[{"count":1,"estimate_ms":18446744073710}]}`, // as a duration, 448 ms after an overflow
		`{"steps":[{"count":1,"target_ms":9223372036854}]}`,
		`{"steps":[{"count":1}],"repetitions":2,"interval_ms":18446744073710}`,
		`{"steps":[{"count":1}],"repetitions":2,"start_at_ms":9223372036854775807}`,
		`{"steps":[{"count":1,"affinity":` + strings.Repeat("[", 100_000) + `}]}`,
	} {
		if body, status := s.call(http.MethodPost, p, "/labels/"+id(i), tt); status != http.StatusBadRequest {
			t.Errorf("%.80s: %d %.200s, want 400", tt, status, body)
		}
	}
	began := time.Now()
	s.submit(p, "/labels/"+id(99), oneStep)
	if took := time.Since(began); took > time.Second {
		t.Errorf("a job was accepted after %v, want 1s", took)
	}
	s.waitState(p, "/labels/"+id(99), "complete", 5*time.Second)
	s.check()
}
