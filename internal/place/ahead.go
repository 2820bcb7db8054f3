package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/ahead"
	"github.com/papayarudder/papayarudder/internal/jobs"
)

// With look-ahead, large batch tasks that fit no worker reserve the ones where they are expected
// to fit first. A reservation lasts over several decisions. Tasks that do not delay its start
// are backfilled on its worker meanwhile. See docs/design/look-ahead.md.
const (
	// reservedWorkers is the number of workers that accept tasks for each one that may be reserved.
	reservedWorkers = 8
	// maxReservations limits the workers that are reserved at a time in a pool of any size.
	maxReservations = 16
	// reservationHorizon is how far ahead the start of a reservation may be expected.
	reservationHorizon = 4 * time.Second
	// maxReservationAge is how long a reservation may keep room.
	maxReservationAge = 2 * time.Second
	// reservationScans limits the steps for which a decision looks for workers to reserve.
	reservationScans = 2
	// scannedWorkers limits the workers that are compared for a step, those with most room first.
	scannedWorkers = 32
	// sureShare is the share of a queue's tasks that have ended by the time after which one is taken
	// to have ended surely.
	sureShare = 0.95
	// firstSureRatio is the multiple of the expected run time that is assumed for it at first.
	firstSureRatio = 4
	// yieldMargin is the time before its latest start from which on an urgent task need not wait
	// for a reservation of a less urgent one.
	yieldMargin = 200 * time.Millisecond
	// maxYieldAge is how long after it was submitted the reservations of a job yield.
	maxYieldAge = 3 * time.Second
)

// GiveUpCause is why a reservation was given up.
type GiveUpCause string

// The causes.
const (
	CauseEnded      GiveUpCause = "job-ended" // cancelled, for example
	CauseNoTask     GiveUpCause = "started-elsewhere"
	CauseWorkerGone GiveUpCause = "worker-gone"     // its lifetime has ended
	CauseClosed     GiveUpCause = "worker-closed"   // it drains, is silent or to be vacated, or closed
	CauseUnfit      GiveUpCause = "worker-unfit"    // it refused a start, failed tasks or lacks a ticket
	CauseNoRoom     GiveUpCause = "no-room-in-time" // it is not expected to fit within the horizon
	CauseAge        GiveUpCause = "too-old"
	CauseQuota      GiveUpCause = "quota"
	CauseUrgent     GiveUpCause = "urgent-task" // that took the room
	CauseSuspended  GiveUpCause = "job-suspended"
)

// Reservations counts what became of reservations.
type Reservations struct {
	Made       int
	Used       int
	Backfilled int // tasks that started beside one
	GivenUp    map[GiveUpCause]int
	Kept       time.Duration // core time that was kept free, at most
}

// lookAhead is the state of a board that looks ahead.
type lookAhead struct {
	on            bool
	reservations  []*reservation
	mostFree      jobs.Resources // on any reserved worker, at least
	scansLeft     int            // of reservationScans, for the present decision
	backfillsLeft int            // looks at reserved workers, for the present decision
	countedAt     time.Time      // when Kept was last updated
	counts        Reservations
	ratios        map[string]*runRatios // by queue
}

// runRatios are what the run times of a queue's tasks are.
type runRatios struct {
	median ahead.Quantile // multiple of the declared run time
	// Multiples of the expected run time within which tasks surely end: of steps of which others
	// have ended, and of steps of which none has.
	sureTypical  ahead.Quantile
	sureDeclared ahead.Quantile
}

func newRunRatios() *runRatios {
	sure := ahead.NewQuantile(sureShare, firstSureRatio)
	return &runRatios{ahead.NewQuantile(0.5, 1), sure, sure}
}

// sure returns the ratio within which tasks surely end.
func (r *runRatios) sure(typical bool) *ahead.Quantile {
	if typical {
		return &r.sureTypical
	}
	return &r.sureDeclared
}

