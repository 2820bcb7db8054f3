package node

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// StatusArgs are the arguments of Member.Status.
type StatusArgs struct{}

// StatusReply gives the version in force at a member and its attempts in flight,
// by host.
type StatusReply struct {
	Version  uint64
	InFlight map[string]int
}

// PushArgs carries committed changes as JSON, oldest first.
type PushArgs struct {
	Changes [][]byte
}

// PushReply gives the version in force after a push.
type PushReply struct {
	Version uint64
}

// LeaveArgs announces that a member is leaving and owns nothing from now on.
type LeaveArgs struct {
	Incarnation string
}

// LeaveReply answers [LeaveArgs].
type LeaveReply struct{}

// JoinArgs announces that a member is ready.
type JoinArgs struct {
	Info member.Info
}

// JoinReply answers [JoinArgs].
type JoinReply struct{}

// HeldArgs asks a member for the grants of a pool that it knows.
type HeldArgs struct {
	Pool string
}

// HeldReply gives the grants of a pool that a member holds as an entry, and those
// that it has given as a dispatcher; see [broker.MemberGrants].
type HeldReply struct {
	Grants []sched.Grant
	Given  []sched.Grant
}

// AcquireArgs asks a dispatcher for a slot. Start and Wait are durations because
// the hosts' clocks may differ. Suspects are the members that do not answer the
// sender, which may be why it regards the receiver as the pool's owner.
type AcquireArgs struct {
	Pool     string
	Request  sched.Request
	Start    time.Duration // until the latest useful start
	Wait     time.Duration // for which the sender waits at most
	Suspects []string      // incarnations
}

// AcquireReply gives the dispatcher's decision, unless NotOwner says that the
// receiver does not own the pool.
type AcquireReply struct {
	NotOwner bool
	Decision sched.Decision
}

// ReleaseArgs returns slots to a pool.
type ReleaseArgs struct {
	Pool     string
	Releases []broker.Release
}

// ReleaseReply answers [ReleaseArgs].
type ReleaseReply struct{}

// CancelArgs cancels a request that waits for a slot.
type CancelArgs struct {
	Pool    string
	Request string
}

// CancelReply answers [CancelArgs].
type CancelReply struct{}

// BeginArgs asks the owner of an idempotency key whether an attempt may run.
type BeginArgs struct {
	Key    string
	Holder once.Holder
}

// BeginReply gives the owner's verdict, unless NotOwner says that the receiver
// may not decide about the key.
type BeginReply struct {
	NotOwner bool
	Verdict  once.Verdict
}

// EndArgs reports the outcome of an attempt to the owner of its idempotency key.
type EndArgs struct {
	Key     string
	Holder  once.Holder
	Outcome once.Outcome
}

// EndReply answers [EndArgs].
type EndReply struct{}

// KnownArgs asks the member that owned a shard under Epoch for the shard's keys.
type KnownArgs struct {
	Shard int
	Epoch uint64
}

// KnownReply gives a shard's keys if Found is set. Keys that are not in Known and
// were created up to Horizon are uncertain.
type KnownReply struct {
	Found   bool
	Known   []once.Known
	Horizon time.Time
}

// MovedArgs carries the row of the table service that holds the owners of all key
// shards.
type MovedArgs struct {
	Row    uint64 // version of the row
	Shares []byte
}

// MovedReply answers [MovedArgs].
type MovedReply struct{}

// PromiseArgs asks a member for a promise not to count the sender as gone for the
// duration of a lease.
type PromiseArgs struct {
	Incarnation string
}

// PromiseReply says whether the promise is given.
type PromiseReply struct {
	Given bool
}

// AgreeArgs asks a member whether it agrees to count processes as gone.
type AgreeArgs struct {
	Gone []string // incarnations
}

// AgreeReply lists the processes that the member agrees to count as gone.
type AgreeReply struct {
	Agreed []string // incarnations
}
