package entry

import "time"

const (
	minAttemptTimeout     = time.Second
	timeoutFactor         = 4  // timeout in multiples of the slowest recent answer
	declaredRunTimeFactor = 10 // a service's declared run time may be too short by this factor
	slowestDecayDivisor   = 64 // each answer lowers the slowest time by this part
)

// latencyEstimate tracks how long a service's slow answers take, so that an attempt
// on a dead connection can time out long before the request's deadline.
type latencyEstimate struct {
	slowest time.Duration
}

func newLatencyEstimate(declared time.Duration) *latencyEstimate {
	return &latencyEstimate{slowest: declared * declaredRunTimeFactor}
}

// recordAnswer updates the estimate with the duration of an answered attempt.
func (l *latencyEstimate) recordAnswer(took time.Duration) {
	l.slowest = max(took, l.slowest-l.slowest/slowestDecayDivisor)
}

// recordTimeout updates the estimate with the duration of an attempt that timed
// out. If the work itself became slow, the next attempts get more time.
func (l *latencyEstimate) recordTimeout(after time.Duration) {
	l.slowest = max(l.slowest, after)
}

// attemptTimeout returns the timeout of an attempt, given the time to the request's
// deadline. If a second attempt would not fit in, it is all of that time.
func (l *latencyEstimate) attemptTimeout(remaining time.Duration) time.Duration {
	limit := max(minAttemptTimeout, timeoutFactor*l.slowest)
	if limit*3/2 > remaining {
		return remaining
	}
	return limit
}
