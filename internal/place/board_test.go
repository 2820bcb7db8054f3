package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

var start = time.Unix(1_700_000_000, 0)

// testBoard is a board with workers and a simulated clock.
type testBoard struct {
	*place.Board
	now     time.Time
	orders  place.Orders
	workers int
	gone    map[string]bool // workers whose lifetimes have ended
	base    int             // of the attempt numbers
	t       *testing.T      // nil if no helper needs it
}

func newTestBoard(base, workers int) *testBoard {
	f := &testBoard{Board: place.NewBoard(place.DefaultPolicy(), base), now: start, workers: workers, base: base, gone: map[string]bool{}}
	for i := range workers {
		f.SetWorker(worker(i))
	}
	return f
}

func worker(i int) place.Worker {
	return place.Worker{
		Key: key(i), ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2),
		Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, Size: jobs.Resources{Millicores: 4000, MemoryMB: 8000},
	}
}

func key(i int) string { return fmt.Sprintf("w%d@1", i) }

func newJob(id byte, steps ...jobs.Step) jobs.Job {
	return jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%016x", id)), Spec: "spec", Steps: steps, Queue: "q", Pool: "p",
		Submitted: start, MaxAttempts: 2, Slack: 1.6, Target: 600 * time.Millisecond,
	}
}

func batch(count, cpu int) jobs.Step {
	return jobs.Step{Count: count, Size: jobs.Resources{Millicores: cpu, MemoryMB: 100}, Estimate: time.Second}
}

func (f *testBoard) add(js ...jobs.Job) {
	for _, j := range js {
		f.Add(j, jobs.NewProgress(j), f.now)
	}
}

// decide calls Decide and confirms every start.
func (f *testBoard) decide() []place.StartOrder {
	f.orders = f.Decide(f.now)
	for _, s := range f.orders.Starts {
		f.Started(s.Worker, s.Task, s.Attempt, f.now)
	}
	return f.orders.Starts
}

func (f *testBoard) endAttempt(s place.StartOrder, outcome jobs.Outcome) {
	f.now = f.now.Add(10 * time.Millisecond)
	f.Listed(s.Worker, f.running(s.Worker, s.Task), []place.Ended{{Task: s.Task, Attempt: s.Attempt, Outcome: outcome}}, f.now.Add(-time.Millisecond), f.now)
}

// running returns a worker's listing of running attempts, leaving out one task.
func (f *testBoard) running(key string, omit jobs.Task) []place.Running {
	var all []place.Running
	for _, a := range f.Attempts(key) {
		if a.Task != omit {
			all = append(all, place.Running{Task: a.Task, Attempt: a.Number, Percent: a.Percent})
		}
	}
	return all
}

func (f *testBoard) expectState(t *testing.T, j jobs.Job, want jobs.State) {
	t.Helper()
	ids, _ := f.Dirty()
	for _, id := range ids {
		_, s, err := f.EncodeProgress(id)
		if err != nil {
			t.Fatal(err)
		}
		f.Written(id, s)
	}
	if have, _ := f.State(j.ID); have != want {
		t.Errorf("job %s is %s, want %s", j.ID, have, want)
	}
}

func TestStepsRunInDependencyOrder(t *testing.T) {
	f := newTestBoard(0, 2)
	second := batch(1, 1000)
	second.After = []int{0}
	j := newJob(1, batch(3, 1000), second)
	f.add(j)
	first := f.decide()
	if len(first) != 3 {
		t.Fatalf("%d starts, want the 3 tasks of the first step", len(first))
	}
	f.expectState(t, j, jobs.Active)
	for _, s := range first {
		if more := f.decide(); len(more) != 0 {
			t.Fatalf("started %v before the first step was done", more)
		}
		f.endAttempt(s, jobs.Done)
	}
	last := f.decide()
	if len(last) != 1 || last[0].Task.Step != 1 {
		t.Fatalf("started %v, want the second step", last)
	}
	f.endAttempt(last[0], jobs.Done)
	f.expectState(t, j, jobs.Complete)
}

