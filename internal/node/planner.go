package node

import (
	"context"
	"time"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/plan"
)

// planRound carries out the steps that are due in the pools of this process.
func (n *Node) planRound(ctx context.Context) error {
	state := n.state.Load()
	if !n.loaded.Load() || n.leaving.Load() {
		return nil
	}
	for _, pool := range ownPools(n.roster, state.PoolNames()) {
		if err := n.planPool(ctx, pool); err != nil {
			n.logger.WithError(err).WithField("pool", pool).Debug("a step could not be taken")
		}
	}
	return nil
}

func (n *Node) planPool(ctx context.Context, pool string) error {
	state := n.state.Load()
	if !plan.Pending(state, pool) {
		return nil
	}
	steps := plan.Steps(state, pool, *n.leavingHosts.Load(), n.evidence(ctx), time.Now())
	if len(steps) == 0 {
		return nil
	}
	change := fleet.Change{Version: state.Version + 1, Cause: "planner: " + pool, At: time.Now()}
	for _, step := range steps {
		change.Hosts = append(change.Hosts, step.Host)
	}
	if err := n.store.Commit(ctx, change, nil); err != nil {
		return err
	}
	for _, step := range steps {
		n.log.Add(step.Kind, step.Host.Spec.Name, step.Host.Epoch, step.Cause)
	}
	n.push(change)
	return nil
}

// evidence asks every live member what it has in force and in flight. The
// lease rows are read anew first, for members that joined since a drain began. A
// member that a majority counts as gone has fenced itself and is not asked.
func (n *Node) evidence(ctx context.Context) plan.Evidence {
	if n.readMembers(ctx) != nil || !n.outage.settle(ctx) {
		return plan.Evidence{}
	}
	own := n.entry.Status()
	replies := make(chan *StatusReply)
	peers := n.roster.all()
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var reply StatusReply
			if p.wire.Call(ctx, "Member.Status", StatusArgs{}, &reply) != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	evidence := plan.Evidence{Acked: own.Version, Complete: true, InFlight: own.InFlight}
	for range peers {
		reply := <-replies
		if reply == nil {
			evidence.Complete = false
			continue
		}
		evidence.Add(reply.Version, reply.InFlight)
	}
	return evidence
}
