package pool

import (
	"testing"
	"time"

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
		{"vacated", func(o *Owner, a *agent) { o.vacate(a.entry.ID, time.Now()); anotherAnswers(o, a) }, 0},
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
