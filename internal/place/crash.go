package place

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// A task may crash each worker that starts it. After a crash, every attempt that had not yet
// survived Policy.CrashWindow there is a suspect, and the crash is recorded with the job's
// progress. A suspect is started apart from others, so that a second crash shows which task
// is to blame; a run that survives clears it. The records of a worker that turns out to have
// been unreachable only, or whose host was ordered elsewhere, are dropped.
//
// Only prompt crashes can give a task up: the worker's connections broke off or were refused
// within Policy.BlameWindow of the order. A host that goes dark or is cut off falls silent, and
// one that is lost by chance rarely hits a task in that time. A long-running task is never
// given up: it is to run until its job is cancelled.

const (
	crashesAlone  = 2 // prompt crashes after which a task is given up if it was the only suspect at the last one; the platform allows it from two on
	crashesAtMost = 3 // prompt crashes after which a task is given up in any case; the platform forbids three starts more

	// unexplainedWindow is for how long after the loss of a busy worker that no task explains
	// chance is as likely a cause of a crash as the only suspect.
	unexplainedWindow = 30 * time.Second

	// rackWindow is the time in which all workers of a lost rack are noticed, as each is
	// called every 150 ms once it has not answered.
	rackWindow = 500 * time.Millisecond

	// commonWindow is the time in which the connections of workers fail that are lost for one
	// cause. An owner that was stopped notices all losses of that time at once.
	commonWindow = 50 * time.Millisecond

	heldShare   = 8  // one in this many workers may be kept free for suspects that find no worker of their own; each loses up to 150 ms of starts
	maxUnplaced = 32 // suspects without a worker of their own after which a decision tries no more, as each looks at all workers with room

	// unplacedTurn is for how long decisions try the same suspects before others have their
	// turn: a worker that is kept free for one needs TrialTime to become so.
	unplacedTurn = 500 * time.Millisecond
)

// Suspect is an attempt that may have crashed its worker.
type Suspect struct {
	Task    jobs.Task
	Attempt int
	Crashes int // recorded under the task, with this one
	Alone   bool
	Prompt  bool
	// OrderedAt is when the attempt was ordered, zero if the board does not hold it any more.
	OrderedAt time.Time
}

// GivenUp is a job that was given up because one of its tasks crashes its workers.
type GivenUp struct {
	Task    jobs.Task
	Crashes []jobs.Crash
}

// CrashReport tells what the crash of a worker led to.
type CrashReport struct {
	Suspects []Suspect
	GivenUp  []GivenUp
	RackLost bool // another worker of the rack was lost at about the same time
}

// crashIndex holds the tasks with a recorded crash of each worker, by the key of its
// lifetime. A task may have lost its record since, such as one that is done.
type crashIndex map[string]map[jobs.Task]struct{}

func (x crashIndex) add(worker string, t jobs.Task) {
	if x[worker] == nil {
		x[worker] = map[jobs.Task]struct{}{}
	}
	x[worker][t] = struct{}{}
}

// tasks returns the tasks of a worker, sorted.
func (x crashIndex) tasks(worker string) []jobs.Task {
	return slices.SortedFunc(maps.Keys(x[worker]), jobs.Task.Compare)
}

// SuspectCrash records that a worker may have crashed, and under which attempts: its
// connections are refused, or its leases have expired. It is known to have run until alive,
// as far as that is later than its last listing; alive may be zero. failed is when its
// connections first broke off or were refused, zero if it fell silent before. SuspectCrash
// returns the attempts that were not under suspicion before.
func (b *Board) SuspectCrash(key string, alive, failed, now time.Time) []Suspect {
	b.recordStep(Step{Kind: StepSuspectCrash, Key: key, Until: alive, Asked: failed, At: now})
	if w := b.workers[key]; w != nil {
		if alive.After(w.aliveUntil) {
			w.aliveUntil = alive
		}
		if w.failedAt.IsZero() && !failed.IsZero() {
			w.failedAt, w.busyAtLoss = failed, len(w.attempts) > 0 && !w.isLeaving()
			b.compareLosses(w)
		}
	}
	known := maps.Clone(b.crashes[key])
	b.markSuspects(key)
	b.compareRack(key, now)
	var suspects []Suspect
	for _, t := range b.crashes.tasks(key) {
		if _, suspected := known[t]; suspected {
			continue
		}
		if c, recorded := b.crashOn(t, key); recorded {
			suspects = append(suspects, b.suspect(t, c))
		}
	}
	return suspects
}

