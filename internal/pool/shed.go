package pool

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

var (
	metricRefusedForRate    = metrics.NewCounter(`papayarudder_jobs_refused_total{cause="rate"}`)
	metricRefusedForBacklog = metrics.NewCounter(`papayarudder_jobs_refused_total{cause="backlog"}`)
	metricOverloads         = metrics.NewCounter("papayarudder_pool_overloads_total")
)

// refuse counts and logs the refusal of a job that would wait too long.
func (o *Owner) refuse(j jobs.Job, retryAfter time.Duration, now time.Time) {
	log := o.log.WithFields(logrus.Fields{"job": j.ID, "queue": j.Queue, "retry-ms": retryAfter.Milliseconds()})
	if o.board.ExceedsRate(j.Organisation, now) {
		metricRefusedForRate.Inc()
		log.WithField("organisation", j.Organisation).Info("job refused: the pool is overloaded, and it is beyond the rate of its organisation")
		return
	}
	metricRefusedForBacklog.Inc()
	log.Info("job refused: the estimated wait exceeds its deadline")
}

// noteOverload logs when the pool becomes overloaded and when that is over.
func (o *Owner) noteOverload(now time.Time) {
	overloaded := o.board.Overloaded(now)
	if overloaded == o.overloaded {
		return
	}
	o.overloaded = overloaded
	if overloaded {
		metricOverloads.Inc()
		o.log.Info("pool is overloaded: jobs that can't be on time stand by")
		return
	}
	o.log.Info("pool is no longer overloaded")
}
