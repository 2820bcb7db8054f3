package model

import (
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Tally counts the jobs of a queue or of a time window and adds up their worth.
type Tally struct {
	Jobs       int
	OnTime     int
	Late       int // late, but not too late to be worth something
	Lost       int // worth nothing: refused, too late or never done
	Achievable float64
	Achieved   float64
}

// Share returns the achieved share of the achievable worth.
func (t Tally) Share() float64 {
	if t.Achievable == 0 {
		return 1
	}
	return t.Achieved / t.Achievable
}

func (t *Tally) add(achievable, achieved float64) {
	t.Jobs++
	t.Achievable += achievable
	t.Achieved += achieved
}

// windowLength is the length of the windows among which the worst are reported.
const windowLength = 4 * time.Second

// Result holds the outcome of one run.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64

	All     Tally
	Queues  map[string]*Tally
	Windows []Tally // by the time of first submission

	Refusals    int
	HostSeconds float64 // of hosts in pools
	Moves       int
	Wasted      float64 // core seconds of work that was not saved
	Missed      int     // hosts that a wave did not maintain in time
	Doubled     int     // attempts that began while another one of their task went on

	// Standstills holds, for each pool and each start after hand-overs, the time from the first of
	// these on in which no task of a job was started that an earlier owner had accepted.
	Standstills []time.Duration

	prices Prices
	goal   Goal
}

func newResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Policy: policy, Seed: seed, Queues: map[string]*Tally{}, prices: s.Prices, goal: s.Goal}
	r.Windows = make([]Tally, int(s.Fleet.Length/windowLength)+1)
	for _, q := range s.Queues {
		r.Queues[q.Name] = &Tally{}
	}
	return r
}

// addWaste adds the work that is lost with an attempt.
func (r *Result) addWaste(w *simulation, lost *run) {
	if lost.lasting {
		return
	}
	worked := w.now.Sub(lost.began)
	if lost.saves {
		worked = time.Duration(float64(worked) - float64(float64(lost.duration)*(restoredShare(lost.saved(w.now))-lost.done)))
	}
	r.Wasted += float64(float64(lost.size.Millicores) / 1000 * max(0, worked.Seconds()))
}

// add adds the outcome of a job.
func (r *Result) add(c *call) {
	if c.cancelled {
		return
	}
	achievable := c.worth()
	achieved := 0.0
	late := false
	elapsed := c.done.Sub(c.sent)
	switch {
	case c.job.LongRunning():
		if c.dueSeconds > 0 {
			achieved = achievable * c.servedSeconds / c.dueSeconds
		}
	case c.poison: // must end as failed within its objective
		if c.state == jobs.Aborted {
			achieved = achievable
		}
	case c.state != jobs.Complete || elapsed > maxLateObjectives*c.objective():
	case elapsed > c.objective():
		late = true
		achieved = achievable * c.queue.LateWorth / max(c.queue.Worth, 1e-9)
	default:
		achieved = achievable
	}
	tallies := []*Tally{&r.All, r.Queues[c.queue.Name]}
	if n := int(c.sent.Sub(epoch) / windowLength); !c.job.LongRunning() && n >= 0 && n < len(r.Windows) {
		tallies = append(tallies, &r.Windows[n])
	}
	for _, t := range tallies {
		t.add(achievable, achieved)
		switch {
		case late:
			t.Late++
		case achieved > 0:
			t.OnTime++
		default:
			t.Lost++
		}
	}
}

// worth returns what the job is worth on time.
func (c *call) worth() float64 {
	if c.job.LongRunning() {
		return c.queue.Worth * c.dueSeconds / float64(c.job.Steps[0].Count) / lastingUnit.Seconds()
	}
	return c.queue.Worth * min(maxWorthFactor, 0.3+0.7*c.work/c.queue.meanWork())
}

// lastingUnit is the time of service for which a lasting job achieves its worth once.
const lastingUnit = 2 * time.Second

// worstWindows returns the mean share of the two worst windows with achievable worth.
func (r *Result) worstWindows() float64 {
	var shares []float64
	for _, t := range r.Windows {
		if t.Achievable > 0 {
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

// worstQueue returns the lowest share of any queue.
func (r *Result) worstQueue() float64 {
	worst := 1.0
	for _, t := range r.Queues {
		if t.Jobs > 0 {
			worst = min(worst, t.Share())
		}
	}
	return worst
}

// Served returns the shares of achieved worth, weighted by the goal.
func (r *Result) Served() float64 {
	return float64(r.goal.Day*r.All.Share()) + float64(r.goal.Windows*r.worstWindows()) + float64(r.goal.Class*r.worstQueue())
}

// HostPrice returns the price of hosts in pools, as a share of the achievable worth.
func (r *Result) HostPrice() float64 {
	return r.prices.HostSecond * r.HostSeconds / max(r.All.Achievable, 1e-9)
}

// MovePrice returns the price of moves, as a share of the achievable worth.
func (r *Result) MovePrice() float64 {
	return r.prices.Move * float64(r.Moves) / max(r.All.Achievable, 1e-9)
}

// Worth returns the served share minus the prices of hosts and moves.
func (r *Result) Worth() float64 { return r.Served() - r.HostPrice() - r.MovePrice() }