// suspect returns what is known about a task with a recorded crash.
func (b *Board) suspect(t jobs.Task, c jobs.Crash) Suspect {
	s := Suspect{Task: t, Attempt: c.Attempt, Crashes: len(b.jobs[t.Job].progress.Crashes(t)), Alone: c.Alone, Prompt: c.Prompt}
	if a := b.findAttempt(c.Worker, t, c.Attempt); a != nil {
		s.OrderedAt = a.OrderedAt
	}
	return s
}

// WorkerCrashed records that a worker's lifetime has ended although it was not ordered
// away. The caller then removes the worker, or expires its leases.
func (b *Board) WorkerCrashed(key string, now time.Time) CrashReport {
	b.recordStep(Step{Kind: StepCrashed, Key: key, At: now})
	b.markSuspects(key)
	b.compareRack(key, now)
	var report CrashReport
	busy := len(b.crashes[key]) > 0
	if w := b.workers[key]; w != nil {
		report.RackLost = !w.rackLostAt.IsZero()
		busy = busy || len(w.attempts) > 0
	}
	for _, t := range b.crashes.tasks(key) {
		e := b.jobs[t.Job]
		if c, known := b.crashOn(t, key); known {
			c.Settled = true
			if e.progress.MarkCrash(t, c) {
				b.markDirty(e)
			}
			report.Suspects = append(report.Suspects, b.suspect(t, c))
		}
	}
	if busy && !slices.ContainsFunc(report.Suspects, func(s Suspect) bool { return s.Prompt }) {
		b.unexplainedAt = now
	}
	for {
		t, found := b.mostBlamed(key, now)
		if !found {
			break
		}
		report.GivenUp = append(report.GivenUp, b.giveUp(t, now))
	}
	b.pruneCrashes()
	return report
}

// WorkerLeft records that a worker's lifetime has ended by an order for its host, or at the
// end of its draining, so that its attempts are not under suspicion.
func (b *Board) WorkerLeft(key string) {
	b.recordStep(Step{Kind: StepLeft, Key: key})
	b.dropCrashes(key)
}

// SuspectedWorkers returns the keys of the lifetimes of which crashes are recorded that are
// not settled yet, sorted.
func (b *Board) SuspectedWorkers() []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(b.crashes)) {
		for t := range b.crashes[key] {
			if c, known := b.crashOn(t, key); known && !c.Settled {
				keys = append(keys, key)
				break
			}
		}
	}
	return keys
}

// markSuspects records a crash under each attempt at a worker that may have caused it.
func (b *Board) markSuspects(key string) {
	w := b.workers[key]
	if w == nil {
		return
	}
	trials := w.latestTrials(b.policy)
	for _, a := range b.Attempts(key) {
		e := b.jobs[a.Task.Job]
		if e == nil || e.progress.Final != "" || a.survived(b.policy.CrashWindow) {
			continue
		}
		if e.progress.MarkCrash(a.Task, jobs.Crash{Worker: key, Attempt: a.Number, Alone: b.isOnlySuspect(w, a, trials), Prompt: !w.commonCause && b.failedPromptly(w, a)}) {
			b.crashes.add(key, a.Task)
			b.markDirty(e)
		}
	}
}

// compareRack finds out, when a worker is first suspected to have crashed, whether another one
// of its rack crashed at about the same time: then the rack is a likelier cause than a task.
func (b *Board) compareRack(key string, now time.Time) {
	w := b.workers[key]
	if w == nil || !w.suspectedAt.IsZero() || len(b.crashes[key]) == 0 {
		return
	}
	w.suspectedAt = now
	for _, o := range b.workers {
		if o == w || o.Rack != w.Rack || o.Rack == "" || o.suspectedAt.IsZero() || now.Sub(o.suspectedAt) > rackWindow {
			continue
		}
		for _, lost := range []*worker{w, o} {
			lost.rackLostAt = o.suspectedAt
			b.markSuspects(lost.Key)
		}
	}
}

// compareLosses finds out, when a worker's connections have failed, whether busy workers of the
// pool were lost with it: then a task is to blame only if each of two workers has one.
func (b *Board) compareLosses(w *worker) {
	if !w.busyAtLoss {
		return
	}
	lost := []*worker{w}
	explained := b.hasPromptSuspect(w)
	for _, o := range b.workers {
		if o != w && o.busyAtLoss && o.failedAt.Sub(w.failedAt).Abs() <= commonWindow {
			lost = append(lost, o)
			explained = explained && b.hasPromptSuspect(o)
		}
	}
	if len(lost) == 1 {
		return
	}
	slices.SortFunc(lost, func(x, y *worker) int { return strings.Compare(x.Key, y.Key) })
	for _, o := range lost {
		o.lostInPair = true
		o.commonCause = o.commonCause || len(lost) > 2 || !explained
		b.markSuspects(o.Key)
	}
}

