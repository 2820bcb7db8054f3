package pool

import (
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/quota"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// quotaRig is a platform with two pools of one host each, whose organisation "a" has a quota.
type quotaRig struct {
	t        *testing.T
	platform *mimic.Platform
	mu       sync.Mutex // guards writes to owners, and reads by their calls
	owners   map[string]*Owner
	limit    jobs.Resources
	version  uint64
	submits  int
}

func newQuotaRig(t *testing.T, limit int) *quotaRig {
	t.Helper()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}, {Name: "p2", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	r := &quotaRig{t: t, platform: p, owners: map[string]*Owner{}, limit: jobs.Resources{Millicores: limit}, version: 1}
	r.takeOver("p1", Ownership{Pool: "p1"})
	r.takeOver("p2", Ownership{Pool: "p2"})
	return r
}

// takeOver begins a pool's next ownership.
func (r *quotaRig) takeOver(name string, seen Ownership) {
	r.t.Helper()
	settings, err := platform.ParseSettings(r.platform.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		r.t.Fatal(err)
	}
	store := platform.NewStore(settings.Store)
	self := Identity{Node: "entry-1", Life: "1"}
	own, err := Claim(r.t.Context(), store, self, seen, Conditions{})
	if err != nil {
		r.t.Fatal(err)
	}
	rows, _, err := store.ReadAll(r.t.Context(), platform.TableWorkers, "")
	if err != nil {
		r.t.Fatal(err)
	}
	var entries []platform.WorkerEntry
	for _, row := range rows {
		if e, err := platform.DecodeWorker(row); err == nil && e.Pool == name {
			entries = append(entries, e)
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(r.t.Context(), own, Settings{Self: self, Store: store, Log: logrus.NewEntry(log), HintQuota: func(name, organisation string) {
		r.mu.Lock()
		other := r.owners[name]
		r.mu.Unlock()
		if other != nil {
			other.GiveBack(organisation)
		}
	}})
	o.SetOrganisations(r.organisations(), r.version)
	o.SetWorkers(entries)
	r.mu.Lock()
	r.owners[name] = o
	r.mu.Unlock()
	go o.Run()
	r.t.Cleanup(o.Close)
}

func (r *quotaRig) organisations() []platform.Organisation {
	return []platform.Organisation{{Name: "a", Weight: 1, Quota: r.limit}, {Name: "free", Weight: 1}}
}

func (r *quotaRig) setLimit(limit int) {
	r.limit, r.version = jobs.Resources{Millicores: limit}, r.version+1
	for _, o := range r.owners {
		o.SetOrganisations(r.organisations(), r.version)
	}
}

func (r *quotaRig) submit(name, organisation, spec string, tasks, millicores int) {
	r.t.Helper()
	r.submits++
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%016x", r.submits)), Spec: spec, Queue: "q", Pool: name, Submitted: time.Now(), Organisation: organisation,
		Steps: []jobs.Step{{Count: tasks, Size: jobs.Resources{Millicores: millicores}}}, Target: time.Minute,
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if v, _ := r.owners[name].Submit(r.t.Context(), j); v == Accepted {
			return
		} else if time.Now().After(end) {
			r.t.Fatalf("job for %s: verdict %v", name, v)
		}
	}
}

// running returns how many tasks run in the pools together.
func (r *quotaRig) running() int {
	n := 0
	for _, w := range r.platform.Workers() {
		n += len(w.Running())
	}
	return n
}

// reaches waits until so many tasks run.
func (r *quotaRig) reaches(want int, within time.Duration) {
	r.t.Helper()
	for end := time.Now().Add(within); r.running() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d tasks run after %v, want %d", r.running(), within, want)
		}
	}
}