// ratiosOf returns the ratios of a queue.
func (l *lookAhead) ratiosOf(queue string) *runRatios {
	if r := l.ratios[queue]; r != nil {
		return r
	}
	return newRunRatios()
}

// reservation keeps room on a worker for one task of a step.
type reservation struct {
	ahead.Reservation
	candidate candidate // the step and its place in the order
	worker    *worker
	madeAt    time.Time
}

// runTimes sums up the run times of a step's finished tasks.
type runTimes struct {
	sum time.Duration
	n   int
}

func (r runTimes) mean() time.Duration { return r.sum / time.Duration(max(1, r.n)) }

// SetLookAhead sets whether placement looks ahead.
func (b *Board) SetLookAhead(on bool) {
	if on == b.ahead.on {
		return
	}
	b.recordStep(Step{Kind: StepLookAhead, Flag: on})
	b.ahead.on = on
	for !on && len(b.ahead.reservations) > 0 {
		b.dropReservation(b.ahead.reservations[0])
	}
}

// TakeReservations returns the counts since the last call.
func (b *Board) TakeReservations() Reservations {
	counts := b.ahead.counts
	b.ahead.counts = Reservations{}
	return counts
}

// recordRunTime records the run time of a task that is done.
func (b *Board) recordRunTime(e *jobEntry, a *Attempt, runTime time.Duration, now time.Time) {
	if !b.ahead.on || a.firstPercent > 0 || a.step.Checkpoints && a.Number > b.baseAttempt+1 {
		return // an earlier attempt or owner has seen part of the work
	}
	ratios := b.ahead.ratios[e.job.Queue]
	if ratios == nil {
		ratios = newRunRatios()
		if b.ahead.ratios == nil {
			b.ahead.ratios = map[string]*runRatios{}
		}
		b.ahead.ratios[e.job.Queue] = ratios
	}
	if expected := b.newRun(e, a.stepKey(), now).End(now).Sub(now); expected > 0 {
		ratios.sure(e.runTimes[a.stepKey()].n > 0).Add(float64(runTime) / float64(expected))
	}
	if a.step.Estimate > 0 {
		ratios.median.Add(float64(runTime) / float64(a.step.Estimate))
	}
	if e.runTimes == nil {
		e.runTimes = map[stepKey]runTimes{}
	}
	r := e.runTimes[a.stepKey()]
	e.runTimes[a.stepKey()] = runTimes{r.sum + runTime, r.n + 1}
}

// run returns what is known of an attempt's run.
func (b *Board) run(a *Attempt, now time.Time) ahead.Run {
	if a.Phase == Stopping || a.Phase == Unconfirmed {
		return ahead.Run{Claim: a.step.Claim(), Since: now, Typical: b.policy.StopTime}
	}
	since := a.ConfirmedAt
	if since.IsZero() {
		since = a.OrderedAt
	}
	r := b.newRun(a.entry, a.stepKey(), since)
	r.FirstPercent, r.Percent, r.ListedAt = a.firstPercent, a.Percent, a.PercentChangedAt
	return r
}

// newRun returns what is known of a run of a step's task that starts.
func (b *Board) newRun(e *jobEntry, key stepKey, since time.Time) ahead.Run {
	step := &e.job.Steps[key.step]
	return ahead.Run{
		Claim: step.Claim(), Since: since, Typical: e.runTimes[key].mean(),
		Estimate: time.Duration(b.ahead.ratiosOf(e.job.Queue).median.Value() * float64(step.Estimate)),
	}
}

// sureEnd returns by when a step's task that starts now surely has ended.
func (b *Board) sureEnd(e *jobEntry, key stepKey, now time.Time) time.Time {
	expected := b.newRun(e, key, now).End(now).Sub(now)
	return now.Add(time.Duration(b.sureRatio(e, key) * float64(expected)))
}

// sureRatio returns the multiple of its expected run time within which a step's task surely ends.
func (b *Board) sureRatio(e *jobEntry, key stepKey) float64 {
	return b.ahead.ratiosOf(e.job.Queue).sure(e.runTimes[key].n > 0).Value()
}

