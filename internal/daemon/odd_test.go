package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/seeds"
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

// Guards against new work on a worker whose entry has become odd, against the loss of what runs
// there, and against a worker that is not used again once its entry is.
func TestEntryTurnsOddAndBack(t *testing.T) {
	for _, tt := range []struct {
		name, entry string
		odd         time.Duration // for which it is odd; after 2.5 s the worker counts as removed
	}{
		{"deeply nested, for a moment", string(seeds.Nested(20_000)), 500 * time.Millisecond},
		{"port out of range, for long", `{"service":"p1","address":"127.0.0.1:70000","zone":"z1","state":"ready","capacity":{"cpu":8000,"mem_mb":16000},"labels":["a","r0"],"born":%d}`, 3500 * time.Millisecond},
		{"another pool in the same life", `{"service":"p2","address":%q,"zone":"z1","state":"ready","capacity":{"cpu":8000,"mem_mb":16000},"labels":["a","r0"],"born":%d}`, 500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSystem(t, 2, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}, {Name: "p2", Hosts: 1}}})
			p := s.processes[0]
			s.submit(p, "/labels/"+id(1), `{"spec":"6s","steps":[{"count":5,"cpu":1500,"estimate_ms":6000}]}`) // leaves 500 of one worker
			s.waitFor("the tasks to run", 3*time.Second, func() bool { return len(s.platform.Runs()) == 5 })
			odd := s.platform.Working()
			if len(odd) != 1 {
				t.Fatalf("tasks on %d workers, want 1", len(odd))
			}
			submit := func(n int) (worker string) { // of a task that fits best into the 500
				s.submit(p, "/labels/"+id(n), `{"spec":"50ms","steps":[{"count":1,"cpu":500,"estimate_ms":50}]}`)
				s.waitState(p, "/labels/"+id(n), "complete", 5*time.Second)
				for _, r := range s.platform.Runs() {
					if strings.HasPrefix(r.Task, id(n)) {
						worker = r.Worker
					}
				}
				return worker
			}
			entry := tt.entry
			switch strings.Count(entry, "%") {
			case 1:
				entry = fmt.Sprintf(entry, odd[0].Born())
			case 2:
				entry = fmt.Sprintf(entry, odd[0].Addr(), odd[0].Born())
			}
			odd[0].Garble(entry)
			time.Sleep(tt.odd) // long enough for the owner to read the entry
			if w := submit(2); w == odd[0].ID {
				t.Errorf("a task was started on %s while its entry was odd", w)
			}
			odd[0].Show()
			time.Sleep(500 * time.Millisecond)
			if w := submit(3); w != odd[0].ID {
				t.Errorf("a task was started on %s, want %s, whose entry is whole again", w, odd[0].ID)
			}
			s.waitState(p, "/labels/"+id(1), "complete", 10*time.Second)
			if n := len(s.platform.Runs()); n != 7 {
				t.Errorf("%d runs, want 7", n)
			}
			s.check()
		})
	}
}

// Guards against the report of other operators: odd entries among those of the workers end the
// processes that read the list, or stop them from following it. Entries of workers that do not
// exist, and copies of one under another id, take no tasks.
func TestOddEntriesAmongThoseOfTheWorkers(t *testing.T) {
	s := newSystem(t, 2, mimic.Options{})
	lost := s.owner("p1")
	p := s.other(lost)
	worker := s.platform.Workers()[0]
	whole := fmt.Sprintf(`{"service":"p1","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,"state":"ready","capacity":{"cpu":8000,"mem_mb":16000,"gpu":0},"labels":["a","r0"],"sequence":1,"born":%d}`, worker.Born())
	copied := strings.Replace(whole, "127.0.0.1:9", worker.Addr(), 1)
	rows := seeds.Odd(whole)
	for i, row := range rows {
		s.platform.Store.Put("servers", "", fmt.Sprintf("odd-%d", i), row)
	}
	for _, key := range []string{"a b", "a\nb", "a@1@2", "", "i-\u2028", "copy"} {
		s.platform.Store.Put("servers", "", key, []byte(copied))
	}
	s.submit(p, "/labels/"+id(1), `{"spec":"200ms","steps":[{"count":12,"cpu":1000,"estimate_ms":200}]}`)
	s.waitState(p, "/labels/"+id(1), "complete", 10*time.Second)
	s.kill(lost) // the next owner reads the whole table, registrations included
	s.submit(p, "/labels/"+id(2), oneStep)
	s.waitState(p, "/labels/"+id(2), "complete", 10*time.Second)
	s.platform.Store.Forget() // the whole table is read again
	newcomer := s.platform.Workers()[1]
	newcomer.Hide()
	time.Sleep(500 * time.Millisecond)
	newcomer.Show()
	s.submit(p, "/labels/"+id(3), `{"spec":"200ms","steps":[{"count":24,"cpu":1000,"estimate_ms":200}]}`)
	s.waitState(p, "/labels/"+id(3), "complete", 10*time.Second)
	s.check()
	if n := strings.Count(p.log.String(), "decoding a worker entry failed"); n == 0 || n > 2*len(rows) {
		t.Errorf("%d lines about %d odd entries", n, len(rows))
	}
}
