package place

import (
	"math"
	"slices"
	"time"
)

// Organisations share a full pool by their weights (fair queueing over claimed core seconds): the
// organisation that has had the least for its weight goes first. Only room that others wait for
// counts. An organisation for which nothing waits is brought level with the others, so that it gets
// its share at once when it returns, and nothing for the time before.

// rateWindow is the time over which the jobs of an organisation are counted.
const rateWindow = 2 * time.Second

// share is what an organisation has had of a pool.
type share struct {
	used     float64     // while the pool was full, in millicore seconds by weight
	waiting  bool        // tasks of it waited at the last plan
	arrivals []time.Time // when its jobs of the last rateWindow came, within its rate, oldest first
}

// exceeds reports whether a further job is more than an organisation's weight a second.
func (s *share) exceeds(weight int, now time.Time) bool {
	old, _ := slices.BinarySearchFunc(s.arrivals, now.Add(-rateWindow), time.Time.Compare)
	return len(s.arrivals)-old >= weight*int(rateWindow/time.Second)
}

// sharing returns the organisation of a job, nil if shares don't apply to it.
func (b *Board) sharing(name string) *organisation {
	if o := b.organisations[name]; name != "" && o != nil && o.Weight > 0 {
		return o
	}
	return nil
}

// countArrival counts a new job for the rate of its organisation.
func (b *Board) countArrival(e *jobEntry, now time.Time) {
	o := b.sharing(e.job.Organisation)
	switch {
	case o == nil:
	case o.share.exceeds(o.Weight, now):
		e.standing.excess = true
	default:
		// Until the next plan. Otherwise a new job, which has all its time left, is tried at once.
		if b.Overloaded(now) && !b.belowShare(e.job.Organisation) {
			e.standing.standby = true
			b.plan.standby++
		}
		o.share.arrivals = append(slices.DeleteFunc(o.share.arrivals, func(t time.Time) bool { return now.Sub(t) > rateWindow }), now)
	}
}

// usedShare returns what the organisation of a job has had of the pool for its weight.
func (b *Board) usedShare(e *jobEntry) float64 {
	if o := b.sharing(e.job.Organisation); o != nil {
		return o.share.used
	}
	return b.leastShare
}

// rankOrganisation sets what the order of candidates takes from the organisation of a job.
func (b *Board) rankOrganisation(c *candidate, now time.Time) {
	c.share = b.usedShare(c.entry)
	c.newestFirst = c.class == classStandby && c.begun == 0 && b.lastingOverload(now)
	batch := c.class == classOnTime || c.class == classStandby || c.class == classLate
	if batch && c.entry.standing.excess && b.Overloaded(now) {
		c.class = classExcess
	}
}

// chargeStarts counts the work that a decision has started.
func (b *Board) chargeStarts(starts []StartOrder) {
	for _, s := range starts {
		e := b.jobs[s.Task.Job]
		if e.job.Steps[s.Task.Step].LongRunning {
			continue
		}
		work := float64(b.estimates.factor(e.job.Queue) * e.estimatedWork(s.Task.Step, 1))
		b.service.started += work
		if o := b.sharing(e.job.Organisation); o != nil && !e.standing.excess && b.contended {
			o.share.used += work / float64(o.Weight)
		}
	}
}

// levelShares brings the organisations level for which nothing waits.
func (b *Board) levelShares() {
	if len(b.organisations) == 0 {
		return
	}
	for _, o := range b.organisations {
		b.examined++
		o.share.waiting = false
	}
	if b.contended {
		for _, c := range b.pending.steps {
			b.examined++
			o, step := b.sharing(c.entry.job.Organisation), &c.entry.job.Steps[c.key.step]
			if o != nil && c.queue().len() > 0 && !c.entry.standing.excess && !b.heldUp(c.entry, step) {
				o.share.waiting = true
			}
		}
	}
	least := math.Inf(1)
	for _, o := range b.organisations {
		if o.share.waiting {
			least = min(least, o.share.used)
		}
	}
	for _, o := range b.organisations {
		switch {
		case math.IsInf(least, 1):
			o.share.used = 0
		case !o.share.waiting:
			o.share.used = max(o.share.used, least)
		}
	}
	if b.leastShare = least; math.IsInf(least, 1) {
		b.leastShare = 0
	}
}

// ExceedsRate reports whether a new job is beyond the rate of its organisation.
func (b *Board) ExceedsRate(organisation string, now time.Time) bool {
	o := b.sharing(organisation)
	return o != nil && o.share.exceeds(o.Weight, now)
}

// belowShare reports whether the jobs of an organisation come before those of all others that wait.
func (b *Board) belowShare(organisation string) bool {
	o := b.sharing(organisation)
	return b.shedding && b.contended && o != nil && o.share.used <= b.leastShare
}
