package place

import (
	"slices"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// lastingStep tells which tasks of a long-running step, in one occurrence of its job, may be
// stopped without a look at all of them.
type lastingStep struct {
	entry       *jobEntry
	key         stepKey
	step        *jobs.Step
	available   indexSet              // tasks with an available attempt
	unavailable int                   // the number of the others
	leaving     map[*Attempt]struct{} // attempts at workers that drain or are to be vacated
}

// lastingStep returns the state of a long-running step, which is new before its first
// attempt.
func (e *jobEntry) lastingStep(key stepKey) *lastingStep {
	l := e.lasting[key]
	if l == nil {
		step := &e.job.Steps[key.step]
		l = &lastingStep{entry: e, key: key, step: step, available: newIndexSet(step.Count), unavailable: step.Count, leaving: map[*Attempt]struct{}{}}
		e.lasting[key] = l
	}
	return l
}

func (l *lastingStep) setAvailable(index int, available bool) {
	switch {
	case l.available.has(index) == available:
	case available:
		l.available.add(index)
		l.unavailable--
	default:
		l.available.remove(index)
		l.unavailable++
	}
}

// permitsAll reports whether MaxUnavailable permits to stop any one task.
func (l *lastingStep) permitsAll() bool {
	return l.step.MaxUnavailable == 0 || l.unavailable < l.step.MaxUnavailable
}

// sample returns an attempt that fits elsewhere if any attempt does that may move, nil if
// there is none or each has to be tried.
func (l *lastingStep) sample() *Attempt {
	if !l.permitsAll() {
		return nil // those that may move are few
	}
	for a := range l.leaving {
		if len(l.entry.attempts[a.Task]) == 1 { // or it does not fit where the others run
			return a
		}
	}
	return nil
}

// movable returns the attempts at leaving workers that run and that MaxUnavailable permits
// to stop. If it returns none, it will return none until lastingChanged is called.
func (l *lastingStep) movable() []*Attempt {
	var attempts []*Attempt
	add := func(a *Attempt) {
		if a.Phase == Live && !a.stopRequested {
			attempts = append(attempts, a)
		}
	}
	switch {
	case l.permitsAll():
		for a := range l.leaving {
			add(a)
		}
	case l.unavailable == l.step.MaxUnavailable: // only those that are not available themselves
		for a := range l.leaving {
			if !l.available.has(a.Task.Index) {
				add(a)
			}
		}
	}
	return attempts
}

// mayStop reports whether MaxUnavailable permits stopping an attempt of a task now. The task
// counts as available even if it is not known to be: its worker's last listing may be out of
// date.
func (l *lastingStep) mayStop(t jobs.Task) bool {
	others := l.unavailable
	if !l.available.has(t.Index) {
		others--
	}
	return l.step.MaxUnavailable == 0 || others < l.step.MaxUnavailable
}

// lastingChanged records that an attempt was added or removed, or that its phase or
// availability or the state of its worker has changed. It does nothing for a batch task.
func (b *Board) lastingChanged(a *Attempt) {
	if !a.step.LongRunning {
		return
	}
	e := b.jobs[a.Task.Job]
	if e == nil {
		return
	}
	l := e.lastingStep(a.stepKey())
	l.setAvailable(a.Task.Index, slices.ContainsFunc(e.attempts[a.Task], (*Attempt).isAvailable))
	if a.worker.attempts[a.Task] == a && a.worker.isLeaving() {
		l.leaving[a] = struct{}{}
	} else {
		delete(l.leaving, a)
	}
	if len(l.leaving) > 0 {
		b.pending.moves[l] = struct{}{}
	}
}

// isAvailable reports whether the attempt of a long-running task is known to be available.
func (a *Attempt) isAvailable() bool {
	return a.Phase == Live && !a.stopRequested && !a.AvailableSince.IsZero() && !a.worker.Silent && !a.shownAt.Before(a.stoppedUntil)
}
