package pool

import (
	"context"
	"testing"
	"time"

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
