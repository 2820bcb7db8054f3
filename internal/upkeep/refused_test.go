package upkeep

import (
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
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
