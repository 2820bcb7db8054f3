package pool

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// answerSubmissions sends a verdict to the callers waiting for submissions. Each
// caller gets one verdict.
func (o *Owner) answerSubmissions(subs []*submission, v Verdict) {
	for _, s := range subs {
		for _, w := range s.waiters {
			w <- v
		}
		s.waiters = nil
		if v != Unknown {
			delete(o.pending, s.job.ID)
		}
	}
}

// answerLateSubmissions answers callers whose jobs have not become durable in time. A job in a
// transaction that was sent still may; one that waits behind it never will.
func (o *Owner) answerLateSubmissions(now time.Time) {
	for _, s := range o.pending {
		if now.Sub(s.receivedAt) <= submitTimeout || len(s.waiters) == 0 {
			continue
		}
		verdict := Unknown
		if i := slices.Index(o.queue, s); i >= 0 && o.status.current(now) {
			o.queue = slices.Delete(o.queue, i, i+1)
			verdict = Refused
			o.log.WithField("job", s.job.ID).Info("job refused: the store did not answer in time")
		}
		o.answerSubmissions([]*submission{s}, verdict)
	}
}

// answerCancels sends a verdict to the callers waiting for the cancellation of a
// job.
func (o *Owner) answerCancels(id jobs.ID, v Verdict) {
	for _, w := range o.cancels[id] {
		w <- v
	}
	delete(o.cancels, id)
}

// stateStored handles that a job's state has become durable.
func (o *Owner) stateStored(id jobs.ID, s jobs.State) {
	if s.Final() {
		o.taskLog.Info("job ended", logs.Text("job", string(id)), logs.Text("state", string(s)), logs.Number("cancels", int64(len(o.cancels[id]))))
		o.answerCancels(id, Accepted)
	}
}

// callLoop runs f in the loop and waits for the verdict that f sends.
func (o *Owner) callLoop(ctx context.Context, f func(reply chan Verdict)) Verdict {
	reply := make(chan Verdict, 1)
	select {
	case o.calls <- func() { f(reply) }:
	case <-ctx.Done():
		return Unknown
	case <-o.ctx.Done():
		return Unknown
	}
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
	case <-o.ended:
		select {
		case v := <-reply:
			return v
		default:
		}
	}
	return Unknown
}

// ask is [Owner.callLoop] for calls that are answered from memory: the verdict is Unknown if
// another process may own the pool, which then knows better.
func (o *Owner) ask(ctx context.Context, f func(reply chan Verdict)) Verdict {
	return o.callLoop(ctx, func(reply chan Verdict) {
		if !o.status.current(time.Now()) {
			reply <- Unknown
			return
		}
		f(reply)
	})
}

// Submit makes a job durable. Refused and Overloaded mean that it has not run and
// never will; the duration is then the time after which the caller should retry.
func (o *Owner) Submit(ctx context.Context, j jobs.Job) (Verdict, time.Duration) {
	return o.submit(ctx, j, alwaysOpen)
}

func (o *Owner) submit(ctx context.Context, j jobs.Job, opened uint64) (Verdict, time.Duration) {
	row, err := j.Encode()
	if err != nil {
		return Refused, 0
	}
	var retryAfter time.Duration
	v := o.ask(ctx, func(reply chan Verdict) {
		now := time.Now()
		switch s := o.pending[j.ID]; {
		case !o.started, o.undecoded[j.ID]:
			reply <- Unknown // it may be among the stored jobs, which are still being loaded
		case !o.mayAccess(j.ID, Submitter(j)):
			o.countRefusal(j.Organisation, CauseOtherOrganisation)
			reply <- Forbidden
		case o.board.Known(j.ID):
			reply <- Accepted
		case s != nil:
			s.waiters = append(s.waiters, reply)
		case o.routeClosed(j.Route, opened):
			reply <- Closed
		case o.removing[j.ID]:
			reply <- Unknown // the rows of an earlier job with this id are removed first
		case !o.storeDownSince.IsZero() && !o.storeUnreachable() || o.flushing:
			reply <- Unknown // the next owner decides
		case o.storeUnreachable():
			o.log.WithField("job", j.ID).WithField("store-down-ms", time.Since(o.storeDownSince).Milliseconds()).Info("job refused: it can't be stored")
			reply <- Refused
		case o.cancelledIDs[j.ID].cancels(Submitter(j)):
			progress, err := cancelledProgress(j).Encode()
			if err != nil {
				reply <- Unknown // can't happen: it holds the final state alone
				return
			}
			o.queueSubmission(&submission{job: j, row: row, progress: progress, receivedAt: now, waiters: []chan Verdict{reply}})
		default:
			if cannotFinish, retry := o.board.CannotFinishInTime(j, now); cannotFinish {
				o.refuse(j, retry, now)
				retryAfter = retry
				o.countRefusal(j.Organisation, CauseTooLate)
				reply <- Overloaded
				return
			}
			if !o.hasMemoryFor(&j, now) {
				retryAfter = memoryRetry
				o.countRefusal(j.Organisation, CauseMemory)
				reply <- Overloaded
				return
			}
			o.queueSubmission(&submission{job: j, row: row, receivedAt: now, waiters: []chan Verdict{reply}})
		}
	})
	switch v {
	case Overloaded:
		return v, retryAfter
	case Refused:
		return v, o.outageRetry()
	case Accepted, Unknown, Missing, Closed, Forbidden, Outdated:
	}
	return v, 0
}

