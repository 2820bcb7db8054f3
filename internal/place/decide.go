package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Decide returns the orders that are due now.
func (b *Board) Decide(now time.Time) Orders {
	var o Orders
	b.focus = focus{orders: &o}
	b.enqueueReadySteps(now)
	b.stopStalled(now)
	b.speculate(now)
	reserved := len(b.ahead.reservations) > 0
	b.plan.made = false
	b.placeTasks(&o, now)
	b.noteStarts(o.Starts, now)
	b.chargeStarts(o.Starts)
	b.beginPass(passOrders)
	b.orderStops(&o)
	b.adjustPaces(&o, now)
	b.focus = focus{}
	if b.Record != nil {
		b.recordStep(Step{Kind: StepDecide, At: now, Orders: o, Flag: reserved || len(b.ahead.reservations) > 0 || b.plan.made})
	}
	return o
}

// enqueueReadySteps queues the tasks of steps that are due and whose dependencies
// are done, and long-running tasks whose backoff is over.
func (b *Board) enqueueReadySteps(now time.Time) {
	b.beginPass(passReady)
	for id, e := range b.pending.changedJobs {
		b.examined++
		if e.progress.Final != "" {
			delete(b.pending.changedJobs, id)
			continue
		}
		if !b.lookAt(e, stepKey{}, now) {
			continue
		}
		for _, t := range e.endedBackoffs(now) {
			b.enqueue(e, t)
		}
		if due := b.enqueueDueOccurrences(e, now); due && len(e.backoffs) == 0 {
			delete(b.pending.changedJobs, id)
		}
	}
}

// MaxWaitingSteps limits the steps of a repeating job that wait at a time, in all occurrences. Each
// step has an equal part of it, so that one for which there is no worker holds up no other.
const MaxWaitingSteps = 256

// stepCursor tells which occurrences of a step have been queued.
type stepCursor struct {
	next    int   // the first occurrence that has not been looked at
	blocked []int // occurrences before that whose dependencies are not done
	waiting int   // occurrences with a queue
}

// isFull reports whether no further occurrence of a step is queued until some have started.
func (c *stepCursor) isFull(steps int) bool {
	return c.waiting >= MaxWaitingSteps/steps || len(c.blocked) >= MaxWaitingSteps
}

// enqueueDueOccurrences queues the tasks of a job's steps that have become ready. It
// reports whether all occurrences of the job were due.
func (b *Board) enqueueDueOccurrences(e *jobEntry, now time.Time) bool {
	all := true
	for i := range e.cursors {
		c := &e.cursors[i]
		c.blocked = slices.DeleteFunc(c.blocked, func(k int) bool { return b.enqueueStep(e, stepKey{k, i}, now) })
		for c.next < e.job.Occurrences() && (e.job.Repetitions == 0 || !e.job.Due(c.next).After(now) && !c.isFull(len(e.cursors))) {
			k := c.next
			c.next++
			if !b.enqueueStep(e, stepKey{k, i}, now) {
				c.blocked = append(c.blocked, k)
			}
		}
		all = all && c.next == e.job.Occurrences()
	}
	return all
}

// enqueueStep queues the tasks of a step that are not done and don't run, unless it was queued
// before. It reports false if dependencies of the step are not done.
func (b *Board) enqueueStep(e *jobEntry, key stepKey, now time.Time) bool {
	if e.enqueuedSteps[key] || e.progress.StepDone(key.occurrence, key.step) {
		return true
	}
	if !e.progress.Ready(key.occurrence, key.step) {
		return false
	}
	e.enqueuedSteps[key] = true
	b.beginWait(e, key, now)
	for index := range e.job.Steps[key.step].Count {
		t := jobs.Task{Job: e.job.ID, Occurrence: key.occurrence, Step: key.step, Index: index}
		if !e.progress.Done(t) && len(e.attempts[t]) == 0 {
			b.enqueue(e, t)
		}
	}
	return true
}

