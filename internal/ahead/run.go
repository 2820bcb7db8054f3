package ahead

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Run is what is known of a batch task that runs on a worker.
type Run struct {
	Claim        jobs.Resources
	Since        time.Time     // when it was first known to run
	FirstPercent int           // its progress then, more than 0 under an owner that took over
	Percent      int           // its progress as last listed
	ListedAt     time.Time     // when that was, zero if it has not been listed
	Typical      time.Duration // mean run time of finished tasks of its step, 0 if there are none
	Estimate     time.Duration // declared run time with the queue's correction, 0 if not known
}

const (
	// minSeenPercent is the progress from which on a run's speed is used.
	minSeenPercent = 10
	// unknownRunTime is assumed of a task without any estimate.
	unknownRunTime = time.Second
	// minOverrun is the least time that an overdue run is expected to last.
	minOverrun = 50 * time.Millisecond
)

// End returns when the run is expected to end, at the earliest now. The progress as listed, which
// includes the speed of the worker, goes before what other tasks of the step took, and
// that before what was declared. One that is overdue is expected to last half as long again as it has.
func (r Run) End(now time.Time) time.Time {
	end := r.Since.Add(r.expected())
	if elapsed := r.ListedAt.Sub(r.Since); r.Percent-r.FirstPercent >= minSeenPercent && elapsed > 0 {
		left := float64(100-r.Percent) / float64(r.Percent-r.FirstPercent)
		end = r.ListedAt.Add(time.Duration(left * float64(elapsed)))
	}
	if end.After(now) {
		return end
	}
	return now.Add(max(minOverrun, now.Sub(r.Since)/2))
}

// expected returns the run time from Since on, without regard to the speed as seen.
func (r Run) expected() time.Duration {
	whole := unknownRunTime
	switch {
	case r.Typical > 0:
		whole = r.Typical
	case r.Estimate > 0:
		whole = r.Estimate
	}
	return whole * time.Duration(100-r.FirstPercent) / 100
}
