package pool

import (
	"context"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a worker that is left out although its entry is listed: lists of entries
// may arrive out of order, and one from before a restart ends the present lifetime.
func TestWorkerIsUsedAfterAnOldListOfEntries(t *testing.T) {
	o, _ := benchOwner(0, 0)
	var cancel context.CancelFunc
	o.ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	before, present := benchEntry(0), benchEntry(0)
	before.Version, present.Version, present.Born = 1, 2, before.Born+1
	set := func(entries ...platform.WorkerEntry) {
		for _, e := range entries {
			o.SetWorkers([]platform.WorkerEntry{e})
			(<-o.posts)()
		}
	}
	set(before, present, before, present)
	o.removeLostWorkers(time.Now()) // as at the next tick
	set(present)
	if a := o.agents[lifetimeKey(present)]; a == nil || a.lifetimeEnded {
		t.Errorf("the listed worker %s is not used", lifetimeKey(present))
	}
}

// A call to a worker that fails after the worker was removed does not bring it back: a pool of
// 109 workers had 44 that did not exist, to which the fleet's holder turned again and again.
func TestRemovedWorkerStaysRemoved(t *testing.T) {
	for _, tt := range []struct {
		name   string
		report func(o *Owner, a *agent)
	}{
		{"a renewal fails", func(o *Owner, a *agent) { o.holdFailed(a, platform.ErrOutcomeUnknown, 0) }},
		{"another lifetime answers a renewal", func(o *Owner, a *agent) { o.holdFailed(a, platform.ErrLifetimeMismatch, 0) }},
		{"another lifetime answers a stop", func(o *Owner, a *agent) {
			o.stopAnswered(a, place.StopOrder{}, time.Now(), platform.ErrLifetimeMismatch)
		}},
		{"lists arrive", func(o *Owner, a *agent) { a.answered = false; o.handleListing(a, platform.Listing{}, time.Now()) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o, entries := benchOwner(2, 0)
			a := o.agents[lifetimeKey(entries[0])]
			a.worker = &fakeWorker{}
			a.failedCallAt = time.Now()
			o.board.RemoveWorker(a.key, time.Now())
			o.removeAgent(a)
			tt.report(o, a)
			if n := o.board.Summary(time.Now()).Workers; n != 1 {
				t.Errorf("%d workers, want 1", n)
			}
		})
	}
}

// One call vacates all workers that are wanted elsewhere, tells of those that the pool has
// alone, and repeating it costs no change of the board.
func TestVacateManyWorkers(t *testing.T) {
	o, entries := benchOwner(3, 0)
	o.started = true
	go func() {
		for f := range o.calls {
			f()
		}
	}()
	workers := []string{entries[0].ID, "i-unknown", entries[2].ID}
	vacated, v := o.Vacate(t.Context(), workers)
	if v != Accepted || len(vacated) != 2 {
		t.Fatalf("%v, verdict %v, want two workers", vacated, v)
	}
	for _, e := range []platform.WorkerEntry{entries[0], entries[2]} {
		if got, want := vacated[e.ID], (Vacated{len(o.board.Attempts(lifetimeKey(e))), lifetimeKey(e)}); got != want {
			t.Errorf("%s: %+v, want %+v", e.ID, got, want)
		}
	}
	if n := o.board.Summary(time.Now()).Vacated; n != 2 {
		t.Errorf("%d workers are being vacated, want 2", n)
	}
	steps := 0
	o.board.Record = func(place.Step) { steps++ }
	if _, v := o.Vacate(t.Context(), workers); v != Accepted || steps != 0 {
		t.Errorf("the same call again: verdict %v, %d changes of the board, want none", v, steps)
	}
}
