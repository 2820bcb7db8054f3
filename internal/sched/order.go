package sched

// serviceFloor returns the slots that a service is guaranteed.
func (q *Queue) serviceFloor(name string) float64 {
	s, known := q.services[name]
	if !known {
		return 0
	}
	return float64(q.slots) * float64(s.share.Weight) / float64(q.weights)
}

// floor returns the slots that a class is guaranteed.
func (q *Queue) floor(key classKey) float64 {
	teams := max(1, q.active[activeKey{key.service, key.urgency}])
	return q.serviceFloor(key.service) / urgencies / float64(teams)
}

// standing says how a class stands against its guarantees. The lower rank goes
// first: below the floor of its own, then below that of its service, then the
// rest. Fill is the used part of the floor that decides, 1 if none does.
type standing struct {
	rank int
	fill float64
}

const (
	belowOwnFloor = iota
	belowServiceFloor
	aboveFloors
)

func (q *Queue) standing(c *class) standing {
	if floor := q.floor(c.key); float64(c.running) < floor {
		return standing{belowOwnFloor, float64(c.running) / floor}
	}
	running := float64(q.running[c.key.service])
	if floor := q.serviceFloor(c.key.service); running < floor {
		return standing{belowServiceFloor, running / floor}
	}
	return standing{aboveFloors, 1}
}

// pick returns the waiter that is next in order, nil if none is permitted.
func (q *Queue) pick() *waiter {
	var best *class
	var bestStanding standing
	for _, c := range q.classes {
		if len(c.waiting) == 0 || !q.permitted(c) {
			continue
		}
		s := q.standing(c)
		if best == nil || ranksBefore(c, s, best, bestStanding) {
			best, bestStanding = c, s
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// ranksBefore orders classes by rank, fill, urgency, deadline and arrival.
func ranksBefore(a *class, standingA standing, b *class, standingB standing) bool {
	if standingA.rank != standingB.rank {
		return standingA.rank < standingB.rank
	}
	if standingA.fill != standingB.fill {
		return standingA.fill < standingB.fill
	}
	if a.key.urgency != b.key.urgency {
		return a.key.urgency > b.key.urgency
	}
	return a.waiting[0].before(b.waiting[0])
}

func (q *Queue) permitted(c *class) bool {
	quota, limited := q.quotas[c.key.team]
	return !limited || q.teams[c.key.team] < quota
}

// evict makes room in a full queue: the class of the service that waits most
// for its floor loses its latest deadline. It returns nil if that is the class
// of the arriving request itself.
func (q *Queue) evict(r Request) *waiter {
	own := classKey{r.Service, r.Urgency, r.Team}
	var longest *class
	var most float64
	for _, c := range q.classes {
		if c.key.service != r.Service || len(c.waiting) == 0 {
			continue
		}
		load := float64(len(c.waiting)) / q.floor(c.key)
		if longest == nil || load > most || load == most && evictsBefore(c, longest, own) {
			longest, most = c, load
		}
	}
	if longest == nil || longest.key == own {
		return nil
	}
	last := longest.waiting[0]
	for _, w := range longest.waiting {
		if last.before(w) {
			last = w
		}
	}
	q.remove(last)
	return last
}

// evictsBefore breaks a tie of two classes: the arriving request's own class
// first, then the one whose first waiter came last.
func evictsBefore(a, b *class, own classKey) bool {
	if a.key == own || b.key == own {
		return a.key == own
	}
	return a.waiting[0].arrived > b.waiting[0].arrived
}
