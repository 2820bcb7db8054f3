package pool

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// lifetimeKey returns the key of one lifetime of a worker.
func lifetimeKey(e platform.WorkerEntry) string { return fmt.Sprintf("%s@%d", e.ID, e.Born) }

// lifetimeID returns the id of the worker in the key of a lifetime.
func lifetimeID(key string) string { return key[:max(0, strings.LastIndexByte(key, '@'))] }

// SetWorkers sets the current worker entries of the pool. Workers without an entry
// count as missing.
func (o *Owner) SetWorkers(entries []platform.WorkerEntry) {
	o.post(func() {
		now := time.Now()
		previous := o.entries
		next := make(map[string]platform.WorkerEntry, len(entries))
		for i, e := range entries {
			if old := previous[e.ID]; old.Version > e.Version {
				entries[i] = old // lists may arrive out of order
			}
			next[e.ID] = entries[i]
		}
		for id, e := range previous {
			if _, ok := next[id]; !ok {
				if a := o.agents[lifetimeKey(e)]; a != nil && a.missingSince.IsZero() {
					a.missingSince = now
					o.mayBeLost[a] = true
				}
			}
		}
		o.entries = next
		for key := range o.retiredAt {
			if id := lifetimeID(key); next[id].ID == "" || lifetimeKey(next[id]) != key {
				delete(o.retiredAt, key)
			}
		}
		if !o.jobsLoaded {
			return // the lists of a worker can't be interpreted before the jobs are known
		}
		for _, e := range entries {
			if old, known := previous[e.ID]; !known || old.Version != e.Version {
				o.addAgent(e)
			}
		}
	})
}

// SetUnreadable sets that the entries of workers have become malformed. Unlike other missing
// ones, which may come back after an outage, they name no worker to use: it gets no new
// tasks until its entry is whole again. What it runs stays there.
func (o *Owner) SetUnreadable(ids []string) {
	o.post(func() {
		for _, id := range ids {
			for _, a := range o.lifetimes[id] {
				if !a.unreadable {
					a.unreadable = true
					o.log.WithField("worker", a.key).Info("worker's entry is malformed: it gets no new tasks")
					o.syncAgent(a)
				}
			}
		}
	})
}

// addAgent creates the agent of a worker, or updates it. It ignores a lifetime that
// ended by an order for its host, as the entry may stay for some seconds.
func (o *Owner) addAgent(e platform.WorkerEntry) {
	key := lifetimeKey(e)
	if at, retired := o.retiredAt[key]; retired && time.Since(at) < retiredEntryTime {
		return
	}
	for _, a := range o.lifetimes[e.ID] {
		if a.key != key && !a.lifetimeEnded {
			o.endLifetime(a, lifetimeRestarted, fmt.Sprintf("it has started anew: entry of version %d, born %d", e.Version, e.Born))
		}
	}
	a := o.agents[key]
	if a == nil {
		a = newAgent(o.ctx, o, e, platform.NewWorker(e))
		if len(o.lifetimes[e.ID]) > 0 {
			// A call for an earlier lifetime may have granted it a lease by that one's clock.
			a.extendLeases(time.Now().Add(o.longestLease()))
		}
		o.agents[key] = a
		o.lifetimes[e.ID] = append(o.lifetimes[e.ID], a)
		o.registrationsStale = true
	}
	a.entry = e
	a.missingSince, a.unreadable = time.Time{}, false
	o.syncAgent(a)
	for _, earlier := range o.lifetimes[e.ID] {
		if earlier != a && !earlier.unlistedUntil.IsZero() {
			o.logLost(earlier, time.Now(), true)
			o.board.LifetimeEnded(earlier.key, time.Now())
			for _, moved := range o.board.Attempts(earlier.key) {
				o.log.WithFields(logrus.Fields{"task": moved.Task.String(), "attempt": moved.Number, "worker": a.key, "before": earlier.key}).
					Info("attempt may run at a later lifetime of its worker")
			}
			o.board.MoveUnlisted(earlier.key, a.key, time.Now())
		}
	}
}

