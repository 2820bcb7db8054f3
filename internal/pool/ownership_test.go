package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// freeze holds up a running owner for a time, as if its process were stopped. It returns once
// the owner's loop stands still.
func freeze(o *Owner, t time.Duration) {
	frozen := make(chan struct{})
	o.post(func() {
		o.status.mu.Lock() // its agents wait for it
		defer o.status.mu.Unlock()
		close(frozen)
		time.Sleep(t)
	})
	<-frozen
}

// claimNext makes another process the owner of a pool and returns that owner, which does not
// run.
func claimNext(t *testing.T, o *Owner) *Owner {
	t.Helper()
	next := Identity{Node: "entry-2", Life: "1"}
	own, err := Claim(t.Context(), o.store, next, Ownership{Pool: o.name, Token: o.token, Version: o.rowVersion}, Conditions{})
	if err != nil {
		t.Fatal(err)
	}
	return New(t.Context(), own, Settings{Self: next, Store: o.store, Log: o.log})
}

// Guards against tasks that run twice: an owner that was frozen renewed the leases of workers
// that the next owner did not reach, and that one took them for expired.
func TestWokenOwnerRenewsNoLeasesBeyondTheNextOwnersWait(t *testing.T) {
	t.Parallel()
	const frozenFor = 2 * time.Second
	o, entry := newOwner(t)
	began := time.Now()
	w := &fakeWorker{rate: 1, began: began}
	var wokenAt, lastEnd atomic.Int64 // since began; lastEnd is of the lease that ends last
	w.hold = func(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
		if r.Until > 0 {
			lastEnd.Store(max(lastEnd.Load(), int64(r.Until)))
		}
		sleep(ctx, min(r.Wait, 50*time.Millisecond))
		if wake := time.Duration(wokenAt.Load()); wake > 0 {
			sleep(ctx, wake-time.Since(began)) // the answer is read after the freeze
		}
		return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
	}
	a := newAgent(o.ctx, o, entry, w)
	o.agents[a.key], o.lifetimes[entry.ID] = a, []*agent{a}
	go o.Run()
	defer o.Close()
	time.Sleep(time.Second)
	if lastEnd.Load() == 0 {
		t.Fatal("no lease was granted")
	}
	wokenAt.Store(int64(time.Since(began) + frozenFor))
	freeze(o, frozenFor)
	next := claimNext(t, o)
	next.setUnseen([]registration{{key: a.key}}, time.Now())
	<-o.Ended()
	if end, until := began.Add(time.Duration(lastEnd.Load())), next.unseenUntil[a.key]; end.After(until) {
		t.Errorf("a lease ends %v after the next owner starts its tasks elsewhere", end.Sub(until))
	}
}

// Guards against false answers to callers: an owner that was frozen told them that jobs do not
// exist which the next owner had accepted meanwhile, and to the holder of the fleet that
// workers are empty.
func TestWokenOwnerAnswersNothingFromMemory(t *testing.T) {
	t.Parallel()
	o, entry := newOwner(t)
	go o.Run()
	defer o.Close()
	const id = "0000000000000001"
	if !completes(t, o, id, 5*time.Second) {
		t.Fatal("the pool completes no job")
	}
	freeze(o, 2*maxPause)
	claimNext(t, o)
	verdicts := map[string]Verdict{}
	_, verdicts["state"] = o.State(t.Context(), "0000000000000002")
	verdicts["cancel"] = o.Cancel(t.Context(), "0000000000000002")
	_, verdicts["pending"] = o.Pending(t.Context(), "q")
	_, verdicts["vacate"] = o.Vacate(t.Context(), []string{entry.ID})
	_, verdicts["load"] = o.Load(t.Context(), 0)
	_, verdicts["views"] = o.Views(t.Context(), id)
	verdicts["submit"], _ = o.Submit(t.Context(), jobs.Job{ID: "0000000000000002", Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1}}})
	for call, v := range verdicts {
		if v != Unknown {
			t.Errorf("%s: verdict %d, want none", call, v)
		}
	}
}

