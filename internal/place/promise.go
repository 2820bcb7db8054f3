package place

import "github.com/papayarudder/papayarudder/internal/jobs"

// A long-running task that moves is stopped first and started once its end is listed.
// Meanwhile its room on the new worker counts as used, so that no other task takes it and
// no other move relies on it.

// promise keeps room on a worker for a task that is being stopped in order to run there.
func (b *Board) promise(e *jobEntry, t jobs.Task, w *worker) {
	b.releasePromise(e, t)
	if e.promises == nil {
		e.promises = map[jobs.Task]*worker{}
	}
	e.promises[t] = w
	e.countPromise(stepKey{t.Occurrence, t.Step}, w, 1)
	claim := e.job.Steps[t.Step].Claim()
	w.promised++
	w.promisedClaims = w.promisedClaims.Add(claim)
	b.setUsed(w, w.used.Add(claim))
}

// releasePromise gives up the room that is kept for a task, if there is any.
func (b *Board) releasePromise(e *jobEntry, t jobs.Task) {
	w := e.promises[t]
	if w == nil {
		return
	}
	delete(e.promises, t)
	e.countPromise(stepKey{t.Occurrence, t.Step}, w, -1)
	if b.workers[w.Key] != w {
		return // removed meanwhile
	}
	claim := e.job.Steps[t.Step].Claim()
	w.promised--
	w.promisedClaims = w.promisedClaims.Sub(claim)
	b.setUsed(w, w.used.Sub(claim))
}

// releaseArriving gives up the room of tasks that are about to be placed. Long-running tasks
// are placed first, and the room of one must not keep another one of its step waiting.
func (b *Board) releaseArriving() {
	for _, t := range b.arriving {
		if e := b.jobs[t.Job]; e != nil {
			b.releasePromise(e, t)
		}
	}
	b.arriving = nil
}
