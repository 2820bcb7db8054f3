package node

import (
	"context"
	"maps"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/event"
)

// followRoster reassigns pools whenever members come, go or stop answering.
func (n *Node) followRoster(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.roster.changed:
			n.assign()
			n.keys.kickRound()
		}
	}
}

// assign tells the broker which pools it is responsible for now.
func (n *Node) assign() {
	n.admit.Lock()
	defer n.admit.Unlock()
	state := n.state.Load()
	n.broker.Assign(ownPools(n.roster, state.PoolNames()), state, *n.leavingHosts.Load())
}

// readHosts is a round of the loop that follows the platform's list of hosts. A
// host that is leaving gets no more slots; only dispatchers need to know. While
// the platform does not answer, what it said last holds.
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
	n.assign()
	return nil
}

// heldHere returns what this process says of a pool's grants.
func (n *Node) heldHere(pool string) broker.Holding {
	return broker.Holding{Member: n.settings.Name, Grants: n.entry.Held(pool), Given: n.broker.Given(pool)}
}
