package model

import (
	"slices"
	"strconv"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
)

// Timing of the advice service.
const (
	adviceTime       = 20 * time.Millisecond // for an answer
	adviceWorkerTime = time.Millisecond      // more for each worker that a request names
	adviceValidity   = 3 * time.Second       // of a ticket
)

// askAdvice asks for tickets, which each worker gets.
func (o *owner) askAdvice(q place.AdviceOrder) {
	w := o.simulation
	until := w.now.Add(adviceValidity)
	w.after(adviceTime+time.Duration(len(q.Workers))*adviceWorkerTime, func() {
		if o.ended {
			return
		}
		tickets := map[string]string{}
		for _, id := range q.Workers {
			tickets[id] = strconv.FormatInt(until.UnixMilli(), 10)
		}
		o.board.Advised(q, tickets, until, w.now)
		o.decideSoon()
	})
}

// acceptsTicket reports whether a worker starts a task of the job with a ticket.
func (c *call) acceptsTicket(ticket string, now time.Time) bool {
	if !c.queue.Advice {
		return true
	}
	until, err := strconv.ParseInt(ticket, 10, 64)
	return err == nil && now.UnixMilli() < until
}

// updateRoutes tells the owners which queues of the configuration have advice.
func (w *simulation) updateRoutes() {
	for _, name := range w.poolNames {
		w.pools[name].updateRoutes()
	}
}

func (o *owner) updateRoutes() {
	if !slices.ContainsFunc(o.simulation.scenario.Queues, func(q Queue) bool { return q.Advice }) {
		return
	}
	advised := map[string]bool{}
	for _, q := range o.simulation.scenario.Queues {
		if _, dropped := o.simulation.scenario.active(RouteDropped, q.Name, o.simulation.since()); !dropped {
			advised[q.Name] = q.Advice
		}
	}
	o.board.SetAdvised(advised)
	o.decideSoon()
}
