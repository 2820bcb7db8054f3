package model

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Times of an owner, as package pool has them.
const (
	lapseTime   = 4270 * time.Millisecond // a lease on the slowest clock, and a margin
	orderTime   = 300 * time.Millisecond  // for the answer to an order
	busyWait    = time.Second             // between lists of a worker that ends nothing
	answerTime  = 700 * time.Millisecond  // beyond it, for the answer
	commitGap   = 20 * time.Millisecond
	ackTime     = 30 * time.Millisecond // until listed ends are durable, and the next list comes
	decideDelay = time.Millisecond      // what happens meanwhile is decided on together
	tickTime    = 50 * time.Millisecond
	vacateTime  = 2 * time.Second
	storeRetry  = 500 * time.Millisecond
)

// owner runs a pool: it makes jobs durable, gives the board's orders to workers
// and takes in their lists.
type owner struct {
	world    *world
	name     string
	board    *place.Board
	workers  map[string]*known
	queue    []*call // submissions that are not durable yet
	lasting  []*call // accepted jobs that last
	deciding bool
	commits  bool // one is on its way
	vacated  map[string]time.Time
}

// known is a worker as its owner sees it.
type known struct {
	*worker
	heard  time.Time // when its newest list was asked for
	silent bool
	vacate bool
}

func newOwner(w *world, name string) *owner {
	o := &owner{world: w, name: name, board: place.NewBoard(w.policy.Place, 0), workers: map[string]*known{}, vacated: map[string]time.Time{}}
	w.after(tickTime, o.tick)
	return o
}

// meet takes in a new worker.
func (o *owner) meet(at *worker) {
	if at.gone {
		return
	}
	k := &known{worker: at, heard: o.world.now}
	o.workers[at.key] = k
	o.tell(k)
	o.look(at.key)
	o.decideSoon()
}

func (o *owner) tell(k *known) {
	o.board.SetWorker(place.Worker{
		Key: k.key, ID: k.id, Rack: k.host.rack, Labels: []string{"a", k.host.rack}, Size: o.world.hostSize(),
		Silent: k.silent, Vacate: k.vacate,
	})
}

// look reads a worker's lists now and again.
func (o *owner) look(key string) {
	k := o.workers[key]
	if k == nil {
		return
	}
	if k.dark || k.gone {
		o.world.after(answerTime, func() { o.unheard(key) })
	} else {
		o.deliver(k.worker)
	}
	o.world.after(busyWait, func() { o.look(key) })
}

// unheard notes that a worker leaves its owner without an answer, and gives it up
// once its leases have run out.
func (o *owner) unheard(key string) {
	k := o.workers[key]
	if k == nil || !k.dark && !k.gone {
		return
	}
	if !k.silent {
		k.silent = true
		o.tell(k)
	}
	if o.world.now.Sub(k.heard) > lapseTime {
		o.board.RemoveWorker(key, o.world.now)
		delete(o.workers, key)
		o.decideSoon()
	}
}

// retire forgets a worker that ended on an order for its host.
func (o *owner) retire(at *worker) {
	if o.workers[at.key] != nil {
		o.board.RemoveWorker(at.key, o.world.now)
		delete(o.workers, at.key)
		o.decideSoon()
	}
}

