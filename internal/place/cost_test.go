package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// busyBoard returns a board whose workers are full, with steps that wait for capacity
// and ended jobs that callers may still ask for, and the start orders of what runs.
func busyBoard(workers, waiting, ended int) (*testBoard, []place.StartOrder) {
	f := newTestBoard(0, workers)
	number := 0
	add := func(step jobs.Step) jobs.Job {
		number++
		j := newJob(0, step)
		j.ID = jobs.ID(fmt.Sprintf("%016x", number))
		f.add(j)
		return j
	}
	for range ended {
		j := add(batch(1, 1000))
		f.Cancel(j.ID, f.now)
		f.Written(j.ID, jobs.Cancelled)
	}
	for range workers {
		add(batch(4, 1000))
	}
	running := f.decide()
	for range waiting {
		add(batch(2, 1000))
	}
	f.decide()
	return f, running
}

// Guards against an owner that falls behind because each decision looks at every worker
// for every waiting step, and at everything that runs or has ended: after one end, a
// decision looks at each worker and each waiting step a few times at most.
func TestDecisionCostAfterOneEnd(t *testing.T) {
	const looks = 4 // at each worker and each waiting step
	for _, tt := range []struct{ workers, waiting, ended int }{
		{85, 300, 3000},
		{8 * 85, 8 * 300, 8 * 3000},
	} {
		f, running := busyBoard(tt.workers, tt.waiting, tt.ended)
		f.endAttempt(running[0], jobs.Done)
		before := f.Examined()
		if n := len(f.decide()); n != 1 {
			t.Fatalf("%d starts in the place of one task, want 1", n)
		}
		if have, want := f.Examined()-before, uint64(looks*(tt.workers+tt.waiting)); have > want {
			t.Errorf("%d workers, %d waiting steps, %d ended jobs: looked at %d, want at most %d",
				tt.workers, tt.waiting, tt.ended, have, want)
		}
	}
}

// Guards against decisions that cost as much when nothing waits as when everything does.
func TestDecisionCostWithoutWaitingSteps(t *testing.T) {
	f, running := busyBoard(8*85, 0, 8*3000)
	f.endAttempt(running[0], jobs.Done)
	before := f.Examined()
	f.decide()
	if have, want := f.Examined()-before, uint64(2*8*85); have > want {
		t.Errorf("looked at %d, want at most twice the workers, %d", have, want)
	}
}

// Guards against decisions that still cost the product of waiting steps and workers, or
// look at all that runs, for other kinds of steps and workers than those above.
func TestDecisionCostOfOtherSteps(t *testing.T) {
	const looks, workers, waiting = 4, 85, 300
	labelled, spread, lasting, copied := batch(2, 1000), batch(2, 1000), batch(2, 1000), batch(8, 500)
	labelled.Label, spread.MaxPerWorker, lasting.LongRunning, copied.Speculative = "none has it", 1, true, true
	for _, tt := range []struct {
		name    string
		running jobs.Step // one job for each worker
		waits   jobs.Step
	}{
		{"a label that no worker has, half of the workers free", batch(2, 1000), labelled},
		{"at most one task a worker, and full workers", batch(4, 1000), spread},
		{"lasting tasks, and full workers", batch(4, 1000), lasting},
		{"copies allowed of all that runs", copied, batch(2, 1000)},
	} {
		f := newTestBoard(0, workers)
		number := 0
		add := func(step jobs.Step) {
			number++
			j := newJob(0, step)
			j.ID = jobs.ID(fmt.Sprintf("%016x", number))
			f.add(j)
		}
		for range workers {
			add(tt.running)
		}
		running := f.decide()
		for range waiting {
			add(tt.waits)
		}
		f.decide()
		f.endAttempt(running[len(running)-1], jobs.Done)
		before := f.Examined()
		f.decide()
		if have, want := f.Examined()-before, uint64(looks*(workers+waiting)); have > want {
			t.Errorf("%s: looked at %d for one end, want at most %d", tt.name, have, want)
		}
	}
}

