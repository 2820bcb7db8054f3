package place

import (
	"maps"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// advice lists the workers that may run a step, with a ticket for each.
type advice struct {
	requested bool
	tickets   map[string]string // by worker id
	expires   time.Time
}

const (
	maxAdviceWorkers  = 24                     // workers per request; each one adds to its response time
	minTicketValidity = 500 * time.Millisecond // tickets closer to their expiry are not used
)

// ensureTickets reports whether a step has valid tickets, and requests them if it
// has none.
func (b *Board) ensureTickets(o *Orders, c candidate, now time.Time) bool {
	known := c.entry.advice[c.key]
	if known != nil && (known.requested || len(known.tickets) > 0 && known.expires.After(now.Add(minTicketValidity))) {
		return len(known.tickets) > 0 && known.expires.After(now.Add(minTicketValidity))
	}
	step := &c.entry.job.Steps[c.key.step]
	var ids []string
	for _, key := range slices.Sorted(maps.Keys(b.workers)) {
		w := b.workers[key]
		if w.acceptsTasks() && w.hasLabel(step.Label) && step.Claim().Fits(w.Size) && len(ids) < maxAdviceWorkers {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	c.entry.advice[c.key] = &advice{requested: true}
	o.Advice = append(o.Advice, AdviceOrder{c.entry.job.ID, c.key.occurrence, c.key.step, c.entry.job.Queue, ids})
	return false
}

// Advised stores the tickets of the workers that may run a step. If the request
// went unanswered, tickets is nil and the step requests them again.
func (b *Board) Advised(id jobs.ID, occurrence, step int, tickets map[string]string, until time.Time) {
	b.recordStep(Step{Kind: StepAdvised, ID: id, Task: jobs.Task{Occurrence: occurrence, Step: step}, Tickets: tickets, Until: until})
	e := b.jobs[id]
	if e == nil {
		return
	}
	if len(tickets) == 0 {
		delete(e.advice, stepKey{occurrence, step})
		return
	}
	e.advice[stepKey{occurrence, step}] = &advice{tickets: tickets, expires: until}
}
