package pool

import (
	"time"

	"github.com/sirupsen/logrus"
)

// loopStats measures whether an owner's loop keeps up. Lateness without time spent on
// decisions means that something else holds the process up.
type loopStats struct {
	tickedAt  time.Time
	lateness  time.Duration // longest delay of a tick since the last reset
	decisions int
	deciding  time.Duration // total duration of the decisions
}

// recordTick returns by how much the tick is late, and the time since the last one.
func (s *loopStats) recordTick(now time.Time) (late, passed time.Duration) {
	if !s.tickedAt.IsZero() {
		passed = now.Sub(s.tickedAt)
		late = max(0, passed-tickPeriod)
		metricLate.Update(late.Seconds())
		s.lateness = max(s.lateness, late)
	}
	s.tickedAt = now
	return late, passed
}

func (s *loopStats) recordDecision(d time.Duration) {
	metricDecide.Update(d.Seconds())
	s.decisions++
	s.deciding += d
}

// reset starts a new period.
func (s *loopStats) reset() { *s = loopStats{tickedAt: s.tickedAt} }

// fields returns the values of the period for the log.
func (s *loopStats) fields() logrus.Fields {
	return logrus.Fields{
		"late-ms": s.lateness.Milliseconds(), "decisions": s.decisions, "deciding-ms": s.deciding.Milliseconds(),
	}
}
