// Package ticket parses, validates and decides change tickets. A ticket has a
// number and holds the complete new value of each object that it changes.
//
// # Usage
//
// Parse reads a ticket from JSON and reports all its faults at once. Decide checks
// it against the current state and, if it is accepted, returns the change that
// puts it in force:
//
//	t, faults := ticket.Parse(data)
//	decision := ticket.Decide(t, state, acceptedDigest, now)
//	if decision.Verdict == ticket.Accepted {
//		// commit decision.Change
//	}
//
// Decide has no side effects: the same arguments give the same decision.
package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/papayarudder/papayarudder/internal/fleet"
)

// Ticket is a numbered request by an operator to change the fleet.
type Ticket struct {
	Number   uint64
	Author   string
	Reason   string
	Pools    []fleet.Pool
	Services []fleet.Service
	Teams    []fleet.Team
	Hosts    []fleet.HostSpec
	Digest   string // SHA-256 of the content, tells a repeated ticket from a conflicting one
}

// ticketWire is the JSON form of a [Ticket].
type ticketWire struct {
	Number   uint64               `json:"number"`
	Author   string               `json:"author"`
	Reason   string               `json:"reason"`
	Pools    []fleet.PoolWire     `json:"pools,omitempty"`
	Services []fleet.ServiceWire  `json:"services,omitempty"`
	Teams    []fleet.TeamWire     `json:"teams,omitempty"`
	Hosts    []fleet.HostSpecWire `json:"hosts,omitempty"`
}

// Parse reads a ticket from JSON. It returns every fault that can be found without
// the current state. A ticket with faults must not be used.
func Parse(data []byte) (Ticket, []fleet.Fault) {
	var w ticketWire
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return Ticket{}, []fleet.Fault{{Field: "ticket", Value: truncate(data), Allowed: "a JSON ticket: " + err.Error()}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Ticket{}, []fleet.Fault{{Field: "ticket", Value: truncate(data), Allowed: "one JSON object and nothing after it"}}
	}
	t, faults := fromWire(w)
	faults = append(faults, t.validate()...)
	return t, dedupe(faults)
}

func fromWire(w ticketWire) (Ticket, []fleet.Fault) {
	var faults []fleet.Fault
	t := Ticket{Number: w.Number, Author: w.Author, Reason: w.Reason, Digest: digest(w)}
	for _, p := range w.Pools {
		p.Number = w.Number
		t.Pools = append(t.Pools, fleet.PoolFromWire(p))
	}
	for i, s := range w.Services {
		s.Number = w.Number
		service, more := fleet.ServiceFromWire(s, fmt.Sprintf("services[%d]", i))
		t.Services = append(t.Services, service)
		faults = append(faults, more...)
	}
	for _, m := range w.Teams {
		m.TicketNumber = w.Number
		t.Teams = append(t.Teams, fleet.TeamFromWire(m))
	}
	for i, h := range w.Hosts {
		spec, more := fleet.HostSpecFromWire(h, fmt.Sprintf("hosts[%d]", i))
		t.Hosts = append(t.Hosts, spec)
		faults = append(faults, more...)
	}
	return t, faults
}

