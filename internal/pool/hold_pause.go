package pool

import (
	"sync/atomic"
	"time"
)

const (
	lagDecay     = 500 * time.Millisecond // time constant of the mean lateness of the loop: ten ticks
	keptUpLag    = 10 * time.Millisecond  // a loop that is less late keeps up
	lagFactor    = 4                      // the pause as a multiple of the lag
	maxHoldPause = 200 * time.Millisecond // a third of the run time of short tasks: ends that wait longer cost more room than they save time
)

// holdPause is the least time between two renewals of a worker on which tasks end. While the
// loop keeps up there is none. Beyond that an owner short of processor time asks each worker
// less often, and an answer tells of more ends.
type holdPause struct {
	lag   time.Duration // mean lateness of the ticks
	pause atomic.Int64  // nanoseconds; read by the agents
}

// update takes in by how much a tick was late, passed after the one before.
func (p *holdPause) update(late, passed time.Duration) {
	weight := min(1, passed.Seconds()/lagDecay.Seconds())
	p.lag += time.Duration(weight * float64(late-p.lag))
	pause := time.Duration(0)
	if p.lag > keptUpLag {
		pause = min(lagFactor*p.lag, maxHoldPause)
	}
	p.pause.Store(int64(pause))
}

// until returns when the next renewal is due after one that was sent at a time.
func (p *holdPause) until(sentAt time.Time) time.Time {
	return sentAt.Add(time.Duration(p.pause.Load()))
}
