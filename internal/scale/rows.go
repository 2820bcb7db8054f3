package scale

import "fmt"

// Size describes a deployment whose costs are computed.
type Size struct {
	Hosts           float64
	Pools           float64
	Teams           float64
	Regions         float64
	Zones           float64
	Members         float64 // entry hosts, each running one process
	TicketsPerDay   float64 // changes by operators
	MaintenanceDays float64 // in which every host is maintained once
	FailuresPerDay  float64 // of hosts
	RestartsPerDay  float64 // of hosts, or replacements
	KeyedPerSecond  float64 // non-idempotent requests with an idempotency key
	Events          float64 // kept in memory by each process
	HeadPoll        float64 // seconds between polls of the head row
	LeasePoll       float64 // seconds between reads of the lease rows
	LeaseRenewal    float64 // seconds between renewals of a lease
	Heartbeat       float64 // seconds between heartbeats of two members
	PlanRound       float64 // seconds between rounds of the planner
	SharesPoll      float64 // seconds between reads of the key shards' owners
	HostPoll        float64 // seconds between reads of the list of hosts
	PeakHourChanges float64 // changes in the busiest hour
}

// TwoYears returns the size that the system is designed for. The users gave all of
// it except the number of members, which assumes 8 entry hosts in each availability
// zone, and the rate of keyed requests.
func TwoYears() Size {
	return Size{
		Hosts:           11_000,
		Pools:           51,
		Teams:           230,
		Regions:         4,
		Zones:           11,
		Members:         88,
		TicketsPerDay:   12_000,
		MaintenanceDays: 21,
		FailuresPerDay:  120,
		RestartsPerDay:  590,
		KeyedPerSecond:  1000,
		Events:          8192,
		HeadPoll:        2,
		LeasePoll:       2,
		LeaseRenewal:    2,
		Heartbeat:       10,
		PlanRound:       0.25,
		SharesPoll:      2,
		HostPoll:        1,
		PeakHourChanges: 12_000,
	}
}

// Limits that the users set for one daemon and for the table service.
const (
	LimitCPUCores           = 0.043
	LimitMemoryBytes        = 256e6
	LimitWireBytesPerSecond = 12e3
	LimitReadsPerSecond     = 2000 // over all processes
	LimitWritesPerSecond    = 300  // over all processes
)

const (
	secondsPerDay        = 86_400.0
	secondsPerNanosecond = 1e-9

	// An exchange takes at least three packets with 52 bytes of IP and TCP headers
	// each. The slopes count payload only.
	exchangeHeaderBytes = 3 * 52

	// Changes to the fleet state for the maintenance of one host, and for a failure
	// or restart.
	changesPerMaintenance = 4
	changesPerRestart     = 2
)

// Row holds the resources that one role needs. Tables leave zero values empty.
type Row struct {
	Role      string
	What      string
	Memory    float64 // bytes of a daemon
	Wire      float64 // bytes a second of a daemon, both directions
	CPU       float64 // of a core
	Reads     float64 // of the table service, a second, over all daemons
	Writes    float64 // of the table service, a second, over all daemons
	Mechanism string
	Estimate  bool // not measured, or measured only in part
}

// Changes returns the changes to the fleet state per second.
func (s Size) Changes() float64 {
	maintenance := s.Hosts / s.MaintenanceDays * changesPerMaintenance
	broken := (s.FailuresPerDay + s.RestartsPerDay) * changesPerRestart
	return (s.TicketsPerDay + maintenance + broken) / secondsPerDay
}

