package daemon_test

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against starts on a worker that has shrunk below what runs there, also by an owner
// that took over after it shrank, and against a worker that stays unused when it grows.
func TestWorkerShrinksWhileItRuns(t *testing.T) {
	s := newSystem(t, 2, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}, {Name: "p2", Hosts: 1}}})
	shrunk := s.platform.Workers()[0]
	p := s.processes[0]
	s.submit(p, "/labels/"+id(1), `{"spec":"lasting","steps":[{"count":2,"cpu":2000,"long_running":true,"anti_affinity":1}]}`)
	s.waitFor("a task on each worker", 5*time.Second, func() bool { return len(s.platform.Working()) == 2 })
	starts := func() int {
		n := 0
		for _, r := range s.platform.Runs() {
			if r.Worker == shrunk.ID && r.Task[:16] != id(1) {
				n++
			}
		}
		return n
	}
	shrunk.Resize(1000)
	time.Sleep(500 * time.Millisecond) // until the owner has read it
	s.submit(p, "/labels/"+id(2), `{"spec":"200ms","steps":[{"count":60,"cpu":1000,"estimate_ms":200}]}`)
	time.Sleep(500 * time.Millisecond)
	lost := s.owner("p1")
	s.kill(lost)
	p = s.other(lost)
	s.waitState(p, "/labels/"+id(2), "complete", 20*time.Second)
	if n := starts(); n != 0 {
		t.Errorf("%d tasks were started on a worker that had shrunk below what runs there", n)
	}
	shrunk.Resize(8000)
	time.Sleep(500 * time.Millisecond)
	s.submit(p, "/labels/"+id(3), `{"spec":"200ms","steps":[{"count":30,"cpu":1000,"estimate_ms":200}]}`)
	s.waitState(p, "/labels/"+id(3), "complete", 20*time.Second)
	if starts() == 0 {
		t.Error("the worker is not used after it has grown")
	}
	s.check()
}
