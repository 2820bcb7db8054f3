package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// crashAfter crashes a worker, whose connections are refused at once.
func (f *testBoard) crashAfter(d time.Duration, key string) place.CrashReport {
	f.now = f.now.Add(d)
	return f.crash(key)
}

// restartUnseen lets a worker start again while it is cut off.
func (f *testBoard) restartUnseen(key string) {
	f.SetSilent(key, true)
	f.now = f.now.Add(2500 * time.Millisecond)
	f.proveCrash(key)
}

// Guards against jobs that are shown as failed, though no attempt failed, because their workers
// went dark, were cut off, or crashed by chance within a second of a start (issue 45, LOST).
func TestJobOutlivesWorkersLostByChance(t *testing.T) {
	single, long, gang, copied := batch(1, 1000), batch(1, 1000), batch(2, 1000), batch(1, 1000)
	long.LongRunning, gang.Gang, copied.Speculative = true, true, true
	for _, step := range []struct {
		name string
		jobs.Step
	}{{"batch", single}, {"long-running", long}, {"gang", gang}, {"copied", copied}} {
		for _, loss := range []struct {
			name string
			once func(f *testBoard, s place.StartOrder)
		}{
			{"dark until its leases have expired", func(f *testBoard, s place.StartOrder) {
				f.lapse(s.Worker)
				f.proveCrash(s.Worker)
			}},
			{"dark, then its connections are refused", func(f *testBoard, s place.StartOrder) {
				f.lapse(s.Worker)
				f.crash(s.Worker)
			}},
			{"dark with its rack", func(f *testBoard, s place.StartOrder) {
				f.lapse(s.Worker)
				for i := range f.workers {
					if !f.gone[key(i)] && key(i) != s.Worker && worker(i).Rack == f.rackOf(s.Worker) {
						f.lapse(key(i))
						f.proveCrash(key(i))
					}
				}
				f.proveCrash(s.Worker)
			}},
			{"starts again behind a cut", func(f *testBoard, s place.StartOrder) { f.restartUnseen(s.Worker) }},
			{"crashes half a second after the start", func(f *testBoard, s place.StartOrder) { f.crashAfter(500*time.Millisecond, s.Worker) }},
		} {
			f := newTestBoard(0, 6)
			f.t = t
			j := newJob(1, step.Step)
			f.add(j)
			for n := range 8 {
				f.now = f.now.Add(time.Minute) // a long-running task may wait for its backoff
				loss.once(f, f.startOf(t, jobs.Task{Job: j.ID}))
				f.flush(t)
				if state, _ := f.State(j.ID); state == jobs.Aborted {
					t.Errorf("%s, %s: the job is given up after %d lost workers", step.name, loss.name, n+1)
					break
				}
				if n%3 == 2 {
					f.takeOver()
				}
			}
		}
	}
}

func (f *testBoard) rackOf(worker string) string {
	var i int
	if _, err := fmt.Sscanf(worker, "w%d@", &i); err != nil {
		f.t.Fatal(err)
	}
	return fmt.Sprintf("r%d", i/2)
}

// Guards against giving jobs up in a busy pool because single workers crash at random moments,
// whatever they run.
func TestJobsAreHardlyEverGivenUpForRandomCrashes(t *testing.T) {
	given, crashes := 0, 0
	for seed := range uint64(20) {
		f := newTestBoard(0, 8)
		random := rand.New(rand.NewPCG(seed, 1))
		for n := range 1200 { // a minute
			if n%8 == 0 {
				f.add(newJob(byte(n/8), batch(6, 600)))
			}
			f.decide()
			for _, a := range f.allAttempts() {
				if f.now.Sub(a.ConfirmedAt) > 600*time.Millisecond {
					f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
				}
			}
			if random.IntN(20) == 0 { // every second on average
				for i := range f.workers {
					if !f.gone[key(i)] && random.IntN(4) == 0 {
						f.SuspectCrash(key(i), f.now, f.now, f.now)
						given += len(f.proveCrash(key(i)).GivenUp)
						crashes++
						break
					}
				}
			}
			f.now = f.now.Add(50 * time.Millisecond)
		}
	}
	t.Logf("%d jobs given up after %d crashes", given, crashes)
	if given > 2 {
		t.Errorf("%d jobs given up after %d crashes, want at most 2", given, crashes)
	}
}

