package upkeep

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against a pool that gets no host because the platform refuses to move the first one
// that is chosen, which was chosen again and again.
func TestRefusedMoveTurnsToAnotherHost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := NewPlanner(testPolicy(), DefaultWavePolicy(2*time.Second), time.Second)
	p.SetLoads(testPools, map[string]place.Load{"a": {Wanted: hostSize, Largest: hostSize}, "b": loadOf("b", 2, 2, 0)})
	p.SetHosts(append(hostsOf("b", 2), hostsOf("spare", 4)...), now)
	var refused []string
	for range 2 {
		p.PlanMoves(testPools, now)
		for _, m := range p.Leaving(now) {
			if slices.Contains(refused, m.Host.Name) {
				t.Errorf("%s is moved again after it was refused", m.Host.Name)
			}
			refused = append(refused, m.Host.Name)
			p.RemoveLeaving(m)
			p.MoveRefused(m, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if len(refused) < 3 {
		t.Errorf("moves of %v, want others after those that were refused", refused)
	}
	now = now.Add(refusedPause)
	if p.PlanMoves(testPools, now); len(p.Leaving(now)) == 0 {
		t.Error("a host that was refused is never moved again")
	}
}

// Guards against a wave that stops at a host whose maintenance the platform refuses, while
// the others wait.
func TestRefusedMaintenanceTurnsToAnotherHost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	hosts := hostsOf("spare", 3)
	p := NewPlanner(testPolicy(), DefaultWavePolicy(2*time.Second), time.Second)
	p.SetLoads(testPools, nil)
	p.OpenWave(platform.Wave{Number: 1, Hosts: []string{"spare0", "spare1", "spare2"}, Duration: time.Minute, MaxUnavailable: 1}, now)
	var maintained []string
	for range 200 {
		p.SetHosts(hosts, now)
		actions, complete := p.PlanWave(1, now)
		for _, a := range actions {
			p.MaintenanceOrdered(1, a.Host.Name, now)
			if a.Host.Name == "spare0" {
				p.MaintenanceRefused(1, a.Host.Name, now)
				continue
			}
			maintained = append(maintained, a.Host.Name)
			p.MaintenanceBegun(1, a.Host.Name, now)
		}
		if complete {
			t.Fatal("the wave is complete, though a host was refused")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if !slices.Equal(maintained, []string{"spare1", "spare2"}) {
		t.Errorf("maintained %v, want the two hosts that are not refused", maintained)
	}
}

// newHolders claims the fleet twice and returns both keepers, neither of which runs.
func newHolders(t *testing.T) (first, second *Keeper) {
	t.Helper()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	settings, err := platform.ParseSettings(p.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(settings.Store)
	first = newHolder(t, store, pool.Ownership{Pool: "@fleet"})
	return first, newHolder(t, store, first.Own)
}

// Guards against a holder that was frozen and tells the operator of a wave what it remembers.
func TestReplacedHolderWritesNoStatus(t *testing.T) {
	first, second := newHolders(t)
	if !second.writeStatus(7, true) {
		t.Fatal("the holder's status is not written")
	}
	if first.writeStatus(7, false) {
		t.Error("a replaced holder wrote the status of a wave")
	}
	r, err := first.Store.ReadRow(t.Context(), platform.TableStatus, "", platform.PrefixWave+"7")
	if err != nil || string(r.Value) != string(platform.EncodeWaveStatus(true)) {
		t.Errorf("status %s, %v, want that of the holder", r.Value, err)
	}
}

// Guards against a holder that can't renew once the operator has ordered more waves than a
// transaction takes.
func TestRenewalWithManyWaves(t *testing.T) {
	const waves = 250
	_, k := newHolders(t)
	now := time.Now()
	for n := 1; n <= waves; n++ {
		k.OpenWave(platform.Wave{Number: n, Hosts: []string{"p1-0"}, Duration: time.Minute, MaxUnavailable: 1}, now)
		k.plans[n].hosts["p1-0"].begun = true
		k.plans[n].done = n <= 100
	}
	for range waves/maxStoredWaves + 1 {
		if err := k.renew(time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	for n := 1; n <= waves; n++ {
		begun, complete, err := Progress(t.Context(), k.Store, k.Own.Pool, n)
		if err != nil || len(begun) != 1 || complete != (n <= 100) {
			t.Fatalf("wave %d: begun %v, complete %v, %v", n, begun, complete, err)
		}
	}
}