func TestCapacityIsNotExceeded(t *testing.T) {
	for _, tt := range []struct {
		in   jobs.Step
		want int // starts on two workers of 4 cores and 8,000 MB
	}{
		{batch(10, 1500), 4},
		{batch(10, 4000), 2},
		{batch(3, 4001), 0},
		{jobs.Step{Count: 9, Size: jobs.Resources{Millicores: 100, MemoryMB: 4000}}, 4},
		{jobs.Step{Count: 9, Size: jobs.Resources{Millicores: 9000, MemoryMB: 8000}, BestEffort: true, LongRunning: true}, 2},
		{jobs.Step{Count: 9, Size: jobs.Resources{Millicores: 100}, MaxPerWorker: 1}, 2},
		{jobs.Step{Count: 9, Size: jobs.Resources{Millicores: 100}, Label: "b"}, 0},
		{jobs.Step{Count: 3, Size: jobs.Resources{Millicores: 3000}, Gang: true}, 0},
		{jobs.Step{Count: 2, Size: jobs.Resources{Millicores: 3000}, Gang: true}, 2},
	} {
		f := newTestBoard(0, 2)
		f.add(newJob(1, tt.in))
		if have := len(f.decide()); have != tt.want {
			t.Errorf("%+v: %d starts, want %d", tt.in, have, tt.want)
		}
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	f := newTestBoard(0, 3)
	j := newJob(1, batch(1, 1000))
	f.add(j)
	for range j.MaxAttempts {
		starts := f.decide()
		if len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		f.endAttempt(starts[0], jobs.Failed)
	}
	if more := f.decide(); len(more) != 0 {
		t.Fatalf("started %v after %d failures", more, j.MaxAttempts)
	}
	f.expectState(t, j, jobs.Aborted)
}

// A failed attempt of an earlier owner is listed before the new owner has queued the
// step's tasks. The task must be queued once, not twice.
func TestEndListedBeforeStepIsQueued(t *testing.T) {
	f := newTestBoard(1000, 4)
	j := newJob(1, batch(1, 1000))
	f.add(j)
	task := jobs.Task{Job: j.ID}
	f.Listed(key(0), nil, []place.Ended{{Task: task, Attempt: 1, Outcome: jobs.Failed}}, f.now, f.now)
	if starts := f.decide(); len(starts) != 1 {
		t.Errorf("%d starts of one task, want 1", len(starts))
	}
}

func TestRunningTaskOfAnEarlierOwnerIsAdopted(t *testing.T) {
	f := newTestBoard(1000, 2)
	j := newJob(1, batch(2, 1000))
	f.add(j)
	task := jobs.Task{Job: j.ID}
	unexpected := f.Listed(key(0), []place.Running{{Task: task, Attempt: 7}}, nil, f.now, f.now)
	if len(unexpected) != 0 {
		t.Errorf("unexpected attempts %v, want none", unexpected)
	}
	starts := f.decide()
	if len(starts) != 1 || starts[0].Task.Index != 1 || starts[0].Attempt <= 1000 {
		t.Errorf("started %v, want the other task with an attempt above 1000", starts)
	}
}

func TestUnansweredStartIsNotRepeatedBeforeStop(t *testing.T) {
	f := newTestBoard(0, 2)
	f.add(newJob(1, batch(1, 1000)))
	s := f.Decide(f.now).Starts[0]
	f.StartUnanswered(s.Worker, s.Task, s.Attempt)
	o := f.Decide(f.now)
	if len(o.Starts) != 0 || len(o.Stops) != 1 {
		t.Fatalf("orders %+v, want one stop", o)
	}
	f.Listed(s.Worker, nil, nil, f.now.Add(time.Millisecond), f.now)
	if o := f.Decide(f.now); len(o.Starts) != 0 {
		t.Fatal("started again before the stop was answered")
	}
	f.StopAnswered(s.Worker, s.Task, s.Attempt, f.now)
	f.Listed(s.Worker, nil, nil, f.now, f.now)
	if o := f.Decide(f.now); len(o.Starts) != 0 {
		t.Fatal("started again on a listing that was asked for before the stop was answered")
	}
	f.Listed(s.Worker, nil, nil, f.now.Add(time.Millisecond), f.now)
	if o := f.Decide(f.now); len(o.Starts) != 1 || o.Starts[0].Attempt <= s.Attempt {
		t.Fatalf("orders %+v, want a later attempt", o)
	}
}

// Guards against a long-running task that is stopped although it runs, because the answer
// to its start was late: with another one away, callers lose two.
func TestLongRunningTaskWithALateAnswerRunsOn(t *testing.T) {
	for _, tt := range []struct {
		name  string
		runs  bool
		stops int
	}{{"it runs", true, 0}, {"it does not run", false, 1}} {
		f := newTestBoard(0, 2)
		f.add(newJob(1, jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 1000}, LongRunning: true, MaxUnavailable: 1}))
		s := f.Decide(f.now).Starts[0]
		f.StartUnanswered(s.Worker, s.Task, s.Attempt)
		stops := len(f.Decide(f.now).Stops)
		var running []place.Running
		if tt.runs {
			running = []place.Running{{Task: s.Task, Attempt: s.Attempt}}
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.Listed(s.Worker, running, nil, f.now, f.now)
		orders := f.Decide(f.now)
		if stops += len(orders.Stops); stops != tt.stops || len(orders.Starts) != 0 {
			t.Errorf("%s: %d stops and %d starts, want %d and none", tt.name, stops, len(orders.Starts), tt.stops)
		}
	}
}

