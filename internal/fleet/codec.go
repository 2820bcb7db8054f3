package fleet

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is returned for an encoded object that cannot be decoded.
var ErrMalformed = errors.New("malformed object")

// PoolWire is the JSON form of a [Pool].
type PoolWire struct {
	Name        string `json:"name"`
	AwayPercent *int   `json:"away-percent,omitempty"`
	Number      uint64 `json:"number,omitempty"`
}

// ServiceWire is the JSON form of a [Service].
type ServiceWire struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Idempotent bool   `json:"idempotent"`
	Weight     *int   `json:"weight,omitempty"`
	QueueLimit *int   `json:"queue-limit,omitempty"`
	RunTime    string `json:"run-time,omitempty"`
	Timeout    string `json:"timeout,omitempty"`
	Number     uint64 `json:"number,omitempty"`
}

// TeamWire is the JSON form of a [Team].
type TeamWire struct {
	Name         string `json:"name"`
	Slots        int    `json:"slots"`
	TicketNumber uint64 `json:"number,omitempty"`
}

// HostSpecWire is the JSON form of a [HostSpec].
type HostSpecWire struct {
	Name         string `json:"name"`
	Pool         string `json:"pool"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Slots        *int   `json:"slots,omitempty"`
	Connections  *int   `json:"connections,omitempty"`
	Processors   int    `json:"processors,omitempty"`
	MemoryGB     int    `json:"memory-gb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// HostWire is the JSON form of a [Host].
type HostWire struct {
	Spec   HostSpecWire `json:"spec"`
	Pool   string       `json:"pool"`
	State  string       `json:"state"`
	Epoch  uint64       `json:"epoch"`
	Since  time.Time    `json:"since"`
	Number uint64       `json:"number"`
}

// ChangeWire is the JSON form of a [Change].
type ChangeWire struct {
	Version  uint64        `json:"version"`
	OpID     string        `json:"op-id"`
	Ticket   uint64        `json:"ticket,omitempty"`
	Digest   string        `json:"digest,omitempty"`
	Cause    string        `json:"cause"`
	At       time.Time     `json:"at"`
	Pools    []PoolWire    `json:"pools,omitempty"`
	Services []ServiceWire `json:"services,omitempty"`
	Teams    []TeamWire    `json:"teams,omitempty"`
	Hosts    []HostWire    `json:"hosts,omitempty"`
}

// PoolToWire converts a pool to its JSON form.
func PoolToWire(p Pool) PoolWire {
	return PoolWire{Name: p.Name, AwayPercent: &p.AwayPercent, Number: p.TicketNumber}
}

// PoolFromWire converts a pool from its JSON form and fills in defaults.
func PoolFromWire(w PoolWire) Pool {
	return Pool{Name: w.Name, AwayPercent: orDefault(w.AwayPercent, DefaultAwayPercent), TicketNumber: w.Number}
}

// ServiceToWire converts a service to its JSON form.
func ServiceToWire(s Service) ServiceWire {
	return ServiceWire{
		Name:       s.Name,
		Pool:       s.Pool,
		Idempotent: s.Idempotent,
		Weight:     &s.Weight,
		QueueLimit: &s.QueueLimit,
		RunTime:    s.RunTime.String(),
		Timeout:    s.Timeout.String(),
		Number:     s.TicketNumber,
	}
}

// ServiceFromWire converts a service from its JSON form and fills in defaults.
// The field paths of its faults start with path.
func ServiceFromWire(w ServiceWire, path string) (Service, []Fault) {
	var faults []Fault
	s := Service{
		Name:         w.Name,
		Pool:         w.Pool,
		Idempotent:   w.Idempotent,
		Weight:       orDefault(w.Weight, DefaultWeight),
		QueueLimit:   orDefault(w.QueueLimit, DefaultQueueLimit),
		TicketNumber: w.Number,
	}
	s.RunTime, faults = parseDuration(w.RunTime, DefaultRunTime, path+".run-time", faults)
	s.Timeout, faults = parseDuration(w.Timeout, DefaultTimeout, path+".timeout", faults)
	return s, faults
}

// TeamToWire converts a team to its JSON form.
func TeamToWire(t Team) TeamWire { return TeamWire(t) }

// TeamFromWire converts a team from its JSON form.
func TeamFromWire(w TeamWire) Team { return Team(w) }

// HostSpecToWire converts a host spec to its JSON form.
func HostSpecToWire(h HostSpec) HostSpecWire {
	return HostSpecWire{
		Name:         h.Name,
		Pool:         h.Pool,
		Address:      h.Addr.String(),
		Zone:         h.Zone,
		Rack:         h.Rack,
		Slots:        &h.Slots,
		Connections:  &h.Connections,
		Processors:   h.Processors,
		MemoryGB:     h.MemoryGB,
		Accelerators: h.Accelerators,
	}
}

// HostSpecFromWire converts a host spec from its JSON form and fills in defaults.
// The field paths of its faults start with path.
func HostSpecFromWire(w HostSpecWire, path string) (HostSpec, []Fault) {
	var faults []Fault
	addr, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		faults = append(faults, Fault{path + ".address", w.Address, "an IP address and port, such as 10.0.0.7:8080"})
	}
	spec := HostSpec{
		Name:         w.Name,
		Pool:         w.Pool,
		Addr:         addr,
		Zone:         w.Zone,
		Rack:         w.Rack,
		Slots:        orDefault(w.Slots, DefaultSlots),
		Connections:  orDefault(w.Connections, DefaultConnections),
		Processors:   w.Processors,
		MemoryGB:     w.MemoryGB,
		Accelerators: w.Accelerators,
	}
	return spec, faults
}

