package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/wire"
)

const (
	ownerRetryDelay  = 20 * time.Millisecond // while members disagree about a pool's owner
	releaseBatchSize = 256                   // releases in one message
)

// dispatchClient acquires and releases slots at the dispatcher of each pool, in
// this process or another one.
type dispatchClient struct {
	roster *roster
	broker *broker.Broker
	wake   chan struct{}

	mu       sync.Mutex
	releases map[string][]broker.Release // by pool
}

func newDispatchClient(r *roster, b *broker.Broker) *dispatchClient {
	return &dispatchClient{roster: r, broker: b, wake: make(chan struct{}, 1), releases: map[string][]broker.Release{}}
}

// acquire waits for a slot until ctx ends. If the dispatcher fails or stops, the
// request loses its place in the queue and is queued again at the next dispatcher.
func (s *dispatchClient) acquire(ctx context.Context, pool string, r sched.Request) (sched.Decision, error) {
	for {
		decision, retry, err := s.ask(ctx, pool, r)
		if !retry {
			return decision, err
		}
		select {
		case <-ctx.Done():
			return sched.Decision{}, ctx.Err()
		case <-time.After(ownerRetryDelay):
		}
	}
}

// ask asks the pool's current dispatcher once, and reports whether to retry.
func (s *dispatchClient) ask(ctx context.Context, pool string, r sched.Request) (decision sched.Decision, retry bool, err error) {
	info, conn, found := s.roster.owner(poolObject(pool))
	if !found {
		return decision, true, nil
	}
	if conn == nil {
		decision, err = s.broker.Acquire(ctx, pool, r)
	} else {
		decision, err = s.askPeer(ctx, conn, pool, r)
	}
	stopping := decision.Refusal != nil && decision.Refusal.Reason == sched.Stopping
	if ctx.Err() == nil && errors.IsAny(err, wire.ErrUnreachable, wire.ErrLost) {
		s.roster.suspect(info.Incarnation, true)
	}
	return decision, ctx.Err() == nil && (err != nil || stopping), err
}

func (s *dispatchClient) askPeer(ctx context.Context, conn *wire.Peer, pool string, r sched.Request) (sched.Decision, error) {
	now := time.Now()
	args := AcquireArgs{
		Pool:     pool,
		Request:  r,
		Start:    r.Deadline.Sub(now),
		Wait:     r.Deadline.Sub(now),
		Suspects: s.roster.suspected(),
	}
	if deadline, limited := ctx.Deadline(); limited {
		args.Wait = deadline.Sub(now)
	}
	var reply AcquireReply
	err := conn.Call(ctx, "Broker.Acquire", args, &reply)
	if err != nil && ctx.Err() != nil {
		go s.cancel(conn, pool, r.ID)
	}
	if err == nil && reply.NotOwner {
		err = broker.ErrNotOwner
	}
	return reply.Decision, err
}

// cancel tells the dispatcher that no one waits for the request any more.
func (s *dispatchClient) cancel(conn *wire.Peer, pool, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply CancelReply
	_ = conn.Call(ctx, "Broker.Cancel", CancelArgs{Pool: pool, Request: request}, &reply)
}

// release returns a slot. Releases for a dispatcher on another host are sent in
// batches. If a message is lost, the dispatcher's reconciliation frees the slots.
func (s *dispatchClient) release(pool string, grant sched.Grant, outcome sched.Outcome) {
	release := broker.Release{Grant: grant.ID, Outcome: outcome}
	if s.broker.Dispatches(pool) && s.broker.Release(pool, []broker.Release{release}) == nil {
		return
	}
	s.mu.Lock()
	s.releases[pool] = append(s.releases[pool], release)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends the pending releases until ctx ends. Those added during a send go with
// the next one.
func (s *dispatchClient) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.flush(ctx)
		}
	}
}

// flush sends all pending releases.
func (s *dispatchClient) flush(ctx context.Context) {
	s.mu.Lock()
	pending := s.releases
	s.releases = map[string][]broker.Release{}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for pool, releases := range pending {
		wg.Go(func() { s.send(ctx, pool, releases) })
	}
	wg.Wait()
}

func (s *dispatchClient) send(ctx context.Context, pool string, releases []broker.Release) {
	_, conn, found := s.roster.owner(poolObject(pool))
	if !found {
		return
	}
	if conn == nil {
		_ = s.broker.Release(pool, releases)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for first := 0; first < len(releases); first += releaseBatchSize {
		batch := releases[first:min(first+releaseBatchSize, len(releases))]
		var reply ReleaseReply
		_ = conn.Call(ctx, "Broker.Release", ReleaseArgs{Pool: pool, Releases: batch}, &reply)
	}
}

func poolObject(pool string) string { return "pool/" + pool }

// ownPools returns the pools that this process owns.
func ownPools(r *roster, pools []string) []string {
	candidates := r.candidates()
	var own []string
	for _, pool := range pools {
		info, found := member.Owner(poolObject(pool), candidates)
		if found && info.Incarnation == r.self.Incarnation {
			own = append(own, pool)
		}
	}
	return own
}
