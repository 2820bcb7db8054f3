package place

import (
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Admission: a job is refused only if it is known to be worth nothing to its
// caller by the time it could end.
const (
	hopelessMargin = 3                // the pool may grow meanwhile: the estimated wait must be longer than the patience by this factor
	minRetry       = time.Second      // shortest time until a refused caller should come back
	maxRetry       = 10 * time.Second // longest
)

// Hopeless reports whether a job can't end while it is worth something, because
// of what waits already, and when its caller should come back. It is not while
// workers that may run it have room.
func (b *Board) Hopeless(j jobs.Job, now time.Time) (bool, time.Duration) {
	if j.Lasting() || j.Repetitions > 0 {
		return false, 0
	}
	room, size := b.room(j)
	if room || size == 0 {
		return false, 0
	}
	wait := time.Duration(b.backlog(now) / float64(size) * float64(time.Second))
	factor := b.learnt.of(j.Queue)
	chain := time.Duration(factor * float64(slices.Max(j.Chain())))
	patience := lateFactor*j.Objective(0, chain).Sub(j.Submitted) - chain
	if float64(wait) < hopelessMargin*float64(patience) {
		return false, 0
	}
	return true, min(max(wait-patience, minRetry), maxRetry)
}

// room reports whether a worker has room for a task of the job's first step, and
// how many millicores batch tasks can use on the pool's workers.
func (b *Board) room(j jobs.Job) (bool, int) {
	size := 0
	for _, w := range b.workers {
		if !w.open() {
			continue
		}
		size += w.Size.Millicores
		for _, a := range w.attempts {
			if a.step.Lasting {
				size -= a.step.Claim().Millicores
			}
		}
		if j.Steps[0].Claim().Fits(w.free()) && w.hasLabel(j.Steps[0].Label) {
			return true, size
		}
	}
	return false, size
}

// backlog returns the work of the jobs that go before a new one, in millicore
// seconds: all that are still worth something.
func (b *Board) backlog(now time.Time) float64 {
	work := 0.0
	for _, e := range b.jobs {
		if e.progress.Final != "" || e.job.Lasting() || e.job.Repetitions > 0 {
			continue
		}
		factor := b.learnt.of(e.job.Queue)
		longest := time.Duration(factor * float64(slices.Max(e.chain)))
		due := e.job.Due(0)
		if now.After(due.Add(lateFactor * e.job.Objective(0, longest).Sub(due))) {
			continue
		}
		for i := range e.job.Steps {
			work += factor * e.work(i, e.progress.Left(0, i))
		}
	}
	return work
}
