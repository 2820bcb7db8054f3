package entry

import "time"

const (
	minTry     = time.Second // shortest time limit of a try
	tryFactor  = 4           // of the slowest answer of late
	priorWrong = 10          // times that a declared run time may be too short
	paceDecay  = 64          // part of the slowest time that an answer takes off
)

// pace learns how long a service's slow answers take, so that a try on a
// connection which has gone silent can be given up long before the deadline.
type pace struct {
	slowest time.Duration
}

func newPace(declared time.Duration) *pace {
	return &pace{slowest: declared * priorWrong}
}

// answered takes in how long an answer took.
func (p *pace) answered(took time.Duration) {
	p.slowest = max(took, p.slowest-p.slowest/paceDecay)
}

// gaveUp takes in that a try was given up: if it is the work that became slow,
// the next tries get more time.
func (p *pace) gaveUp(after time.Duration) {
	p.slowest = max(p.slowest, after)
}

// limit returns how long a try may take that has the given time left. If no
// second try would fit in, it may take all of it.
func (p *pace) limit(left time.Duration) time.Duration {
	limit := max(minTry, tryFactor*p.slowest)
	if limit*3/2 > left {
		return left
	}
	return limit
}
