package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// tenants returns the organisations with their present keys, as the configuration has them.
func (r *rig) tenants() string {
	var all []platform.Organisation
	first := int(r.generation.Load())
	for i := range organisationCount {
		all = append(all, platform.Organisation{Name: fmt.Sprint("org-", i), Keys: []string{keyOf(i, first), keyOf(i, first+1)}, Weight: 10_000})
	}
	return mimic.Tenants(all)
}

// changeKeys removes the older generation of keys from time to time, and adds a new one.
func (f *faults) changeKeys(random *rand.Rand) {
	for {
		time.Sleep(between(random, applyTime, 5*time.Second))
		if !time.Now().Before(f.until) {
			return
		}
		f.mu.Lock()
		f.version++
		f.rig.generation.Add(1)
		f.rig.platform.Configure(f.configuration())
		f.rig.record.keysChanged(int(f.rig.generation.Load()))
		f.mu.Unlock()
	}
}

func (r *record) keysChanged(first int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = append(r.keys, keyChange{time.Now(), first})
}

// tryKeys makes calls with keys that are to be refused, until a time.
func (c *callers) tryKeys(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(between(random, 50*time.Millisecond, 250*time.Millisecond))
		j, p, method := newJob(0, random, false), c.anyProcess(random, nil), http.MethodPost
		if known := c.recent.Load(); known != nil && random.IntN(2) == 0 {
			j, method = known, http.MethodGet
		}
		own, generation := organisationOf(j.id), int(c.rig.generation.Load())
		tried := probe{call: call{node: p.node, method: method}}
		switch pick := random.IntN(3); {
		case pick == 0 && method == http.MethodGet:
			tried.key, tried.foreign = keyOf((own+1)%organisationCount, generation), true
		case pick == 1:
			tried.key = "odd"
		default:
			tried.key = keyOf(own, generation-1-random.IntN(2))
		}
		tried.sent = time.Now()
		tried.status, tried.state = c.exchange(c.clients[0], j, tried.key, p, method, callTimeout)
		if tried.status != 0 {
			tried.answered = time.Now()
		}
		c.rig.record.mu.Lock()
		c.rig.record.probes = append(c.rig.record.probes, tried)
		if method == http.MethodPost && tried.status != http.StatusUnauthorized { // its key was still known, or there was no answer
			c.rig.record.jobs[j.id] = j
			j.calls = append(j.calls, tried.call)
		}
		c.rig.record.mu.Unlock()
	}
}

func TestChecksOfKeys(t *testing.T) {
	keys := []keyChange{{at(0), 1}, {at(10), 2}, {at(20), 3}}
	made := func(key string, status int, when float64) call {
		c := answered("GET", status, "", when)
		c.key = key
		return c
	}
	for _, tt := range []struct {
		name    string
		call    call
		foreign bool
		fault   fault
		want    map[string]int
	}{
		{"in force", made(keyOf(0, 2), 200, 15), false, fault{}, nil},
		{"added before", made(keyOf(0, 3), 401, 15), false, fault{}, map[string]int{"CONFIG": 1}},
		{"added just now", made(keyOf(0, 3), 401, 12), false, fault{}, nil},
		{"removed before", made(keyOf(0, 1), 200, 15), false, fault{}, map[string]int{"CONFIG": 1}},
		{"removed just now", made(keyOf(0, 1), 200, 12), false, fault{}, nil},
		{"removed before, out of touch", made(keyOf(0, 1), 200, 15), false, fault{node: "entry-1", begin: at(11), end: at(13)}, nil},
		{"removed and refused", made(keyOf(0, 1), 401, 15), false, fault{}, nil},
		{"never there", made("odd", 200, 15), false, fault{node: "entry-1", begin: at(11), end: at(13)}, map[string]int{"ROUTE": 1}},
		{"of another organisation", made(keyOf(0, 2), 200, 15), true, fault{}, map[string]int{"ROUTE": 1}},
		{"of another organisation, refused", made(keyOf(0, 2), 403, 15), true, fault{}, nil},
		{"of the same organisation, refused", made(keyOf(0, 2), 403, 15), false, fault{}, map[string]int{"CONFIG": 1}},
	} {
		o := observations{keys: keys, probes: []probe{{tt.call, tt.foreign}}, faults: []fault{tt.fault}}
		if got := tally(o.checkKeys()); fmt.Sprint(got) != fmt.Sprint(tt.want) && len(got)+len(tt.want) > 0 {
			t.Errorf("%s: broken %v, want %v", tt.name, got, tt.want)
		}
	}
}
