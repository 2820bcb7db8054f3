package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
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
	var toCopy []*Attempt
	for _, w := range b.workers {
		if !w.Silent {
			w.silentSince = time.Time{}
		} else if w.silentSince.IsZero() {
			w.silentSince = now
		}
		lost := w.Silent && now.Sub(w.silentSince) >= silentGrace
		b.examined++
		for t, a := range w.attempts {
			b.examined++
			if !a.step.Speculative || a.hasCopy || a.step.LongRunning || a.step.Gang {
				continue
			}
			e := b.jobs[t.Job]
			if e == nil || e.progress.Final != "" || e.progress.Done(t) || len(e.attempts[t]) >= maxParallelAttempts {
				continue
			}
			if lost || a.Phase == Unconfirmed || b.isStraggler(e, a, now) {
				toCopy = append(toCopy, a)
			}
		}
	}
	slices.SortFunc(toCopy, func(x, y *Attempt) int {
		return cmp.Or(strings.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.Number, y.Number))
	})
	for _, a := range toCopy {
		a.hasCopy = true
		b.jobs[a.Task.Job].enqueue(a.Task)
	}
}

// isStraggler reports whether an attempt runs far longer than expected. It is false
// while other tasks of the step wait, so that copies use only idle capacity.
func (b *Board) isStraggler(e *jobEntry, a *Attempt, now time.Time) bool {
	if a.Phase != Live || a.ConfirmedAt.IsZero() || a.step.Estimate == 0 || len(e.waiting[stepKey{a.Task.Occurrence, a.Task.Step}]) > 0 {
		return false
	}
	expected := b.estimates.factor(e.job.Queue) * float64(a.step.Estimate)
	return float64(now.Sub(a.ConfirmedAt)) > stragglerFactor*expected && float64(a.Percent) < 100/stragglerFactor*2
}

// enqueue adds a task to the waiting ones unless it is already there.
func (e *jobEntry) enqueue(t jobs.Task) {
	key := stepKey{t.Occurrence, t.Step}
	for _, o := range e.waiting[key] {
		if o == t {
			return
		}
	}
	e.waiting[key] = append(e.waiting[key], t)
}
