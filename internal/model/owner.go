package model

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Timing of a pool owner, as in package pool.
const (
	leaseTime     = 4 * time.Second
	leaseExpiry   = 4270 * time.Millisecond // a lease measured by the slowest clock, plus a margin
	orderTimeout  = 300 * time.Millisecond  // to wait for the answer to an order
	pollInterval  = time.Second             // between lists of a worker on which no task ends
	answerTimeout = 700 * time.Millisecond  // beyond pollInterval, to wait for the answer
	commitGap     = 20 * time.Millisecond
	ackDelay      = 30 * time.Millisecond // until listed ends are durable and the next list is accepted
	decideDelay   = time.Millisecond      // batches events into one decision
	tickInterval  = 50 * time.Millisecond
	vacateTimeout = 2 * time.Second
	storeRetry    = 500 * time.Millisecond
)

// owner runs a pool: it commits jobs to the store, sends the board's orders to the
// workers and applies the lists that they return.
type owner struct {
	simulation *simulation
	name       string
	board      *place.Board
	workers    map[string]*knownWorker
	queue      []*call // submissions that are not durable yet
	calls      []*call // accepted jobs
	lasting    []*call // accepted lasting jobs
	deciding   bool
	committing bool // a transaction is in progress
	vacated    map[string]time.Time

	token       int
	started     bool                 // tasks are placed
	ended       bool                 // another owner takes over
	unseen      map[string]time.Time // workers that may run tasks which are not listed yet, and until when
	load        place.Load           // as last reported
	standsSince time.Time            // hand-over since which no inherited job was started, zero if one was
}

// knownWorker is the state of a worker as its owner knows it.
type knownWorker struct {
	*worker
	heard    time.Time // when its latest list was requested
	answered bool      // to this owner
	silent   bool
	vacate   bool
}

func newOwner(w *simulation, name string, token int) *owner {
	o := &owner{
		simulation: w, name: name, token: token, started: true, board: place.NewBoard(w.policy.Place, token*ownerAttempts),
		workers: map[string]*knownWorker{}, vacated: map[string]time.Time{}, unseen: map[string]time.Time{},
	}
	w.after(tickInterval, o.tick)
	return o
}

// prepare sets the board up before it gets jobs and workers.
func (o *owner) prepare() {
	o.record()
	o.board.SetLookAhead(o.simulation.policy.LookAhead)
	o.updateRoutes()
}

// addWorker adds a new worker to the board.
func (o *owner) addWorker(at *worker) {
	if at.terminated || o.ended || o.workers[at.key] != nil {
		return
	}
	k := &knownWorker{worker: at, heard: o.simulation.now}
	if until, unseen := o.unseen[at.key]; unseen {
		k.heard = until.Add(-leaseExpiry)
	}
	o.workers[at.key] = k
	o.updateBoard(k)
	o.pollWorker(at.key)
	o.decideSoon()
}

func (o *owner) updateBoard(k *knownWorker) {
	o.board.SetWorker(place.Worker{
		Key: k.key, ID: k.id, Rack: k.host.rack, Labels: []string{"a", k.host.rack}, Size: o.simulation.hostSize(),
		Silent: k.silent, Vacate: k.vacate,
	})
}

// pollWorker reads a worker's lists at intervals.
func (o *owner) pollWorker(key string) {
	k := o.workers[key]
	if k == nil || o.ended {
		return
	}
	if k.unreachable || k.terminated {
		o.simulation.after(answerTimeout, func() { o.recordNoAnswer(key) })
	} else {
		o.deliverLists(k.worker)
	}
	o.simulation.after(pollInterval, func() { o.pollWorker(key) })
}

// recordNoAnswer marks a worker that does not answer as silent and removes it once
// its leases have expired.
func (o *owner) recordNoAnswer(key string) {
	k := o.workers[key]
	if k == nil || o.ended || !k.unreachable && !k.terminated {
		return
	}
	if !k.silent {
		k.silent = true
		o.updateBoard(k)
	}
	if o.simulation.now.Sub(k.heard) > leaseExpiry {
		o.board.RemoveWorker(key, o.simulation.now)
		delete(o.workers, key)
		o.markSeen(key)
		o.decideSoon()
	}
}

