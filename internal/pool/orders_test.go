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
)

// Many workers get starts of batch tasks at once: their number at any time does not grow
// with the pool, or their answers would wait for the owner's processor until they time out.
// Starts of long-running tasks and stops do not wait behind them.
func TestStartsUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 4 * maxParallelStarts
		o, end := idleOwner(t)
		var batch, most, all, urgent atomic.Int64
		w := &fakeWorker{rate: 1, began: time.Now()}
		w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
			time.Sleep(r.Wait)
			return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
		}
		w.start = func(_ context.Context, r platform.StartRequest) (time.Duration, error) {
			if r.Spec == "lasting" {
				urgent.Add(1)
				return w.clock(), nil
			}
			all.Add(1)
			now := batch.Add(1)
			most.Store(max(most.Load(), now))
			time.Sleep(100 * time.Millisecond)
			batch.Add(-1)
			return w.clock(), nil
		}
		agents := make([]*agent, workers)
		for i := range agents {
			agents[i] = newAgent(o.ctx, o, platform.WorkerEntry{ID: fmt.Sprintf("i-%d", i), Born: 1}, w)
		}
		time.Sleep(time.Second)
		queue := func(a *agent, spec string, longRunning bool) {
			start := place.StartOrder{Worker: a.key, Task: jobs.Task{Job: "0000000000000001"}, Attempt: 1, Spec: spec}
			if err := a.enqueue(order{start: &start, longRunning: longRunning}); err != nil {
				t.Error(err)
			}
		}
		for _, a := range agents {
			queue(a, "batch", false)
			queue(a, "batch", false)
		}
		synctest.Wait()
		queue(agents[workers-1], "lasting", true)
		synctest.Wait()
		if urgent.Load() != 1 {
			t.Error("the start of a long-running task waits behind those of batch tasks")
		}
		time.Sleep(time.Minute)
		if n := most.Load(); n > maxParallelStarts {
			t.Errorf("%d starts of batch tasks under way at once, want at most %d", n, maxParallelStarts)
		}
		if n := all.Load(); n != 2*workers {
			t.Errorf("%d starts sent, want %d", n, 2*workers)
		}
		end()
	})
}
