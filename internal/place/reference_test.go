package place

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Reference repeats the steps of a board on one whose pending work is collected by a scan
// of everything before each decision.
type Reference struct {
	board  *Board
	copied map[*Attempt]bool // attempts of which a copy was queued
}

// NewReference returns a reference for a new board with the same arguments.
func NewReference(policy Policy, base int) *Reference {
	return &Reference{board: NewBoard(policy, base), copied: map[*Attempt]bool{}}
}

// Repeat repeats a recorded step. It returns an error if the orders differ from the
// recorded ones.
func (r *Reference) Repeat(s Step) error {
	if s.Kind == StepDecide {
		r.scan()
	}
	before := r.copyable()
	orders, unexpected, err := r.board.Replay(s)
	if err != nil {
		return err
	}
	if s.Kind == StepDecide {
		r.markCopied(before)
	}
	if !reflect.DeepEqual(orders, s.Orders) || !reflect.DeepEqual(unexpected, s.UnexpectedStops) {
		return fmt.Errorf("%s: orders %+v %+v, those after a scan %+v %+v", s.Kind, s.Orders, s.UnexpectedStops, orders, unexpected)
	}
	return nil
}

// scan collects the pending work from jobs, workers and attempts.
func (r *Reference) scan() {
	b := r.board
	p := newPendingWork()
	for id, e := range b.jobs {
		if e.progress.Final != "" {
			continue
		}
		p.unfinished[id], p.changedJobs[id] = e, e
		e.lasting = map[stepKey]*lastingStep{}
		for key, q := range e.waiting {
			if q.len() == 0 {
				e.dropQueue(key)
				continue
			}
			p.steps = append(p.steps, candidate{entry: e, key: key})
		}
	}
	for key, w := range b.workers {
		if w.Vacate {
			p.vacated[key] = w
		}
		p.stops[key], p.listed[key], p.silent[key], p.paced[key], p.failing[key] = w, w, w, w, w
		p.countWorker(w, 1)
		if w.acceptsTasks() {
			p.roomOf(w).insert(w)
		}
		for _, a := range w.attempts {
			a.copyable, a.slow = a.step.Speculative && !a.step.LongRunning && !a.step.Gang && !r.copied[a], nil
			if !a.copyable {
				continue
			}
			if a.Phase == Unconfirmed {
				p.unanswered[a] = struct{}{}
			}
			if !a.ConfirmedAt.IsZero() {
				queue := b.jobs[a.Task.Job].job.Queue
				if p.slow[queue] == nil {
					p.slow[queue] = newSlowIndex(b.estimates.factor(queue))
				}
				a.slow = p.slow[queue]
				a.slow.overdue[a] = struct{}{}
			}
		}
	}
	b.pending = p
	for _, w := range b.workers {
		for _, a := range w.attempts {
			b.lastingChanged(a)
		}
	}
}

// copyable returns the attempts of which a copy may be started.
func (r *Reference) copyable() []*Attempt {
	var attempts []*Attempt
	for _, w := range r.board.workers {
		for _, a := range w.attempts {
			if a.copyable {
				attempts = append(attempts, a)
			}
		}
	}
	return attempts
}

// markCopied records the attempts that were copyable before a decision and are not any more.
func (r *Reference) markCopied(before []*Attempt) {
	for _, a := range before {
		if !a.copyable {
			r.copied[a] = true
		}
	}
}

// CheckQueued returns an error if a task whose turn has come has no attempt, does not wait
// and has no backoff.
func (b *Board) CheckQueued() error {
	for id, e := range b.jobs {
		if e.progress.Final != "" {
			continue
		}
		for step := range e.enqueuedSteps {
			s := &e.job.Steps[step.step]
			for index := range s.Count {
				t := jobs.Task{Job: id, Occurrence: step.occurrence, Step: step.step, Index: index}
				waits := slices.Contains(slices.Collect(e.waiting[step].all()), index)
				if !waits && !e.progress.Done(t) && len(e.attempts[t]) == 0 && e.backoffs[t].delay == 0 && !(s.Gang && e.hasAttempts(step)) {
					return fmt.Errorf("%s is not queued", t)
				}
			}
		}
	}
	return nil
}
