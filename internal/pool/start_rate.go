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

const (
	minStartWindow    = 16           // starts that may always be sent at the same time
	firstStartWindow  = 64           // of an owner that knows nothing of the load yet
	startWindowPeriod = orderTimeout // between changes: until the starts sent before have been answered or not
	maxUnansweredPart = 8            // the window shrinks if more than one in so many starts has no answer
)

// startWindow bounds how many starts are sent at the same time. A process or workers that are short
// of processor time answer late, and each start without an answer costs a stop, a list and another
// start: the more are sent, the fewer are answered. The window halves then, and grows again by a
// quarter while it is used and nearly all starts are answered.
type startWindow struct {
	size, most           int
	answered, unanswered int // since changedAt
	changedAt            time.Time
}

func newStartWindow(most int) startWindow {
	return startWindow{size: min(firstStartWindow, most), most: most}
}

// record takes in whether a start was answered.
func (w *startWindow) record(answered bool) {
	if answered {
		w.answered++
		return
	}
	w.unanswered++
}

// limit returns how many starts may be under way now.
func (w *startWindow) limit(now time.Time) int {
	if now.Sub(w.changedAt) < startWindowPeriod {
		return w.size
	}
	switch total := w.answered + w.unanswered; {
	case w.unanswered*maxUnansweredPart > total:
		w.size = max(minStartWindow, w.size/2)
	case total >= w.size:
		w.size = min(w.most, w.size+w.size/4)
	}
	w.answered, w.unanswered, w.changedAt = 0, 0, now
	return w.size
}
