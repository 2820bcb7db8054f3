package node

import (
	"context"
	"net/http"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/store"
)

// adminHandler returns the handler of the operators' HTTP interface.
func (n *Node) adminHandler() http.Handler {
	return admin.Handler(admin.Config{
		Submit: n.submit,
		Plan:   n.planTicket,
		Ticket: n.store.Ticket,
		Tickets: func(ctx context.Context) ([]store.TicketRecord, error) {
			return n.store.Tickets(ctx)
		},
		State:    n.state.Load,
		Members:  n.members,
		Loads:    n.loads,
		Events:   n.log.Since,
		NotReady: n.notReady,
	})
}

// notReady returns why the load balancer should send this entry no requests,
// empty if it should.
func (n *Node) notReady() string {
	switch {
	case n.leaving.Load():
		return "stopping"
	case !n.loaded.Load():
		return "the fleet's state is not loaded yet"
	}
	return n.leaseState.fenceReason()
}

func (n *Node) loads() []admin.PoolLoad {
	var loads []admin.PoolLoad
	for _, l := range n.broker.Loads() {
		loads = append(loads, admin.PoolLoad(l))
	}
	return loads
}

func (n *Node) members() []admin.Member {
	state := n.state.Load()
	members := []admin.Member{{
		Name:     n.settings.Name,
		Zone:     n.settings.Zone,
		State:    string(n.memberState()),
		Admin:    n.settings.AdminAddr.String(),
		Version:  state.Version,
		Pools:    ownPools(n.roster, state.PoolNames()),
		InFlight: n.entry.Status().Requests,
	}}
	return append(members, n.roster.members()...)
}
