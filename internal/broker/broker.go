// Package broker runs the dispatch queues of the pools that this process is
// responsible for. It adds locks, waiting callers and recovery to the pure
// decisions of package sched.
//
// # Usage
//
//	b := broker.New(broker.Config{Held: askPeers, Log: log, Now: time.Now})
//	b.Assign(pools, state, leaving) // whenever ownership or the fleet's state changes
//	decision, err := b.Acquire(ctx, "banco-nord", request)
//	b.Release("banco-nord", grantID, sched.Succeeded)
//
// # Recovery
//
// Nothing of a queue is stored. A broker that becomes responsible for a pool
// first asks every live member which grants of the pool it holds, and asks again
// from time to time: a grant that its entry does not hold any more, because the
// message that gave it or gave it back was lost, is taken back.
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

// ErrNotOwner is returned for a pool that another process is responsible for.
var ErrNotOwner = errors.New("not the dispatcher of this pool")

const (
	tickEvery    = 20 * time.Millisecond
	pauseNoticed = 300 * time.Millisecond // between two ticks

	pauseChecks     = 10
	pauseCheckEvery = 200 * time.Millisecond
	reconcileEvery  = 2 * time.Second
	// A grant younger than this may still be on its way to its entry, surely or
	// in the worst case.
	grantArrives = 50 * time.Millisecond
	grantSettles = 3 * time.Second
)

// Holding is what one member says of a pool: the grants that it holds as an
// entry, and those that it gave lately as the pool's last dispatcher.
type Holding struct {
	Member string
	Grants []sched.Grant
	Given  []sched.Grant
}

// Config holds what a broker needs of its surroundings.
type Config struct {
	// Held asks every live member for its grants of a pool. Members that can't
	// be reached are left out of holdings; those that are gone are not in live.
	Held func(ctx context.Context, pool string) (holdings []Holding, live []string)
	// Trace takes every step of every queue; nil for none.
	Trace trace.Sink
	Log   *event.Log
	Now   func() time.Time
}

// Broker runs the queues of some pools. It is safe for concurrent use.
type Broker struct {
	config Config

	mu      sync.Mutex
	desks   map[string]*desk
	retired map[string]retired // by pool
	stopped bool
}

// retired is what a queue had given when it was stopped.
type retired struct {
	grants []sched.Grant
	at     time.Time
}

// New returns a broker without pools.
func New(config Config) *Broker {
	return &Broker{config: config, desks: map[string]*desk{}, retired: map[string]retired{}}
}

// Assign sets the pools that this process is responsible for. Hosts that are
// leaving are given no more slots.
func (b *Broker) Assign(pools []string, state *fleet.State, leaving map[string]bool) {
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
		d, running := b.desks[pool]
		if !running {
			d = newDesk(pool, b.config)
			b.desks[pool] = d
			b.config.Log.Add(event.DispatchStart, pool, state.Version, "responsible for the pool")
			go d.recover()
		}
		d.configure(state, leaving)
	}
	for pool, d := range b.desks {
		if !owned[pool] {
			delete(b.desks, pool)
			b.config.Log.Add(event.DispatchStop, pool, state.Version, "another member is responsible")
			b.retired[pool] = retired{d.stop(), b.config.Now()}
		}
	}
}

// Stop ends all queues for good; what waits is refused.
func (b *Broker) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assign(nil, fleet.NewState(), nil)
	b.stopped = true
}

// Given returns the grants that a queue which was stopped here gave so lately
// that they may still be on their way.
func (b *Broker) Given(pool string) []sched.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.retired[pool]
	if !known || b.config.Now().Sub(r.at) > grantSettles {
		delete(b.retired, pool)
		return nil
	}
	return r.grants
}

// Acquire waits for a slot of a pool until ctx ends. It returns [ErrNotOwner]
// for a pool that is not run here.
func (b *Broker) Acquire(ctx context.Context, pool string, r sched.Request) (sched.Decision, error) {
	d, err := b.desk(pool)
	if err != nil {
		return sched.Decision{}, err
	}
	return d.acquire(ctx, r)
}

// Runs reports whether a pool's queue is run here.
func (b *Broker) Runs(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, running := b.desks[pool]
	return running
}

// Release gives back the slots of some grants.
func (b *Broker) Release(pool string, releases []Release) error {
	d, err := b.desk(pool)
	if err != nil {
		return err
	}
	d.release(releases)
	return nil
}

// Cancel ends the wait of a request, or gives back the grant that it was given
// without its entry knowing.
func (b *Broker) Cancel(pool, request string) error {
	d, err := b.desk(pool)
	if err != nil {
		return err
	}
	d.cancel(request)
	return nil
}

// Run drives the clocks of all queues until ctx ends.
func (b *Broker) Run(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	reconcile := time.NewTicker(reconcileEvery)
	defer reconcile.Stop()
	last := b.config.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			now := b.config.Now()
			b.tick(now.Sub(last) > pauseNoticed)
			last = now
		case <-reconcile.C:
			for _, d := range b.all() {
				go d.resync(grantSettles, false)
			}
		}
	}
}

// tick drives the clocks of all queues once.
func (b *Broker) tick(afterPause bool) {
	for _, d := range b.all() {
		if afterPause {
			go d.afterPause()
		}
		d.tick()
	}
}

// Load says how busy one pool's queue is.
type Load struct {
	Pool    string
	Waiting int
	Running int
	Slots   int
}

// Loads returns the load of every pool that is run here.
func (b *Broker) Loads() []Load {
	var loads []Load
	for _, d := range b.all() {
		loads = append(loads, d.load())
	}
	return loads
}

func (b *Broker) desk(pool string) (*desk, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, running := b.desks[pool]
	if !running {
		return nil, errors.Wrap(ErrNotOwner, pool)
	}
	return d, nil
}

func (b *Broker) all() []*desk {
	b.mu.Lock()
	defer b.mu.Unlock()
	var desks []*desk
	for _, d := range b.desks {
		desks = append(desks, d)
	}
	return desks
}

// Release gives back the slot of one grant.
type Release struct {
	Grant   uint64
	Outcome sched.Outcome
}
