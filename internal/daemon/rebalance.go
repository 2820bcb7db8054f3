package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
)

const (
	rebalancePeriod      = 500 * time.Millisecond
	rebalanceFactor      = 2               // a pool moves only to a process with more than this times the processor time for it
	fleetRebalanceFactor = 1.5             // the same for the fleet, whose move no task has to wait for: it leaves the owner of a pool to that
	minOwnership         = 3 * time.Second // before a pool moves again, and after the start of a process
)

// rebalancePools periodically hands a pool over to a process that has much more processor
// time for it. After an outage or a restart of all processes, pools may be left at hosts
// that are too small for them, and a host may become slow.
func (d *Daemon) rebalancePools(ctx context.Context) error {
	return every(ctx, rebalancePeriod, func() {
		if m, found := d.misplacedPool(time.Now()); found {
			d.movePool(ctx, m)
		}
	})
}

// rebalanceMove is a pool of this process, or the fleet, that another process should own.
type rebalanceMove struct {
	own       pool.Ownership
	owner     *pool.Owner // nil for the fleet
	node      string      // of the process that should own it
	processor float64     // that it has here
}

// misplacedPool returns a pool of this process that another process should own, or the fleet.
func (d *Daemon) misplacedPool(now time.Time) (m rebalanceMove, found bool) {
	if !d.canOwn() {
		return m, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.startedAt) < minOwnership {
		return m, false
	}
	owned := map[string]int{}
	for _, own := range d.ownerships {
		owned[own.Owner.Node]++
	}
	self := candidate{node: d.self.Node, owned: owned[d.self.Node], processor: d.processor()}
	var others []candidate
	for _, p := range d.peers {
		if p.alive(now) && p.ready && !p.silentFor(now, suspicionTime) && d.declinedAt(p.node, now).IsZero() {
			others = append(others, candidate{node: p.node, owned: owned[p.node], processor: p.processor})
		}
	}
	m.processor = self.processor / float64(max(1, self.owned))
	if d.keeper != nil && now.Sub(d.keeperSince) >= minOwnership {
		if m.node, found = betterOwner(fleetName, self, others, fleetRebalanceFactor); found {
			m.own = d.ownerships[fleetName]
			return m, true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.owners)) {
		o := d.owners[name]
		if now.Sub(o.ClaimedAt()) < minOwnership {
			continue
		}
		if m.node, found = betterOwner(name, self, others, rebalanceFactor); found {
			m.own, m.owner = d.ownerships[name], o
			return m, true
		}
	}
	return m, false
}

// betterOwner returns the process that a pool of self should move to: the one that would
// have the most processor time for each of its pools, if that is more than factor times
// what self has. Of equal ones it depends on the pool, as several may move at the same time.
func betterOwner(name string, self candidate, others []candidate, factor float64) (node string, found bool) {
	if self.processor <= 0 {
		return "", false
	}
	least := float64(self.owned) / self.processor / factor // pools for each core
	order := func(node string) uint64 { return xxh3.HashString(name + "/" + node) }
	for _, c := range others {
		if c.processor <= 0 {
			continue
		}
		load := float64(c.owned+1) / c.processor
		if load < least || found && load == least && order(c.node) < order(node) {
			node, found, least = c.node, true, load
		}
	}
	return node, found
}

// movePool hands a pool of this process, or the fleet, over to another process.
func (d *Daemon) movePool(ctx context.Context, m rebalanceMove) {
	d.mu.Lock()
	p := d.peers[m.node]
	d.mu.Unlock()
	if p == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	taken, err := d.offer(callCtx, p, TakeArgs{Pool: m.own.Pool, Token: m.own.Token, Processor: m.processor})
	d.log.WithFields(logrus.Fields{"pool": m.own.Pool, "to": m.node, "taken": taken, "processor": m.processor}).WithError(err).Info("pool moved to a process with more processor time")
	if !taken {
		d.recordDecline(m.node, time.Now())
		return
	}
	if m.owner != nil {
		m.owner.Close()
	}
	d.refreshOwnership(ctx, m.own.Pool)
}

// TakeArgs offers a pool to another process.
type TakeArgs struct {
	Pool      string
	Token     uint64  // of the ownership that ends
	Processor float64 // that the pool has; 0 if any process is to take it
	// Life is the owner's, and Round the last round of requests to vouch whose answers it does not
	// count on any more.
	Life  string
	Round uint64
}

// offer offers a pool to a process and reports whether it took it.
func (d *Daemon) offer(ctx context.Context, p *peer, args TakeArgs) (taken bool, err error) {
	d.mu.Lock()
	args.Life, args.Round = d.self.Life, d.withdraw(p.node, args.Pool)
	d.mu.Unlock()
	err = p.link.Call(ctx, "Peer.TakeOver", args, &taken)
	if errors.Is(err, wire.ErrRefused) && args.Processor == 0 { // a process of a version without this method
		err = p.link.Call(ctx, "Peer.Take", args.Pool, &taken)
	}
	return taken && err == nil, err
}

// TakeOver makes this process claim a pool that its owner hands over, and reports whether the
// claim succeeded. It declines a pool of which a later owner is known, and one for which it
// has no more processor time than the pool has.
func (s *peerService) TakeOver(args TakeArgs, reply *bool) error {
	if !s.d.accepts(args) {
		return nil
	}
	s.d.release(args)
	return s.take(args.Pool, args.Token, reply)
}

// accepts reports whether this process is to take over a pool.
func (d *Daemon) accepts(args TakeArgs) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ownerships[args.Pool].Token > args.Token {
		return false
	}
	owned := 1
	for _, own := range d.ownerships {
		if own.Owner.Node == d.self.Node {
			owned++
		}
	}
	return args.Processor == 0 || d.processor()/float64(owned) > args.Processor
}
