// Package model simulates a deployment in virtual time: callers, pools, workers,
// moves of hosts and maintenance waves, under faults. Decisions are made by the
// product's own code (packages place and upkeep); everything else is modelled, so
// that policies can be compared over many seeds within seconds.
//
// # Usage
//
//	s, faults := model.Load("examples/experiments/caltanissetta.ini")
//	if len(faults) > 0 {
//		// each names section, key, value and what is allowed
//	}
//	for _, policy := range s.Policies {
//		result := model.Run(s, policy, seed)
//		fmt.Println(policy.Name, result.Worth())
//	}
//	bound := model.Clairvoyant(s, seed)
//
// The model covers latency between processes and workers, group commit at the store
// and its outages, holds and their lists, unanswered starts, leases, moves, drains,
// maintenance, hand-overs of pools, advice and dropped routes. It omits processes of the
// system that end without a hand-over, conflicting transactions, the processor time of
// the system, and filling tasks.
//
// # Files
//
// A scenario is an INI file with the sections fleet, prices, goal, "pool NAME",
// "queue NAME", "fault NAME" and "policy NAME". [Keys] lists all keys.
package model

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/upkeep"
)

// Scenario describes a deployment, its load and its faults.
type Scenario struct {
	Name     string
	Fleet    Fleet
	Prices   Prices
	Goal     Goal
	Pools    []Pool
	Queues   []Queue
	Faults   []Fault
	Policies []Policy
}

// Fleet holds the settings that all hosts share and the phases of a run.
type Fleet struct {
	Length      time.Duration // of the load
	Lead        time.Duration // from the start of the system to the first job
	Finish      time.Duration // after the load, to finish its jobs
	RackSize    int           // hosts
	Millicores  int           // of a host
	MemoryMB    int           // of a host
	Hop         time.Duration // one way between two machines
	Commit      time.Duration // a transaction of the store, including the round trip
	Move        time.Duration // a host's change of pool
	Maintenance time.Duration // of a host
	Unanswered  float64       // share of start orders that are lost
}

// Prices are what an operator pays, in units of worth.
type Prices struct {
	HostSecond float64 // of a host in a pool that is not on standby
	Move       float64
}

// Goal holds the weights of the parts of the score; they add up to 1.
type Goal struct {
	Day     float64 // the whole day
	Windows float64 // the two worst windows of four seconds
	Class   float64 // the queue with the lowest share
}

// Pool describes a pool and its initial number of hosts.
type Pool struct {
	Name    string
	Hosts   int
	Standby bool
}

// Queue describes the jobs of a queue and their rate.
type Queue struct {
	Name  string
	Pool  string
	Rate  float64 // mean jobs per second
	Turn  int     // index of this queue's turn
	Turns int     // 0 for a steady rate
	Span  time.Duration
	Peak  float64 // times the mean in its turn
	Rest  float64 // times the mean otherwise

	Steps      float64 // mean number, each after the one before it
	Tasks      float64 // mean number of a step
	Millicores float64 // mean of a task
	MemoryMB   float64 // mean of a task
	RunTime    time.Duration
	Spread     float64 // of the logarithms of all of these
	Error      float64 // of the logarithm of the declared run time
	Checkpoint float64 // share of the jobs that save their progress
	Cancelled  float64 // share of the jobs that are cancelled while they run

	Lasting        int // lasting jobs, submitted before the load starts; 0 for a queue of batch jobs
	MaxUnavailable int
	MaxPerWorker   int // tasks of a lasting job on one worker

	Advice      bool // tasks need tickets of the advice service
	Priority    int
	MaxAttempts int
	Slack       float64
	Target      time.Duration
	Worth       float64 // of a job of mean size that is on time
	LateWorth   float64 // of one that takes up to three times its objective
}

// FaultKind names the effect of a fault.
type FaultKind string

// The kinds of faults.
const (
	RackLost     FaultKind = "rack-lost"     // a rack of a pool is unreachable; its hosts come back as new workers
	Sick         FaultKind = "sick"          // workers of a pool fail the tasks that they start
	Hang         FaultKind = "hang"          // tasks on workers of a pool make no progress
	Slow         FaultKind = "slow"          // workers of a pool take longer, by factor
	Burst        FaultKind = "burst"         // a queue's rate is multiplied by factor
	Cancel       FaultKind = "cancel"        // a share of a queue's jobs is cancelled
	Poison       FaultKind = "poison"        // a share of a queue's jobs always fails
	Wave         FaultKind = "wave"          // a share of all hosts is maintained, count at once
	StoreDown    FaultKind = "store-down"    // the store answers no request
	HandOver     FaultKind = "hand-over"     // a pool changes its owner count times, evenly spread
	RouteDropped FaultKind = "route-dropped" // a queue's route is missing from the configuration
)

// Fault describes a fault and when it occurs.
type Fault struct {
	Name   string
	Kind   FaultKind
	At     time.Duration // after the first job
	For    time.Duration
	Pool   string
	Queue  string
	Share  float64
	Count  int
	Factor float64
}

// Policy holds the settings of placement and moves that a scenario runs with.
type Policy struct {
	Name   string
	Static bool // hosts stay in their pools
	// LookAhead makes placement reserve workers for large tasks.
	LookAhead bool
	Place     place.Policy
	Moves     upkeep.MovePolicy
}

// DefaultPolicyName names the product's own policy, which every scenario has.
const DefaultPolicyName = "product"

// NewPolicy returns a policy with the product's default settings.
func NewPolicy(name string) Policy {
	return Policy{Name: name, Place: place.DefaultPolicy(), Moves: upkeep.DefaultMovePolicy()}
}

// active returns the active fault of a kind for a queue, if there is one.
func (s *Scenario) active(kind FaultKind, queue string, since time.Duration) (Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && (f.Queue == "" || f.Queue == queue) && since >= f.At && since < f.At+f.For {
			return f, true
		}
	}
	return Fault{}, false
}

// rate returns the jobs per second of a queue at a time.
func (s *Scenario) rate(q Queue, since time.Duration) float64 {
	rate := q.Rate
	if q.Turns > 0 && q.Span > 0 {
		if int(since/q.Span)%q.Turns == q.Turn {
			rate *= q.Peak
		} else {
			rate *= q.Rest
		}
	}
	if f, on := s.active(Burst, q.Name, since); on {
		rate *= f.Factor
	}
	return rate
}

// meanWork returns the work of a job of mean size, in millicore seconds.
func (q Queue) meanWork() float64 {
	return max(1, q.Steps) * max(1, q.Tasks) * q.Millicores * q.RunTime.Seconds()
}
