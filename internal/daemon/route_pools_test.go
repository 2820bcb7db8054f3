package daemon

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

const testRoute = "a.example/labels/"

// routedPools are owners of pools without workers, and processes that reach all of them and
// know nothing of each other.
type routedPools struct {
	t         *testing.T
	platform  *mimic.Platform
	settings  platform.Settings
	owners    map[string]*pool.Owner
	processes []*Daemon
}

func newRoutedPools(t *testing.T, processes int, names ...string) *routedPools {
	t.Helper()
	p, err := mimic.New(mimic.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	settings, err := platform.ParseSettings(p.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		t.Fatal(err)
	}
	logger, _ := test.NewNullLogger()
	r := &routedPools{t: t, platform: p, settings: settings, owners: map[string]*pool.Owner{}}
	var pools []platform.PoolConfig
	for _, name := range names {
		r.own(pool.Ownership{Pool: name})
		pools = append(pools, platform.PoolConfig{Name: name})
	}
	for range processes {
		d := New(settings, logrus.NewEntry(logger))
		d.owners = r.owners
		d.config.Store(&configuration{Config: platform.Config{Pools: pools}})
		r.processes = append(r.processes, d)
	}
	return r
}

// own claims a pool from its last owner and waits until the new one answers.
func (r *routedPools) own(last pool.Ownership) pool.Ownership {
	r.t.Helper()
	logger, _ := test.NewNullLogger()
	store := platform.NewStore(r.settings.Store)
	own, err := pool.Claim(r.t.Context(), store, pool.Identity{Node: "entry-1"}, last, pool.Conditions{})
	if err != nil {
		r.t.Fatal(err)
	}
	o := pool.New(r.t.Context(), own, pool.Settings{Store: store, Log: logrus.NewEntry(logger), Retention: time.Second})
	go o.Run()
	r.t.Cleanup(o.Close)
	r.owners[last.Pool] = o
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, v := o.Pending(r.t.Context(), "q"); v == pool.Accepted {
			return own
		}
		if time.Now().After(end) {
			r.t.Fatal("the owner does not answer")
		}
	}
}

// restart replaces the owner of a pool, and makes all processes forget the routes.
func (r *routedPools) restart(name string) {
	r.t.Helper()
	r.owners[name].Close()
	row, err := platform.NewStore(r.settings.Store).ReadRow(r.t.Context(), pool.TableOwner, name, "owner")
	if err != nil {
		r.t.Fatal(err)
	}
	last, err := pool.DecodeOwnership(row)
	if err != nil {
		r.t.Fatal(err)
	}
	r.own(last)
	for _, d := range r.processes {
		d.mu.Lock()
		clear(d.routes)
		d.mu.Unlock()
	}
}

// submit submits a job at a process to a pool, where the route leads in a version of the
// configuration.
func (r *routedPools) submit(process int, id jobs.ID, to string, version uint64) pool.Verdict {
	j := jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: to, Route: testRoute, Submitted: time.Now(), Steps: []jobs.Step{{Count: 1}}}
	return r.processes[process].submit(r.t.Context(), r.owners[to], j, version).Verdict
}

// where returns the pools that have a job.
func (r *routedPools) where(id jobs.ID) []string {
	r.t.Helper()
	var names []string
	for name, o := range r.owners {
		switch _, v := o.State(r.t.Context(), id); v {
		case pool.Accepted:
			names = append(names, name)
		case pool.Missing:
		default:
			r.t.Errorf("pool %s: verdict %v", name, v)
		}
	}
	return names
}

func (r *routedPools) row() routeRow {
	r.t.Helper()
	var row routeRow
	if err := json.Unmarshal(r.platform.Store.Get(tableRoute, testRoute, keyRoute), &row); err != nil {
		r.t.Fatal(err)
	}
	return row
}

