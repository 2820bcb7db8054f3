package place

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Admission control refuses a job only if it can't finish before its result is
// worthless to the caller.
const (
	admissionMargin = 3           // the estimated wait must exceed the acceptable wait by this factor, because the pool may grow meanwhile
	minRetryAfter   = time.Second // bounds of the retry delay given to a refused caller
	maxRetryAfter   = 10 * time.Second
)

// admissionRefresh is how long the sums of an [admissionEstimate] are used. They go through
// all jobs and workers of a pool, and in a turn hundreds of jobs arrive in a second.
const admissionRefresh = 50 * time.Millisecond

// admissionEstimate is what a new job has to wait for.
type admissionEstimate struct {
	at         time.Time
	work       float64 // of the jobs ahead, in millicore seconds
	millicores int     // available to batch tasks, now or soon
	// heldUp is the work of organisations that their allotments keep behind new jobs of others.
	heldUp map[string]float64
}

// growthValidity is how long [Board.SetGrowth] holds: some periods in which the holder of
// the fleet asks for loads, and longer than a change of holder takes.
const growthValidity = 3 * time.Second

// SetGrowth sets the capacity of the hosts that are on their way to the pool, in
// millicores.
func (b *Board) SetGrowth(millicores int, now time.Time) {
	b.recordStep(Step{Kind: StepGrowth, Limit: millicores, At: now})
	b.growth, b.growthUntil = millicores, now.Add(growthValidity)
}

// maxBacklog is the longest estimated wait. A longer one might overflow as a duration.
const maxBacklog = 100 * 365 * 24 * time.Hour

// CannotFinishInTime reports whether the backlog keeps a job from finishing before it
// expires, and after how long its caller should retry. It is always false for a
// job that a worker has free capacity for.
func (b *Board) CannotFinishInTime(j jobs.Job, now time.Time) (bool, time.Duration) {
	if j.LongRunning() || j.Repetitions > 0 || b.hasRoomFor(&j.Steps[0]) {
		return false, 0
	}
	if now.Sub(b.admission.at) >= admissionRefresh || now.Before(b.admission.at) {
		b.admission = b.estimateAdmission(now)
	}
	if b.admission.millicores == 0 {
		return false, 0
	}
	if b.ExceedsRate(j.Organisation, now) {
		if b.Overloaded(now) {
			return true, spread(j.ID, minRetryAfter)
		}
	} else if b.belowShare(j.Organisation) {
		return false, 0 // the backlog is of others, and it comes before them
	}
	wait := time.Duration(min((b.admission.work+b.admission.heldUp[j.Organisation])/float64(b.admission.millicores), maxBacklog.Seconds()) * float64(time.Second))
	factor := b.estimates.factor(j.Queue)
	criticalPath := time.Duration(factor * float64(slices.Max(j.CriticalPaths())))
	maxWait := expiryFactor*j.Objective(0, criticalPath).Sub(j.Submitted) - criticalPath
	if float64(wait) < admissionMargin*float64(maxWait) {
		return false, 0
	}
	retry := min(max(wait-maxWait, minRetryAfter), maxRetryAfter)
	if b.shedding {
		retry = spread(j.ID, min(retry, maxRetryAfter*2/3))
	}
	return true, retry
}

// spread returns up to half more than a delay, by a job's id: callers that are refused at the same
// time come back one after the other.
func spread(id jobs.ID, delay time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	return delay + time.Duration(float64(delay)/2*float64(h.Sum32())/math.MaxUint32)
}

// hasRoomFor reports whether a worker has free capacity for a task of a step.
func (b *Board) hasRoomFor(s *jobs.Step) bool {
	claim := s.Claim()
	for _, index := range []*roomIndex{&b.pending.room, &b.pending.reserved} {
		for _, w := range index.atLeast(claim.Millicores) {
			if claim.Fits(w.free()) && w.hasLabel(s.Label) {
				return true
			}
		}
	}
	return false
}

// batchCapacity returns the millicores that are available to batch tasks, on the workers of
// the pool and on hosts that are on their way to it: a pool whose load has just risen
// has few of the hosts on which its jobs will run.
func (b *Board) batchCapacity(now time.Time) int {
	millicores := 0
	if now.Before(b.growthUntil) {
		millicores = b.growth
	}
	for _, w := range b.workers {
		if w.acceptsTasks() {
			millicores += w.Size.Sub(w.lastingClaims()).Millicores
		}
	}
	return millicores
}

// heldUpRounds is how often the wait is estimated anew, each time with less work ahead.
const heldUpRounds = 8

// estimateAdmission returns what a new job has to wait for. While it waits, the tasks of an
// organisation take no more room than its allotment covers.
func (b *Board) estimateAdmission(now time.Time) admissionEstimate {
	a := admissionEstimate{at: now, millicores: b.batchCapacity(now)}
	works := b.backlog(now)
	total, unlimited := 0.0, 0.0
	for o, work := range works {
		total += work
		if o.allotment.Millicores == jobs.Unlimited {
			unlimited += work
		}
	}
	a.work = total
	if unlimited == total || a.millicores == 0 {
		return a
	}
	ahead := func(o *organisation, work float64) float64 {
		return min(work, float64(o.allotment.Millicores)*a.work/float64(a.millicores))
	}
	for range heldUpRounds {
		next := unlimited
		for o, work := range works {
			if o.allotment.Millicores != jobs.Unlimited {
				next += ahead(o, work)
			}
		}
		a.work = next
	}
	a.heldUp = map[string]float64{}
	for name, o := range b.organisations {
		if o.allotment.Millicores != jobs.Unlimited {
			a.heldUp[name] = works[o] - ahead(o, works[o])
		}
	}
	return a
}

// backlog returns the remaining work of the jobs ahead of a new one by organisation, in millicore
// seconds. Expired jobs don't count: they run last.
func (b *Board) backlog(now time.Time) map[*organisation]float64 {
	works := map[*organisation]float64{}
	for _, e := range b.pending.unfinished {
		if e.job.LongRunning() || e.job.Repetitions > 0 || b.shedding && e.standing.excess {
			continue
		}
		factor := b.estimates.factor(e.job.Queue)
		criticalPath := time.Duration(factor * float64(e.longestPath))
		due := e.job.Due(0)
		if now.After(due.Add(expiryFactor * e.job.Objective(0, criticalPath).Sub(due))) {
			continue
		}
		o := b.organisationOf(e)
		for i := range e.job.Steps {
			works[o] += float64(factor * e.estimatedWork(i, e.progress.Left(0, i)))
		}
	}
	return works
}
