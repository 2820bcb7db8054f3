package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
)

const (
	rebalancePeriod = time.Second
	rebalanceFactor = 2               // a pool moves only to a process with more than this times the processor time for it
	minOwnership    = 3 * time.Second // before a pool moves again, and after the start of a process
)

// rebalancePools periodically hands a pool over to a process that has much more processor
// time for it. After an outage or a restart of all processes, pools may be left at hosts
// that are too small for them.
func (d *Daemon) rebalancePools(ctx context.Context) error {
	return every(ctx, rebalancePeriod, func() {
		if o, node := d.misplacedPool(time.Now()); o != nil {
			d.movePool(ctx, o, node)
		}
	})
}

// misplacedPool returns a pool of this process that another process should own, and that
// process's node, or nil.
func (d *Daemon) misplacedPool(now time.Time) (*pool.Owner, string) {
	if !d.canOwn() {
		return nil, ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.startedAt) < minOwnership {
		return nil, ""
	}
	owned := map[string]int{}
	for _, own := range d.ownerships {
		owned[own.Owner.Node]++
	}
	self := candidate{node: d.self.Node, owned: owned[d.self.Node], processor: d.settings.Limits.Processor}
	var others []candidate
	for _, p := range d.peers {
		if p.alive(now) && p.ready && !p.silentFor(now, suspicionTime) {
			others = append(others, candidate{node: p.node, owned: owned[p.node], processor: p.processor})
		}
	}
	node, found := betterOwner(self, others)
	if !found {
		return nil, ""
	}
	for _, name := range slices.Sorted(maps.Keys(d.owners)) {
		if o := d.owners[name]; now.Sub(o.ClaimedAt()) >= minOwnership {
			return o, node
		}
	}
	return nil, ""
}

// betterOwner returns the process that a pool of self should move to: the one that would
// have the most processor time for each of its pools, if that is more than
// rebalanceFactor times what self has.
func betterOwner(self candidate, others []candidate) (node string, found bool) {
	if self.processor <= 0 {
		return "", false
	}
	least := float64(self.owned) / self.processor / rebalanceFactor // pools for each core
	for _, c := range others {
		if c.processor <= 0 {
			continue
		}
		load := float64(c.owned+1) / c.processor
		if load < least || found && load == least && c.node < node {
			node, found, least = c.node, true, load
		}
	}
	return node, found
}

// movePool hands a pool of this process over to another one.
func (d *Daemon) movePool(ctx context.Context, o *pool.Owner, node string) {
	d.mu.Lock()
	p := d.peers[node]
	d.mu.Unlock()
	if p == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	taken, err := offer(callCtx, p, TakeArgs{Pool: o.Name(), Token: o.Token()})
	d.log.WithFields(logrus.Fields{"pool": o.Name(), "to": node, "taken": taken}).WithError(err).Info("pool moved to a process with more processor time")
	if taken {
		o.Close()
		d.refreshOwnership(ctx, o.Name())
	}
}

// TakeArgs offers a pool to another process.
type TakeArgs struct {
	Pool  string
	Token uint64 // of the ownership that ends
}

// offer offers a pool to a process and reports whether it took it.
func offer(ctx context.Context, p *peer, args TakeArgs) (taken bool, err error) {
	err = p.link.Call(ctx, "Peer.TakeOver", args, &taken)
	if errors.Is(err, wire.ErrRefused) { // a process of a version without this method
		err = p.link.Call(ctx, "Peer.Take", args.Pool, &taken)
	}
	return taken && err == nil, err
}

// TakeOver makes this process claim a pool that its owner hands over, and reports whether the
// claim succeeded. It declines a pool of which a later owner is known.
func (s *peerService) TakeOver(args TakeArgs, reply *bool) error {
	if !s.d.accepts(args) {
		return nil
	}
	return s.Take(args.Pool, reply)
}

// accepts reports whether this process is to take over a pool.
func (d *Daemon) accepts(args TakeArgs) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownerships[args.Pool].Token <= args.Token
}
