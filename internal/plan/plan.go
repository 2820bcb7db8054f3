// Package plan decides the next step of each host's life cycle: it drains a host
// that has to change pools, and moves it once it is drained. Steps and Pending have
// no side effects.
//
// # Usage
//
//	for _, step := range plan.Steps(state, pool, leaving, evidence, now) {
//		// commit step.Host with step.Cause, on the state's version
//	}
//
// A step is committed only if the state is still at the version that the step was
// decided on. The budget that was checked here therefore still holds when the step
// takes effect, also if other changes race with it.
package plan

import (
	"fmt"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
)

// DrainTimeout is how long a drain may take before it is cancelled and the host
// serves its old pool again.
const DrainTimeout = 10 * time.Minute

// Evidence is what the member processes report about their state and their
// requests in flight. A member whose lease has provably expired has fenced itself
// and is not counted.
type Evidence struct {
	// LowestVersion is the lowest state version that any member uses.
	LowestVersion uint64
	// Complete reports whether every member has answered.
	Complete bool
	// InFlight counts the attempts in flight of all members, by host name.
	InFlight map[string]int
}

// drained reports whether all members know of the last change of the host, here its
// drain, and none has an attempt in flight on it.
func (e Evidence) drained(h fleet.Host) bool {
	return e.Complete && e.LowestVersion >= h.Epoch && e.InFlight[h.Spec.Name] == 0
}

// Add merges the report of another member into e.
func (e *Evidence) Add(version uint64, inFlight map[string]int) {
	e.LowestVersion = min(e.LowestVersion, version)
	for host, count := range inFlight {
		e.InFlight[host] += count
	}
}

// Pending reports whether any host of the pool needs a step now or later: it is
// not serving or has to move to another pool.
func Pending(state *fleet.State, pool string) bool {
	for _, h := range state.PoolHosts(pool) {
		if h.State != fleet.Serving || h.Spec.Pool != h.Pool {
			return true
		}
	}
	return false
}

// Step is a change of one host. Host is its complete new value.
type Step struct {
	Kind  event.Kind
	Host  fleet.Host
	Cause string
}

// Steps returns the steps that are due in one pool. The epoch of each changed host
// is the version after that of state. Hosts that the platform lists as leaving
// count as away.
func Steps(state *fleet.State, pool string, leaving map[string]bool, evidence Evidence, now time.Time) []Step {
	var steps []Step
	away, budget := state.AwayCount(pool)
	for _, h := range state.PoolHosts(pool) {
		if !h.IsAway() && leaving[h.Spec.Name] {
			away++
		}
	}
	for _, h := range state.PoolHosts(pool) {
		step, due := next(h, evidence, away < budget, now)
		if !due {
			continue
		}
		if step.Kind == event.HostDrain {
			away++
		}
		step.Host.Epoch = state.Version + 1
		step.Host.Since = now
		steps = append(steps, step)
	}
	return steps
}

// next returns the step that is due for one host, if any.
func next(h fleet.Host, evidence Evidence, withinBudget bool, now time.Time) (Step, bool) {
	moving := h.Spec.Pool != h.Pool
	switch {
	case h.State == fleet.Serving && moving && withinBudget:
		h.State = fleet.Draining
		return Step{event.HostDrain, h, "to move to " + h.Spec.Pool}, true
	case h.State == fleet.Draining && !moving:
		h.State = fleet.Serving
		return Step{event.HostServe, h, "the move was withdrawn"}, true
	case h.State == fleet.Draining && evidence.drained(h):
		cause := fmt.Sprintf("moved from %s", h.Pool)
		h.Pool = h.Spec.Pool
		h.State = fleet.Serving
		return Step{event.HostMove, h, cause}, true
	case h.State == fleet.Draining && now.Sub(h.Since) > DrainTimeout:
		h.State = fleet.Serving
		return Step{event.HostServe, h, "the drain took longer than " + DrainTimeout.String()}, true
	}
	return Step{}, false
}
