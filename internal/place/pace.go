package place

import (
	"maps"
	"slices"
	"time"
)

// Best-effort tasks use the processor time that latency-sensitive tasks leave, but
// slow them down. Their pace drops quickly when the response time of a
// latency-sensitive task nears its target, and rises slowly afterwards.
const (
	slowDownRatio   = 0.85                   // of the target response time, above which best-effort tasks slow down
	speedUpRatio    = 0.6                    // of the target, below which they speed up
	slowDownFactor  = 0.4                    // by which the pace is multiplied to slow down
	speedUpPercent  = 10                     // added to the pace to speed up
	minPacePercent  = 5                      // a lower pace is set to 0, which suspends the task
	minPaceInterval = 400 * time.Millisecond // long enough for a change to show in the next listing
)

// adjustPaces sets the pace of best-effort tasks by the tail latency of the
// latency-sensitive tasks on the same worker.
func (b *Board) adjustPaces(o *Orders, now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(b.pending.paced)) {
		w := b.pending.paced[key]
		b.examined += 1 + uint64(len(w.attempts))
		if !w.Silent && now.Sub(w.pacedAt) < minPaceInterval {
			continue
		}
		delete(b.pending.paced, key)
		if w.Silent {
			continue
		}
		ratio, latencySensitive, bestEffort := w.latencyRatio()
		if !latencySensitive || !bestEffort {
			continue
		}
		for _, a := range b.Attempts(key) {
			if !a.step.BestEffort || a.Phase != Live {
				continue
			}
			pace := nextPace(a.Pace, ratio)
			if pace == a.Pace {
				continue
			}
			a.Pace = pace
			w.pacedAt = now
			b.pending.paceable(w)
			o.Paces = append(o.Paces, PaceOrder{w.Key, a.Task, a.Number, pace})
		}
	}
}

// latencyRatio returns the highest ratio of tail latency to target among the
// latency-sensitive tasks, 1 at the target, and whether tasks of each kind run on the
// worker.
func (w *worker) latencyRatio() (ratio float64, latencySensitive, bestEffort bool) {
	for _, a := range w.attempts {
		bestEffort = bestEffort || a.step.BestEffort && a.Phase == Live
		if a.step.Target > 0 && !a.step.BestEffort && a.Phase == Live {
			latencySensitive = true
			ratio = max(ratio, float64(a.Load)/float64(a.step.Target.Milliseconds()))
		}
	}
	return ratio, latencySensitive, bestEffort
}

// nextPace returns the new pace in percent for a latency ratio.
func nextPace(pace int, latencyRatio float64) int {
	switch {
	case latencyRatio > slowDownRatio:
		pace = int(float64(pace) * slowDownFactor)
		if pace < minPacePercent {
			return 0
		}
	case latencyRatio < speedUpRatio:
		pace = min(100, pace+speedUpPercent)
	}
	return pace
}
