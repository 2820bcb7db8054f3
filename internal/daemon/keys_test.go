package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against decisions about keys by a configuration that is old after a standstill, and
// against reads of the store for each of many callers.
func TestWhenTheConfigurationIsReadForCallers(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var f freshness
	f.confirm(at(0))
	for ms := 0; ms <= 2000; ms += 250 {
		if f.noteRunning(at(ms)) {
			t.Fatalf("paused at %d ms while it runs", ms)
		}
	}
	if !f.noteRunning(at(3000)) || !f.noteRunning(at(3010)) {
		t.Error("a standstill of a second is not noticed")
	}
	if f.confirm(at(2500)); !f.noteRunning(at(3020)) {
		t.Error("an answer to a request from before the standstill counts")
	}
	if f.confirm(at(3030)); f.noteRunning(at(3040)) {
		t.Error("paused after the configuration was read")
	}
	f.runningWall = f.runningWall.Add(-time.Second) // the host was suspended, and the monotonic clock with it
	if !f.noteRunning(at(3050)) {
		t.Error("a suspension is not noticed")
	}
	reads := 0
	for ms := 4000; ms < 6000; ms++ {
		if f.beginRead(at(ms)) {
			reads++
		}
	}
	if reads != 4 {
		t.Errorf("%d reads in 2 s, want 4", reads)
	}
	f.readFailed(at(6000))
	if f.beginRead(at(7900)) || !f.beginRead(at(8000)) {
		t.Error("a failed read is not repeated after 2 s")
	}
}

func checked(organisation string, version uint64) caller {
	return caller{pool.Caller{Organisation: organisation}, version}
}

func keyed(version uint64, organisations ...platform.Organisation) *configuration {
	return newConfiguration(platform.Config{
		Version: version, Organisations: organisations,
		Queues: []platform.Queue{{Name: "q", Host: "a.example", Prefix: "/labels/", Pool: "p1"}},
		Pools:  []platform.PoolConfig{{Name: "p1"}, {Name: "p2"}},
	}, nil)
}

// Guards against an entry with an old configuration that lets in an organisation which the
// owner's later one lacks, and against one that shows jobs to other organisations, also those in
// an earlier pool of the route.
func TestOwnerDecidesAboutOrganisations(t *testing.T) {
	r := newRoutedPools(t, 1, "p1", "p2")
	d, p1, p2 := r.processes[0], r.owners["p1"], r.owners["p2"]
	d.config.Store(keyed(3, platform.Organisation{Name: "north", Keys: []string{"n-1"}}, platform.Organisation{Name: "east"}))
	const id = jobs.ID("00000000000000aa")
	submit := func(o *pool.Owner, organisation string, version uint64) pool.Verdict {
		j := jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: o.Name(), Route: testRoute, Submitted: time.Now(), Steps: []jobs.Step{{Count: 1}}, Organisation: organisation}
		return d.submit(t.Context(), o, j, version).Verdict
	}
	for _, tt := range []struct {
		organisation string
		owner        *pool.Owner
		version      uint64
		want         pool.Verdict
	}{
		{"south", p1, 2, pool.Outdated}, // the owner's later configuration lacks it
		{"north", p1, 2, pool.Accepted},
		{"north", p1, 3, pool.Accepted},
		{"east", p1, 3, pool.Forbidden},
		{"south", p1, 4, pool.Forbidden}, // in a configuration that the owner does not have yet
		{"", p1, 3, pool.Accepted},       // the queue is public by now
		{"east", p2, 5, pool.Forbidden},  // the route leads to another pool
		{"north", p2, 5, pool.Accepted},
	} {
		if got := submit(tt.owner, tt.organisation, tt.version); got != tt.want {
			t.Errorf("submission by %q at version %d to %s: verdict %v, want %v", tt.organisation, tt.version, tt.owner.Name(), got, tt.want)
		}
	}
	for _, tt := range []struct {
		from caller
		want pool.Verdict
	}{
		{caller{}, pool.Accepted},
		{checked("north", 5), pool.Accepted},
		{checked("east", 5), pool.Forbidden},
		{checked("south", 2), pool.Outdated},
		{caller{pool.Caller{PublicRoute: testRoute}, 5}, pool.Accepted}, // the queue is public by now
		{caller{pool.Caller{PublicRoute: "a.example/open/"}, 5}, pool.Forbidden},
	} {
		for _, o := range []*pool.Owner{p1, p2} {
			if got := d.state(t.Context(), o, id, testRoute, tt.from).Verdict; got != tt.want {
				t.Errorf("state for %+v from %s: verdict %v, want %v", tt.from, o.Name(), got, tt.want)
			}
			if tt.want == pool.Accepted {
				continue
			}
			if got := d.cancelJob(t.Context(), o, id, testRoute, tt.from).Verdict; got != tt.want {
				t.Errorf("cancel for %+v at %s: verdict %v, want %v", tt.from, o.Name(), got, tt.want)
			}
		}
	}
	if got := d.pendingJobs(t.Context(), p1, "q", testRoute, checked("south", 2)).Verdict; got != pool.Outdated {
		t.Errorf("queue length: verdict %v, want %v", got, pool.Outdated)
	}
	if got := d.cancelJob(t.Context(), p2, id, testRoute, checked("north", 5)).Verdict; got != pool.Accepted {
		t.Errorf("cancel by its organisation: verdict %v, want %v", got, pool.Accepted)
	}
}

// Guards against an entry that refuses a key which was added before, or goes back to an older
// configuration when it reads the store for a caller.
func TestEntryReadsTheConfigurationBeforeItRefuses(t *testing.T) {
	r := newRoutedPools(t, 1, "p1")
	d := r.processes[0]
	d.config.Store(keyed(3, platform.Organisation{Name: "north", Keys: []string{"n-1"}}))
	call := func(key, path string) int {
		request := httptest.NewRequest(http.MethodGet, "http://a.example"+path, nil)
		request.Header.Set(platform.KeyHeader, key)
		answer := httptest.NewRecorder()
		d.serveCaller(answer, request)
		return answer.Code
	}
	stored := func(version, tenants string) string {
		return `{"version":` + version + `,"routes":[{"name":"q","host":"a.example","prefix":"/labels/","service":"p1"}],"tenants":[` + tenants + `]}`
	}
	r.platform.Configure(stored("2", `{"name":"south","api_keys":["s-1"],"weight":1}`))
	if status := call("s-1", "/labels/"); status != http.StatusUnauthorized {
		t.Errorf("key of an older version: %d, want 401", status)
	}
	if status := call("n-1", "/labels/"); status != http.StatusOK {
		t.Errorf("known key: %d, want 200", status)
	}
	time.Sleep(refreshPeriod)
	r.platform.Configure(stored("4", `{"name":"south","api_keys":["s-2"],"weight":1}`))
	if status := call("s-2", "/labels/"); status != http.StatusOK {
		t.Errorf("key of a later version: %d, want 200", status)
	}
	if status := call("n-1", "/labels/"); status != http.StatusUnauthorized {
		t.Errorf("removed key: %d, want 401", status)
	}

	time.Sleep(refreshPeriod)
	r.platform.Configure(stored("5", `{"name":"south","api_keys":["s-3"],"weight":1}`))
	d.fresh.runningAt = d.fresh.runningAt.Add(-time.Minute) // the process stood still
	if status := call("s-2", "/labels/"); status != http.StatusUnauthorized {
		t.Errorf("key that was removed during a standstill: %d, want 401", status)
	}
}