func (b *Board) hasPromptSuspect(w *worker) bool {
	for _, a := range w.attempts {
		if b.failedPromptly(w, a) {
			return true
		}
	}
	return false
}

// survived reports whether an attempt is known to have run for this long.
func (a *Attempt) survived(d time.Duration) bool {
	if a.ConfirmedAt.IsZero() {
		return false
	}
	end := a.ConfirmedAt.Add(d)
	return !a.shownAt.Before(end) || a.Phase == Live && !a.worker.aliveUntil.Before(end)
}

// failedPromptly reports whether a worker's connections failed right after an attempt was
// ordered there. An attempt of an earlier owner was ordered at a time that is not known, and one
// of which no answer or failure is known yet may be ordered later than the worker was lost.
func (b *Board) failedPromptly(w *worker, a *Attempt) bool {
	return a.Phase != Starting && !w.failedAt.IsZero() && !w.failedAt.Before(a.OrderedAt) && w.failedAt.Sub(a.OrderedAt) <= b.policy.BlameWindow &&
		!a.adopted
}

// isOnlySuspect reports whether no other attempt at its worker can have caused a crash: the
// others had run for TrialTime before this one was started, and no other worker was lost with it.
func (b *Board) isOnlySuspect(w *worker, a *Attempt, t trials) bool {
	if w.lostInPair || !w.rackLostAt.IsZero() && !a.OrderedAt.After(w.rackLostAt) || a.survived(b.policy.TrialTime) {
		return false
	}
	others := t.unconfirmed
	if a.ConfirmedAt.IsZero() {
		others--
	}
	end := t.last
	if a == t.lastOf {
		end = t.other
	}
	return others == 0 && !a.OrderedAt.Before(end)
}

// trials tells when the attempts at a worker have run for TrialTime.
type trials struct {
	unconfirmed int       // attempts that are not known to run
	last, other time.Time // of the latest one that is, and of the latest of the others; zero if there are none
	lastOf      *Attempt
}

func (w *worker) latestTrials(p Policy) trials {
	var t trials
	for _, a := range w.attempts {
		if a.ConfirmedAt.IsZero() {
			t.unconfirmed++
			continue
		}
		switch end := a.ConfirmedAt.Add(p.TrialTime); {
		case end.After(t.last):
			t.last, t.other, t.lastOf = end, t.last, a
		case end.After(t.other):
			t.other = end
		}
	}
	return t
}

// crashOn returns the record of a worker's crash under a task of an unfinished job.
func (b *Board) crashOn(t jobs.Task, key string) (jobs.Crash, bool) {
	e := b.jobs[t.Job]
	if e == nil || e.progress.Final != "" {
		return jobs.Crash{}, false
	}
	crashes := e.progress.Crashes(t)
	i := slices.IndexFunc(crashes, func(c jobs.Crash) bool { return c.Worker == key })
	if i < 0 {
		return jobs.Crash{}, false
	}
	return crashes[i], true
}