// removeAgent ends the agent of a lifetime.
func (o *Owner) removeAgent(a *agent) {
	a.close()
	delete(o.agents, a.key)
	delete(o.mayBeLost, a)
	id := a.entry.ID
	o.lifetimes[id] = slices.DeleteFunc(o.lifetimes[id], func(other *agent) bool { return other == a })
	if len(o.lifetimes[id]) == 0 {
		delete(o.lifetimes, id)
	}
	o.registrationsStale = true
}

// restoreRetired adds retired workers again whose entries still exist after
// retiredEntryTime. The platform also reports success for an order that was carried
// out before; the worker then keeps running.
func (o *Owner) restoreRetired(now time.Time) {
	for key, at := range o.retiredAt {
		if now.Sub(at) < retiredEntryTime {
			continue
		}
		delete(o.retiredAt, key)
		id := lifetimeID(key)
		if e, ok := o.entries[id]; ok && lifetimeKey(e) == key && o.jobsLoaded {
			o.log.WithField("worker", key).Info("retired worker is still running")
			o.addAgent(e)
		}
	}
}

// syncWorker updates all lifetimes of a worker on the board.
func (o *Owner) syncWorker(id string) {
	for _, a := range o.lifetimes[id] {
		o.syncAgent(a)
	}
}

// syncAgent updates the state of a worker's lifetime on the board. It ignores an agent that
// was removed, about which calls that had begun before may still report.
func (o *Owner) syncAgent(a *agent) {
	if o.agents[a.key] != a {
		return
	}
	_, vacate := o.vacateUntil[a.entry.ID]
	gone := !a.missingSince.IsZero() && time.Since(a.missingSince) > missingTimeout
	a.setLeaving(a.entry.Draining || gone || a.unreadable, vacate)
	o.board.SetWorker(place.Worker{
		Key: a.key, ID: a.entry.ID, Rack: a.rack(), Labels: a.entry.Labels, Size: a.entry.Size,
		Draining: a.entry.Draining || gone || a.lifetimeEnded, Silent: a.silent || !a.answered || !a.registered, Vacate: vacate, Closed: a.unreadable,
	})
	for _, s := range o.board.StartsBeyondCapacity(a.key) {
		a.withdrawStart(s)
	}
}

// lifetimeEnd is the way in which a worker's lifetime ended.
type lifetimeEnd int

const (
	lifetimeCrashed   lifetimeEnd = iota // unless it was about to leave
	lifetimeOrdered                      // by an order for its host
	lifetimeRestarted                    // as crashed, and its worker started again under the same id
)

// endLifetime records that a worker's lifetime has ended.
func (o *Owner) endLifetime(a *agent, how lifetimeEnd, cause string) {
	if a.lifetimeEnded {
		return
	}
	a.lifetimeEnded, a.endCause, a.endedAt = true, cause, time.Now()
	o.mayBeLost[a] = true
	o.registrationsStale = true
	o.log.WithFields(logrus.Fields{"worker": a.key, "cause": cause}).Info("worker's lifetime has ended")
	if how == lifetimeRestarted {
		a.unlistedUntil = a.endedAt.Add(o.longestLease())
		if until, unseen := o.unseenUntil[a.key]; unseen {
			o.unseenUntil[a.key] = later(until, a.unlistedUntil)
			delete(o.statedEnds, a.key)
		}
		for _, s := range a.takeQueuedStarts() {
			o.startAnswered(a, s, errUnresponsive)
		}
	}
	switch {
	case how == lifetimeOrdered:
		o.board.WorkerLeft(a.key)
	case o.agents[a.key] == a: // otherwise it was settled when the worker was removed
		o.settleCrash(a, cause)
	}
	o.syncAgent(a)
	a.cancel()
}

// otherLifetimeAnswered records that a call to a worker was answered by another lifetime.
func (o *Owner) otherLifetimeAnswered(a *agent, err error) {
	how := lifetimeCrashed
	if errors.Is(err, platform.ErrRestarted) {
		how = lifetimeRestarted
	}
	o.endLifetime(a, how, "another lifetime answers: "+err.Error())
}