func TestTasksOfSilentWorkerWaitForLeaseExpiry(t *testing.T) {
	f := newTestBoard(0, 2)
	f.add(newJob(1, batch(1, 1000)))
	s := f.decide()[0]
	f.SetSilent(s.Worker, true)
	f.now = f.now.Add(time.Minute)
	if more := f.decide(); len(more) != 0 {
		t.Fatalf("started %v while the first attempt may still run", more)
	}
	f.ExpireLeases(s.Worker, f.now)
	more := f.decide()
	if len(more) != 1 || more[0].Worker == s.Worker {
		t.Fatalf("started %v, want one start on the other worker", more)
	}
}

func TestLongRunningTasksMoveOneAtATime(t *testing.T) {
	f := newTestBoard(0, 4)
	j := newJob(1, jobs.Step{Count: 2, Size: jobs.Resources{Millicores: 1000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1})
	f.add(j)
	starts := f.decide()
	for _, s := range starts {
		f.now = f.now.Add(time.Second)
		f.Listed(s.Worker, []place.Running{{Task: s.Task, Attempt: s.Attempt, Percent: 100}}, nil, f.now, f.now)
	}
	for _, s := range starts {
		f.SetVacate(s.Worker, true)
	}
	f.decide()
	if len(f.orders.Stops) != 1 {
		t.Fatalf("%d stops, want 1 of 2", len(f.orders.Stops))
	}
	stopped := f.orders.Stops[0]
	f.endAttempt(place.StartOrder{Worker: stopped.Worker, Task: stopped.Task, Attempt: stopped.Attempt}, jobs.Stopped)
	again := f.decide()
	if len(again) != 1 || len(f.orders.Stops) != 0 {
		t.Fatalf("orders %+v, want one start and no stop", f.orders)
	}
	f.Listed(again[0].Worker, []place.Running{{Task: again[0].Task, Attempt: again[0].Attempt, Percent: 100}}, nil, f.now, f.now)
	f.decide()
	if len(f.orders.Stops) != 1 {
		t.Fatalf("%d stops once the first is available again, want 1", len(f.orders.Stops))
	}
}

// Two failed attempts of one task, made on two workers under an earlier owner, use up
// its attempts in whatever order the workers are listed. An end that is listed twice
// counts once.
func TestFailuresUnderAnEarlierOwnerCount(t *testing.T) {
	for _, tt := range []struct {
		in   [][2]int // worker and attempt, in the order listed
		want jobs.State
	}{
		{[][2]int{{0, 1}, {1, 2}}, jobs.Aborted},
		{[][2]int{{1, 2}, {0, 1}}, jobs.Aborted},
		{[][2]int{{0, 1}, {0, 1}}, jobs.Active},
	} {
		f := newTestBoard(1000, 4)
		j := newJob(1, batch(1, 1000))
		f.add(j)
		for _, e := range tt.in {
			f.Listed(key(e[0]), nil, []place.Ended{{Task: jobs.Task{Job: j.ID}, Attempt: e[1], Outcome: jobs.Failed}}, f.now, f.now)
		}
		f.decide()
		f.expectState(t, j, tt.want)
	}
}

// A worker on probation gets one batch task at a time, even while it runs
// long-running tasks, and gets more after a success.
func TestProbationEndsAfterSuccess(t *testing.T) {
	f := newTestBoard(0, 1)
	f.add(newJob(1, jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 100}, LongRunning: true}))
	f.decide()
	for id := byte(2); id < 5; id++ { // several jobs fail there
		f.add(newJob(id, batch(1, 100)))
		for _, s := range f.decide() {
			f.endAttempt(s, jobs.Failed)
		}
	}
	f.now = f.now.Add(time.Minute)
	f.add(newJob(9, batch(3, 100)))
	probe := f.decide()
	if len(probe) != 1 {
		t.Fatalf("%d starts on a worker on probation, want one", len(probe))
	}
	f.endAttempt(probe[0], jobs.Done)
	if more := f.decide(); len(more) < 2 {
		t.Errorf("%d starts after a success, want the rest", len(more))
	}
}

