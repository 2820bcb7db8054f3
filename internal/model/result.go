package model

import (
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Tally counts the jobs of a queue, or of a window of time.
type Tally struct {
	Jobs   int
	OnTime int
	Late   int // of worth to their callers, but late
	Lost   int // of no worth: refused for good, too late, or never done
	Owed   float64
	Earned float64
}

// Share returns the part of what is owed that was earned.
func (t Tally) Share() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

func (t *Tally) add(owed, earned float64) {
	t.Jobs++
	t.Owed += owed
	t.Earned += earned
}

// windowTime is the length of a window by which the worst moments are told.
const windowTime = 4 * time.Second

// Result is what came of one play.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64

	All     Tally
	Queues  map[string]*Tally
	Windows []Tally // by the first send of jobs

	Refusals    int
	HostSeconds float64 // of hosts in pools
	Moves       int
	Wasted      float64 // core seconds of work that was not saved
	Missed      int     // hosts that a wave did not reach in time

	prices Prices
	goal   Goal
}

func newResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Policy: policy, Seed: seed, Queues: map[string]*Tally{}, prices: s.Prices, goal: s.Goal}
	r.Windows = make([]Tally, int(s.Fleet.Length/windowTime)+1)
	for _, q := range s.Queues {
		r.Queues[q.Name] = &Tally{}
	}
	return r
}

// waste counts work that is lost with an attempt.
func (r *Result) waste(w *world, lost *run) {
	if lost.lasting {
		return
	}
	worked := w.now.Sub(lost.began)
	if lost.saves {
		worked = time.Duration(float64(worked) - float64(lost.took)*(restored(lost.saved(w.now))-lost.done))
	}
	r.Wasted += float64(lost.size.Millicores) / 1000 * max(0, worked.Seconds())
}

// add takes in how a job came out.
func (r *Result) add(c *call) {
	if c.cancelled {
		return
	}
	owed := c.worth()
	earned := 0.0
	late := false
	took := c.done.Sub(c.sent)
	switch {
	case c.job.LongRunning():
		if c.wanted > 0 {
			earned = owed * c.atWork / c.wanted
		}
	case c.poison: // it is right that it ends failed, soon
		if c.state == jobs.Aborted {
			earned = owed
		}
	case c.state != jobs.Complete || took > lateAfter*c.objective():
	case took > c.objective():
		late = true
		earned = owed * c.queue.LateWorth / max(c.queue.Worth, 1e-9)
	default:
		earned = owed
	}
	tallies := []*Tally{&r.All, r.Queues[c.queue.Name]}
	if n := int(c.sent.Sub(epoch) / windowTime); !c.job.LongRunning() && n >= 0 && n < len(r.Windows) {
		tallies = append(tallies, &r.Windows[n])
	}
	for _, t := range tallies {
		t.add(owed, earned)
		switch {
		case late:
			t.Late++
		case earned > 0:
			t.OnTime++
		default:
			t.Lost++
		}
	}
}

// worth returns what the job is worth on time.
func (c *call) worth() float64 {
	if c.job.LongRunning() {
		return c.queue.Worth * c.wanted / float64(c.job.Steps[0].Count) / lastingUnit.Seconds()
	}
	return c.queue.Worth * min(maxScale, 0.3+0.7*c.work/c.queue.meanWork())
}

// lastingUnit is the time in which a lasting job earns its worth once.
const lastingUnit = 2 * time.Second

// worstWindows returns the mean share of the two worst windows in which something
// was owed.
func (r *Result) worstWindows() float64 {
	var shares []float64
	for _, t := range r.Windows {
		if t.Owed > 0 {
			shares = append(shares, t.Share())
		}
	}
	if len(shares) == 0 {
		return 1
	}
	slices.Sort(shares)
	worst := shares[:min(2, len(shares))]
	sum := 0.0
	for _, s := range worst {
		sum += s
	}
	return sum / float64(len(worst))
}

// worstQueue returns the share of the queue that was served worst.
func (r *Result) worstQueue() float64 {
	worst := 1.0
	for _, t := range r.Queues {
		if t.Jobs > 0 {
			worst = min(worst, t.Share())
		}
	}
	return worst
}

// Served returns what was earned of what is owed, weighed by the goal.
func (r *Result) Served() float64 {
	return r.goal.Day*r.All.Share() + r.goal.Windows*r.worstWindows() + r.goal.Class*r.worstQueue()
}

// HostPrice returns the price of hosts in pools, as a share of what is owed.
func (r *Result) HostPrice() float64 {
	return r.prices.HostSecond * r.HostSeconds / max(r.All.Owed, 1e-9)
}

// MovePrice returns the price of moves, as a share of what is owed.
func (r *Result) MovePrice() float64 {
	return r.prices.Move * float64(r.Moves) / max(r.All.Owed, 1e-9)
}

// Worth returns what is left of what was served after prices.
func (r *Result) Worth() float64 { return r.Served() - r.HostPrice() - r.MovePrice() }
