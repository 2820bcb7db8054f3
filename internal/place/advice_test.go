package place_test

import (
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// testAdvisor answers a board's requests for advice.
type testAdvisor struct {
	allowed  []string // ids of workers
	validity time.Duration
	fails    func(q place.AdviceOrder) bool // nil for never
	named    map[string]int                 // requests by the id of a worker that they named
	requests int
	longest  int // most workers in a request
}

func newTestAdvisor(allowed ...string) *testAdvisor {
	return &testAdvisor{allowed: allowed, validity: 3 * time.Second, named: map[string]int{}}
}

// answer answers the requests of a board's last decision.
func (s *testAdvisor) answer(f *testBoard) {
	for _, q := range f.orders.Advice {
		s.requests++
		s.longest = max(s.longest, len(q.Workers))
		tickets := map[string]string{}
		for _, id := range q.Workers {
			s.named[id]++
			if slices.Contains(s.allowed, id) {
				tickets[id] = "ticket"
			}
		}
		if s.fails != nil && s.fails(q) {
			f.AdviceFailed(q, f.now)
			continue
		}
		f.Advised(q, tickets, f.now.Add(s.validity), f.now)
	}
}

// run makes a board decide every 20 ms for a time and returns what it started.
func (s *testAdvisor) run(f *testBoard, span time.Duration) []place.StartOrder {
	var starts []place.StartOrder
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		starts = append(starts, f.decide()...)
		s.answer(f)
	}
	return starts
}

// newAdvisedBoard returns a board with a job that needs advice.
func newAdvisedBoard(workers int, step jobs.Step) *testBoard {
	f := newTestBoard(0, workers)
	f.SetAdvised(map[string]bool{"q": true})
	f.add(newJob(1, step))
	return f
}

// Guards against tasks that never start because the advice service is asked about the first
// workers only, and they may not run them.
func TestAdviceCoversAllWorkers(t *testing.T) {
	for _, workers := range []int{1, 24, 25, 30, 124, 125, 350} {
		f := newAdvisedBoard(workers, batch(1, 1000))
		last := worker(0) // by key
		for i := range workers {
			if w := worker(i); w.Key > last.Key {
				last = w
			}
		}
		s := newTestAdvisor(last.ID)
		starts := s.run(f, time.Second)
		if len(starts) != 1 || starts[0].Worker != last.Key || starts[0].Ticket != "ticket" {
			t.Errorf("%d workers: started %+v, want one task on the worker that may run it", workers, starts)
		}
		if s.longest > 100 {
			t.Errorf("%d workers: a request names %d, the service allows 100", workers, s.longest)
		}
		for id, n := range s.named {
			if n != 1 {
				t.Errorf("%d workers: %d requests named %s, want 1", workers, n, id)
			}
		}
	}
}

// Guards against an advice service that is asked again without a pause: a step that no worker
// may run, and tickets that have expired when they arrive.
func TestAdviceIsNotAskedForWithoutAPause(t *testing.T) {
	for _, tt := range []struct {
		name     string
		advisor  *testAdvisor
		validity time.Duration
		most     int // requests in 10 s
	}{
		{"no worker is allowed", newTestAdvisor(), 3 * time.Second, 2},
		{"tickets that have expired", newTestAdvisor("w1"), -time.Millisecond, 10},
		{"the service fails", &testAdvisor{named: map[string]int{}, fails: func(place.AdviceOrder) bool { return true }}, 0, 10},
	} {
		f := newAdvisedBoard(30, batch(1, 1000))
		tt.advisor.validity = tt.validity
		if starts := tt.advisor.run(f, 10*time.Second); len(starts) != 0 {
			t.Errorf("%s: started %+v", tt.name, starts)
		}
		if tt.advisor.requests > tt.most {
			t.Errorf("%s: %d requests in 10 s, want at most %d", tt.name, tt.advisor.requests, tt.most)
		}
	}
}

