package flood

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// Kind is one kind of work of a scenario.
type Kind struct {
	Name     string
	Service  string
	Urgency  sched.Urgency
	Team     string
	Share    float64 // of the pool's slots that its mean load keeps busy
	MeanRun  time.Duration
	Timeout  time.Duration
	Declared time.Duration // run time as declared, 0 for the mean
	// Times gives the factor on the mean rate at a time since the start.
	Times func(since time.Duration) float64
}

// Scenario is a load on one pool.
type Scenario struct {
	Name      string
	Workers   int
	SlotsEach int
	Entries   int
	Kinds     []Kind
	Length    time.Duration
	Seed      uint64
	// Broken gives, for a time since the start, how many workers fail all they
	// are sent.
	Broken func(since time.Duration) int
	// CancelAt is when every request that waits or runs of CancelKind is
	// cancelled; 0 for never.
	CancelAt   time.Duration
	CancelKind string
}

func (s Scenario) workers() []sched.Worker {
	var workers []sched.Worker
	for i := range s.Workers {
		workers = append(workers, sched.Worker{Name: fmt.Sprintf("worker-%02d", i), Slots: s.SlotsEach})
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

// ClassResult is what came of one kind of work.
type ClassResult struct {
	Sent    int
	Good    int // answered in time
	Refused int // told not-run
	Failed  int // sent to a broken worker, or answered too late
	Times   *hdrhistogram.Histogram
}

// Goodput returns the part that was answered in time.
func (c *ClassResult) Goodput() float64 { return float64(c.Good) / float64(max(1, c.Sent)) }

// P99 returns the 99th percentile of the answers' times.
func (c *ClassResult) P99() time.Duration {
	return time.Duration(c.Times.ValueAtQuantile(99)) * time.Microsecond
}

// Result is what came of a run.
type Result struct {
	Policy  string
	Classes map[string]*ClassResult
	// Busy is the slot time that was used while work waited, and Backlogged the
	// slot time that there was meanwhile.
	Busy       time.Duration
	Backlogged time.Duration
}

// Utilisation returns the part of the slots that was busy while work waited.
func (r *Result) Utilisation() float64 {
	if r.Backlogged == 0 {
		return 1
	}
	return float64(r.Busy) / float64(r.Backlogged)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one request on its way.
type job struct {
	request sched.Request
	kind    *Kind
	arrived time.Time
	end     time.Time // deadline
	run     time.Duration
	grant   uint64
	worker  string
	gone    bool // cancelled or ended
	queued  bool // at the dispatcher
	running bool
}

// happening is something that is due at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push is part of [heap.Interface].
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop is part of [heap.Interface].
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// runner carries out a scenario under a policy.
type runner struct {
	policy   Policy
	scenario Scenario
	random   *rand.Rand
	now      time.Time
	agenda   agenda
	order    int
	jobs     map[string]*job
	waiting  map[string][]*job // at workers, by worker
	busy     map[string]int    // slots in use, by worker
	inUse    int
	queued   int // jobs that wait for a slot anywhere
	measured time.Time
	result   *Result
}

// Run carries out a scenario under a policy.
func Run(policy Policy, s Scenario) *Result {
	r := &runner{
		policy:   policy,
		scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		now:      start,
		measured: start,
		jobs:     map[string]*job{},
		waiting:  map[string][]*job{},
		busy:     map[string]int{},
		result:   &Result{Policy: policy.Name, Classes: map[string]*ClassResult{}},
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		r.result.Classes[k.Name] = &ClassResult{Times: hdrhistogram.New(1, 600_000_000, 3)}
		r.arriveLater(k, 0)
	}
	if s.CancelAt > 0 {
		r.at(start.Add(s.CancelAt), r.cancelAll)
	}
	r.at(start, r.tick)
	r.work()
	return r.result
}

func (r *runner) at(when time.Time, do func()) {
	r.order++
	heap.Push(&r.agenda, happening{when, r.order, do})
}

func (r *runner) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *runner) work() {
	end := start.Add(r.scenario.Length + 30*time.Second)
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(happening)
		if next.at.After(end) {
			return
		}
		r.measure(next.at)
		r.now = next.at
		next.do()
	}
}

// measure adds up how many slots were busy while work waited.
func (r *runner) measure(until time.Time) {
	passed := until.Sub(r.measured)
	r.measured = until
	if r.queued == 0 {
		return
	}
	r.result.Busy += passed * time.Duration(r.inUse)
	r.result.Backlogged += passed * time.Duration(r.scenario.Workers*r.scenario.SlotsEach)
}

const (
	tickEvery = 20 * time.Millisecond
	rateLook  = 200 * time.Millisecond
)

func (r *runner) tick() {
	r.take(r.policy.Tick(r.now))
	if r.now.Before(start.Add(r.scenario.Length + 20*time.Second)) {
		r.after(tickEvery, r.tick)
	}
}

// arriveLater plans the next arrival of a kind.
func (r *runner) arriveLater(k *Kind, number int) {
	since := r.now.Sub(start)
	factor := 1.0
	if k.Times != nil {
		factor = k.Times(since)
	}
	slots := float64(r.scenario.Workers * r.scenario.SlotsEach)
	rate := k.Share * slots / k.MeanRun.Seconds() * factor
	wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	// The rate is looked at again before long, for it may have changed.
	due := wait <= rateLook
	r.after(min(wait, rateLook), func() {
		if r.now.Sub(start) >= r.scenario.Length {
			return
		}
		if due {
			r.arrive(k, number)
		}
		r.arriveLater(k, number+1)
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
		if j.gone {
			return
		}
		j.queued = true
		r.queued++
		r.take(r.policy.Arrive(j.request, r.now))
	})
}

// take carries out decisions, once they are back at their entries.
func (r *runner) take(decisions []sched.Decision) {
	for _, d := range decisions {
		j, waits := r.jobs[d.Request]
		if !waits {
			continue // its cancellation was confirmed
		}
		r.leaveQueue(j)
		if d.Refusal != nil {
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			continue
		}
		j.grant, j.worker = d.Grant.ID, d.Grant.Worker
		r.after(r.policy.GrantHop/2, func() { r.reachWorker(j) })
	}
}

func (r *runner) leaveQueue(j *job) {
	if j.queued {
		j.queued = false
		r.queued--
	}
}

func (r *runner) finish(j *job, count func(c *ClassResult)) {
	if !j.gone {
		count(r.result.Classes[j.kind.Name])
	}
	j.gone = true
	delete(r.jobs, j.request.ID)
}

func (r *runner) reachWorker(j *job) {
	if j.gone {
		r.release(j, sched.Unused)
		return
	}
	if r.isBroken(j.worker) {
		r.finish(j, func(c *ClassResult) { c.Failed++ })
		r.release(j, sched.Failed)
		return
	}
	if r.busy[j.worker] >= r.scenario.SlotsEach {
		r.waiting[j.worker] = append(r.waiting[j.worker], j)
		j.queued = true
		r.queued++
		return
	}
	r.begin(j)
}

func (r *runner) isBroken(worker string) bool {
	if r.scenario.Broken == nil {
		return false
	}
	number := 0
	_, _ = fmt.Sscanf(worker, "worker-%d", &number)
	return number < r.scenario.Broken(r.now.Sub(start))
}

func (r *runner) begin(j *job) {
	r.busy[j.worker]++
	r.inUse++
	j.running = true
	r.after(j.run, func() { r.end(j) })
}

// end frees the slot, unless a cancellation freed it before.
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
		_ = c.Times.RecordValue(max(1, r.now.Sub(j.arrived).Microseconds()))
	})
	r.release(j, sched.Succeeded)
	if queue := r.waiting[j.worker]; len(queue) > 0 {
		r.waiting[j.worker] = queue[1:]
		r.leaveQueue(queue[0])
		r.begin(queue[0])
	}
}

func (r *runner) release(j *job, outcome sched.Outcome) {
	r.after(r.policy.ReleaseHop, func() { r.take(r.policy.Release(j.grant, outcome, r.now)) })
}

// cancelAll cancels all requests of a kind.
func (r *runner) cancelAll() {
	for _, j := range r.jobs {
		if j.kind.Name != r.scenario.CancelKind || j.gone {
			continue
		}
		switch {
		case j.running:
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			r.end(j)
		case j.queued:
			r.leaveQueue(j)
			r.finish(j, func(c *ClassResult) { c.Refused++ })
			r.policy.Cancel(j.request.ID, r.now)
		default:
			r.finish(j, func(c *ClassResult) { c.Refused++ })
		}
	}
}
