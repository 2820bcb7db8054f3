package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Wait is how long the tasks of a step of batch tasks waited from when they were ready until
// they were ordered to start.
type Wait struct {
	Large bool // a task needs more than ReserveShare of the largest worker
	Wide  bool // the step needs more than wideShare of the pool
	Tasks int
	First time.Duration // until the first start
	Last  time.Duration // until all tasks had been started once
}

// wideShare is the share of a pool's resources from which on a step counts as wide.
const wideShare = 0.05

// stepWait is a [Wait] that is not over.
type stepWait struct {
	Wait
	readyAt time.Time
	started indexSet // tasks that were started, nil before the first
	left    int      // the number of the others
}

// beginWait records that the tasks of a step became ready. The readiness of inherited jobs is
// not known.
func (b *Board) beginWait(e *jobEntry, key stepKey, now time.Time) {
	step := &e.job.Steps[key.step]
	if b.Waited == nil || e.inherited || step.LongRunning {
		return
	}
	size, claim := b.pending.totalMillicores(), step.Claim()
	w := &stepWait{
		Wait:    Wait{Large: b.isLarge(claim), Wide: float64(step.Count*claim.Millicores) > wideShare*float64(size), Tasks: step.Count},
		readyAt: now, left: step.Count,
	}
	if e.waits == nil {
		e.waits = map[stepKey]*stepWait{}
	}
	e.waits[key] = w
}

// noteStarts records the starts of a decision.
func (b *Board) noteStarts(starts []StartOrder, now time.Time) {
	if b.Waited == nil {
		return
	}
	for _, s := range starts {
		e, key := b.jobs[s.Task.Job], stepKey{s.Task.Occurrence, s.Task.Step}
		w := e.waits[key]
		if w == nil {
			continue
		}
		if w.started == nil {
			w.started = newIndexSet(w.Tasks)
			w.First = now.Sub(w.readyAt)
		}
		if w.started.has(s.Task.Index) {
			continue
		}
		w.started.add(s.Task.Index)
		if w.left--; w.left == 0 {
			w.Last = now.Sub(w.readyAt)
			delete(e.waits, key)
			b.Waited(w.Wait)
		}
	}
}

// isLarge reports whether a claim is more than ReserveShare of the largest worker.
func (b *Board) isLarge(claim jobs.Resources) bool {
	return float64(claim.Millicores) > b.policy.ReserveShare*float64(b.pending.largestWorkerMillicores())
}

// totalMillicores returns the millicores of all workers.
func (p *pendingWork) totalMillicores() int {
	total := 0
	for size, workers := range p.sizes {
		total += size * workers
	}
	return total
}
