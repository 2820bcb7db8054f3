package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against crashes that are counted for workers that left as they were told to, and
// against some that are not counted, or forgotten by a report that comes late.
func TestHowALifetimeEndsDecidesWhetherItIsACrash(t *testing.T) {
	anotherAnswers := func(o *Owner, a *agent) { o.holdFailed(a, platform.ErrLifetimeMismatch, 0) }
	for _, tt := range []struct {
		name string
		end  func(o *Owner, a *agent)
		want int // crashes under each task
	}{
		{"another lifetime answers", anotherAnswers, 1},
		{"it has started anew", func(o *Owner, a *agent) {
			e := a.entry
			e.Born++
			o.addAgent(e)
		}, 1},
		{"entry gone and silent", func(o *Owner, a *agent) {
			a.silent, a.missingSince = true, time.Now().Add(-2*missingTimeout)
			a.leasesExpireAt = time.Time{}
			o.mayBeLost[a] = true
			o.removeLostWorkers(time.Now())
			if o.agents[a.key] != nil {
				panic("the worker was not removed")
			}
			anotherAnswers(o, a) // a call that was under way
		}, 1},
		{"ordered elsewhere", func(o *Owner, a *agent) {
			o.Retire(a.key)
			(<-o.posts)()
		}, 0},
		{"refuses connections, then ordered elsewhere", func(o *Owner, a *agent) {
			o.holdFailed(a, platform.ErrConnectionRefused, 0)
			o.Retire(a.key)
			(<-o.posts)()
		}, 0},
		{"drained", func(o *Owner, a *agent) { a.entry.Draining = true; anotherAnswers(o, a) }, 0},
		{"vacated, though not ordered away", func(o *Owner, a *agent) { o.vacate(a.entry.ID, time.Now()); anotherAnswers(o, a) }, 1},
		{"refuses connections, then answers", func(o *Owner, a *agent) {
			o.holdFailed(a, platform.ErrConnectionRefused, 0)
			o.handleListing(a, platform.Listing{}, time.Now())
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o, entries := benchOwner(4, 0)
			a := o.agents[lifetimeKey(entries[0])]
			a.worker, a.cancel = &fakeWorker{}, func() {}
			attempts := o.board.Attempts(a.key)
			if len(attempts) == 0 {
				t.Fatal("no attempts")
			}
			tt.end(o, a)
			for _, attempt := range attempts {
				if n := crashesOf(t, o.board, attempt.Task); n != tt.want {
					t.Fatalf("%d crashes recorded under %s, want %d", n, attempt.Task, tt.want)
				}
			}
		})
	}
}

// crashesOf returns how many settled crashes would be stored under a task.
func crashesOf(t *testing.T, b *place.Board, task jobs.Task) int {
	t.Helper()
	j, _ := b.Job(task.Job)
	data, _, err := b.EncodeProgress(task.Job)
	if err != nil {
		t.Fatal(err)
	}
	p, err := jobs.DecodeProgress(j, data)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, c := range p.Crashes(task) {
		if c.Settled {
			n++
		}
	}
	return n
}

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
				a.callFailed(time.Now())
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

// Guards against a host that goes dark or is cut off and looks like the fault of a task, as
// connections to it fail later (issue 45, LOST), and against a crash that is not put down to a
// task because no renewal was under way.
func TestOnlyConnectionsThatFailAtOnceBlameATask(t *testing.T) {
	refused := errors.Mark(errors.Wrap(platform.ErrNotDone, "test"), platform.ErrConnectionRefused)
	broken := errors.Mark(errors.Wrap(platform.ErrOutcomeUnknown, "test"), platform.ErrConnectionBroken)
	silence := errors.Wrap(platform.ErrOutcomeUnknown, "test")
	for _, tt := range []struct {
		name   string
		events func(a *agent)
		want   bool
	}{
		{"a call breaks off", func(a *agent) { a.noteFailure(broken, time.Now()) }, true},
		{"a call is refused", func(a *agent) { a.noteFailure(refused, time.Now()) }, true},
		{"a call breaks off, others are refused", func(a *agent) {
			a.noteFailure(broken, time.Now())
			time.Sleep(time.Second)
			a.noteFailure(refused, time.Now())
		}, true},
		{"silence, then a call breaks off", func(a *agent) {
			a.noteFailure(silence, time.Now())
			a.noteFailure(broken, time.Now())
		}, false},
		{"silence, then a call is refused", func(a *agent) {
			a.noteFailure(silence, time.Now())
			a.noteFailure(refused, time.Now())
		}, false},
		{"a call breaks off half a second later", func(a *agent) {
			time.Sleep(500 * time.Millisecond)
			a.noteFailure(broken, time.Now())
		}, false},
		{"a call breaks off, the next one is answered, then silence", func(a *agent) {
			a.noteFailure(broken, time.Now())
			time.Sleep(time.Millisecond)
			a.callAnswered(time.Now())
			a.noteFailure(silence, time.Now())
		}, false},
		{"no answer to a start, an earlier renewal is answered, then a call breaks off", func(a *agent) {
			sentAt := time.Now()
			time.Sleep(time.Millisecond)
			a.noteFailure(silence, time.Now())
			a.callAnswered(sentAt)
			a.noteFailure(broken, time.Now())
		}, false},
		{"another lifetime answers", func(a *agent) { a.noteFailure(platform.ErrLifetimeMismatch, time.Now()) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			o, _ := benchOwner(4, 0)
			for _, a := range o.agents {
				a.entry.Size.Millicores, a.entry.Size.MemoryMB = 2*a.entry.Size.Millicores, 2*a.entry.Size.MemoryMB
				o.syncAgent(a)
			}
			starts := o.board.Decide(time.Now()).Starts
			if len(starts) == 0 {
				t.Fatal("nothing is started")
			}
			for _, s := range starts {
				o.board.Started(s.Worker, s.Task, s.Attempt, time.Now())
			}
			a, task := o.agents[starts[0].Worker], starts[0].Task
			a.worker, a.cancel = &fakeWorker{}, func() {}
			tt.events(a)
			o.endLifetime(a, lifetimeCrashed, "another lifetime answers")
			job, _ := o.board.Job(task.Job)
			data, _, err := o.board.EncodeProgress(job.ID)
			if err != nil {
				t.Fatal(err)
			}
			p, err := jobs.DecodeProgress(job, data)
			if err != nil {
				t.Fatal(err)
			}
			crashes := p.Crashes(task)
			if len(crashes) != 1 || crashes[0].Prompt != tt.want {
				t.Errorf("%s: crashes %+v, want one, prompt %t", tt.name, crashes, tt.want)
			}
		})
	}
}
