package sched

import (
	"slices"
	"strings"
	"time"
)

// Bounds of what is held against a worker.
const (
	failureGain   = 0.2  // weight of the newest outcome
	asideAbove    = 0.6  // share of failures at which a worker is put aside
	slowGain      = 0.1  // weight of the newest run time
	slowAfter     = 20   // run times that are needed to call a worker slow
	slowAbove     = 4.0  // times the service's mean run time
	maxAside      = 0.34 // share of a pool's workers that may be put aside
	sickMerit     = 0.1  // of a worker that fails and is not put aside
	probesToTrust = 3    // successes in a row after which a worker is taken back

	firstProbe = time.Second
	lastProbe  = 30 * time.Second
)

// worker is what a queue knows of a host. A worker that takes no more work is
// kept until its last grant is released.
type worker struct {
	Worker
	takes bool
	busy  int

	failures float64 // share of failures of late
	slowness float64 // run time of late, in times of the service's mean
	runs     int     // run times that slowness rests on

	aside    bool
	probes   int // successes in a row while aside
	probeAt  time.Time
	probeGap time.Duration
}

// free returns the slots that may be granted now. A worker that was put aside
// gets one request at a time, after a pause.
func (w *worker) free(now time.Time) int {
	switch {
	case !w.takes:
		return 0
	case w.aside && (w.busy > 0 || now.Before(w.probeAt)):
		return 0
	case w.aside:
		return 1
	}
	return w.Slots - w.busy
}

// merit orders workers with free slots. A probe that is due goes first. A worker
// that fails, and may not be put aside because too many are, must not attract
// work by looking idle.
func (w *worker) merit(now time.Time) float64 {
	free := float64(w.free(now))
	if w.aside {
		return float64(w.Slots + 1)
	}
	if w.failures <= asideAbove {
		return free
	}
	return free * sickMerit
}

// mayProbe reports whether a request may go to a worker that was put aside. Work
// that can't be tried again is risked only where no other comes by.
func (w *worker) mayProbe(r Request, now time.Time) bool {
	return r.Repeatable || !now.Before(w.probeAt.Add(lastProbe))
}

// putAside starts the probing of a worker.
func (w *worker) putAside(now time.Time) {
	w.aside = true
	w.probes = 0
	w.probeGap = firstProbe
	w.probeAt = now.Add(w.probeGap)
}

// probed takes in the outcome of a probe and reports whether the worker is
// trusted again.
func (w *worker) probed(good bool, now time.Time) bool {
	if !good {
		w.probes = 0
		w.probeGap = min(2*w.probeGap, lastProbe)
		w.probeAt = now.Add(w.probeGap)
		return false
	}
	w.probes++
	return w.probes >= probesToTrust
}

func (w *worker) takeBack() {
	w.aside = false
	w.failures, w.slowness, w.runs = 0, 0, 0
}

// HealthChange tells that a worker was put aside or taken back.
type HealthChange struct {
	Worker string
	Aside  bool
	Cause  string
}

// SetWorkers replaces the set of workers that take work.
func (q *Queue) SetWorkers(workers []Worker, now time.Time) []Decision {
	for _, w := range q.workers {
		w.takes = false
	}
	for _, spec := range workers {
		w, known := q.workers[spec.Name]
		if !known {
			w = &worker{}
			q.workers[spec.Name] = w
			w.busy = q.held(spec.Name)
		}
		w.Worker = spec
		w.takes = true
	}
	q.index()
	return q.dispatch(now)
}

// held counts the grants on a worker, for one that was not known when they
// were restored.
func (q *Queue) held(name string) int {
	count := 0
	for _, g := range q.grants {
		if g.Worker == name {
			count++
		}
	}
	return count
}

// index rebuilds what is derived from the set of workers.
func (q *Queue) index() {
	q.order = q.order[:0]
	for name, w := range q.workers {
		if !w.takes && w.busy <= 0 {
			delete(q.workers, name)
			continue
		}
		if w.takes {
			q.order = append(q.order, w)
		}
	}
	slices.SortFunc(q.order, func(a, b *worker) int { return strings.Compare(a.Name, b.Name) })
	q.countSlots()
}

// countSlots adds up the slots that the floors are parts of.
func (q *Queue) countSlots() {
	q.slots, q.asides = 0, 0
	for _, w := range q.order {
		if w.aside {
			q.asides++
			continue
		}
		q.slots += w.Slots
	}
}

// place returns the best worker with a free slot, nil if there is none. Ties go
// round, so that equal workers share the load. A worker that the request should
// avoid is taken only if no other has a free slot.
func (q *Queue) place(r Request, now time.Time) *worker {
	var best, avoided *worker
	q.rotation++
	for i := range q.order {
		w := q.order[(i+q.rotation)%len(q.order)]
		if w.free(now) <= 0 || w.aside && !w.mayProbe(r, now) {
			continue
		}
		if slices.Contains(r.Avoid, w.Name) {
			avoided = w
			continue
		}
		if best == nil || w.merit(now) > best.merit(now) {
			best = w
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// learn takes the outcome of a grant into the estimates.
func (q *Queue) learn(g Grant, outcome Outcome, now time.Time) {
	if outcome == Unused {
		return
	}
	took := now.Sub(g.At)
	s, known := q.services[g.Service]
	w, present := q.workers[g.Worker]
	if present {
		q.judge(w, s, outcome, took, now)
	}
	if known && outcome == Succeeded {
		s.times.add(took)
	}
}

// judge holds an outcome against a worker, or in its favour.
func (q *Queue) judge(w *worker, s *service, outcome Outcome, took time.Duration, now time.Time) {
	factor := relative(s, took)
	if w.aside {
		if w.probed(outcome == Succeeded && factor < slowAbove, now) {
			w.takeBack()
			q.changeHealth(w, "answers well again")
		}
		return
	}
	failed := 0.0
	if outcome == Failed {
		failed = 1
	} else {
		w.runs++
		w.slowness += max(slowGain, 1/float64(w.runs)) * (factor - w.slowness)
	}
	w.failures += failureGain * (failed - w.failures)
	q.putAsideIfSick(w, now)
}

// relative returns a run time in times of the service's mean, 1 while that is
// not known.
func relative(s *service, took time.Duration) float64 {
	if s == nil {
		return 1
	}
	mean, sure := s.times.mean()
	if !sure || mean <= 0 {
		return 1
	}
	return float64(took) / float64(mean)
}

func (q *Queue) putAsideIfSick(w *worker, now time.Time) {
	cause := ""
	switch {
	case w.failures > asideAbove:
		cause = "fails what it is sent"
	case w.runs >= slowAfter && w.slowness > slowAbove:
		cause = "is slow against its pool"
	default:
		return
	}
	// In a wave that hits many, putting all aside is worse than none. What fails
	// on most workers is the work's fault.
	if float64(q.asides+1) > maxAside*float64(len(q.order)) || q.usualFailures() > asideAbove/2 {
		return
	}
	w.putAside(now)
	q.changeHealth(w, cause)
}

// usualFailures returns the median of the workers' shares of failures.
func (q *Queue) usualFailures() float64 {
	shares := make([]float64, 0, len(q.order))
	for _, w := range q.order {
		shares = append(shares, w.failures)
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

func (q *Queue) changeHealth(w *worker, cause string) {
	q.countSlots()
	q.health = append(q.health, HealthChange{Worker: w.Name, Aside: w.aside, Cause: cause})
}

// TakeHealthChanges returns the workers that were put aside or taken back since
// it was last called.
func (q *Queue) TakeHealthChanges() []HealthChange {
	changes := q.health
	q.health = nil
	return changes
}
