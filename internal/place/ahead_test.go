package place_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Guards against a decision with look-ahead that differs from that of a scan, keeps a long-running
// task from room, or panics: all of the random tests' events beside reservations.
func TestOrdersAreThoseOfAScanWithLookAhead(t *testing.T) {
	t.Parallel()
	counts := map[string]int{}
	for seed := range uint64(200) {
		s := newScanTest(seed)
		s.lookAhead, s.crashes, s.checkReserved = true, seed%2 == 0, true
		if err := s.run(300); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for what, n := range s.counts {
			counts[what] += n
		}
	}
	for _, what := range []string{"reservations made", "reservations used", "backfilled"} {
		if counts[what] == 0 {
			t.Errorf("no %s in any run, so that they show nothing", what)
		}
	}
}

// reservedBoard returns a board whose two workers are full of small tasks, and on which a large job
// has reserved one of them.
func reservedBoard(t *testing.T) (f *testBoard, large jobs.Job, reserved string) {
	f = newTestBoard(0, 2)
	f.SetLookAhead(true)
	f.add(newJob(1, batch(8, 1000)))
	f.decide()
	large = newJob(2, batch(1, 4000))
	f.add(large)
	f.decide()
	keys := slices.Collect(maps.Keys(f.Reservations()))
	if len(keys) != 1 || f.Reservations()[keys[0]] != large.ID {
		t.Fatalf("reserved %v, want one worker for %s", f.Reservations(), large.ID)
	}
	f.TakeReservations()
	return f, large, keys[0]
}

// Load: a pool full of small tasks, and a large one that has reserved a worker. Guards against a
// reservation that keeps room after what it was for has become impossible.
func TestReservationIsGivenUp(t *testing.T) {
	for _, tt := range []struct {
		cause place.GiveUpCause
		event func(f *testBoard, large jobs.Job, w place.Worker)
		again bool // another worker is reserved instead
	}{
		{place.CauseWorkerGone, func(f *testBoard, _ jobs.Job, w place.Worker) { f.RemoveWorker(w.Key, f.now) }, true},
		{place.CauseClosed, func(f *testBoard, _ jobs.Job, w place.Worker) { f.SetSilent(w.Key, true) }, true},
		{place.CauseClosed, func(f *testBoard, _ jobs.Job, w place.Worker) { f.SetVacate(w.Key, true) }, true},
		{place.CauseClosed, func(f *testBoard, _ jobs.Job, w place.Worker) { w.Draining = true; f.SetWorker(w) }, true},
		{place.CauseUnfit, func(f *testBoard, _ jobs.Job, w place.Worker) {
			a := f.Attempts(w.Key)[0]
			f.Refused(w.Key, a.Task, a.Number, f.now)
		}, true},
		{place.CauseUnfit, func(f *testBoard, _ jobs.Job, w place.Worker) { w.Size.Millicores--; f.SetWorker(w) }, true},
		{place.CauseEnded, func(f *testBoard, large jobs.Job, _ place.Worker) { f.Cancel(large.ID, f.now) }, false},
		{place.CauseQuota, func(f *testBoard, large jobs.Job, _ place.Worker) { f.SetAllotment("", jobs.Resources{}) }, false},
		{place.CauseSuspended, func(f *testBoard, large jobs.Job, _ place.Worker) { f.Suspend(large.ID, f.now.Add(time.Minute)) }, false},
		{place.CauseNoTask, func(f *testBoard, _ jobs.Job, _ place.Worker) { f.SetWorker(worker(2)); f.decide() }, false},
		{place.CauseAge, func(f *testBoard, _ jobs.Job, _ place.Worker) { f.now = f.now.Add(2*time.Second + 1) }, true},
	} {
		f, large, key := reservedBoard(t)
		var w place.Worker
		for i := range 2 {
			if worker(i).Key == key {
				w = worker(i)
			}
		}
		tt.event(f, large, w)
		f.decide()
		if r := f.TakeReservations(); r.GivenUp[tt.cause] != 1 {
			t.Errorf("%s: given up %v", tt.cause, r.GivenUp)
		}
		if have := len(f.Reservations()) == 1; have != tt.again {
			t.Errorf("%s: reserved again: %v, want %v", tt.cause, f.Reservations(), tt.again)
		}
		if err := f.CheckPending(); err != nil {
			t.Errorf("%s: %v", tt.cause, err)
		}
	}
}

// Load: a large task has reserved a worker on which one of its small tasks ends after the other, and
// small ones keep coming. Guards against a small task that takes the gap, and against a large one
// that does not start once it fits.
func TestReservedWorkerFillsUpForItsTask(t *testing.T) {
	f, large, reserved := reservedBoard(t)
	f.add(newJob(3, batch(4, 1000)))
	for i, a := range slices.Clone(f.Attempts(reserved)) {
		f.endAttempt(place.StartOrder{Worker: reserved, Task: a.Task, Attempt: a.Number}, jobs.Done)
		starts := f.decide()
		if last := i == 3; last != (len(starts) == 1 && starts[0].Task.Job == large.ID && starts[0].Worker == reserved) || !last && len(starts) > 0 {
			t.Errorf("started %v after %d ends on the reserved worker", starts, i+1)
		}
	}
}

