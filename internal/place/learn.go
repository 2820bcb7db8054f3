package place

import (
	"math"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// estimates learns how far the declared run times of a queue are off.
type estimates struct{ factor map[string]float64 }

func newEstimates() estimates { return estimates{factor: map[string]float64{}} }

const (
	learnShare = 0.05 // weight of a new sample
	maxFactor  = 4    // declared run times are corrected by no more than this
)

// add takes in the run time of a task that was done.
func (s estimates) add(queue string, step *jobs.Step, took time.Duration) {
	if step.Estimate <= 0 || step.Checkpoints {
		return // a task with a checkpoint may have done part of its work before
	}
	sample := min(maxFactor, max(1.0/maxFactor, float64(took)/float64(step.Estimate)))
	old, known := s.factor[queue]
	if !known {
		old = 1
	}
	s.factor[queue] = old + learnShare*(sample-old)
}

// of returns the factor by which a queue's declared run times are off.
func (s estimates) of(queue string) float64 {
	if f, known := s.factor[queue]; known {
		return f
	}
	return 1
}

// rate is the work that arrives in a unit of time, weighed by age.
type rate struct {
	value float64 // millicores
	jobs  float64 // that it was seen from
	as    time.Time
}

const (
	rateTime  = time.Second // after which a sample counts for a third
	rateDoubt = 1           // jobs from which on a rate counts for half of what was seen
)

// at returns the rate as of now. One that was seen from few jobs is taken for
// less, since a single large job is no trend.
func (r *rate) at(now time.Time) float64 {
	value, jobs := r.seen(now)
	return value * jobs / (jobs + rateDoubt)
}

func (r *rate) seen(now time.Time) (value, jobs float64) {
	if r.as.IsZero() {
		return 0, 0
	}
	fade := math.Exp(-now.Sub(r.as).Seconds() / rateTime.Seconds())
	return r.value * fade, r.jobs * fade
}

// add takes in a job's work, in millicore seconds.
func (r *rate) add(work float64, now time.Time) {
	value, jobs := r.seen(now)
	r.value = value + work/rateTime.Seconds()
	r.jobs = jobs + 1
	r.as = now
}
