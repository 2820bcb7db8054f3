package sched

import (
	"slices"
	"strings"
	"time"
)

// Parameters of worker health tracking.
const (
	failureSampleWeight     = 0.2  // weight of the newest outcome in the failure rate
	ejectFailureRate        = 0.6  // failure rate above which a worker is ejected
	minSlownessSampleWeight = 0.1  // lower bound of the newest run time's weight in the slowness
	minSlownessSamples      = 20   // run times needed before a worker can be ejected as slow
	ejectSlowness           = 4.0  // slowness above which a worker is ejected
	maxEjectedShare         = 0.34 // share of a pool's workers that may be ejected at once
	unhealthyScoreFactor    = 0.1  // applied to a failing worker that is not ejected
	probesToReadmit         = 3    // consecutive successful probes before a worker is readmitted

	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
)

// worker is a queue's state for one host. A worker that no longer accepts
// requests is kept until its last grant is released.
type worker struct {
	Worker
	acceptsWork bool
	busy        int

	failureRate     float64 // moving average of the share of failures
	slowness        float64 // moving average of run time divided by the service's mean
	slownessSamples int     // run times in slowness

	ejected        bool
	probeSuccesses int // consecutive successful probes
	nextProbe      time.Time
	probeInterval  time.Duration
}

// freeSlots returns the number of slots that may be granted now. An ejected
// worker gets one request at a time as a probe, after a pause.
func (w *worker) freeSlots(now time.Time) int {
	switch {
	case !w.acceptsWork:
		return 0
	case w.ejected && (w.busy > 0 || now.Before(w.nextProbe)):
		return 0
	case w.ejected:
		return 1
	}
	return w.Slots - w.busy
}

// score ranks workers with free slots. A worker with a due probe comes first. A
// failing worker that may not be ejected, because too many others are, gets a
// low score: its fast failures would otherwise make it look idle and attract
// requests.
func (w *worker) score(now time.Time) float64 {
	free := float64(w.freeSlots(now))
	if w.ejected {
		return float64(w.Slots + 1)
	}
	if w.failureRate <= ejectFailureRate {
		return free
	}
	return free * unhealthyScoreFactor
}

// mayProbe reports whether a request may go to an ejected worker as a probe. A
// request that must not be retried is used only once the probe has been due for
// maxProbeInterval without a repeatable request.
func (w *worker) mayProbe(r Request, now time.Time) bool {
	return r.Repeatable || !now.Before(w.nextProbe.Add(maxProbeInterval))
}

// eject stops normal dispatch to a worker and starts probing it.
func (w *worker) eject(now time.Time) {
	w.ejected = true
	w.probeSuccesses = 0
	w.probeInterval = minProbeInterval
	w.nextProbe = now.Add(w.probeInterval)
}

// recordProbe records the outcome of a probe and reports whether the worker can
// be readmitted.
func (w *worker) recordProbe(succeeded bool, now time.Time) bool {
	if !succeeded {
		w.probeSuccesses = 0
		w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
		w.nextProbe = now.Add(w.probeInterval)
		return false
	}
	w.probeSuccesses++
	return w.probeSuccesses >= probesToReadmit
}

func (w *worker) readmit() {
	w.ejected = false
	w.failureRate, w.slowness, w.slownessSamples = 0, 0, 0
}

// HealthChange reports that a worker was ejected or readmitted.
type HealthChange struct {
	Worker  string
	Ejected bool
	Cause   string
}

// SetWorkers replaces the set of workers that accept requests.
func (q *Queue) SetWorkers(workers []Worker, now time.Time) []Decision {
	for _, w := range q.workers {
		w.acceptsWork = false
	}
	for _, spec := range workers {
		w, known := q.workers[spec.Name]
		if !known {
			w = &worker{}
			q.workers[spec.Name] = w
			w.busy = q.grantsOn(spec.Name)
		}
		w.Worker = spec
		w.acceptsWork = true
	}
	q.rebuildWorkers()
	return q.dispatch(now)
}

// grantsOn counts the grants on a worker that was unknown when they were
// restored.
func (q *Queue) grantsOn(name string) int {
	count := 0
	for _, g := range q.grants {
		if g.Worker == name {
			count++
		}
	}
	return count
}

// rebuildWorkers removes workers that are no longer used and rebuilds
// activeWorkers and the slot counts.
func (q *Queue) rebuildWorkers() {
	q.activeWorkers = q.activeWorkers[:0]
	for name, w := range q.workers {
		if !w.acceptsWork && w.busy <= 0 {
			delete(q.workers, name)
			continue
		}
		if w.acceptsWork {
			q.activeWorkers = append(q.activeWorkers, w)
		}
	}
	slices.SortFunc(q.activeWorkers, func(a, b *worker) int { return strings.Compare(a.Name, b.Name) })
	q.countSlots()
}