func (o *Owner) queueSubmission(s *submission) {
	o.pending[s.job.ID] = s
	o.queue = append(o.queue, s)
	o.quotaDemandChanged(s.job)
}

// Limits of the retry delay given to callers while the store is down.
const (
	minOutageRetry = time.Second
	maxOutageRetry = 4 * time.Second
)

// outageRetry returns the retry delay for callers while the store is down: as long
// as the outage has lasted so far, within limits.
func (o *Owner) outageRetry() time.Duration {
	down := o.storeDownSinceMs.Load()
	if down == 0 {
		return minOutageRetry
	}
	return min(max(time.Since(time.UnixMilli(down)), minOutageRetry), maxOutageRetry)
}

// Cancel cancels a job. Accepted means that its final state is durable, Missing that there is
// no such job and that one with this id will not run if it is submitted yet.
func (o *Owner) Cancel(ctx context.Context, id jobs.ID) Verdict {
	return o.CancelFor(ctx, id, Caller{})
}

// CancelFor is [Owner.Cancel] for a caller that is checked. Forbidden means that the job belongs
// to an organisation that is not the caller's.
func (o *Owner) CancelFor(ctx context.Context, id jobs.ID, from Caller) Verdict {
	return o.ask(ctx, func(reply chan Verdict) {
		switch {
		case !o.mayAccess(id, from):
			o.countRefusal(from.Organisation, CauseOtherOrganisation)
			reply <- Forbidden
		case !o.started || o.pending[id] != nil || o.undecoded[id]:
			reply <- Unknown
		case !o.board.Known(id) && o.flushing:
			reply <- Unknown // the next owner stores it
		case !o.board.Known(id):
			o.cancelUnknown(id, from, reply)
		default:
			s, _ := o.board.State(id)
			log := o.log.WithFields(logrus.Fields{"job": id, "state": s})
			if s.Final() {
				log.Info("cancel of a job that has ended")
				reply <- Accepted
				return
			}
			if o.board.Cancel(id, time.Now()) {
				log.Info("job cancelled by its caller")
			}
			o.cancels[id] = append(o.cancels[id], reply)
		}
	})
}

// State returns a job's state. Accepted means that the state is valid.
func (o *Owner) State(ctx context.Context, id jobs.ID) (jobs.State, Verdict) {
	return o.StateFor(ctx, id, Caller{})
}

// StateFor is [Owner.State] for a caller that is checked. Forbidden means that the job belongs to
// an organisation that is not the caller's.
func (o *Owner) StateFor(ctx context.Context, id jobs.ID, from Caller) (jobs.State, Verdict) {
	var state jobs.State
	v := o.ask(ctx, func(reply chan Verdict) {
		s, known := o.board.State(id)
		switch {
		case !o.mayAccess(id, from):
			o.countRefusal(from.Organisation, CauseOtherOrganisation)
			reply <- Forbidden
		case !o.started && !known || o.pending[id] != nil || o.undecoded[id]:
			reply <- Unknown
		case !known && o.flushing:
			reply <- Unknown
		case !known:
			o.confirmations = append(o.confirmations, reply) // a later owner may have accepted it
		default:
			state = s
			reply <- Accepted
		}
	})
	if v != Accepted {
		return "", v // the loop may still write to state
	}
	return state, v
}

// Pending returns how many of a queue's jobs have not started.
func (o *Owner) Pending(ctx context.Context, queue string) (int, Verdict) {
	n := 0
	v := o.ask(ctx, func(reply chan Verdict) {
		if !o.started {
			reply <- Unknown
			return
		}
		n = o.board.Pending(queue)
		reply <- Accepted
	})
	if v != Accepted {
		return 0, v
	}
	return n, v
}

// vacateTTL is how long a request to vacate a worker holds unless it is repeated.
const vacateTTL = 2 * time.Second

// Vacated is the state of a worker that is to become empty.
type Vacated struct {
	Left     int    // attempts that are still there
	Lifetime string // of the worker
}

// Vacate requests that workers become empty: they get no new tasks, and their lasting
// tasks move to other workers. It returns the state of each worker that the pool has; the
// others are missing. One call covers all workers that are wanted elsewhere, as hundreds
// are asked for again and again in a turn.
func (o *Owner) Vacate(ctx context.Context, workers []string) (map[string]Vacated, Verdict) {
	vacated := make(map[string]Vacated, len(workers))
	v := o.ask(ctx, func(reply chan Verdict) {
		if !o.started {
			reply <- Unknown
			return
		}
		now := time.Now()
		for _, worker := range workers {
			if state, known := o.vacate(worker, now); known {
				vacated[worker] = state
			}
		}
		reply <- Accepted
	})
	if v != Accepted {
		return nil, v // the loop may still write to vacated
	}
	return vacated, v
}

