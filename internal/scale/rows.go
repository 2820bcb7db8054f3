package scale

import "fmt"

// Size is a deployment that the rows are worked out for.
type Size struct {
	Hosts       float64
	Pools       float64
	Teams       float64
	Regions     float64
	Zones       float64
	Members     float64 // entry hosts, each running one process
	Tickets     float64 // changes by operators, a day
	Cycle       float64 // days in which every host is maintained once
	Failures    float64 // hosts, a day
	Restarts    float64 // hosts restarted or replaced, a day
	Keyed       float64 // non-idempotent requests, a second
	Events      float64 // kept by each process
	HeadPoll    float64 // seconds between polls of the head row
	LeasePoll   float64 // seconds between reads of the lease rows
	Renew       float64 // seconds between renewals of a lease
	Heartbeat   float64 // seconds between heartbeats of two members
	PlanRound   float64 // seconds between rounds of the planner
	SharesPoll  float64 // seconds between reads of the key shards' owners
	HostPoll    float64 // seconds between reads of the list of hosts
	BurstHourly float64 // changes in the worst hour
}

// TwoYears is the size that decides the design. The letters give all of it but
// the number of members, which is 8 entry hosts for each availability zone, and
// the rate of keyed requests.
func TwoYears() Size {
	return Size{
		Hosts:       11_000,
		Pools:       51,
		Teams:       230,
		Regions:     4,
		Zones:       11,
		Members:     88,
		Tickets:     12_000,
		Cycle:       21,
		Failures:    120,
		Restarts:    590,
		Keyed:       1000,
		Events:      8192,
		HeadPoll:    2,
		LeasePoll:   2,
		Renew:       2,
		Heartbeat:   10,
		PlanRound:   0.25,
		SharesPoll:  2,
		HostPoll:    1,
		BurstHourly: 12_000,
	}
}

// The limits that the users set for one daemon and the table service.
const (
	LimitCPU    = 0.043 // of a core
	LimitMemory = 256e6 // bytes
	LimitWire   = 12e3  // bytes a second
	LimitReads  = 2000  // a second, over all processes
	LimitWrites = 300   // a second, over all processes
)

const (
	secondsOfDay = 86_400.0
	nanoseconds  = 1e-9

	// An exchange takes three packets at the least, with 52 bytes of IP and TCP
	// headers each, which the slopes do not see.
	headers = 3 * 52

	// Changes of one host's passage through maintenance, a move, or a restart.
	stepsOfCycle   = 4
	stepsOfRestart = 2
)

// Row is what one role needs. Zero figures are left out of a table.
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

// Changes returns the changes of the fleet's state, a second.
func (s Size) Changes() float64 {
	maintenance := s.Hosts / s.Cycle * stepsOfCycle
	broken := (s.Failures + s.Restarts) * stepsOfRestart
	return (s.Tickets + maintenance + broken) / secondsOfDay
}