// Guards against jobs that two pools accept, or that none does any more, when a route leads
// from one pool to another and back while processes have configurations of different versions.
func TestPoolThatAcceptsTheJobsOfARoute(t *testing.T) {
	t.Parallel()
	type call struct {
		process int
		id      int
		to      string
		version uint64
		want    pool.Verdict
		in      string // the pool that has the job afterwards, if any
	}
	for _, tt := range []struct {
		name  string
		calls []call
	}{
		{"one pool", []call{{0, 1, "p1", 1, pool.Accepted, "p1"}, {1, 1, "p1", 1, pool.Accepted, "p1"}, {1, 2, "p1", 2, pool.Accepted, "p1"}, {0, 3, "p1", 1, pool.Accepted, "p1"}}},
		{"a job of before is sent again", []call{{0, 1, "p1", 1, pool.Accepted, "p1"}, {1, 1, "p2", 2, pool.Accepted, "p1"}, {0, 1, "p2", 2, pool.Accepted, "p1"}}},
		{"an older configuration", []call{{0, 1, "p1", 1, pool.Accepted, "p1"}, {1, 2, "p2", 2, pool.Accepted, "p2"}, {0, 3, "p1", 1, pool.Unknown, ""}, {0, 3, "p2", 2, pool.Accepted, "p2"}}},
		{"an older configuration, sent again", []call{{0, 1, "p1", 1, pool.Accepted, "p1"}, {1, 2, "p2", 2, pool.Accepted, "p2"}, {0, 2, "p1", 1, pool.Unknown, "p2"}}},
		{"back to the first pool", []call{
			{0, 1, "p1", 1, pool.Accepted, "p1"},
			{1, 2, "p2", 2, pool.Accepted, "p2"},
			{0, 3, "p1", 3, pool.Accepted, "p1"},
			{1, 4, "p2", 2, pool.Unknown, ""},
			{1, 2, "p1", 3, pool.Accepted, "p2"},
			{1, 4, "p1", 3, pool.Accepted, "p1"},
		}},
		{"versions that no submission saw", []call{{0, 1, "p1", 1, pool.Accepted, "p1"}, {1, 2, "p1", 5, pool.Accepted, "p1"}, {0, 3, "p3", 7, pool.Accepted, "p3"}, {1, 4, "p2", 6, pool.Unknown, ""}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRoutedPools(t, 2, "p1", "p2", "p3")
			for i, c := range tt.calls {
				id := jobs.ID(fmt.Sprintf("%016x", c.id))
				if v := r.submit(c.process, id, c.to, c.version); v != c.want {
					t.Errorf("call %d: verdict %v, want %v", i, v, c.want)
				}
				if have := fmt.Sprint(r.where(id)); have != "["+c.in+"]" {
					t.Errorf("call %d: the job is in %s, want %q", i, have, c.in)
				}
				want := pool.Missing
				if c.in != "" {
					want = pool.Accepted
				}
				for p, d := range r.processes {
					for name, o := range r.owners {
						if v := d.state(t.Context(), o, id, testRoute, caller{}).Verdict; v != want && (v != pool.Missing || name == c.to) {
							t.Errorf("call %d: state from process %d at %s: verdict %v, want %v", i, p, name, v, want)
						}
					}
				}
			}
		})
	}
}

// Guards against a route that no pool accepts jobs of, because a process closed it at its pool
// and ended before it opened it at another one.
func TestRouteThatWasClosedOnly(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 2, "p1", "p2")
	for i, c := range []struct {
		close   bool
		to      string
		version uint64
		want    pool.Verdict
	}{
		{false, "p1", 1, pool.Accepted},
		{true, "p1", 2, pool.Accepted}, // for p2
		{false, "p1", 1, pool.Unknown},
		{false, "p1", 3, pool.Accepted},
		{true, "p1", 4, pool.Accepted},
		{false, "p2", 4, pool.Accepted},
		{false, "p1", 3, pool.Unknown},
	} {
		if c.close {
			if v := r.owners[c.to].CloseRoute(t.Context(), testRoute, c.version); v != c.want {
				t.Errorf("call %d: closing: verdict %v, want %v", i, v, c.want)
			}
			continue
		}
		if v := r.submit(i%2, jobs.ID(fmt.Sprintf("%016x", i)), c.to, c.version); v != c.want {
			t.Errorf("call %d: verdict %v, want %v", i, v, c.want)
		}
	}
}

