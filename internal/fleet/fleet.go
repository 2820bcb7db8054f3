// Package fleet defines the domain types of a fleet: pools, services, teams and
// hosts, with their defaults and their validation.
//
// # Usage
//
// A [State] is an immutable snapshot of the whole configuration at one version. A
// [Change] holds the complete new value of every object that it changes; applying
// it to a State returns the next State:
//
//	next, err := state.Apply(change)
//
// The types have no encoding tags. [EncodeChange], [EncodeHost] and similar
// functions convert them to and from the JSON stored in the table service.
package fleet

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Limits and defaults of the values that an operator may set.
const (
	MaxNameLength      = 63
	MaxSlots           = 1024
	MaxConnections     = 65535
	MaxWeight          = 1000
	MaxQueueLimit      = 1_000_000
	MaxTimeout         = 24 * time.Hour
	DefaultAwayPercent = 10 // share of a pool's hosts that may be away at once
	DefaultWeight      = 1
	DefaultQueueLimit  = 1000
	DefaultRunTime     = 100 * time.Millisecond
	DefaultTimeout     = 10 * time.Second
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultTeamName    = "default"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Fault is an invalid field in the input of an operator or a caller. Field is a
// path such as "hosts[3].slots", and Allowed describes the valid values.
type Fault struct {
	Field   string
	Value   string
	Allowed string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", f.Field, f.Value, f.Allowed)
}

// Pool is a set of hosts that share an availability budget.
type Pool struct {
	Name         string
	AwayPercent  int    // share of the pool's hosts that may be away at once
	TicketNumber uint64 // number of the ticket that set the pool
}

// Budget returns how many hosts of a pool with the given number of hosts may be
// away at once, rounded down.
func (p Pool) Budget(hosts int) int {
	return hosts * p.AwayPercent / 100
}

// Validate returns every fault of the pool. Field paths start with path.
func (p Pool) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", p.Name)
	return checkRange(faults, path+".away-percent", p.AwayPercent, 0, 100)
}

// Service is a named kind of work that runs on the hosts of one pool.
type Service struct {
	Name         string
	Pool         string
	Idempotent   bool          // whether a request may safely run twice
	Weight       int           // guaranteed share, relative to the pool's other services
	QueueLimit   int           // requests that may wait, summed over all entry processes
	RunTime      time.Duration // declared run time, used as the prior of the estimates
	Timeout      time.Duration // longest time that a request may take
	TicketNumber uint64        // number of the ticket that set the service
}

// Validate returns every fault of the service. Field paths start with path.
func (s Service) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", s.Name)
	faults = checkName(faults, path+".pool", s.Pool)
	faults = checkRange(faults, path+".weight", s.Weight, 1, MaxWeight)
	faults = checkRange(faults, path+".queue-limit", s.QueueLimit, 1, MaxQueueLimit)
	faults = checkDuration(faults, path+".run-time", s.RunTime)
	return checkDuration(faults, path+".timeout", s.Timeout)
}

// Team is a group of callers with a quota.
type Team struct {
	Name         string
	Slots        int    // most slots of one pool that the team may use at once
	TicketNumber uint64 // number of the ticket that set the team
}

// Validate returns every fault of the team. Field paths start with path.
func (t Team) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", t.Name)
	return checkRange(faults, path+".slots", t.Slots, 1, MaxQueueLimit)
}

// HostSpec is the declaration of a host by the operators.
type HostSpec struct {
	Name         string
	Pool         string // target pool; the host moves there if it is in another one
	Addr         netip.AddrPort
	Zone         string
	Rack         string
	Slots        int
	Connections  int
	Processors   int
	MemoryGB     int
	Accelerators int
}

// Validate returns every fault of the host spec. Field paths start with path.
func (h HostSpec) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", h.Name)
	faults = checkName(faults, path+".pool", h.Pool)
	faults = checkName(faults, path+".zone", h.Zone)
	faults = checkName(faults, path+".rack", h.Rack)
	if !h.Addr.IsValid() || h.Addr.Port() == 0 {
		faults = append(faults, Fault{path + ".address", h.Addr.String(), "an IP address and port, such as 10.0.0.7:8080"})
	}
	faults = checkRange(faults, path+".slots", h.Slots, 1, MaxSlots)
	faults = checkRange(faults, path+".connections", h.Connections, 1, MaxConnections)
	faults = checkRange(faults, path+".processors", h.Processors, 0, MaxConnections)
	faults = checkRange(faults, path+".memory-gb", h.MemoryGB, 0, MaxQueueLimit)
	return checkRange(faults, path+".accelerators", h.Accelerators, 0, MaxSlots)
}

// HostState is the state of a host in its life cycle.
type HostState string

// The states of a host. Only serving and returning hosts accept new work, and
// every state but Serving counts against the pool's budget.
const (
	Serving   HostState = "serving"
	Draining  HostState = "draining"
	Away      HostState = "away"
	Returning HostState = "returning"
	Failed    HostState = "failed"
)

// Host is a worker with its declaration and its current state. Pool is the one
// pool that it belongs to now, which differs from Spec.Pool until a requested move
// is complete.
type Host struct {
	Spec         HostSpec
	Pool         string
	State        HostState
	Epoch        uint64    // raised by every change of State or Pool
	Since        time.Time // when State was entered
	TicketNumber uint64    // number of the ticket that set Spec
}

// IsAway reports whether the host counts against its pool's budget.
func (h Host) IsAway() bool {
	return h.State != Serving
}

// TakesWork reports whether new work may be sent to the host.
func (h Host) TakesWork() bool {
	return h.State == Serving || h.State == Returning
}

func checkName(faults []Fault, field, value string) []Fault {
	if len(value) <= MaxNameLength && namePattern.MatchString(value) {
		return faults
	}
	allowed := fmt.Sprintf("1 to %d lower-case letters, digits and inner hyphens", MaxNameLength)
	return append(faults, Fault{field, value, allowed})
}

func checkRange(faults []Fault, field string, value, low, high int) []Fault {
	if value >= low && value <= high {
		return faults
	}
	return append(faults, Fault{field, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high)})
}

func checkDuration(faults []Fault, field string, value time.Duration) []Fault {
	if value > 0 && value <= MaxTimeout {
		return faults
	}
	return append(faults, Fault{field, value.String(), fmt.Sprintf("over 0s and up to %s", MaxTimeout)})
}