// UnwantedStarts returns the attempts whose start order has no answer yet and that are to be
// stopped once it has: a start that was not sent yet need not be.
func (b *Board) UnwantedStarts() []StopOrder {
	var unwanted []StopOrder
	for _, key := range slices.Sorted(maps.Keys(b.pending.stops)) {
		for _, a := range b.attemptsToStop(b.pending.stops[key]) {
			if a.Phase == Starting {
				unwanted = append(unwanted, StopOrder{Worker: key, Task: a.Task, Attempt: a.Number, Cause: a.stopCause()})
			}
		}
	}
	return unwanted
}

// StartsBeyondCapacity returns the attempts whose start order has no answer yet and that do
// not fit a worker any more because its capacity has shrunk, the latest first. A start that
// was not sent yet need not be; those of long-running tasks are sent at once.
func (b *Board) StartsBeyondCapacity(key string) []StopOrder {
	w := b.workers[key]
	if w == nil || w.used.Fits(w.Size) {
		return nil
	}
	starting := slices.DeleteFunc(b.Attempts(key), func(a *Attempt) bool { return a.Phase != Starting || a.step.LongRunning })
	slices.SortStableFunc(starting, func(x, y *Attempt) int { return y.OrderedAt.Compare(x.OrderedAt) })
	var starts []StopOrder
	used := w.used
	for _, a := range starting {
		if used.Fits(w.Size) {
			break
		}
		used = used.Sub(a.step.Claim())
		starts = append(starts, StopOrder{Worker: key, Task: a.Task, Attempt: a.Number, Cause: "its worker has shrunk"})
	}
	return starts
}

// orderStops adds the stop orders that are due.
func (b *Board) orderStops(o *Orders) {
	for _, key := range slices.Sorted(maps.Keys(b.pending.stops)) {
		w := b.pending.stops[key]
		b.examined += 1 + uint64(len(w.attempts))
		left := false
		for _, a := range b.attemptsToStop(w) {
			if a.Phase == Starting {
				left = true
				continue // wait for the answer to the start order
			}
			if a.Phase != Unconfirmed {
				a.setPhase(Stopping)
			}
			a.stopRequested = false
			o.Stops = append(o.Stops, StopOrder{Worker: w.Key, Task: a.Task, Attempt: a.Number, Cause: a.stopCause(), Unconfirmed: a.Phase == Unconfirmed})
		}
		if !left {
			delete(b.pending.stops, key)
		}
		b.pending.paceable(w)
	}
}

// attemptsToStop returns the attempts at a worker that are due to be stopped, sorted by
// task.
func (b *Board) attemptsToStop(w *worker) []*Attempt {
	var attempts []*Attempt
	for _, a := range w.attempts {
		if a.stopRequested {
			attempts = append(attempts, a)
		}
	}
	sortAttempts(attempts)
	return attempts
}

