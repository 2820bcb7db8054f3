package node

import (
	"context"
	"maps"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/event"
)

// followMembership reassigns pools when members join, leave or stop answering.
func (n *Node) followMembership(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.roster.changed:
			n.assignPools()
			n.keys.wakeRound()
		}
	}
}

// assignPools updates the pools that this process's broker dispatches for.
func (n *Node) assignPools() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	state := n.state.Load()
	n.broker.SetPools(ownPools(n.roster, state.PoolNames()), state, *n.leavingHosts.Load())
}

// readHosts is one round of the loop that polls the platform for leaving hosts.
// Dispatchers grant no slots on a leaving host, so a process that owns no pools
// skips the poll. While the platform does not answer, its last list stays in use.
func (n *Node) readHosts(ctx context.Context) error {
	if len(ownPools(n.roster, n.state.Load().PoolNames())) == 0 {
		return nil
	}
	names, err := n.platform.Hosts.Leaving(ctx)
	if err != nil {
		return nil
	}
	leaving := map[string]bool{}
	for _, name := range names {
		leaving[name] = true
	}
	before := *n.leavingHosts.Swap(&leaving)
	if maps.Equal(before, leaving) {
		return nil
	}
	for name := range leaving {
		if !before[name] {
			n.log.Add(event.HostLeaving, name, 0, "the platform's list says so")
		}
	}
	n.assignPools()
	return nil
}

// localHolding returns the grants of a pool that this process holds or has given.
func (n *Node) localHolding(pool string) broker.MemberGrants {
	return broker.MemberGrants{Member: n.settings.Name, Grants: n.entry.Held(pool), RecentlyIssued: n.broker.RecentlyIssued(pool)}
}
