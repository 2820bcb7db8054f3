package node

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/member"
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

// JoinArgs tells that a member is ready.
type JoinArgs struct {
	Info member.Info
}

// JoinReply answers [JoinArgs].
type JoinReply struct{}

// HeldArgs asks for the grants of a pool.
type HeldArgs struct {
	Pool string
}

// HeldReply gives the grants of a pool; see [broker.Holding].
type HeldReply struct {
	Grants []sched.Grant
	Given  []sched.Grant
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
	Key    string
	Holder once.Holder
}

// BeginReply answers [BeginArgs].
type BeginReply struct {
	NotOwner bool
	Verdict  once.Verdict
}

// EndArgs tells how the work of a key ended.
type EndArgs struct {
	Key     string
	Holder  once.Holder
	Outcome once.Outcome
}

// EndReply answers [EndArgs].
type EndReply struct{}

// KnownArgs asks for a shard's keys as its owner under Epoch knew them.
type KnownArgs struct {
	Shard int
	Epoch uint64
}

// KnownReply gives a shard's keys if they are known.
type KnownReply struct {
	Found   bool
	Known   []once.Known
	Horizon time.Time
}

// MovedArgs tells who owns the shards of keys, as the table service has it.
type MovedArgs struct {
	Row    uint64 // version of the row
	Shares []byte
}

// MovedReply answers [MovedArgs].
type MovedReply struct{}

// PromiseArgs asks a member not to count the asking one as gone for a time.
type PromiseArgs struct {
	Incarnation string
}

// PromiseReply tells whether the promise is given.
type PromiseReply struct {
	Given bool
}

// AgreeArgs asks whether processes may be counted as gone.
type AgreeArgs struct {
	Gone []string // incarnations
}

// AgreeReply gives those that may.
type AgreeReply struct {
	Agreed []string // incarnations
}