// Rows works out what each role needs in a steady state.
func Rows(lines Lines, s Size) []Row {
	changes := s.Changes()
	perPool := s.Hosts / s.Pools
	poolsEach := max(1, s.Pools/s.Members)
	peers := s.Members - 1
	return []Row{
		{
			Role: "entry", What: "state in force, " + count(s.Hosts) + " hosts",
			Memory:    lines[FleetBytes].At(s.Hosts) * 2,
			CPU:       lines[FleetApply].At(s.Hosts) * changes * nanoseconds,
			Mechanism: "immutable snapshot, replaced by changes; twice while one is replaced",
		},
		{
			Role: "entry", What: "keys of 15 minutes, " + count(s.Keyed) + " a second over all",
			Memory:    lines[KeyBytes].At(s.Keyed * 900 / s.Members),
			Mechanism: "owner by rendezvous hash, no write for a request",
		},
		{
			Role: "dispatch", What: "full queues of " + fmt.Sprintf("%.1f", poolsEach) + " pools, 10,000 requests each",
			Memory:    lines[QueuedBytes].At(10_000 * poolsEach),
			Mechanism: "one queue for a pool, bodies stay at the entries",
		},
		{
			Role: "planner", What: "steps of its pools, every " + fmt.Sprint(s.PlanRound) + " s",
			CPU:       lines[PlanTime].At(perPool) * poolsEach / s.PlanRound * nanoseconds,
			Reads:     s.Members / s.LeasePoll * 0.1,
			Writes:    changes - s.Tickets/secondsOfDay,
			Mechanism: "one change for all due steps of a pool; evidence only while a host drains",
			Estimate:  true,
		},
		{
			Role: "membership", What: "own lease, every " + fmt.Sprint(s.Renew) + " s",
			Wire:      (lines[RenewWire].At(s.Members) + 2*headers) / s.Renew,
			CPU:       lines[RenewCPU].At(s.Members) / s.Renew * nanoseconds / 2,
			Reads:     s.Members / s.Renew,
			Writes:    s.Members / s.Renew,
			Mechanism: "one lease row for a process, which carries the version in force",
		},
		{
			Role: "membership", What: "reading " + count(s.Members) + " lease rows, every " + fmt.Sprint(s.LeasePoll) + " s",
			Wire:      (lines[LeaseReadWire].At(s.Members) + headers) / s.LeasePoll,
			CPU:       lines[LeaseReadCPU].At(s.Members) / s.LeasePoll * nanoseconds / 2,
			Reads:     s.Members / s.LeasePoll,
			Mechanism: "one scan of short rows; what stays of a process is read once",
		},
		{
			Role: "membership", What: "heartbeats with " + count(peers) + " members, every " + fmt.Sprint(s.Heartbeat) + " s, both ways",
			Wire:      2 * (lines[BeatWire].At(peers) + peers*headers) / s.Heartbeat,
			CPU:       lines[BeatCPU].At(peers) / s.Heartbeat * nanoseconds,
			Mechanism: "every pair of members, at speed only while a call waits",
		},
		{
			Role: "membership", What: "reading who owns the shards of keys, every " + fmt.Sprint(s.SharesPoll) + " s",
			Wire:      (lines[SharesWire].At(s.Members) + headers) / s.SharesPoll,
			Reads:     s.Members / s.SharesPoll,
			Mechanism: "one row for all shards, told to all when it changes",
		},
		{
			Role: "dispatch", What: "reading the hosts that are leaving, every " + fmt.Sprint(s.HostPoll) + " s",
			Wire:      (lines[LeavingWire].At((s.Failures+s.Restarts)/24) + headers) / s.HostPoll,
			Mechanism: "only those that are leaving, only by dispatchers; an hour's failures and restarts",
			Estimate:  true,
		},
		{
			Role: "configuration", What: "polling the head, every " + fmt.Sprint(s.HeadPoll) + " s",
			Wire:      (lines[HeadReadWire].At(s.Members) + headers) / s.HeadPoll,
			Reads:     s.Members / s.HeadPoll,
			Mechanism: "one row; a push comes before it",
		},
		{
			Role: "configuration", What: "receiving " + fmt.Sprintf("%.2f", changes) + " changes a second",
			Wire:      (lines[ChangeBytes].At(1) + headers) * changes,
			Writes:    s.Tickets / secondsOfDay,
			Mechanism: "whole new state of what a change touches, not of the fleet",
		},
		{
			Role: "configuration", What: "pushing its share of the changes to " + count(peers) + " members",
			Wire:      (lines[ChangeBytes].At(1) + headers) * changes * peers / s.Members,
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

// Moment is a worst moment.
type Moment struct {
	What  string
	Value float64
	Unit  string
	Limit float64
	How   string
}

// Moments works out the worst moments.
func Moments(lines Lines, s Size) []Moment {
	burst := s.BurstHourly / 3600
	peers := s.Members - 1
	lost := s.Members / 4
	return []Moment{
		{"12,000 changes within an hour, received by each", lines[ChangeBytes].At(1) * burst, "bytes/s", LimitWire, "slope change-bytes"},
		{"the same, all committed by one member and pushed by it", lines[ChangeBytes].At(1) * burst * peers, "bytes/s", LimitWire, "slope change-bytes; a push tree would divide this by its fan-out"},
		{"the same, applied by each", lines[FleetApply].At(s.Hosts) * burst * nanoseconds, "cores", LimitCPU, "slope fleet-apply"},
		{"the same, written to the table service", burst, "writes/s", LimitWrites, "one transaction each"},
		{"a zone with a quarter of the members lost: pools that change dispatcher", s.Pools / 4, "pools", 0, "each asks the members that are left once"},
		{"the same: grants asked for, over all", s.Pools / 4 * (s.Members - lost), "calls", 0, "spread over the members that are left"},
		{"the store back after an hour: renewals a second", s.Members / s.Renew, "writes/s", LimitWrites, "no stampede: renewals keep their own rhythm through an outage"},
		{"all members replaced at once: state loaded by each", lines[LoadTime].At(s.Hosts) * nanoseconds, "s", 0, "slope load-time, over the stand-in"},
		{"the same: reads of the table service, over all", s.Members * (s.Hosts/500 + 8), "reads", 0, "pages of 500 rows; 2,000 a second are allowed"},
	}
}

func count(n float64) string {
	if n >= 1000 {
		return fmt.Sprintf("%d,%03d", int(n)/1000, int(n)%1000)
	}
	return fmt.Sprint(int(n))
}
