package place

import (
	"slices"
	"time"
)

// Organisations share a full pool by their weights (start-time fair queueing): each job gets a
// start tag, the virtual time at which its organisation's earlier work ends, and jobs with
// low tags come first. The virtual time is the highest start tag of the jobs that have begun. An
// organisation without work falls behind it, and begins at it again: it gets its share at
// once, and nothing for the time before.

// rateWindow is the time over which the jobs of an organisation are counted.
const rateWindow = 2 * time.Second

// share is what an organisation has had of a pool.
type share struct {
	finishTag float64     // virtual time at which its work so far ends, in millicore seconds by weight
	arrivals  []time.Time // when its jobs of the last rateWindow came, within its rate, oldest first
}

// exceeds reports whether a further job is more than an organisation's weight a second.
func (s *share) exceeds(weight int, now time.Time) bool {
	old, _ := slices.BinarySearchFunc(s.arrivals, now.Add(-rateWindow), time.Time.Compare)
	return len(s.arrivals)-old >= weight*int(rateWindow/time.Second)
}

// join gives a new job with an amount of work its place among the organisations' jobs.
func (b *Board) join(e *jobEntry, work float64, now time.Time) {
	o := b.organisationOf(e)
	if e.job.Organisation == "" || o.Weight <= 0 {
		e.standing.startTag = b.virtualTime
		return
	}
	e.standing.startTag = max(b.virtualTime, o.share.finishTag)
	if o.share.exceeds(o.Weight, now) {
		e.standing.excess = true // it runs in room that nobody else needs, so it costs no share
		return
	}
	o.share.arrivals = append(slices.DeleteFunc(o.share.arrivals, func(t time.Time) bool { return now.Sub(t) > rateWindow }), now)
	o.share.finishTag = e.standing.startTag + work/float64(o.Weight)
}

// advanceVirtualTime records which jobs a decision has begun.
func (b *Board) advanceVirtualTime(starts []StartOrder) {
	for _, s := range starts {
		e := b.jobs[s.Task.Job]
		if !e.job.Steps[s.Task.Step].LongRunning {
			b.service.started += float64(b.estimates.factor(e.job.Queue) * e.estimatedWork(s.Task.Step, 1))
		}
		if !e.standing.excess {
			b.virtualTime = max(b.virtualTime, e.standing.startTag)
		}
	}
}

// belowShare reports whether an organisation has had no more of the pool than others have for their
// weights.
func (b *Board) belowShare(organisation string) bool {
	o := b.organisations[organisation]
	return b.shedding && organisation != "" && o != nil && o.Weight > 0 && o.share.finishTag <= b.virtualTime
}

// exceedsRate reports whether a new job is beyond the rate of its organisation.
func (b *Board) exceedsRate(organisation string, now time.Time) bool {
	o := b.organisations[organisation]
	return organisation != "" && o != nil && o.Weight > 0 && o.share.exceeds(o.Weight, now)
}
