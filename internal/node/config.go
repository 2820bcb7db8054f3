package node

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/store"
)

const (
	changesPerRead    = 100
	maxRecentChanges  = 256 // kept in memory to send to members that missed them
	maxSubmitAttempts = 20  // of a ticket that conflicts with concurrent changes
)

// syncConfig is one round of the configuration loop. It reads the changes that no
// push delivered. A member loads the state only after its lease row exists, so
// that a process that drains a host afterwards knows to ask this member.
func (n *Node) syncConfig(ctx context.Context) error {
	tenure := n.leaseState.currentTenure()
	if tenure == 0 {
		return nil
	}
	if !n.loaded.Load() {
		return n.load(ctx, tenure)
	}
	switch err := n.pollChanges(ctx); {
	case errors.Is(err, store.ErrTrimmed):
		return n.load(ctx, tenure)
	case err == nil:
		n.leaseState.recordCaughtUp(tenure)
	}
	return nil
}

// pollChanges reads and applies all changes committed to the table service since
// the version in force.
func (n *Node) pollChanges(ctx context.Context) error {
	for {
		changes, err := n.store.Changes(ctx, n.state.Load().Version, changesPerRead)
		if err != nil || len(changes) == 0 {
			return err
		}
		n.apply(changes, "polled")
	}
}

// load replaces the state by the one in the table service, unless that is older.
func (n *Node) load(ctx context.Context, tenure uint64) error {
	state, err := n.store.Load(ctx)
	if err != nil {
		n.logger.WithError(err).Warn("can't load the fleet's state, retrying")
		return nil
	}
	n.stateMu.Lock()
	if state.Version >= n.state.Load().Version {
		n.state.Store(state)
	}
	n.stateMu.Unlock()
	n.leaseState.recordCaughtUp(tenure)
	n.log.Add(event.ConfigInForce, "fleet", state.Version, "loaded")
	if !n.loaded.Swap(true) {
		n.join(ctx)
	}
	n.assignPools()
	return nil
}

// apply puts into force the changes that follow directly on the current version
// and skips all others, so that the version never decreases.
func (n *Node) apply(changes []fleet.Change, source string) {
	n.stateMu.Lock()
	before := n.state.Load()
	state := before
	for _, change := range changes {
		if next, err := state.Apply(change); err == nil {
			state = next
			n.recentChanges = append(n.recentChanges, change)
		}
	}
	n.recentChanges = n.recentChanges[max(0, len(n.recentChanges)-maxRecentChanges):]
	n.state.Store(state)
	n.stateMu.Unlock()
	if state.Version == before.Version {
		return
	}
	n.log.Add(event.ConfigInForce, "fleet", state.Version, source)
	n.assignPools()
}

// recentChangesSince returns the changes after a version, oldest first, as far as
// they are kept in memory. It returns none if the change right after version is
// missing.
func (n *Node) recentChangesSince(version uint64) []fleet.Change {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	for i, change := range n.recentChanges {
		if change.Version == version+1 {
			return slices.Clone(n.recentChanges[i:])
		}
	}
	return nil
}

// push applies a committed change and sends it to every member. Pushes can arrive
// out of order, so a member that replies with an older version is sent the changes
// that it lacks: it may be unable to read them from the table service.
func (n *Node) push(change fleet.Change) {
	n.apply([]fleet.Change{change}, "committed here")
	go n.roster.forEachPeer(func(p *peer) {
		inForce, err := pushTo(p, []fleet.Change{change})
		if err == nil && inForce < change.Version {
			_, _ = pushTo(p, n.recentChangesSince(inForce))
		}
	})
}

// pushTo sends changes to a member and returns the version that is in force there
// afterwards.
func pushTo(p *peer, changes []fleet.Change) (uint64, error) {
	var args PushArgs
	for _, change := range changes {
		args.Changes = append(args.Changes, fleet.EncodeChange(change))
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply PushReply
	err := p.wire.Call(ctx, "Member.Push", args, &reply)
	return reply.Version, err
}
