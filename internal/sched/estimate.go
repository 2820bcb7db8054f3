package sched

import "time"

const (
	minSamples      = 20   // samples before the mean counts as reliable
	minSampleWeight = 0.05 // lower bound of a new sample's weight
)

// runTimeEstimate is a moving average of the run time of a service. It starts
// with the declared run time.
type runTimeEstimate struct {
	average float64 // nanoseconds
	samples int
}

func newRunTimeEstimate(declared time.Duration) runTimeEstimate {
	return runTimeEstimate{average: float64(declared)}
}

func (e *runTimeEstimate) add(sample time.Duration) {
	e.samples++
	weight := max(minSampleWeight, 1/float64(e.samples))
	e.average += float64(weight * (float64(sample) - e.average))
}

// mean returns the estimate and whether it has enough samples to be reliable.
func (e *runTimeEstimate) mean() (time.Duration, bool) {
	return time.Duration(e.average), e.samples >= minSamples
}