// most returns the most tasks that have run at a time since a moment, by the workers' records.
func (r *quotaRig) most(since time.Time) int {
	runs, most := r.platform.Runs(), 0
	for _, at := range runs {
		if at.Started.Before(since) {
			continue
		}
		n := 0
		for _, other := range runs {
			if !other.Started.After(at.Started) && (other.Ended.IsZero() || other.Ended.After(at.Started)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a quota of which one pool alone can't use all, or which two pools exceed
// together.
func TestPoolsShareAQuota(t *testing.T) {
	r := newQuotaRig(t, 4000)
	r.submit("p1", "a", "700ms", 20, 500) // the quota has room for 8
	r.reaches(8, 2*time.Second)
	began := time.Now()
	r.submit("p2", "a", "300ms", 12, 500)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		done := 0
		for _, run := range r.platform.Runs() {
			if run.How == "done" {
				done++
			}
		}
		if done == 32 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of 32 tasks are done after 5 s", done)
		}
	}
	if most := r.most(time.Time{}); most > 8 {
		t.Errorf("%d tasks ran at a time, the quota has room for 8", most)
	}
	first := time.Duration(0)
	for _, run := range r.platform.Runs() {
		if run.Spec == "300ms" && (first == 0 || run.Started.Sub(began) < first) {
			first = run.Started.Sub(began)
		}
	}
	if first > 2*time.Second {
		t.Errorf("the second pool's first task started after %v", first)
	}
}

// Guards against a quota that is not kept, or not used, after it was lowered and raised while tasks
// run.
func TestQuotaIsLoweredAndRaised(t *testing.T) {
	r := newQuotaRig(t, 4000)
	r.submit("p1", "a", "100ms", 200, 500)
	r.submit("p2", "a", "100ms", 200, 500)
	r.reaches(8, 2*time.Second)
	r.setLimit(2000)
	time.Sleep(500 * time.Millisecond) // the tasks that ran end in 100 ms
	lowered := time.Now()
	time.Sleep(500 * time.Millisecond)
	if most := r.most(lowered); most > 4 || most < 2 {
		t.Errorf("%d tasks ran at a time, the quota has room for 4", most)
	}
	r.setLimit(6000)
	r.reaches(12, 2*time.Second)
	if most := r.most(lowered); most > 12 {
		t.Errorf("%d tasks ran at a time, the quota has room for 12", most)
	}
}

// Guards against a next owner that starts tasks within an allotment which those of the one before use
// up, and against an allotment that is lost with its owner.
func TestNextOwnerInheritsTheAllotment(t *testing.T) {
	r := newQuotaRig(t, 4000)
	r.submit("p1", "a", "400ms", 60, 500)
	r.reaches(8, 2*time.Second)
	former := r.owners["p1"]
	r.platform.Workers()[0].Silence(true)
	r.takeOver("p1", Ownership{Pool: "p1", Token: former.Token(), Version: former.rowVersion})
	r.submit("p2", "a", "100ms", 20, 500)
	time.Sleep(400 * time.Millisecond)
	r.platform.Workers()[0].Silence(false)
	time.Sleep(time.Second)
	r.reaches(8, 5*time.Second)
	if most := r.most(time.Time{}); most > 8 {
		t.Errorf("%d tasks ran at a time, the quota has room for 8", most)
	}
}

// Guards against rows and calls for organisations without a quota, and against their tasks being
// held up by the store.
func TestOrganisationsWithoutAQuotaCostNothing(t *testing.T) {
	r := newQuotaRig(t, 0)
	r.submit("p1", "free", "5s", 10, 500)
	r.submit("p1", "a", "5s", 6, 500)
	r.reaches(16, 2*time.Second)
	for part := range quota.Parts {
		for _, name := range []string{"a", "free"} {
			if row := r.platform.Store.Get(quota.Table, fmt.Sprint(part), name); row != nil {
				t.Errorf("row of %s: %s", name, row)
			}
		}
	}
}

// Guards against writes in the steady state: tasks come and go, and the demand stays.
func TestSteadyDemandWritesLittle(t *testing.T) {
	r := newQuotaRig(t, 4000)
	r.submit("p1", "a", "50ms", 400, 250)
	r.submit("p2", "a", "50ms", 400, 250)
	time.Sleep(time.Second)
	before := metricQuotaWrites.Get()
	time.Sleep(time.Second)
	if writes := metricQuotaWrites.Get() - before; writes > 2 {
		t.Errorf("%d writes of one organisation in a second by two owners", writes)
	}
}

// Guards against a pool that keeps a quota for which it has no workers, while another pool's tasks
// wait for it.
func TestQuotaGoesWhereTheWorkersAre(t *testing.T) {
	r := newQuotaRig(t, 12000)            // a worker has room for 8000
	r.submit("p1", "free", "1m", 14, 500) // leaves room for two tasks
	r.submit("p1", "a", "1m", 100, 500)
	r.reaches(16, 2*time.Second)
	r.submit("p2", "a", "1m", 16, 500)
	r.reaches(32, 5*time.Second)
}
