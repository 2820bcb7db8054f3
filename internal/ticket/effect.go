package ticket

import (
	"fmt"
	"slices"

	"github.com/papayarudder/papayarudder/internal/fleet"
)

// Effects describes in lines of text what a change would do to the state that it
// was decided on: which objects are new, which hosts move, and the budget of each
// pool that it affects.
func Effects(change fleet.Change, state *fleet.State) []string {
	next, err := state.Apply(change)
	if err != nil {
		return nil
	}
	var lines []string
	pools := map[string]bool{}
	for _, p := range change.Pools {
		pools[p.Name] = true
		lines = append(lines, poolEffect(p, state))
	}
	for _, s := range change.Services {
		_, known := state.Services[s.Name]
		lines = append(lines, newOrChanged(known, "service "+s.Name)+", on pool "+s.Pool)
	}
	for _, t := range change.Teams {
		_, known := state.Teams[t.Name]
		lines = append(lines, fmt.Sprintf("%s, %d slots", newOrChanged(known, "team "+t.Name), t.Slots))
	}
	for _, h := range change.Hosts {
		pools[h.Pool] = true
		pools[h.Spec.Pool] = true
		lines = append(lines, hostEffect(h, state))
	}
	return append(lines, budgetEffects(pools, next)...)
}

func newOrChanged(known bool, what string) string {
	if known {
		return what + " is set anew"
	}
	return what + " is new"
}

func poolEffect(p fleet.Pool, state *fleet.State) string {
	old, known := state.Pools[p.Name]
	if known && old.AwayPercent != p.AwayPercent {
		return fmt.Sprintf("pool %s may have %d%% away instead of %d%%", p.Name, p.AwayPercent, old.AwayPercent)
	}
	return newOrChanged(known, "pool "+p.Name)
}

func hostEffect(h fleet.Host, state *fleet.State) string {
	name := "host " + h.Spec.Name
	_, known := state.Hosts[h.Spec.Name]
	switch {
	case known && h.Spec.Pool != h.Pool:
		return fmt.Sprintf("%s is drained and moves from %s to %s", name, h.Pool, h.Spec.Pool)
	case known:
		return newOrChanged(true, name)
	}
	return fmt.Sprintf("%s is new in %s", name, h.Pool)
}

// budgetEffects describes the budget of each touched pool after the change, and
// marks the pools whose hosts cannot move because the budget is 0.
func budgetEffects(touched map[string]bool, next *fleet.State) []string {
	var lines []string
	for _, name := range next.PoolNames() {
		if !touched[name] {
			continue
		}
		away, budget := next.AwayCount(name)
		hosts := next.PoolHosts(name)
		line := fmt.Sprintf("pool %s: %d hosts, %d away, %d may be", name, len(hosts), away, budget)
		movesPending := slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.Spec.Pool != h.Pool })
		if movesPending && budget == 0 {
			line += "; nothing moves until away-percent is raised"
		}
		lines = append(lines, line)
	}
	return lines
}