// retire removes a worker that ended because of an order for its host.
func (o *owner) retire(at *worker) {
	if o.workers[at.key] != nil {
		o.board.RemoveWorker(at.key, o.simulation.now)
		delete(o.workers, at.key)
		o.markSeen(at.key)
		o.decideSoon()
	}
}

// deliverLists sends a worker's lists to its owner unless a delivery is in progress.
// The next lists follow once the ends in these are durable.
func (o *owner) deliverLists(at *worker) {
	if at.delivering || at.unreachable || at.terminated || o.ended {
		return
	}
	at.delivering = true
	o.simulation.at(at.delivered.Add(ackDelay), func() {
		if o.ended {
			at.delivering = false
			return
		}
		asked := o.simulation.now
		ended := at.ended
		at.ended = nil
		running := at.list(o.simulation.now)
		o.simulation.after(o.simulation.scenario.Fleet.Hop, func() {
			at.delivering, at.delivered = false, o.simulation.now
			if o.ended {
				at.ended = append(ended, at.ended...)
				return
			}
			o.applyLists(at, running, ended, asked)
			if len(at.ended) > 0 {
				o.deliverLists(at)
			}
		})
	})
}

func (at *worker) list(now time.Time) []place.Running {
	all := make([]place.Running, 0, len(at.running))
	for _, r := range at.running {
		all = append(all, place.Running{Task: r.task, Attempt: r.number, Percent: r.percent(now), Checkpoint: r.saved(now)})
	}
	slices.SortFunc(all, func(x, y place.Running) int { return strings.Compare(x.Task.String(), y.Task.String()) })
	return all
}

func (o *owner) applyLists(at *worker, running []place.Running, ended []place.Ended, asked time.Time) {
	k := o.workers[at.key]
	if k == nil || at.terminated || at.unreachable {
		return
	}
	k.heard, k.answered, at.leased = asked, true, asked
	o.markSeen(at.key)
	for _, stray := range o.board.Listed(at.key, running, ended, asked, o.simulation.now) {
		o.stop(stray)
	}
	o.decideSoon()
}

// tick withdraws expired vacate requests and decides again.
func (o *owner) tick() {
	if o.ended {
		return
	}
	o.updateUnseen()
	for key, until := range o.vacated {
		if o.simulation.now.After(until) {
			delete(o.vacated, key)
			if k := o.workers[key]; k != nil {
				k.vacate = false
				o.updateBoard(k)
			}
		}
	}
	o.decideSoon()
	o.simulation.after(tickInterval, o.tick)
}

// updateLoad returns what the pool needs, as far as its last owner knew until it is taken over.
func (o *owner) updateLoad(arriving int) place.Load {
	if o.started && !o.ended {
		o.board.SetGrowth(arriving, o.simulation.now)
		o.load = o.board.Load(o.simulation.now)
	}
	return o.load
}

// vacate asks the board to empty a worker and returns the number of attempts left, at least 1
// while that is not known.
func (o *owner) vacate(at *worker) int {
	if _, unseen := o.unseen[at.key]; unseen || o.ended || !o.started {
		return 1
	}
	k := o.workers[at.key]
	if k == nil {
		return 0
	}
	k.vacate = true
	o.vacated[at.key] = o.simulation.now.Add(vacateTimeout)
	o.updateBoard(k)
	return len(o.board.Attempts(at.key))
}

func (o *owner) decideSoon() {
	if o.deciding || o.ended {
		return
	}
	o.deciding = true
	o.simulation.after(decideDelay, func() {
		o.deciding = false
		if o.ended {
			return
		}
		if !o.started {
			o.commitSoon()
			return
		}
		orders := o.board.Decide(o.simulation.now)
		for _, s := range orders.Stops {
			o.stop(s)
		}
		for _, s := range orders.Starts {
			o.start(s)
		}
		for _, q := range orders.Advice {
			o.askAdvice(q)
		}
		o.commitSoon()
	})
}

