package pool

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// An order for a host succeeds because it was carried out before, and the worker
// keeps running. Its pool must use the worker again.
func TestRetiredWorkerThatKeepsRunningIsUsedAgain(t *testing.T) {
	t.Parallel()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	settings, err := platform.ParseSettings(p.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(settings.Store)
	self := Identity{Node: "entry-1", Life: "1"}
	own, err := Claim(t.Context(), store, self, Ownership{Pool: "p1"})
	if err != nil {
		t.Fatal(err)
	}
	rows, _, err := store.ReadAll(t.Context(), platform.TableWorkers, "")
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d workers, %v", len(rows), err)
	}
	entry, err := platform.DecodeWorker(rows[0])
	if err != nil {
		t.Fatal(err)
	}
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	o := New(t.Context(), own, Settings{Self: self, Store: store, Log: logrus.NewEntry(silent)})
	o.SetWorkers([]platform.WorkerEntry{entry})
	go o.Run()
	defer o.Close()
	complete := func(id jobs.ID, within time.Duration) bool {
		j := jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}}}}
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if _, v := o.State(t.Context(), id); v == Missing || v == Unknown {
				o.Submit(t.Context(), j)
			}
			if s, _ := o.State(t.Context(), id); s == jobs.Complete {
				return true
			}
		}
		return false
	}
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
