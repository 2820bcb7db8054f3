package sched

import "time"

const (
	sureAfter    = 20   // samples
	estimateGain = 0.05 // weight of a new sample
)

// estimate learns the mean run time of a service. The declared run time is only
// where it starts.
type estimate struct {
	average float64 // nanoseconds
	samples int
}

func newEstimate(declared time.Duration) estimate {
	return estimate{average: float64(declared)}
}

func (e *estimate) add(sample time.Duration) {
	e.samples++
	gain := max(estimateGain, 1/float64(e.samples))
	e.average += gain * (float64(sample) - e.average)
}

// mean returns the estimate and whether it rests on enough samples.
func (e *estimate) mean() (time.Duration, bool) {
	return time.Duration(e.average), e.samples >= sureAfter
}
