package place

import "time"

// health is what the ends on a worker tell of it. A worker that fails what it
// starts must not use up the attempts of job after job: after a failure it gets
// one batch task at a time, after several in a row nothing for a while, then one
// task as a probe. A job whose tasks fail on several workers is at fault itself.
type health struct {
	failures int       // in a row, of different jobs
	last     time.Time // failure or stall
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.last = now
}

func (h *health) done() { h.failures = 0 }

// setAside reports whether the worker gets nothing at all for now.
func (h *health) setAside(p Policy, now time.Time) bool {
	return h.failures >= p.SickAfter && now.Sub(h.last) < p.SickTime
}

// doubtful reports whether the worker gets one task at a time.
func (h *health) doubtful(p Policy, now time.Time) bool {
	return h.failures >= p.SickAfter || h.failures > 0 && now.Sub(h.last) < p.ProbeTime
}