// timeline returns when room on a worker comes free.
func (b *Board) timeline(w *worker, now time.Time) ahead.Timeline {
	b.examined += uint64(len(w.attempts))
	runs := make([]ahead.Run, 0, len(w.attempts))
	for _, a := range w.attempts {
		if !a.step.LongRunning {
			runs = append(runs, b.run(a, now))
		}
	}
	return ahead.NewTimeline(w.free(), runs, now)
}

// reviewReservations brings the reservations up to date and gives up those that are of no use.
func (b *Board) reviewReservations(now time.Time) {
	l := &b.ahead
	if !l.on {
		return
	}
	b.beginPass(passReservations)
	b.countKept(now)
	l.mostFree = jobs.Resources{}
	for _, r := range slices.Clone(l.reservations) {
		b.examined++
		if cause := b.reviewReservation(r, now); cause != "" {
			b.giveUpReservation(r, cause)
			continue
		}
		if !r.worker.reserved { // a suspect's reservation of the last decision is over
			b.pending.setReserved(r.worker, true)
		}
		l.mostFree = l.mostFree.Max(r.worker.free())
	}
	l.scansLeft, l.backfillsLeft = reservationScans, len(b.workers)+len(b.pending.steps)
}

// reviewReservation updates a reservation. It returns why it is to be given up, "" if it is not.
func (b *Board) reviewReservation(r *reservation, now time.Time) GiveUpCause {
	e, key, w := r.candidate.entry, r.candidate.key, r.worker
	step := &e.job.Steps[key.step]
	if e.progress.Final != "" || b.jobs[e.job.ID] != e {
		return CauseEnded
	}
	if !b.lookAt(e, key, now) {
		return CauseSuspended
	}
	r.candidate = newCandidate(e, key, b.estimates.factor(e.job.Queue), now)
	b.rankOrganisation(&r.candidate, now)
	t, found := r.candidate.firstInnocent()
	switch {
	case b.workers[w.Key] != w:
		return CauseWorkerGone
	case !w.acceptsTasks():
		return CauseClosed
	case !found || r.candidate.countInnocents() < e.reserved[key]:
		return CauseNoTask
	case !b.fitForReservation(e, step, t, w, now):
		return CauseUnfit
	case now.Sub(r.madeAt) > maxReservationAge:
		return CauseAge
	case !b.withinAllotment(e, jobs.Resources{}):
		return CauseQuota
	}
	next, ok := ahead.Reserve(b.timeline(w, now), r.Claim, now)
	if !ok || next.Start.Sub(now) > reservationHorizon {
		return CauseNoRoom
	}
	r.Reservation = next
	return ""
}

// fitForReservation reports whether a worker suits a task but for its free room.
func (b *Board) fitForReservation(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) bool {
	return step.Claim().Fits(w.Size.Sub(w.lastingClaims()).Sub(w.unexpected)) && b.eligible(e, step, t, w, now) && !w.health.onProbation(b.policy, now)
}

// withinAllotment reports whether an organisation's allotment covers a claim besides what its
// attempts claim and its reservations are for.
func (b *Board) withinAllotment(e *jobEntry, claim jobs.Resources) bool {
	for _, r := range b.ahead.reservations {
		if r.candidate.entry.job.Organisation == e.job.Organisation {
			claim = claim.Add(r.Claim)
		}
	}
	o := b.organisationOf(e)
	return o.claimed.Add(claim).Fits(o.allotment)
}

// countKept adds the room that has been kept free since the last decision.
func (b *Board) countKept(now time.Time) {
	l := &b.ahead
	if since := now.Sub(l.countedAt); !l.countedAt.IsZero() && since > 0 {
		for _, r := range l.reservations {
			l.counts.Kept += since * time.Duration(max(0, min(r.Claim.Millicores, r.worker.free().Millicores))) / 1000
		}
	}
	l.countedAt = now
}

