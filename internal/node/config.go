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
	changesPage = 100 // changes read at once
	recentKept  = 256 // changes kept for members that lack them
	submitTries = 20  // of a ticket that races with other changes
)

// catchUp is a round of the configuration's loop: it reads what the pushes of
// others did not bring. A member loads only after its lease row is there, so that
// whoever drains a host later knows to ask it.
func (n *Node) catchUp(ctx context.Context) error {
	tenure := n.health.currentTenure()
	if tenure == 0 {
		return nil
	}
	if !n.loaded.Load() {
		return n.load(ctx, tenure)
	}
	switch err := n.follow(ctx); {
	case errors.Is(err, store.ErrTrimmed):
		return n.load(ctx, tenure)
	case err == nil:
		n.health.caughtUpIn(tenure)
	}
	return nil
}

// follow puts in force what was committed since, up to the head of the table
// service.
func (n *Node) follow(ctx context.Context) error {
	for {
		changes, err := n.store.Changes(ctx, n.state.Load().Version, changesPage)
		if err != nil || len(changes) == 0 {
			return err
		}
		n.apply(changes, "polled")
	}
}

// load takes the whole state from the table service.
func (n *Node) load(ctx context.Context, tenure uint64) error {
	state, err := n.store.Load(ctx)
	if err != nil {
		n.logger.WithError(err).Warn("the fleet's state can't be loaded yet")
		return nil
	}
	n.admit.Lock()
	if state.Version >= n.state.Load().Version {
		n.state.Store(state)
	}
	n.admit.Unlock()
	n.health.caughtUpIn(tenure)
	n.log.Add(event.ConfigInForce, "fleet", state.Version, "loaded")
	if !n.loaded.Swap(true) {
		n.join(ctx)
	}
	n.assign()
	return nil
}

// apply puts the changes in force that follow on the state; others are left
// out, so that the state never goes back.
func (n *Node) apply(changes []fleet.Change, how string) {
	n.admit.Lock()
	before := n.state.Load()
	state := before
	for _, change := range changes {
		if next, err := state.Apply(change); err == nil {
			state = next
			n.recent = append(n.recent, change)
		}
	}
	n.recent = n.recent[max(0, len(n.recent)-recentKept):]
	n.state.Store(state)
	n.admit.Unlock()
	if state.Version == before.Version {
		return
	}
	n.log.Add(event.ConfigInForce, "fleet", state.Version, how)
	n.assign()
}

// recentSince returns the changes after a version that are still kept in memory,
// oldest first; none if there is a gap.
func (n *Node) recentSince(version uint64) []fleet.Change {
	n.admit.Lock()
	defer n.admit.Unlock()
	for i, change := range n.recent {
		if change.Version == version+1 {
			return slices.Clone(n.recent[i:])
		}
	}
	return nil
}

// push sends a change that took effect to every member. Pushes may overtake each
// other, so a member that answers with an older version is sent what it lacks: it
// may not be able to read it from the table service.
func (n *Node) push(change fleet.Change) {
	n.apply([]fleet.Change{change}, "committed here")
	go n.roster.each(func(p *peer) {
		inForce, err := pushTo(p, []fleet.Change{change})
		if err == nil && inForce < change.Version {
			_, _ = pushTo(p, n.recentSince(inForce))
		}
	})
}

// pushTo sends changes to a member and returns the version in force there then.
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
