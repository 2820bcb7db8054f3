// Package upkeep has the hosts of maintenance waves maintained and moves hosts
// between pools. Before a host goes down, the owner of its pool empties it, so that
// no work is interrupted. No more hosts are down at once than the wave allows.
//
// # Usage
//
//	k := upkeep.New(upkeep.Settings{Own: own, Store: store, Machines: machines, ...})
//	k.Run() // until another process holds the fleet, or Stop
//
// One process at a time holds the fleet. The machine API does not check fencing
// tokens everywhere. A holder therefore stores which hosts it is about to order, on
// condition that it still holds the fleet, and sends the orders right after that. A
// new holder reads what the previous one stored last, and sends those hosts no
// orders for a whole lease.
package upkeep

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

var (
	metricOrders = metrics.NewCounter("papayarudder_host_orders_total")
	metricMoves  = metrics.NewCounter("papayarudder_host_moves_total")
)

const (
	loopPeriod        = 100 * time.Millisecond
	sizesPeriod       = time.Second            // between log lines with the sizes of pools that change
	movingListPeriod  = 300 * time.Millisecond // while hosts are moving, instead of listPeriod
	loadPeriod        = 150 * time.Millisecond // between load requests to the pools' owners
	loadTimeout       = 300 * time.Millisecond // for their answers
	loadValidity      = 2 * time.Second        // of an owner's last answer, if it does not answer again
	moveGrace         = 3 * time.Second        // after the usual time of a move, before a move without effect is dropped
	listPeriod        = time.Second            // between requests for the platform's list of hosts
	callTimeout       = 800 * time.Millisecond // for an answer of the store or the machine API
	renewLeaseShare   = 0.3                    // of the lease, between renewals without an order
	orderLeaseShare   = 0.3                    // of the lease: maximum time from recording orders to sending them
	minOrderWindow    = 200 * time.Millisecond // minimum time from recording orders to sending them; the store takes 8 ms
	orderWindowFactor = 3                      // the order window is this multiple of the last renewal's duration where the store is slow
	handoverDelay     = 300 * time.Millisecond // without a renewal before others are asked to take over
	handoverPeriod    = time.Second            // between offers to other processes
	answerLeaseShare  = 0.25                   // of the lease, for the answer to an order
	defaultLease      = 3 * time.Second        // if the settings have no lease
	leaseSlack        = 300 * time.Millisecond // added to the lease that a new holder waits for

	tableWave = "wave" // progress of the waves, in the part of the fleet
	keyOwner  = "owner"

	tableIntent = "intent" // hosts that a holder has ordered or is about to order
	keyIntent   = "hosts"
)

// Settings configures a keeper.
type Settings struct {
	Own      pool.Ownership
	Store    *platform.Store
	Machines *platform.Machines
	Bounds   platform.Bounds
	Log      *logrus.Entry
	Waves    func() []platform.Wave
	Config   func() *platform.Config
	HandOver func(name string) bool // offers the fleet to other processes and reports whether one took it
	// Vacate requests that workers become empty. It returns the state of each that the
	// pool has.
	Vacate func(ctx context.Context, pool string, workers []string) (map[string]pool.Vacated, error)
	// Retire notifies a pool that a lifetime has ended by an order for its host.
	Retire func(ctx context.Context, pool, lifetime string)
	// Load returns the demand and the capacity of a pool, and tells its owner the capacity of the
	// hosts that are on their way there, in millicores.
	Load func(ctx context.Context, pool string, arriving int) (place.Load, error)
}

// Keeper plans and sends the orders for hosts while this process holds the fleet.
type Keeper struct {
	Settings
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu sync.Mutex // guards the planner while orders are sent concurrently
	*Planner
	listRequestedAt  time.Time
	oddHosts         map[string]string // faults of hosts that can't be decoded, by name
	loadsRequestedAt time.Time
	lastLoads        map[string]loadAnswer // by pool
	sizesLoggedAt    time.Time
	orderSentBy      map[string]time.Time // by host: time by which its newest order has been sent
	sendBy           time.Time            // by when the orders that were authorized last must be sent
	intentVersion    uint64               // of the row in tableIntent, as last seen
	renewDuration    time.Duration        // of the last renewal
	failingSince     time.Time            // since when renewals fail, zero while they succeed
	offeredAt        time.Time            // when the fleet was last offered to other processes
	startedAt        time.Time
}

// New returns a keeper that is not running yet.
func New(s Settings) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{
		Settings: s, log: s.Log.WithField("fleet-token", s.Own.Token), ctx: ctx, cancel: cancel,
		Planner: NewPlanner(DefaultMovePolicy(), DefaultWavePolicy(s.Bounds.Maintenance), s.Bounds.Migration),
		ended:   make(chan struct{}), lastLoads: map[string]loadAnswer{}, orderSentBy: map[string]time.Time{}, startedAt: time.Now(),
	}
}

// Stop stops the keeper and waits until no order is in progress.
func (k *Keeper) Stop() {
	k.cancel()
	<-k.ended
}

