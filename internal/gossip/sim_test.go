package gossip

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The figures of the processes that use a view; package daemon has them.
const (
	simPeriod      = 250 * time.Millisecond
	simSilence     = 900 * time.Millisecond // after which a probed process counts as silent
	simSuspicion   = 450 * time.Millisecond // after which others are asked to probe it
	simProbeTime   = 450 * time.Millisecond // for an answer
	simStep        = 10 * time.Millisecond
	simRelayPeriod = 500 * time.Millisecond
)

// outage is a time in which processes answer nothing: killed ones refuse connections.
type outage struct {
	from, to time.Duration
	share    float64 // of the processes, 0 for one
	refuses  bool
}

// scenario is one play of a fleet.
type scenario struct {
	processes int
	loss      float64 // share of the probes that get no answer
	late      float64 // share of the processes whose timers fire up to 0.4 s late
	outages   []outage
	length    time.Duration
}

// evidence is what a process knows of one that it probes.
type evidence struct {
	answeredAt, relayedAt, unreachedAt time.Duration
	refused                            int
}

type simProcess struct {
	view     *View
	name     string
	nextTick time.Duration
	nextSync time.Duration
	syncs    int
	late     bool
	evidence map[string]*evidence
}

// outcome is what a play showed.
type outcome struct {
	known       []time.Duration // for each outage, until all others held all its processes for failed
	back        []time.Duration // and alive again after its end
	falseAlarms int             // processes reported as failed that ran
	perSecond   float64         // probes that a process sends a second, mean
	most        int             // updates in a message, at most
}

type simulation struct {
	scenario
	random    *rand.Rand
	processes []*simProcess
	byName    map[string]int
	down      [][]bool // by outage and process
	now       time.Duration
	probes    int
	out       outcome
}

func newSimulation(s scenario, seed uint64) *simulation {
	w := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]int{}}
	for i := range s.processes {
		name := fmt.Sprintf("entry-%d", i)
		w.byName[name] = i
		p := &simProcess{view: New(name), name: name, nextTick: time.Duration(w.random.Int64N(int64(simPeriod))), evidence: map[string]*evidence{}, late: w.random.Float64() < s.late}
		w.processes = append(w.processes, p)
	}
	for _, p := range w.processes {
		for i, q := range w.processes {
			p.view.Register(q.name, uint64(i+1))
		}
		p.view.SetReady(true)
	}
	for _, o := range s.outages {
		down := make([]bool, s.processes)
		n := max(1, int(o.share*float64(s.processes)))
		for _, i := range w.random.Perm(s.processes)[:n] {
			down[i] = true
		}
		w.down = append(w.down, down)
	}
	w.out.known, w.out.back = make([]time.Duration, len(s.outages)), make([]time.Duration, len(s.outages))
	return w
}

// isDown reports whether a process answers nothing now, and whether it refuses connections.
func (w *simulation) isDown(i int) (down, refuses bool) {
	for n, o := range w.outages {
		if w.down[n][i] && w.now >= o.from && w.now < o.to {
			return true, o.refuses
		}
	}
	return false, false
}

// probe exchanges news with a process and reports whether it answered.
func (w *simulation) probe(p *simProcess, node string) (answered, refused bool) {
	w.probes++
	i := w.byName[node]
	if down, refuses := w.isDown(i); down {
		return false, refuses
	}
	if w.random.Float64() < w.loss {
		return false, false
	}
	q := w.processes[i]
	for _, exchange := range []struct{ from, to *simProcess }{{p, q}, {q, p}} {
		news := exchange.from.view.News(exchange.to.name)
		w.out.most = max(w.out.most, len(news))
		own := exchange.from.view.SetReady(true)
		exchange.to.view.Apply(append(news, own))
	}
	return true, false
}

func (w *simulation) tick(p *simProcess) {
	if w.now >= p.nextSync {
		p.syncs++
		if p.nextSync > 0 && !p.view.Whole() {
			other := w.byName[p.view.Distant(p.syncs)]
			if down, _ := w.isDown(other); !down {
				p.view.Apply(w.processes[other].view.All())
			}
		}
		p.nextSync = w.now + max(5*time.Second, time.Duration(w.scenario.processes)*50*time.Millisecond)
	}
	neighbours, other := p.view.Targets()
	if other != "" {
		if _, probed := p.evidence[other]; !probed {
			if answered, _ := w.probe(p, other); !answered && p.view.Alive(other) {
				p.evidence[other] = &evidence{answeredAt: w.now}
			}
		}
	}
	for _, node := range neighbours {
		if p.evidence[node] == nil {
			p.evidence[node] = &evidence{answeredAt: w.now}
		}
	}
	names := make([]string, 0, len(p.evidence))
	for node := range p.evidence {
		names = append(names, node)
	}
	slices.Sort(names)
	for _, node := range names {
		e := p.evidence[node]
		answered, refused := w.probe(p, node)
		switch {
		case answered:
			e.answeredAt, e.refused = w.now, 0
			if !slices.Contains(neighbours, node) {
				delete(p.evidence, node)
			}
			continue
		case refused:
			e.refused++
		}
		w.judge(p, node, e)
		if !p.view.Alive(node) {
			delete(p.evidence, node)
		}
	}
}

