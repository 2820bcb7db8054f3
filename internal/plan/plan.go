// Package plan decides the next step of each host's life cycle: drains for
// moves, and moves of hosts that are drained. It is pure.
//
// # Usage
//
//	for _, step := range plan.Steps(state, pool, leaving, evidence, now) {
//		// commit step.Host with step.Cause, on the state's version
//	}
//
// A step is committed on the version of the state that it was decided on, so
// whatever races with it, the budget that was checked here holds when the step
// takes effect.
package plan

import (
	"fmt"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
)

// DrainLimit is how long a drain may take before the host is given back.
const DrainLimit = 10 * time.Minute

// Evidence is what the members say. A member whose lease has provably lapsed
// has fenced itself and is left out.
type Evidence struct {
	// Acked is the lowest version in force over all members.
	Acked uint64
	// Complete tells that every member was heard.
	Complete bool
	// InFlight counts tries over all members, by host.
	InFlight map[string]int
}

// quiet reports whether no member sends to the host any more.
func (e Evidence) quiet(h fleet.Host) bool {
	return e.Complete && e.Acked >= h.Epoch && e.InFlight[h.Spec.Name] == 0
}

// Add takes in what one more member says.
func (e *Evidence) Add(version uint64, inFlight map[string]int) {
	e.Acked = min(e.Acked, version)
	for host, count := range inFlight {
		e.InFlight[host] += count
	}
}

// Pending reports whether any host of the pool is due for a step now or later.
func Pending(state *fleet.State, pool string) bool {
	for _, h := range state.PoolHosts(pool) {
		if h.State != fleet.Serving || h.Spec.Pool != h.Pool {
			return true
		}
	}
	return false
}

// Step is the whole new state of one host.
type Step struct {
	Kind  event.Kind
	Host  fleet.Host
	Cause string
}

// Steps returns the steps that are due in one pool. Epochs are those of the
// version after the state's. Hosts that the platform says are leaving count as
// away.
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
func next(h fleet.Host, evidence Evidence, room bool, now time.Time) (Step, bool) {
	moving := h.Spec.Pool != h.Pool
	switch {
	case h.State == fleet.Serving && moving && room:
		h.State = fleet.Draining
		return Step{event.HostDrain, h, "to move to " + h.Spec.Pool}, true
	case h.State == fleet.Draining && !moving:
		h.State = fleet.Serving
		return Step{event.HostServe, h, "the move was withdrawn"}, true
	case h.State == fleet.Draining && evidence.quiet(h):
		cause := fmt.Sprintf("moved from %s", h.Pool)
		h.Pool = h.Spec.Pool
		h.State = fleet.Serving
		return Step{event.HostMove, h, cause}, true
	case h.State == fleet.Draining && now.Sub(h.Since) > DrainLimit:
		h.State = fleet.Serving
		return Step{event.HostServe, h, "the drain took longer than " + DrainLimit.String()}, true
	}
	return Step{}, false
}