// start sends an order to start an attempt.
func (o *owner) start(s place.StartOrder) {
	w, hop := o.simulation, o.simulation.scenario.Fleet.Hop
	k := o.workers[s.Worker]
	lost := w.random.Float64() < w.scenario.Fleet.Unanswered
	if k == nil || k.unreachable || k.terminated || lost {
		w.after(orderTimeout, func() {
			o.board.StartUnanswered(s.Worker, s.Task, s.Attempt)
			if o.ended {
				return
			}
			if !lost {
				o.recordNoAnswer(s.Worker)
			}
			o.decideSoon()
		})
		return
	}
	at, c := k.worker, w.calls[s.Task.Job]
	w.after(hop, func() {
		ticket := c.acceptsTicket(s.Ticket, w.now)
		started := !at.terminated && ticket && w.start(at, c.run(s))
		w.after(hop, func() {
			if o.ended {
				return
			}
			switch {
			case started:
				o.recordStart(c)
				o.board.Started(s.Worker, s.Task, s.Attempt, w.now)
			case !ticket:
				o.board.TicketRejected(s.Worker, s.Task, s.Attempt, w.now)
			default:
				o.board.Refused(s.Worker, s.Task, s.Attempt, w.now)
			}
			o.decideSoon()
		})
	})
}

// stop sends an order to stop an attempt.
func (o *owner) stop(s place.StopOrder) {
	w, hop := o.simulation, o.simulation.scenario.Fleet.Hop
	k := o.workers[s.Worker]
	if k == nil {
		return
	}
	if k.unreachable || k.terminated {
		w.after(orderTimeout, func() {
			if o.ended {
				return
			}
			o.board.StopFailed(s.Worker, s.Task, s.Attempt)
			o.decideSoon()
		})
		return
	}
	at := k.worker
	w.after(hop, func() {
		if r := at.running[s.Task]; r != nil && r.number == s.Attempt {
			w.after(stopTime, func() { w.end(at, r, jobs.Stopped) })
		}
		w.after(hop, func() {
			if o.ended {
				return
			}
			o.board.StopAnswered(s.Worker, s.Task, s.Attempt, w.now)
			w.after(stopTime+hop, func() { o.deliverLists(at) })
		})
	})
}

// commitSoon commits submissions and changed jobs, one transaction at a time.
func (o *owner) commitSoon() {
	ids, _ := o.board.Dirty()
	if o.ended || o.committing || len(ids) == 0 && len(o.queue) == 0 {
		return
	}
	o.committing = true
	if o.simulation.storeDown() {
		o.refuseQueued()
		o.simulation.after(storeRetry, func() {
			o.committing = false
			o.commitSoon()
		})
		return
	}
	queue := o.queue
	o.queue = nil
	states := map[jobs.ID]jobs.State{}
	for _, id := range ids {
		_, state, err := o.board.EncodeProgress(id)
		if err != nil {
			panic(err) // jobs of the model can always be encoded
		}
		states[id] = state
	}
	o.simulation.after(o.simulation.scenario.Fleet.Commit, func() {
		if o.ended {
			for _, c := range queue {
				c.refused(o.simulation, claimTime)
			}
			return
		}
		for _, c := range queue {
			c.accepted, c.acceptedBy = true, o.token
			o.calls = append(o.calls, c)
			if c.job.LongRunning() {
				o.lasting = append(o.lasting, c)
			}
			o.board.Add(c.job, jobs.NewProgress(c.job), o.simulation.now)
			if c.cancelled {
				o.board.Cancel(c.job.ID, o.simulation.now)
			}
		}
		for id, state := range states {
			o.board.Written(id, state)
			if state.Final() {
				o.simulation.calls[id].ended(o.simulation, state)
			}
		}
		if len(queue) > 0 {
			o.decideSoon()
		}
		o.simulation.after(max(0, commitGap-o.simulation.scenario.Fleet.Commit), func() {
			o.committing = false
			o.commitSoon()
		})
	})
}

func (o *owner) refuseQueued() {
	for _, c := range o.queue {
		c.refused(o.simulation, time.Second)
	}
	o.queue = nil
}

// sampleLasting counts the lasting tasks that run at full progress.
func (o *owner) sampleLasting(d time.Duration) {
	at := map[jobs.ID]int{}
	for _, k := range o.workers {
		for t, r := range k.running {
			if r.lasting && r.percent(o.simulation.now) == 100 && !k.terminated {
				at[t.Job]++
			}
		}
	}
	for _, c := range o.lasting {
		c.sample(at[c.job.ID], d)
	}
}