// A job that fails on every worker must not put all of them on probation.
func TestFailuresOfOneJobCountAgainstOneWorker(t *testing.T) {
	f := newTestBoard(0, 4)
	bad := newJob(1, batch(8, 1000))
	bad.MaxAttempts = 9
	f.add(bad)
	for _, s := range f.decide() {
		f.endAttempt(s, jobs.Failed)
	}
	if s := f.Summary(f.now); s.Doubtful > 1 {
		t.Errorf("%d workers on probation after one job's failures, want at most 1", s.Doubtful)
	}
}

// A long-running task may have become available since its worker last listed it. It
// must not be stopped while another task of its step is unavailable.
func TestTaskNotYetListedAsAvailableIsNotStopped(t *testing.T) {
	f := newTestBoard(0, 4)
	f.add(newJob(1, jobs.Step{Count: 2, Size: jobs.Resources{Millicores: 1000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}))
	for _, s := range f.decide() {
		f.SetVacate(s.Worker, true)
	}
	f.decide()
	if n := len(f.orders.Stops); n > 1 {
		t.Errorf("%d of 2 tasks stopped at once, want at most 1", n)
	}
}

// A task counts as stalled only if two listings show the same percentage, not if its
// worker's listings are missing for a while, for example because an answer was lost.
func TestMissingListingsAreNotAStall(t *testing.T) {
	f := newTestBoard(0, 2)
	j := newJob(1, batch(1, 1000))
	j.Steps[0].Estimate = 2 * time.Second
	f.add(j)
	s := f.decide()[0]
	list := func(percent int) {
		f.Listed(s.Worker, []place.Running{{Task: s.Task, Attempt: s.Attempt, Percent: percent}}, nil, f.now.Add(-time.Millisecond), f.now)
	}
	for _, tt := range []struct {
		name    string
		after   time.Duration
		percent int // listed; no listing if negative
		want    int // stops
	}{
		{"it runs", 100 * time.Millisecond, 5, 0},
		{"no listing", 2 * time.Second, -1, 0},
		{"listed again", 10 * time.Millisecond, 60, 0},
		{"the same percentage, too soon", time.Second, 60, 0},
		{"the same percentage", time.Second, 60, 1},
	} {
		f.now = f.now.Add(tt.after)
		if tt.percent >= 0 {
			list(tt.percent)
		}
		f.decide()
		if len(f.orders.Stops) != tt.want {
			t.Errorf("%s: stops %v, want %d", tt.name, f.orders.Stops, tt.want)
		}
	}
}

// A start that got no answer is followed by a stop. The task is started again once
// the worker has acknowledged the stop and no longer lists the attempt.
func TestUnansweredStartIsRepeatedAfterStop(t *testing.T) {
	f := newTestBoard(0, 2)
	f.add(newJob(1, batch(1, 1000)))
	s := f.Decide(f.now).Starts[0]
	f.StartUnanswered(s.Worker, s.Task, s.Attempt)
	o := f.Decide(f.now)
	if len(o.Starts) != 0 || len(o.Stops) != 1 || !o.Stops[0].Unconfirmed {
		t.Fatalf("after an unanswered start: %+v, want one stop with Unconfirmed", o)
	}
	f.StopAnswered(s.Worker, s.Task, s.Attempt, f.now)
	f.now = f.now.Add(10 * time.Millisecond)
	f.Listed(s.Worker, nil, nil, f.now.Add(-time.Millisecond), f.now)
	if again := f.Decide(f.now).Starts; len(again) != 1 || again[0].Attempt <= s.Attempt {
		t.Errorf("started %v after the stop was acknowledged, want a higher attempt", again)
	}
}

// Where a step allows copies, a task that is a straggler or on a silent worker gets a
// second attempt, but no third. The first to finish counts, the other is stopped.
func TestCopies(t *testing.T) {
	for _, tt := range []struct {
		name  string
		copy  bool // the step allows copies
		delay func(f *testBoard, s place.StartOrder)
		want  int // copies
	}{
		{"silent worker", true, func(f *testBoard, s place.StartOrder) {
			f.SetSilent(s.Worker, true)
			f.decide()
			f.now = f.now.Add(500 * time.Millisecond)
		}, 1},
		{"a worker that missed one call", true, func(f *testBoard, s place.StartOrder) {
			f.SetSilent(s.Worker, true)
			f.decide()
			f.now = f.now.Add(200 * time.Millisecond)
		}, 0},
		{"straggler", true, func(f *testBoard, s place.StartOrder) {
			f.now = f.now.Add(3500 * time.Millisecond) // its estimate is a second
			f.Listed(s.Worker, []place.Running{{Task: s.Task, Attempt: s.Attempt, Percent: 30}}, nil, f.now.Add(-time.Millisecond), f.now)
		}, 1},
		{"straggler in a queue whose tasks turn out to be short", true, func(f *testBoard, s place.StartOrder) {
			f.add(newJob(2, batch(60, 10)))
			for _, short := range f.decide() {
				f.endAttempt(short, jobs.Done)
				f.decide()
			}
			f.now = start.Add(2 * time.Second) // more than three times what the tasks of the queue take
		}, 1},
		{"silent worker, no copies allowed", false, func(f *testBoard, s place.StartOrder) {
			f.SetSilent(s.Worker, true)
			f.decide()
			f.now = f.now.Add(500 * time.Millisecond)
		}, 0},
	} {
		f := newTestBoard(0, 3)
		j := newJob(1, batch(1, 1000))
		j.Steps[0].Speculative = tt.copy
		f.add(j)
		first := f.decide()[0]
		tt.delay(f, first)
		copies := f.decide()
		if len(copies) != tt.want {
			t.Errorf("%s: %d copies, want %d", tt.name, len(copies), tt.want)
			continue
		}
		if tt.want == 0 {
			continue
		}
		if copies[0].Worker == first.Worker || copies[0].Attempt <= first.Attempt {
			t.Errorf("%s: copy %+v of %+v", tt.name, copies[0], first)
		}
		if more := f.decide(); len(more) != 0 {
			t.Errorf("%s: a third copy %v", tt.name, more)
		}
		f.endAttempt(copies[0], jobs.Done)
		f.decide()
		if len(f.orders.Stops) != 1 || f.orders.Stops[0].Attempt != first.Attempt {
			t.Errorf("%s: stops %v, want the first attempt's", tt.name, f.orders.Stops)
		}
		f.expectState(t, j, jobs.Complete)
	}
}

// A copy waits for capacity when the first attempt is removed. The task must be
// queued once, not twice.
func TestWaitingCopyIsNotQueuedTwice(t *testing.T) {
	f := newTestBoard(0, 2)
	full := newJob(1, batch(1, 4000))
	j := newJob(2, batch(1, 4000))
	j.Steps[0].Speculative = true
	f.add(full, j)
	var first place.StartOrder
	for _, s := range f.decide() {
		if s.Task.Job == j.ID {
			first = s
		}
	}
	f.SetSilent(first.Worker, true)
	f.decide()
	f.now = f.now.Add(time.Second)
	f.decide() // a copy is queued, but no worker has capacity
	f.ExpireLeases(first.Worker, f.now)
	f.SetWorker(worker(0))
	f.SetWorker(worker(1))
	f.ExpireLeases(key(0), f.now)
	f.ExpireLeases(key(1), f.now)
	n := 0
	for _, s := range f.decide() {
		if s.Task.Job == j.ID {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d starts of a task, want 1", n)
	}
}

// Where copies are allowed, a new owner starts one without waiting for workers that
// have not answered yet, and accepts a later end of the earlier owner's attempt.
func TestCopyAfterTakeover(t *testing.T) {
	f := newTestBoard(1000, 2)
	j := newJob(1, batch(1, 1000))
	j.Steps[0].Speculative = true
	f.add(j)
	f.SetUnconfirmedUntil(f.now.Add(4 * time.Second))
	copies := f.decide()
	if len(copies) != 1 {
		t.Fatalf("%d starts before all workers answered, want 1", len(copies))
	}
	other := key(0)
	if copies[0].Worker == other {
		other = key(1)
	}
	f.now = f.now.Add(10 * time.Millisecond)
	f.Listed(other, nil, []place.Ended{{Task: copies[0].Task, Attempt: 7, Outcome: jobs.Done}}, f.now, f.now)
	f.expectState(t, j, jobs.Complete)
	if f.decide(); len(f.orders.Stops) != 1 || len(f.orders.Starts) != 0 {
		t.Errorf("orders %+v, want one stop of the copy", f.orders)
	}
}
