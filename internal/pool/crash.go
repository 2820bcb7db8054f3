package pool

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/place"
)

var (
	metricCrashes = metrics.NewCounter("papayarudder_worker_crashes_total")
	metricGivenUp = metrics.NewCounter("papayarudder_jobs_given_up_total")
)

// maxLoggedSuspects limits the tasks named in the log line of a crash.
const maxLoggedSuspects = 20

// suspectCrash records that a worker may have crashed, and logs which tasks have come under
// suspicion, and on what evidence.
func (o *Owner) suspectCrash(a *agent, now time.Time) {
	failedAt := a.connectionsFailed()
	suspects := o.board.SuspectCrash(a.key, a.lastBroken(), failedAt, now)
	if len(suspects) == 0 {
		return
	}
	a.mu.Lock()
	answeredAt := a.answeredCallAt
	a.mu.Unlock()
	o.log.WithFields(logrus.Fields{
		"worker": a.key, "rack": a.rack(), "failed-ms": age(failedAt, now), "answered-ms": age(answeredAt, now),
		"suspects": describeSuspects(suspects, now), "count": len(suspects),
	}).Info("worker may have crashed")
}

// settleCrash records that a worker's lifetime ended without an order of ours, as far as is
// known: a worker that drains was about to leave. One that is being vacated is ordered away
// only once it is empty, and the order is told.
func (o *Owner) settleCrash(a *agent, cause string) {
	if a.entry.Draining || time.Since(a.orderedAt) < retiredEntryTime {
		o.board.WorkerLeft(a.key)
		return
	}
	o.suspectCrash(a, time.Now()) // it may have started again before a call was refused
	o.reportCrash(a.key, cause)
}

// reportCrash records the crash of a worker, and logs which tasks are under suspicion and
// which jobs are given up.
func (o *Owner) reportCrash(key, cause string) {
	now := time.Now()
	report := o.board.WorkerCrashed(key, now)
	if len(report.Suspects) == 0 {
		return
	}
	metricCrashes.Inc()
	o.log.WithFields(logrus.Fields{
		"worker": key, "cause": cause, "rack-lost": report.RackLost,
		"suspects": describeSuspects(report.Suspects, now), "count": len(report.Suspects),
	}).Warn("worker crashed")
	for _, g := range report.GivenUp {
		metricGivenUp.Inc()
		var crashes []string
		for _, c := range g.Crashes {
			crashes = append(crashes, fmt.Sprintf("%s under attempt %d, alone %t, prompt %t", c.Worker, c.Attempt, c.Alone, c.Prompt))
		}
		o.log.WithFields(logrus.Fields{"job": g.Task.Job, "task": g.Task.String(), "crashes": crashes}).
			Warn("job given up: a task crashes its workers")
	}
}

// describeSuspects returns a text about each suspect, up to maxLoggedSuspects.
func describeSuspects(suspects []place.Suspect, now time.Time) []string {
	var texts []string
	for _, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		text := fmt.Sprintf("%s attempt %d, crash %d, alone %t, prompt %t", s.Task, s.Attempt, s.Crashes, s.Alone, s.Prompt)
		if !s.OrderedAt.IsZero() {
			text += fmt.Sprintf(", ordered %d ms ago", now.Sub(s.OrderedAt).Milliseconds())
		}
		texts = append(texts, text)
	}
	return texts
}
