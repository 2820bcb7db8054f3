package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
)

// quorum makes the decisions that need a majority of members: extending leases
// while the table service is down, and counting silent processes as gone.
type quorum struct {
	roster     *roster
	leaseState *leaseState
	log        *event.Log
	now        func() time.Time

	mu       sync.Mutex
	promises *member.Promises
}

func newQuorum(r *roster, l *leaseState, log *event.Log) *quorum {
	return &quorum{roster: r, leaseState: l, log: log, now: time.Now, promises: member.NewPromises(r.self.Incarnation, l.duration, time.Now())}
}

// extendLease asks every member for a promise and extends the lease if a majority
// gives one. It is called when a renewal in the table service failed.
func (q *quorum) extendLease(ctx context.Context) {
	sent := q.now()
	given := 1 // this process's own
	var mu sync.Mutex
	q.roster.forEachPeer(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, q.leaseState.duration/leaseMarginDivisor)
		defer cancel()
		var reply PromiseReply
		err := p.wire.Call(ctx, "Member.Promise", PromiseArgs{Incarnation: q.roster.self.Incarnation}, &reply)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && reply.Given {
			given++
		}
	})
	if !member.Majority(given, q.roster.electorate()) {
		return
	}
	q.leaseState.extend(sent)
}

// promise decides whether to give a promise to a member that can't reach the
// table service.
func (q *quorum) promise(to string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.promises.Promise(to, q.leaseState.storeFailing(), q.now())
}

// agreeGone returns the processes among gone that this member agrees to count as
// gone.
func (q *quorum) agreeGone(gone []string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var agreed []string
	for _, incarnation := range gone {
		if q.promises.Agree(incarnation, q.now()) {
			agreed = append(agreed, incarnation)
		}
	}
	return agreed
}

// confirmGone asks all members to count the silent processes as gone. It reports
// whether a majority has confirmed this for every process that is not live.
func (q *quorum) confirmGone(ctx context.Context) bool {
	expired, pending := q.roster.unconfirmed()
	if len(expired) == 0 {
		return len(pending) == 0
	}
	votes := map[string]int{}
	for _, incarnation := range q.agreeGone(expired) {
		votes[incarnation]++
	}
	var mu sync.Mutex
	q.roster.forEachPeer(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, q.leaseState.duration/leaseMarginDivisor)
		defer cancel()
		var reply AgreeReply
		if p.wire.Call(ctx, "Member.Agree", AgreeArgs{Gone: expired}, &reply) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, incarnation := range reply.Agreed {
			votes[incarnation]++
		}
	})
	unconfirmed := len(pending)
	for _, incarnation := range expired {
		if !member.Majority(votes[incarnation], q.roster.electorate()) {
			unconfirmed++
			continue
		}
		q.roster.confirmGone(incarnation)
		q.log.Add(event.MemberLapse, incarnation, uint64(votes[incarnation]), "a majority counts it as gone")
	}
	return unconfirmed == 0
}
