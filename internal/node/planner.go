package node

import (
	"context"
	"time"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/plan"
)

// planRound is one round of the planner loop. It commits the changes that are due
// in the pools of this process, such as the steps of a drain.
func (n *Node) planRound(ctx context.Context) error {
	state := n.state.Load()
	if !n.loaded.Load() || n.leaving.Load() {
		return nil
	}
	for _, pool := range ownPools(n.roster, state.PoolNames()) {
		if err := n.planPool(ctx, pool); err != nil {
			n.logger.WithError(err).WithField("pool", pool).Debug("can't commit the planned changes of a pool, retrying")
		}
	}
	return nil
}

func (n *Node) planPool(ctx context.Context, pool string) error {
	state := n.state.Load()
	if !plan.Pending(state, pool) {
		return nil
	}
	steps := plan.Steps(state, pool, *n.leavingHosts.Load(), n.collectEvidence(ctx), time.Now())
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

// collectEvidence asks every live member for its version in force and its attempts
// in flight. It reads the lease rows again first, to include members that joined
// since a drain began. A member that a majority counts as gone has fenced itself
// and is not asked.
func (n *Node) collectEvidence(ctx context.Context) plan.Evidence {
	if n.readMembers(ctx) != nil || !n.quorum.confirmGone(ctx) {
		return plan.Evidence{}
	}
	own := n.entry.Status()
	replies := make(chan *StatusReply)
	peers := n.roster.livePeers()
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
	evidence := plan.Evidence{LowestVersion: own.Version, Complete: true, InFlight: own.InFlight}
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