// HostToWire converts a host to its JSON form.
func HostToWire(h Host) HostWire {
	return HostWire{HostSpecToWire(h.Spec), h.Pool, string(h.State), h.Epoch, h.Since, h.TicketNumber}
}

// HostFromWire converts a host from its JSON form.
func HostFromWire(w HostWire) (Host, error) {
	spec, faults := HostSpecFromWire(w.Spec, w.Spec.Name)
	if len(faults) > 0 {
		return Host{}, errors.Wrap(ErrMalformed, faults[0].String())
	}
	return Host{spec, w.Pool, HostState(w.State), w.Epoch, w.Since, w.Number}, nil
}

// EncodeChange returns the JSON form of a change.
func EncodeChange(c Change) []byte {
	w := ChangeWire{
		Version: c.Version,
		OpID:    c.OpID,
		Ticket:  c.Ticket,
		Digest:  c.Digest,
		Cause:   c.Cause,
		At:      c.At,
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, PoolToWire(p))
	}
	for _, s := range c.Services {
		w.Services = append(w.Services, ServiceToWire(s))
	}
	for _, t := range c.Teams {
		w.Teams = append(w.Teams, TeamToWire(t))
	}
	for _, h := range c.Hosts {
		w.Hosts = append(w.Hosts, HostToWire(h))
	}
	return encode(w)
}

// DecodeChange decodes a change from its JSON form.
func DecodeChange(data []byte) (Change, error) {
	var w ChangeWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Change{}, errors.Wrap(ErrMalformed, err.Error())
	}
	c := Change{
		Version: w.Version,
		OpID:    w.OpID,
		Ticket:  w.Ticket,
		Digest:  w.Digest,
		Cause:   w.Cause,
		At:      w.At,
	}
	for _, p := range w.Pools {
		c.Pools = append(c.Pools, PoolFromWire(p))
	}
	for _, s := range w.Services {
		service, faults := ServiceFromWire(s, s.Name)
		if len(faults) > 0 {
			return Change{}, errors.Wrap(ErrMalformed, faults[0].String())
		}
		c.Services = append(c.Services, service)
	}
	for _, t := range w.Teams {
		c.Teams = append(c.Teams, TeamFromWire(t))
	}
	for _, h := range w.Hosts {
		host, err := HostFromWire(h)
		if err != nil {
			return Change{}, err
		}
		c.Hosts = append(c.Hosts, host)
	}
	return c, nil
}

// EncodePool returns the JSON form of a pool.
func EncodePool(p Pool) []byte { return encode(PoolToWire(p)) }

// EncodeService returns the JSON form of a service.
func EncodeService(s Service) []byte { return encode(ServiceToWire(s)) }

// EncodeTeam returns the JSON form of a team.
func EncodeTeam(t Team) []byte { return encode(TeamToWire(t)) }

// EncodeHost returns the JSON form of a host.
func EncodeHost(h Host) []byte { return encode(HostToWire(h)) }

// encode marshals a wire type. It panics on an error, which no wire type is
// expected to cause.
func encode(wire any) []byte {
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return data
}

func orDefault(value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	return *value
}

func parseDuration(text string, fallback time.Duration, field string, faults []Fault) (time.Duration, []Fault) {
	if text == "" {
		return fallback, faults
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		faults = append(faults, Fault{field, text, "a duration such as 250ms or 10s"})
	}
	return d, faults
}