// Guards against a job that two pools accept when its submission arrives at processes with
// configurations of different versions at the same time.
func TestSubmissionsOfOneJobToTwoPools(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 3, "p1", "p2", "p3")
	accepted := 0
	for n := range 60 {
		id := jobs.ID(fmt.Sprintf("%016x", n))
		var wait sync.WaitGroup
		for process := range r.processes {
			wait.Go(func() { // each is a version ahead of the one before
				version := n/10 + process
				r.submit(process, id, fmt.Sprintf("p%d", 1+version%3), uint64(1+version))
			})
		}
		wait.Wait()
		in := r.where(id)
		if len(in) > 1 {
			t.Errorf("job %s is in %v", id, in)
		}
		accepted += len(in)
	}
	if accepted < 30 {
		t.Errorf("%d of 60 jobs were accepted, want 30 at least", accepted)
	}
}

// Guards against earlier pools that are asked for ever, and against a pool that counts as empty
// while it has a cancelled id of a submission still to come.
func TestEarlierPoolsAreForgotten(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	d := r.processes[0]
	r.submit(0, "0000000000000001", "p1", 1)
	r.submit(0, "0000000000000002", "p2", 2)
	if row := r.row(); fmt.Sprint(row) != "{p2 2 [p1]}" {
		t.Fatalf("row %v", row)
	}
	if v := d.cancelJob(t.Context(), r.owners["p2"], "0000000000000001", testRoute, caller{version: 2}).Verdict; v != pool.Accepted {
		t.Fatalf("cancel of a job in the earlier pool: verdict %v", v)
	}
	for end := time.Now().Add(10 * time.Second); len(r.where("0000000000000001")) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cancelled job does not expire")
		}
	}
	r.submit(0, "0000000000000003", "p2", 2)
	if row := r.row(); len(row.Earlier) != 0 {
		t.Errorf("row %v, want no earlier pools", row)
	}
	if v := d.cancelJob(t.Context(), r.owners["p1"], "0000000000000004", testRoute, caller{version: 1}).Verdict; v != pool.Missing {
		t.Errorf("cancel of an unknown job: verdict %v, want %v", v, pool.Missing)
	}
	r.submit(0, "0000000000000005", "p1", 3) // the cancelled id is in both pools
	r.submit(0, "0000000000000006", "p2", 4)
	if row := r.row(); fmt.Sprint(row) != "{p2 4 [p1]}" {
		t.Errorf("row %v, want p1 as an earlier pool", row)
	}
}

// Guards against an earlier pool that is asked about for ever though it was removed from the
// configuration and has no owner: its route would accept no jobs.
func TestEarlierPoolWithoutAnOwner(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	d := r.processes[0]
	r.submit(0, "0000000000000001", "p1", 1)
	r.owners["p1"].Close()
	delete(r.owners, "p1")
	if v := r.submit(0, "0000000000000002", "p2", 2); v != pool.Unknown {
		t.Errorf("while p1 may be claimed: verdict %v, want %v", v, pool.Unknown)
	}
	d.config.Store(&configuration{Config: platform.Config{Version: 2, Pools: []platform.PoolConfig{{Name: "p2"}}}})
	if v := r.submit(0, "0000000000000002", "p2", 2); v != pool.Accepted {
		t.Errorf("once p1 was removed: verdict %v, want %v", v, pool.Accepted)
	}
}

// Guards against a job that runs in the pool to which its route leads now, though its cancel was
// acknowledged by the pool before: at that time nothing had been submitted by the route, or the
// process had an older or a newer configuration than the one that takes the submission.
func TestCancelHoldsWhereverTheRouteLeads(t *testing.T) {
	t.Parallel()
	type place struct {
		to      string
		version uint64
	}
	for _, tt := range []struct {
		name         string
		first        place // of another submission, if any
		cancel, then place
		want         pool.Verdict
	}{
		{"no submission before", place{}, place{"p1", 1}, place{"p2", 2}, pool.Accepted},
		{"another submission before", place{"p1", 1}, place{"p1", 1}, place{"p2", 2}, pool.Accepted},
		{"older configuration at the cancel", place{"p2", 2}, place{"p1", 1}, place{"p2", 2}, pool.Accepted},
		{"newer configuration at the cancel", place{"p1", 1}, place{"p2", 2}, place{"p1", 1}, pool.Accepted},
		{"newer configuration at the cancel, no submission before", place{}, place{"p2", 2}, place{"p1", 1}, pool.Unknown},
		{"a version between", place{"p1", 1}, place{"p3", 3}, place{"p2", 2}, pool.Accepted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRoutedPools(t, 2, "p1", "p2", "p3")
			const id = jobs.ID("0000000000000001")
			if tt.first.to != "" {
				r.submit(1, "0000000000000002", tt.first.to, tt.first.version)
			}
			if v := r.processes[0].cancelJob(t.Context(), r.owners[tt.cancel.to], id, testRoute, caller{version: tt.cancel.version}).Verdict; v != pool.Missing {
				t.Errorf("cancel: verdict %v, want %v", v, pool.Missing)
			}
			if v := r.submit(1, id, tt.then.to, tt.then.version); v != tt.want {
				t.Errorf("submission: verdict %v, want %v", v, tt.want)
			}
			for _, name := range r.where(id) {
				if s, _ := r.owners[name].State(t.Context(), id); s != jobs.Cancelled {
					t.Errorf("state in pool %s: %s, want %s", name, s, jobs.Cancelled)
				}
			}
		})
	}
}

