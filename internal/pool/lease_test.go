package pool

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// fakeWorker is a client of a worker whose clock runs at a rate of the test's clock.
type fakeWorker struct {
	rate  float64
	began time.Time
	hold  func(ctx context.Context, r platform.HoldRequest) (platform.Listing, error)
	start func(ctx context.Context, r platform.StartRequest) (time.Duration, error)
	stop  func() // may be nil
	pace  func() // may be nil
}

func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.began)) * w.rate)
}

func (w *fakeWorker) Hold(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
	return w.hold(ctx, r)
}

func (w *fakeWorker) Start(ctx context.Context, r platform.StartRequest) (time.Duration, error) {
	return w.start(ctx, r)
}

func (w *fakeWorker) Stop(context.Context, jobs.Task, int, uint64) error {
	if w.stop != nil {
		w.stop()
	}
	return nil
}

func (w *fakeWorker) Pace(context.Context, jobs.Task, int, int, uint64) error {
	if w.pace != nil {
		w.pace()
	}
	return nil
}
func (*fakeWorker) Close() {}

// idleOwner returns an owner of which the loop only runs posted functions. Its ownership is
// confirmed all the time. The returned function ends it and waits for its agents.
func idleOwner(t *testing.T) (o *Owner, end func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o = New(t.Context(), Ownership{Pool: "p1", Token: 1}, Settings{Log: logrus.NewEntry(log)})
	go func() {
		ticker := time.NewTicker(tickPeriod)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				o.status.recordRunning(now, false)
				o.status.confirm(now, 0)
			case f := <-o.posts:
				f()
			case <-o.ctx.Done():
				return
			}
		}
	}()
	return o, func() {
		o.cancel()
		time.Sleep(time.Minute) // until calls in progress have returned
		synctest.Wait()
	}
}

// A worker's clock is stated, read and handled with delays between: no lease outlasts what
// the owner and its successor assume, and only the delay of the quickest answer, not that
// of a late one, shortens leases.
func TestLeaseUnderDelays(t *testing.T) {
	for _, rate := range []float64{0.98, 1, 1.02} { // of the worker's clock
		for _, readDelay := range []time.Duration{0, 80 * time.Millisecond, 900 * time.Millisecond} { // from the worker's statement of its clock
			for _, handleDelay := range []time.Duration{0, 500 * time.Millisecond} { // until the clock is set
				for _, idle := range []time.Duration{0, time.Second, 10 * time.Second} { // until the lease is granted
					t.Run(fmt.Sprint(rate, readDelay, handleDelay, idle), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testLeaseUnderDelays(t, rate, readDelay, handleDelay, idle) })
					})
				}
			}
		}
	}
}

func testLeaseUnderDelays(t *testing.T, rate float64, readDelay, handleDelay, idle time.Duration) {
	w := &fakeWorker{rate: rate, began: time.Now()}
	a := &agent{owner: &Owner{lease: defaultLease, status: newOwnershipStatus(time.Now(), nil)}}
	if a.nextLease() != 0 {
		t.Error("a lease was granted before the worker's clock was known")
	}
	time.Sleep(time.Minute)
	first := time.Now()
	a.setClock(w.clock(), first) // a quick answer
	time.Sleep(time.Second)
	clock := w.clock()
	time.Sleep(readDelay)
	readAt := time.Now()
	time.Sleep(handleDelay)
	a.setClock(clock, readAt)
	time.Sleep(idle)

	granted := time.Now()
	a.owner.status.confirm(granted, 0)
	until := a.nextLease()
	expires := w.began.Add(time.Duration(float64(until) / rate))
	if by := a.leasesExpireAt; expires.After(by) {
		t.Errorf("the lease expires %v after leasesExpireAt", expires.Sub(by))
	}
	if by := granted.Add(a.owner.maxLeaseTime()); expires.After(by) {
		t.Errorf("the lease expires %v later than a new owner assumes", expires.Sub(by))
	}
	// A clock may run 2% fast, which the owner does not know.
	shortest := time.Duration(float64(defaultLease)/rate) - time.Duration(0.05*float64(granted.Sub(first))) - time.Millisecond
	if left := expires.Sub(granted); left < shortest {
		t.Errorf("the lease lasts %v, want at least %v", left, shortest)
	}
}