func (w *simulation) judge(p *simProcess, node string, e *evidence) {
	silence := w.now - e.answeredAt
	switch {
	case e.refused >= 2, silence >= simSilence && e.unreachedAt > e.answeredAt:
		if down, _ := w.isDown(w.byName[node]); p.view.Fail(node) && !down {
			w.out.falseAlarms++
		}
	case silence >= simSuspicion && w.now-e.relayedAt >= simRelayPeriod:
		e.relayedAt = w.now
		for n := range 2 {
			helper := p.view.Distant(w.random.IntN(w.scenario.processes) + n)
			if down, _ := w.isDown(w.byName[helper]); helper == "" || helper == node || down {
				continue
			}
			if answered, _ := w.probe(w.processes[w.byName[helper]], node); answered {
				e.answeredAt = w.now
				return
			}
			e.unreachedAt = w.now + simProbeTime
		}
	}
}

// play runs the scenario.
func (w *simulation) play() outcome {
	for ; w.now < w.length; w.now += simStep {
		for i, p := range w.processes {
			if w.now < p.nextTick {
				continue
			}
			if down, _ := w.isDown(i); !down {
				w.tick(p)
			}
			p.nextTick += simPeriod
			if p.late {
				p.nextTick = w.now + simPeriod + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
			}
		}
		for n, o := range w.outages {
			if w.now%(5*simStep) != 0 {
				continue
			}
			if w.out.known[n] == 0 && w.now >= o.from && w.now < o.to && w.agree(n, false) {
				w.out.known[n] = w.now - o.from + simStep
			}
			if w.out.back[n] == 0 && w.now >= o.to && w.agree(n, true) {
				w.out.back[n] = w.now - o.to + simStep
			}
		}
	}
	w.out.perSecond = float64(w.probes) / float64(w.scenario.processes) / w.length.Seconds()
	return w.out
}

// agree reports whether all processes that run hold all of an outage for alive or failed.
func (w *simulation) agree(n int, alive bool) bool {
	for i, p := range w.processes {
		if down, _ := w.isDown(i); down {
			continue
		}
		for j, affected := range w.down[n] {
			if affected && i != j && p.view.Alive(w.processes[j].name) != alive {
				return false
			}
		}
	}
	return true
}

// All of the plays with 1,000 processes, which take a minute.
var all = flag.Bool("all", false, "simulate every scenario with 1,000 processes")

// Every process learns in time of a failure that only a few see, whatever the size of the
// fleet, and the probes that a process sends do not grow with it. The bounds are those of a
// takeover, 1.5 s after a kill and 3 s after a freeze, and the platform's time for recovery
// where many fail at once.
func TestFailuresAreKnownInTime(t *testing.T) {
	const kill, freeze, recovery = 1500 * time.Millisecond, 3 * time.Second, 12 * time.Second
	one := func(refuses bool) []outage { return []outage{{3 * time.Second, 8 * time.Second, 0, refuses}} }
	many := func(share float64, refuses bool) []outage {
		return []outage{{3 * time.Second, 16 * time.Second, share, refuses}}
	}
	scenarios := []struct {
		name        string
		in          scenario
		known, back time.Duration
	}{
		{"late processes, probes lost, one killed", scenario{loss: 0.02, late: 0.1, outages: one(true)}, kill, freeze},
		{"late processes, probes lost, one frozen", scenario{loss: 0.02, late: 0.1, outages: one(false)}, freeze, freeze},
		{"one killed", scenario{outages: one(true)}, kill, freeze},
		{"one frozen", scenario{outages: one(false)}, freeze, freeze},
		{"a fifth lost", scenario{outages: many(0.2, false)}, recovery, recovery},
		{"two thirds killed", scenario{outages: many(0.66, true)}, recovery, recovery},
	}
	for _, n := range []int{8, 44, 147, 1000} {
		for i, tt := range scenarios {
			seeds := uint64(3)
			if n == 1000 && !*all {
				if i > 0 || raceDetector {
					continue
				}
				seeds = 1
			}
			t.Run(fmt.Sprintf("%d processes, %s", n, tt.name), func(t *testing.T) {
				t.Parallel()
				tt.in.processes = n
				tt.in.length = tt.in.outages[0].to + tt.back
				for seed := range seeds {
					got := newSimulation(tt.in, seed).play()
					t.Logf("seed %d: known after %v, back after %v, %d false alarms, %.1f probes a second, %d updates in a message at most", seed, got.known[0], got.back[0], got.falseAlarms, got.perSecond, got.most)
					if got.known[0] == 0 || got.known[0] > tt.known {
						t.Errorf("seed %d: known after %v, want at most %v", seed, got.known[0], tt.known)
					}
					if got.back[0] == 0 || got.back[0] > tt.back {
						t.Errorf("seed %d: back after %v, want at most %v", seed, got.back[0], tt.back)
					}
					if got.falseAlarms > 0 {
						t.Errorf("seed %d: %d processes that ran were reported as failed", seed, got.falseAlarms)
					}
					if most := 36.0; got.perSecond > most { // what a fleet of nine sends that is probed as a whole, and four more
						t.Errorf("seed %d: %.1f probes a second, want at most %.0f", seed, got.perSecond, most)
					}
				}
			})
		}
	}
}