// Guards against a read of the store for each caller that asks for an unknown job, or cancels
// one.
func TestCallersShareTheReadsOfARoute(t *testing.T) {
	t.Parallel()
	const callers = 200
	r := newRoutedPools(t, 1, "p1")
	d, o := r.processes[0], r.owners["p1"]
	r.submit(0, "0000000000000001", "p1", 1)
	before := r.platform.Store.Calls()
	var wait sync.WaitGroup
	for n := range callers {
		id := jobs.ID(fmt.Sprintf("%016x", 100+n))
		wait.Go(func() {
			if v := d.state(t.Context(), o, id, testRoute, caller{}).Verdict; v != pool.Missing {
				t.Errorf("state: verdict %v, want %v", v, pool.Missing)
			}
		})
		wait.Go(func() {
			if v := d.cancelJob(t.Context(), o, id, testRoute, caller{version: 1}).Verdict; v != pool.Missing {
				t.Errorf("cancel: verdict %v, want %v", v, pool.Missing)
			}
		})
	}
	wait.Wait()
	if calls := r.platform.Store.Calls() - before; calls > callers/2 {
		t.Errorf("%d calls to the store for %d callers, want %d at most", calls, 2*callers, callers/2)
	} else {
		t.Logf("%d calls to the store", calls)
	}
}

// Guards against jobs that are accepted again: the process that owns the next pool of a route has
// not read the configuration yet that added the last one, whose owner is being replaced.
func TestPoolOfANewerConfigurationDoesNotCountAsRemoved(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 2, "p1", "p2")
	if v := r.submit(0, "0000000000000001", "p1", 7); v != pool.Accepted {
		t.Fatalf("verdict %v", v)
	}
	behind := r.processes[1]
	behind.owners = map[string]*pool.Owner{"p2": r.owners["p2"]}
	behind.config.Store(&configuration{Config: platform.Config{Version: 6, Pools: []platform.PoolConfig{{Name: "p2"}}}})
	if v := r.submit(1, "0000000000000001", "p2", 8); v != pool.Unknown {
		t.Errorf("verdict %v on a job while the pool that may have it can't be asked, want %v", v, pool.Unknown)
	}
	if at := r.where("0000000000000001"); !slices.Equal(at, []string{"p1"}) {
		t.Errorf("the job is in %v, want p1 alone", at)
	}
}

