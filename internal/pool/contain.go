package pool

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

var (
	metricPanics    = metrics.NewCounter("papayarudder_owner_panics_total")
	metricSuspended = metrics.NewCounter("papayarudder_jobs_suspended_total")
)

const (
	firstSuspension = 5 * time.Second
	maxSuspension   = 5 * time.Minute
)

// Suspensions remembers the jobs under which decisions of this process have panicked, over all
// of its ownerships. It is safe for concurrent use.
type Suspensions struct {
	mu   sync.Mutex
	jobs map[jobs.ID]*suspendedJob
}

// suspendedJob is a job that is suspended.
type suspendedJob struct {
	pool   string
	panics int
	until  time.Time
}

// NewSuspensions returns Suspensions without jobs.
func NewSuspensions() *Suspensions { return &Suspensions{jobs: map[jobs.ID]*suspendedJob{}} }

// add records a panic under a job, and returns until when the job is suspended: for twice as
// long with each panic. A job that causes none within maxSuspension of the end is forgotten.
func (s *Suspensions) add(pool string, id jobs.ID, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, j := range s.jobs {
		if now.Sub(j.until) > maxSuspension {
			delete(s.jobs, known)
		}
	}
	j := s.jobs[id]
	if j == nil {
		j = &suspendedJob{pool: pool}
		s.jobs[id] = j
	}
	j.until = now.Add(min(firstSuspension<<min(j.panics, 10), maxSuspension))
	j.panics++
	return j.until
}

// of returns the jobs of a pool that are suspended, and until when.
func (s *Suspensions) of(pool string, now time.Time) map[jobs.ID]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[jobs.ID]time.Time{}
	for id, j := range s.jobs {
		if j.pool == pool && now.Before(j.until) {
			found[id] = j.until
		}
	}
	return found
}

// contain ends the ownership, instead of the process, if the owner's loop has panicked. The
// board may be inconsistent then; the next ownership makes a new one from the store and the
// workers' lists, as after the loss of a process. The job that the decision was about is
// suspended, so that it does not end that ownership as well.
func (o *Owner) contain() {
	cause := recover()
	if cause == nil {
		return
	}
	o.panicked = true
	metricPanics.Inc()
	u := o.board.Unfinished()
	fields := logrus.Fields{"panic": fmt.Sprint(cause), "pass": u.Pass, "stack": string(debug.Stack())}
	if u.Job != "" {
		fields["job"], fields["occurrence"], fields["step"] = u.Job, u.Occurrence, u.Step
		fields["waiting"], fields["started"] = u.Waiting, u.Started
		fields["suspended-ms"] = time.Until(o.suspensions.add(o.name, u.Job, time.Now())).Milliseconds()
		metricSuspended.Inc()
	}
	o.log.WithFields(fields).Error("pool owner panicked: the pool is to be claimed again")
}

// Panicked reports, once the ownership has ended, whether a panic ended it.
func (o *Owner) Panicked() bool { return o.panicked }

// suspendJobs makes decisions leave alone the jobs under which earlier ones panicked lately.
func (o *Owner) suspendJobs(now time.Time) {
	for id, until := range o.suspensions.of(o.name, now) {
		o.board.Suspend(id, until)
		o.log.WithFields(logrus.Fields{"job": id, "ms": until.Sub(now).Milliseconds()}).Warn("job suspended: a decision about it panicked")
	}
}
