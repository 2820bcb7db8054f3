package place

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// stepKey identifies a step of one occurrence of a job.
type stepKey struct{ occurrence, step int }

// jobEntry holds a job and the state of its tasks.
type jobEntry struct {
	job           jobs.Job
	progress      *jobs.Progress
	criticalPaths []time.Duration
	longestPath   time.Duration // the longest of criticalPaths
	storedState   jobs.State    // last state written to storage
	dirty         bool
	dirtyOrder    uint64        // orders the dirty jobs by how long they have been
	organisation  *organisation // see organisationOf
	inherited     bool          // its attempts may have been started by an earlier owner
	finalSince    time.Time     // when Expire first found its final state stored

	attempts       map[jobs.Task][]*Attempt
	lastAttempt    map[jobs.Task]int      // highest attempt number of a task that is not done
	lastStart      map[jobs.Task]int      // the same of those that this owner ordered
	waiting        map[stepKey]*taskQueue // tasks ready to start
	enqueuedSteps  map[stepKey]bool       // steps whose tasks were added to waiting, until they are done
	cursors        []stepCursor           // of each step
	backoffs       map[jobs.Task]backoff  // of long-running tasks that ended
	advice         map[stepKey]*stepAdvice
	promises       map[jobs.Task]*worker    // long-running tasks that are stopped in order to run there; nil if there are none
	lasting        map[stepKey]*lastingStep // long-running steps that have or had attempts
	spreads        map[stepKey]*stepSpread  // see isSpread
	racks          map[stepRack]int         // attempts of long-running steps
	ticketRejected bool                     // a worker rejected a start without a ticket
	firstFailedOn  string                   // key of the worker where a task failed first
	suspendedUntil time.Time                // until when decisions leave the job alone
	waits          map[stepKey]*stepWait    // of steps that have not been started whole; nil if there are none
	reserved       map[stepKey]int          // how many reservations a step has; nil if none had any
	runTimes       map[stepKey]runTimes     // of finished tasks, if placement looks ahead
	standing       standing                 // in an overload
}

func newJobEntry(j jobs.Job, p *jobs.Progress) *jobEntry {
	criticalPaths := j.CriticalPaths()
	return &jobEntry{
		job: j, progress: p, criticalPaths: criticalPaths, longestPath: slices.Max(criticalPaths), storedState: p.State(),
		attempts: map[jobs.Task][]*Attempt{}, lastAttempt: map[jobs.Task]int{}, lastStart: map[jobs.Task]int{},
		waiting: map[stepKey]*taskQueue{}, enqueuedSteps: map[stepKey]bool{},
		backoffs: map[jobs.Task]backoff{}, advice: map[stepKey]*stepAdvice{}, lasting: map[stepKey]*lastingStep{},
		cursors: make([]stepCursor, len(j.Steps)), spreads: map[stepKey]*stepSpread{}, racks: map[stepRack]int{},
	}
}

// backoff delays the restart of a long-running task.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Board holds the jobs, workers and attempts of one pool and schedules its tasks.
type Board struct {
	// Record, if set, receives every call that affects scheduling, for replay.
	Record func(Step)
	// Missing, if set, receives every attempt that counts as gone because a listing lacks it.
	Missing func(MissingAttempt)
	// Looked, if set, receives each job that a decision looks at, once or more often.
	Looked func(jobs.ID)
	// Waited, if set, receives the wait of each step of batch tasks once all of them have been
	// started.
	Waited func(Wait)

	policy           Policy
	baseAttempt      int // this owner numbers its attempts from baseAttempt+1
	jobs             map[jobs.ID]*jobEntry
	routes           map[string]int // how many of them came by each route
	workers          map[string]*worker
	dirty            map[jobs.ID]*jobEntry
	dirtied          uint64 // how often a job became dirty
	pending          pendingWork
	reservations     []*worker           // by the last decision
	rejected         rejections          // by the present decision
	idleChanged      map[string]struct{} // workers whose first attempt was added or last one removed
	admission        admissionEstimate
	shedding         bool // see SetShedding
	plan             overloadPlan
	service          service
	contended        bool        // tasks waited for more room than there was at the last plan
	leastShare       float64     // that an organisation with waiting tasks has had
	growth           int         // millicores of hosts that are on their way to the pool
	growthUntil      time.Time   // until when growth is valid
	arriving         []jobs.Task // tasks that have ended in order to move; the next decision places them
	attempts         int         // at all workers
	attemptLimit     int         // see SetAttemptLimit
	startLimit       int         // batch tasks that a decision may start, see SetStartLimit
	startsLeft       int         // of startLimit, for the present decision
	lastingLimit     int         // long-running tasks that a decision may start, see SetLastingStartLimit
	lastingLeft      int         // of lastingLimit, for the present decision
	reservationsLeft int         // of maxBatchReservations, for the present decision
	limitedAt        time.Time   // when startLimit last held tasks back
	trying           bool        // starts may be undone, so that a rejection does not hold
	unconfirmedUntil time.Time   // attempts of an earlier owner may be running undetected until then
	estimates        estimates
	arrivals         arrivals
	crashes          crashIndex
	unexplainedAt    time.Time       // when a busy worker was last lost without a task to blame
	advisedQueues    map[string]bool // whether the steps of a queue need tickets, by queues of the configuration
	adviceRequests   int             // under way
	suspectsSkipped  int             // suspects that have had their turn and are not tried now
	suspectsTurnAt   time.Time       // when that last changed
	organisations    map[string]*organisation
	ahead            lookAhead
	focus            focus // of the present decision, or of one that panicked
	examined         uint64
	listings         uint64 // applied so far
}