// mostBlamed returns the task that the crash of a worker gives up, the one with the clearest
// evidence first: that one clears the others of its crashes.
func (b *Board) mostBlamed(key string, now time.Time) (jobs.Task, bool) {
	byChance := !b.unexplainedAt.IsZero() && now.Sub(b.unexplainedAt) < unexplainedWindow
	type evidence struct {
		task    jobs.Task
		alone   bool
		crashes int
	}
	var blamed []evidence
	for _, t := range b.crashes.tasks(key) {
		if _, known := b.crashOn(t, key); !known {
			continue
		}
		settled := slices.DeleteFunc(b.promptCrashes(t), func(c jobs.Crash) bool { return !c.Settled })
		if len(settled) == 0 || b.jobs[t.Job].job.Steps[t.Step].LongRunning {
			continue
		}
		last := settled[len(settled)-1]
		alone := last.Alone && !byChance && slices.ContainsFunc(settled, func(c jobs.Crash) bool { return hostOf(c.Worker) != hostOf(last.Worker) })
		if len(settled) >= crashesAtMost || len(settled) >= crashesAlone && alone {
			blamed = append(blamed, evidence{t, alone, len(settled)})
		}
	}
	if len(blamed) == 0 {
		return jobs.Task{}, false
	}
	return slices.MinFunc(blamed, func(x, y evidence) int {
		if x.alone != y.alone {
			if x.alone {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.crashes, x.crashes)
	}).task, true
}

// promptCrashes returns a copy of the prompt crashes of a task.
func (b *Board) promptCrashes(t jobs.Task) []jobs.Crash {
	return slices.DeleteFunc(slices.Clone(b.jobs[t.Job].progress.Crashes(t)), func(c jobs.Crash) bool { return !c.Prompt })
}

// hostOf returns the id of the worker in the key of one of its lifetimes.
func hostOf(key string) string { return key[:max(0, strings.LastIndexByte(key, '@'))] }

// costSameHost is the placement cost of a worker whose earlier lifetime crashed under the
// same task: the host may be at fault.
const costSameHost = 1 << 30

// giveUp ends the job of a task that crashes its workers as failed, and clears all other
// tasks of its prompt crashes.
func (b *Board) giveUp(t jobs.Task, now time.Time) GivenUp {
	e := b.jobs[t.Job]
	given, prompt := GivenUp{t, e.progress.Crashes(t)}, b.promptCrashes(t)
	b.finish(e, jobs.Aborted, now)
	for _, c := range prompt {
		b.dropCrashes(c.Worker)
	}
	return given
}

// dropCrashes removes the records of a worker's crash.
func (b *Board) dropCrashes(key string) {
	for _, t := range b.crashes.tasks(key) {
		if _, known := b.crashOn(t, key); known && b.jobs[t.Job].progress.DropCrash(t, key) {
			b.markDirty(b.jobs[t.Job])
		}
	}
	delete(b.crashes, key)
}

// pruneCrashes removes index entries of tasks that have no record any more.
func (b *Board) pruneCrashes() {
	for key, tasks := range b.crashes {
		for t := range tasks {
			if _, known := b.crashOn(t, key); !known {
				delete(tasks, t)
			}
		}
		if len(tasks) == 0 {
			delete(b.crashes, key)
		}
	}
}

// clearSurvivor drops all crash records of a task whose attempt has survived its start.
func (b *Board) clearSurvivor(a *Attempt) {
	e := a.entry
	if e.progress.HasCrashes() && a.survived(b.policy.CrashWindow) && e.progress.DropCrashes(a.Task) {
		b.markDirty(e)
	}
}

// onTrial reports whether a suspect was started at a worker a short time ago, so that a task
// stays away. The members of a gang don't stay away from each other, or a gang with many
// suspects would need as many workers.
func (w *worker) onTrial(p Policy, t jobs.Task, now time.Time) bool {
	if w.trial == nil || w.attempts[w.trial.Task] != w.trial || !w.trial.isYoung(p, now) {
		return false
	}
	o := w.trial.Task
	return !w.trial.step.Gang || o.Job != t.Job || o.Occurrence != t.Occurrence || o.Step != t.Step
}

// isYoung reports whether an attempt was started a short time ago, or is not known to run.
func (a *Attempt) isYoung(p Policy, now time.Time) bool {
	return a.ConfirmedAt.IsZero() || now.Before(a.ConfirmedAt.Add(p.TrialTime))
}

// hasYoung reports whether an attempt was started at a worker a short time ago.
func (w *worker) hasYoung(p Policy, now time.Time) bool {
	for _, a := range w.attempts {
		if a.isYoung(p, now) {
			return true
		}
	}
	return false
}

// placeSuspects starts waiting tasks under which workers have crashed, each on a worker where
// nothing else was started a short time ago. Where there is none, a worker is kept free of
// new tasks for it. The members of a gang start together, as any others.
func (b *Board) placeSuspects(o *Orders, candidates []candidate, now time.Time) {
	held, unplaced, unplacedLasting := 0, 0, 0
	skip, tried := b.suspectsSkipped, 0 // of batch tasks; long-running ones come first and take no turns
	for _, c := range candidates {
		if !b.lookAt(c.entry, c.key, now) {
			continue
		}
		e, step := c.entry, &c.entry.job.Steps[c.key.step]
		suspects := c.suspects()
		if len(suspects) == 0 || b.unconfirmed(e, now) && !step.Speculative || b.heldUp(e, step) ||
			b.needsTickets(e) && !b.ensureTickets(o, e, c.key, suspects[0], now) {
			continue
		}
		waiting := 0
		count := &unplaced
		if step.LongRunning {
			count = &unplacedLasting
		}
		for _, t := range suspects {
			if *count >= maxUnplaced || b.heldUp(e, step) {
				waiting++
				continue
			}
			if !step.LongRunning && skip > 0 {
				skip--
				waiting++
				continue
			}
			if !step.LongRunning {
				tried++
			}
			w, free := b.chooseIsolated(e, step, t, now)
			if w == nil && step.LongRunning && !step.BestEffort {
				w = b.chooseLastResort(e, step, t, now)
				free = w != nil
			}
			if w != nil && free {
				b.startAttempt(o, e, w, t, max(b.baseAttempt, e.lastAttempt[t])+1, now)
				c.queue().remove(t.Index)
				continue
			}
			waiting++
			*count++
			if w == nil && step.LongRunning && !step.BestEffort && waiting == 1 {
				b.reserveWorker(e, step, t, now)
			}
			if w != nil && held <= len(b.workers)/heldShare {
				held++
				b.pending.setReserved(w, true)
				b.reservations = append(b.reservations, w)
			}
		}
	}
	b.advanceSuspects(unplaced, tried, now)
}

// advanceSuspects decides, once a turn, which suspects the next decisions try: those after the
// ones that were tried now if these were as many as may be, otherwise all from the first on.
func (b *Board) advanceSuspects(unplaced, tried int, now time.Time) {
	if now.Sub(b.suspectsTurnAt) < unplacedTurn {
		return
	}
	b.suspectsTurnAt = now
	if unplaced < maxUnplaced {
		b.suspectsSkipped = 0
		return
	}
	b.suspectsSkipped += tried
}

// suspects returns the waiting tasks of a step with recorded crashes, in their order. A gang has
// none.
func (c candidate) suspects() []jobs.Task {
	if !c.mayHaveSuspects() {
		return nil
	}
	var indexes []int
	for t := range c.entry.progress.Crashed() {
		if t.Occurrence == c.key.occurrence && t.Step == c.key.step && c.queue().has(t.Index) {
			indexes = append(indexes, t.Index)
		}
	}
	c.queue().sort(indexes)
	suspects := make([]jobs.Task, len(indexes))
	for i, index := range indexes {
		suspects[i] = c.task(index)
	}
	return suspects
}

func (c candidate) mayHaveSuspects() bool {
	return c.queue().len() > 0 && c.entry.progress.HasCrashes() && !c.entry.job.Steps[c.key.step].Gang
}

// innocents returns the waiting tasks of a step without recorded crashes, or all of a gang, in
// their order. Those that it has returned may be started meanwhile.
func (c candidate) innocents() iter.Seq[jobs.Task] {
	split := c.mayHaveSuspects()
	return func(yield func(jobs.Task) bool) {
		for index := range c.queue().all() {
			t := c.task(index)
			if split && len(c.entry.progress.Crashes(t)) > 0 {
				continue
			}
			if !yield(t) {
				return
			}
		}
	}
}

// firstInnocent returns the first task of [candidate.innocents], and whether there is any.
func (c candidate) firstInnocent() (jobs.Task, bool) {
	for t := range c.innocents() {
		return t, true
	}
	return jobs.Task{}, false
}

// countInnocents returns the number of tasks of [candidate.innocents].
func (c candidate) countInnocents() int { return c.queue().len() - len(c.suspects()) }

// chooseIsolated returns the worker on which a suspect does least harm, and whether it may
// start there now: nothing else was started there a short time ago. If there is no such
// worker, it returns the one to keep free; if none has room, nil.
func (b *Board) chooseIsolated(e *jobEntry, step *jobs.Step, t jobs.Task, now time.Time) (best *worker, free bool) {
	claim := step.Claim()
	if !b.hasLabel(step.Label) {
		return nil, false
	}
	workers := b.pending.room.atLeast(claim.Millicores)
	if step.LongRunning && !step.BestEffort {
		workers = slices.Concat(workers, b.pending.reserved.atLeast(claim.Millicores))
	}
	var bestCost int64
	for _, w := range workers {
		b.examined++
		if !claim.Fits(w.free()) || !b.accepts(e, step, t, w, now) {
			continue
		}
		isFree := !w.hasYoung(b.policy, now)
		cost := b.placementCost(e, step, t, w)
		if slices.ContainsFunc(e.progress.Crashes(t), func(c jobs.Crash) bool { return hostOf(c.Worker) == w.ID }) {
			cost += costSameHost
		}
		if !step.LongRunning || len(b.promptCrashes(t)) > 0 {
			cost += int64(len(w.attempts))*costSameStep + int64(w.lasting)*costOtherRack
		}
		better := best == nil || isFree && !free || isFree == free && (cost < bestCost || cost == bestCost && w.Key < best.Key)
		if better && (isFree || !free) {
			best, bestCost, free = w, cost, isFree
		}
	}
	return best, free
}
