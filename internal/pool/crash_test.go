package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a crash that does not count because the worker was to be vacated later: its
// task crashes further workers.
func TestCrashCountsThoughTheWorkerIsVacatedAfterIt(t *testing.T) {
	for _, vacate := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			o, end := idleOwner(t)
			w := &fakeWorker{rate: 1, began: time.Now()}
			w.hold = func(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
				time.Sleep(max(r.Wait, time.Millisecond))
				return platform.Listing{Clock: w.clock(), ReadAt: time.Now()}, nil
			}
			done := make(chan int)
			o.post(func() {
				e := benchEntry(1)
				a := newAgent(o.ctx, o, e, w)
				a.answered, a.registered = true, true
				o.agents[a.key], o.lifetimes[e.ID], o.entries[e.ID] = a, []*agent{a}, e
				o.syncAgent(a)
				job := benchJob(1, 1, time.Now())
				o.board.Add(job, jobs.NewProgress(job), time.Now())
				for _, s := range o.board.Decide(time.Now()).Starts {
					o.board.Started(s.Worker, s.Task, s.Attempt, time.Now())
				}
				a.failedCallAt = time.Now()
				o.holdFailed(a, errors.Wrap(platform.ErrConnectionRefused, "test"), 0)
				if vacate {
					o.vacate(e.ID, time.Now())
				}
				o.endLifetime(a, lifetimeCrashed, "another lifetime answers")
				data, _, err := o.board.EncodeProgress(job.ID)
				if err != nil {
					t.Error(err)
				}
				p, err := jobs.DecodeProgress(job, data)
				if err != nil {
					t.Error(err)
				}
				done <- p.CountCrashed()
			})
			if n := <-done; n != 1 {
				t.Errorf("vacated after the crash %v: %d tasks with a crash, want 1", vacate, n)
			}
			end()
		})
	}
}