// giveUpReservation gives up a reservation and counts why.
func (b *Board) giveUpReservation(r *reservation, cause GiveUpCause) {
	if b.ahead.counts.GivenUp == nil {
		b.ahead.counts.GivenUp = map[GiveUpCause]int{}
	}
	b.ahead.counts.GivenUp[cause]++
	b.dropReservation(r)
}

// dropReservation frees a reservation's worker. As that adds room, rejections no longer hold.
func (b *Board) dropReservation(r *reservation) {
	e, key := r.candidate.entry, r.candidate.key
	b.ahead.reservations = slices.DeleteFunc(b.ahead.reservations, func(o *reservation) bool { return o == r })
	if e.reserved[key]--; e.reserved[key] == 0 {
		delete(e.reserved, key)
	}
	if b.workers[r.worker.Key] == r.worker {
		b.pending.setReserved(r.worker, false)
	}
	b.rejected = rejections{}
}

// chooseWithReservations is [Board.chooseWorker] for a task of a candidate, which may have
// reservations or be backfilled on the workers of others.
func (b *Board) chooseWithReservations(c candidate, t jobs.Task, now time.Time) *worker {
	step := &c.entry.job.Steps[c.key.step]
	if !b.ahead.on || step.LongRunning {
		return b.chooseWorker(c.entry, step, t, now)
	}
	if w := b.useReservation(c, step, t, now); w != nil {
		return w
	}
	if w := b.chooseWorker(c.entry, step, t, now); w != nil {
		return w
	}
	return b.backfill(c, step, t, now)
}

// useReservation returns the worker that is reserved for a task if the task fits there now.
func (b *Board) useReservation(c candidate, step *jobs.Step, t jobs.Task, now time.Time) *worker {
	if c.entry.reserved[c.key] == 0 {
		return nil
	}
	for _, r := range b.ahead.reservations {
		b.examined++
		if r.candidate.entry == c.entry && r.candidate.key == c.key && r.Claim.Fits(r.worker.free()) && b.accepts(c.entry, step, t, r.worker, now) {
			b.ahead.counts.Used++
			b.dropReservation(r)
			return r.worker
		}
	}
	return nil
}

// mayUseReserved reports whether a step may find room on reserved workers.
func (b *Board) mayUseReserved(c candidate) bool {
	l := &b.ahead
	return len(l.reservations) > 0 && (c.entry.reserved[c.key] > 0 || l.backfillsLeft > 0 && c.entry.job.Steps[c.key.step].Claim().Fits(l.mostFree))
}

// backfill returns a worker that is reserved for another task and has room for this one, which
// does not delay the other, or is too urgent to wait for it.
func (b *Board) backfill(c candidate, step *jobs.Step, t jobs.Task, now time.Time) *worker {
	l, claim := &b.ahead, step.Claim()
	if !claim.Fits(l.mostFree) {
		return nil
	}
	var end time.Time
	for _, r := range l.reservations {
		if l.backfillsLeft <= 0 {
			return nil
		}
		l.backfillsLeft--
		b.examined++
		if !claim.Fits(r.worker.free()) || !b.accepts(c.entry, step, t, r.worker, now) {
			continue
		}
		if end.IsZero() {
			end = b.sureEnd(c.entry, c.key, now)
		}
		switch {
		case r.Admits(claim, end):
			if end.After(r.Start) {
				r.Spare = r.Spare.Sub(claim)
			}
			l.counts.Backfilled++
			return r.worker
		case r.yieldsTo(c, now):
			b.giveUpReservation(r, CauseUrgent)
			return r.worker
		}
	}
	return nil
}

// yieldsTo reports whether a reservation gives way to a task that goes before it and misses its
// objective soon.
func (r *reservation) yieldsTo(c candidate, now time.Time) bool {
	return c.class == classOnTime && c.latestStart.Sub(now) < yieldMargin && compareCandidates(c, r.candidate) < 0 &&
		now.Sub(r.candidate.entry.job.Due(r.candidate.key.occurrence)) < maxYieldAge
}