// NewBoard returns an empty board. Attempts are numbered from base+1.
func NewBoard(policy Policy, base int) *Board {
	return &Board{
		policy: policy, baseAttempt: base, jobs: map[jobs.ID]*jobEntry{}, routes: map[string]int{}, workers: map[string]*worker{},
		dirty: map[jobs.ID]*jobEntry{}, pending: newPendingWork(), idleChanged: map[string]struct{}{}, startLimit: math.MaxInt, lastingLimit: math.MaxInt, attemptLimit: math.MaxInt, estimates: newEstimates(), arrivals: newArrivals(), crashes: crashIndex{}, advisedQueues: map[string]bool{}, organisations: map[string]*organisation{},
	}
}

// Examined returns how many jobs, steps, attempts and workers all decisions so far have
// looked at. It measures their cost independently of the processor.
func (b *Board) Examined() uint64 { return b.examined }

// SetAdvised sets whether the steps of each queue of the configuration need advice (tickets for
// workers) before they start. A job whose queue is not among them keeps to what held when it was
// submitted.
func (b *Board) SetAdvised(queues map[string]bool) {
	b.recordStep(Step{Kind: StepSetAdvised, Queues: queues})
	b.advisedQueues = queues
	for _, e := range b.pending.unfinished {
		e.ticketRejected = false
	}
}

// needsTickets reports whether the steps of a job need tickets. A worker that rejects a start
// without one knows better.
func (b *Board) needsTickets(e *jobEntry) bool {
	if advised, known := b.advisedQueues[e.job.Queue]; known && !e.ticketRejected {
		return advised
	}
	return e.job.Advised || e.ticketRejected
}

// SetStartLimit sets how many batch tasks each decision from now on may start, since the
// owner can't send more. It holds until it is set again. Gangs start whole;
// long-running tasks have a limit of their own.
func (b *Board) SetStartLimit(limit int) {
	if limit == b.startLimit {
		return
	}
	b.recordStep(Step{Kind: StepStartLimit, Limit: limit})
	b.startLimit = limit
}

// SetLastingStartLimit sets how many long-running tasks each decision from now on may start, but
// for gangs and tasks with recorded crashes. It holds until it is set again.
func (b *Board) SetLastingStartLimit(limit int) {
	if limit == b.lastingLimit {
		return
	}
	b.recordStep(Step{Kind: StepLastingLimit, Limit: limit})
	b.lastingLimit = limit
}

// SetAttemptLimit sets how many attempts the board holds, beyond which no batch task starts of a job
// that has any. Each takes memory, and a row in the lists of its worker.
func (b *Board) SetAttemptLimit(limit int) {
	if limit == b.attemptLimit {
		return
	}
	b.recordStep(Step{Kind: StepAttemptLimit, Limit: limit})
	b.attemptLimit = limit
}

// UnfinishedJobs returns the jobs that have not ended.
func (b *Board) UnfinishedJobs() iter.Seq[*jobs.Job] {
	return func(yield func(*jobs.Job) bool) {
		for _, e := range b.pending.unfinished {
			if !yield(&e.job) {
				return
			}
		}
	}
}