// An agent is held up between reading and handling a worker's answer: that time does not
// shorten the leases.
func TestLeaseCountsFromWhenTheClockWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		w := &fakeWorker{rate: 1, began: time.Now()}
		var leases []time.Duration
		w.hold = func(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
			if r.Until > 0 {
				leases = append(leases, r.Until-w.clock())
			}
			l := platform.Listing{Clock: w.clock(), ReadAt: time.Now()}
			time.Sleep(500 * time.Millisecond)
			return l, nil
		}
		newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
		time.Sleep(5 * time.Second)
		end()
		if len(leases) < 5 {
			t.Fatalf("%d renewals in 5 s", len(leases))
		}
		for _, l := range leases {
			if l < defaultLease-100*time.Millisecond {
				t.Errorf("a lease of %v was granted, want about %v", l, defaultLease)
			}
		}
	})
}

// call is a call for a worker's lists that a test saw.
type call struct {
	at           time.Duration // since the start of the test
	until        time.Duration // of the requested lease, after the worker's clock; 0 for none
	wait         time.Duration
	unresponsive bool // as the agent saw the worker when it called
}

// holdCalls runs an agent for a time with a worker that answers calls unless fail returns
// how long after its deadline a call without an answer returns. It returns the calls, and
// the agent.
func holdCalls(t *testing.T, run time.Duration, fail func(n int) (late time.Duration, fails bool)) ([]call, *agent) {
	t.Helper()
	o, end := idleOwner(t)
	began := time.Now()
	w := &fakeWorker{rate: 1, began: began.Add(-time.Minute)}
	var calls []call
	var a *agent
	ready := make(chan struct{})
	w.hold = func(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
		<-ready
		c := call{at: time.Since(began), wait: r.Wait, unresponsive: a.isUnresponsive()}
		if r.Until > 0 {
			c.until = r.Until - w.clock()
		}
		n := len(calls)
		calls = append(calls, c)
		if late, fails := fail(n); fails {
			<-ctx.Done()
			time.Sleep(late)
			return platform.Listing{}, platform.ErrOutcomeUnknown
		}
		time.Sleep(r.Wait)
		return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
	}
	a = newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
	close(ready)
	time.Sleep(run)
	end()
	return calls, a
}

// The owner's process is held up while calls to a worker time out: the worker does not
// count as silent, and its leases are renewed at once.
func TestLateTimeoutsAreNotTheWorkersSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := holdCalls(t, 12*time.Second, func(n int) (time.Duration, bool) {
			return 200 * time.Millisecond, n%3 != 0 // two of three calls time out late
		})
		if len(calls) < 6 {
			t.Fatalf("%d calls in 12 s", len(calls))
		}
		for i, c := range calls[1:] {
			if c.unresponsive {
				t.Errorf("call %d at %v: the worker counts as silent", i+1, c.at)
			}
			if c.until < defaultLease*9/10 {
				t.Errorf("call %d at %v: renews until %v after the worker's clock, want about %v", i+1, c.at, c.until, defaultLease)
			}
		}
		if calls[2].wait != 0 {
			t.Errorf("the call after a late timeout may wait %v, want none", calls[2].wait)
		}
	})
}

// A worker is silent: its leases are renewed no longer and expire, even if the owner's
// process is held up at each timeout. The first answer ends that.
func TestSilentWorkersLeasesExpire(t *testing.T) {
	for _, late := range []time.Duration{0, 200 * time.Millisecond} {
		t.Run(fmt.Sprintf("timeouts %v late", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silentUntil = 12
				calls, _ := holdCalls(t, 15*time.Second, func(n int) (time.Duration, bool) {
					return late, n > 0 && n < silentUntil
				})
				renewals := 0
				for _, c := range calls[1 : silentUntil+1] {
					if c.until > 0 {
						renewals++
					}
				}
				want := 1 // the first call of which the answer is missing
				if late > 0 {
					want += maxLateCalls
				}
				if renewals != want {
					t.Errorf("%d renewals of a silent worker's leases, want %d", renewals, want)
				}
				if next := calls[silentUntil+1]; next.until < defaultLease*9/10 || next.unresponsive {
					t.Errorf("after the first answer: %+v, want a renewal", next)
				}
			})
		})
	}
}

