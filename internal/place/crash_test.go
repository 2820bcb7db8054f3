package place_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// crash crashes a worker. The worker is back later as a new lifetime.
func (f *testBoard) crash(key string) place.CrashReport {
	f.SuspectCrash(key, f.now, f.now, f.now)
	f.now = f.now.Add(3 * time.Second)
	return f.proveCrash(key)
}

// proveCrash ends the lifetime of a worker. Another one begins.
func (f *testBoard) proveCrash(key string) place.CrashReport {
	report := f.WorkerCrashed(key, f.now)
	f.replaceWorker(key)
	return report
}

func (f *testBoard) replaceWorker(key string) {
	f.RemoveWorker(key, f.now)
	f.gone[key] = true
	f.SetWorker(worker(f.workers))
	f.workers++
}

// lapse lets the leases of a silent worker expire.
func (f *testBoard) lapse(key string) {
	f.SetSilent(key, true)
	f.now = f.now.Add(4 * time.Second)
	f.SuspectCrash(key, time.Time{}, time.Time{}, f.now)
	f.ExpireLeases(key, f.now)
}

// startOf returns the present start of a task, for which it waits a second.
func (f *testBoard) startOf(t *testing.T, task jobs.Task) place.StartOrder {
	t.Helper()
	for range 100 {
		f.decide()
		for _, a := range f.allAttempts() {
			if a.Task == task {
				return place.StartOrder{Worker: a.Worker, Task: task, Attempt: a.Number}
			}
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	t.Fatalf("%s is not started within 1s", task)
	return place.StartOrder{}
}

// Guards against a task that crashes worker after worker and is started again for ever, and
// against giving up one that is not to blame.
func TestJobOfATaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	alone, lasting, gang := batch(1, 1000), batch(1, 1000), batch(2, 1000)
	lasting.LongRunning, gang.Gang = true, true
	for _, tt := range []struct {
		name  string
		step  jobs.Step
		once  func(f *testBoard, s place.StartOrder)
		times int // until the job is given up, 0 for never
	}{
		{"crashes", alone, func(f *testBoard, s place.StartOrder) { f.crash(s.Worker) }, 2},
		{"crashes, each under another owner", alone, func(f *testBoard, s place.StartOrder) {
			f.crash(s.Worker)
			f.takeOver()
		}, 2},
		{"owner lost between the crash and its proof", alone, func(f *testBoard, s place.StartOrder) {
			f.SuspectCrash(s.Worker, f.now, f.now, f.now)
			f.takeOver()
			f.proveCrash(s.Worker)
		}, 2},
		{"leases lapse between the crash and its proof", alone, func(f *testBoard, s place.StartOrder) {
			f.SuspectCrash(s.Worker, f.now, f.now, f.now)
			f.lapse(s.Worker)
			f.crash(s.Worker)
		}, 2},
		{"long-running task crashes at its start", lasting, func(f *testBoard, s place.StartOrder) { f.crash(s.Worker) }, 0},
		{"crashes under a member of a gang", gang, func(f *testBoard, s place.StartOrder) { f.crash(s.Worker) }, 3},
		{"crash without an answer to the start", alone, func(f *testBoard, s place.StartOrder) {
			f.StartUnanswered(s.Worker, s.Task, s.Attempt)
			f.crash(s.Worker)
		}, 2},
		{"only cut off", alone, func(f *testBoard, s place.StartOrder) {
			f.lapse(s.Worker)
			f.SetSilent(s.Worker, false)
			f.Listed(s.Worker, nil, nil, f.now, f.now)
		}, 0},
		{"ordered elsewhere", alone, func(f *testBoard, s place.StartOrder) {
			f.SuspectCrash(s.Worker, f.now, f.now, f.now)
			f.WorkerLeft(s.Worker)
			f.replaceWorker(s.Worker)
		}, 0},
		{"long at work before the crash", lasting, func(f *testBoard, s place.StartOrder) {
			f.now = f.now.Add(5 * time.Second)
			f.Listed(s.Worker, f.running(s.Worker, jobs.Task{}), nil, f.now, f.now)
			f.crash(s.Worker)
		}, 0},
		{"crashes between two runs that survive", alone, func(f *testBoard, s place.StartOrder) {
			f.crash(s.Worker)
			again := f.startOf(f.t, s.Task)
			f.now = f.now.Add(2 * time.Second)
			f.Listed(again.Worker, f.running(again.Worker, jobs.Task{}), nil, f.now, f.now)
			f.crash(again.Worker)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestBoard(0, 4)
			f.t = t
			j := newJob(1, tt.step)
			f.add(j)
			for n := 1; n <= 6; n++ {
				f.now = f.now.Add(time.Minute) // a long-running task may wait for its backoff
				s := f.startOf(t, jobs.Task{Job: j.ID})
				tt.once(f, s)
				f.flush(t)
				if state, _ := f.State(j.ID); (state == jobs.Aborted) != (tt.times > 0 && n >= tt.times) {
					t.Fatalf("after %d crashes the job is %s, want it given up after %d", n, state, tt.times)
				}
				if n == tt.times {
					f.now = f.now.Add(time.Minute)
					if more := f.decide(); len(more) > 0 {
						t.Fatalf("started %v after the job was given up", more)
					}
					return
				}
			}
		})
	}
}

// Guards against tasks that are given up for the crashes of a worker that they shared with a
// deadly one again and again.
func TestInnocentTasksOutliveADeadlyOne(t *testing.T) {
	f := newTestBoard(0, 4)
	innocent, deadly := newJob(1, batch(8, 400)), newJob(2, batch(1, 400))
	var steps []place.Step
	f.Record = func(s place.Step) { steps = append(steps, s) }
	f.add(innocent, deadly)
	crashes := 0
	for range 200 {
		for _, s := range f.decide() {
			if s.Task.Job == deadly.ID {
				crashes++
				f.crash(s.Worker)
			}
		}
		for _, a := range f.allAttempts() {
			if f.now.Sub(a.ConfirmedAt) > 400*time.Millisecond {
				f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
			}
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	f.flush(t)
	f.expectState(t, innocent, jobs.Complete)
	f.expectState(t, deadly, jobs.Aborted)
	if crashes > 2 {
		t.Errorf("%d workers crashed, want at most 2", crashes)
	}
	again := newTestBoard(0, 4)
	for i, s := range steps {
		if orders, _, err := again.Replay(s); err != nil || !reflect.DeepEqual(orders, s.Orders) {
			t.Fatalf("step %d, %s: replayed to %+v, %v, recorded %+v", i, s.Kind, orders, err, s.Orders)
		}
	}
}

// Guards against tasks that are started together again after the crash of their worker, so
// that the next crash tells nothing and ends them all.
func TestSuspectsAreStartedApart(t *testing.T) {
	f := newTestBoard(0, 4)
	f.add(newJob(1, batch(4, 900)))
	first := f.decide()
	if len(first) != 4 || first[0].Worker != first[3].Worker {
		t.Fatalf("started %v, want 4 tasks on one worker", first)
	}
	f.crash(first[0].Worker)
	f.add(newJob(2, batch(20, 100)))
	workers := map[string]int{}
	for _, s := range f.decide() {
		workers[s.Worker]++
	}
	for key, n := range workers {
		if n != 1 {
			t.Errorf("%d tasks started on %s beside or as suspects, want 1", n, key)
		}
	}
	if len(workers) != 4 {
		t.Errorf("tasks started on %d workers, want 4", len(workers))
	}
	f.now = f.now.Add(time.Second)
	if starts := f.decide(); len(starts) != 20 {
		t.Errorf("%d starts once the suspects have run for a second, want 20", len(starts))
	}
}

// Guards against a suspect that never starts because all workers are busy with tasks that
// come and go.
func TestSuspectFindsAWorkerInABusyPool(t *testing.T) {
	f := newTestBoard(0, 3)
	f.add(newJob(1, batch(1, 1000)))
	f.crash(f.decide()[0].Worker)
	for n := range 200 {
		f.add(newJob(byte(2+n%250), batch(1, 500)))
		for _, s := range f.decide() {
			if s.Task.Job == "0000000000000001" {
				return
			}
		}
		for _, a := range f.allAttempts() {
			if f.now.Sub(a.ConfirmedAt) > 60*time.Millisecond {
				f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
			}
		}
		f.now = f.now.Add(5 * time.Millisecond)
	}
	t.Error("the suspect is not started within 1s")
}

// Guards against suspects that never start because those before them find no worker: a decision
// tries a limited number only.
func TestSuspectsBehindManyUnplacedOnesStart(t *testing.T) {
	f := newTestBoard(0, 3)
	f.add(newJob(1, batch(40, 100)), newJob(2, batch(1, 50)))
	crashed := map[string]bool{}
	for _, s := range f.decide() {
		crashed[s.Worker] = true
	}
	for key := range crashed {
		f.SuspectCrash(key, f.now, f.now, f.now)
	}
	f.now = f.now.Add(3 * time.Second)
	for key := range crashed {
		f.proveCrash(key)
	}
	for i := range f.workers {
		if w := worker(i); !f.gone[w.Key] {
			w.Size.Millicores = 60
			f.SetWorker(w)
		}
	}
	for range 200 {
		for _, s := range f.decide() {
			if s.Task.Job == "0000000000000002" {
				return
			}
		}
		f.now = f.now.Add(20 * time.Millisecond)
	}
	t.Error("a suspect with room for it is not started within 4s, as 40 before it have none")
}

// Guards against copies that crash a third worker before the first two crashes are proved.
func TestNoFurtherCopyOfATaskWithTwoCrashes(t *testing.T) {
	f := newTestBoard(0, 4)
	step := batch(1, 1000)
	step.Speculative = true
	j := newJob(1, step)
	f.add(j)
	var crashed []string
	decide := func() {
		for _, s := range f.decide() {
			crashed = append(crashed, s.Worker)
			f.SetSilent(s.Worker, true)
			f.SuspectCrash(s.Worker, f.now, f.now, f.now)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	for range 30 {
		decide()
	}
	if len(crashed) != 2 {
		t.Fatalf("%d starts while no crash is proved, want the task and one copy", len(crashed))
	}
	f.WorkerCrashed(crashed[0], f.now)
	f.RemoveWorker(crashed[0], f.now)
	for range 5 {
		decide()
	}
	f.WorkerCrashed(crashed[1], f.now)
	f.RemoveWorker(crashed[1], f.now)
	decide()
	f.flush(t)
	f.expectState(t, j, jobs.Aborted)
	if len(crashed) != 2 {
		t.Errorf("%d workers crashed, want 2", len(crashed))
	}
}

// takeOver replaces the board by that of a new owner, which knows what was stored.
func (f *testBoard) takeOver() {
	old := f.Board
	f.base += 1000
	next := place.NewBoard(place.DefaultPolicy(), f.base)
	for _, view := range old.Views() {
		j, _ := old.Job(view.ID)
		data, _, err := old.EncodeProgress(view.ID)
		if err != nil {
			panic(err)
		}
		p, err := jobs.DecodeProgress(j, data)
		if err != nil {
			panic(err)
		}
		next.Add(j, p, f.now)
	}
	for i := range f.workers {
		if !f.gone[key(i)] {
			next.SetWorker(worker(i))
		}
	}
	f.Board = next
}

// flush stores what has changed.
func (f *testBoard) flush(t *testing.T) {
	t.Helper()
	ids, _ := f.Dirty()
	for _, id := range ids {
		_, state, err := f.EncodeProgress(id)
		if err != nil {
			t.Fatal(err)
		}
		f.Written(id, state)
	}
}

// allAttempts returns the attempts at all workers.
func (f *testBoard) allAttempts() []*place.Attempt {
	var all []*place.Attempt
	for i := range f.workers {
		all = append(all, f.Attempts(fmt.Sprintf("w%d@1", i))...)
	}
	return all
}

// Guards against a long-running task without a worker that starves in a pool full of batch
// tasks because a worker has crashed under it: nothing is reserved for it.
func TestSuspectedLongRunningTaskGetsAReservedWorker(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		f := newTestBoard(0, 3)
		f.t = t
		j := newJob(1, jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 3500, MemoryMB: 100}, LongRunning: true})
		f.add(j)
		first := f.decide()[0]
		f.add(newJob(2, jobs.Step{Count: 2000, Size: jobs.Resources{Millicores: 1000, MemoryMB: 100}, Estimate: time.Second}))
		f.decide()
		if crashed {
			f.now = f.now.Add(300 * time.Millisecond)
			f.SuspectCrash(first.Worker, f.now, f.now, f.now)
			f.WorkerCrashed(first.Worker, f.now)
		}
		f.RemoveWorker(first.Worker, f.now)
		f.gone[first.Worker] = true
		down := f.now
		for f.now.Sub(down) < 15*time.Second {
			for _, s := range f.decide() {
				if s.Task.Job == j.ID {
					down = time.Time{}
				}
			}
			if down.IsZero() {
				break
			}
			// tasks run for 1 to 1.35 s, so that their ends are apart
			for _, a := range f.allAttempts() {
				if f.now.Sub(a.ConfirmedAt) > time.Second+time.Duration(a.Task.Index%8)*50*time.Millisecond {
					f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
					break
				}
			}
			f.now = f.now.Add(10 * time.Millisecond)
		}
		if !down.IsZero() {
			t.Errorf("crashed %v: the long-running task is not started within 15s", crashed)
		}
	}
}

// Guards against a suspected long-running task that stays down though a worker that is to be
// vacated has room, which an unsuspected one would get.
func TestSuspectedLongRunningTaskStartsOnAVacatedWorker(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		f := newTestBoard(0, 2)
		f.add(newJob(1, lasting(1, 3000)))
		vacated := f.decide()[0].Worker
		f.SetVacate(vacated, true)
		f.add(newJob(2, lasting(1, 4500)))
		lost := f.decide()[0]
		f.now = f.now.Add(100 * time.Millisecond)
		if crashed {
			f.SuspectCrash(lost.Worker, f.now, f.now, f.now)
			f.WorkerCrashed(lost.Worker, f.now)
		}
		f.RemoveWorker(lost.Worker, f.now)
		f.gone[lost.Worker] = true
		started := false
		for range 100 {
			for _, s := range f.decide() {
				started = started || s.Task == lost.Task
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		if !started {
			t.Errorf("crashed %v: not started within 10s", crashed)
		}
	}
}

// Guards against a long-running task that waits behind many suspects, each of which keeps a
// worker to itself.
func TestSuspectsDoNotHoldUpLongRunningTasks(t *testing.T) {
	f := newTestBoard(0, 3)
	f.t = t
	f.add(newJob(1, batch(40, 100)))
	first := f.decide()
	for _, s := range first {
		if s.Worker != first[0].Worker {
			t.Fatalf("started %v, want all on one worker", first)
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.SuspectCrash(first[0].Worker, f.now, f.now, f.now)
	f.WorkerCrashed(first[0].Worker, f.now)
	f.RemoveWorker(first[0].Worker, f.now)
	f.gone[first[0].Worker] = true
	j := newJob(2, lasting(1, 100))
	f.decide()
	f.add(j)
	added := f.now
	for f.now.Sub(added) < 10*time.Second {
		for _, s := range f.decide() {
			if s.Task.Job == j.ID {
				if waited := f.now.Sub(added); waited > time.Second {
					t.Errorf("the long-running task waited for %v on a pool with room for it", waited)
				}
				return
			}
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	t.Error("the long-running task is not started within 10s on a pool with room for it")
}

// Guards against an innocent job that is given up for the crashes of one host, to which its
// task returns since it is empty.
func TestSuspectIsNotStartedOnTheHostThatCrashed(t *testing.T) {
	f := newTestBoard(0, 4)
	f.t = t
	f.add(newJob(1, batch(4, 2000)))
	f.decide()
	j := newJob(2, batch(1, 1000))
	f.add(j)
	s := f.decide()[0]
	f.now = f.now.Add(50 * time.Millisecond)
	f.SuspectCrash(s.Worker, f.now, f.now, f.now)
	f.now = f.now.Add(3 * time.Second)
	var w place.Worker
	for i := range 4 {
		if key(i) == s.Worker {
			w = worker(i)
		}
	}
	again := w
	again.Key = w.ID + "@2"
	f.WorkerCrashed(s.Worker, f.now)
	f.RemoveWorker(s.Worker, f.now)
	f.SetWorker(again)
	for _, next := range f.decide() {
		if next.Task.Job == j.ID && next.Worker == again.Key {
			t.Errorf("%v is started on the host that has just crashed, others have room for it", next.Task)
		}
	}
}

// Guards against an innocent job that is given up for one faulty host, which crashes some
// 0.3 s after each of its starts: it is the emptiest worker, and so it gets the suspect again.
func TestOneFaultyHostDoesNotEndAnInnocentJob(t *testing.T) {
	f := newTestBoard(0, 4)
	f.t = t
	f.add(newJob(1, jobs.Step{Count: 4, Size: jobs.Resources{Millicores: 2000, MemoryMB: 100}, LongRunning: true, MaxPerWorker: 1}))
	f.decide()
	f.now = f.now.Add(2 * time.Second)
	for i := range 4 {
		f.Listed(key(i), f.running(key(i), jobs.Task{}), nil, f.now, f.now)
	}
	j := newJob(2, batch(1, 500))
	f.add(j)
	host := f.decide()[0].Worker
	faulty := worker(0)
	for i := range 4 {
		if key(i) == host {
			faulty = worker(i)
		}
	}
	for life := byte('2'); life < '5'; life++ {
		f.now = f.now.Add(300 * time.Millisecond)
		crashed := faulty.Key
		f.SuspectCrash(crashed, f.now, f.now, f.now)
		f.now = f.now.Add(3 * time.Second)
		f.WorkerCrashed(crashed, f.now)
		f.RemoveWorker(crashed, f.now)
		f.gone[crashed] = true
		faulty.Key = faulty.ID + "@" + string(life)
		f.SetWorker(faulty)
		f.decide()
	}
	f.flush(t)
	if state, _ := f.State(j.ID); state == jobs.Aborted {
		t.Errorf("the job is given up for crashes of %s alone", faulty.ID)
	}
}

// Guards against giving jobs up because the workers of a rack crash again and again, whatever
// they run: of some 600 losses of a rack two may look like the fault of a task.
func TestJobsAreHardlyEverGivenUpForLostRacks(t *testing.T) {
	given := 0
	for seed := range uint64(20) {
		f := newTestBoard(0, 8)
		random := rand.New(rand.NewPCG(seed, 0))
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
			if random.IntN(40) == 0 { // a rack, every 2 s on average
				first := random.IntN(4) * 2
				var lost []string
				for i := range f.workers {
					if !f.gone[key(i)] && i%8/2 == first/2 {
						lost = append(lost, key(i))
						f.SuspectCrash(key(i), f.now, f.now, f.now)
					}
				}
				for _, key := range lost {
					given += len(f.proveCrash(key).GivenUp)
				}
			}
			f.now = f.now.Add(50 * time.Millisecond)
		}
	}
	if given > 2 {
		t.Errorf("%d jobs given up, want at most 2", given)
	}
}

// Guards against a long-running job that is given up, with all its running tasks, because
// workers were lost by chance within a second of a start of one of them (AVAIL on amcs-cesti,
// scale-1, seed 434351891074: an address that was reused, then a dark rack).
func TestLongRunningJobOutlivesLostWorkers(t *testing.T) {
	f := newTestBoard(0, 8)
	f.t = t
	j := newJob(1, jobs.Step{Count: 4, Size: jobs.Resources{Millicores: 2000, MemoryMB: 100}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1})
	f.add(j)
	f.decide()
	f.now = f.now.Add(2 * time.Second)
	for i := range 8 {
		f.Listed(key(i), f.running(key(i), jobs.Task{}), nil, f.now, f.now)
	}
	unlucky := jobs.Task{Job: j.ID, Index: 1}
	lost := 0
	for range 3 {
		for _, a := range f.allAttempts() {
			if a.Task == unlucky {
				f.now = f.now.Add(800 * time.Millisecond)
				f.lapse(a.Worker) // it is dark: nobody knows when it crashed
				f.crash(a.Worker)
				lost++
			}
		}
		f.now = f.now.Add(4 * time.Second) // past its backoff
		f.decide()
	}
	f.flush(t)
	if state, _ := f.State(j.ID); state == jobs.Aborted || lost < 3 {
		t.Errorf("%d workers were lost and the job is %s", lost, state)
	}
}
