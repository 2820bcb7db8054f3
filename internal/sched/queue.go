package sched

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// service is a queue's state for one service.
type service struct {
	share   ServiceShare
	waiting int
	runTime runTimeEstimate
}

// Queue is the state of one pool's dispatcher. It is not safe for concurrent
// use.
type Queue struct {
	services    map[string]*service
	quotas      map[string]int
	totalWeight int // sum over all services

	classes          map[classKey]*class
	activeTeams      map[activeKey]int // number of teams with waiting or running requests
	waiters          map[string]*waiter
	runningByTeam    map[string]int
	runningByService map[string]int
	grants           map[uint64]Grant

	workers        map[string]*worker
	activeWorkers  []*worker // workers that accept requests, by name
	slots          int       // of all active workers that are not ejected
	ejectedWorkers int
	rotation       int
	healthChanges  []HealthChange

	arrivals  uint64
	nextGrant uint64
}

type activeKey struct {
	service string
	urgency Urgency
}

// NewQueue returns a queue without workers.
func NewQueue(config Config) *Queue {
	q := &Queue{
		classes:          map[classKey]*class{},
		activeTeams:      map[activeKey]int{},
		waiters:          map[string]*waiter{},
		runningByTeam:    map[string]int{},
		runningByService: map[string]int{},
		grants:           map[uint64]Grant{},
		workers:          map[string]*worker{},
	}
	q.SetConfig(config)
	return q
}

// SetConfig replaces the shares and quotas. Services that stay keep their run
// time estimates.
func (q *Queue) SetConfig(config Config) {
	old := q.services
	q.services = map[string]*service{}
	q.quotas = map[string]int{}
	q.totalWeight = 0
	for _, share := range config.Services {
		s := &service{share: share, runTime: newRunTimeEstimate(share.RunTime)}
		if known, ok := old[share.Name]; ok {
			s.runTime = known.runTime
			s.waiting = known.waiting
		}
		q.services[share.Name] = s
		q.totalWeight += share.Weight
	}
	for _, team := range config.Teams {
		q.quotas[team.Name] = team.Slots
	}
}

// Arrive grants, queues or refuses a new request.
func (q *Queue) Arrive(r Request, now time.Time) []Decision {
	s, known := q.services[r.Service]
	if !known || q.slots == 0 {
		return []Decision{refuse(r, NoWorker, maxRetryAfter/30)}
	}
	if !r.Deadline.After(now) {
		return []Decision{refuse(r, DeadlinePast, 0)}
	}
	if wait := q.expectedWait(r, s); now.Add(wait).After(r.Deadline) {
		return []Decision{refuse(r, TooLate, wait)}
	}
	var decisions []Decision
	if s.waiting >= s.share.QueueLimit {
		victim := q.evict(r)
		if victim == nil {
			return []Decision{refuse(r, QueueFull, q.drainTime(s))}
		}
		decisions = append(decisions, refuse(victim.request, QueueFull, q.drainTime(s)))
	}
	q.enqueue(r, s)
	return append(decisions, q.dispatch(now)...)
}

// Cancel removes a waiting request. It ignores a request that has a grant,
// which its entry releases.
func (q *Queue) Cancel(id string, now time.Time) []Decision {
	w, waiting := q.waiters[id]
	if !waiting {
		return nil
	}
	q.remove(w)
	return append([]Decision{refuse(w.request, Cancelled, 0)}, q.dispatch(now)...)
}

// Release frees the slot of a grant. It ignores an unknown grant, which may
// have been released before.
func (q *Queue) Release(id uint64, outcome Outcome, now time.Time) []Decision {
	g, held := q.grants[id]
	if !held {
		return nil
	}
	delete(q.grants, id)
	q.stopRunning(g)
	q.recordOutcome(g, outcome, now)
	return q.dispatch(now)
}

// Tick refuses the requests whose deadline has passed and grants free slots.
func (q *Queue) Tick(now time.Time) []Decision {
	var expired []*waiter
	for _, c := range q.classes {
		for len(c.waiting) > 0 && !c.waiting[0].request.Deadline.After(now) {
			w := c.waiting[0]
			q.remove(w)
			expired = append(expired, w)
		}
	}
	slices.SortFunc(expired, byArrival)
	var decisions []Decision
	for _, w := range expired {
		decisions = append(decisions, refuse(w.request, DeadlinePast, 0))
	}
	return append(decisions, q.dispatch(now)...)
}

// DropEntry removes the waiting requests and the grants of an entry that is
// gone.
func (q *Queue) DropEntry(entry string, now time.Time) []Decision {
	for _, w := range q.waiters {
		if w.request.Entry == entry {
			q.remove(w)
		}
	}
	for id, g := range q.grants {
		if g.Entry == entry {
			delete(q.grants, id)
			q.stopRunning(g)
		}
	}
	return q.dispatch(now)
}

// Restore adds a grant that an entry reports as held, so that its slot is not
// granted twice. The grant keeps the ID that another dispatcher gave it.
func (q *Queue) Restore(g Grant) {
	if _, held := q.grants[g.ID]; held {
		return
	}
	q.grants[g.ID] = g
	q.startRunning(g)
}

