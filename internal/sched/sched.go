// Package sched decides which waiting request gets which worker's slot. It is
// the decision logic of one pool's dispatcher, without I/O or a clock: methods
// take the time and return decisions, and the same calls give the same decisions.
//
// # Usage
//
//	q := sched.NewQueue(config)
//	q.SetWorkers(workers, now)
//	for _, d := range q.Arrive(request, now) {
//		// d.Grant or d.Refusal, for d.Request
//	}
//	decisions := q.Release(grantID, sched.Succeeded, now)
//
// # Order
//
// A class is the requests of one service, urgency and team. Each service is
// guaranteed a share of the pool's slots, which is divided among its classes. A
// free slot goes to the class that is furthest below its own guarantee, then to a
// class whose service is furthest below its guarantee, then to the most urgent
// class and the earliest deadline. No slot stays free while a request waits whose
// team is within its quota.
//
// # Source
//
// Late binding of requests to slots follows Bradley et al., "Scalability and
// interoperability within glideinWMS", J. Phys.: Conf. Ser. 219 (2010) 062036.
package sched

import (
	"fmt"
	"time"
)

// Urgency ranks requests. The zero value is Normal.
type Urgency int

// The urgencies.
const (
	Low    Urgency = -1
	Normal Urgency = 0
	Urgent Urgency = 1
)

// ParseUrgency parses the name of an urgency. The empty string means Normal.
func ParseUrgency(text string) (Urgency, bool) {
	switch text {
	case "low":
		return Low, true
	case "", "normal":
		return Normal, true
	case "urgent":
		return Urgent, true
	}
	return Normal, false
}

// String returns the urgency's name.
func (u Urgency) String() string {
	switch u {
	case Low:
		return "low"
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	}
	return fmt.Sprintf("urgency-%d", int(u))
}

// urgencyLevels is the number of urgencies. A service's guarantee is divided
// equally among them: urgency decides who gets slots beyond the guarantees, not
// the size of the guarantees.
const urgencyLevels = 3

// Request describes a waiting request to the dispatcher. The request's body
// stays at the entry.
type Request struct {
	ID       string
	Entry    string // the member that holds the connection to the caller
	Service  string
	Team     string
	Urgency  Urgency
	Deadline time.Time // latest time at which a start is useful
	Avoid    []string  // workers that failed this request before

	Repeatable bool // whether the request may be retried if its worker fails
}

// Grant assigns one slot of a worker to one request.
type Grant struct {
	ID      uint64
	Request string
	Entry   string
	Service string
	Team    string
	Urgency Urgency
	Worker  string
	At      time.Time
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	QueueFull    Reason = "queue-full"
	DeadlinePast Reason = "deadline-past"
	TooLate      Reason = "cannot-start-in-time"
	NoWorker     Reason = "no-worker"
	Cancelled    Reason = "cancelled"
	Stopping     Reason = "dispatcher-stopping"
)

// Refusal says why a request gets no slot and when to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Decision is a grant or a refusal of a waiting request. Exactly one of Grant
// and Refusal is set.
type Decision struct {
	Request string
	Entry   string
	Grant   *Grant
	Refusal *Refusal
}

// Outcome is the result of a grant, as used for the worker's health.
type Outcome int

// The outcomes of a grant.
const (
	Succeeded Outcome = iota
	Failed            // the worker failed, closed the connection early or did not answer
	Unused            // no request was sent, so the worker's health is unchanged
)

// Worker is a host that may run requests.
type Worker struct {
	Name  string
	Slots int
}

// ServiceShare is a service's share of a pool and its queue settings.
type ServiceShare struct {
	Name       string
	Weight     int
	QueueLimit int
	RunTime    time.Duration
}

// TeamQuota limits the slots that a team may use at once.
type TeamQuota struct {
	Name  string
	Slots int
}

// Config holds the shares and quotas of one pool.
type Config struct {
	Services []ServiceShare
	Teams    []TeamQuota
}
