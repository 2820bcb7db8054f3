package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Running is a running attempt in a worker's listing.
type Running struct {
	Task       jobs.Task
	Attempt    int
	Checkpoint string
	Percent    int
	Load       int
}

// Ended is an ended attempt in a worker's listing.
type Ended struct {
	Task       jobs.Task
	Attempt    int
	Outcome    jobs.Outcome
	Checkpoint string
}

// MissingAttempt is an attempt that a whole listing lacks, so that it counts as gone.
type MissingAttempt struct {
	Worker      string // key of the lifetime
	Task        jobs.Task
	Attempt     int
	ConfirmedAt time.Time // as in [Attempt]
	StopAckedAt time.Time
	Asked       time.Time // when the listing was requested
}

// Started records that a worker has started an attempt.
func (b *Board) Started(key string, t jobs.Task, attempt int, now time.Time) {
	b.recordStep(Step{Kind: StepStarted, Key: key, Task: t, Attempt: attempt, At: now})
	a := b.findAttempt(key, t, attempt)
	if a == nil || a.Phase != Starting {
		return
	}
	a.setPhase(Live)
	a.PercentChangedAt = now
	b.confirm(a, now)
	b.lastingChanged(a)
	b.pending.paceable(a.worker)
	b.markBegun(t)
}

// confirm records that a worker has confirmed an attempt for the first time.
func (b *Board) confirm(a *Attempt, now time.Time) {
	a.ConfirmedAt = now
	queue := a.entry.job.Queue
	b.pending.confirmed(a, queue, b.estimates.factor(queue))
}

func (b *Board) markBegun(t jobs.Task) {
	if e := b.jobs[t.Job]; e != nil && !e.progress.Begun {
		e.progress.Begun = true
		b.markDirty(e)
	}
}

// refusalPause is how long a worker that refused a start gets no other start. Its
// next listing arrives within about that time.
const refusalPause = 150 * time.Millisecond

// Refused records that a worker did not start an attempt and never will.
func (b *Board) Refused(key string, t jobs.Task, attempt int, now time.Time) {
	b.recordStep(Step{Kind: StepRefused, Key: key, Task: t, Attempt: attempt, At: now})
	b.refuse(key, t, attempt, now)
}

// TicketRejected records that a worker did not start an attempt because it does not accept
// the ticket. The advice service is asked for another one.
func (b *Board) TicketRejected(key string, t jobs.Task, attempt int, now time.Time) {
	b.recordStep(Step{Kind: StepTicketRejected, Key: key, Task: t, Attempt: attempt, At: now})
	if e := b.jobs[t.Job]; e != nil {
		if !b.needsTickets(e) {
			e.ticketRejected = true
		}
		if a := e.advice[stepKey{t.Occurrence, t.Step}]; a != nil {
			delete(a.tickets, key)
			a.retryLater(now)
		}
	}
	b.refuse(key, t, attempt, now)
}

func (b *Board) refuse(key string, t jobs.Task, attempt int, now time.Time) {
	if w := b.workers[key]; w != nil {
		w.pausedUntil = now.Add(refusalPause)
	}
	if a := b.findAttempt(key, t, attempt); a != nil {
		if e := b.jobs[t.Job]; e != nil && e.progress.DropCrash(t, key) {
			b.markDirty(e) // a crash of its worker is not due to it
		}
		a.reschedule = true // it never ran, so no backoff is needed
		b.removeAttempt(a, now)
	}
}

// StartUnanswered records that a start order got no answer. A stop order follows, after
// which the worker's next listing shows that the attempt does not run. For a long-running
// task it follows only after a listing without the attempt: stopping one that runs would
// make it unavailable. StartUnanswered reports false, and has no effect, if a listing has
// confirmed the start already.
func (b *Board) StartUnanswered(key string, t jobs.Task, attempt int) bool {
	b.recordStep(Step{Kind: StepStartUnanswered, Key: key, Task: t, Attempt: attempt})
	a := b.findAttempt(key, t, attempt)
	if a == nil || a.Phase != Starting {
		return false
	}
	a.setPhase(Unconfirmed)
	a.reschedule = true
	if a.copyable {
		b.pending.unanswered[a] = struct{}{}
	}
	if a.awaitsListing = a.step.LongRunning; !a.awaitsListing {
		b.requestStop(a)
	}
	return true
}

