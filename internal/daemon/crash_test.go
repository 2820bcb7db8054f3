package daemon_test

import (
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against a task that crashes each worker that starts it and is started for ever,
// also if nobody who saw a crash owns the pool at the next one.
func TestTaskThatCrashesItsWorkers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after func(s *system) // called after each crash
	}{
		{"same owner", func(*system) {}},
		{"owner killed after each crash", func(s *system) {
			time.Sleep(400 * time.Millisecond) // until the crash is noticed, and before it is proved
			lost := s.owner("p1")
			s.kill(lost)
			s.start(lost)
			s.waitReady(lost)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			deadly := id(1) + ".0.0.1"
			s := newSystem(t, 3, mimic.Options{
				Pools:   []mimic.Pool{{Name: "p1", Hosts: 5}, {Name: "p2", Hosts: 1}},
				Deadly:  func(task string) bool { return task == deadly },
				Restart: time.Second,
			})
			p := s.processes[0]
			s.submit(p, "/labels/"+id(1), `{"spec":"300ms","steps":[{"count":4,"cpu":1000,"estimate_ms":300}]}`)
			s.submit(p, "/labels/"+id(2), `{"spec":"300ms","steps":[{"count":6,"cpu":1000,"estimate_ms":300}]}`)
			handled := 0
			s.waitFor("the job to be given up", 40*time.Second, func() bool {
				n := 0
				for _, r := range s.platform.Runs() {
					if r.Task == deadly && r.How == "lost" {
						n++
					}
				}
				if n > 3 {
					t.Fatalf("%d workers have crashed under %s", n, deadly)
				}
				if n > handled {
					handled = n
					tt.after(s)
				}
				body, _ := s.call("GET", s.other(s.owner("p1")), "/labels/"+id(1), "")
				return body == `{"state":"failed"}`
			})
			s.waitState(p, "/labels/"+id(2), "complete", 10*time.Second)
			t.Logf("%d workers crashed", handled)
			for _, want := range []string{`"msg":"job given up: a task crashes its workers"`, deadly} {
				s.waitFor("the log to hold "+want, 2*time.Second, func() bool { return strings.Contains(s.log(), want) })
			}
			s.check()
		})
	}
}

// log returns what all processes have logged.
func (s *system) log() string {
	var all strings.Builder
	for _, p := range s.processes {
		all.WriteString(p.log.String())
	}
	return all.String()
}
