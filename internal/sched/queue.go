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

// service is the state that a queue keeps of one service.
type service struct {
	share   ServiceShare
	waiting int
	times   estimate
}

// Queue is the state of one pool's dispatcher. It is not safe for concurrent
// use.
type Queue struct {
	services map[string]*service
	quotas   map[string]int
	weights  int // of all services

	classes map[classKey]*class
	active  map[activeKey]int // teams with work, by service and urgency
	waiters map[string]*waiter
	teams   map[string]int // running, by team
	running map[string]int // by service
	grants  map[uint64]Grant

	workers  map[string]*worker
	order    []*worker // by name
	slots    int       // of all workers that take work and are not put aside
	asides   int       // workers that are put aside
	rotation int
	health   []HealthChange

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
		classes: map[classKey]*class{},
		active:  map[activeKey]int{},
		waiters: map[string]*waiter{},
		teams:   map[string]int{},
		running: map[string]int{},
		grants:  map[uint64]Grant{},
		workers: map[string]*worker{},
	}
	q.SetConfig(config)
	return q
}

// SetConfig replaces the shares. What was learnt of a service that stays is
// kept.
func (q *Queue) SetConfig(config Config) {
	old := q.services
	q.services = map[string]*service{}
	q.quotas = map[string]int{}
	q.weights = 0
	for _, share := range config.Services {
		s := &service{share: share, times: newEstimate(share.RunTime)}
		if known, ok := old[share.Name]; ok {
			s.times = known.times
			s.waiting = known.waiting
		}
		q.services[share.Name] = s
		q.weights += share.Weight
	}
	for _, team := range config.Teams {
		q.quotas[team.Name] = team.Slots
	}
}

// Arrive takes a request in, and grants, queues or refuses it.
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

// Cancel forgets a waiting request. A request that holds a grant is not
// waiting; its entry releases the grant.
func (q *Queue) Cancel(id string, now time.Time) []Decision {
	w, waiting := q.waiters[id]
	if !waiting {
		return nil
	}
	q.remove(w)
	return append([]Decision{refuse(w.request, Cancelled, 0)}, q.dispatch(now)...)
}

// Release takes back the slot of a grant. A grant that is not known, because
// it was released before, is ignored.
func (q *Queue) Release(id uint64, outcome Outcome, now time.Time) []Decision {
	g, held := q.grants[id]
	if !held {
		return nil
	}
	delete(q.grants, id)
	q.stopRunning(g)
	q.learn(g, outcome, now)
	return q.dispatch(now)
}

// Tick refuses the requests whose deadline has passed and grants what can be
// granted.
func (q *Queue) Tick(now time.Time) []Decision {
	var late []*waiter
	for _, c := range q.classes {
		for len(c.waiting) > 0 && !c.waiting[0].request.Deadline.After(now) {
			w := c.waiting[0]
			q.remove(w)
			late = append(late, w)
		}
	}
	slices.SortFunc(late, byArrival)
	var decisions []Decision
	for _, w := range late {
		decisions = append(decisions, refuse(w.request, DeadlinePast, 0))
	}
	return append(decisions, q.dispatch(now)...)
}

// DropEntry forgets the waiting requests of an entry and takes back its
// grants, because it is gone.
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

// Restore takes over a grant that an entry reports as held, so that its slot
// is not granted twice. Its ID is that of the dispatcher which gave it.
func (q *Queue) Restore(g Grant) {
	if _, held := q.grants[g.ID]; held {
		return
	}
	q.grants[g.ID] = g
	q.startRunning(g)
}

// SkipGrants makes the IDs of further grants start after base, so that two
// dispatchers of one pool never give the same ID.
func (q *Queue) SkipGrants(base uint64) {
	q.nextGrant = max(q.nextGrant, base)
}

// Refuse ends the wait of every request, because the dispatcher stops.
func (q *Queue) Refuse(reason Reason) []Decision {
	waiters := slices.SortedFunc(maps.Values(q.waiters), byArrival)
	var decisions []Decision
	for _, w := range waiters {
		q.remove(w)
		decisions = append(decisions, refuse(w.request, reason, minRetryAfter))
	}
	return decisions
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.waiters) }

// Running returns how many grants are held.
func (q *Queue) Running() int { return len(q.grants) }

// Slots returns how many slots the workers have that take work.
func (q *Queue) Slots() int { return q.slots }

func refuse(r Request, reason Reason, retryAfter time.Duration) Decision {
	wait := min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return Decision{Request: r.ID, Entry: r.Entry, Refusal: &Refusal{Reason: reason, RetryAfter: wait}}
}

func (q *Queue) classOf(key classKey) *class {
	c, known := q.classes[key]
	if !known {
		c = &class{key: key}
		q.classes[key] = c
		q.active[activeKey{key.service, key.urgency}]++
	}
	return c
}

// settle forgets a class that has no work left.
func (q *Queue) settle(c *class) {
	if !c.idle() {
		return
	}
	delete(q.classes, c.key)
	q.active[activeKey{c.key.service, c.key.urgency}]--
}

func (q *Queue) enqueue(r Request, s *service) {
	q.arrivals++
	c := q.classOf(classKey{r.Service, r.Urgency, r.Team})
	w := &waiter{request: r, arrived: q.arrivals, class: c}
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
	q.settle(w.class)
}

func (q *Queue) startRunning(g Grant) {
	q.classOf(classKey{g.Service, g.Urgency, g.Team}).running++
	q.teams[g.Team]++
	q.running[g.Service]++
	if w, known := q.workers[g.Worker]; known {
		w.busy++
	}
}

func (q *Queue) stopRunning(g Grant) {
	c := q.classOf(classKey{g.Service, g.Urgency, g.Team})
	c.running--
	q.settle(c)
	q.running[g.Service]--
	q.teams[g.Team]--
	if q.teams[g.Team] == 0 {
		delete(q.teams, g.Team)
	}
	if w, known := q.workers[g.Worker]; known {
		w.busy--
	}
}

// dispatch grants free slots for as long as permitted work waits.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for len(q.waiters) > 0 {
		next := q.pick()
		if next == nil {
			return decisions
		}
		w := q.place(next.request, now)
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

// expectedWait is a lower bound of the wait of r, as if its class had the whole
// pool, so that nothing is refused which could have started in time.
func (q *Queue) expectedWait(r Request, s *service) time.Duration {
	mean, sure := s.times.mean()
	c, known := q.classes[classKey{r.Service, r.Urgency, r.Team}]
	if !sure || !known {
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

// drainTime is how long the service's queue takes with the whole pool.
func (q *Queue) drainTime(s *service) time.Duration {
	mean, _ := s.times.mean()
	return mean * time.Duration(s.waiting/max(1, q.slots))
}

// Grants returns the IDs of the grants that are held, in order.
func (q *Queue) Grants() []uint64 {
	return slices.Sorted(maps.Keys(q.grants))
}