// StopAnswered records that a worker has acknowledged a stop order, so that it
// refuses any later start of the attempt.
func (b *Board) StopAnswered(key string, t jobs.Task, attempt int, now time.Time) {
	b.recordStep(Step{Kind: StepStopAnswered, Key: key, Task: t, Attempt: attempt, At: now})
	if a := b.findAttempt(key, t, attempt); a != nil {
		a.StopAckedAt = now
		if a.Phase == Unconfirmed {
			a.setPhase(Stopping)
		}
	}
}

// StopFailed records that a stop order was not acknowledged, so that it is repeated.
func (b *Board) StopFailed(key string, t jobs.Task, attempt int) {
	b.recordStep(Step{Kind: StepStopFailed, Key: key, Task: t, Attempt: attempt})
	a := b.findAttempt(key, t, attempt)
	if a == nil || !a.StopAckedAt.IsZero() {
		return
	}
	b.requestStop(a)
	if a.Phase == Stopping {
		a.setPhase(Live)
		b.pending.paceable(a.worker)
	}
}

// Listed applies a worker's listing of running and ended attempts. asked is when the
// listing was requested: an attempt that the worker had confirmed before then and
// does not list is gone. Listed returns stop orders for attempts that should not run
// there.
func (b *Board) Listed(key string, running []Running, ended []Ended, asked, now time.Time) []StopOrder {
	unexpected := b.applyListing(key, running, ended, true, asked, now)
	b.recordStep(Step{Kind: StepListed, Key: key, Running: running, Ended: ended, Asked: asked, At: now, UnexpectedStops: unexpected})
	return unexpected
}

// ListedInPart is [Board.Listed] for a listing that lacks some ends. An attempt that is
// missing may be among them, so that it stays until a whole listing.
func (b *Board) ListedInPart(key string, running []Running, ended []Ended, asked, now time.Time) []StopOrder {
	unexpected := b.applyListing(key, running, ended, false, asked, now)
	b.recordStep(Step{Kind: StepListedInPart, Key: key, Running: running, Ended: ended, Asked: asked, At: now, UnexpectedStops: unexpected})
	return unexpected
}

func (b *Board) applyListing(key string, running []Running, ended []Ended, whole bool, asked, now time.Time) []StopOrder {
	w := b.workers[key]
	if w == nil {
		return nil
	}
	newest := !asked.Before(w.listedAt)
	if newest {
		w.listedAt = asked
	}
	b.pending.listed[key] = w
	b.pending.paceable(w)
	b.dropCrashes(key) // it was only unreachable
	w.suspectedAt, w.rackLostAt, w.failedAt = time.Time{}, time.Time{}, time.Time{}
	w.busyAtLoss, w.lostInPair, w.commonCause = false, false, false
	for _, e := range ended {
		b.applyEnd(w, e, now)
	}
	var unexpected []StopOrder
	var unexpectedClaims jobs.Resources
	var organisationClaims map[*organisation]jobs.Resources
	b.listings++
	for _, r := range running {
		if !b.applyRunning(w, r, asked, now) {
			unexpected = append(unexpected, StopOrder{Worker: key, Task: r.Task, Attempt: r.Attempt, Cause: "not wanted here"})
			unexpectedClaims = unexpectedClaims.Add(b.unexpectedClaim(w, r.Task))
			if e := b.jobs[r.Task.Job]; e != nil && e.progress.Has(r.Task) {
				if organisationClaims == nil {
					organisationClaims = map[*organisation]jobs.Resources{}
				}
				o := b.organisationOf(e)
				organisationClaims[o] = organisationClaims[o].Add(e.job.Steps[r.Task.Step].Size)
			}
		}
	}
	if newest && (len(organisationClaims) > 0 || w.unexpectedClaims != nil) {
		b.countUnexpected(w, organisationClaims)
	}
	if newest && unexpectedClaims != w.unexpected {
		used := w.used.Sub(w.unexpected).Add(unexpectedClaims)
		w.unexpected = unexpectedClaims
		b.setUsed(w, used)
	}
	if !whole {
		return unexpected
	}
	var gone []*Attempt
	for _, a := range w.attempts {
		if a.listing == b.listings {
			continue
		}
		if a.awaitsListing {
			a.awaitsListing = false
			b.requestStop(a)
		}
		if b.hasEnded(a, asked) {
			gone = append(gone, a)
		}
	}
	sortAttempts(gone)
	for _, a := range gone {
		if b.Missing != nil {
			b.Missing(MissingAttempt{Worker: key, Task: a.Task, Attempt: a.Number, ConfirmedAt: a.ConfirmedAt, StopAckedAt: a.StopAckedAt, Asked: asked})
		}
		b.removeAttempt(a, now)
	}
	return unexpected
}

