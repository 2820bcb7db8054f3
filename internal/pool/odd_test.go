package pool

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against ends that are acknowledged though the progress of their job can't be stored,
// and against other jobs that wait for it.
func TestProgressThatDoesNotFitHoldsNobodyUp(t *testing.T) {
	o, entries := benchOwner(2, 0)
	now := time.Now()
	large, small := benchJob(1_000_001, 4000, now), benchJob(1_000_002, 1, now)
	large.MaxAttempts = 100
	o.board.Add(large, jobs.NewProgress(large), now)
	o.board.Add(small, jobs.NewProgress(small), now)
	ends := func(e platform.WorkerEntry, j jobs.Job, n int) {
		var l platform.Listing
		for i := range n {
			l.Ended = append(l.Ended, platform.EndedAttempt{Number: uint64(i + 1), Task: jobs.Task{Job: j.ID, Index: i}, Attempt: 1, Outcome: jobs.Failed})
		}
		o.handleListing(o.agents[lifetimeKey(e)], l, now)
	}
	ends(entries[0], large, 4000)
	ends(entries[1], small, 1)
	for range 2 {
		ids, _ := o.board.Dirty()
		c := o.buildCommit(ids)
		if _, stored := c.states[large.ID]; stored {
			t.Fatal("the progress fits: the test shows nothing")
		}
		o.handleCommitResult(c, c.seq, nil)
	}
	if !o.board.IsDirty(large.ID) || o.agents[lifetimeKey(entries[0])].ackNumber > 0 {
		t.Error("ends are acknowledged that are not stored")
	}
	if o.agents[lifetimeKey(entries[1])].ackNumber != 1 {
		t.Error("the end of another job is not acknowledged")
	}
}