// Run plans and sends orders until the keeper is stopped or another process holds
// the fleet.
func (k *Keeper) Run() {
	defer close(k.ended)
	k.log.Info("fleet ownership acquired")
	for k.Own.Token > 1 && k.ctx.Err() == nil {
		err := k.readIntents()
		if err == nil {
			break
		}
		k.log.WithError(err).Info("can't read the orders of the previous holder")
		k.sleep()
	}
	var lastRenewal time.Time
	for k.ctx.Err() == nil {
		now := time.Now()
		k.openNewWaves()
		if now.Sub(lastRenewal) > k.leaseShare(renewLeaseShare) {
			lastRenewal = now
			succeeding := k.failingSince.IsZero()
			if err := k.renew(now); errors.Is(err, platform.ErrConflict) {
				k.log.Info("fleet lost to another holder")
				return
			} else if err != nil && succeeding {
				k.log.WithError(err).Info("fleet ownership not renewed")
			}
		}
		if !k.failingSince.IsZero() && now.Sub(k.failingSince) > handoverDelay && now.Sub(k.offeredAt) > handoverPeriod {
			k.offeredAt = now
			if k.HandOver(k.Own.Pool) {
				return // another process took over: only this one can't reach the store
			}
		}
		k.refreshHosts()
		k.refreshLoads()
		k.UpdateBlocked(time.Now())
		k.runWaves()
		k.runMoves()
		k.sleep()
	}
}

func (k *Keeper) sleep() {
	timer := time.NewTimer(loopPeriod)
	defer timer.Stop()
	select {
	case <-k.ctx.Done():
	case <-timer.C:
	}
}

// leaseShare returns a share of the lease that separates the orders of two holders.
func (k *Keeper) leaseShare(share float64) time.Duration {
	lease := k.Bounds.MachineLease
	if lease <= 0 {
		lease = defaultLease
	}
	return time.Duration(share * float64(lease))
}

// orderTimeout is the timeout of an order.
func (k *Keeper) orderTimeout() time.Duration {
	return min(callTimeout, k.leaseShare(answerLeaseShare))
}

// refreshHosts reads the platform's list of hosts if it is due.
func (k *Keeper) refreshHosts() {
	now := time.Now()
	period := listPeriod
	if k.Moving() {
		period = movingListPeriod
	}
	if now.Sub(k.listRequestedAt) < period {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	hosts, err := k.Machines.List(ctx)
	if err != nil {
		k.log.WithError(err).Info("can't read the list of hosts")
		return
	}
	k.listRequestedAt = now
	k.logOddHosts(hosts)
	k.SetHosts(hosts, now)
}

// logOddHosts logs which hosts can't be decoded, once for each fault.
func (k *Keeper) logOddHosts(hosts []platform.Host) {
	odd := map[string]string{}
	for _, h := range hosts {
		if h.Fault == nil {
			continue
		}
		odd[h.Name] = h.Fault.Error()
		if k.oddHosts[h.Name] != odd[h.Name] {
			k.log.WithField("host", h.Name).WithError(h.Fault).Error("decoding a host failed; it gets no orders")
		}
	}
	k.oddHosts = odd
}

// loadAnswer is an owner's answer to a request for its pool's load.
type loadAnswer struct {
	load place.Load
	at   time.Time
	lost bool // the request after it had no answer
}

// refreshLoads asks the owners of all pools for their demand and capacity. A pool whose
// owner is slow to answer, as it is in a load peak, keeps its last load for a while:
// without one it would get no hosts.
func (k *Keeper) refreshLoads() {
	c := k.Config()
	now := time.Now()
	if c == nil || now.Sub(k.loadsRequestedAt) < loadPeriod {
		return
	}
	k.loadsRequestedAt = now
	ctx, cancel := context.WithTimeout(k.ctx, loadTimeout)
	defer cancel()
	loads := make([]*place.Load, len(c.Pools))
	arriving := k.Arriving()
	var calls sync.WaitGroup
	for i, p := range c.Pools {
		if p.Standby {
			continue
		}
		calls.Go(func() {
			if l, err := k.Load(ctx, p.Name, arriving[p.Name].Millicores); err == nil {
				loads[i] = &l
			}
		})
	}
	calls.Wait()
	known := map[string]place.Load{}
	for i, l := range loads {
		name := c.Pools[i].Name
		last := k.lastLoads[name]
		if l != nil {
			last = loadAnswer{load: *l, at: now}
		} else if !last.at.IsZero() && !last.lost {
			last.lost = true
			k.log.WithField("pool", name).Info("the pool's owner does not answer; its last load is used")
		}
		k.lastLoads[name] = last
		if now.Sub(last.at) < loadValidity {
			known[name] = last.load
		}
	}
	k.SetLoads(c.Pools, known)
}

// logSizes logs the sizes of the pools that lack hosts or get some.
func (k *Keeper) logSizes(now time.Time) {
	if now.Sub(k.sizesLoggedAt) < sizesPeriod {
		return
	}
	k.sizesLoggedAt = now
	arriving := k.Arriving()
	for _, s := range k.Sizes() {
		a := arriving[s.Pool]
		if a.Hosts == 0 && s.Hosts >= s.Needed {
			continue
		}
		k.log.WithFields(logrus.Fields{
			"pool": s.Pool, "needed": s.Needed, "target": s.Target, "ready": s.Hosts - a.Hosts, "ordered": a.Hosts - a.Draining, "draining": a.Draining,
		}).Info("pool is to grow")
	}
}

func (k *Keeper) holder() platform.LeaseHolder {
	return platform.LeaseHolder{Name: k.Own.Owner.Node, Token: k.Own.Token, SendBy: k.sendBy}
}
