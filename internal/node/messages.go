package node

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// StatusArgs asks a member for its status.
type StatusArgs struct{}

// StatusReply is a member's status.
type StatusReply struct {
	Version  uint64
	InFlight map[string]int
}

// PushArgs carries changes, as JSON, oldest first.
type PushArgs struct {
	Changes [][]byte
}

// PushReply tells the version in force after a push.
type PushReply struct {
	Version uint64
}

// LeaveArgs tells that a member takes no more responsibility.
type LeaveArgs struct {
	Incarnation string
}

// LeaveReply answers [LeaveArgs].
type LeaveReply struct{}

// HeldArgs asks for the grants of a pool.
type HeldArgs struct {
	Pool string
}

// HeldReply gives the grants of a pool.
type HeldReply struct {
	Grants []sched.Grant
}

// AcquireArgs asks for a slot. Wait is how long the caller waits at most: no
// clocks are compared. Suspects are the members that do not answer the asking
// one, which may be why it asks here.
type AcquireArgs struct {
	Pool     string
	Request  sched.Request
	Start    time.Duration // from now to the latest useful start
	Wait     time.Duration
	Suspects []string // incarnations
}

// AcquireReply is the end of a wait.
type AcquireReply struct {
	NotOwner bool
	Decision sched.Decision
}

// ReleaseArgs gives slots back.
type ReleaseArgs struct {
	Pool     string
	Releases []broker.Release
}

// ReleaseReply answers [ReleaseArgs].
type ReleaseReply struct{}

// CancelArgs ends the wait of a request.
type CancelArgs struct {
	Pool    string
	Request string
}

// CancelReply answers [CancelArgs].
type CancelReply struct{}

// BeginArgs asks whether the work of a key may run.
type BeginArgs struct {
	Key   string
	Entry string
}

// BeginReply answers [BeginArgs].
type BeginReply struct {
	NotOwner bool
	Verdict  once.Verdict
}

// EndArgs tells how the work of a key ended.
type EndArgs struct {
	Key     string
	Outcome once.Outcome
}

// EndReply answers [EndArgs].
type EndReply struct{}
