package place

import "time"

// health tracks the failures on a worker, so that a faulty worker does not use up
// the attempts of job after job. After a failure the worker is on probation and gets
// one batch task at a time. After several in a row it is quarantined for a while,
// then gets one task as a probe. A job whose tasks fail on several workers is itself
// considered faulty and not counted against the others.
type health struct {
	failures    int       // consecutive; of one job, only on the worker where it failed first
	lastFailure time.Time // or stall
}

func (h *health) recordFailure(now time.Time) {
	h.failures++
	h.lastFailure = now
}

func (h *health) recordSuccess() { h.failures = 0 }

// quarantined reports whether the worker gets no tasks for now.
func (h *health) quarantined(p Policy, now time.Time) bool {
	return h.failures >= p.QuarantineFailures && now.Sub(h.lastFailure) < p.QuarantineTime
}

// onProbation reports whether the worker gets only one batch task at a time.
func (h *health) onProbation(p Policy, now time.Time) bool {
	return h.failures >= p.QuarantineFailures || h.failures > 0 && now.Sub(h.lastFailure) < p.ProbationTime
}
