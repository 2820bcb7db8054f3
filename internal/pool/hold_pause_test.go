package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// endingWorker is a worker on which a task ends every 20 ms.
type endingWorker struct {
	began    time.Time
	listings atomic.Int64
	ended    atomic.Uint64
}

func (w *endingWorker) Hold(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
	const period = 20 * time.Millisecond
	if r.Wait > 0 {
		sleep(ctx, period-time.Since(w.began)%period)
	}
	last := uint64(time.Since(w.began) / period)
	l := platform.Listing{Clock: time.Since(w.began), ReadAt: time.Now(), Born: 1}
	for n := r.Ack + 1; n <= last; n++ {
		task := jobs.Task{Job: jobs.ID(fmt.Sprintf("%016x", n))}
		l.Ended = append(l.Ended, platform.EndedAttempt{Number: n, Task: task, Attempt: 1, Outcome: jobs.Done})
	}
	w.listings.Add(1)
	w.ended.Store(max(w.ended.Load(), last))
	return l, nil
}

func (w *endingWorker) Start(context.Context, platform.StartRequest) (time.Duration, error) {
	return 0, nil
}
func (w *endingWorker) Stop(context.Context, jobs.Task, int, uint64) error      { return nil }
func (w *endingWorker) Pace(context.Context, jobs.Task, int, int, uint64) error { return nil }
func (w *endingWorker) Close()                                                  {}

// An owner short of processor time spent it on a call for nearly each task that ended.
func TestLateOwnerAsksForMoreEndsAtOnce(t *testing.T) {
	listings := func(late time.Duration) (n int, ended uint64) {
		synctest.Test(t, func(t *testing.T) {
			o, _ := benchOwner(1, 0)
			for range 40 { // two seconds of ticks
				o.holdPause.update(late, tickPeriod)
			}
			w := &endingWorker{began: time.Now()}
			a := newAgent(o.ctx, o, benchEntry(1), w)
			go func() { // stands in for the loop: every end is durable at once
				for {
					select {
					case <-o.posts:
						a.setAck(w.ended.Load())
					case <-o.ctx.Done():
						return
					}
				}
			}()
			time.Sleep(2 * time.Second)
			a.close()
			o.cancel()
			synctest.Wait()
			n, ended = int(w.listings.Load()), w.ended.Load()
		})
		return n, ended
	}
	if n, ended := listings(0); n < 90 || ended < 99 {
		t.Errorf("an owner that keeps up was told of %d ends by %d lists in 2 s, want one for each of 100", ended, n)
	}
	if n, ended := listings(40 * time.Millisecond); n > 20 || ended < 85 {
		t.Errorf("an owner that is 40 ms late was told of %d ends by %d lists in 2 s, want a list every 160 ms", ended, n)
	}
	if n, ended := listings(time.Minute); n < 9 || ended < 85 {
		t.Errorf("an owner that is a minute late was told of %d ends by %d lists in 2 s, want a list every 200 ms", ended, n)
	}
}
