package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
)

// renew is one round of the lease loop. A failed renewal is retried in the next
// round. If another process has taken this one's name, it stops all loops.
func (n *Node) renew(ctx context.Context) error {
	tenure := n.leaseState.currentTenure()
	err := n.renewLease(ctx)
	if n.leaseState.currentTenure() != tenure {
		return n.syncConfig(ctx)
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
		n.quorum.extendLease(ctx)
		return err
	}
	wasDown, newTenure := n.leaseState.recordRenewal(sent)
	if wasDown {
		n.log.Add(event.StoreUp, "table", 0, "")
		n.logger.Info("table service is available again")
	}
	if newTenure {
		n.log.Add(event.LeaseRegained, n.settings.Name, n.leaseState.currentTenure(), "")
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
	if n.leaseState.recordStoreFailure() {
		n.log.Add(event.StoreDown, "table", 0, err.Error())
		n.logger.WithError(err).Warn("table service is unavailable, keeping the current configuration")
	}
}

// observe is one round of the membership loop.
func (n *Node) observe(ctx context.Context) error {
	_ = n.readMembers(ctx) // the lease loop reports failures of the table service
	return nil
}

func (n *Node) readMembers(ctx context.Context) error {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	infos, err := n.reader.Read(ctx)
	if err != nil {
		return err
	}
	n.roster.observe(infos, time.Now())
	return nil
}

// join announces this process as ready, after which it owns its share of pools and
// key shards.
func (n *Node) join(ctx context.Context) {
	_ = n.renewLease(ctx) // sets the row's state to ready; the lease loop retries a failure
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
