package pool

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against an owner that binds thousands of tasks to workers which it can't start in
// time: the starts grow too old to be sent, are placed again, and all of its time goes into
// that (large fleet, 925 workers, a turn of 4,000 tasks a second).
func TestOwnerBindsNoMoreTasksThanItCanStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			workers  = 400
			answer   = 100 * time.Millisecond // of a start: with 128 in flight, some 1,280 starts a second
			duration = 5 * time.Second
		)
		o, end := idleOwner(t)
		var sent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, time.Millisecond))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(context.Context, platform.StartRequest) (time.Duration, error) {
			sent.Add(1)
			time.Sleep(answer)
			return 0, nil
		}
		refused := runBacklog(o, w, workers, duration)
		done := make(chan int)
		o.post(func() {
			n := 0
			for key := range o.agents {
				n += len(o.board.Attempts(key))
			}
			done <- n
		})
		if bound, most := <-done, int(sent.Load())+minStartQueue; bound > most {
			t.Errorf("%d tasks are bound to workers and %d starts were sent, want at most %d bound", bound, sent.Load(), most)
		}
		if refused > 0 {
			t.Errorf("%d starts were given back, though no worker refused any", refused)
		}
		end()
	})
}

// Guards against starts that grow too old to be sent although few may wait: an owner that
// is short of processor time sends fewer in maxStartAge than always may wait.
func TestFewStartsWaitIfTheyAreSentSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			workers  = 400
			list     = 250 * time.Millisecond // until a worker's list is read; no start is answered in time
			duration = 5 * time.Second
		)
		o, end := idleOwner(t)
		var sent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(max(r.Wait, list))
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(ctx context.Context, _ platform.StartRequest) (time.Duration, error) {
			sent.Add(1)
			<-ctx.Done()
			return 0, platform.ErrOutcomeUnknown
		}
		if n := runBacklog(o, w, workers, duration); n > 0 {
			t.Errorf("%d starts were given back as too old, %d were sent", n, sent.Load())
		}
		end()
	})
}

// Guards against an owner that sends more starts of long-running tasks than can be answered, and
// starts hardly any of a wide job, as each start without an answer is made anew.
func TestWideJobStartsThoughStartsAreAnsweredSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			workers  = 9
			handling = 5 * time.Millisecond // of a start, one after the other
			duration = 10 * time.Second
		)
		o, end := idleOwner(t)
		var mu sync.Mutex
		var free time.Time // when the starts that were sent so far have been handled
		answered := 0
		runBacklogOn(o, workers, duration, func() workerClient {
			w := &fakeWorker{rate: 1, began: time.Now()}
			var running []platform.RunningAttempt
			w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
				time.Sleep(max(r.Wait, time.Millisecond))
				mu.Lock()
				defer mu.Unlock()
				return platform.Listing{Clock: w.clock(), ReadAt: time.Now(), Running: slices.Clone(running)}, nil
			}
			w.start = func(ctx context.Context, r platform.StartRequest) (time.Duration, error) {
				mu.Lock()
				wait := max(0, time.Until(free)) + handling
				free = time.Now().Add(wait)
				mu.Unlock()
				select {
				case <-ctx.Done():
					return 0, platform.ErrOutcomeUnknown
				case <-time.After(wait):
				}
				mu.Lock()
				defer mu.Unlock()
				answered++
				running = append(running, platform.RunningAttempt{Task: r.Task, Attempt: r.Attempt})
				return 0, nil
			}
			return w
		}, jobs.Job{
			ID: "0000000000000001", Spec: "lasting", Queue: "q", Pool: "p", Submitted: time.Now(),
			Steps: []jobs.Step{{Count: 4000, Size: jobs.Resources{Millicores: 20, MemoryMB: 10}, LongRunning: true}},
		})
		end()
		if want := int(duration / handling / 2); answered < want {
			t.Errorf("%d starts were answered in %v, want at least %d, half of what can be handled", answered, duration, want)
		}
	})
}

// runBacklog runs a backlog of 16,000 tasks on an owner that stores nothing, and returns how
// many starts were given back meanwhile.
func runBacklog(o *Owner, w *fakeWorker, workers int, duration time.Duration) uint64 {
	backlog := make([]jobs.Job, 20)
	for i := range backlog {
		backlog[i] = benchJob(i, 800, time.Now())
	}
	return runBacklogOn(o, workers, duration, func() workerClient { return w }, backlog...)
}

// runBacklogOn is [runBacklog] for other jobs, on workers of which each has its own client.
func runBacklogOn(o *Owner, workers int, duration time.Duration, client func() workerClient, backlog ...jobs.Job) uint64 {
	o.post(func() {
		for i := range workers {
			e := benchEntry(i)
			a := newAgent(o.ctx, o, e, client())
			a.answered, a.registered = true, true
			o.agents[a.key], o.lifetimes[e.ID], o.entries[e.ID] = a, []*agent{a}, e
			o.syncAgent(a)
		}
		o.started, o.inFlight = true, &commit{}
		for _, job := range backlog {
			o.board.Add(job, jobs.NewProgress(job), time.Now())
		}
	})
	time.Sleep(time.Second) // until the workers have answered
	refused := metricRefused.Get()
	for began := time.Now(); time.Since(began) < duration; time.Sleep(tickPeriod) {
		o.post(func() {
			o.startRate.update(o.startsSent.Load(), time.Now())
			o.dispatch(time.Now())
		})
	}
	return metricRefused.Get() - refused
}
