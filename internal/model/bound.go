package model

import (
	"math"
	"time"
)

// Bound is what a plan needs that knows all jobs in advance.
type Bound struct {
	HostSeconds float64
	Moves       int
}

// boundStep is how finely the clairvoyant plan is made.
const boundStep = 100 * time.Millisecond

// Clairvoyant returns the hosts and moves of a plan that knows the load in advance
// and spreads the work of each job evenly over the time that its objective leaves.
// Tasks are taken as fluid, so that no real plan can need fewer host seconds for the
// same service; faults are left out. For each level of hosts of a pool it is weighed
// whether to give the host away in a gap, or to keep it.
func Clairvoyant(s Scenario, seed uint64) Bound {
	w := newWorld(&s, NewPolicy(DefaultPolicyName), seed)
	w.load(&s)
	total := s.Fleet.Lead + s.Fleet.Length + s.Fleet.Finish
	steps := int(total / boundStep)
	need := map[string][]float64{}
	for _, name := range w.names {
		need[name] = make([]float64, steps)
	}
	for _, c := range w.drawn {
		span := c.objective()
		from := c.at
		if c.job.LongRunning() {
			from, span = -s.Fleet.Lead, total
			c.work = float64(c.job.Steps[0].Count*c.job.Steps[0].Claim().Millicores) * span.Seconds()
		}
		first := int((from + s.Fleet.Lead) / boundStep)
		n := max(1, int(span/boundStep))
		for i := first; i < min(steps, first+n); i++ {
			need[c.queue.Pool][i] += c.work / (float64(n) * boundStep.Seconds())
		}
	}
	var b Bound
	gap := 0.0 // seconds for which keeping a host costs as much as two moves
	if s.Prices.HostSecond > 0 {
		gap = 2 * s.Prices.Move / s.Prices.HostSecond
	}
	for _, name := range w.names {
		b.add(need[name], float64(s.Fleet.Millicores), gap)
	}
	return b
}

// add adds a pool's hosts: level by level, those that are needed and those that are
// kept over short gaps.
func (b *Bound) add(need []float64, size, gap float64) {
	most := 0
	hosts := make([]int, len(need))
	for i, n := range need {
		hosts[i] = int(math.Ceil(n / size))
		most = max(most, hosts[i])
	}
	step := boundStep.Seconds()
	for level := 1; level <= most; level++ {
		last := -1 // step in which the level was needed last
		for i, n := range hosts {
			if n < level {
				continue
			}
			switch idle := float64(i-last-1) * step; {
			case last < 0:
				b.Moves++
			case idle > gap:
				b.Moves += 2
			default:
				b.HostSeconds += idle
			}
			b.HostSeconds += step
			last = i
		}
		b.Moves++ // given away at the end
	}
}
