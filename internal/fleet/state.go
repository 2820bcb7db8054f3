package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrGap is returned by [State.Apply] for a change whose version does not directly
// follow that of the state.
var ErrGap = errors.New("change is not the next version")

// Change is a versioned change of the fleet's state. It holds the complete new
// value of each object that it changes. Versions count from 1 without gaps.
type Change struct {
	Version  uint64
	OpID     string // identifies the write, to find out after a lost reply whether it took effect
	Ticket   uint64 // 0 for a change that the planner made
	Digest   string // SHA-256 of the ticket's content
	Cause    string
	At       time.Time
	Pools    []Pool
	Services []Service
	Teams    []Team
	Hosts    []Host
}

// State is an immutable snapshot of the fleet at one version.
type State struct {
	Version  uint64
	Pools    map[string]Pool
	Services map[string]Service
	Teams    map[string]Team
	Hosts    map[string]Host

	hostNames map[string][]string // host names by pool, sorted
}

// NewState returns the state of an empty fleet at version 0.
func NewState() *State {
	return &State{
		Pools:     map[string]Pool{},
		Services:  map[string]Service{},
		Teams:     map[string]Team{},
		Hosts:     map[string]Host{},
		hostNames: map[string][]string{},
	}
}

// NewStateFrom returns the state with the given version and objects.
func NewStateFrom(version uint64, pools []Pool, services []Service, teams []Team, hosts []Host) *State {
	s := NewState()
	s.put(Change{Pools: pools, Services: services, Teams: teams, Hosts: hosts})
	s.Version = version
	return s
}

// Apply returns the state after change and leaves s as it is. It returns [ErrGap]
// unless the version of change directly follows that of s.
func (s *State) Apply(change Change) (*State, error) {
	if change.Version != s.Version+1 {
		return nil, errors.Wrapf(ErrGap, "have %d, got %d", s.Version, change.Version)
	}
	next := s.clone(change)
	next.put(change)
	next.Version = change.Version
	return next, nil
}

// clone returns a copy of s that shares the maps which change does not modify.
func (s *State) clone(change Change) *State {
	next := *s
	if len(change.Pools) > 0 {
		next.Pools = maps.Clone(s.Pools)
	}
	if len(change.Services) > 0 {
		next.Services = maps.Clone(s.Services)
	}
	if len(change.Teams) > 0 {
		next.Teams = maps.Clone(s.Teams)
	}
	if len(change.Hosts) > 0 {
		next.Hosts = maps.Clone(s.Hosts)
		next.hostNames = maps.Clone(s.hostNames)
	}
	return &next
}

func (s *State) put(change Change) {
	for _, p := range change.Pools {
		s.Pools[p.Name] = p
	}
	for _, v := range change.Services {
		s.Services[v.Name] = v
	}
	for _, t := range change.Teams {
		s.Teams[t.Name] = t
	}
	for _, h := range change.Hosts {
		s.putHost(h)
	}
}

func (s *State) putHost(h Host) {
	name := h.Spec.Name
	old, known := s.Hosts[name]
	s.Hosts[name] = h
	if known && old.Pool == h.Pool {
		return
	}
	if known {
		s.hostNames[old.Pool] = removeName(s.hostNames[old.Pool], name)
	}
	s.hostNames[h.Pool] = insertName(s.hostNames[h.Pool], name)
}

// PoolHosts returns the hosts of a pool, sorted by name.
func (s *State) PoolHosts(pool string) []Host {
	names := s.hostNames[pool]
	hosts := make([]Host, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, s.Hosts[name])
	}
	return hosts
}

// PoolServices returns the services of a pool, sorted by name.
func (s *State) PoolServices(pool string) []Service {
	var services []Service
	for _, v := range s.Services {
		if v.Pool == pool {
			services = append(services, v)
		}
	}
	slices.SortFunc(services, func(a, b Service) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return services
}

// AwayCount returns how many hosts of a pool are away and how many may be
// away at once.
func (s *State) AwayCount(pool string) (away, budget int) {
	hosts := s.PoolHosts(pool)
	for _, h := range hosts {
		if h.IsAway() {
			away++
		}
	}
	return away, s.Pools[pool].Budget(len(hosts))
}

// PoolNames returns the names of all pools, sorted.
func (s *State) PoolNames() []string {
	return slices.Sorted(maps.Keys(s.Pools))
}

func insertName(names []string, name string) []string {
	at, _ := slices.BinarySearch(names, name)
	return slices.Insert(slices.Clone(names), at, name)
}

func removeName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(slices.Clone(names), at, at+1)
}
