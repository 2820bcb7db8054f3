package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// stepAdvice is what the advice service has told about a step. Workers are named by their
// lifetimes: a ticket is valid for one of them. Which workers may run the step does not
// change, so that a worker without a ticket is not asked about again.
type stepAdvice struct {
	asking   []string // workers that the request under way names, nil if there is none
	asked    bool     // a request was made
	tickets  map[string]ticket
	denied   map[string]bool
	failedIn map[string]int // how many workers the smallest request named that failed with this one
	failures int            // requests in a row without a usable answer
	askAfter time.Time      // no request is made before
}

// ticket allows a worker to run a step.
type ticket struct {
	value       string
	usableUntil time.Time
}

const (
	firstAdviceWorkers  = 24                     // workers in a step's first request; each one adds to its response time
	maxAdviceWorkers    = 100                    // workers in a later request, the service's limit
	maxAdviceRequests   = 8                      // under way at the same time; the service refuses calls once 32 of a process wait
	minTicketValidity   = 500 * time.Millisecond // tickets closer to their expiry are not used
	adviceCheckPeriod   = 100 * time.Millisecond // between looks for workers to ask about, once all were asked about
	minAdviceRetryDelay = 150 * time.Millisecond // after a request without a usable answer; doubles with each further one
	maxAdviceRetryDelay = 5 * time.Second
)

// ticketFor returns the ticket of a worker's lifetime, empty if it has none.
func (a *stepAdvice) ticketFor(key string, now time.Time) string {
	if a == nil {
		return ""
	}
	if t := a.tickets[key]; now.Before(t.usableUntil) {
		return t.value
	}
	return ""
}

// groupOf returns how many workers the smallest request named that failed with a worker, and
// more than a request may name if none did.
func (a *stepAdvice) groupOf(key string) int {
	if n := a.failedIn[key]; n > 0 {
		return n
	}
	return 2 * maxAdviceWorkers
}

// retryLater delays the next request after one without a usable answer.
func (a *stepAdvice) retryLater(now time.Time) {
	a.askAfter = now.Add(min(minAdviceRetryDelay<<min(a.failures, 10), maxAdviceRetryDelay))
	a.failures++
}

// ensureTickets reports whether any worker has a ticket for a step, of which t is a task that
// is to be placed. If the workers with tickets have no room for it, it asks about others.
func (b *Board) ensureTickets(o *Orders, e *jobEntry, key stepKey, t jobs.Task, now time.Time) bool {
	a := e.advice[key]
	if a == nil {
		a = &stepAdvice{tickets: map[string]ticket{}, denied: map[string]bool{}, failedIn: map[string]int{}}
		e.advice[key] = a
	}
	step := &e.job.Steps[key.step]
	usable, room := b.ticketedRoom(e, step, a, t, now)
	need := 1
	if step.Gang {
		need = step.Count
	}
	if room < need && a.asking == nil && !now.Before(a.askAfter) && b.adviceRequests < maxAdviceRequests {
		b.askAdvice(o, e, key, a, now)
	}
	return usable
}

// ticketedRoom reports whether any worker has a ticket for a step, and returns how many of the
// step's tasks the workers with tickets have room for.
func (b *Board) ticketedRoom(e *jobEntry, step *jobs.Step, a *stepAdvice, t jobs.Task, now time.Time) (usable bool, room int) {
	claim := step.Claim()
	for key := range a.tickets {
		b.examined++
		w := b.workers[key]
		if w == nil || !w.acceptsTasks() || a.ticketFor(key, now) == "" {
			continue
		}
		usable = true
		if !b.accepts(e, step, t, w, now) {
			continue
		}
		limit := step.Count
		if step.MaxPerWorker > 0 {
			limit = step.MaxPerWorker - e.countOnWorker(stepKey{t.Occurrence, t.Step}, w)
		}
		room += max(0, min(limit, claim.Count(w.free())))
	}
	return usable, room
}

