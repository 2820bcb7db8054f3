package flood

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// Kind describes one kind of requests of a scenario.
type Kind struct {
	Name     string
	Service  string
	Urgency  sched.Urgency
	Team     string
	Share    float64 // of the pool's slots that the mean load keeps busy
	MeanRun  time.Duration
	Timeout  time.Duration
	Declared time.Duration // run time in the configuration, 0 for the mean
	// RateFactor returns the factor on the mean rate at a time since the start;
	// nil for a steady rate.
	RateFactor func(since time.Duration) float64
}

// Scenario describes a pool and the load on it.
type Scenario struct {
	Name           string
	Workers        int
	SlotsPerWorker int
	Entries        int
	Kinds          []Kind
	Length         time.Duration
	Seed           uint64
	// BrokenWorkers returns how many workers fail every request at a time since
	// the start; nil for none.
	BrokenWorkers func(since time.Duration) int
	// CancelAt is when every waiting or running request of CancelKind is
	// cancelled; 0 for never.
	CancelAt   time.Duration
	CancelKind string
}

func (s Scenario) workers() []sched.Worker {
	var workers []sched.Worker
	for i := range s.Workers {
		workers = append(workers, sched.Worker{Name: fmt.Sprintf("worker-%02d", i), Slots: s.SlotsPerWorker})
	}
	return workers
}

// queue returns the project's queue for the scenario's pool.
func (s Scenario) queue() *sched.Queue {
	config := sched.Config{}
	seen := map[string]bool{}
	for _, k := range s.Kinds {
		if seen[k.Service] {
			continue
		}
		seen[k.Service] = true
		declared := k.Declared
		if declared == 0 {
			declared = k.MeanRun
		}
		config.Services = append(config.Services, sched.ServiceShare{Name: k.Service, Weight: 1, QueueLimit: 5000, RunTime: declared})
	}
	q := sched.NewQueue(config)
	q.SetWorkers(s.workers(), start)
	return q
}

// ClassResult counts the outcomes of one kind of requests.
type ClassResult struct {
	Sent      int
	Good      int // answered in time
	Refused   int // answered not-run, or cancelled
	Failed    int // sent to a broken worker, or answered too late
	Latencies *hdrhistogram.Histogram
}

// Goodput returns the share of requests that were answered in time.
func (c *ClassResult) Goodput() float64 { return float64(c.Good) / float64(max(1, c.Sent)) }

// P99 returns the 99th percentile of the latency of requests answered in time.
func (c *ClassResult) P99() time.Duration {
	return time.Duration(c.Latencies.ValueAtQuantile(99)) * time.Microsecond
}

// Result holds the outcome of a run.
type Result struct {
	Policy  string
	Classes map[string]*ClassResult
	// Busy is the slot time in use while requests waited, Backlogged the slot time
	// of the whole pool meanwhile.
	Busy       time.Duration
	Backlogged time.Duration
}

// Utilisation returns the share of slot time in use while requests waited.
func (r *Result) Utilisation() float64 {
	if r.Backlogged == 0 {
		return 1
	}
	return float64(r.Busy) / float64(r.Backlogged)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one request with its state in the simulation.
type job struct {
	request  sched.Request
	kind     *Kind
	arrived  time.Time
	end      time.Time // deadline
	run      time.Duration
	grant    uint64
	worker   string
	finished bool // cancelled, refused or ended
	queued   bool // at the dispatcher or a worker
	running  bool
}

// event is a function to call at a time. Events at the same time run in sequence.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of [heap.Interface].
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of [heap.Interface].
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runner simulates a scenario under a policy.
type runner struct {
	policy        Policy
	scenario      Scenario
	random        *rand.Rand
	now           time.Time
	events        eventQueue
	sequence      int
	jobs          map[string]*job
	waiting       map[string][]*job // at workers, by worker
	busy          map[string]int    // slots in use, by worker
	inUse         int
	queued        int // jobs that wait for a slot anywhere
	utilisationAt time.Time
	result        *Result
}

// Run simulates a scenario under a policy.
func Run(policy Policy, s Scenario) *Result {
	r := &runner{
		policy:        policy,
		scenario:      s,
		random:        rand.New(rand.NewPCG(s.Seed, 1)),
		now:           start,
		utilisationAt: start,
		jobs:          map[string]*job{},
		waiting:       map[string][]*job{},
		busy:          map[string]int{},
		result:        &Result{Policy: policy.Name, Classes: map[string]*ClassResult{}},
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		r.result.Classes[k.Name] = &ClassResult{Latencies: hdrhistogram.New(1, 600_000_000, 3)}
		r.scheduleArrival(k, 0)
	}
	if s.CancelAt > 0 {
		r.at(start.Add(s.CancelAt), r.cancelAll)
	}
	r.at(start, r.tick)
	r.processEvents()
	return r.result
}

func (r *runner) at(when time.Time, do func()) {
	r.sequence++
	heap.Push(&r.events, event{when, r.sequence, do})
}

func (r *runner) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *runner) processEvents() {
	end := start.Add(r.scenario.Length + 30*time.Second)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at.After(end) {
			return
		}
		r.recordUtilisation(next.at)
		r.now = next.at
		next.do()
	}
}

// recordUtilisation adds the slot time since the last event to the result while
// requests wait.
func (r *runner) recordUtilisation(until time.Time) {
	passed := until.Sub(r.utilisationAt)
	r.utilisationAt = until
	if r.queued == 0 {
		return
	}
	r.result.Busy += passed * time.Duration(r.inUse)
	r.result.Backlogged += passed * time.Duration(r.scenario.Workers*r.scenario.SlotsPerWorker)
}