// quarantineBoard returns a board whose workers are full but for some that are quarantined,
// and with a task that waits.
func quarantineBoard(workers, quarantined int) *testBoard {
	f := newTestBoard(1000, workers)
	number := 0
	add := func(step jobs.Step) jobs.Job {
		number++
		j := newJob(0, step)
		j.ID = jobs.ID(fmt.Sprintf("%016x", number))
		f.add(j)
		return j
	}
	for i := range quarantined {
		f.failOn(i)
	}
	for range workers - quarantined {
		add(batch(4, 1000))
	}
	f.decide()
	add(batch(1, 1000))
	return f
}

// failOn lets a worker have as many failures as quarantine it, of jobs of their own.
func (f *testBoard) failOn(worker int) {
	for i := range place.DefaultPolicy().QuarantineFailures {
		j := newJob(0, batch(1, 1000))
		j.ID = jobs.ID(fmt.Sprintf("%08x%08x", 1+worker, i))
		f.add(j)
		f.Listed(key(worker), f.running(key(worker), jobs.Task{}), []place.Ended{{Task: jobs.Task{Job: j.ID}, Attempt: 1, Outcome: jobs.Failed}}, f.now, f.now)
		f.Cancel(j.ID, f.now)
	}
}

// Guards against a decision that goes by an earlier count of quarantined workers.
func TestQuarantineFollowsTheShareOfWorkers(t *testing.T) {
	const workers, quarantined = 5, 2 // at most half may be
	for _, tt := range []struct {
		name   string
		change func(f *testBoard)
		want   int // starts
	}{
		{"nothing changes", func(*testBoard) {}, 0},
		{"one more has failures", func(f *testBoard) { f.failOn(quarantined) }, 1},
		{"two others are removed", func(f *testBoard) {
			f.RemoveWorker(key(workers-1), f.now)
			f.RemoveWorker(key(workers-2), f.now)
		}, 2}, // one of a removed worker's tasks too
		{"one more has failures for some time", func(f *testBoard) {
			f.now = f.now.Add(time.Second)
			f.failOn(quarantined)
			f.decide() // a task starts on the first worker
			f.now = f.now.Add(place.DefaultPolicy().QuarantineTime - time.Millisecond)
			var ended []place.Ended
			for _, a := range f.Attempts(key(quarantined)) {
				ended = append(ended, place.Ended{Task: a.Task, Attempt: a.Number, Outcome: jobs.Stopped})
			}
			f.Listed(key(quarantined), nil, ended, f.now, f.now)
		}, 1}, // on a worker whose quarantine is over
	} {
		f := quarantineBoard(workers, quarantined)
		f.decide()
		tt.change(f)
		if n := len(f.decide()); n != tt.want {
			t.Errorf("%s: %d starts, want %d", tt.name, n, tt.want)
		}
	}
}

// Guards against decisions that cost the product of the workers with failures and of those
// that are tried for a task.
func TestDecisionCostWithQuarantinedWorkers(t *testing.T) {
	const workers, quarantined, looks = 680, 200, 4
	f := quarantineBoard(workers, quarantined)
	if have := f.Summary(f.now).Aside; have != quarantined {
		t.Fatalf("%d workers are quarantined, want %d", have, quarantined)
	}
	before := f.Examined()
	if n := len(f.decide()); n != 0 {
		t.Fatalf("%d tasks started on quarantined workers", n)
	}
	if have := f.Examined() - before; have > looks*workers {
		t.Errorf("looked at %d for a task that waits, want at most %d", have, looks*workers)
	}
}

func BenchmarkDecideWithQuarantinedWorkers(b *testing.B) {
	f := quarantineBoard(680, 200)
	for b.Loop() {
		f.Decide(f.now)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, waiting, ended int }{{85, 300, 3000}, {350, 300, 3000}, {680, 2400, 24000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			f, running := busyBoard(size.workers, size.waiting, size.ended)
			for b.Loop() {
				s := running[0]
				f.endAttempt(s, jobs.Done)
				f.now = f.now.Add(-9 * time.Millisecond)
				running = append(running[1:], f.decide()...)
				if len(running) < size.workers {
					b.StopTimer()
					f, running = busyBoard(size.workers, size.waiting, size.ended)
					b.StartTimer()
				}
			}
		})
	}
}

// turnCopied is the share of jobs with copies allowed in a pool of the large deployment.
const turnCopied = 0.3