// Guards against tasks that wait for the workers that are known to be allowed, which are full,
// while others that are allowed too are idle.
func TestAdviceIsAskedForWhileAllowedWorkersAreFull(t *testing.T) {
	f := newAdvisedBoard(60, batch(4, 4000))
	s := newTestAdvisor("w0", "w8", "w9") // the first and the last by key
	if starts := s.run(f, time.Second); len(starts) != 3 {
		t.Errorf("%d tasks started, want one on each of the three workers", len(starts))
	}
	gang := newAdvisedBoard(60, jobs.Step{Count: 3, Size: jobs.Resources{Millicores: 4000}, Gang: true})
	if starts := newTestAdvisor("w0", "w8", "w9").run(gang, time.Second); len(starts) != 3 {
		t.Errorf("%d members of a gang started, want 3", len(starts))
	}
}

// Guards against one worker about which every request fails, so that no other is asked about.
func TestFailedAdviceTurnsToTheOtherWorkers(t *testing.T) {
	for _, workers := range []int{2, 10, 150} {
		f := newAdvisedBoard(workers, batch(1, 1000))
		s := newTestAdvisor(worker(workers - 1).ID)
		s.fails = func(q place.AdviceOrder) bool { return slices.Contains(q.Workers, "w0") }
		if starts := s.run(f, 20*time.Second); len(starts) != 1 {
			t.Errorf("%d workers: %d tasks started, want 1", workers, len(starts))
		}
	}
}

// A worker that starts anew, or that joins the pool, is asked about; tickets are renewed when
// they expire.
func TestAdviceFollowsTheWorkers(t *testing.T) {
	f := newAdvisedBoard(2, batch(1, 1000))
	s := newTestAdvisor("w1", "w2")
	w := worker(1)
	w.Closed = true
	f.SetWorker(w)
	if starts := s.run(f, time.Second); len(starts) != 0 {
		t.Fatalf("started %+v on a worker that is not allowed", starts)
	}
	f.SetWorker(worker(2))
	if starts := s.run(f, time.Second); len(starts) != 1 || starts[0].Worker != key(2) {
		t.Fatalf("started %+v, want the worker that joined", starts)
	}
	f.RemoveWorker(key(2), f.now)
	w = worker(2)
	w.Key = "w2@2"
	f.SetWorker(w)
	if starts := s.run(f, time.Second); len(starts) != 1 || starts[0].Worker != "w2@2" || s.named["w2"] != 2 {
		t.Fatalf("started %+v after %d requests about w2, want its new lifetime and a ticket of its own", starts, s.named["w2"])
	}
	f.RemoveWorker("w2@2", f.now)
	f.SetWorker(worker(1))
	full := newJob(2, batch(1, 4000))
	full.Queue, full.Priority = "unadvised", -1
	f.add(full)
	s.run(f, 10*time.Second) // all tickets expire
	f.Cancel(full.ID, f.now)
	f.Listed(key(1), nil, nil, f.now, f.now)
	f.now = f.now.Add(time.Second)
	f.Listed(key(1), nil, nil, f.now, f.now)
	if starts := s.run(f, time.Second); len(starts) != 1 || starts[0].Worker != key(1) {
		t.Fatalf("started %+v, want the worker whose ticket was renewed", starts)
	}
}

// Guards against an advice service that refuses calls because too many wait.
func TestFewAdviceRequestsAreUnderWay(t *testing.T) {
	f := newTestBoard(0, 10)
	f.SetAdvised(map[string]bool{"q": true})
	for i := range 100 {
		f.add(newJob(byte(i+1), batch(1, 100)))
	}
	f.decide()
	if n := len(f.orders.Advice); n == 0 || n > 16 {
		t.Errorf("%d requests at the same time, want some, and at most half of the 32 that may wait", n)
	}
	s := newTestAdvisor("w1", "w2")
	s.answer(f)
	if starts := s.run(f, 5*time.Second); len(starts) < 80 {
		t.Errorf("%d of 100 jobs started on the 80 places that are allowed", len(starts))
	}
}