// attemptGone is the message about an attempt that counts as gone though no end of it was
// listed. Its task may be started again.
const attemptGone = "attempt counts as gone"

// logMissing logs an attempt that counts as gone because a list lacks it.
func (o *Owner) logMissing(m place.MissingAttempt) {
	now := time.Now()
	o.log.WithFields(logrus.Fields{
		"task": m.Task.String(), "attempt": m.Attempt, "worker": m.Worker, "cause": "a list lacks it", "asked-ms": age(m.Asked, now),
		"confirmed-ms": age(m.ConfirmedAt, now), "stop-ms": age(m.StopAckedAt, now),
	}).Info(attemptGone)
}

// logLost logs the attempts of a lost worker, or just those that it had listed.
func (o *Owner) logLost(a *agent, now time.Time, listed bool) {
	cause, decidedAt := "its leases have expired", a.leasesEnd()
	if a.lifetimeEnded {
		cause, decidedAt = "its worker's lifetime has ended: "+a.endCause, a.endedAt
	}
	a.mu.Lock()
	answeredAt := a.answeredCallAt
	a.mu.Unlock()
	for _, lost := range o.board.Attempts(a.key) {
		if listed && !lost.Listed() {
			continue
		}
		o.log.WithFields(logrus.Fields{
			"task": lost.Task.String(), "attempt": lost.Number, "worker": a.key, "cause": cause, "decided-ms": age(decidedAt, now),
			"confirmed-ms": age(lost.ConfirmedAt, now), "stop-ms": age(lost.StopAckedAt, now), "answered-ms": age(answeredAt, now),
		}).Info(attemptGone)
	}
}

// age returns how long ago at was, in milliseconds, nil if it is zero.
func age(at, now time.Time) any {
	if at.IsZero() {
		return nil
	}
	return now.Sub(at).Milliseconds()
}