// turn is a pool that gets a lot of work while a part of its workers is to be vacated.
type turn struct {
	*testBoard
	rng     *rand.Rand
	jobs    int
	running []place.StartOrder
}

// newTurn returns a turn at a number of workers, of which vacated are to be vacated. Three in
// eight of these run a long-running task, and one task of each job with such tasks is not
// available. Attempts of batch tasks, of which copies are allowed in a share of the jobs,
// have run for 1.5 times their estimate. No worker has room for another task.
func newTurn(workers, vacated, maxUnavailable, waiting int, copied float64) *turn {
	s := &turn{testBoard: newTestBoard(0, workers), rng: rand.New(rand.NewPCG(1, 1))}
	lasting := vacated * 3 / 8
	const lastingTasks = 25 // of a job
	for range (lasting + lastingTasks - 1) / lastingTasks {
		step := batch(lastingTasks, 900)
		step.LongRunning, step.MaxUnavailable, step.MaxPerWorker = true, maxUnavailable, 1
		s.addSteps(step)
	}
	moving := s.decide()
	for room := 4*workers - len(moving); room > 0; room -= 4 { // workers have room for four tasks
		step := batch(min(4, room), 900)
		step.Speculative = s.rng.Float64() < copied
		s.addSteps(step)
	}
	s.running = s.decide()
	for i, x := range moving {
		s.Listed(x.Worker, []place.Running{{Task: x.Task, Attempt: x.Attempt, Percent: min(100, 50+50*(i%lastingTasks))}}, nil, s.now, s.now)
		if i < lasting {
			s.SetVacate(x.Worker, true)
			vacated--
		}
	}
	for i := workers - 1; vacated > 0; i-- {
		s.SetVacate(key(i), true)
		vacated--
	}
	for range waiting {
		s.addSteps(batch(2, 3500))
	}
	s.now = s.now.Add(1500 * time.Millisecond)
	s.decide()
	return s
}

func (s *turn) addSteps(steps ...jobs.Step) {
	s.jobs++
	j := newJob(0, steps...)
	j.ID = jobs.ID(fmt.Sprintf("%016x", s.jobs))
	s.add(j)
}

// listed gives the board the unchanged list of a worker.
func (s *turn) listed(i int) {
	key := s.running[i%len(s.running)].Worker
	s.Listed(key, s.testBoard.running(key, jobs.Task{}), nil, s.now, s.now)
}

// Guards against an owner that runs out of processor time in a turn because each decision
// looks at all attempts and workers.
func TestDecisionCostInTurn(t *testing.T) {
	const workers, waiting = 112, 20
	for _, tt := range []struct {
		name           string
		vacated        int // of nine workers
		maxUnavailable int
		copied         float64
	}{
		{"all workers in use", 0, 1, 0},
		{"copies allowed", 0, 1, turnCopied},
		{"workers to be vacated", 4, 1, 0},
		{"workers to be vacated, whose long-running tasks may be stopped once there is room", 4, 2, 0},
	} {
		looks := func(workers int) uint64 {
			s := newTurn(workers, workers*tt.vacated/9, tt.maxUnavailable, waiting, tt.copied)
			s.listed(0)
			before := s.Examined()
			s.Decide(s.now)
			return s.Examined() - before
		}
		if small, large := looks(workers), looks(8*workers); large > 2*small {
			t.Errorf("%s: a decision after one list looked at %d with %d workers, at %d with %d", tt.name, large, 8*workers, small, workers)
		}
	}
}

func BenchmarkAdmissionInTurn(b *testing.B) {
	s := newTurn(900, 400, 1, 300, turnCopied)
	j := newJob(0, batch(1, 3500))
	for b.Loop() {
		s.now = s.now.Add(time.Second) // later than the sums are used
		s.CannotFinishInTime(j, s.now)
	}
}

func BenchmarkDecideInTurn(b *testing.B) {
	for _, workers := range []int{112, 900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			s := newTurn(workers, workers*4/9, 1, 300, turnCopied)
			before := s.Examined()
			for i := 0; b.Loop(); i++ {
				s.listed(i)
				s.Decide(s.now)
			}
			b.ReportMetric(float64(s.Examined()-before)/float64(b.N), "looks/op")
		})
	}
}
