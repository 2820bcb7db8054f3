package node

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/store"
	"github.com/papayarudder/papayarudder/internal/ticket"
)

// submit decides a ticket, and commits and applies its change if it is accepted.
func (n *Node) submit(ctx context.Context, data []byte) (ticket.Decision, error) {
	t, faults := ticket.Parse(data)
	if len(faults) > 0 {
		return ticket.Decision{Verdict: ticket.Invalid, Reason: faultyTicketReason, Faults: faults}, nil
	}
	for range maxSubmitAttempts {
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
	return ticket.Decision{}, errors.Newf("ticket %d lost %d races with other changes", t.Number, maxSubmitAttempts)
}

// planTicket decides a ticket without committing it, and returns the effects that
// it would have.
func (n *Node) planTicket(ctx context.Context, data []byte) (ticket.Decision, []string, error) {
	t, faults := ticket.Parse(data)
	if len(faults) > 0 {
		return ticket.Decision{Verdict: ticket.Invalid, Reason: faultyTicketReason, Faults: faults}, nil, nil
	}
	if err := n.refresh(ctx); err != nil {
		return ticket.Decision{}, nil, err
	}
	record, _, err := n.store.Ticket(ctx, t.Number)
	if err != nil {
		return ticket.Decision{}, nil, err
	}
	state := n.state.Load()
	decision := ticket.Decide(t, state, record.Digest, time.Now())
	if decision.Verdict != ticket.Accepted {
		return decision, nil, nil
	}
	return decision, ticket.Effects(decision.Change, state), nil
}

// faultyTicketReason is the reason in the decision on a ticket that has parse
// errors.
const faultyTicketReason = "the ticket has faults"

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
	newRecord := &store.TicketRecord{
		Number:  t.Number,
		Author:  t.Author,
		Reason:  t.Reason,
		Digest:  t.Digest,
		Version: decision.Change.Version,
		At:      decision.Change.At,
		Content: data,
	}
	if err := n.store.Commit(ctx, decision.Change, newRecord); err != nil {
		return ticket.Decision{}, err
	}
	n.push(decision.Change)
	return decision, nil
}

// refresh applies all changes that are committed in the table service.
func (n *Node) refresh(ctx context.Context) error {
	if !n.loaded.Load() {
		return errors.Wrap(plat.ErrUnavailable, "the fleet's state is not loaded yet")
	}
	return n.pollChanges(ctx)
}