// Guards against long-running tasks that are stopped in order to move and whose starts are then
// rejected, because the tickets of their step have expired.
func TestLongRunningTasksMoveWithNewTickets(t *testing.T) {
	step := jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 1000}, LongRunning: true, MaxUnavailable: 1}
	f := newAdvisedBoard(2, step)
	s := newTestAdvisor("w0", "w1")
	starts := s.run(f, time.Second)
	if len(starts) != 1 {
		t.Fatalf("started %+v, want one task", starts)
	}
	first := starts[0]
	s.run(f, 10*time.Second)
	before := s.requests
	f.Listed(first.Worker, []place.Running{{Task: first.Task, Attempt: first.Attempt}}, nil, f.now, f.now)
	w := worker(0)
	if first.Worker == key(1) {
		w = worker(1)
	}
	w.Draining = true
	f.SetWorker(w)
	for range 10 {
		f.decide()
		s.answer(f)
		if len(f.orders.Stops) == 1 {
			if s.requests == before {
				t.Error("the task is stopped before a worker has a valid ticket")
			}
			return
		}
		f.now = f.now.Add(20 * time.Millisecond)
	}
	t.Error("the task is not moved")
}

// Guards against a ticket that a worker rejects and that is sent to it again and again.
func TestRejectedTicketIsReplaced(t *testing.T) {
	f := newAdvisedBoard(1, batch(1, 1000))
	s := newTestAdvisor("w0")
	s.validity = time.Hour
	rejected := 0
	for range 100 {
		f.orders = f.Decide(f.now)
		for _, o := range f.orders.Starts {
			rejected++
			f.TicketRejected(o.Worker, o.Task, o.Attempt, f.now)
		}
		s.answer(f)
		f.now = f.now.Add(20 * time.Millisecond)
	}
	if rejected == 0 || s.requests != rejected && s.requests != rejected+1 || rejected > 14 {
		t.Errorf("%d starts and %d requests in 2 s, want a new ticket for each start, with pauses of 150 ms", rejected, s.requests)
	}
}

// Guards against accepted jobs that never run once their queue is dropped from the configuration,
// since their starts carry no tickets (review/13), also in a process that has never known the
// queue, and for jobs that were stored before the advice of their queue was.
func TestAdviceOutlastsTheQueue(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name          string
		known, stored bool // this owner has known the queue; the job's row tells
	}{
		{"dropped", true, true}, {"dropped before a takeover", false, true}, {"dropped, and the job is of an earlier version", true, false},
	} {
		f := newTestBoard(0, 2)
		if tt.known {
			f.SetAdvised(map[string]bool{"q": true, "other": false})
		}
		j := newJob(1, batch(2, 1000))
		j.Advised = tt.stored
		f.add(j)
		f.SetAdvised(map[string]bool{"other": false})
		s, without, with := newTestAdvisor(worker(0).ID, worker(1).ID), 0, 0
		for end := f.now.Add(2 * time.Second); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
			for _, start := range f.decide() {
				if start.Ticket == "" {
					without++
					f.TicketRejected(start.Worker, start.Task, start.Attempt, f.now)
					continue
				}
				with++
			}
			s.answer(f)
		}
		most := 0
		if !tt.stored {
			most = 2 // both are ordered before the first answer
		}
		if with != 2 || without > most {
			t.Errorf("%s: %d starts with a ticket and %d without, want 2 and at most %d", tt.name, with, without, most)
		}
	}
}

// Guards against a policy that outlasts its end: the queue is still there, and needs no advice.
func TestAdviceEndsWithTheQueuesPolicy(t *testing.T) {
	t.Parallel()
	f := newTestBoard(0, 2)
	j := newJob(1, batch(2, 1000))
	j.Advised = true
	f.SetAdvised(map[string]bool{"q": false})
	f.add(j)
	if starts := f.decide(); len(starts) != 2 {
		t.Errorf("%d tasks were started, want 2", len(starts))
	}
}
