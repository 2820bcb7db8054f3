package node

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/plan"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/store"
	"github.com/papayarudder/papayarudder/internal/ticket"
)

const (
	changesPage = 100 // changes read at once
	submitTries = 20  // of a ticket that races with other changes
)

// renew is a round of the lease's loop. A renewal that failed is tried again in
// the next round.
func (n *Node) renew(ctx context.Context) error {
	tenure := n.health.currentTenure()
	err := n.renewLease(ctx)
	if n.health.currentTenure() != tenure {
		return n.catchUp(ctx)
	}
	if errors.Is(err, member.ErrReplaced) {
		n.log.Add(event.LeaseLost, n.settings.Name, 0, err.Error())
		n.logger.WithError(err).Error("stopping")
		return suture.ErrTerminateSupervisorTree
	}
	return nil
}

func (n *Node) renewLease(ctx context.Context) error {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	n.lease.SetState(n.memberState())
	sent := time.Now()
	err := n.lease.Renew(ctx, n.platform.Table, n.state.Load().Version, sent)
	if err != nil {
		n.storeFailed(err)
		n.outage.extend(ctx)
		return err
	}
	wasDown, newTenure := n.health.renewedAt(sent)
	if wasDown {
		n.log.Add(event.StoreUp, "table", 0, "")
		n.logger.Info("the table service answers again")
	}
	if newTenure {
		n.log.Add(event.LeaseRegained, n.settings.Name, n.health.currentTenure(), "")
	}
	return nil
}

func (n *Node) memberState() member.State {
	switch {
	case n.leaving.Load():
		return member.Leaving
	case n.loaded.Load():
		return member.Ready
	}
	return member.Starting
}

func (n *Node) storeFailed(err error) {
	if n.health.storeFailed() {
		n.log.Add(event.StoreDown, "table", 0, err.Error())
		n.logger.WithError(err).Warn("the table service does not answer; what is in force stays in force")
	}
}

// observe is a round of the membership's loop.
func (n *Node) observe(ctx context.Context) error {
	_ = n.readMembers(ctx) // the lease's loop reports a failure
	return nil
}

func (n *Node) readMembers(ctx context.Context) error {
	n.reading.Lock()
	defer n.reading.Unlock()
	infos, err := n.reader.Read(ctx)
	if err != nil {
		return err
	}
	n.roster.observe(infos, time.Now())
	return nil
}

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
	for {
		changes, err := n.store.Changes(ctx, n.state.Load().Version, changesPage)
		if errors.Is(err, store.ErrTrimmed) {
			return n.load(ctx, tenure)
		}
		if err != nil {
			return nil
		}
		if len(changes) == 0 {
			n.health.caughtUpIn(tenure)
			return nil
		}
		n.apply(changes, "polled")
	}
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

// join makes this process responsible for its part.
func (n *Node) join(ctx context.Context) {
	_ = n.renewLease(ctx) // the row says ready from now on; a failure is tried again
	_ = n.readMembers(ctx)
	n.roster.announceJoin(ctx, n.leaseInfo())
	version := n.state.Load().Version
	n.log.Add(event.ProcessReady, n.settings.Name, version, "")
	n.logger.WithField("version", version).Info("ready")
}

func (n *Node) leaseInfo() member.Info {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	return n.lease.Info()
}

// heldHere returns what this process says of a pool's grants.
func (n *Node) heldHere(pool string) broker.Holding {
	return broker.Holding{Member: n.settings.Name, Grants: n.entry.Held(pool), Given: n.broker.Given(pool)}
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

// submit decides a ticket and puts it in force if it is accepted.
func (n *Node) submit(ctx context.Context, data []byte) (ticket.Decision, error) {
	t, faults := ticket.Parse(data)
	if len(faults) > 0 {
		return ticket.Decision{Verdict: ticket.Invalid, Reason: "the ticket has faults", Faults: faults}, nil
	}
	for range submitTries {
		decision, err := n.submitOnce(ctx, t, data)
		if errors.Is(err, store.ErrStale) {
			continue
		}
		if err == nil {
			cause := fmt.Sprintf("%s: %s", decision.Verdict, decision.Reason)
			n.log.Add(event.TicketDecided, fmt.Sprintf("ticket/%d", t.Number), decision.Change.Version, cause)
		}
		return decision, err
	}
	return ticket.Decision{}, errors.Newf("ticket %d lost %d races with other changes", t.Number, submitTries)
}

func (n *Node) submitOnce(ctx context.Context, t ticket.Ticket, data []byte) (ticket.Decision, error) {
	if err := n.refresh(ctx); err != nil {
		return ticket.Decision{}, err
	}
	record, _, err := n.store.Ticket(ctx, t.Number)
	if err != nil {
		return ticket.Decision{}, err
	}
	decision := ticket.Decide(t, n.state.Load(), record.Digest, time.Now())
	if decision.Verdict != ticket.Accepted {
		return decision, nil
	}
	kept := &store.TicketRecord{
		Number:  t.Number,
		Author:  t.Author,
		Reason:  t.Reason,
		Digest:  t.Digest,
		Version: decision.Change.Version,
		At:      decision.Change.At,
		Content: data,
	}
	if err := n.store.Commit(ctx, decision.Change, kept); err != nil {
		return ticket.Decision{}, err
	}
	n.push(decision.Change)
	return decision, nil
}

// refresh brings the state up to the head of the table service.
func (n *Node) refresh(ctx context.Context) error {
	if !n.loaded.Load() {
		return errors.Wrap(plat.ErrUnavailable, "the fleet's state is not loaded yet")
	}
	for {
		changes, err := n.store.Changes(ctx, n.state.Load().Version, changesPage)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return nil
		}
		n.apply(changes, "polled")
	}
}

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
