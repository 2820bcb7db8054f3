// Package sched decides which waiting request gets which worker's slot. It is
// the decision logic of one pool's dispatcher and is pure: every method takes
// the time and returns decisions, and the same calls give the same decisions.
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
// A class is the work of one service, urgency and team. Each service has a floor,
// its guaranteed share of the pool's slots, and each class a part of its
// service's. A free slot goes to the class that is furthest below its own floor,
// then to one whose service is furthest below its floor, then to the most urgent
// class and the earliest deadline. A slot never stays free while permitted work
// waits.
//
// # Source
//
// Late binding of work to slots follows Bradley et al., "Scalability and
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

// ParseUrgency reads an urgency by its name; the empty text is Normal.
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

// urgencies is the number of urgencies, among which a service's floor is divided
// equally: urgency decides who gets what nobody is guaranteed, and not how much
// of the guarantees.
const urgencies = 3

// Request is what a dispatcher knows of a waiting request; its body stays at
// the entry.
type Request struct {
	ID       string
	Entry    string // the member that holds the caller
	Service  string
	Team     string
	Urgency  Urgency
	Deadline time.Time // the latest useful start
	Avoid    []string  // workers that failed this request before

	Repeatable bool // whether it may be tried again if its worker fails
}

// Grant lends one slot of a worker to one request.
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

// Refusal tells that a request will not be granted a slot.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Decision is the end of a request's wait. Exactly one of Grant and Refusal is
// set.
type Decision struct {
	Request string
	Entry   string
	Grant   *Grant
	Refusal *Refusal
}

// Outcome is how the work of a grant ended, as far as the worker's health is
// concerned.
type Outcome int

// The outcomes of a grant.
const (
	Succeeded Outcome = iota
	Failed            // the worker failed, closed early or stayed silent
	Unused            // nothing was sent, which says nothing of the worker
)

// Worker is a host that may take work.
type Worker struct {
	Name  string
	Slots int
}

// ServiceShare is what a queue needs to know of a service.
type ServiceShare struct {
	Name       string
	Weight     int
	QueueLimit int
	RunTime    time.Duration
}

// TeamQuota caps the slots that a team may use at once.
type TeamQuota struct {
	Name  string
	Slots int
}

// Config sets the shares of one pool.
type Config struct {
	Services []ServiceShare
	Teams    []TeamQuota
}
