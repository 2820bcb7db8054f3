package place

import (
	"math"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// estimates holds a correction factor for the declared run times of each queue, a
// moving average of actual to declared run time.
type estimates struct {
	factors map[string]float64
	errors  map[string]float64 // moving averages of the absolute logarithm of what the factor leaves
}

func newEstimates() estimates {
	return estimates{factors: map[string]float64{}, errors: map[string]float64{}}
}

const (
	sampleWeight      = 0.05 // weight of a new sample in the moving average
	maxEstimateFactor = 4    // limit of the correction, up and down
)

// add adds the run time of a task that is done.
func (s estimates) add(queue string, step *jobs.Step, runTime time.Duration) {
	if step.Estimate <= 0 || step.Checkpoints {
		return // an earlier attempt may have done part of the work
	}
	sample := min(maxEstimateFactor, max(1.0/maxEstimateFactor, float64(runTime)/float64(step.Estimate)))
	old, known := s.factors[queue]
	if !known {
		old = 1
	}
	s.factors[queue] = old + float64(sampleWeight*(sample-old))
	wrong := s.error(queue)
	s.errors[queue] = wrong + float64(sampleWeight*(math.Abs(math.Log(sample/old))-wrong))
}

// unknownError is the error of the declared run times of a queue of which no task is done yet.
const unknownError = 0.3

// error returns by how much actual run times differ from the corrected declared ones of a queue, as
// a logarithm: about their relative error.
func (s estimates) error(queue string) float64 {
	if e, known := s.errors[queue]; known {
		return e
	}
	return unknownError
}

// factor returns the ratio of actual to declared run times of a queue, 1 if unknown.
func (s estimates) factor(queue string) float64 {
	if f, known := s.factors[queue]; known {
		return f
	}
	return 1
}

// rate is an exponentially decaying average of the work that arrives per second.
type rate struct {
	window         time.Duration // time in which the weight of a sample decays to 1/e, about a third
	halfWeightJobs float64       // number of jobs at which the rate counts for half

	millicores float64 // millicores
	jobs       float64 // decayed number of jobs behind the rate
	updatedAt  time.Time
}

// arrivals estimates the rate of arriving work. With hundreds of jobs a second it detects a load
// increase within a tenth of a second; with a few large ones it takes longer.
type arrivals struct{ instant, fast, slow rate }

func newArrivals() arrivals {
	return arrivals{instant: rate{window: 100 * time.Millisecond, halfWeightJobs: 8}, fast: rate{window: 300 * time.Millisecond, halfWeightJobs: 3}, slow: rate{window: arrivalWindow, halfWeightJobs: 4}}
}

// arrivalWindow is also the age from which on a submitted job is no new arrival.
const arrivalWindow = time.Second

func (a *arrivals) add(work float64, now time.Time) {
	a.instant.add(work, now)
	a.fast.add(work, now)
	a.slow.add(work, now)
}

func (a *arrivals) at(now time.Time) float64 {
	return max(a.instant.at(now), a.fast.at(now), a.slow.at(now))
}

// at returns the rate at now. A rate from few jobs is scaled down, since a single
// large job is no trend.
func (r *rate) at(now time.Time) float64 {
	millicores, jobs := r.decayed(now)
	return millicores * jobs / (jobs + r.halfWeightJobs)
}

func (r *rate) decayed(now time.Time) (millicores, jobs float64) {
	if r.updatedAt.IsZero() {
		return 0, 0
	}
	decay := math.Exp(-now.Sub(r.updatedAt).Seconds() / r.window.Seconds())
	return r.millicores * decay, r.jobs * decay
}

// add adds a job's work, in millicore seconds.
func (r *rate) add(work float64, now time.Time) {
	millicores, jobs := r.decayed(now)
	r.millicores = millicores + work/r.window.Seconds()
	r.jobs = jobs + 1
	r.updatedAt = now
}
