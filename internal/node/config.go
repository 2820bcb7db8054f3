package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/store"
)

const (
	changesPage = 100 // changes read at once
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
		}
	}
	n.state.Store(state)
	n.admit.Unlock()
	if state.Version == before.Version {
		return
	}
	n.log.Add(event.ConfigInForce, "fleet", state.Version, how)
	n.assign()
}

// push sends a change that took effect to every member.
func (n *Node) push(change fleet.Change) {
	n.apply([]fleet.Change{change}, "committed here")
	data := fleet.EncodeChange(change)
	go n.roster.each(func(p *peer) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var reply PushReply
		_ = p.wire.Call(ctx, "Member.Push", PushArgs{Changes: [][]byte{data}}, &reply)
	})
}