// Guards against jobs that are given up for crashes that an earlier version recorded without
// their evidence, and against such records that keep a deadly task from being given up.
func TestCrashesRecordedByAnEarlierVersion(t *testing.T) {
	f := newTestBoard(2000, 4)
	f.t = t
	j := newJob(1, batch(1, 1000))
	p, err := jobs.DecodeProgress(j, []byte(`{"begun":true,"tries":[{"task":"0000000000000001.0.0.0","crashes":[
		{"worker":"w8@1","attempt":1,"settled":true},{"worker":"w9@1","attempt":2,"alone":true}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	f.Add(j, p, f.now)
	if given := f.WorkerCrashed("w9@1", f.now).GivenUp; len(given) > 0 {
		t.Fatalf("given up %v for crashes without evidence", given)
	}
	task := jobs.Task{Job: j.ID}
	for n := 1; ; n++ {
		given := f.crash(f.startOf(t, task).Worker).GivenUp
		if len(given) > 0 && n == 1 {
			t.Fatalf("given up %v after one crash with evidence", given)
		}
		if len(given) > 0 {
			return
		}
		if n == 3 {
			t.Fatal("not given up after three crashes with evidence")
		}
	}
}

// Guards against a long-running task that crashes its workers and takes others along: it is
// started again and again, as it has to be, on one worker after the other and apart from tasks
// that have just been started.
func TestDeadlyLongRunningTaskIsStartedApart(t *testing.T) {
	f := newTestBoard(0, 4)
	f.t = t
	j := newJob(1, lasting(1, 100))
	f.add(j)
	task := jobs.Task{Job: j.ID}
	innocent := newJob(2, batch(4, 900))
	for n := range 8 {
		s := f.startOf(t, task)
		if n > 0 {
			for _, a := range f.Attempts(s.Worker) {
				if a.Task != task && f.now.Sub(a.ConfirmedAt) < place.DefaultPolicy().TrialTime {
					t.Errorf("start %d is beside %s, which was started %v before", n, a.Task, f.now.Sub(a.ConfirmedAt))
				}
			}
		}
		if n == 1 {
			f.add(innocent)
		}
		for _, other := range f.decide() {
			if other.Worker == s.Worker {
				t.Errorf("%s is started on the worker of start %d", other.Task, n)
			}
		}
		if given := f.crashAfter(10*time.Millisecond, s.Worker).GivenUp; len(given) > 0 {
			t.Fatalf("given up %v: a long-running task has no limit", given)
		}
		f.now = f.now.Add(3 * time.Second) // past its backoff
	}
	for _, a := range f.allAttempts() {
		if a.Task.Job == innocent.ID && a.Number > 1 {
			t.Errorf("%s is at attempt %d", a.Task, a.Number)
		}
	}
	f.flush(t)
	f.expectState(t, j, jobs.Active)
}

// Guards against jobs that are given up because a third of a pool's workers is lost again and
// again, each time just after their tasks were started together (soak, seed 603).
func TestJobsOutliveManyWorkersLostAtOnce(t *testing.T) {
	given, losses := 0, 0
	for seed := range uint64(10) {
		f := newTestBoard(0, 12)
		random := rand.New(rand.NewPCG(seed, 2))
		for n := range 1200 { // a minute
			if n%8 == 0 {
				f.add(newJob(byte(n/8), batch(9, 600)))
			}
			f.decide()
			for _, a := range f.allAttempts() {
				if f.now.Sub(a.ConfirmedAt) > 600*time.Millisecond {
					f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
				}
			}
			if random.IntN(20) == 0 {
				var lost []string
				for i := range f.workers {
					if !f.gone[key(i)] && random.IntN(3) == 0 {
						lost = append(lost, key(i))
						f.SuspectCrash(key(i), f.now, f.now, f.now)
					}
				}
				for _, key := range lost {
					given += len(f.proveCrash(key).GivenUp)
					losses++
				}
			}
			f.now = f.now.Add(50 * time.Millisecond)
		}
	}
	t.Logf("%d jobs given up after %d losses", given, losses)
	if given > 2 {
		t.Errorf("%d jobs given up after %d losses, want at most 2", given, losses)
	}
}

// Guards against an order that is blamed for the loss of a worker before it, which an owner
// notices late because it was stopped (soak, seed 603).
func TestOrderAfterTheLossIsNotBlamed(t *testing.T) {
	f := newTestBoard(0, 4)
	f.t = t
	j := newJob(1, batch(1, 1000))
	f.add(j)
	for n := range 6 {
		var ordered []place.StartOrder
		for range 100 {
			if ordered = f.Decide(f.now).Starts; len(ordered) > 0 {
				break
			}
			f.now = f.now.Add(10 * time.Millisecond)
		}
		if len(ordered) != 1 {
			t.Fatalf("ordered %v, want one start", ordered)
		}
		if given := f.crashAfter(time.Millisecond, ordered[0].Worker).GivenUp; len(given) > 0 {
			t.Fatalf("given up after %d workers on which it never ran", n+1)
		}
	}
}

// Guards against deadly tasks that crash their workers at the same moments and so clear each
// other for ever.
func TestTwoDeadlyTasksAreGivenUp(t *testing.T) {
	f := newTestBoard(0, 6)
	f.t = t
	x, y := newJob(1, batch(1, 3000)), newJob(2, batch(1, 3000))
	f.add(x, y)
	given := 0
	for range 3 {
		first, second := f.startOf(t, jobs.Task{Job: x.ID}), f.startOf(t, jobs.Task{Job: y.ID})
		if first.Worker == second.Worker {
			t.Fatal("both are on one worker")
		}
		f.now = f.now.Add(10 * time.Millisecond)
		f.SuspectCrash(first.Worker, f.now, f.now, f.now)
		f.SuspectCrash(second.Worker, f.now, f.now, f.now)
		f.now = f.now.Add(3 * time.Second)
		given += len(f.proveCrash(first.Worker).GivenUp) + len(f.proveCrash(second.Worker).GivenUp)
		if given == 2 {
			return
		}
	}
	t.Errorf("%d of 2 deadly jobs given up after three crashes each", given)
}