// Load: a large task has reserved a worker with some room, and small ones that go before it in the order come when
// no other worker has room. Guards against an on-time task that misses its objective for a reservation, and against
// a large one that gives way for ever.
func TestUrgentTaskTakesReservedRoom(t *testing.T) {
	for _, tt := range []struct {
		name      string
		left      time.Duration // until the small task's latest start
		largeAge  time.Duration
		wantStart bool
	}{
		{"urgent", 100 * time.Millisecond, time.Second, true},
		{"has time", 300 * time.Millisecond, time.Second, false},
		{"urgent, but the large one has waited for long", 100 * time.Millisecond, 3100 * time.Millisecond, false},
	} {
		f := newTestBoard(0, 1)
		f.SetLookAhead(true)
		f.add(newJob(1, batch(4, 1000)))
		running := f.decide()
		large := newJob(2, batch(1, 4000))
		large.Submitted, large.Target = f.now.Add(-tt.largeAge), 10*time.Second
		f.add(large)
		f.decide()
		f.endAttempt(running[0], jobs.Done) // a core is free on the reserved worker
		small := newJob(3, batch(1, 1000))
		small.Slack, small.Submitted = 1, f.now // its latest start is its target after its submission
		small.Target = tt.left
		f.add(small)
		if have := len(f.decide()) == 1; have != tt.wantStart {
			t.Errorf("%s: started: %v, want %v", tt.name, have, tt.wantStart)
		}
		if have := f.TakeReservations().GivenUp[place.CauseUrgent] == 1; have != tt.wantStart {
			t.Errorf("%s: the reservation was given up for it: %v, want %v", tt.name, have, tt.wantStart)
		}
	}
}

// Load: a large task waits of which one fits a worker. Guards against a pool that counts on the rest of that worker.
func TestDemandOfLargeTasksIsRoundedUp(t *testing.T) {
	for _, tt := range []struct {
		on   bool
		step jobs.Step
		want int
	}{
		{false, batch(3, 2500), 7500},
		{true, batch(3, 2500), 12000},
		{true, batch(3, 1900), 6000},
		{true, batch(3, 1000), 3000}, // not large
		{true, jobs.Step{Count: 3, Size: jobs.Resources{Millicores: 500, MemoryMB: 5000}}, 12000},
		{true, batch(3, 5000), 15000}, // fits no worker
	} {
		f := newTestBoard(0, 2)
		f.SetLookAhead(tt.on)
		f.add(newJob(1, batch(8, 1000)))
		f.decide()
		f.add(newJob(2, tt.step))
		f.decide()
		if have := f.Load(f.now).Wanted; have != tt.want {
			t.Errorf("%+v, look-ahead %v: wants %d millicores, want %d", tt.step, tt.on, have, tt.want)
		}
	}
}

// Load: two organisations with large jobs beside full workers. Guards against room that is kept for
// a job whose organisation may not use it.
func TestReservationsStayWithinAllotments(t *testing.T) {
	f := newTestBoard(0, 24) // 3 reservations are allowed
	f.SetLookAhead(true)
	f.SetAllotment("a", jobs.Resources{Millicores: 5000, MemoryMB: 5000})
	f.SetAllotment("b", jobs.Resources{Millicores: 9000, MemoryMB: 9000})
	f.add(newJob(1, batch(4*24, 1000)))
	f.decide()
	of := map[jobs.ID]string{}
	for i, organisation := range []string{"a", "a", "b"} {
		j := newJob(byte(2+i), batch(2, 4000))
		j.Organisation = organisation
		of[j.ID] = organisation
		f.add(j)
	}
	f.decide()
	f.decide()
	counts := map[string]int{}
	for _, id := range f.Reservations() {
		counts[of[id]]++
	}
	if counts["a"] != 1 || counts["b"] != 2 {
		t.Errorf("reservations by organisation are %v, want one of a and two of b", counts)
	}
}

// Property: after a decision that started nothing no room is free that a waiting task could use
// without delaying a reservation, and once no more jobs come all tasks start.
func TestReservationsWasteNoRoomAndNothingStarves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		l := newAheadLoad(workers, true, rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "declared"), rapid.Uint64().Draw(t, "seed"))
		l.progress = rapid.Bool().Draw(t, "progress")
		check := func() {
			l.tick()
			for l.place() > 0 { // a reservation that was used or given up frees room
			}
			if err := l.CheckReservations(l.now); err != nil {
				t.Fatal(err)
			}
		}
		tasks := 0
		for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			for range rapid.IntRange(0, 4).Draw(t, "jobs") {
				n := rapid.IntRange(1, 6).Draw(t, "tasks")
				l.submit("any", n, 500*rapid.IntRange(1, 8).Draw(t, "half-cores"))
				tasks += n
			}
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				check()
			}
		}
		for range 200 * (1 + tasks/workers) { // 2 s for each task of a worker
			check()
		}
		for id, left := range l.left {
			if left > 0 {
				t.Fatalf("%d tasks of %s have not started", left, id)
			}
		}
	})
}

// A worker is kept for a reservation for 2 s at most, so that small tasks get a turn.
func TestReservationIsNotMadeAnewAtOnce(t *testing.T) {
	f := newTestBoard(0, 1)
	f.SetLookAhead(true)
	long := batch(1, 3000)
	long.Estimate = 5 * time.Second
	f.add(newJob(1, long))
	f.decide()
	f.now = f.now.Add(1100 * time.Millisecond)
	large := newJob(2, batch(1, 4000))
	large.Submitted = f.now
	f.add(large)
	f.decide()
	for i := range 10 {
		j := newJob(byte(10+i), batch(1, 1000))
		j.Submitted = f.now
		f.add(j)
	}
	kept := time.Duration(0)
	for range 90 {
		f.now = f.now.Add(50 * time.Millisecond)
		if len(f.decide()) > 0 {
			break
		}
		if len(f.Reservations()) == 0 {
			break
		}
		kept += 50 * time.Millisecond
	}
	t.Log(kept, f.TakeReservations())
	if kept > 2100*time.Millisecond {
		t.Errorf("the worker is kept for %v", kept)
	}
}