// unexpectedClaim returns what an attempt claims that should not run at a worker. It takes
// room until it is no longer listed, all of it if its job is not known.
func (b *Board) unexpectedClaim(w *worker, t jobs.Task) jobs.Resources {
	if e := b.jobs[t.Job]; e != nil && e.progress.Has(t) {
		return e.job.Steps[t.Step].Claim()
	}
	return w.Size
}

// hasEnded reports whether an attempt that is missing from a listing requested at
// asked can't be running any more.
func (b *Board) hasEnded(a *Attempt, asked time.Time) bool {
	switch a.Phase {
	case Live:
		return a.ConfirmedAt.Before(asked)
	case Stopping:
		return !a.StopAckedAt.IsZero() && a.StopAckedAt.Before(asked) || !a.ConfirmedAt.IsZero() && a.ConfirmedAt.Before(asked)
	case Starting, Unconfirmed:
	}
	return false
}

// applyRunning updates an attempt that is listed as running. It reports false if the
// attempt should not run there.
func (b *Board) applyRunning(w *worker, r Running, asked, now time.Time) bool {
	a := w.findAttempt(r.Task, r.Attempt)
	if a == nil {
		a = b.adopt(w, r, now)
	}
	if a == nil {
		return false
	}
	a.listing = b.listings
	if a.Phase == Starting || a.Phase == Unconfirmed && !a.stopRequested {
		a.setPhase(Live)
		if a.awaitsListing {
			a.awaitsListing, a.reschedule = false, false
		}
		a.PercentChangedAt = now
		b.markBegun(r.Task)
	}
	if a.ConfirmedAt.IsZero() {
		b.confirm(a, now)
	}
	if asked.After(a.shownAt) {
		a.shownAt = asked
		b.clearSurvivor(a)
	}
	if r.Percent != a.Percent {
		a.Percent, a.PercentChangedAt = r.Percent, now
	}
	a.Load = r.Load
	if a.step.LongRunning {
		b.updateAvailability(a, now)
		b.lastingChanged(a)
	}
	if r.Checkpoint != a.Checkpoint {
		a.Checkpoint = r.Checkpoint
		a.entry.progress.Save(r.Task, r.Checkpoint)
	}
	return true
}

func (b *Board) updateAvailability(a *Attempt, now time.Time) {
	switch {
	case a.Percent < 100:
		a.AvailableSince = time.Time{}
	case a.AvailableSince.IsZero():
		a.AvailableSince = now
		delete(b.jobs[a.Task.Job].backoffs, a.Task)
	}
}

// adopt adds an attempt that an earlier owner started, if its task is unfinished and
// has no other attempt, or allows copies. It returns nil otherwise.
func (b *Board) adopt(w *worker, r Running, now time.Time) *Attempt {
	e := b.jobs[r.Task.Job]
	if e == nil || !e.progress.Has(r.Task) || e.progress.Final != "" || e.progress.Done(r.Task) {
		return nil
	}
	if b.startedHere(e, r.Task, r.Attempt) || w.attempts[r.Task] != nil {
		return nil // removed since, or superseded at this worker
	}
	step := &e.job.Steps[r.Task.Step]
	if len(e.attempts[r.Task]) > 0 && !step.Speculative {
		return nil
	}
	a := &Attempt{Task: r.Task, Number: r.Attempt, Worker: w.Key, Phase: Live, OrderedAt: now, PercentChangedAt: now, adopted: true, stoppedUntil: now.Add(b.policy.StopTime)}
	a.firstPercent = r.Percent
	b.addAttempt(e, w, a)
	b.confirm(a, now)
	e.dequeue(r.Task)
	b.markBegun(r.Task)
	return a
}

// startedHere reports whether this owner has ordered the start of an attempt. The numbers of
// an earlier owner may have passed baseAttempt.
func (b *Board) startedHere(e *jobEntry, t jobs.Task, number int) bool {
	return number > b.baseAttempt && number <= e.lastStart[t]
}

// dequeue removes a task from the waiting ones.
func (e *jobEntry) dequeue(t jobs.Task) { e.waiting[stepKey{t.Occurrence, t.Step}].remove(t.Index) }

