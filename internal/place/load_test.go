package place_test

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// In an overloaded queue, jobs that can meet their objective go first, then late
// ones, then expired ones.
func TestOrderUnderOverload(t *testing.T) {
	f := newTestBoard(0, 1)
	f.now = start.Add(20 * time.Second)
	for i, age := range []time.Duration{20 * time.Second, 4 * time.Second, 0} { // objective 2.2 s, expires after 6.6 s
		j := newJob(byte(1+i), batch(1, 4000))
		j.Submitted = f.now.Add(-age)
		f.add(j)
	}
	for _, want := range []byte{3, 2, 1} {
		starts := f.decide()
		if len(starts) != 1 || starts[0].Task.Job != newJob(want).ID {
			t.Fatalf("started %v, want job %d", starts, want)
		}
		f.endAttempt(starts[0], jobs.Done)
	}
}

// At ten times the capacity of the pool, jobs are accepted while they can finish
// before they expire or there is free capacity, and refused after that.
func TestAdmissionUnderOverload(t *testing.T) {
	f := newTestBoard(0, 2) // 8 cores
	refused := 0
	for i := range 100 {
		j := newJob(byte(1+i), batch(4, 1000)) // 4 core seconds, expires after 6.6 s
		refuse, retry := f.CannotFinishInTime(j, f.now)
		if refuse {
			refused++
			if retry < time.Second || retry > 10*time.Second {
				t.Fatalf("retry after %v, want 1 s to 10 s", retry)
			}
			continue
		}
		f.add(j)
		f.decide()
	}
	if accepted := 100 - refused; accepted < 13 || accepted > 40 {
		t.Errorf("%d jobs accepted, want from 13, which 8 cores finish in 6.6 s, to 40, three times as many in case the pool grows", accepted)
	}
}

// Jobs were refused at the begin of a load peak, for at least a second each, while the hosts
// that would run them were on their way.
func TestJobsAreAcceptedWhileHostsAreOnTheirWay(t *testing.T) {
	accepted := func(growth int, age time.Duration) (n int) {
		f := newTestBoard(0, 2) // 8 cores
		f.SetGrowth(growth, f.now.Add(-age))
		for i := range 200 {
			j := newJob(byte(1+i), batch(4, 1000)) // 4 core seconds, expires after 6.6 s
			if refused, _ := f.CannotFinishInTime(j, f.now); refused {
				break
			}
			f.add(j)
			f.decide()
			n++
		}
		return n
	}
	alone, growing := accepted(0, 0), accepted(24_000, 0)
	if growing < 3*alone {
		t.Errorf("%d jobs accepted while 24 cores are on their way to a pool of 8, want some four times the %d without them", growing, alone)
	}
	if forgotten := accepted(24_000, 5*time.Second); forgotten != alone {
		t.Errorf("%d jobs accepted with 24 cores that were on their way 5 s ago, want %d as without them", forgotten, alone)
	}
}

// Best-effort tasks slow down at once when a latency-sensitive task on the same
// worker nears its target, and speed up again gradually.
func TestBestEffortTasksYield(t *testing.T) {
	f := newTestBoard(0, 1)
	f.add(newJob(1,
		jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 1000}, LongRunning: true, Target: 100 * time.Millisecond},
		jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 3000}, LongRunning: true, BestEffort: true},
	))
	starts := f.decide()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	pace := 100
	list := func(tail int) {
		f.now = f.now.Add(500 * time.Millisecond)
		var running []place.Running
		for _, s := range starts {
			r := place.Running{Task: s.Task, Attempt: s.Attempt, Percent: 100}
			if s.Task.Step == 0 {
				r.Load = tail
			}
			running = append(running, r)
		}
		f.Listed(key(0), running, nil, f.now, f.now)
		for _, p := range f.Decide(f.now).Paces {
			pace = p.Percent
		}
	}
	for _, tt := range []struct{ tail, want int }{{50, 100}, {95, 40}, {120, 16}, {130, 6}, {140, 0}, {70, 0}, {30, 10}, {30, 20}} {
		if list(tt.tail); pace != tt.want {
			t.Errorf("pace %d at a tail latency of %d ms, want %d", pace, tt.tail, tt.want)
		}
	}
}

