package model

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/jobs"
)

// epoch is the start of the load.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// timedEvent is a function to call at a time.
type timedEvent struct {
	at     time.Time
	number int // orders events at the same time
	do     func()
}

type eventQueue []timedEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of a simulated deployment.
type simulation struct {
	scenario     *Scenario
	policy       Policy
	now          time.Time
	events       eventQueue
	number       int
	random       *rand.Rand
	pools        map[string]*owner
	poolNames    []string // of pools with an owner
	hosts        []*host
	fleetManager *fleetManager
	workers      int // started so far
	result       *Result
	allCalls     []*call // all jobs
	calls        map[jobs.ID]*call
	running      map[jobs.Task]*worker // where the latest attempt of a task began
	log          *event.Log            // the recording, nil if there is none
}

// Run simulates a scenario with a policy. The same seed gives the same jobs under
// every policy.
func Run(s Scenario, policy Policy, seed uint64) *Result { return Record(s, policy, seed, nil) }

// Record is like [Run] and writes every step of the pools' boards to out, for a
// replay. If out is nil, nothing is recorded.
func Record(s Scenario, policy Policy, seed uint64, out io.Writer) *Result {
	return simulate(&s, policy, seed, out).result
}

func simulate(s *Scenario, policy Policy, seed uint64, out io.Writer) *simulation {
	w := newWorld(s, policy, seed)
	if out != nil {
		w.log = event.NewLog(s.Name, 1, func() time.Time { return w.now })
		w.log.RecordTo(out)
	}
	for _, name := range w.poolNames {
		w.pools[name].prepare()
	}
	w.fleetManager = newFleetManager(w)
	w.begin()
	end := epoch.Add(s.Fleet.Length + s.Fleet.Finish)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := w.pop()
		w.now = e.at
		e.do()
	}
	w.now = end
	w.finish()
	return w
}

func newWorld(s *Scenario, policy Policy, seed uint64) *simulation {
	w := &simulation{
		scenario: s, policy: policy, now: epoch.Add(-s.Fleet.Lead), random: rand.New(rand.NewPCG(seed, 1)),
		pools: map[string]*owner{}, calls: map[jobs.ID]*call{}, running: map[jobs.Task]*worker{}, result: newResult(s, policy.Name, seed),
	}
	for _, p := range s.Pools {
		if !p.Standby {
			w.pools[p.Name] = newOwner(w, p.Name, 0)
			w.poolNames = append(w.poolNames, p.Name)
		}
		for i := range p.Hosts {
			h := &host{name: fmt.Sprintf("%s-%d", p.Name, i), pool: p.Name, rack: fmt.Sprintf("%s-r%d", p.Name, i/s.Fleet.RackSize)}
			w.hosts = append(w.hosts, h)
			w.startWorker(h)
		}
	}
	return w
}

// begin schedules the load, the faults and the periodic events.
func (w *simulation) begin() {
	w.load(w.scenario)
	for _, f := range w.scenario.Faults {
		w.at(epoch.Add(f.At), func() { w.startFault(f) })
	}
	w.after(0, w.fleetManager.tick)
	w.after(0, w.sample)
}

// at schedules a call at t, or now if t is in the past.
func (w *simulation) at(t time.Time, do func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.number++
	heap.Push(&w.events, timedEvent{t, w.number, do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// since returns the time since the start of the load.
func (w *simulation) since() time.Duration { return w.now.Sub(epoch) }

// storeDown reports whether the store is down.
func (w *simulation) storeDown() bool {
	_, down := w.scenario.active(StoreDown, "", w.since())
	return down
}

// logNormal draws from a log-normal distribution with this mean; spread is the
// standard deviation of the logarithm.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(float64(spread*random.NormFloat64())-float64(spread*spread/2))
}

// sampleInterval is the interval at which hosts and lasting tasks are counted.
const sampleInterval = 100 * time.Millisecond

// sample adds the host seconds in pools and counts the running lasting tasks.
func (w *simulation) sample() {
	for _, h := range w.hosts {
		if w.pools[h.pool] != nil {
			w.result.HostSeconds += sampleInterval.Seconds()
		}
	}
	for _, name := range w.poolNames {
		w.pools[name].sampleLasting(sampleInterval)
	}
	w.after(sampleInterval, w.sample)
}

// finish adds the outcome of all jobs and waves to the result.
func (w *simulation) finish() {
	for _, q := range w.scenario.Queues {
		for _, c := range w.callsOf(q.Name) {
			w.result.add(c)
		}
	}
	w.fleetManager.finish()
}

func (w *simulation) pop() timedEvent { return heap.Pop(&w.events).(timedEvent) }