// deliver brings a worker's lists to the owner, unless they are on their way. The
// next ones come after the ends of these are durable.
func (o *owner) deliver(at *worker) {
	if at.delivering || at.dark || at.gone {
		return
	}
	at.delivering = true
	o.world.at(at.delivered.Add(ackTime), func() {
		asked := o.world.now
		ended := at.ended
		at.ended = nil
		running := at.list(o.world.now)
		o.world.after(o.world.scenario.Fleet.Hop, func() {
			at.delivering, at.delivered = false, o.world.now
			o.listed(at, running, ended, asked)
			if len(at.ended) > 0 {
				o.deliver(at)
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

func (o *owner) listed(at *worker, running []place.Running, ended []place.Ended, asked time.Time) {
	k := o.workers[at.key]
	if k == nil || at.gone || at.dark {
		return
	}
	k.heard = asked
	for _, stray := range o.board.Listed(at.key, running, ended, asked, o.world.now) {
		o.stop(stray)
	}
	o.decideSoon()
}

// tick does what time alone brings about.
func (o *owner) tick() {
	for key, until := range o.vacated {
		if o.world.now.After(until) {
			delete(o.vacated, key)
			if k := o.workers[key]; k != nil {
				k.vacate = false
				o.tell(k)
			}
		}
	}
	o.decideSoon()
	o.world.after(tickTime, o.tick)
}

// vacate asks for a worker to become empty and returns what is still there.
func (o *owner) vacate(at *worker) int {
	k := o.workers[at.key]
	if k == nil {
		return 0
	}
	k.vacate = true
	o.vacated[at.key] = o.world.now.Add(vacateTime)
	o.tell(k)
	return len(o.board.Attempts(at.key))
}

func (o *owner) decideSoon() {
	if o.deciding {
		return
	}
	o.deciding = true
	o.world.after(decideDelay, func() {
		o.deciding = false
		orders := o.board.Decide(o.world.now)
		for _, s := range orders.Stops {
			o.stop(s)
		}
		for _, s := range orders.Starts {
			o.start(s)
		}
		o.commitSoon()
	})
}

// start sends an order to start an attempt.
func (o *owner) start(s place.StartOrder) {
	w, hop := o.world, o.world.scenario.Fleet.Hop
	k := o.workers[s.Worker]
	lost := w.dice.Float64() < w.scenario.Fleet.Unanswered
	if k == nil || k.dark || k.gone || lost {
		w.after(orderTime, func() {
			o.board.StartUnanswered(s.Worker, s.Task, s.Attempt)
			if !lost {
				o.unheard(s.Worker)
			}
			o.decideSoon()
		})
		return
	}
	at, c := k.worker, w.calls[s.Task.Job]
	w.after(hop, func() {
		started := !at.gone && w.start(at, c.run(s))
		w.after(hop, func() {
			if started {
				o.board.Started(s.Worker, s.Task, s.Attempt, w.now)
			} else {
				o.board.Refused(s.Worker, s.Task, s.Attempt, w.now)
			}
			o.decideSoon()
		})
	})
}

// stop sends an order to stop an attempt.
func (o *owner) stop(s place.StopOrder) {
	w, hop := o.world, o.world.scenario.Fleet.Hop
	k := o.workers[s.Worker]
	if k == nil {
		return
	}
	if k.dark || k.gone {
		w.after(orderTime, func() {
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
			o.board.StopAnswered(s.Worker, s.Task, s.Attempt, w.now)
			w.after(stopTime+hop, func() { o.deliver(at) })
		})
	})
}

// commitSoon makes durable what is not: one transaction at a time.
func (o *owner) commitSoon() {
	ids, _ := o.board.Dirty()
	if o.commits || len(ids) == 0 && len(o.queue) == 0 {
		return
	}
	o.commits = true
	if o.world.storeDown() {
		o.refuseQueued()
		o.world.after(storeRetry, func() {
			o.commits = false
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
			panic(err) // the model's own jobs can be stored
		}
		states[id] = state
	}
	o.world.after(o.world.scenario.Fleet.Commit, func() {
		for _, c := range queue {
			c.accepted = true
			if c.job.LongRunning() {
				o.lasting = append(o.lasting, c)
			}
			o.board.Add(c.job, jobs.NewProgress(c.job), o.world.now)
			if c.cancelled {
				o.board.Cancel(c.job.ID, o.world.now)
			}
		}
		for id, state := range states {
			o.board.Written(id, state)
			if state.Final() {
				o.world.calls[id].ended(o.world, state)
			}
		}
		if len(queue) > 0 {
			o.decideSoon()
		}
		o.world.after(max(0, commitGap-o.world.scenario.Fleet.Commit), func() {
			o.commits = false
			o.commitSoon()
		})
	})
}

func (o *owner) refuseQueued() {
	for _, c := range o.queue {
		c.refused(o.world, time.Second)
	}
	o.queue = nil
}

// sampleLasting counts which lasting tasks are at work.
func (o *owner) sampleLasting(d time.Duration) {
	at := map[jobs.ID]int{}
	for _, k := range o.workers {
		for t, r := range k.running {
			if r.lasting && r.percent(o.world.now) == 100 && !k.gone {
				at[t.Job]++
			}
		}
	}
	for _, c := range o.lasting {
		c.sample(at[c.job.ID], d)
	}
}