const (
	tickInterval = 20 * time.Millisecond
	rateInterval = 200 * time.Millisecond
)

func (r *runner) tick() {
	r.applyDecisions(r.policy.Tick(r.now))
	if r.now.Before(start.Add(r.scenario.Length + 20*time.Second)) {
		r.after(tickInterval, r.tick)
	}
}

// scheduleArrival schedules the next arrival of a kind.
func (r *runner) scheduleArrival(k *Kind, number int) {
	since := r.now.Sub(start)
	factor := 1.0
	if k.RateFactor != nil {
		factor = k.RateFactor(since)
	}
	slots := float64(r.scenario.Workers * r.scenario.SlotsPerWorker)
	rate := k.Share * slots / k.MeanRun.Seconds() * factor
	wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	// The rate may change, so it is evaluated again after rateInterval.
	due := wait <= rateInterval
	r.after(min(wait, rateInterval), func() {
		if r.now.Sub(start) >= r.scenario.Length {
			return
		}
		if due {
			r.arrive(k, number)
		}
		r.scheduleArrival(k, number+1)
	})
}

func (r *runner) arrive(k *Kind, number int) {
	j := &job{
		kind:    k,
		arrived: r.now,
		end:     r.now.Add(k.Timeout),
		run:     time.Duration(r.random.ExpFloat64() * float64(k.MeanRun)),
	}
	j.request = sched.Request{
		ID:       fmt.Sprintf("%s-%d", k.Name, number),
		Entry:    entryName(r.random.IntN(r.scenario.Entries)),
		Service:  k.Service,
		Team:     k.Team,
		Urgency:  k.Urgency,
		Deadline: j.end.Add(-k.MeanRun),
	}
	r.jobs[j.request.ID] = j
	r.result.Classes[k.Name].Sent++
	r.after(r.policy.GrantHop/2, func() {
		if j.finished {
			return
		}
		j.queued = true
		r.queued++
		r.applyDecisions(r.policy.Arrive(j.request, r.now))
	})
}

// applyDecisions applies a policy's decisions. A granted request reaches its worker
// after the grant's way back to the entry.
func (r *runner) applyDecisions(decisions []sched.Decision) {
	for _, d := range decisions {
		j, waits := r.jobs[d.Request]
		if !waits {
			continue // confirms a cancellation
		}
		r.dequeue(j)
		if d.Refusal != nil {
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			continue
		}
		j.grant, j.worker = d.Grant.ID, d.Grant.Worker
		r.after(r.policy.GrantHop/2, func() { r.reachWorker(j) })
	}
}

func (r *runner) dequeue(j *job) {
	if j.queued {
		j.queued = false
		r.queued--
	}
}

func (r *runner) finish(j *job, count func(c *ClassResult)) {
	if !j.finished {
		count(r.result.Classes[j.kind.Name])
	}
	j.finished = true
	delete(r.jobs, j.request.ID)
}

func (r *runner) reachWorker(j *job) {
	if j.finished {
		r.release(j, sched.Unused)
		return
	}
	if r.workerBroken(j.worker) {
		r.finish(j, func(c *ClassResult) { c.Failed++ })
		r.release(j, sched.Failed)
		return
	}
	if r.busy[j.worker] >= r.scenario.SlotsPerWorker {
		r.waiting[j.worker] = append(r.waiting[j.worker], j)
		j.queued = true
		r.queued++
		return
	}
	r.begin(j)
}

func (r *runner) workerBroken(worker string) bool {
	if r.scenario.BrokenWorkers == nil {
		return false
	}
	number := 0
	_, _ = fmt.Sscanf(worker, "worker-%d", &number)
	return number < r.scenario.BrokenWorkers(r.now.Sub(start))
}

func (r *runner) begin(j *job) {
	r.busy[j.worker]++
	r.inUse++
	j.running = true
	r.after(j.run, func() { r.end(j) })
}

// end frees the slot, unless a cancellation already did.
func (r *runner) end(j *job) {
	if !j.running {
		return
	}
	j.running = false
	r.busy[j.worker]--
	r.inUse--
	r.finish(j, func(c *ClassResult) {
		if r.now.After(j.end) {
			c.Failed++
			return
		}
		c.Good++
		_ = c.Latencies.RecordValue(max(1, r.now.Sub(j.arrived).Microseconds()))
	})
	r.release(j, sched.Succeeded)
	if queue := r.waiting[j.worker]; len(queue) > 0 {
		r.waiting[j.worker] = queue[1:]
		r.dequeue(queue[0])
		r.begin(queue[0])
	}
}

func (r *runner) release(j *job, outcome sched.Outcome) {
	r.after(r.policy.ReleaseHop, func() { r.applyDecisions(r.policy.Release(j.grant, outcome, r.now)) })
}

// cancelAll cancels all requests of a kind.
func (r *runner) cancelAll() {
	for _, j := range r.jobs {
		if j.kind.Name != r.scenario.CancelKind || j.finished {
			continue
		}
		switch {
		case j.running:
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			r.end(j)
		case j.queued:
			r.dequeue(j)
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			r.policy.Cancel(j.request.ID, r.now)
		default:
			r.finish(j, func(c *ClassResult) { c.Refused++ })
		}
	}
}
