package sched

// serviceGuarantee returns the number of slots that a service is guaranteed.
func (q *Queue) serviceGuarantee(name string) float64 {
	s, known := q.services[name]
	if !known {
		return 0
	}
	return float64(q.slots) * float64(s.share.Weight) / float64(q.totalWeight)
}

// classGuarantee returns the number of slots that a class is guaranteed.
func (q *Queue) classGuarantee(key classKey) float64 {
	teams := max(1, q.activeTeams[activeKey{key.service, key.urgency}])
	return q.serviceGuarantee(key.service) / urgencyLevels / float64(teams)
}

// priority orders classes by how far they are below their guarantees. The
// lowest rank goes first: classes below their own guarantee, then those of a
// service below its guarantee, then the rest. usedShare is the used share of
// the guarantee that sets the rank, or 1 if both are met.
type priority struct {
	rank      int
	usedShare float64
}

const (
	belowClassGuarantee = iota
	belowServiceGuarantee
	guaranteesMet
)

func (q *Queue) priority(c *class) priority {
	if guarantee := q.classGuarantee(c.key); float64(c.running) < guarantee {
		return priority{belowClassGuarantee, float64(c.running) / guarantee}
	}
	running := float64(q.runningByService[c.key.service])
	if guarantee := q.serviceGuarantee(c.key.service); running < guarantee {
		return priority{belowServiceGuarantee, running / guarantee}
	}
	return priority{guaranteesMet, 1}
}

// nextWaiter returns the request to dispatch next, or nil if none may run.
func (q *Queue) nextWaiter() *waiter {
	var best *class
	var bestPriority priority
	for _, c := range q.classes {
		if len(c.waiting) == 0 || !q.withinQuota(c) {
			continue
		}
		p := q.priority(c)
		if best == nil || ranksBefore(c, p, best, bestPriority) {
			best, bestPriority = c, p
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// ranksBefore orders classes by rank, used share, urgency, deadline and
// arrival.
func ranksBefore(a *class, priorityA priority, b *class, priorityB priority) bool {
	if priorityA.rank != priorityB.rank {
		return priorityA.rank < priorityB.rank
	}
	if priorityA.usedShare != priorityB.usedShare {
		return priorityA.usedShare < priorityB.usedShare
	}
	if a.key.urgency != b.key.urgency {
		return a.key.urgency > b.key.urgency
	}
	return a.waiting[0].before(b.waiting[0])
}

// withinQuota reports whether the class's team may use another slot.
func (q *Queue) withinQuota(c *class) bool {
	quota, limited := q.quotas[c.key.team]
	return !limited || q.runningByTeam[c.key.team] < quota
}

// evict removes a waiting request from a full queue to make room for r. It
// picks the class of r's service with the most waiting requests per guaranteed
// slot, and in it the request with the latest deadline. It returns nil if that
// class is r's own.
func (q *Queue) evict(r Request) *waiter {
	own := classKey{r.Service, r.Urgency, r.Team}
	var victim *class
	var victimLoad float64
	for _, c := range q.classes {
		if c.key.service != r.Service || len(c.waiting) == 0 {
			continue
		}
		load := float64(len(c.waiting)) / q.classGuarantee(c.key)
		if victim == nil || load > victimLoad || load == victimLoad && evictsBefore(c, victim, own) {
			victim, victimLoad = c, load
		}
	}
	if victim == nil || victim.key == own {
		return nil
	}
	latest := victim.waiting[0]
	for _, w := range victim.waiting {
		if latest.before(w) {
			latest = w
		}
	}
	q.remove(latest)
	return latest
}

// evictsBefore breaks a tie of two classes: the arriving request's own class
// comes first, then the class whose first waiting request arrived later.
func evictsBefore(a, b *class, own classKey) bool {
	if a.key == own || b.key == own {
		return a.key == own
	}
	return a.waiting[0].arrivalNumber > b.waiting[0].arrivalNumber
}