// countSlots counts the ejected workers and the slots of the others, which
// guarantees are based on.
func (q *Queue) countSlots() {
	q.slots, q.ejectedWorkers = 0, 0
	for _, w := range q.activeWorkers {
		if w.ejected {
			q.ejectedWorkers++
			continue
		}
		q.slots += w.Slots
	}
}

// pickWorker returns the worker with the highest score, or nil if no slot is
// free. Ties are broken round-robin, so that equal workers share the load. A
// worker that the request should avoid is used only if no other has a free
// slot.
func (q *Queue) pickWorker(r Request, now time.Time) *worker {
	var best, avoided *worker
	q.rotation++
	for i := range q.activeWorkers {
		w := q.activeWorkers[(i+q.rotation)%len(q.activeWorkers)]
		if w.freeSlots(now) <= 0 || w.ejected && !w.mayProbe(r, now) {
			continue
		}
		if slices.Contains(r.Avoid, w.Name) {
			avoided = w
			continue
		}
		if best == nil || w.score(now) > best.score(now) {
			best = w
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// recordOutcome updates the worker's health and the service's run time
// estimate.
func (q *Queue) recordOutcome(g Grant, outcome Outcome, now time.Time) {
	if outcome == Unused {
		return
	}
	runTime := now.Sub(g.At)
	s, known := q.services[g.Service]
	w, present := q.workers[g.Worker]
	if present {
		q.updateHealth(w, s, outcome, runTime, now)
	}
	if known && outcome == Succeeded {
		s.runTime.add(runTime)
	}
}

// updateHealth updates a worker's health with the outcome of a grant.
func (q *Queue) updateHealth(w *worker, s *service, outcome Outcome, runTime time.Duration, now time.Time) {
	factor := relativeRunTime(s, runTime)
	if w.ejected {
		if w.recordProbe(outcome == Succeeded && factor < ejectSlowness, now) {
			w.readmit()
			q.recordHealthChange(w, "answers well again")
		}
		return
	}
	failed := 0.0
	if outcome == Failed {
		failed = 1
	} else {
		w.slownessSamples++
		w.slowness += float64(max(minSlownessSampleWeight, 1/float64(w.slownessSamples)) * (factor - w.slowness))
	}
	w.failureRate += float64(failureSampleWeight * (failed - w.failureRate))
	q.ejectIfUnhealthy(w, now)
}

// relativeRunTime returns a run time divided by the service's mean, or 1 while
// the mean is not reliable.
func relativeRunTime(s *service, runTime time.Duration) float64 {
	if s == nil {
		return 1
	}
	mean, reliable := s.runTime.mean()
	if !reliable || mean <= 0 {
		return 1
	}
	return float64(runTime) / float64(mean)
}

// ejectIfUnhealthy ejects a worker that fails or is slow, within the limits.
func (q *Queue) ejectIfUnhealthy(w *worker, now time.Time) {
	cause := ""
	switch {
	case w.failureRate > ejectFailureRate:
		cause = "fails what it is sent"
	case w.slownessSamples >= minSlownessSamples && w.slowness > ejectSlowness:
		cause = "is slow against its pool"
	default:
		return
	}
	// When many workers fail at once, ejecting all of them is worse than
	// ejecting none. If the median worker fails too, the requests are the cause
	// and not the workers.
	if float64(q.ejectedWorkers+1) > maxEjectedShare*float64(len(q.activeWorkers)) || q.medianFailureRate() > ejectFailureRate/2 {
		return
	}
	w.eject(now)
	q.recordHealthChange(w, cause)
}

// medianFailureRate returns the median of the workers' failure rates.
func (q *Queue) medianFailureRate() float64 {
	rates := make([]float64, 0, len(q.activeWorkers))
	for _, w := range q.activeWorkers {
		rates = append(rates, w.failureRate)
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

func (q *Queue) recordHealthChange(w *worker, cause string) {
	q.countSlots()
	q.healthChanges = append(q.healthChanges, HealthChange{Worker: w.Name, Ejected: w.ejected, Cause: cause})
}

// TakeHealthChanges returns the health changes since the last call.
func (q *Queue) TakeHealthChanges() []HealthChange {
	changes := q.healthChanges
	q.healthChanges = nil
	return changes
}