// reservationsAllowed returns how many workers may be reserved at a time.
func (b *Board) reservationsAllowed() int {
	open := len(b.pending.room.workers) + len(b.pending.reserved.workers)
	return min(maxReservations, max(1, open/reservedWorkers))
}

// mayReserveAhead reports whether a step of batch tasks may reserve workers.
func (b *Board) mayReserveAhead(c candidate, largest jobs.Resources) bool {
	l, step := &b.ahead, &c.entry.job.Steps[c.key.step]
	return l.scansLeft > 0 && len(l.reservations) < b.reservationsAllowed() &&
		(c.class == classOnTime || c.class == classLate) && dominantShare(step.Claim(), largest) > b.policy.ReserveShare
}

// dominantShare returns the larger of the shares of processor time and memory that a claim takes.
func dominantShare(claim, size jobs.Resources) float64 {
	return max(float64(claim.Millicores)/float64(max(1, size.Millicores)), float64(claim.MemoryMB)/float64(max(1, size.MemoryMB)))
}

// reserveAhead reserves workers for tasks of a step that fit no worker now. It reports whether
// the step has any.
func (b *Board) reserveAhead(c candidate, t jobs.Task, now time.Time) bool {
	e, l := c.entry, &b.ahead
	step := &e.job.Steps[c.key.step]
	n := min(c.countInnocents()-e.reserved[c.key], b.reservationsAllowed()-len(l.reservations))
	if n <= 0 || b.unconfirmed(e, now) && !step.Speculative || !b.hasLabel(step.Label) || !b.withinAllotment(e, step.Claim()) {
		return e.reserved[c.key] > 0
	}
	l.scansLeft--
	var found []*reservation
	workers := b.pending.room.workers
	for _, w := range workers[max(0, len(workers)-scannedWorkers):] {
		b.examined++
		if !b.fitForReservation(e, step, t, w, now) {
			continue
		}
		if r, ok := ahead.Reserve(b.timeline(w, now), step.Claim(), now); ok && r.Start.Sub(now) <= reservationHorizon {
			found = append(found, &reservation{r, c, w, now})
		}
	}
	slices.SortFunc(found, func(x, y *reservation) int {
		return cmp.Or(x.Start.Compare(y.Start), strings.Compare(x.worker.Key, y.worker.Key))
	})
	for _, r := range found[:min(n, len(found))] {
		if !b.withinAllotment(e, r.Claim) {
			break
		}
		if e.reserved == nil {
			e.reserved = map[stepKey]int{}
		}
		e.reserved[c.key]++
		l.reservations = append(l.reservations, r)
		l.mostFree = l.mostFree.Max(r.worker.free())
		l.counts.Made++
		b.pending.setReserved(r.worker, true)
	}
	return e.reserved[c.key] > 0
}

// roundedDemand returns what waiting tasks claim, with the rest of a worker that a large
// one leaves unused.
func roundedDemand(step *jobs.Step, tasks int, largest jobs.Resources, reserveShare float64) int {
	claim := step.Claim()
	if step.LongRunning || claim.Millicores == 0 || dominantShare(claim, largest) <= reserveShare || !claim.Fits(largest) {
		return tasks * claim.Millicores
	}
	perWorker := largest.Millicores / claim.Millicores
	if claim.MemoryMB > 0 {
		perWorker = min(perWorker, largest.MemoryMB/claim.MemoryMB)
	}
	return tasks * largest.Millicores / perWorker
}

// largestWorker returns the most of each resource that any worker has.
func (p *pendingWork) largestWorker() jobs.Resources {
	largest := jobs.Resources{Millicores: p.largestWorkerMillicores()}
	for memory := range p.memories {
		largest.MemoryMB = max(largest.MemoryMB, memory)
	}
	return largest
}