// The answer to a renewal is missing: the lease may have been granted and counts until it
// would expire.
func TestUnansweredRenewalCountsAsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		calls, a := holdCalls(t, 10*time.Second, func(n int) (time.Duration, bool) { return 200 * time.Millisecond, n > 0 })
		var last time.Time // the end of the last requested lease
		for _, c := range calls {
			if c.until > 0 {
				last = began.Add(c.at + c.until)
			}
		}
		if a.expireLeases(last) || !a.expireLeases(last.Add(time.Second)) {
			t.Errorf("the leases count as expired at %v, want soon after %v", a.leasesExpireAt, last)
		}
	})
}

// A start times out late on a worker that carried it out: a list shows that it runs before
// it counts as unanswered and is stopped.
func TestLateStartThatRunsIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		w := &fakeWorker{rate: 1, began: time.Now()}
		var running []platform.RunningAttempt
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			listed := running
			time.Sleep(r.Wait)
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now(), Running: listed}, nil
		}
		w.start = func(ctx context.Context, r platform.StartRequest) (time.Duration, error) {
			running = []platform.RunningAttempt{{Task: r.Task, Attempt: r.Attempt}}
			<-ctx.Done()
			time.Sleep(200 * time.Millisecond)
			return 0, platform.ErrOutcomeUnknown
		}
		a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1, Size: jobs.Resources{Millicores: 1000}}, w)
		time.Sleep(10 * time.Second) // into the longest wait of a renewal
		synctest.Wait()
		job := jobs.Job{ID: "0000000000000001", Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 1000}}}}
		var starts []place.StartOrder
		o.post(func() {
			o.agents[a.key], a.registered = a, true
			o.syncAgent(a)
			o.board.Add(job, jobs.NewProgress(job), time.Now())
			starts = o.board.Decide(time.Now()).Starts
		})
		synctest.Wait()
		if len(starts) != 1 {
			t.Fatalf("starts %v, want one", starts)
		}
		a.execute(o.ctx, order{start: &starts[0]})
		var stops []place.StopOrder
		o.post(func() { stops = o.board.Decide(time.Now()).Stops })
		synctest.Wait()
		if len(stops) > 0 {
			t.Errorf("a running attempt is stopped: %+v", stops)
		}
		if all := o.board.Attempts(a.key); len(all) != 1 || all[0].Phase != place.Live {
			t.Errorf("attempts %+v, want one that runs", all)
		}
		end()
	})
}

// Guards against tasks that start long after their job was cancelled, or placed elsewhere, since
// the network or the worker held the start back.
func TestStartThatIsHeldBackIsRejected(t *testing.T) {
	for _, held := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		for _, rate := range []float64{0.98, 1, 1.02} { // of the worker's clock
			t.Run(fmt.Sprint(held, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					o, end := idleOwner(t)
					w := &fakeWorker{rate: rate, began: time.Now().Add(-time.Minute)}
					w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
						time.Sleep(r.Wait)
						return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
					}
					rejected := false
					w.start = func(ctx context.Context, r platform.StartRequest) (time.Duration, error) {
						time.Sleep(held)
						rejected = r.Until < w.clock()
						return 0, platform.ErrOutcomeUnknown
					}
					a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
					time.Sleep(5*time.Second - time.Millisecond) // near the end of the longest wait of a renewal
					a.execute(o.ctx, order{start: &place.StartOrder{Task: jobs.Task{Job: "0000000000000001"}, Attempt: 1}})
					if want := held > maxStartDelay; rejected != want {
						t.Errorf("the worker rejects a start that was held for %v: %t, want %t", held, rejected, want)
					}
					end()
				})
			})
		}
	}
}

