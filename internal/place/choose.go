package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// candidate is a step of a job with tasks that wait.
type candidate struct {
	entry *entry
	key   stepKey
	class int // lasting first, then jobs that can make their objective, then late ones
	start time.Time
}

// candidates returns all steps with waiting tasks in the order in which they are
// placed: by class, then by priority, then by the latest start that still makes
// the job's objective.
func (b *Board) candidates(now time.Time) []candidate {
	var all []candidate
	for _, e := range b.jobs {
		if e.progress.Final != "" {
			continue
		}
		factor := b.learnt.of(e.job.Queue)
		for key, tasks := range e.waiting {
			if len(tasks) == 0 {
				continue
			}
			all = append(all, b.candidate(e, key, factor, now))
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(x.class, y.class),
			cmp.Compare(x.entry.job.Priority, y.entry.job.Priority),
			x.start.Compare(y.start),
			strings.Compare(string(x.entry.job.ID), string(y.entry.job.ID)),
			cmp.Compare(x.key.occurrence, y.key.occurrence),
			cmp.Compare(x.key.step, y.key.step),
		)
	})
	return all
}

// lateFactor is how many times its objective a job may take and still be worth
// something to its caller.
const lateFactor = 3

func (b *Board) candidate(e *entry, key stepKey, factor float64, now time.Time) candidate {
	step := &e.job.Steps[key.step]
	longest := slices.Max(e.chain)
	scaled := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	c := candidate{entry: e, key: key, class: classTimely}
	c.start = e.job.Objective(key.occurrence, scaled(longest)).Add(-scaled(e.chain[key.step]))
	switch {
	case step.Lasting && step.Fills:
		c.class = classFills
	case step.Lasting:
		c.class = classLasting
	case c.start.Before(now):
		due := e.job.Due(key.occurrence)
		end := due.Add(lateFactor * e.job.Objective(key.occurrence, scaled(longest)).Sub(due))
		c.class, c.start = classLate, end.Add(-scaled(e.chain[key.step]))
		if c.start.Before(now) {
			c.class = classExpired
		}
	}
	return c
}

// eligible reports whether a worker may run a task of a step, whatever room it has.
func (b *Board) eligible(e *entry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	if !w.open() || now.Before(w.pausedUntil) || !w.hasLabel(step.Label) || w.attempts[t] != nil || w.health.setAside(b.policy, now) && b.enoughOthers(now) {
		return false
	}
	if step.MaxPerWorker > 0 && b.onWorker(w, t) >= step.MaxPerWorker {
		return false
	}
	if b.advised[e.job.Queue] {
		advice := e.advice[stepKey{t.Occurrence, t.Step}]
		return advice != nil && advice.tickets[w.ID] != ""
	}
	return true
}

// enoughOthers reports whether no more than the allowed share of the workers is
// set aside; otherwise it is no longer the workers that are at fault.
func (b *Board) enoughOthers(now time.Time) bool {
	aside := 0
	for _, w := range b.workers {
		if w.health.setAside(b.policy, now) {
			aside++
		}
	}
	return float64(aside) <= b.policy.MaxSetAside*float64(len(b.workers))
}

// onWorker counts the attempts of a task's step on a worker.
func (b *Board) onWorker(w *worker, t jobs.Task) int {
	n := 0
	for o := range w.attempts {
		if o.Job == t.Job && o.Occurrence == t.Occurrence && o.Step == t.Step {
			n++
		}
	}
	return n
}

// choose returns the best worker for a task, nil if it fits nowhere.
func (b *Board) choose(e *entry, step *jobs.Step, t jobs.Task, now time.Time) *worker {
	claim := step.Claim()
	var best *worker
	var bestCost int64
	for _, w := range b.workers {
		if w.reserved && !(step.Lasting && !step.Fills) || !claim.Fits(w.free()) || !b.eligible(e, step, t, w, now) {
			continue
		}
		if !step.Lasting && w.health.doubtful(b.policy, now) && (w.batch() > 0 || e.progress.Failures(t) > 0 && now.Sub(w.health.last) < b.policy.SickTime) {
			continue // one task at a time, and for a while none that failed before
		}
		cost := b.cost(e, step, t, w)
		if best == nil || cost < bestCost || cost == bestCost && w.Key < best.Key {
			best, bestCost = w, cost
		}
	}
	return best
}

// cost weighs a worker for a task: least is best. Batch tasks pack tightly,
// lasting tasks spread over workers and racks.
func (b *Board) cost(e *entry, step *jobs.Step, t jobs.Task, w *worker) int64 {
	var cost int64
	if step.Rack != "" && w.Rack != step.Rack || step.RackLocal && b.otherRack(e, t, w.Rack) {
		cost += costOtherRack
	}
	if !step.Lasting {
		return cost + int64(w.free().Millicores)
	}
	cost += int64(b.onWorker(w, t)) * costSameStep
	for _, attempts := range e.attempts {
		for _, a := range attempts {
			if o := b.workers[a.Worker]; a.Task.Step == t.Step && o != nil && o.Rack == w.Rack {
				cost += costSameRack
			}
		}
	}
	for _, a := range w.attempts {
		if step.Fills && a.step.Target > 0 || step.Target > 0 && a.step.Fills {
			cost += costServing
		}
	}
	if len(w.attempts) > 0 {
		cost -= costSameRack / 2 // hosts without work can be given away
	}
	return cost - int64(w.free().Millicores)
}

// otherRack reports whether tasks of a step run on another rack already.
func (b *Board) otherRack(e *entry, t jobs.Task, rack string) bool {
	for _, attempts := range e.attempts {
		for _, a := range attempts {
			if w := b.workers[a.Worker]; a.Task.Step == t.Step && a.Task.Occurrence == t.Occurrence && w != nil && w.Rack != rack {
				return true
			}
		}
	}
	return false
}