// Guards against work that is started, stopped or slowed down by an owner that was frozen,
// behind the next owner's back.
func TestPausedOwnerSendsNoOrders(t *testing.T) {
	o, _ := benchOwner(1, 0)
	sent := 0
	count := func() { sent++ }
	w := &fakeWorker{rate: 1, began: time.Now(), stop: count, pace: count}
	w.start = func(context.Context, platform.StartRequest) (time.Duration, error) {
		count()
		return 0, nil
	}
	a := &agent{key: "i-1@1", owner: o, worker: w, starts: make(chan order, 2)}
	a.setClock(w.clock(), time.Now())
	start, stop, pace := startOrder(1), order{stop: &place.StopOrder{}}, order{pace: &place.PaceOrder{}}
	o.status.recordRunning(time.Now().Add(-2*maxPause), false)
	for _, ord := range []order{start, stop, pace} {
		a.execute(t.Context(), ord)
	}
	if sent != 0 || a.nextLease() != 0 {
		t.Errorf("%d orders sent after a pause, want none and no lease", sent)
	}
	now := time.Now()
	o.status.recordRunning(now, false)
	o.status.confirm(now, 0)
	for _, ord := range []order{start, stop, pace} {
		a.execute(t.Context(), ord)
	}
	if sent != 3 || a.nextLease() == 0 {
		t.Errorf("%d orders sent once the ownership was confirmed, want 3 and leases", sent)
	}
}

// The ownership counts as held with and without the store, but not across a pause of the
// process or of its host, nor while it is cut off from the store and from other processes.
func TestOwnershipStatus(t *testing.T) {
	const tick = tickPeriod
	base := time.Now()
	for _, tt := range []struct {
		name     string
		run      func(s *ownershipStatus, now time.Time, boot *time.Duration, until *time.Time) time.Time
		age      time.Duration // of the lease base
		notOwned bool
	}{
		{name: "confirmed", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			s.confirm(now.Add(tick), 0)
			return now.Add(2 * tick)
		}, age: tick},
		{name: "answers out of order", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			s.confirm(now.Add(tick), 0)
			s.confirm(now, 0)
			return now.Add(2 * tick)
		}, age: tick},
		{name: "stopped", run: func(_ *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			return now.Add(maxPause + 1)
		}, notOwned: true},
		{name: "an answer to a request from before the pause", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			now = now.Add(maxPause + 1)
			s.recordRunning(now, true)
			s.confirm(now.Add(-1), 0)
			return now
		}, notOwned: true},
		{name: "confirmed after the pause", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			now = now.Add(maxPause + 1)
			s.recordRunning(now, true)
			s.confirm(now, 0)
			return now
		}},
		{name: "suspended host", run: func(s *ownershipStatus, now time.Time, boot *time.Duration, _ *time.Time) time.Time {
			*boot += 3 * time.Second
			s.wallTime = func() time.Time { return now.Add(3 * time.Second) }
			return now.Add(tick)
		}, notOwned: true},
		{name: "clock set", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, _ *time.Time) time.Time {
			s.wallTime = func() time.Time { return now.Add(time.Hour) }
			return now.Add(tick)
		}, age: tick},
		{name: "without the store", run: func(s *ownershipStatus, now time.Time, boot *time.Duration, _ *time.Time) time.Time {
			for range 1000 {
				now = now.Add(tick)
				s.recordRunning(now, true)
			}
			return now
		}},
		{name: "cut off", run: func(s *ownershipStatus, now time.Time, _ *time.Duration, until *time.Time) time.Time {
			for i := range 1000 {
				now = now.Add(tick)
				if i < 500 {
					*until = now
				}
				s.recordRunning(now, true)
			}
			return now
		}, age: 500 * tick},
	} {
		t.Run(tt.name, func(t *testing.T) {
			boot, until := time.Hour, base.Add(time.Hour)
			s := newOwnershipStatus(base, func(uint64, time.Time) time.Time { return until })
			s.bootTime, s.wallTime = func() time.Duration { return boot }, func() time.Time { return base }
			s.recordRunning(base, false)
			now := tt.run(s, base, &boot, &until)
			have, owned := s.leaseBase(now)
			if owned == tt.notOwned || owned && now.Sub(have) != tt.age {
				t.Errorf("owned %v, as of %v ago; want %v, %v", owned, now.Sub(have), !tt.notOwned, tt.age)
			}
			if want := owned && tt.age <= maxConfirmAge; s.current(now) != want {
				t.Errorf("current: %v, want %v", !want, want)
			}
		})
	}
}