// digest returns the SHA-256 of the re-encoded content, so that white space and the
// order of keys make no difference.
func digest(w ticketWire) string {
	data, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (t Ticket) validate() []fleet.Fault {
	var faults []fleet.Fault
	if t.Number == 0 {
		faults = append(faults, fleet.Fault{Field: "number", Value: "0", Allowed: "1 or more"})
	}
	if t.Author == "" {
		faults = append(faults, fleet.Fault{Field: "author", Allowed: "who answers for the ticket"})
	}
	if len(t.Pools)+len(t.Services)+len(t.Teams)+len(t.Hosts) == 0 {
		faults = append(faults, fleet.Fault{Field: "ticket", Allowed: "at least one pool, service, team or host"})
	}
	seen := map[string]bool{}
	check := func(kind string, i int, name string, validate func(path string) []fleet.Fault) {
		path := fmt.Sprintf("%s[%d]", kind, i)
		faults = append(faults, validate(path)...)
		if seen[kind+name] {
			faults = append(faults, fleet.Fault{Field: path + ".name", Value: name, Allowed: "each name once in a ticket"})
		}
		seen[kind+name] = true
	}
	for i, p := range t.Pools {
		check("pools", i, p.Name, p.Validate)
	}
	for i, s := range t.Services {
		check("services", i, s.Name, s.Validate)
	}
	for i, m := range t.Teams {
		check("teams", i, m.Name, m.Validate)
	}
	for i, h := range t.Hosts {
		check("hosts", i, h.Name, h.Validate)
	}
	return faults
}

// dedupe keeps only the first fault of each field. Otherwise a value that cannot be
// parsed would also be reported as out of range.
func dedupe(faults []fleet.Fault) []fleet.Fault {
	seen := map[string]bool{}
	var kept []fleet.Fault
	for _, f := range faults {
		if seen[f.Field] {
			continue
		}
		seen[f.Field] = true
		kept = append(kept, f)
	}
	return kept
}

func truncate(data []byte) string {
	const maxBytes = 40
	if len(data) <= maxBytes {
		return string(data)
	}
	return string(data[:maxBytes]) + "..."
}

// Verdict is the result of deciding a ticket.
type Verdict string

// The verdicts. Repeated means that the same ticket is already in force, which is a
// success. Superseded means that a ticket with a higher number has changed one of
// its objects. Conflict means that a ticket with the same number but other content
// was accepted before.
const (
	Accepted   Verdict = "accepted"
	Repeated   Verdict = "repeated"
	Superseded Verdict = "superseded"
	Conflict   Verdict = "conflict"
	Invalid    Verdict = "invalid"
)

// Decision is a verdict with its reason. Change is set only for [Accepted], and
// Faults only for [Invalid].
type Decision struct {
	Verdict Verdict
	Reason  string
	Faults  []fleet.Fault
	Change  fleet.Change
}

// Decide checks a ticket against the current state. acceptedDigest is the digest of
// the ticket that was accepted under the same number, or empty if there is none.
func Decide(t Ticket, state *fleet.State, acceptedDigest string, now time.Time) Decision {
	if acceptedDigest == t.Digest {
		return Decision{Verdict: Repeated, Reason: fmt.Sprintf("ticket %d is in force already", t.Number)}
	}
	if acceptedDigest != "" {
		reason := fmt.Sprintf("ticket %d was accepted with other content", t.Number)
		return Decision{Verdict: Conflict, Reason: reason}
	}
	if reason := supersededReason(t, state); reason != "" {
		return Decision{Verdict: Superseded, Reason: reason}
	}
	if faults := checkReferences(t, state); len(faults) > 0 {
		return Decision{Verdict: Invalid, Reason: "the ticket does not fit the state in force", Faults: faults}
	}
	return Decision{Verdict: Accepted, Reason: fmt.Sprintf("ticket %d", t.Number), Change: newChange(t, state, now)}
}

// supersededReason names the first object of the ticket that a newer ticket has
// changed. It returns an empty string if there is none.
func supersededReason(t Ticket, state *fleet.State) string {
	report := func(kind, name string, inForce uint64) string {
		if inForce <= t.Number {
			return ""
		}
		return fmt.Sprintf("%s %s is at ticket %d, which is newer than %d", kind, name, inForce, t.Number)
	}
	for _, p := range t.Pools {
		if reason := report("pool", p.Name, state.Pools[p.Name].TicketNumber); reason != "" {
			return reason
		}
	}
	for _, s := range t.Services {
		if reason := report("service", s.Name, state.Services[s.Name].TicketNumber); reason != "" {
			return reason
		}
	}
	for _, m := range t.Teams {
		if reason := report("team", m.Name, state.Teams[m.Name].TicketNumber); reason != "" {
			return reason
		}
	}
	for _, h := range t.Hosts {
		if reason := report("host", h.Name, state.Hosts[h.Name].TicketNumber); reason != "" {
			return reason
		}
	}
	return ""
}

// checkReferences checks that every pool named by the ticket exists, in the state or in
// the ticket itself, that the hosts which are already away exceed no new budget,
// and that no two hosts share an address.
func checkReferences(t Ticket, state *fleet.State) []fleet.Fault {
	pools := map[string]bool{}
	for _, p := range t.Pools {
		pools[p.Name] = true
	}
	known := func(pool string) bool {
		_, inForce := state.Pools[pool]
		return inForce || pools[pool]
	}
	var faults []fleet.Fault
	for i, s := range t.Services {
		if !known(s.Pool) {
			faults = append(faults, fleet.Fault{Field: fmt.Sprintf("services[%d].pool", i), Value: s.Pool, Allowed: "a pool in force or in this ticket"})
		}
	}
	for i, h := range t.Hosts {
		if !known(h.Pool) {
			faults = append(faults, fleet.Fault{Field: fmt.Sprintf("hosts[%d].pool", i), Value: h.Pool, Allowed: "a pool in force or in this ticket"})
		}
	}
	faults = append(faults, exceededBudgets(t, state)...)
	return append(faults, sharedAddresses(t, state)...)
}

// exceededBudgets returns a fault for each pool of the ticket whose new budget is
// lower than the number of its hosts that are away now.
func exceededBudgets(t Ticket, state *fleet.State) []fleet.Fault {
	var faults []fleet.Fault
	for i, p := range t.Pools {
		away, _ := state.AwayCount(p.Name)
		if hosts := len(state.PoolHosts(p.Name)); away > p.Budget(hosts) {
			faults = append(faults, fleet.Fault{
				Field:   fmt.Sprintf("pools[%d].away-percent", i),
				Value:   fmt.Sprint(p.AwayPercent),
				Allowed: fmt.Sprintf("at least %d, for %d of %d hosts are away now", (100*away+hosts-1)/hosts, away, hosts),
			})
		}
	}
	return faults
}

func sharedAddresses(t Ticket, state *fleet.State) []fleet.Fault {
	owners := map[string]string{}
	touched := map[string]bool{}
	for _, h := range t.Hosts {
		touched[h.Name] = true
	}
	for name, h := range state.Hosts {
		if !touched[name] {
			owners[h.Spec.Addr.String()] = name
		}
	}
	var faults []fleet.Fault
	for i, h := range t.Hosts {
		addr := h.Addr.String()
		if owner, taken := owners[addr]; taken {
			faults = append(faults, fleet.Fault{Field: fmt.Sprintf("hosts[%d].address", i), Value: addr, Allowed: "an address of its own; host " + owner + " has this one"})
		}
		owners[addr] = h.Name
	}
	return faults
}

// newChange returns the change that puts the ticket in force. A known host keeps its
// current pool and state: the planner moves it once it is drained.
func newChange(t Ticket, state *fleet.State, now time.Time) fleet.Change {
	c := fleet.Change{
		Version:  state.Version + 1,
		Ticket:   t.Number,
		Digest:   t.Digest,
		Cause:    fmt.Sprintf("ticket %d by %s: %s", t.Number, t.Author, t.Reason),
		At:       now,
		Pools:    t.Pools,
		Services: t.Services,
		Teams:    t.Teams,
	}
	for _, spec := range t.Hosts {
		c.Hosts = append(c.Hosts, declaredHost(spec, state, t.Number, now))
	}
	return c
}

// declaredHost returns the host with its new spec. A host that is not known yet
// starts to serve in the pool of the spec.
func declaredHost(spec fleet.HostSpec, state *fleet.State, number uint64, now time.Time) fleet.Host {
	host, known := state.Hosts[spec.Name]
	if !known {
		host = fleet.Host{Pool: spec.Pool, State: fleet.Serving, Epoch: 1, Since: now}
	}
	host.Spec = spec
	host.TicketNumber = number
	return host
}
