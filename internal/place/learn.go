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
	as    time.Time
}

const rateTime = time.Second // after which a sample counts for a third

// at returns the rate as of now.
func (r *rate) at(now time.Time) float64 {
	if r.as.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.as).Seconds()/rateTime.Seconds())
}

// add takes in work that has arrived, in millicores times time.
func (r *rate) add(millicores int, took time.Duration, now time.Time) {
	r.value = r.at(now) + float64(millicores)*took.Seconds()/rateTime.Seconds()
	r.as = now
}