// askAdvice adds a request about workers that may have a step's tasks and whose tickets are not
// known: first those with room, then those whose tickets have expired. Workers that were named
// together in a request that failed come after the others and are named in halves, so that
// one about which the service can't answer keeps it from being asked about no other.
func (b *Board) askAdvice(o *Orders, e *jobEntry, key stepKey, a *stepAdvice, now time.Time) {
	step := &e.job.Steps[key.step]
	claim := step.Claim()
	var due []*worker
	for _, w := range b.workers {
		b.examined++
		if w.acceptsTasks() && w.hasLabel(step.Label) && claim.Fits(w.Size) && !a.denied[w.Key] && a.ticketFor(w.Key, now) == "" {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		a.askAfter = now.Add(adviceCheckPeriod)
		return
	}
	rank := func(w *worker) (rank int) {
		if !claim.Fits(w.free()) {
			rank = 2
		}
		if _, allowed := a.tickets[w.Key]; !allowed {
			rank++
		}
		return rank
	}
	slices.SortFunc(due, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(a.groupOf(y.Key), a.groupOf(x.Key)), cmp.Compare(rank(x), rank(y)), cmp.Compare(x.Key, y.Key))
	})
	limit, group := maxAdviceWorkers, a.groupOf(due[0].Key)
	if _, allowed := a.tickets[due[0].Key]; allowed || !a.asked {
		limit = firstAdviceWorkers
	}
	limit = min(limit, max(1, group/2))
	var ids []string
	for _, w := range due {
		if len(ids) == limit || a.groupOf(w.Key) != group {
			break
		}
		a.asking = append(a.asking, w.Key)
		ids = append(ids, w.ID)
	}
	a.asked = true
	b.adviceRequests++
	o.Advice = append(o.Advice, AdviceOrder{e.job.ID, key.occurrence, key.step, e.job.Queue, ids})
}

// Advised records the answer to a request for advice: the tickets of those of its workers that
// may run the step, by id.
func (b *Board) Advised(q AdviceOrder, tickets map[string]string, until, now time.Time) {
	b.recordStep(Step{Kind: StepAdvised, ID: q.Job, Task: jobs.Task{Occurrence: q.Occurrence, Step: q.Step}, Workers: q.Workers, Tickets: tickets, Until: until, At: now})
	a, asked := b.endAdviceRequest(q)
	if a == nil {
		return
	}
	validity := until.Sub(now)
	usableUntil := until.Add(-min(minTicketValidity, validity/2))
	for _, key := range asked {
		if value := tickets[hostOf(key)]; value != "" {
			a.tickets[key] = ticket{value, usableUntil}
			continue
		}
		delete(a.tickets, key)
		a.denied[key] = true
	}
	for key, n := range a.failedIn { // the service may have been at fault
		a.failedIn[key] = 2 * n
		if n > maxAdviceWorkers {
			delete(a.failedIn, key)
		}
	}
	if len(tickets) > 0 && validity <= 0 {
		a.retryLater(now)
		return
	}
	a.failures, a.askAfter = 0, time.Time{}
}

// AdviceFailed records that a request for advice had no answer.
func (b *Board) AdviceFailed(q AdviceOrder, now time.Time) {
	b.recordStep(Step{Kind: StepAdviceFailed, ID: q.Job, Task: jobs.Task{Occurrence: q.Occurrence, Step: q.Step}, Workers: q.Workers, At: now})
	a, asked := b.endAdviceRequest(q)
	if a == nil {
		return
	}
	for _, key := range asked {
		a.failedIn[key] = len(asked)
	}
	a.retryLater(now)
}

// endAdviceRequest returns the advice on a step and the lifetimes that the request named, nil if
// the request is not of this job but of one with the same id that has expired.
func (b *Board) endAdviceRequest(q AdviceOrder) (a *stepAdvice, asked []string) {
	b.adviceRequests = max(0, b.adviceRequests-1)
	e := b.jobs[q.Job]
	if e == nil {
		return nil, nil
	}
	a = e.advice[stepKey{q.Occurrence, q.Step}]
	if a == nil || !slices.EqualFunc(a.asking, q.Workers, func(key, id string) bool { return hostOf(key) == id }) {
		return nil, nil
	}
	asked, a.asking = a.asking, nil
	return a, asked
}

// adviseMoves asks for advice on the long-running steps whose tasks are to move.
func (b *Board) adviseMoves(o *Orders, now time.Time) {
	var tasks []jobs.Task // the first of each step
	for l := range b.pending.moves {
		if !b.needsTickets(l.entry) || !b.lookAt(l.entry, l.key, now) {
			continue
		}
		movable := l.movable()
		sortAttempts(movable)
		if len(movable) > 0 {
			tasks = append(tasks, movable[0].Task)
		}
	}
	slices.SortFunc(tasks, jobs.Task.Compare)
	for _, t := range tasks {
		e, key := b.jobs[t.Job], stepKey{t.Occurrence, t.Step}
		b.lookAt(e, key, now)
		b.ensureTickets(o, e, key, t, now)
	}
}
