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
	"github.com/papayarudder/papayarudder/internal/trace"
)

// epoch is when the first job comes.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// happening is something that happens at a time.
type happening struct {
	at     time.Time
	number int // of events at one time, the earlier one comes first
	do     func()
}

type happenings []happening

func (e happenings) Len() int { return len(e) }
func (e happenings) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e happenings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *happenings) Push(x any)   { *e = append(*e, x.(happening)) }
func (e *happenings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a deployment that is being played.
type world struct {
	scenario *Scenario
	policy   Policy
	now      time.Time
	events   happenings
	number   int
	dice     *rand.Rand
	pools    map[string]*owner
	names    []string // of pools with an owner
	hosts    []*host
	keeper   *keeper
	workers  int // that there have been
	result   *Result
	drawn    []*call // all jobs
	calls    map[jobs.ID]*call
}

// Run plays a scenario with a policy. The same seed brings the same jobs, whatever
// the policy.
func Run(s Scenario, policy Policy, seed uint64) *Result { return Record(s, policy, seed, nil) }

// Record plays like [Run] and writes every step of the pools' boards to out, for a
// replay. Nil: nothing is recorded.
func Record(s Scenario, policy Policy, seed uint64, out io.Writer) *Result {
	w := newWorld(&s, policy, seed)
	if out != nil {
		log := event.NewLog(s.Name, 1, func() time.Time { return w.now })
		log.RecordTo(out)
		for _, name := range w.names {
			trace.RecordBoard(log, name, 0, w.pools[name].board)
		}
	}
	w.keeper = newKeeper(w)
	w.begin()
	end := epoch.Add(s.Fleet.Length + s.Fleet.Finish)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := w.pop()
		w.now = e.at
		e.do()
	}
	w.now = end
	w.finish()
	return w.result
}

func newWorld(s *Scenario, policy Policy, seed uint64) *world {
	w := &world{
		scenario: s, policy: policy, now: epoch.Add(-s.Fleet.Lead), dice: rand.New(rand.NewPCG(seed, 1)),
		pools: map[string]*owner{}, calls: map[jobs.ID]*call{}, result: newResult(s, policy.Name, seed),
	}
	for _, p := range s.Pools {
		if !p.Standby {
			w.pools[p.Name] = newOwner(w, p.Name)
			w.names = append(w.names, p.Name)
		}
		for i := range p.Hosts {
			h := &host{name: fmt.Sprintf("%s-%d", p.Name, i), pool: p.Name, rack: fmt.Sprintf("%s-r%d", p.Name, i/s.Fleet.RackSize)}
			w.hosts = append(w.hosts, h)
			w.rise(h)
		}
	}
	return w
}

// begin puts the first events into the queue.
func (w *world) begin() {
	w.load(w.scenario)
	for _, f := range w.scenario.Faults {
		w.at(epoch.Add(f.At), func() { w.strike(f) })
	}
	w.after(0, w.keeper.tick)
	w.after(0, w.sample)
}

// at does something at a time that is not in the past.
func (w *world) at(t time.Time, do func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.number++
	heap.Push(&w.events, happening{t, w.number, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// since returns the time after the first job.
func (w *world) since() time.Duration { return w.now.Sub(epoch) }

// storeDown reports whether the store answers nobody now.
func (w *world) storeDown() bool {
	_, down := w.scenario.active(StoreDown, "", w.since())
	return down
}

// vary returns a value around a mean whose logarithm has a standard deviation.
func vary(dice *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*dice.NormFloat64()-spread*spread/2)
}

// sampleTime is how often it is counted which hosts are in pools.
const sampleTime = 100 * time.Millisecond

// sample counts what is paid for, and what lasting tasks are at work.
func (w *world) sample() {
	for _, h := range w.hosts {
		if w.pools[h.pool] != nil {
			w.result.HostSeconds += sampleTime.Seconds()
		}
	}
	for _, name := range w.names {
		w.pools[name].sampleLasting(sampleTime)
	}
	w.after(sampleTime, w.sample)
}

// finish closes the accounts.
func (w *world) finish() {
	for _, q := range w.scenario.Queues {
		for _, c := range w.ordered(q.Name) {
			w.result.add(c)
		}
	}
	w.keeper.finish()
}

func (w *world) pop() happening { return heap.Pop(&w.events).(happening) }
