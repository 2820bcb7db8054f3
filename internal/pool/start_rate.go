package pool

import "time"

const (
	minStartQueue  = maxStartsInFlight      // starts that may wait to be sent, however few were sent lately: as many as are sent at once
	startQueueTime = maxStartAge / 4        // in which the starts that wait are sent at the present rate; the rest of maxStartAge is for workers with several of them
	startRateDecay = 500 * time.Millisecond // time constant of the mean rate: some ten decisions
)

// startRate is the mean rate at which an owner sends starts. Tasks beyond what it can send
// within startQueueTime wait on the board: bound to a worker, they would grow too old to be
// sent, be placed again, and meanwhile claim room.
type startRate struct {
	perSecond float64
	sent      int64 // starts sent until updatedAt
	updatedAt time.Time
}

// update takes in how many starts have been sent in all.
func (r *startRate) update(sent int64, now time.Time) {
	passed := now.Sub(r.updatedAt)
	if !r.updatedAt.IsZero() && passed > 0 {
		weight := min(1, passed.Seconds()/startRateDecay.Seconds())
		latest := float64(sent-r.sent) / passed.Seconds()
		r.perSecond += float64(weight * (latest - r.perSecond))
	}
	r.sent, r.updatedAt = sent, now
}

// queueLimit returns how many starts of batch tasks may wait to be sent.
func (r *startRate) queueLimit() int {
	return max(minStartQueue, int(r.perSecond*startQueueTime.Seconds()))
}