// A start waits in an agent's queue until all leases at the worker have expired and its task
// is placed elsewhere: it is not sent when the worker answers again, or the task would run
// twice.
func TestQueuedStartIsVoidOnceLeasesExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		defer end()
		w := &fakeWorker{rate: 1, began: time.Now()}
		sent := 0
		w.start = func(context.Context, platform.StartRequest) (time.Duration, error) {
			sent++
			return 0, nil
		}
		a := &agent{key: "i-1@1", owner: o, worker: w, starts: make(chan order, 2)}
		a.setClock(w.clock(), time.Now())
		a.nextLease()
		start := place.StartOrder{Worker: a.key, Task: jobs.Task{Job: "0000000000000001"}, Attempt: 1}
		queue := func() {
			if err := a.enqueue(order{start: &start}); err != nil {
				t.Fatal(err)
			}
		}
		queue()
		if a.expireLeases(time.Now().Add(defaultLease)) {
			t.Fatal("the leases count as expired too early")
		}
		time.Sleep(2 * defaultLease)
		if !a.expireLeases(time.Now()) {
			t.Fatal("the leases do not count as expired")
		}
		queue()
		a.execute(o.ctx, <-a.starts)
		if sent != 0 {
			t.Error("a start was sent after the leases had expired")
		}
		a.execute(o.ctx, <-a.starts)
		if sent != 1 {
			t.Errorf("%d starts sent, want the one that was queued later", sent)
		}
	})
}

// Guards against an owner that is asked to handle the same ends eight times a second and
// worker while it is too slow to store them.
func TestUnacknowledgedEndsAreReadLessAndLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		w := &fakeWorker{rate: 1, began: time.Now()}
		var holds atomic.Int64
		w.hold = func(context.Context, platform.HoldRequest) (platform.Listing, error) {
			holds.Add(1)
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now(), Ended: []platform.EndedAttempt{{Number: 1}}}, nil
		}
		newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
		const span = 10 * time.Second
		time.Sleep(span)
		if have, most := holds.Load(), int64(span/busyHoldWait)+5; have > most {
			t.Errorf("%d lists with the same end in %v, want at most %d", have, span, most)
		}
		end()
	})
}

// Guards against an owner that answers nothing while it sends the starts of a large backlog,
// and against a long-running task whose start waits behind them.
func TestStartsInFlightAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		var inFlight, most, urgent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, time.Millisecond))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(_ context.Context, r platform.StartRequest) (time.Duration, error) {
			if r.Task.Job == "urgent" {
				urgent.Add(1)
				return 0, nil
			}
			most.Store(max(most.Load(), inFlight.Add(1)))
			time.Sleep(200 * time.Millisecond)
			inFlight.Add(-1)
			return 0, nil
		}
		var agents []*agent
		for i := range 2 * maxStartsInFlight {
			agents = append(agents, newAgent(o.ctx, o, platform.WorkerEntry{ID: fmt.Sprint(i), Born: 1}, w))
		}
		time.Sleep(time.Second)
		for _, a := range agents {
			for n := range maxParallelOrders {
				if err := a.enqueue(order{start: &place.StartOrder{Task: jobs.Task{Index: n}}}); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
		if err := agents[0].enqueue(order{start: &place.StartOrder{Task: jobs.Task{Job: "urgent"}}, urgent: true}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if urgent.Load() != 1 {
			t.Error("an urgent start waits behind others")
		}
		time.Sleep(10 * time.Second)
		if most.Load() > maxStartsInFlight {
			t.Errorf("%d starts in flight, want at most %d", most.Load(), maxStartsInFlight)
		}
		end()
	})
}