// Guards against work that is lost because the store is away for longer than a lease.
func TestWorkGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	for _, failure := range []mimic.Failure{mimic.Busy, mimic.Silent} {
		p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		o, _ := newOwnerOn(t, p)
		go o.Run()
		t.Cleanup(o.Close)
		t.Run(fmt.Sprint(failure), func(t *testing.T) {
			t.Parallel()
			j := jobs.Job{ID: "0000000000000001", Spec: "1m", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}, Estimate: time.Minute}}}
			for end := time.Now().Add(5 * time.Second); len(p.Runs()) == 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				o.Submit(t.Context(), j)
			}
			p.Store.Fail(failure)
			time.Sleep(2 * defaultLease)
			p.Store.Fail(mimic.Healthy)
			if runs := p.Runs(); len(runs) != 1 || !runs[0].Ended.IsZero() {
				t.Errorf("runs %+v, want one that goes on", runs)
			}
		})
	}
}

// Guards against a task that runs twice: a new owner adopts it, grants its worker no lease since
// it was paused, and takes it for gone once the worker is silent, though a lease of the earlier
// owner lasts.
func TestAdoptedTasksAreHeldUntilTheEarlierLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testAdoptedTask(t, 0, func(o *Owner) time.Time { return o.earlierLeasesEnd() })
	})
}

// Guards against tasks that run twice after a takeover: a worker had just started again, and a start
// that was meant for its lifetime before granted it a lease by the clock of that one.
func TestAdoptedTasksOfAYoungLifetimeAreHeldForTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testAdoptedTask(t, time.Second, func(o *Owner) time.Time { return o.claimedAt.Add(o.longestLease()) })
	})
}

// testAdoptedTask checks until when a new owner holds a task that it has adopted from a worker which
// then falls silent. The worker's lifetime is of an age at the claim.
func testAdoptedTask(t *testing.T, age time.Duration, until func(o *Owner) time.Time) {
	t.Helper()
	o, end := idleOwner(t)
	defer end()
	o.token, o.board = 2, place.NewBoard(place.DefaultPolicy(), attemptsPerOwner)
	job := benchJob(1, 1, time.Now())
	o.board.Add(job, jobs.NewProgress(job), time.Now())
	w := &fakeWorker{rate: 1, began: time.Now().Add(-age)}
	calls := 0
	w.hold = func(context.Context, platform.HoldRequest) (platform.Listing, error) {
		if calls++; calls > 1 {
			return platform.Listing{}, platform.ErrOutcomeUnknown
		}
		o.status.mu.Lock()
		o.status.pausedAt = time.Now().Add(time.Hour) // until a transaction that is sent then
		o.status.mu.Unlock()
		return platform.Listing{
			Clock: w.clock(), ReadAt: time.Now(),
			Running: []platform.RunningAttempt{{Task: jobs.Task{Job: job.ID}, Attempt: 1, Percent: 10}},
		}, nil
	}
	var a *agent
	o.post(func() {
		e := benchEntry(1)
		a = newAgent(o.ctx, o, e, w)
		a.registered = true
		o.agents[a.key], o.lifetimes[e.ID], o.entries[e.ID] = a, []*agent{a}, e
		o.syncAgent(a)
	})
	held := func() (n int) {
		o.post(func() {
			o.removeLostWorkers(time.Now())
			n = len(o.board.Attempts(a.key))
		})
		synctest.Wait()
		return n
	}
	time.Sleep(time.Second)
	if held() != 1 || !a.silent {
		t.Errorf("%d tasks held at a worker, silent %v, 1 s after the claim, want the adopted one", held(), a.silent)
	}
	time.Sleep(time.Until(until(o).Add(-time.Millisecond)))
	if held() != 1 {
		t.Error("an adopted task counts as gone before the leases of the earlier owner have expired")
	}
	time.Sleep(time.Second)
	if held() != 0 {
		t.Error("an adopted task is held at a silent worker after all leases have expired")
	}
}