// Add adds a job with its stored progress, unless the job is already known.
func (b *Board) Add(j jobs.Job, p *jobs.Progress, now time.Time) {
	if _, known := b.jobs[j.ID]; known {
		return
	}
	// The stored form has millisecond precision. Truncate, so that a later owner or a
	// replay sees the same time.
	j.Submitted = j.Submitted.Add(-time.Duration(j.Submitted.Nanosecond() % int(time.Millisecond)))
	b.recordAdd(j, p, now)
	e := newJobEntry(j, p)
	b.jobs[j.ID] = e
	b.routes[j.Route]++
	if p.Final != "" {
		e.dropPlans()
		return
	}
	for t := range p.Crashed() {
		for _, c := range p.Crashes(t) {
			b.crashes.add(c.Worker, t)
		}
	}
	b.pending.unfinished[j.ID] = e
	b.pending.changedJobs[j.ID] = e
	if j.Repetitions == 0 && !j.LongRunning() && now.Sub(j.Submitted) < arrivalWindow {
		work := e.totalWork()
		b.countArrival(e, now)
		b.admission.work += float64(b.estimates.factor(j.Queue) * work)
		if b.organisationOf(e).attempts == 0 || !b.heldUp(e, &j.Steps[0]) { // hosts would not help it otherwise
			b.arrivals.add(work, now)
		}
	}
}

// totalWork returns the work of all steps of the job, in millicore seconds.
func (e *jobEntry) totalWork() float64 {
	work := 0.0
	for i := range e.job.Steps {
		work += e.estimatedWork(i, e.job.Steps[i].Count)
	}
	return work
}

// estimatedWork returns the work of a number of tasks of a step, in millicore seconds.
func (e *jobEntry) estimatedWork(step, tasks int) float64 {
	s := &e.job.Steps[step]
	return float64(float64(tasks) * float64(s.Claim().Millicores) * s.Estimate.Seconds())
}

// requiredMillicores returns the millicores that an occurrence of the job needs from
// now on to meet its objective, or to finish along its critical path if it is too
// late for that.
func (e *jobEntry) requiredMillicores(occurrence int, factor float64, now time.Time) float64 {
	work, remainingPath := 0.0, time.Duration(0)
	for i := range e.job.Steps {
		left := e.progress.Left(occurrence, i)
		if left == 0 || e.job.Steps[i].LongRunning {
			continue
		}
		work += e.estimatedWork(i, left)
		remainingPath = max(remainingPath, e.criticalPaths[i])
	}
	if work == 0 {
		return 0
	}
	criticalPath := time.Duration(factor * float64(e.longestPath))
	left := e.job.Objective(occurrence, criticalPath).Sub(now)
	return factor * work / max(left, remainingPath, minRemainingTime).Seconds()
}

// minRemainingTime limits the millicores required for a job that is nearly done.
const minRemainingTime = 200 * time.Millisecond

// Known reports whether a job is on the board.
func (b *Board) Known(id jobs.ID) bool { return b.jobs[id] != nil }

// HasJobsOf reports whether jobs that came by a route, or by one that is not known, are on the
// board.
func (b *Board) HasJobsOf(route string) bool { return b.routes[route]+b.routes[""] > 0 }

// IsLongRunning reports whether a task of a job on the board is long-running.
func (b *Board) IsLongRunning(t jobs.Task) bool {
	e := b.jobs[t.Job]
	return e != nil && e.job.Steps[t.Step].LongRunning
}

// IsGang reports whether a task of a job on the board is a member of a gang.
func (b *Board) IsGang(t jobs.Task) bool {
	e := b.jobs[t.Job]
	return e != nil && e.job.Steps[t.Step].Gang
}

// State returns a job's stored state, or Active as soon as a task has started.
func (b *Board) State(id jobs.ID) (jobs.State, bool) {
	e := b.jobs[id]
	if e == nil {
		return "", false
	}
	if !e.storedState.Final() && e.progress.Begun {
		return jobs.Active, true
	}
	return e.storedState, true
}

// Job returns a job on the board.
func (b *Board) Job(id jobs.ID) (jobs.Job, bool) {
	e := b.jobs[id]
	if e == nil {
		return jobs.Job{}, false
	}
	return e.job, true
}