// All slots for starts are taken, and starts wait for them at a worker: a stop there, such as
// that of a cancelled job, is sent at once.
func TestStopsDoNotWaitBehindStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		var stopped atomic.Bool
		w := &fakeWorker{rate: 1, began: time.Now(), stop: func() { stopped.Store(true) }}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, time.Millisecond))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(context.Context, platform.StartRequest) (time.Duration, error) { return 0, nil }
		a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
		for range maxStartsInFlight {
			o.startSlots <- struct{}{}
		}
		time.Sleep(time.Second)
		for n := range 2 * maxParallelOrders {
			if err := a.enqueue(order{start: &place.StartOrder{Task: jobs.Task{Index: n}}}); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if err := a.enqueue(order{stop: &place.StopOrder{Task: jobs.Task{Index: 9}}}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if !stopped.Load() {
			t.Error("a stop waits behind starts that wait for a slot")
		}
		end()
	})
}

// All slots for starts are taken, and meanwhile a copy of the task is done: the start that
// waits for a slot is not sent. One that was sent a second after the end had been acknowledged
// ran the task again (large fleet, quiet day).
func TestStartThatIsNoLongerWantedIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		defer end()
		var sent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, time.Millisecond))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(context.Context, platform.StartRequest) (time.Duration, error) { sent.Add(1); return 0, nil }
		for range maxStartsInFlight {
			o.startSlots <- struct{}{}
		}
		job := jobs.Job{ID: "0000000000000001", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 1000}}}}
		key := "i-1@1"
		o.post(func() {
			o.agents[key] = newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1, Size: jobs.Resources{Millicores: 8000, MemoryMB: 1000}}, w)
			o.agents[key].registered = true
			o.board.Add(job, jobs.NewProgress(job), time.Now())
		})
		time.Sleep(time.Second)
		o.post(func() {
			o.started = true
			o.inFlight = &commit{} // nothing is stored here
			o.dispatch(time.Now())
			if n := len(o.board.Attempts(key)); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
		time.Sleep(time.Second)
		o.post(func() {
			o.board.Cancel(job.ID, time.Now())
			o.dispatch(time.Now())
		})
		synctest.Wait()
		for range maxStartsInFlight {
			<-o.startSlots
		}
		time.Sleep(time.Second)
		if n := sent.Load(); n != 0 {
			t.Errorf("%d starts were sent of a job that had been cancelled", n)
		}
		o.post(func() {
			if n := len(o.board.Attempts(key)); n != 0 {
				t.Errorf("%d attempts are left, want none", n)
			}
		})
		synctest.Wait()
	})
}

// Guards against a queued start that is sent although its worker's capacity has shrunk
// meanwhile: of two that wait for a slot, one still fits.
func TestQueuedStartIsNotSentBeyondAShrunkCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		defer end()
		var sent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, time.Millisecond))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(context.Context, platform.StartRequest) (time.Duration, error) { sent.Add(1); return 0, nil }
		for range maxStartsInFlight {
			o.startSlots <- struct{}{}
		}
		job := jobs.Job{ID: "0000000000000001", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 2, Size: jobs.Resources{Millicores: 3000}}}}
		a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1, Size: jobs.Resources{Millicores: 8000}}, w)
		a.registered = true
		o.post(func() {
			o.agents[a.key], o.lifetimes["i-1"] = a, []*agent{a}
			o.board.Add(job, jobs.NewProgress(job), time.Now())
		})
		time.Sleep(time.Second)
		o.post(func() {
			o.started = true
			o.inFlight = &commit{} // nothing is stored here
			o.dispatch(time.Now())
			if n := len(o.board.Attempts(a.key)); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
			a.entry.Size.Millicores = 4000
			o.syncAgent(a)
		})
		synctest.Wait()
		for range maxStartsInFlight {
			<-o.startSlots
		}
		time.Sleep(100 * time.Millisecond)
		if n := sent.Load(); n != 1 {
			t.Errorf("%d starts were sent to a worker with room for one", n)
		}
	})
}

