package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// oneQueueConfig has no pool on standby, so that all hosts stay in use, and targets that
// no job misses, so that none is refused.
const oneQueueConfig = `{"version":1,"routes":[
{"name":"labels","host":"a.example","prefix":"/labels/","service":"p1","timeout_ms":3000,"target_duration_ms":60000,"priority":0,"max_attempts":3,"slack_factor":1.6},
{"name":"trucks","host":"a.example","prefix":"/labels/trucks/","service":"p1","timeout_ms":3000,"target_duration_ms":60000,"priority":1,"max_attempts":2,"slack_factor":1.6}],
"services":[{"name":"p1","enforces_capacity":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// throttle lets a process run for a share of each cycle of 100 ms, until the returned
// function is called.
func (s *system) throttle(p *process, share float64) (release func()) {
	const cycle = 100 * time.Millisecond
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			_ = p.command.Process.Signal(syscall.SIGSTOP) // an error means that the process has ended
			time.Sleep(time.Duration(float64(cycle) * (1 - share)))
			_ = p.command.Process.Signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(time.Duration(float64(cycle) * share)):
			}
		}
	})
	return func() {
		close(done)
		wait.Wait()
	}
}

// A pool's owner has a fraction of a core, and a backlog waits: long-running tasks that
// fail run again within 3 s, no lease expires on a worker that answers, and callers get
// the states of their jobs.
func TestOwnerShortOfProcessorTime(t *testing.T) {
	for _, tt := range []struct {
		hosts int
		share float64 // of a core
	}{{85, 0.2}, {85, 0.1}, {8 * 85, 0.2}} {
		t.Run(fmt.Sprintf("%d hosts, %g of a core", tt.hosts, tt.share), func(t *testing.T) {
			testOwnerShortOfProcessorTime(t, tt.hosts, tt.share)
		})
	}
}

func testOwnerShortOfProcessorTime(t *testing.T, hosts int, share float64) {
	const (
		lasting  = 24
		batch    = 400 // jobs
		restart  = 3 * time.Second
		failures = 3
	)
	// A host has room for ten batch tasks and a long-running one.
	s := newConfiguredSystem(t, 2, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: hosts}}, Millicores: 33000}, oneQueueConfig, "GOMAXPROCS=1")
	owner := s.owner("p1")
	entry := s.other(owner)
	s.submit(entry, "/labels/"+id(1), fmt.Sprintf(`{"spec":"lasting","steps":[{"count":%d,"cpu":1000,"anti_affinity":1,"long_running":true,"max_unavailable":1}]}`, lasting))
	s.waitFor("long-running tasks to run", 5*time.Second, func() bool { return len(s.platform.Runs()) == lasting })

	const body = `{"spec":"640ms","steps":[{"count":8,"cpu":3200,"estimate_ms":640},{"count":8,"cpu":3200,"estimate_ms":640,"after":[0]}]}`
	var wait sync.WaitGroup
	var submitted atomic.Int64
	submitUntil := func(done func(n int) bool) {
		for range 16 {
			wait.Go(func() {
				for n := int(submitted.Add(1)); !done(n); n = int(submitted.Add(1)) {
					s.submit(entry, "/labels/"+id(100+n), body)
				}
			})
		}
	}
	submitUntil(func(n int) bool { return n > batch })
	wait.Wait()
	release := s.throttle(owner, share*slowdown)
	defer release()

	var states, unanswered atomic.Int64
	var done atomic.Bool
	submitUntil(func(int) bool {
		time.Sleep(500 * time.Millisecond) // 32 jobs a second
		return done.Load()
	})
	for worker := range 16 {
		wait.Go(func() {
			for i := worker; !done.Load(); i += 16 {
				time.Sleep(50 * time.Millisecond) // 320 requests a second
				states.Add(1)
				if _, status := s.call(http.MethodGet, entry, "/labels/"+id(100+1+i%batch), ""); status != http.StatusOK {
					unanswered.Add(1)
				}
			}
		})
	}
	var failed sync.WaitGroup
	for n := range failures {
		time.Sleep(time.Second)
		task := fmt.Sprintf("%s.0.0.%d", id(1), n)
		if !s.failTask(task) {
			t.Errorf("%s does not run", task)
			continue
		}
		began := time.Now()
		failed.Go(func() {
			for time.Since(began) < restart {
				if s.runs(task) {
					t.Logf("%s runs again after %v", task, time.Since(began).Round(time.Millisecond))
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%s failed and did not run again within %v", task, restart)
		})
	}
	failed.Wait()
	done.Store(true)
	wait.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d requests for the state of a job had no answer", n, states.Load())
	}
	ends := map[string]int{}
	for _, r := range s.platform.Runs() {
		ends[r.How]++
	}
	if ends["lapsed"] > 0 {
		t.Errorf("%d runs ended because a lease expired, though all workers answer", ends["lapsed"])
	}
	t.Logf("%d requests; ends of runs %v; lines: %d workers do not answer, %d starts without an answer, %d times taken over", states.Load(), ends,
		strings.Count(owner.log.String(), "worker does not answer"), strings.Count(owner.log.String(), "no answer to a start"), strings.Count(entry.log.String(), "pool taken over"))
	s.check()
}

// An owner's process is stopped while answers to starts arrive, until after their timeout:
// the answers are there when it goes on, so that no start counts as unanswered and no
// worker as silent.
func TestAnswersThatArriveWhileTheOwnerIsStopped(t *testing.T) {
	s := newConfiguredSystem(t, 1, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 16}}}, oneQueueConfig)
	p := s.processes[0]
	const job = `{"spec":"100ms","steps":[{"count":32,"cpu":4000,"estimate_ms":100}]}`
	s.submit(p, "/labels/"+id(1), job) // opens the connections
	s.waitState(p, "/labels/"+id(1), "complete", 5*time.Second)
	for n, tries := 2, 0; n <= 4; tries++ {
		if tries == 20 {
			t.Fatal("the process could not be stopped between starts and their timeout")
		}
		before := p.log.String()
		for _, w := range s.platform.Workers() {
			w.Silence(true)
		}
		began := time.Now()
		path := "/labels/" + id(100*tries+n)
		s.submit(p, path, job)
		time.Sleep(100 * time.Millisecond) // for the starts to be sent
		s.signal(p, syscall.SIGSTOP)
		inTime := time.Since(began) < 200*time.Millisecond // before any start times out
		for _, w := range s.platform.Workers() {
			w.Silence(false)
		}
		time.Sleep(600 * time.Millisecond)
		s.signal(p, syscall.SIGCONT)
		s.waitState(p, path, "complete", 5*time.Second)
		if !inTime {
			continue
		}
		n++
		lines := p.log.String()[len(before):]
		if n := strings.Count(lines, "no answer to a start"); n > 0 {
			t.Errorf("%d starts counted as unanswered, want none", n)
		}
		if n := strings.Count(lines, "worker does not answer"); n > 0 {
			t.Errorf("%d workers counted as silent, want none", n)
		}
	}
	s.check()
}
