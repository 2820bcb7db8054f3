package place

import (
	"cmp"
	"slices"
	"time"
)

// Speculative execution starts a second copy of a task, where its step allows this,
// if the first attempt is unconfirmed, slow or on a silent worker. Otherwise such a
// task waits until a stop has been acknowledged or the leases of the worker have
// expired.
const (
	maxParallelAttempts = 2                      // of one task
	stragglerFactor     = 3                      // a task is a straggler after this multiple of its expected run time
	silentGrace         = 400 * time.Millisecond // longer than it takes to hear again from a worker that missed one call
)

// speculate queues a second copy of each task that needs one.
func (b *Board) speculate(now time.Time) {
	b.beginPass(passCopies)
	b.trackSilence(now)
	var toCopy []*Attempt
	weigh := func(a *Attempt) {
		b.examined++
		if b.lookAt(a.entry, a.stepKey(), now) && b.needsCopy(a, now) {
			toCopy = append(toCopy, a)
		}
	}
	for a := range b.pending.unanswered {
		if a.Phase != Unconfirmed {
			delete(b.pending.unanswered, a)
			continue
		}
		weigh(a)
	}
	for _, w := range b.pending.silent {
		for _, a := range w.attempts {
			weigh(a)
		}
	}
	for queue, q := range b.pending.slow {
		b.examined += uint64(q.refresh(b.estimates.factor(queue), now))
		for a := range q.overdue {
			weigh(a)
		}
	}
	slices.SortFunc(toCopy, func(x, y *Attempt) int {
		return cmp.Or(x.Task.Compare(y.Task), cmp.Compare(x.Number, y.Number))
	})
	for _, a := range toCopy {
		b.lookAt(a.entry, a.stepKey(), now)
		if a.copyable {
			b.pending.noLongerCopyable(a)
			b.enqueue(b.jobs[a.Task.Job], a.Task)
		}
	}
}

// trackSilence records since when workers have not answered.
func (b *Board) trackSilence(now time.Time) {
	for key, w := range b.pending.silent {
		b.examined++
		if !w.Silent {
			w.silentSince = time.Time{}
			delete(b.pending.silent, key)
		} else if w.silentSince.IsZero() {
			w.silentSince = now
		}
	}
}

// needsCopy reports whether a copy of an attempt's task is due.
func (b *Board) needsCopy(a *Attempt, now time.Time) bool {
	if !a.copyable {
		return false
	}
	lost := a.worker.Silent && now.Sub(a.worker.silentSince) >= silentGrace
	if !lost && a.Phase != Unconfirmed && !a.mayStraggle(now) {
		return false
	}
	e := b.jobs[a.Task.Job]
	if e == nil || e.progress.Final != "" || e.progress.Done(a.Task) || len(e.attempts[a.Task]) >= maxParallelAttempts ||
		len(b.promptCrashes(a.Task)) >= crashesAlone { // the crashes are about to be proved
		return false
	}
	return lost || a.Phase == Unconfirmed || b.isStraggler(e, a, now)
}

// mayStraggle reports whether an attempt can be a straggler, however short its queue's run
// times are in fact.
func (a *Attempt) mayStraggle(now time.Time) bool {
	return a.Phase == Live && !a.ConfirmedAt.IsZero() && a.step.Estimate > 0 &&
		now.Sub(a.ConfirmedAt) > a.step.Estimate*stragglerFactor/maxEstimateFactor
}

// isStraggler reports whether an attempt runs far longer than expected. It is false
// while other tasks of the step wait, so that copies use only idle capacity.
func (b *Board) isStraggler(e *jobEntry, a *Attempt, now time.Time) bool {
	if !a.mayStraggle(now) || float64(a.Percent) >= 100/stragglerFactor*2 {
		return false
	}
	expected := b.estimates.factor(e.job.Queue) * float64(a.step.Estimate)
	return float64(now.Sub(a.ConfirmedAt)) > stragglerFactor*expected && e.waiting[a.stepKey()].len() == 0
}