// Pending returns the number of jobs in a queue of which no task has started.
func (b *Board) Pending(queue string) int {
	n := 0
	for _, e := range b.pending.unfinished {
		if e.job.Queue == queue && !e.progress.Begun {
			n++
		}
	}
	return n
}

// Cancel cancels a job. It reports whether the job was known and not final.
func (b *Board) Cancel(id jobs.ID, now time.Time) bool {
	b.recordStep(Step{Kind: StepCancel, ID: id, At: now})
	e := b.jobs[id]
	if e == nil || e.progress.Final != "" {
		return false
	}
	b.finish(e, jobs.Cancelled, now)
	return true
}

// finish sets a job's final state and requests a stop of all its attempts.
func (b *Board) finish(e *jobEntry, s jobs.State, now time.Time) {
	e.progress.Final = s
	for _, q := range e.waiting {
		q.clear()
	}
	for t := range e.promises {
		b.releasePromise(e, t)
	}
	e.dropPlans()
	delete(b.pending.unfinished, e.job.ID)
	for _, attempts := range e.attempts {
		for _, a := range attempts {
			b.requestStop(a)
		}
	}
	b.markDirty(e)
}

// dropPlans drops what is needed only to start tasks, of a job that has ended: it stays on the
// board until its state has expired.
func (e *jobEntry) dropPlans() {
	e.job.Spec = ""
	e.lastAttempt, e.lastStart, e.enqueuedSteps = map[jobs.Task]int{}, map[jobs.Task]int{}, map[stepKey]bool{}
	e.backoffs, e.waits = map[jobs.Task]backoff{}, nil
	for i := range e.cursors {
		e.cursors[i].blocked = nil
	}
}

// markDone records that a task is done, and for a gang, that all its tasks are.
func (e *jobEntry) markDone(t jobs.Task) {
	e.progress.MarkDone(t)
	forget := func(t jobs.Task) {
		delete(e.lastAttempt, t)
		delete(e.lastStart, t)
	}
	forget(t)
	step, key := &e.job.Steps[t.Step], stepKey{t.Occurrence, t.Step}
	if step.Gang {
		for t.Index = range step.Count {
			forget(t)
		}
	}
	if e.progress.StepDone(key.occurrence, key.step) {
		delete(e.enqueuedSteps, key)
	}
}

// markDirty records that a job's progress has changed: it is to be stored, and steps of
// the job may have become ready.
func (b *Board) markDirty(e *jobEntry) {
	if !e.dirty {
		e.dirty = true
		b.dirtied++
		e.dirtyOrder = b.dirtied
	}
	b.dirty[e.job.ID] = e
	b.pending.changedJobs[e.job.ID] = e
}

// requestStop marks an attempt to be stopped by the next decision.
func (b *Board) requestStop(a *Attempt) {
	a.stopRequested = true
	b.lastingChanged(a)
	b.pending.stops[a.Worker] = a.worker
}

// Dirty returns the jobs with unsaved progress, and whether any of them is final. Final
// ones come first, then those that have been dirty for longest: where not all can be
// saved at once, each has its turn.
func (b *Board) Dirty() (ids []jobs.ID, final bool) {
	entries := slices.SortedFunc(maps.Values(b.dirty), func(x, y *jobEntry) int {
		xFinal, yFinal := x.progress.Final != "", y.progress.Final != ""
		switch {
		case xFinal == yFinal:
			return cmp.Compare(x.dirtyOrder, y.dirtyOrder)
		case xFinal:
			return -1
		}
		return 1
	})
	ids = make([]jobs.ID, len(entries))
	for i, e := range entries {
		ids[i] = e.job.ID
	}
	return ids, len(entries) > 0 && entries[0].progress.Final != ""
}

// IsDirty reports whether a job has unsaved progress.
func (b *Board) IsDirty(id jobs.ID) bool { return b.dirty[id] != nil }

// EncodeProgress returns a job's encoded progress and state for storage, and marks the
// job clean.
func (b *Board) EncodeProgress(id jobs.ID) ([]byte, jobs.State, error) {
	b.recordStep(Step{Kind: StepProgress, ID: id})
	e := b.jobs[id]
	delete(b.dirty, id)
	e.dirty = false
	data, err := e.progress.Encode()
	return data, e.progress.State(), err
}

// Written records that a job's state has been written to storage.
func (b *Board) Written(id jobs.ID, s jobs.State) {
	b.recordStep(Step{Kind: StepWritten, ID: id, State: s})
	if e := b.jobs[id]; e != nil {
		e.storedState = s
	}
}

