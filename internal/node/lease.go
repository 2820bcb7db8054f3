package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
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
