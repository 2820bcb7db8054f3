package model

import (
	"math"
	"time"
)

// Bound holds the resources of a plan that knows all jobs in advance.
type Bound struct {
	HostSeconds float64
	Moves       int
}

// boundStep is the time resolution of the clairvoyant plan.
const boundStep = 100 * time.Millisecond

// Clairvoyant returns the hosts and moves of a plan that knows the load in advance
// and spreads the work of each job evenly over the time that its objective leaves.
// Work can be divided at will, so that no real plan needs fewer host seconds for the
// same service; faults are ignored. A host that a pool does not need for a while is
// kept if that costs less than moving it away and back.
func Clairvoyant(s Scenario, seed uint64) Bound {
	w := newWorld(&s, NewPolicy(DefaultPolicyName), seed)
	w.load(&s)
	total := s.Fleet.Lead + s.Fleet.Length + s.Fleet.Finish
	steps := int(total / boundStep)
	need := map[string][]float64{}
	for _, name := range w.poolNames {
		need[name] = make([]float64, steps)
	}
	for _, c := range w.allCalls {
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
	for _, name := range w.poolNames {
		b.add(need[name], float64(s.Fleet.Millicores), gap)
	}
	return b
}

// add adds the hosts of a pool. Level n covers the times at which at least n hosts
// are needed, and the short gaps between them.
func (b *Bound) add(need []float64, size, gap float64) {
	most := 0
	hosts := make([]int, len(need))
	for i, n := range need {
		hosts[i] = int(math.Ceil(n / size))
		most = max(most, hosts[i])
	}
	step := boundStep.Seconds()
	for level := 1; level <= most; level++ {
		last := -1 // last step that needed the level
		for i, n := range hosts {
			if n < level {
				continue
			}
			switch idle := float64(float64(i-last-1) * step); {
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
		b.Moves++ // the host is moved away at the end
	}
}