// WriteFailed marks a job dirty again after a failed write.
func (b *Board) WriteFailed(id jobs.ID) {
	b.recordStep(Step{Kind: StepWriteFailed, ID: id})
	if e := b.jobs[id]; e != nil {
		b.markDirty(e)
	}
}

// Expire removes jobs whose final state has been stored for longer than kept, counted from
// the first call that finds it so, and returns their ids.
func (b *Board) Expire(kept time.Duration, now time.Time) []jobs.ID {
	b.recordStep(Step{Kind: StepExpire, Kept: kept, At: now})
	var ids []jobs.ID
	for id, e := range b.jobs {
		if !e.storedState.Final() || e.dirty || len(e.attempts) > 0 {
			continue
		}
		if e.finalSince.IsZero() {
			e.finalSince = now
		}
		if now.Sub(e.finalSince) > kept {
			ids = append(ids, id)
			delete(b.jobs, id)
			if b.routes[e.job.Route]--; b.routes[e.job.Route] == 0 {
				delete(b.routes, e.job.Route)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// SetUnconfirmedUntil sets the time until which attempts of an earlier owner may still be
// running on workers that don't answer. Until then, tasks of the jobs known now are
// not started, unless their step allows copies.
func (b *Board) SetUnconfirmedUntil(until time.Time) {
	b.recordStep(Step{Kind: StepUnconfirmed, Until: until})
	b.unconfirmedUntil = until
	for _, e := range b.jobs {
		e.inherited = true
	}
}

// SetWorker adds or updates a worker.
func (b *Board) SetWorker(w Worker) {
	b.recordStep(Step{Kind: StepWorker, Worker: w})
	known := b.workers[w.Key]
	if known == nil {
		known = &worker{attempts: map[jobs.Task]*Attempt{}}
		b.workers[w.Key] = known
		b.pending.countWorker(known, 1)
		b.pending.quarantine.known = false
	}
	b.changeWorker(known, func() { known.Worker = w })
}

// changeWorker changes what is known of a worker.
func (b *Board) changeWorker(w *worker, change func()) {
	b.pending.roomOf(w).remove(w)
	b.pending.countWorker(w, -1)
	silent, leaving, rack := w.Silent, w.isLeaving(), w.Rack
	change()
	if w.Rack != rack {
		w.rackChanged(rack)
	}
	b.pending.countWorker(w, 1)
	if w.acceptsTasks() {
		b.pending.roomOf(w).insert(w)
	}
	b.pending.workerChanged(w)
	if w.lasting > 0 && (w.Silent != silent || w.isLeaving() != leaving) {
		for _, a := range w.attempts {
			b.lastingChanged(a)
		}
	}
}

// setUsed changes the resources that the attempts at a worker claim.
func (b *Board) setUsed(w *worker, used jobs.Resources) {
	b.pending.roomOf(w).remove(w)
	w.used = used
	if w.acceptsTasks() {
		b.pending.roomOf(w).insert(w)
	}
}

// SetSilent sets whether a worker has stopped answering.
func (b *Board) SetSilent(key string, silent bool) {
	b.recordStep(Step{Kind: StepSilent, Key: key, Flag: silent})
	if w := b.workers[key]; w != nil {
		b.changeWorker(w, func() { w.Silent = silent })
	}
}

// SetVacate sets whether a worker is to be vacated because its host is needed
// elsewhere.
func (b *Board) SetVacate(key string, vacate bool) {
	b.recordStep(Step{Kind: StepVacate, Key: key, Flag: vacate})
	if w := b.workers[key]; w != nil {
		b.changeWorker(w, func() { w.Vacate = vacate })
	}
}

// RemoveWorker removes a worker whose lifetime has ended, with all its attempts.
func (b *Board) RemoveWorker(key string, now time.Time) {
	b.recordStep(Step{Kind: StepRemoveWorker, Key: key, At: now})
	b.removeAttempts(key, now)
	if w := b.workers[key]; w != nil {
		b.countUnexpected(w, nil)
		b.pending.removeWorker(w)
		delete(b.idleChanged, key)
		delete(b.workers, key)
	}
}

// ExpireLeases records that no attempt ordered at a worker runs any more, because its
// leases expired or its lifetime ended.
func (b *Board) ExpireLeases(key string, now time.Time) {
	b.recordStep(Step{Kind: StepLapse, Key: key, At: now})
	b.removeAttempts(key, now)
	if w := b.workers[key]; w != nil {
		b.countUnexpected(w, nil)
	}
}

// LifetimeEnded records that a worker's lifetime has ended and a later one may have carried
// out starts that were meant for it. It removes the attempts that were listed; the answer to a
// start does not tell the lifetime. The others stay until [Board.MoveUnlisted],
// [Board.ExpireLeases] or a refusal.
func (b *Board) LifetimeEnded(key string, now time.Time) {
	b.recordStep(Step{Kind: StepLifetimeEnded, Key: key, At: now})
	for _, a := range b.Attempts(key) {
		if a.Listed() {
			b.removeAttempt(a, now)
		}
	}
	if w := b.workers[key]; w != nil {
		b.countUnexpected(w, nil)
	}
}

// MoveUnlisted moves the attempts that a worker has not listed to a later lifetime, whose next
// listing shows whether they run there.
func (b *Board) MoveUnlisted(from, to string, now time.Time) {
	b.recordStep(Step{Kind: StepMoveUnlisted, Key: from, Workers: []string{to}, At: now})
	w := b.workers[to]
	if w == nil {
		return
	}
	for _, a := range b.Attempts(from) {
		if a.Listed() {
			continue
		}
		if w.attempts[a.Task] != nil {
			b.removeAttempt(a, now) // it is a copy, and not wanted where the other one is
			continue
		}
		e := b.jobs[a.Task.Job]
		b.detach(a)
		e.attempts[a.Task] = slices.DeleteFunc(e.attempts[a.Task], func(o *Attempt) bool { return o == a })
		a.Worker, a.Phase, a.ConfirmedAt, a.StopAckedAt, a.reschedule = to, Unconfirmed, time.Time{}, time.Time{}, true
		b.addAttempt(e, w, a)
		if a.copyable {
			b.pending.unanswered[a] = struct{}{}
		}
		a.awaitsListing = !a.stopRequested && e.progress.Final == "" && !e.progress.Done(a.Task)
		if !a.awaitsListing {
			b.requestStop(a)
		}
	}
}

func (b *Board) removeAttempts(key string, now time.Time) {
	for _, a := range b.Attempts(key) {
		b.removeAttempt(a, now)
	}
}

// HoldsAttempt reports whether the board holds an attempt at a worker.
func (b *Board) HoldsAttempt(key string, t jobs.Task, number int) bool {
	return b.findAttempt(key, t, number) != nil
}

// Idle reports whether a worker has no attempts, confirmed or not.
func (b *Board) Idle(key string) bool {
	w := b.workers[key]
	return w == nil || len(w.attempts) == 0
}

// TakeIdleChanges returns the keys of the workers for which Idle may have changed since the
// last call.
func (b *Board) TakeIdleChanges() []string {
	if len(b.idleChanged) == 0 {
		return nil
	}
	keys := slices.Collect(maps.Keys(b.idleChanged))
	clear(b.idleChanged)
	return keys
}

// Attempts returns the attempts at a worker, sorted by task.
func (b *Board) Attempts(key string) []*Attempt {
	w := b.workers[key]
	if w == nil {
		return nil
	}
	attempts := slices.Collect(maps.Values(w.attempts))
	sortAttempts(attempts)
	return attempts
}

// CountAttempts returns the number of attempts at a worker.
func (b *Board) CountAttempts(key string) int {
	if w := b.workers[key]; w != nil {
		return len(w.attempts)
	}
	return 0
}

// sortAttempts sorts attempts by task, so that a replay gives the same orders.
func sortAttempts(attempts []*Attempt) {
	slices.SortFunc(attempts, func(x, y *Attempt) int { return x.Task.Compare(y.Task) })
}

// findAttempt returns the attempt with this task and number at a worker, or nil.
func (b *Board) findAttempt(key string, t jobs.Task, number int) *Attempt {
	if w := b.workers[key]; w != nil {
		return w.findAttempt(t, number)
	}
	return nil
}

// findAttempt returns the worker's attempt with this task and number, or nil.
func (w *worker) findAttempt(t jobs.Task, number int) *Attempt {
	if a := w.attempts[t]; a != nil && a.Number == number {
		return a
	}
	return nil
}

// addAttempt adds an attempt at a worker and claims its resources.
func (b *Board) addAttempt(e *jobEntry, w *worker, a *Attempt) {
	a.entry, a.step, a.worker = e, &e.job.Steps[a.Task.Step], w
	a.Pace = 100
	w.attempts[a.Task] = a
	b.attempts++
	if len(w.attempts) == 1 {
		b.idleChanged[w.Key] = struct{}{}
	}
	w.count(a.step, 1)
	if a.Phase == Starting {
		w.starting++
	}
	e.countAttempt(a.stepKey(), w, 1)
	b.setUsed(w, w.used.Add(a.step.Claim()))
	b.pending.attemptAdded(a)
	b.organisationOf(e).use(a)
	e.attempts[a.Task] = append(e.attempts[a.Task], a)
	e.lastAttempt[a.Task] = max(e.lastAttempt[a.Task], a.Number)
	b.lastingChanged(a)
}

// detach removes an attempt from its worker and releases its resources.
func (b *Board) detach(a *Attempt) {
	w := a.worker
	if w.attempts[a.Task] == a {
		delete(w.attempts, a.Task)
		b.attempts--
		if len(w.attempts) == 0 {
			b.idleChanged[w.Key] = struct{}{}
		}
		w.count(a.step, -1)
		if a.Phase == Starting {
			w.starting--
		}
		a.entry.countAttempt(a.stepKey(), w, -1)
		b.setUsed(w, w.used.Sub(a.step.Claim()))
		b.organisationOf(a.entry).release(a)
		b.pending.paceable(w)
	}
	b.pending.noLongerCopyable(a)
}

// removeAttempt removes an attempt. If it was the last one of an unfinished task,
// the task is queued again.
func (b *Board) removeAttempt(a *Attempt, now time.Time) {
	b.detach(a)
	e := b.jobs[a.Task.Job]
	if e == nil {
		return
	}
	rest := slices.DeleteFunc(e.attempts[a.Task], func(o *Attempt) bool { return o == a })
	if len(rest) > 0 {
		e.attempts[a.Task] = rest
		b.lastingChanged(a)
		return
	}
	delete(e.attempts, a.Task)
	if e.promises[a.Task] != nil {
		b.arriving = append(b.arriving, a.Task)
	}
	b.lastingChanged(a)
	b.requeue(e, a, now)
}

// requeue queues an unfinished task again after its last attempt ended. A gang is
// queued as a whole, a long-running task after a backoff.
func (b *Board) requeue(e *jobEntry, a *Attempt, now time.Time) {
	if e.progress.Final != "" || e.progress.Done(a.Task) {
		return
	}
	key := stepKey{a.Task.Occurrence, a.Task.Step}
	if !e.enqueuedSteps[key] {
		return // enqueueReadySteps will queue the task
	}
	if a.step.Gang && e.hasAttempts(key) {
		return // the last member to end requeues all
	}
	if a.step.Gang {
		e.waiting[key].clear()
		for i := range a.step.Count {
			b.enqueue(e, jobs.Task{Job: e.job.ID, Occurrence: key.occurrence, Step: key.step, Index: i})
		}
		return
	}
	if a.step.LongRunning && !a.reschedule {
		r := e.backoffs[a.Task]
		r.delay = min(max(b.policy.RetryDelay, 2*r.delay), b.policy.MaxRetryDelay)
		if !a.AvailableSince.IsZero() {
			r.delay = 0 // it had become available, so its start did not fail
		}
		r.until = now.Add(r.delay)
		e.backoffs[a.Task] = r
		b.pending.changedJobs[e.job.ID] = e
		if r.delay > 0 {
			return
		}
	}
	b.enqueue(e, a.Task) // a copy of it may be queued already
}

// queueOf returns the queue of a step, which is new if none of its tasks waits. A step keeps an
// empty queue until the next decision.
func (b *Board) queueOf(e *jobEntry, key stepKey) *taskQueue {
	q := e.waiting[key]
	if q == nil {
		q = newTaskQueue(e.job.Steps[key.step].Count)
		e.waiting[key] = q
		e.cursors[key.step].waiting++
		b.pending.steps = append(b.pending.steps, candidate{entry: e, key: key})
	}
	return q
}

// enqueue adds a task to the waiting ones unless it is already there.
func (b *Board) enqueue(e *jobEntry, t jobs.Task) {
	b.queueOf(e, stepKey{t.Occurrence, t.Step}).push(t.Index)
}