// applyEnd applies the end of an attempt.
func (b *Board) applyEnd(w *worker, r Ended, now time.Time) {
	e := b.jobs[r.Task.Job]
	if e == nil || !e.progress.Has(r.Task) {
		return
	}
	a := w.findAttempt(r.Task, r.Attempt)
	if a == nil {
		b.applyUntrackedEnd(e, w, r, now)
		return
	}
	b.markBegun(r.Task)
	e.progress.Save(r.Task, r.Checkpoint)
	b.markDirty(e)
	switch r.Outcome {
	case jobs.Done:
		b.recordSuccess(e, w, a, now)
	case jobs.Failed:
		b.recordTaskFailure(e, w, a, now)
	case jobs.Stopped, jobs.Lapsed, jobs.Broken, jobs.Alone:
	}
	b.removeAttempt(a, now)
}

// applyUntrackedEnd applies the end of an attempt that the board does not hold: one of an
// earlier owner, whose failures always count, in whatever order the ends are listed, or one
// that this owner took for gone. A success counts whatever runs elsewhere: once the end is
// acknowledged, no later start may ignore it.
func (b *Board) applyUntrackedEnd(e *jobEntry, w *worker, r Ended, now time.Time) {
	takenForGone := b.startedHere(e, r.Task, r.Attempt)
	if takenForGone && r.Outcome != jobs.Done || e.progress.Final != "" || e.progress.Done(r.Task) {
		return
	}
	b.markBegun(r.Task)
	b.markDirty(e)
	step := &e.job.Steps[r.Task.Step]
	switch {
	case r.Outcome == jobs.Failed && !step.LongRunning:
		b.recordWorkerFailure(e, w, now)
		if e.progress.MarkFailed(r.Task, r.Attempt) >= e.job.Attempts() {
			b.finish(e, jobs.Aborted, now)
		}
	case r.Outcome == jobs.Done && !step.LongRunning:
		e.markDone(r.Task)
		e.dequeue(r.Task)
		if !step.Gang {
			b.stopAttempts(e, r.Task)
		} else {
			e.waiting[stepKey{r.Task.Occurrence, r.Task.Step}].clear()
			for i := range step.Count {
				b.stopAttempts(e, jobs.Task{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: i})
			}
		}
		if e.progress.AllDone() {
			b.finish(e, jobs.Complete, now)
		}
	case e.lastAttempt[r.Task] > r.Attempt && !step.Speculative: // a later attempt has saved more
	default:
		e.progress.Save(r.Task, r.Checkpoint)
	}
}

// stopAttempts requests a stop of all attempts of a task.
func (b *Board) stopAttempts(e *jobEntry, t jobs.Task) {
	for _, a := range e.attempts[t] {
		b.requestStop(a)
	}
}

func (b *Board) recordSuccess(e *jobEntry, w *worker, a *Attempt, now time.Time) {
	w.health.recordSuccess()
	b.pending.quarantine.known = false
	delete(b.pending.failing, w.Key)
	if a.step.LongRunning || e.progress.Final != "" {
		return
	}
	if !a.ConfirmedAt.IsZero() {
		b.estimates.add(e.job.Queue, a.step, now.Sub(a.ConfirmedAt))
		b.recordRunTime(e, a, now.Sub(a.ConfirmedAt), now)
	}
	e.markDone(a.Task)
	if a.step.Speculative {
		e.dequeue(a.Task)
		for _, o := range e.attempts[a.Task] {
			if o != a {
				b.requestStop(o)
			}
		}
	}
	if e.progress.AllDone() {
		b.finish(e, jobs.Complete, now)
	}
}

// recordWorkerFailure counts a failure against the worker, unless a task of the same
// job failed on another worker first.
func (b *Board) recordWorkerFailure(e *jobEntry, w *worker, now time.Time) {
	if e.firstFailedOn == "" {
		e.firstFailedOn = w.Key
	}
	if e.firstFailedOn == w.Key {
		b.recordFailureOn(w, now)
	}
}

// recordFailureOn counts a failure against a worker.
func (b *Board) recordFailureOn(w *worker, now time.Time) {
	w.health.recordFailure(now)
	b.pending.quarantine.known = false
	b.pending.failing[w.Key] = w
}

func (b *Board) recordTaskFailure(e *jobEntry, w *worker, a *Attempt, now time.Time) {
	if !a.step.LongRunning {
		b.recordWorkerFailure(e, w, now)
	}
	if a.step.LongRunning || e.progress.Final != "" || e.progress.Done(a.Task) {
		return
	}
	if e.progress.MarkFailed(a.Task, a.Number) >= e.job.Attempts() {
		b.finish(e, jobs.Aborted, now)
	}
}