// handleListing applies a worker's lists of running and ended tasks.
func (o *Owner) handleListing(a *agent, l platform.Listing, requestedAt time.Time) {
	if a.lifetimeEnded {
		return
	}
	now := time.Now()
	answersAgain := a.silent && !a.isUnresponsive()
	if answersAgain {
		a.silent = false
		o.log.WithField("worker", a.key).Info("worker answers again")
	}
	a.endsCut = l.EndsCut && (a.endsCut || !a.answered)
	if !a.answered && o.mayHoldLongLease(l.Clock, now) {
		a.extendLeases(now.Add(o.longestLease()))
	}
	if !a.answered || answersAgain {
		a.answered = true
		o.registrationsStale = true
		o.syncAgent(a)
	}
	running := make([]place.Running, 0, len(l.Running))
	for _, r := range l.Running {
		running = append(running, place.Running(r))
	}
	var newEnds []place.Ended
	sort.Slice(l.Ended, func(i, j int) bool { return l.Ended[i].Number < l.Ended[j].Number })
	for _, e := range l.Ended {
		if e.Number <= a.handledEnd {
			continue
		}
		a.handledEnd = e.Number
		a.unstored = append(a.unstored, pendingEnd{e.Number, e.Task.Job})
		metricEnds.Inc()
		o.taskLog.Info("task ended",
			logs.Text("task", e.Task.String()), logs.Number("attempt", int64(e.Attempt)), logs.Text("worker", a.key),
			logs.Text("outcome", string(e.Outcome)), logs.Number("end", int64(e.Number)),
			logs.Flag("held", o.board.HoldsAttempt(a.key, e.Task, e.Attempt)))
		newEnds = append(newEnds, place.Ended{Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	listed := o.board.Listed
	if l.EndsCut {
		listed = o.board.ListedInPart
	}
	for _, unexpected := range listed(a.key, running, newEnds, requestedAt, now) {
		if o.started {
			o.sendOrder(a.key, order{stop: &unexpected})
		}
	}
	if len(newEnds) > 0 {
		o.newEnds[a] = true
		if o.dirtySince.IsZero() {
			o.dirtySince = now
		}
	}
}

// mayHoldLongLease reports whether an earlier owner's call, meant for an earlier lifetime of a
// worker, may have granted the present one a lease by that one's clock. The present one has
// lasted for age.
func (o *Owner) mayHoldLongLease(age time.Duration, now time.Time) bool {
	return o.token > 1 && age < o.longestLease() && now.Add(-age).Before(o.claimedAt)
}

// holdFailed handles a failed call for a worker's lists. late is how long after its
// timeout the call returned: a timer that fires late shows that this process was held up.
func (o *Owner) holdFailed(a *agent, err error, late time.Duration) {
	if errors.Is(err, platform.ErrFenced) {
		o.depose("a worker has seen a higher token")
		return
	}
	if isLifetimeOver(err) {
		o.otherLifetimeAnswered(a, err)
		return
	}
	if errors.Is(err, platform.ErrConnectionRefused) && !a.lifetimeEnded && o.agents[a.key] == a {
		o.suspectCrash(a, time.Now()) // stored at once, in case this owner is lost too
	}
	if !a.silent && a.isUnresponsive() {
		a.silent = true
		o.mayBeLost[a] = true
		o.log.WithFields(logrus.Fields{"worker": a.key, "late-ms": max(0, late).Milliseconds()}).
			WithError(err).Info("worker does not answer")
		o.syncAgent(a)
	}
}

func (o *Owner) startAnswered(a *agent, s place.StartOrder, err error) {
	now := time.Now()
	if err == nil {
		o.board.Started(a.key, s.Task, s.Attempt, now)
		o.taskLog.Info("task started", logs.Text("task", s.Task.String()), logs.Number("attempt", int64(s.Attempt)), logs.Text("worker", a.key))
		return
	}
	fields := logrus.Fields{"task": s.Task.String(), "attempt": s.Attempt, "worker": a.key}
	switch {
	case errors.Is(err, platform.ErrFenced):
		o.depose("a worker has seen a higher token")
	case isLifetimeOver(err):
		o.otherLifetimeAnswered(a, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		if o.board.StartUnanswered(a.key, s.Task, s.Attempt) {
			metricUnknown.Inc()
			o.log.WithFields(fields).WithError(err).Info("no answer to a start; stopping the attempt to resolve its state")
		}
	default:
		metricRefused.Inc()
		o.log.WithFields(fields).WithError(err).Info("start refused")
		if errors.Is(err, platform.ErrTicketRejected) {
			o.board.TicketRejected(a.key, s.Task, s.Attempt, now)
			return
		}
		o.board.Refused(a.key, s.Task, s.Attempt, now)
	}
}

// recordLastingStart takes in how a start of a long-running task that was sent was answered, if that
// tells of the load: a worker that crashed, or that answers nothing, says nothing of it.
func (o *Owner) recordLastingStart(a *agent, err error) {
	switch {
	case errors.IsAny(err, platform.ErrConnectionBroken, platform.ErrConnectionRefused):
	case !errors.IsAny(err, platform.ErrOutcomeUnknown, platform.ErrNotDone):
		o.lastingWindow.record(true)
	case !a.isUnresponsive():
		o.lastingWindow.record(false)
	}
}

func (o *Owner) stopAnswered(a *agent, s place.StopOrder, answered time.Time, err error) {
	switch {
	case err == nil:
		o.taskLog.Info("task stopped", logs.Text("task", s.Task.String()), logs.Number("attempt", int64(s.Attempt)), logs.Text("worker", a.key), logs.Text("cause", s.Cause))
		o.board.StopAnswered(a.key, s.Task, s.Attempt, answered)
	case errors.Is(err, platform.ErrFenced):
		o.depose("a worker has seen a higher token")
	case isLifetimeOver(err):
		o.otherLifetimeAnswered(a, err)
	default:
		o.board.StopFailed(a.key, s.Task, s.Attempt)
	}
}

func (o *Owner) paceAnswered(a *agent, p place.PaceOrder, err error) {
	if err != nil {
		o.log.WithFields(logrus.Fields{"task": p.Task.String(), "worker": a.key, "percent": p.Percent}).
			WithError(err).Info("pace change failed")
	}
}