// Guards against submissions that get no verdict in time while the store is away: they wait for
// callers that ask for unknown jobs of the same route, each of whom tries to read its row.
func TestSubmissionDoesNotWaitForReadsOfItsRoute(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1")
	if v := r.submit(0, "0000000000000001", "p1", 7); v != pool.Accepted {
		t.Fatalf("verdict %v", v)
	}
	time.Sleep(routeMaxAge)
	r.platform.Store.Fail(mimic.Silent)
	d := r.processes[0]
	for range 8 {
		go d.state(t.Context(), r.owners["p1"], "0000000000000002", testRoute, caller{})
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	if _, err := d.openRoute(t.Context(), testRoute, "p1", 7, 0); err != nil || time.Since(began) > callEachPool {
		t.Errorf("an open route, known to this process, is found after %v, error %v", time.Since(began).Round(time.Millisecond), err)
	}
}

// Guards against a job that gets no verdict when it is sent again, since an earlier pool of its
// route has no owner, though the pool that is asked has it.
func TestKnownJobIsAcceptedWithoutTheEarlierPools(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	r.submit(0, "0000000000000001", "p1", 1)
	r.submit(0, "0000000000000002", "p2", 2)
	r.owners["p1"].Close()
	delete(r.owners, "p1")
	if v := r.submit(0, "0000000000000002", "p2", 2); v != pool.Accepted {
		t.Errorf("verdict %v on a job of p2 that is sent again, want %v", v, pool.Accepted)
	}
	if v := r.submit(0, "0000000000000003", "p2", 2); v != pool.Unknown {
		t.Errorf("verdict %v on a job that p1 may have, want %v", v, pool.Unknown)
	}
}

// Guards against a queue's length without the jobs in earlier pools of its route: what is known of
// the route is old, and the store is away.
func TestQueueLengthCountsEarlierPoolsWithoutTheStore(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	d := r.processes[0]
	r.submit(0, "0000000000000001", "p1", 1)
	r.submit(0, "0000000000000002", "p2", 2)
	old := d.findRoute(testRoute).get()
	old.readAt = old.readAt.Add(-2 * pendingRouteMaxAge)
	d.findRoute(testRoute).known.Store(&old)
	r.platform.Store.Fail(mimic.Busy)
	if reply := d.pendingJobs(t.Context(), r.owners["p2"], "q", testRoute, caller{}); reply.Count != 2 {
		t.Errorf("%d jobs wait, want 2", reply.Count)
	}
}

// Guards against a queue that accepts nothing after a restart because the part of the store with
// its route's row is away, and against one that does though its route leads elsewhere by now.
func TestRouteIsOpenWithoutItsRow(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	submit := func(id jobs.ID, to string, version uint64, want pool.Verdict) {
		t.Helper()
		if v := r.submit(0, id, to, version); v != want {
			t.Errorf("job %s, pool %s, version %d: verdict %v, want %v", id, to, version, v, want)
		}
	}
	submit("0000000000000001", "p1", 1, pool.Accepted)
	submit("0000000000000002", "p1", 1, pool.Accepted) // its transaction stores the opening
	r.restart("p1")
	r.platform.Store.FailPart(testRoute, true)
	submit("0000000000000003", "p1", 1, pool.Accepted)
	r.platform.Store.FailPart(testRoute, false)
	submit("0000000000000004", "p2", 2, pool.Accepted)
	r.restart("p1")
	r.platform.Store.FailPart(testRoute, true)
	submit("0000000000000005", "p1", 1, pool.Unknown)
	if in := r.where("0000000000000005"); len(in) > 0 {
		t.Errorf("the job of a closed route is in %v", in)
	}
}

// Guards against a pool that was removed without an owner and comes back: its next owner finds that
// the route leads to it, and accepts a job that the pool in between has.
func TestRouteLeadsBackToAPoolThatWasRemoved(t *testing.T) {
	t.Parallel()
	r := newRoutedPools(t, 1, "p1", "p2")
	d := r.processes[0]
	submit := func(id jobs.ID, to string, version uint64, in string) {
		t.Helper()
		if v := r.submit(0, id, to, version); v != pool.Accepted {
			t.Errorf("job %s, pool %s, version %d: verdict %v, want %v", id, to, version, v, pool.Accepted)
		}
		if at := r.where(id); !slices.Equal(at, []string{in}) {
			t.Errorf("job %s is in %v, want %s alone", id, at, in)
		}
	}
	submit("0000000000000001", "p1", 1, "p1")
	submit("0000000000000002", "p1", 1, "p1") // its transaction stores the opening
	former := r.owners["p1"]
	former.Close()
	delete(r.owners, "p1")
	d.config.Store(&configuration{Config: platform.Config{Version: 2, Pools: []platform.PoolConfig{{Name: "p2"}}}})
	submit("0000000000000003", "p2", 2, "p2")
	d.config.Store(&configuration{Config: platform.Config{Version: 3, Pools: []platform.PoolConfig{{Name: "p1"}, {Name: "p2"}}}})
	r.owners["p1"] = former
	r.restart("p1")
	submit("0000000000000003", "p1", 3, "p2")
	submit("0000000000000004", "p1", 3, "p1")
}