// No occurrence of a repeating job starts before it is due.
func TestRepetitionsRunWhenDue(t *testing.T) {
	f := newTestBoard(0, 2)
	j := newJob(1, batch(1, 1000))
	j.Repetitions, j.FirstAt, j.Every = 3, start.Add(time.Second), time.Second
	f.add(j)
	ran := 0
	for ms := 0; ms <= 3500; ms += 100 {
		f.now = start.Add(time.Duration(ms) * time.Millisecond)
		for _, s := range f.decide() {
			if due := j.Due(s.Task.Occurrence); f.now.Before(due) {
				t.Errorf("occurrence %d started %v early", s.Task.Occurrence, due.Sub(f.now))
			}
			ran++
			f.endAttempt(s, jobs.Done)
		}
	}
	if ran != 3 {
		t.Errorf("%d runs, want 3", ran)
	}
	f.expectState(t, j, jobs.Complete)
}

// A step of a queue that needs advice starts only on workers with a ticket.
func TestStepsWaitForTickets(t *testing.T) {
	f := newTestBoard(0, 3)
	f.SetAdvised(map[string]bool{"q": true})
	j := newJob(1, batch(2, 1000))
	f.add(j)
	o := f.Decide(f.now)
	if len(o.Starts) != 0 || len(o.Advice) != 1 || len(o.Advice[0].Workers) != 3 {
		t.Fatalf("orders %+v, want one request for advice on three workers", o)
	}
	f.Advised(o.Advice[0], map[string]string{"w1": "ticket"}, f.now.Add(3*time.Second), f.now)
	for _, s := range f.Decide(f.now).Starts {
		if s.Worker != key(1) || s.Ticket != "ticket" {
			t.Errorf("started %+v, want the worker with a ticket", s)
		}
	}
}

// When load increases, the pool estimates most of the millicores it will need within
// half a second if many small jobs arrive, and does not take one large job for a
// trend.
func TestArrivalRate(t *testing.T) {
	const work = 8000 // millicore seconds of a small job
	for _, tt := range []struct {
		name     string
		jobs     int // in half a second
		tasks    int // per job, 1 s on one core each
		low, top int // millicores
	}{
		{"forty small jobs a second", 20, 8, 200_000, 330_000},
		{"one large job", 1, 64, 0, 75_000},
	} {
		f := newTestBoard(0, 2)
		for i := range tt.jobs {
			f.now = start.Add(time.Duration(i) * 25 * time.Millisecond)
			j := newJob(byte(1+i), batch(tt.tasks, work/8))
			j.Submitted = f.now
			f.add(j)
		}
		if have := f.Load(f.now).Rate; have < tt.low || have > tt.top {
			t.Errorf("%s: rate %d, want %d to %d", tt.name, have, tt.low, tt.top)
		}
	}
}

// Guards against an owner that binds more tasks to workers than it can start: their starts grow
// old in its queues and are placed again, and the room that they claim keeps hosts from
// the pools that could use them.
func TestStartsBeyondTheLimitWaitOnTheBoard(t *testing.T) {
	f := newTestBoard(0, 10)
	f.add(newJob(1, batch(30, 1000)), newJob(2, lasting(2, 100)))
	f.SetStartLimit(5)
	batchStarts, lastingStarts := 0, 0
	for _, s := range f.decide() {
		if s.Task.Job == newJob(1).ID {
			batchStarts++
		} else {
			lastingStarts++
		}
	}
	if batchStarts != 5 || lastingStarts != 2 {
		t.Errorf("%d batch and %d long-running tasks started, want 5 and 2: the limit is for batch tasks", batchStarts, lastingStarts)
	}
	if l := f.Load(f.now); !l.StartLimited {
		t.Error("the load does not tell that tasks wait for their owner and not for a worker")
	}
	f.SetStartLimit(100)
	if starts := f.decide(); len(starts) != 25 {
		t.Errorf("%d tasks started, want the other 25", len(starts))
	}
	f.now = f.now.Add(time.Second)
	f.decide()
	if l := f.Load(f.now); l.StartLimited {
		t.Error("the load tells of a limit that no longer holds tasks back")
	}
}

// Guards against a pool that gets no hosts although it is full, since its decision has started
// as many tasks as it may.
func TestFullPoolIsNotStartLimited(t *testing.T) {
	f := newTestBoard(0, 1)
	f.add(newJob(1, batch(10, 1000)))
	f.SetStartLimit(4)
	f.decide()
	if f.Load(f.now).StartLimited {
		t.Error("the tasks are said to wait for their owner; no worker has room for them")
	}
}
