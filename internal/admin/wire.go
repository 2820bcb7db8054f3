package admin

import (
	"maps"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/ticket"
)

// ErrorWire is the JSON form of an error response.
type ErrorWire struct {
	Error string `json:"error"`
}

// FaultWire is the JSON form of a fault of a ticket: a field whose value is invalid.
type FaultWire struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// DecisionWire is the JSON form of the decision on a ticket.
type DecisionWire struct {
	Verdict string      `json:"verdict"`
	Reason  string      `json:"reason"`
	Version uint64      `json:"version,omitempty"`
	Faults  []FaultWire `json:"faults,omitempty"`
	Effects []string    `json:"effects,omitempty"` // set for a plan only
}

// PoolWire is the JSON form of a pool. Waiting, Running and Slots are set only if the
// process that answers dispatches the pool.
type PoolWire struct {
	Name        string   `json:"name"`
	AwayPercent int      `json:"away-percent"`
	Hosts       int      `json:"hosts"`
	Away        int      `json:"away"`
	Budget      int      `json:"budget"`
	Services    []string `json:"services"`
	Ticket      uint64   `json:"ticket"`
	Dispatched  bool     `json:"dispatched-here"`
	Waiting     int      `json:"waiting"`
	Running     int      `json:"running"`
	Slots       int      `json:"slots"`
}

// HostWire is the JSON form of a host.
type HostWire struct {
	Name    string    `json:"name"`
	Pool    string    `json:"pool"`
	Target  string    `json:"target"`
	State   string    `json:"state"`
	Epoch   uint64    `json:"epoch"`
	Since   time.Time `json:"since"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack"`
	Slots   int       `json:"slots"`
	Ticket  uint64    `json:"ticket"`
}

// MemberWire is the JSON form of a [Member].
type MemberWire struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Admin    string   `json:"admin"`
	Version  uint64   `json:"version"`
	Suspect  bool     `json:"suspect"`
	Pools    []string `json:"pools,omitempty"`
	InFlight int      `json:"in-flight"`
}

func decisionToWire(d ticket.Decision) DecisionWire {
	w := DecisionWire{Verdict: string(d.Verdict), Reason: d.Reason, Version: d.Change.Version}
	for _, f := range d.Faults {
		w.Faults = append(w.Faults, FaultWire(f))
	}
	return w
}

func poolsToWire(state *fleet.State, loads []PoolLoad) []PoolWire {
	byPool := map[string]PoolLoad{}
	for _, load := range loads {
		byPool[load.Pool] = load
	}
	wires := []PoolWire{}
	for _, name := range state.PoolNames() {
		pool := state.Pools[name]
		away, budget := state.AwayCount(name)
		load, dispatched := byPool[name]
		w := PoolWire{
			Name:        name,
			AwayPercent: pool.AwayPercent,
			Hosts:       len(state.PoolHosts(name)),
			Away:        away,
			Budget:      budget,
			Services:    []string{},
			Ticket:      pool.TicketNumber,
			Dispatched:  dispatched,
			Waiting:     load.Waiting,
			Running:     load.Running,
			Slots:       load.Slots,
		}
		for _, s := range state.PoolServices(name) {
			w.Services = append(w.Services, s.Name)
		}
		wires = append(wires, w)
	}
	return wires
}

func hostsToWire(state *fleet.State) []HostWire {
	wires := []HostWire{}
	for _, name := range slices.Sorted(maps.Keys(state.Hosts)) {
		h := state.Hosts[name]
		wires = append(wires, HostWire{
			Name:    name,
			Pool:    h.Pool,
			Target:  h.Spec.Pool,
			State:   string(h.State),
			Epoch:   h.Epoch,
			Since:   h.Since,
			Address: h.Spec.Addr.String(),
			Zone:    h.Spec.Zone,
			Rack:    h.Spec.Rack,
			Slots:   h.Spec.Slots,
			Ticket:  h.TicketNumber,
		})
	}
	return wires
}