// endedBackoffs returns the tasks whose backoffs are over and that have no attempt, sorted.
func (e *jobEntry) endedBackoffs(now time.Time) []jobs.Task {
	var tasks []jobs.Task
	for t, r := range e.backoffs {
		if r.delay > 0 && !r.until.After(now) && len(e.attempts[t]) == 0 {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, jobs.Task.Compare)
	return tasks
}

// stopCause returns the reason for a stop, which is logged and recorded.
func (a *Attempt) stopCause() string {
	switch {
	case a.Phase == Unconfirmed:
		return "not known whether it runs"
	case a.stalled:
		return "its percentage stands still"
	case a.reschedule:
		return "to run elsewhere"
	}
	return "no longer wanted"
}

// stopStalled stops and reschedules batch tasks whose percentage has not changed
// from one listing to a later one that shows them. Time since then does not count: a
// worker that can't be reached says nothing about its tasks.
func (b *Board) stopStalled(now time.Time) {
	b.beginPass(passStalled)
	for key, w := range b.pending.listed {
		b.examined++
		if w.Silent {
			delete(b.pending.listed, key)
			continue
		}
		later := false
		for _, a := range w.attempts {
			b.examined++
			if !b.lookAt(a.entry, a.stepKey(), now) {
				later = true
				continue
			}
			if a.Phase != Live || a.stopRequested || a.step.LongRunning || a.step.Gang || a.Percent >= 100 {
				continue
			}
			limit := max(b.policy.StallTime, a.step.Estimate/4)
			if a.shownAt.Sub(a.PercentChangedAt) > limit {
				b.requestStop(a)
				a.reschedule, a.stalled = true, true
				b.recordFailureOn(w, now)
			}
		}
		if !later {
			delete(b.pending.listed, key)
		}
	}
}

// moveLongRunning stops and reschedules long-running tasks on workers that drain or
// are to be vacated, as far as MaxUnavailable permits.
func (b *Board) moveLongRunning(now time.Time) {
	var attempts []*Attempt
	for l := range b.pending.moves {
		b.examined++
		if !b.lookAt(l.entry, l.key, now) {
			continue
		}
		if a := l.sample(); a != nil && !b.fitsElsewhere(a, now) {
			continue
		}
		movable := l.movable()
		b.examined += uint64(len(movable))
		if len(movable) == 0 {
			delete(b.pending.moves, l)
		}
		attempts = append(attempts, movable...)
	}
	slices.SortFunc(attempts, func(x, y *Attempt) int {
		return cmp.Or(strings.Compare(x.Worker, y.Worker), x.Task.Compare(y.Task))
	})
	moves := 0
	for _, a := range attempts {
		if moves == maxMoves {
			break
		}
		b.lookAt(a.entry, a.stepKey(), now)
		l := b.jobs[a.Task.Job].lastingStep(a.stepKey())
		if !l.mayStop(a.Task) {
			continue
		}
		e := b.jobs[a.Task.Job]
		if to := b.chooseOpen(e, a.step, a.Task, false, now); to != nil {
			a.reschedule = true
			b.requestStop(a)
			b.promise(e, a.Task, to)
			moves++
		}
	}
}

// maxMoves limits the long-running tasks that a decision begins to move. The next ones move the
// rest.
const maxMoves = 256

// fitsElsewhere reports whether another worker has room for a long-running task. The answer
// is the same for all attempts of a step but for those beside other attempts of their task.
func (b *Board) fitsElsewhere(a *Attempt, now time.Time) bool {
	e := b.jobs[a.Task.Job]
	claim := a.step.Claim()
	for _, w := range b.pending.room.atLeast(claim.Millicores) {
		b.examined++
		if w.Key != a.Worker && claim.Fits(w.free()) && b.eligible(e, a.step, a.Task, w, now) {
			return true
		}
	}
	return false
}

// The classes of candidates, in scheduling order.
const (
	classLongRunning = iota
	classOnTime
	classStandby // would be on time, but the pool has too much to do
	classLate    // misses its objective, but has not expired
	classBestEffort
	classExcess  // beyond the rate of their organisations, in an overload
	classExpired // worthless to the caller, but accepted jobs are still run
)

// placeTasks starts waiting tasks on workers with free capacity, and moves long-running
// ones. Those that are down come before those that move, and both before batch tasks.
func (b *Board) placeTasks(o *Orders, now time.Time) {
	for _, w := range b.reservations {
		if b.workers[w.Key] == w {
			b.pending.setReserved(w, false)
		}
	}
	b.reservations, b.rejected = nil, rejections{}
	b.releaseArriving()
	b.planOverload(now)
	candidates := b.candidates(now)
	b.reviewReservations(now)
	b.startsLeft, b.lastingLeft, b.reservationsLeft = b.startLimit, b.lastingLimit, maxBatchReservations
	lasting := 0
	for lasting < len(candidates) && candidates[lasting].class == classLongRunning {
		lasting++
	}
	b.beginPass(passLongRunning)
	b.placeCandidates(o, candidates[:lasting], now)
	b.beginPass(passSuspects)
	b.placeSuspects(o, candidates, now)
	b.beginPass(passMoves)
	b.adviseMoves(o, now)
	b.moveLongRunning(now)
	b.beginPass(passBatch)
	b.placeCandidates(o, candidates[lasting:], now)
}

// maxBatchReservations limits the workers that a decision reserves for large batch tasks.
const maxBatchReservations = 1

// placeCandidates starts the tasks of steps on workers with free capacity, but for suspects.
// An earlier pass of the decision may have left none of a step's tasks waiting.
func (b *Board) placeCandidates(o *Orders, candidates []candidate, now time.Time) {
	largest, largestWorker := b.pending.largestWorkerMillicores(), b.pending.largestWorker()
	for _, c := range candidates {
		if !b.lookAt(c.entry, c.key, now) {
			continue
		}
		t, found := c.firstInnocent()
		if !found {
			continue
		}
		step := &c.entry.job.Steps[c.key.step]
		if b.heldUp(c.entry, step) {
			continue
		}
		if !step.LongRunning && b.startsLeft <= 0 {
			b.noteLimit(step, now)
			continue
		}
		if b.needsTickets(c.entry) && !b.ensureTickets(o, c.entry, c.key, t, now) {
			continue
		}
		if !step.LongRunning && b.holdsEnough(c.entry) {
			b.noteLimit(step, now)
			continue
		}
		if step.Gang {
			b.placeGang(o, c, now)
			continue
		}
		large := float64(step.Size.Millicores) > b.policy.ReserveShare*float64(largest)
		mayReserve := step.LongRunning && !step.BestEffort || large && b.reservationsLeft > 0 && c.class == classOnTime
		mayReserveAhead := b.ahead.on && !step.LongRunning && b.mayReserveAhead(c, largestWorker)
		if !step.LongRunning && !mayReserve && !mayReserveAhead && b.rejected.covers(step.Claim()) && !b.mayUseReserved(c) {
			continue // in a load peak most steps wait for room of which there is none
		}
		b.placeStep(o, c, now)
		t, left := c.firstInnocent()
		switch {
		case !left || b.heldUp(c.entry, step) || step.LongRunning && b.lastingLeft <= 0:
		case mayReserveAhead && b.reserveAhead(c, t, now):
		case mayReserve && (step.LongRunning || !b.ahead.on || mayReserveAhead):
			b.reserveWorker(c.entry, step, t, now)
			b.reservationsLeft--
		}
	}
}

// holdsEnough reports whether the attempt limit keeps batch tasks of a job from starting. Each job
// may have an attempt, however many there are.
func (b *Board) holdsEnough(e *jobEntry) bool {
	return b.attempts >= b.attemptLimit && len(e.attempts) > 0
}

// noteLimit records that a limit of the owner holds a step's tasks back, unless they have no room
// anyway.
func (b *Board) noteLimit(step *jobs.Step, now time.Time) {
	if b.limitedAt.Equal(now) {
		return
	}
	claim := step.Claim()
	if slices.ContainsFunc(b.pending.room.atLeast(claim.Millicores), func(w *worker) bool { return claim.Fits(w.free()) }) {
		b.limitedAt = now
	}
}

// reserveWorker reserves the worker with the most free millicores for a task that
// does not fit anywhere yet, among those where it will fit once their batch tasks end.
func (b *Board) reserveWorker(e *jobEntry, step *jobs.Step, t jobs.Task, now time.Time) {
	if !b.hasLabel(step.Label) {
		return
	}
	workers := b.pending.room.workers
	for len(workers) > 0 {
		most := workers[len(workers)-1].free().Millicores
		roomiest := b.pending.room.atLeast(most)[:len(workers)-b.pending.room.below(most)]
		for _, w := range roomiest {
			b.examined++
			if step.Claim().Fits(w.Size.Sub(w.lastingClaims())) && b.eligible(e, step, t, w, now) {
				b.pending.setReserved(w, true)
				b.reservations = append(b.reservations, w)
				return
			}
		}
		workers = workers[:len(workers)-len(roomiest)]
	}
}

// hasLabel reports whether any worker has a label. All have the empty one.
func (b *Board) hasLabel(label string) bool { return label == "" || b.pending.labels[label] > 0 }

// placeStep starts as many tasks of a step as fit, but for its suspects.
func (b *Board) placeStep(o *Orders, c candidate, now time.Time) {
	e := c.entry
	step := &e.job.Steps[c.key.step]
	for t := range c.innocents() {
		if b.unconfirmed(e, now) && !step.Speculative || b.heldUp(e, step) {
			break
		}
		if !step.LongRunning && b.startsLeft <= 0 {
			b.noteLimit(step, now)
			break
		}
		if step.LongRunning && b.lastingLeft <= 0 {
			break
		}
		if !step.LongRunning && b.holdsEnough(e) {
			b.noteLimit(step, now)
			break
		}
		w := b.chooseWithReservations(c, t, now)
		if w == nil {
			break
		}
		b.startAttempt(o, e, w, t, max(b.baseAttempt, e.lastAttempt[t])+1, now)
		c.queue().remove(t.Index)
	}
}

// unconfirmed reports whether tasks of a job may be running undetected on a worker
// that has not answered since this owner took over.
func (b *Board) unconfirmed(e *jobEntry, now time.Time) bool {
	return now.Before(b.unconfirmedUntil) && e.inherited
}

func (b *Board) startAttempt(o *Orders, e *jobEntry, w *worker, t jobs.Task, number int, now time.Time) {
	a := &Attempt{Task: t, Number: number, Worker: w.Key, Phase: Starting, OrderedAt: now, PercentChangedAt: now}
	b.addAttempt(e, w, a)
	e.lastStart[t] = number
	if a.step.LongRunning {
		b.lastingLeft--
	} else {
		b.startsLeft--
	}
	if len(e.progress.Crashes(t)) > 0 {
		w.trial = a
	}
	order := StartOrder{Worker: w.Key, Task: t, Attempt: number, Spec: e.job.Spec, Checkpoint: e.progress.Checkpoint(t)}
	order.Ticket = e.advice[stepKey{t.Occurrence, t.Step}].ticketFor(w.Key, now)
	o.Starts = append(o.Starts, order)
}

// Placement costs, on the scale of millicores left free on the worker.
const (
	costOtherRack    = 1 << 24 // the task runs longer there
	costSameStep     = 1 << 22 // per attempt of the same step on the worker; long-running tasks spread
	costSameRack     = 1 << 20 // per attempt of the same step on the rack
	costInterference = 1 << 21 // per best-effort task beside a latency-sensitive one, or the reverse
)

// placeGang starts all tasks of a gang, or none if they don't all fit.
func (b *Board) placeGang(o *Orders, c candidate, now time.Time) {
	e := c.entry
	step := &e.job.Steps[c.key.step]
	if c.queue().len() < step.Count || b.unconfirmed(e, now) || !b.mayFitGang(step) {
		return
	}
	number := b.baseAttempt
	for t := range c.innocents() {
		number = max(number, e.lastAttempt[t])
	}
	b.trying = true
	defer func() { b.trying = false }()
	var trial Orders
	for t := range c.innocents() {
		w := b.chooseWorker(e, step, t, now)
		if w == nil {
			for _, s := range trial.Starts {
				b.undoStart(e, s)
			}
			return
		}
		b.startAttempt(&trial, e, w, t, number+1, now)
	}
	c.queue().clear()
	o.Starts = append(o.Starts, trial.Starts...)
}

// mayFitGang reports whether there may be room for all tasks of a gang. Without a look ahead, a
// decision would place most of them before it finds that the last ones don't fit.
func (b *Board) mayFitGang(step *jobs.Step) bool {
	if step.LongRunning {
		return true // also on workers that are reserved, vacated or quarantined
	}
	claim, room := step.Claim(), 0
	for _, w := range b.pending.room.atLeast(claim.Millicores) {
		b.examined++
		if room += min(step.Count, claim.Count(w.free())); room >= step.Count {
			return true
		}
	}
	return false
}

// undoStart removes an attempt whose start order was never sent.
func (b *Board) undoStart(e *jobEntry, s StartOrder) {
	w := b.workers[s.Worker]
	a := w.attempts[s.Task]
	b.detach(a)
	delete(e.attempts, s.Task)
	b.lastingChanged(a)
	e.lastAttempt[s.Task], e.lastStart[s.Task] = s.Attempt-1, s.Attempt-1
	if a.step.LongRunning {
		b.lastingLeft++
	} else {
		b.startsLeft++
	}
}