// All slots for starts are taken for some time: a start that waits for one is not sent to a
// worker that leaves meanwhile, nor after its time. With an owner short of processor time ten
// starts reached workers 4.1 s after they had said that they leave.
func TestQueuedStartIsNotSentToALeavingWorker(t *testing.T) {
	const wait = 300 * time.Millisecond // less than maxStartAge
	for _, tt := range []struct {
		name string
		wait time.Duration
		in   func(o *Owner, a *agent)
		want int64 // starts sent
	}{
		{"the worker stays", wait, func(*Owner, *agent) {}, 1},
		{"it drains", wait, func(o *Owner, a *agent) { a.entry.Draining = true; o.syncAgent(a) }, 0},
		{"its host is wanted elsewhere", wait, func(o *Owner, _ *agent) { o.vacate("i-1", time.Now()) }, 0},
		{"its entry is gone", wait, func(o *Owner, a *agent) {
			a.missingSince = time.Now().Add(-2 * missingTimeout)
			o.syncAgent(a)
		}, 0},
		{"it was wanted elsewhere, and is no more", wait, func(o *Owner, a *agent) {
			o.vacate("i-1", time.Now())
			delete(o.vacateUntil, "i-1")
			o.syncAgent(a)
		}, 1},
		{"the owner learns of nothing for long", 2 * maxStartAge, func(*Owner, *agent) {}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, end := idleOwner(t)
				defer end()
				var sent atomic.Int64
				w := &fakeWorker{rate: 1, began: time.Now()}
				w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
					time.Sleep(max(r.Wait, time.Millisecond))
					return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
				}
				w.start = func(context.Context, platform.StartRequest) (time.Duration, error) { sent.Add(1); return 0, nil }
				for range maxStartsInFlight {
					o.startSlots <- struct{}{}
				}
				a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1, Size: jobs.Resources{Millicores: 8000}}, w)
				o.post(func() { o.agents[a.key], o.lifetimes["i-1"] = a, []*agent{a} })
				time.Sleep(time.Second)
				if err := a.enqueue(order{start: &place.StartOrder{Worker: a.key, Task: jobs.Task{Job: "0000000000000001"}, Attempt: 1}}); err != nil {
					t.Fatal(err)
				}
				o.post(func() { tt.in(o, a) })
				time.Sleep(tt.wait)
				for range maxStartsInFlight {
					<-o.startSlots
				}
				time.Sleep(time.Second)
				if n := sent.Load(); n != tt.want {
					t.Errorf("%d starts sent, want %d", n, tt.want)
				}
			})
		})
	}
}

// Guards against leases that lapse though their worker answers: a renewal that is sent right after
// a pause of this process extends no lease, and waits at the worker for longer than the lease of a
// task that is started meanwhile.
func TestStartAfterAPauseOutlastsTheRenewalThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, end := idleOwner(t)
		defer end()
		w := &fakeWorker{rate: 1, began: time.Now().Add(-time.Minute)}
		var mu sync.Mutex
		leaseEnd, running, lapsed := time.Duration(0), false, false
		extend := func(until time.Duration, start bool) {
			mu.Lock()
			defer mu.Unlock()
			lapsed = lapsed || running && leaseEnd < w.clock()
			leaseEnd, running = max(leaseEnd, until), running || start
		}
		calls := 0
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			extend(r.Until, false)
			time.Sleep(r.Wait)
			if calls++; calls == 2 {
				time.Sleep(600 * time.Millisecond) // this process stands still when the answer arrives
				o.status.mu.Lock()
				o.status.pausedAt = time.Now().Add(time.Millisecond)
				o.status.mu.Unlock()
			}
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(_ context.Context, r platform.StartRequest) (time.Duration, error) {
			extend(r.Until, true)
			return w.clock(), nil
		}
		a := newAgent(o.ctx, o, platform.WorkerEntry{ID: "i-1", Born: 1}, w)
		time.Sleep(idleHoldWait + 600*time.Millisecond + 2*tickPeriod) // the store has confirmed the ownership
		a.execute(o.ctx, order{start: &place.StartOrder{Task: jobs.Task{Job: "0000000000000001"}, Attempt: 1}})
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if !running {
			t.Error("not started")
		}
		if lapsed {
			t.Error("the lease of a task lapsed, though its worker answers")
		}
	})
}
