// Package broker runs the dispatch queues of the pools that this process is
// responsible for. It adds locking, waiting callers and recovery to the decision
// logic of package sched.
//
// # Usage
//
//	b := broker.New(broker.Config{QueryGrants: askPeers, Log: log, Now: time.Now})
//	b.SetPools(pools, state, leaving) // whenever ownership or the fleet's state changes
//	decision, err := b.Acquire(ctx, "banco-nord", request)
//	b.Release("banco-nord", grantID, sched.Succeeded)
//
// # Recovery
//
// Queues are not stored. A broker that becomes responsible for a pool first asks
// every live member which grants of the pool it holds, and asks again while one does
// not answer. It repeats this every few seconds and takes back each grant that its entry does not hold, because the
// message that granted or released it was lost.
package broker

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// ErrNotOwner is returned for a pool whose dispatcher runs in another process.
var ErrNotOwner = errors.New("not the dispatcher of this pool")

const (
	tickInterval   = 20 * time.Millisecond
	pauseThreshold = 300 * time.Millisecond // gap between two ticks that counts as a pause of the process

	checksAfterPause   = 10
	pauseCheckInterval = 200 * time.Millisecond
	reconcileInterval  = 2 * time.Second
	// How long a grant may take to reach its entry, usually and in the worst
	// case. A younger grant that its entry does not hold may still be in
	// transit.
	usualGrantDelivery = 50 * time.Millisecond
	maxGrantDelivery   = 3 * time.Second

	// A new dispatcher waits for the holdings of all live members for at most
	// recoveryTimeout. Grants have to flow again within 3 s after a dispatcher is lost,
	// of which some 0.5 s pass until it is noticed.
	recoveryTimeout    = time.Second
	recoveryRetryDelay = 50 * time.Millisecond // doubles each time
)

// MemberGrants is one member's answer about a pool: the grants that it holds as an
// entry, and those that it recently issued as the pool's previous dispatcher.
type MemberGrants struct {
	Member         string
	Grants         []sched.Grant
	RecentlyIssued []sched.Grant
	Ended          bool // set instead of an answer: the member's process has ended, but its lease has not
}

// Config holds the dependencies of a broker.
type Config struct {
	// QueryGrants asks every live member for its grants of a pool. A member that does
	// not answer is in live but not in holdings; a member that is gone is in neither.
	QueryGrants func(ctx context.Context, pool string) (holdings []MemberGrants, live []string)
	// Trace records every step of every queue; nil disables tracing.
	Trace trace.Sink
	Log   *event.Log
	Now   func() time.Time
}

// Broker runs the dispatch queues of some pools. It is safe for concurrent use.
type Broker struct {
	config Config

	mu                 sync.Mutex
	dispatchers        map[string]*dispatcher
	stoppedDispatchers map[string]stoppedDispatcher // by pool
	stopped            bool
}

// stoppedDispatcher holds the unreleased grants of a dispatcher at the time it
// stopped.
type stoppedDispatcher struct {
	grants    []sched.Grant
	stoppedAt time.Time
}

// New returns a broker without pools.
func New(config Config) *Broker {
	return &Broker{config: config, dispatchers: map[string]*dispatcher{}, stoppedDispatchers: map[string]stoppedDispatcher{}}
}

// SetPools sets the pools that this process is responsible for. Hosts that are
// leaving get no further grants.
func (b *Broker) SetPools(pools []string, state *fleet.State, leaving map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.assign(pools, state, leaving)
}

func (b *Broker) assign(pools []string, state *fleet.State, leaving map[string]bool) {
	owned := map[string]bool{}
	for _, pool := range pools {
		owned[pool] = true
		d, running := b.dispatchers[pool]
		if !running {
			d = newDispatcher(pool, b.config)
			b.dispatchers[pool] = d
			b.config.Log.Add(event.DispatchStart, pool, state.Version, "responsible for the pool")
			go d.recoverGrants()
		}
		d.configure(state, leaving)
	}
	for pool, d := range b.dispatchers {
		if !owned[pool] {
			delete(b.dispatchers, pool)
			b.config.Log.Add(event.DispatchStop, pool, state.Version, "another member is responsible")
			b.stoppedDispatchers[pool] = stoppedDispatcher{d.stop(), b.config.Now()}
		}
	}
}

// Stop stops all dispatchers for good and refuses the waiting requests.
func (b *Broker) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assign(nil, fleet.NewState(), nil)
	b.stopped = true
}

// RecentlyIssued returns the unreleased grants of a dispatcher that stopped here so
// recently that they may still be in transit.
func (b *Broker) RecentlyIssued(pool string) []sched.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.stoppedDispatchers[pool]
	if !known || b.config.Now().Sub(r.stoppedAt) > maxGrantDelivery {
		delete(b.stoppedDispatchers, pool)
		return nil
	}
	return r.grants
}

// Acquire waits for a decision on a request until ctx ends. It returns
// [ErrNotOwner] for a pool whose dispatcher does not run here.
func (b *Broker) Acquire(ctx context.Context, pool string, r sched.Request) (sched.Decision, error) {
	d, err := b.dispatcher(pool)
	if err != nil {
		return sched.Decision{}, err
	}
	return d.acquire(ctx, r)
}

// Dispatches reports whether a pool's dispatcher runs here.
func (b *Broker) Dispatches(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, running := b.dispatchers[pool]
	return running
}

// Release releases some grants of a pool.
func (b *Broker) Release(pool string, releases []Release) error {
	d, err := b.dispatcher(pool)
	if err != nil {
		return err
	}
	d.release(releases)
	return nil
}

// Cancel removes a waiting request, or releases its grant if it has one that
// its entry does not know of.
func (b *Broker) Cancel(pool, request string) error {
	d, err := b.dispatcher(pool)
	if err != nil {
		return err
	}
	d.cancel(request)
	return nil
}

// Run ticks all queues and reconciles their grants with the entries until ctx
// ends.
func (b *Broker) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	reconcile := time.NewTicker(reconcileInterval)
	defer reconcile.Stop()
	last := b.config.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			now := b.config.Now()
			b.tick(now.Sub(last) > pauseThreshold)
			last = now
		case <-reconcile.C:
			for _, d := range b.allDispatchers() {
				go d.reconcile(maxGrantDelivery)
			}
		}
	}
}

// tick ticks all queues once. After a pause it also reconciles their grants.
func (b *Broker) tick(afterPause bool) {
	for _, d := range b.allDispatchers() {
		if afterPause {
			go d.reconcileAfterPause()
		}
		d.tick()
	}
}

// Load is the load of one pool's queue.
type Load struct {
	Pool    string
	Waiting int
	Running int
	Slots   int
}

// Loads returns the load of every pool whose dispatcher runs here.
func (b *Broker) Loads() []Load {
	var loads []Load
	for _, d := range b.allDispatchers() {
		loads = append(loads, d.load())
	}
	return loads
}

func (b *Broker) dispatcher(pool string) (*dispatcher, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, running := b.dispatchers[pool]
	if !running {
		return nil, errors.Wrap(ErrNotOwner, pool)
	}
	return d, nil
}

func (b *Broker) allDispatchers() []*dispatcher {
	b.mu.Lock()
	defer b.mu.Unlock()
	var dispatchers []*dispatcher
	for _, d := range b.dispatchers {
		dispatchers = append(dispatchers, d)
	}
	return dispatchers
}

// Release names a grant to release and its outcome.
type Release struct {
	Grant   uint64
	Outcome sched.Outcome
}
