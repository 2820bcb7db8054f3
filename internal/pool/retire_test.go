package pool

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// An order for a host succeeds because it was carried out before, and the worker
// keeps running. Its pool must use the worker again.
func TestRetiredWorkerThatKeepsRunningIsUsedAgain(t *testing.T) {
	t.Parallel()
	o, entry := newOwner(t)
	go o.Run()
	defer o.Close()
	complete := func(id jobs.ID, within time.Duration) bool { return completes(t, o, id, within) }
	if !complete("0000000000000001", 5*time.Second) {
		t.Fatal("the pool completes no job")
	}
	o.Retire(lifetimeKey(entry))
	o.SetWorkers([]platform.WorkerEntry{entry}) // its entry is still listed
	if complete("0000000000000002", time.Second) {
		t.Error("a retired worker is used at once")
	}
	if !complete("0000000000000002", retiredEntryTime+time.Second) {
		t.Errorf("a worker that keeps running is not used %v after its retirement", retiredEntryTime+2*time.Second)
	}
}