// Rows computes what each role needs in a steady state.
func Rows(lines Lines, s Size) []Row {
	changes := s.Changes()
	perPool := s.Hosts / s.Pools
	poolsEach := max(1, s.Pools/s.Members)
	peers := s.Members - 1
	return []Row{
		{
			Role: "entry", What: "state in force, " + count(s.Hosts) + " hosts",
			Memory:    lines[FleetBytes].At(s.Hosts) * 2,
			CPU:       lines[FleetApply].At(s.Hosts) * changes * secondsPerNanosecond,
			Mechanism: "immutable snapshot, replaced by changes; twice while one is replaced",
		},
		{
			Role: "entry", What: "keys of 15 minutes, " + count(s.KeyedPerSecond) + " a second over all",
			Memory:    lines[KeyBytes].At(s.KeyedPerSecond * 900 / s.Members),
			Mechanism: "owner by rendezvous hash, no write for a request",
		},
		{
			Role: "dispatch", What: "full queues of " + fmt.Sprintf("%.1f", poolsEach) + " pools, 10,000 requests each",
			Memory:    lines[QueuedBytes].At(10_000 * poolsEach),
			Mechanism: "one queue for a pool, bodies stay at the entries",
		},
		{
			Role: "planner", What: "steps of its pools, every " + fmt.Sprint(s.PlanRound) + " s",
			CPU:       lines[PlanTime].At(perPool) * poolsEach / s.PlanRound * secondsPerNanosecond,
			Reads:     s.Members / s.LeasePoll * 0.1,
			Writes:    changes - s.TicketsPerDay/secondsPerDay,
			Mechanism: "one change for all due steps of a pool; evidence only while a host drains",
			Estimate:  true,
		},
		{
			Role: "membership", What: "own lease, every " + fmt.Sprint(s.LeaseRenewal) + " s",
			Wire:      (lines[RenewWire].At(s.Members) + 2*exchangeHeaderBytes) / s.LeaseRenewal,
			CPU:       lines[RenewCPU].At(s.Members) / s.LeaseRenewal * secondsPerNanosecond / 2,
			Reads:     s.Members / s.LeaseRenewal,
			Writes:    s.Members / s.LeaseRenewal,
			Mechanism: "one lease row for a process, which carries the version in force",
		},
		{
			Role: "membership", What: "reading " + count(s.Members) + " lease rows, every " + fmt.Sprint(s.LeasePoll) + " s",
			Wire:      (lines[LeaseReadWire].At(s.Members) + exchangeHeaderBytes) / s.LeasePoll,
			CPU:       lines[LeaseReadCPU].At(s.Members) / s.LeasePoll * secondsPerNanosecond / 2,
			Reads:     s.Members / s.LeasePoll,
			Mechanism: "one scan of short rows; what stays of a process is read once",
		},
		{
			Role: "membership", What: "heartbeats with " + count(peers) + " members, every " + fmt.Sprint(s.Heartbeat) + " s, both ways",
			Wire:      2 * (lines[HeartbeatWire].At(peers) + peers*exchangeHeaderBytes) / s.Heartbeat,
			CPU:       lines[HeartbeatCPU].At(peers) / s.Heartbeat * secondsPerNanosecond,
			Mechanism: "every pair of members, at speed only while a call waits",
		},
		{
			Role: "membership", What: "reading who owns the shards of keys, every " + fmt.Sprint(s.SharesPoll) + " s",
			Wire:      (lines[ShardsReadWire].At(s.Members) + exchangeHeaderBytes) / s.SharesPoll,
			Reads:     s.Members / s.SharesPoll,
			Mechanism: "one row for all shards, told to all when it changes",
		},
		{
			Role: "dispatch", What: "reading the hosts that are leaving, every " + fmt.Sprint(s.HostPoll) + " s",
			Wire:      (lines[LeavingReadWire].At((s.FailuresPerDay+s.RestartsPerDay)/24) + exchangeHeaderBytes) / s.HostPoll,
			Mechanism: "only those that are leaving, only by dispatchers; an hour's failures and restarts",
			Estimate:  true,
		},
		{
			Role: "configuration", What: "polling the head, every " + fmt.Sprint(s.HeadPoll) + " s",
			Wire:      (lines[HeadReadWire].At(s.Members) + exchangeHeaderBytes) / s.HeadPoll,
			Reads:     s.Members / s.HeadPoll,
			Mechanism: "one row; a push comes before it",
		},
		{
			Role: "configuration", What: "receiving " + fmt.Sprintf("%.2f", changes) + " changes a second",
			Wire:      (lines[ChangeBytes].At(1) + exchangeHeaderBytes) * changes,
			Writes:    s.TicketsPerDay / secondsPerDay,
			Mechanism: "whole new state of what a change touches, not of the fleet",
		},
		{
			Role: "configuration", What: "pushing its share of the changes to " + count(peers) + " members",
			Wire:      (lines[ChangeBytes].At(1) + exchangeHeaderBytes) * changes * peers / s.Members,
			Mechanism: "the committing member sends to each",
		},
		{
			Role: "time line", What: count(s.Events) + " events",
			Memory:    lines[EventBytes].At(s.Events),
			Mechanism: "ring in memory",
		},
		{
			Role: "admin", What: "no standing cost; a list of all hosts is built when asked",
			Memory:    lines[FleetBytes].At(s.Hosts),
			Mechanism: "from the snapshot in force, no table read",
			Estimate:  true,
		},
	}
}

// Total adds up rows.
func Total(rows []Row) Row {
	total := Row{Role: "total"}
	for _, r := range rows {
		total.Memory += r.Memory
		total.Wire += r.Wire
		total.CPU += r.CPU
		total.Reads += r.Reads
		total.Writes += r.Writes
	}
	return total
}

// Moment is a peak load, such as a burst of changes or the loss of a zone.
type Moment struct {
	What       string
	Value      float64
	Unit       string
	Limit      float64
	Derivation string
}

// Moments computes the peak loads.
func Moments(lines Lines, s Size) []Moment {
	burst := s.PeakHourChanges / 3600
	peers := s.Members - 1
	lost := s.Members / 4
	return []Moment{
		{"12,000 changes within an hour, received by each", lines[ChangeBytes].At(1) * burst, "bytes/s", LimitWireBytesPerSecond, "slope change-bytes"},
		{"the same, all committed by one member and pushed by it", lines[ChangeBytes].At(1) * burst * peers, "bytes/s", LimitWireBytesPerSecond, "slope change-bytes; a push tree would divide this by its fan-out"},
		{"the same, applied by each", lines[FleetApply].At(s.Hosts) * burst * secondsPerNanosecond, "cores", LimitCPUCores, "slope fleet-apply"},
		{"the same, written to the table service", burst, "writes/s", LimitWritesPerSecond, "one transaction each"},
		{"a zone with a quarter of the members lost: pools that change dispatcher", s.Pools / 4, "pools", 0, "each asks the members that are left once"},
		{"the same: grants asked for, over all", s.Pools / 4 * (s.Members - lost), "calls", 0, "spread over the members that are left"},
		{"the store back after an hour: renewals a second", s.Members / s.LeaseRenewal, "writes/s", LimitWritesPerSecond, "no stampede: renewals keep their own rhythm through an outage"},
		{"all members replaced at once: state loaded by each", lines[LoadTime].At(s.Hosts) * secondsPerNanosecond, "s", 0, "slope load-time, over the stand-in"},
		{"the same: reads of the table service, over all", s.Members * (s.Hosts/500 + 8), "reads", 0, "pages of 500 rows; 2,000 a second are allowed"},
	}
}

func count(n float64) string {
	if n >= 1000 {
		return fmt.Sprintf("%d,%03d", int(n)/1000, int(n)%1000)
	}
	return fmt.Sprint(int(n))
}
