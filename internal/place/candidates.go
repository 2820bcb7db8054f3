package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// candidate is a step with waiting tasks.
type candidate struct {
	entry       *jobEntry
	key         stepKey
	class       int       // lowest first
	begun       int       // 1 if a task of the job has been started, in classStandby
	newestFirst bool      // among those that stand by: the newest can wait longest, so that they may still be on time
	share       float64   // what the job's organisation has had for its weight
	latestStart time.Time // that still meets the objective, or the expiry of a late job
}

func (c candidate) queue() *taskQueue { return c.entry.waiting[c.key] }

func (c candidate) task(index int) jobs.Task {
	return jobs.Task{Job: c.entry.job.ID, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
}

// candidates returns all steps with waiting tasks in scheduling order: by class,
// then by priority, then by latest start. The order changes little from one decision to
// the next, which makes sorting the last one cheap.
func (b *Board) candidates(now time.Time) []candidate {
	b.beginPass(passCandidates)
	steps := b.pending.steps[:0]
	queue, factor := "", b.estimates.factor("")
	for _, c := range b.pending.steps {
		b.examined++
		if c.entry.job.Queue != queue {
			queue, factor = c.entry.job.Queue, b.estimates.factor(c.entry.job.Queue)
		}
		if c.queue().len() == 0 {
			c.entry.dropQueue(c.key)
			continue
		}
		if b.lookAt(c.entry, c.key, now) {
			c = newCandidate(c.entry, c.key, factor, now)
			b.rankOrganisation(&c, now)
		}
		steps = append(steps, c) // also one of a suspended job, which the passes skip
	}
	b.focus.entry = nil
	clear(b.pending.steps[len(steps):])
	b.pending.steps = steps
	slices.SortFunc(steps, compareCandidates)
	return steps
}

func compareCandidates(x, y candidate) int {
	if x.class != y.class {
		return cmp.Compare(x.class, y.class)
	}
	if x.entry.job.Priority != y.entry.job.Priority {
		return cmp.Compare(x.entry.job.Priority, y.entry.job.Priority)
	}
	if x.class >= classStandby && x.share != y.share {
		return cmp.Compare(x.share, y.share)
	}
	if x.class == classStandby && x.begun != y.begun {
		return cmp.Compare(y.begun, x.begun)
	}
	if order := x.latestStart.Compare(y.latestStart); order != 0 {
		if x.newestFirst && y.newestFirst {
			return -order
		}
		return order
	}
	return cmp.Or(
		strings.Compare(string(x.entry.job.ID), string(y.entry.job.ID)),
		cmp.Compare(x.key.occurrence, y.key.occurrence),
		cmp.Compare(x.key.step, y.key.step),
	)
}

// expiryFactor is the multiple of its objective after which a job's result is
// worthless to its caller.
const expiryFactor = 3

// newCandidate returns a step whose run times are factor times the declared ones.
func newCandidate(e *jobEntry, key stepKey, factor float64, now time.Time) candidate {
	step := &e.job.Steps[key.step]
	criticalPath := e.longestPath
	scaled := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	c := candidate{entry: e, key: key, class: classOnTime}
	c.latestStart = e.job.Objective(key.occurrence, scaled(criticalPath)).Add(-scaled(e.criticalPaths[key.step]))
	switch {
	case step.LongRunning && step.BestEffort:
		c.class = classBestEffort
	case step.LongRunning:
		c.class = classLongRunning
	case c.latestStart.Before(now):
		due := e.job.Due(key.occurrence)
		end := due.Add(expiryFactor * e.job.Objective(key.occurrence, scaled(criticalPath)).Sub(due))
		c.class, c.latestStart = classLate, end.Add(-scaled(e.criticalPaths[key.step]))
		if c.latestStart.Before(now) {
			c.class = classExpired
		}
	case e.standing.standby:
		c.class = classStandby
		if e.begun() {
			c.begun = 1
		}
	}
	return c
}

// eligible reports whether a worker may run a task of a step, regardless of its free
// capacity.
func (b *Board) eligible(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	return w.acceptsTasks() && b.suits(e, step, t, w, now)
}

// suits is [Board.eligible] for a worker that may be about to be vacated.
func (b *Board) suits(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	return !(w.health.quarantined(b.policy, now) && b.quarantineAllowed(now)) && b.suitsSick(e, step, t, w, now)
}

// suitsSick is [Board.suits] for a worker that may be quarantined.
func (b *Board) suitsSick(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	if w.onTrial(b.policy, t, now) || now.Before(w.pausedUntil) || !w.hasLabel(step.Label) || w.attempts[t] != nil {
		return false
	}
	if step.MaxPerWorker > 0 && e.countOnWorker(stepKey{t.Occurrence, t.Step}, w) >= step.MaxPerWorker {
		return false
	}
	if b.needsTickets(e) {
		return e.advice[stepKey{t.Occurrence, t.Step}].ticketFor(w.Key, now) != ""
	}
	return true
}

// quarantineAllowed reports whether at most MaxQuarantinedShare of the workers are
// quarantined. With more, the cause is probably not the workers.
func (b *Board) quarantineAllowed(now time.Time) bool {
	if q := &b.pending.quarantine; !q.known || !q.at.Equal(now) {
		quarantined := 0
		for _, w := range b.pending.failing {
			b.examined++
			if w.health.quarantined(b.policy, now) {
				quarantined++
			}
		}
		*q = quarantineCheck{known: true, at: now, allowed: float64(quarantined) <= b.policy.MaxQuarantinedShare*float64(len(b.workers))}
	}
	return b.pending.quarantine.allowed
}

// chooseWorker returns the worker with the lowest placement cost for a task, nil if
// none fits.
func (b *Board) chooseWorker(e *jobEntry, step *jobs.Step, t jobs.Task, now time.Time) *worker {
	best := b.chooseOpen(e, step, t, step.LongRunning && !step.BestEffort, now)
	switch {
	case best != nil:
	case step.LongRunning && !step.BestEffort:
		return b.chooseLastResort(e, step, t, now)
	case b.rejectsAll(e, step, t):
		b.rejected.add(step.Claim())
	}
	return best
}

// chooseOpen is [Board.chooseWorker] among the workers that accept tasks, with those that
// are reserved or without.
func (b *Board) chooseOpen(e *jobEntry, step *jobs.Step, t jobs.Task, reserved bool, now time.Time) *worker {
	claim := step.Claim()
	if !step.LongRunning && b.rejected.covers(claim) || !b.hasLabel(step.Label) {
		return nil
	}
	tightest := !step.LongRunning && step.Rack == "" && !step.RackLocal // the first that fits costs least
	rooms := []*roomIndex{&b.pending.room}
	if reserved {
		rooms = append(rooms, &b.pending.reserved)
	}
	var best *worker
	var bestCost int64
	for _, room := range rooms {
		for _, w := range room.atLeast(claim.Millicores) {
			b.examined++
			if !claim.Fits(w.free()) || !b.accepts(e, step, t, w, now) {
				continue
			}
			if tightest {
				return w
			}
			cost := b.placementCost(e, step, t, w)
			if best == nil || cost < bestCost || cost == bestCost && w.Key < best.Key {
				best, bestCost = w, cost
			}
		}
	}
	return best
}

// chooseLastResort returns the worker with the lowest placement cost for a long-running task
// among those that are spared as long as others have room: workers that are to be vacated
// but still run tasks, and quarantined ones. The task is better off there than down. An
// empty vacated worker may be ordered away at any moment.
func (b *Board) chooseLastResort(e *jobEntry, step *jobs.Step, t jobs.Task, now time.Time) *worker {
	var best *worker
	var bestCost int64
	consider := func(w *worker) {
		b.examined++
		if !step.Claim().Fits(w.free()) || !b.suitsSick(e, step, t, w, now) {
			return
		}
		if cost := b.placementCost(e, step, t, w); best == nil || cost < bestCost || cost == bestCost && w.Key < best.Key {
			best, bestCost = w, cost
		}
	}
	for _, w := range b.pending.vacated {
		if !w.Draining && !w.Silent && !w.Closed && len(w.attempts) > 0 {
			consider(w)
		}
	}
	for _, w := range b.pending.failing {
		if w.acceptsTasks() && w.health.quarantined(b.policy, now) {
			consider(w)
		}
	}
	return best
}

// MaxStarting limits the starts of batch tasks that a worker has not answered yet, but for gangs.
// Its owner queues no more of them.
const MaxStarting = 128

// accepts reports whether a worker may run a task of a step now, regardless of its free
// capacity.
func (b *Board) accepts(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	if !b.eligible(e, step, t, w, now) {
		return false
	}
	if !step.LongRunning && !step.Gang && w.starting >= MaxStarting {
		return false
	}
	if step.LongRunning || !w.health.onProbation(b.policy, now) {
		return true
	}
	// On probation: one batch task at a time, and at first none that failed before. A gang counts
	// as one, since it runs and fails as a whole.
	others := w.batchAttempts()
	if step.Gang {
		others -= e.countOnWorker(stepKey{t.Occurrence, t.Step}, w)
	}
	return others == 0 && (e.progress.Failures(t) == 0 || now.Sub(w.health.lastFailure) >= b.policy.QuarantineTime)
}

// rejectsAll reports whether a task for which no worker was found is one that any worker
// might have run, so that larger tasks find none either.
func (b *Board) rejectsAll(e *jobEntry, step *jobs.Step, t jobs.Task) bool {
	return !b.trying && !step.LongRunning && step.Label == "" && step.MaxPerWorker == 0 && !b.needsTickets(e) &&
		e.progress.Failures(t) == 0 && len(e.attempts[t]) == 0
}

// placementCost returns the cost of running a task on a worker. Batch tasks are
// packed tightly, long-running tasks are spread over workers and racks.
func (b *Board) placementCost(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker) int64 {
	var cost int64
	key := stepKey{t.Occurrence, t.Step}
	if step.Rack != "" && w.Rack != step.Rack || step.RackLocal && e.runsOnOtherRack(key, w.Rack) {
		cost += costOtherRack
	}
	if !step.LongRunning {
		return cost + int64(w.free().Millicores)
	}
	cost += int64(e.countOnWorker(key, w)) * costSameStep
	cost += int64(e.countOnRack(t.Step, w.Rack)) * costSameRack
	cost += int64(w.interfering(step)) * costInterference
	if len(w.attempts) > 0 {
		cost -= costSameRack / 2 // prefer hosts in use: idle hosts can be released
	}
	return cost - int64(w.free().Millicores)
}
