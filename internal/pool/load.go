package pool

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

const (
	loadRetryDelay = 200 * time.Millisecond
	loadTimeout    = 3 * time.Second // for the rows of one table
)

// load reads the pool's stored jobs, and retries until it succeeds.
func (o *Owner) load() {
	began := time.Now()
	for o.ctx.Err() == nil {
		err := o.loadOnce(began)
		if err == nil {
			return
		}
		o.log.WithError(err).Warn("can't load the pool yet")
		sleep(o.ctx, loadRetryDelay)
	}
}

func (o *Owner) loadOnce(began time.Time) error {
	rows := map[string][]platform.Row{}
	for _, table := range []string{tableJob, tableProgress, tableCancelled, tableClosed, tableRegistrations} {
		ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
		found, _, err := o.store.ReadAll(ctx, table, o.name)
		cancel()
		if err != nil {
			return err
		}
		rows[table] = found
	}
	var registrations []registration
	for _, r := range rows[tableRegistrations] {
		if r.Key == keyRegistrations {
			registrations = decodeRegistrations(r.Value)
		}
	}
	o.post(func() {
		o.loadClosures(rows[tableClosed])
		o.loadCancelledIDs(rows[tableCancelled], time.Now())
		o.addStoredJobs(rows[tableJob], rows[tableProgress], registrations, began)
	})
	return nil
}

// addStoredJobs puts the stored jobs on the board. Scheduling starts once the
// workers have reported what they run, or after takeoverWait.
func (o *Owner) addStoredJobs(jobRows, progressRows []platform.Row, registrations []registration, began time.Time) {
	now := time.Now()
	o.setUnseen(registrations, now)
	progress := map[string][]byte{}
	for _, r := range progressRows {
		progress[r.Key] = r.Value
	}
	for _, r := range jobRows {
		j, err := jobs.Decode(r.Value)
		if err != nil {
			o.log.WithField("job", r.Key).WithError(err).Error("can't decode a stored job")
			o.undecoded[jobs.ID(r.Key)] = true
			continue
		}
		p := jobs.NewProgress(j)
		if data, ok := progress[r.Key]; ok {
			if p, err = jobs.DecodeProgress(j, data); err != nil {
				o.log.WithField("job", r.Key).WithError(err).Error("can't decode the stored progress of a job")
				o.undecoded[jobs.ID(r.Key)] = true
				continue
			}
		}
		o.board.Add(j, p, now)
	}
	o.suspendJobs(now)
	o.jobsLoaded = true
	for _, e := range o.entries {
		o.addAgent(e)
	}
	for _, key := range o.board.SuspectedWorkers() {
		if _, unseen := o.unseenUntil[key]; !unseen && o.agents[key] == nil {
			o.reportCrash(key, "an earlier owner had removed it")
		}
	}
	o.log.WithFields(logrus.Fields{
		"jobs": len(jobRows), "workers": len(o.agents), "ms": now.Sub(began).Milliseconds(),
	}).Info("pool loaded")
	deadline := now.Add(takeoverWait)
	o.awaitWorkers(deadline)
}

// awaitWorkers starts scheduling once every registered worker has answered, or at
// the deadline. If workers have not answered by then, tasks that may run on them
// wait until all leases have expired.
func (o *Owner) awaitWorkers(deadline time.Time) {
	now := time.Now()
	o.updateUnseen(now)
	if len(o.unseenUntil) > 0 && now.Before(deadline) {
		time.AfterFunc(tickPeriod/5, func() { o.post(func() { o.awaitWorkers(deadline) }) })
		return
	}
	if len(o.unseenUntil) > 0 {
		o.setUnconfirmed(later(o.unconfirmedUntil, o.earlierLeasesEnd()))
	}
	o.started = true
	o.log.WithField("workers-unseen", len(o.unseenUntil)).Info("pool taken over")
}
