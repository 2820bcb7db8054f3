// Package fleet holds the domain types of a fleet: pools, services, teams and
// hosts, with their defaults and their validation.
//
// # Usage
//
// A [State] is an immutable snapshot of everything that is in force at one
// version. A [Change] is the whole new state of the objects that it touches;
// applying it to a State gives the next State:
//
//	next, err := state.Apply(change)
//
// The types carry no encoding tags. [EncodeChange], [EncodeHost] and their
// siblings map them to and from the JSON that is kept in the table service.
package fleet

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Bounds of the values that an operator may set.
const (
	MaxNameLength   = 63
	MaxSlots        = 1024
	MaxConns        = 65535
	MaxWeight       = 1000
	MaxQueue        = 1_000_000
	MaxTimeout      = 24 * time.Hour
	DefaultAway     = 10 // percent of a pool
	DefaultWeight   = 1
	DefaultQueue    = 1000
	DefaultRunTime  = 100 * time.Millisecond
	DefaultTimeout  = 10 * time.Second
	DefaultSlots    = 8
	DefaultConns    = 64
	DefaultTeamName = "default"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Fault is one thing wrong with an operator's or a caller's input. Field is a
// path such as "hosts[3].slots".
type Fault struct {
	Field   string
	Value   string
	Allowed string
}

// String renders the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", f.Field, f.Value, f.Allowed)
}

// Pool is a set of hosts that share an availability budget.
type Pool struct {
	Name        string
	AwayPercent int // share of the pool's hosts that may be away at once
	Number      uint64
}

// Budget returns how many of hosts may be away at once, rounded down.
func (p Pool) Budget(hosts int) int {
	return hosts * p.AwayPercent / 100
}

// Validate returns every fault of the pool, with fields below path.
func (p Pool) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", p.Name)
	return checkRange(faults, path+".away-percent", p.AwayPercent, 0, 100)
}

// Service is a named kind of work that runs on the hosts of one pool.
type Service struct {
	Name       string
	Pool       string
	Idempotent bool          // whether a request may safely run twice
	Weight     int           // guaranteed share against the pool's other services
	QueueLimit int           // requests that may wait, over all entries
	RunTime    time.Duration // declared run time, a prior for the estimates
	Timeout    time.Duration // longest time that a request may take
	Number     uint64
}

// Validate returns every fault of the service, with fields below path.
func (s Service) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", s.Name)
	faults = checkName(faults, path+".pool", s.Pool)
	faults = checkRange(faults, path+".weight", s.Weight, 1, MaxWeight)
	faults = checkRange(faults, path+".queue-limit", s.QueueLimit, 1, MaxQueue)
	faults = checkDuration(faults, path+".run-time", s.RunTime)
	return checkDuration(faults, path+".timeout", s.Timeout)
}

// Team is a group of callers with a quota.
type Team struct {
	Name   string
	Slots  int // most slots of one pool that the team may use at once
	Number uint64
}

// Validate returns every fault of the team, with fields below path.
func (t Team) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", t.Name)
	return checkRange(faults, path+".slots", t.Slots, 1, MaxQueue)
}

// HostSpec is what operators declare of a host.
type HostSpec struct {
	Name         string
	Pool         string // the pool that the host is to belong to
	Addr         netip.AddrPort
	Zone         string
	Rack         string
	Slots        int
	Conns        int
	Processors   int
	MemoryGB     int
	Accelerators int
}

// Validate returns every fault of the declaration, with fields below path.
func (h HostSpec) Validate(path string) []Fault {
	faults := checkName(nil, path+".name", h.Name)
	faults = checkName(faults, path+".pool", h.Pool)
	faults = checkName(faults, path+".zone", h.Zone)
	faults = checkName(faults, path+".rack", h.Rack)
	if !h.Addr.IsValid() || h.Addr.Port() == 0 {
		faults = append(faults, Fault{path + ".address", h.Addr.String(), "an IP address and port, such as 10.0.0.7:8080"})
	}
	faults = checkRange(faults, path+".slots", h.Slots, 1, MaxSlots)
	faults = checkRange(faults, path+".connections", h.Conns, 1, MaxConns)
	faults = checkRange(faults, path+".processors", h.Processors, 0, MaxConns)
	faults = checkRange(faults, path+".memory-gb", h.MemoryGB, 0, MaxQueue)
	return checkRange(faults, path+".accelerators", h.Accelerators, 0, MaxSlots)
}

// HostState is a stage of a host's life cycle.
type HostState string

// The stages of a host's life cycle.
const (
	Serving   HostState = "serving"
	Draining  HostState = "draining"
	Away      HostState = "away"
	Returning HostState = "returning"
	Failed    HostState = "failed"
)

// Host is a worker: what was declared of it and where it stands. Pool is the
// one pool that it belongs to now, which differs from Spec.Pool while a move
// is due.
type Host struct {
	Spec   HostSpec
	Pool   string
	State  HostState
	Epoch  uint64    // raised by every change of State or Pool
	Since  time.Time // when State was entered
	Number uint64    // ticket that set Spec
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