// vacate requests that one worker become empty, and reports whether the pool has it.
func (o *Owner) vacate(worker string, now time.Time) (state Vacated, known bool) {
	for _, a := range o.lifetimes[worker] {
		if !a.lifetimeEnded && a.answered {
			state.Left += o.board.CountAttempts(a.key)
			state.Lifetime = a.key
			known = true
		}
	}
	if !known {
		return Vacated{}, false
	}
	_, vacating := o.vacateUntil[worker]
	o.vacateUntil[worker] = now.Add(vacateTTL)
	if !vacating {
		o.syncWorker(worker)
	}
	return state, true
}

// Retire records that a worker's lifetime has ended because the platform has
// carried out an order for its host.
func (o *Owner) Retire(lifetime string) {
	o.post(func() {
		a := o.agents[lifetime]
		if a != nil && !a.lifetimeEnded && !o.board.Idle(lifetime) && !a.isUnresponsive() {
			// The worker was empty when the order was sent. The order may have been carried out
			// before this lifetime began, which shows if the worker goes on answering.
			a.orderedAt = time.Now()
			o.board.WorkerLeft(lifetime)
			o.log.WithField("worker", lifetime).Info("retired worker has tasks: they stay until it has certainly ended")
			return
		}
		o.retiredAt[lifetime] = time.Now()
		delete(o.unseenUntil, lifetime)
		delete(o.statedEnds, lifetime)
		o.registrationsStale = true
		if a != nil {
			o.endLifetime(a, lifetimeOrdered, "its host was ordered elsewhere")
			o.removeIfLost(a, time.Now())
		} else {
			o.board.WorkerLeft(lifetime)
		}
	})
}

// Load returns the pool's demand and capacity. arriving is the capacity of the hosts that are
// on their way to the pool, in millicores, or negative if the caller does not know it.
func (o *Owner) Load(ctx context.Context, arriving int) (place.Load, Verdict) {
	var l place.Load
	v := o.ask(ctx, func(reply chan Verdict) {
		if !o.started {
			reply <- Unknown
			return
		}
		now := time.Now()
		if arriving >= 0 {
			o.board.SetGrowth(arriving, now)
		}
		l = o.board.Load(now)
		reply <- Accepted
	})
	if v != Accepted {
		return place.Load{}, v
	}
	return l, v
}

// Views returns the state of one job, or of all jobs if id is empty.
func (o *Owner) Views(ctx context.Context, id jobs.ID) ([]place.JobView, Verdict) {
	var views []place.JobView
	v := o.ask(ctx, func(reply chan Verdict) {
		view, known := o.board.View(id)
		switch {
		case !o.started:
			reply <- Unknown
			return
		case id == "":
			views = o.board.Views()
		case !known:
			reply <- Missing
			return
		default:
			views = []place.JobView{view}
		}
		reply <- Accepted
	})
	if v != Accepted {
		return nil, v
	}
	return views, v
}

// SetQueues sets the configuration of the pool's queues.
func (o *Owner) SetQueues(queues []platform.Queue) {
	o.post(func() {
		advised, targets := map[string]bool{}, false
		for _, q := range queues {
			targets = targets || q.Pool == o.name && q.Target > 0
			o.queues[q.Name] = q
			advised[q.Name] = q.Advice != nil
		}
		o.board.SetAdvised(advised)
		o.hasTargets = targets
		o.updateShedding()
	})
}

// updateShedding switches the plan for overloads on where organisations share the pool and its
// jobs have a time by which they should be complete.
func (o *Owner) updateShedding() {
	o.board.SetShedding(o.hasTargets && len(o.organisations) > 0)
}

// SetOrganisations sets the organisations of a version of the configuration.
func (o *Owner) SetOrganisations(organisations []platform.Organisation, version uint64) {
	o.post(func() {
		if version < o.organisationsVersion || len(organisations) == 0 && len(o.organisations) == 0 {
			return
		}
		o.setQuotas(organisations, version, time.Now())
		o.organisations, o.organisationsVersion = organisations, version
		shares := map[string]place.Organisation{}
		for _, org := range organisations {
			shares[org.Name] = place.Organisation{Weight: org.Weight}
		}
		o.board.SetOrganisations(shares)
		o.updateShedding()
	})
}

// Flush stops scheduling and makes all pending changes durable, so that another
// process can take the pool over.
func (o *Owner) Flush(ctx context.Context) {
	_ = o.callLoop(ctx, func(reply chan Verdict) {
		o.flushing = true
		o.endLeases(time.Now())
		var wait func()
		wait = func() {
			ids, _ := o.board.Dirty()
			if o.inFlight == nil && len(ids) == 0 && len(o.queue) == 0 && len(o.cancelledQueue)+len(o.closureQueue) == 0 && !o.registrationsDue() || !o.storeDownSince.IsZero() {
				reply <- Accepted
				return
			}
			time.AfterFunc(tickPeriod/10, func() { o.post(wait) })
		}
		wait()
	})
}

// Close ends the ownership in this process without writing to the store.
func (o *Owner) Close() {
	o.cancel()
	<-o.ended
}