// SkipGrantIDs makes the IDs of later grants start after base, so that two
// dispatchers of one pool never use the same ID.
func (q *Queue) SkipGrantIDs(base uint64) {
	q.nextGrant = max(q.nextGrant, base)
}

// RefuseAll refuses all waiting requests because the dispatcher stops.
func (q *Queue) RefuseAll(reason Reason) []Decision {
	waiters := slices.SortedFunc(maps.Values(q.waiters), byArrival)
	var decisions []Decision
	for _, w := range waiters {
		q.remove(w)
		decisions = append(decisions, refuse(w.request, reason, minRetryAfter))
	}
	return decisions
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiters) }

// Running returns the number of grants in use.
func (q *Queue) Running() int { return len(q.grants) }

// Slots returns the number of slots of the active workers that are not ejected.
func (q *Queue) Slots() int { return q.slots }

func refuse(r Request, reason Reason, retryAfter time.Duration) Decision {
	wait := min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return Decision{Request: r.ID, Entry: r.Entry, Refusal: &Refusal{Reason: reason, RetryAfter: wait}}
}

// ensureClass returns the class of key and creates it if needed.
func (q *Queue) ensureClass(key classKey) *class {
	c, known := q.classes[key]
	if !known {
		c = &class{key: key}
		q.classes[key] = c
		q.activeTeams[activeKey{key.service, key.urgency}]++
	}
	return c
}

// removeIfIdle removes a class without waiting or running requests.
func (q *Queue) removeIfIdle(c *class) {
	if !c.idle() {
		return
	}
	delete(q.classes, c.key)
	q.activeTeams[activeKey{c.key.service, c.key.urgency}]--
}

func (q *Queue) enqueue(r Request, s *service) {
	q.arrivals++
	c := q.ensureClass(classKey{r.Service, r.Urgency, r.Team})
	w := &waiter{request: r, arrivalNumber: q.arrivals, class: c}
	heap.Push(&c.waiting, w)
	q.waiters[r.ID] = w
	s.waiting++
}

func (q *Queue) remove(w *waiter) {
	heap.Remove(&w.class.waiting, w.index)
	delete(q.waiters, w.request.ID)
	if s, known := q.services[w.request.Service]; known {
		s.waiting--
	}
	q.removeIfIdle(w.class)
}

func (q *Queue) startRunning(g Grant) {
	q.ensureClass(classKey{g.Service, g.Urgency, g.Team}).running++
	q.runningByTeam[g.Team]++
	q.runningByService[g.Service]++
	if w, known := q.workers[g.Worker]; known {
		w.busy++
	}
}

func (q *Queue) stopRunning(g Grant) {
	c := q.ensureClass(classKey{g.Service, g.Urgency, g.Team})
	c.running--
	q.removeIfIdle(c)
	q.runningByService[g.Service]--
	q.runningByTeam[g.Team]--
	if q.runningByTeam[g.Team] == 0 {
		delete(q.runningByTeam, g.Team)
	}
	if w, known := q.workers[g.Worker]; known {
		w.busy--
	}
}

// dispatch grants free slots until none is free or no request within its quota
// waits.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for len(q.waiters) > 0 {
		next := q.nextWaiter()
		if next == nil {
			return decisions
		}
		w := q.pickWorker(next.request, now)
		if w == nil {
			return decisions
		}
		q.remove(next)
		decisions = append(decisions, q.grant(next.request, w, now))
	}
	return decisions
}

func (q *Queue) grant(r Request, w *worker, now time.Time) Decision {
	q.nextGrant++
	g := Grant{
		ID:      q.nextGrant,
		Request: r.ID,
		Entry:   r.Entry,
		Service: r.Service,
		Team:    r.Team,
		Urgency: r.Urgency,
		Worker:  w.Name,
		At:      now,
	}
	q.grants[g.ID] = g
	q.startRunning(g)
	return Decision{Request: r.ID, Entry: r.Entry, Grant: &g}
}

// expectedWait returns a lower bound of how long r waits. It assumes that r's
// class has the whole pool, so that no request is refused that could have
// started in time.
func (q *Queue) expectedWait(r Request, s *service) time.Duration {
	mean, reliable := s.runTime.mean()
	c, known := q.classes[classKey{r.Service, r.Urgency, r.Team}]
	if !reliable || !known {
		return 0
	}
	ahead := 0
	for _, w := range c.waiting {
		if !w.request.Deadline.After(r.Deadline) {
			ahead++
		}
	}
	return mean * time.Duration(ahead/q.slots)
}

// drainTime returns how long the whole pool would take to work off the
// service's queue.
func (q *Queue) drainTime(s *service) time.Duration {
	mean, _ := s.runTime.mean()
	return mean * time.Duration(s.waiting/max(1, q.slots))
}

// GrantIDs returns the IDs of the grants in use, in ascending order.
func (q *Queue) GrantIDs() []uint64 {
	return slices.Sorted(maps.Keys(q.grants))
}
