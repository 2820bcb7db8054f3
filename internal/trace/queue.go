// Package trace records the calls and decisions of dispatch queues and placement
// boards, and replays the recordings. Decisions depend only on the calls, so a replay
// of the same steps must give the same decisions.
//
// # Usage
//
//	q := trace.NewQueue("banco-nord", sched.NewQueue(config), sink)
//	decisions := q.Arrive(request, now) // recorded, if sink is not nil
//
//	summary, err := trace.ReplayQueues(events) // ErrDiffers names the first step that differs
//
// A recording is a time line. Each step of a queue is an event of kind dispatch-step,
// whose object is the pool and whose cause is the step as JSON. [RecordBoard] records
// the steps of a board as events of kind placement-step.
package trace

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// StepKind is the method of the queue that a step called.
type StepKind string

// The kinds of steps.
const (
	StepConfigure  StepKind = "configure"
	StepSetWorkers StepKind = "workers"
	StepArrive     StepKind = "arrive"
	StepCancel     StepKind = "cancel"
	StepRelease    StepKind = "release"
	StepRestore    StepKind = "restore"
	StepSkipGrants StepKind = "skip"
	StepTick       StepKind = "tick"
	StepRefuse     StepKind = "refuse"
)

// Step is one call of a queue's method and the resulting decisions. Only the fields
// for its kind are set.
type Step struct {
	Kind    StepKind
	At      time.Time
	Config  sched.Config
	Workers []sched.Worker
	Request sched.Request
	ID      string // of the request to cancel
	Grant   sched.Grant
	Number  uint64 // ID of the grant to release, or of the last grant ID to skip
	Outcome sched.Outcome
	Reason  sched.Reason

	Decisions []sched.Decision
}

// Sink receives the steps of the queue of a pool.
type Sink func(pool string, step Step)

// Queue is a [sched.Queue] that records its steps. It is not safe for concurrent use.
type Queue struct {
	*sched.Queue
	pool string
	sink Sink
}

// NewQueue returns a queue that records its steps to sink. If sink is nil, it records
// nothing.
func NewQueue(pool string, queue *sched.Queue, sink Sink) *Queue {
	return &Queue{Queue: queue, pool: pool, sink: sink}
}

// record passes a step to the sink and returns its decisions. It omits ticks without
// decisions, since they change nothing.
func (q *Queue) record(step Step) []sched.Decision {
	if q.sink != nil && (step.Kind != StepTick || len(step.Decisions) > 0) {
		q.sink(q.pool, step)
	}
	return step.Decisions
}

// stripMonotonic removes the monotonic clock reading of a time, which a recording
// does not hold.
func stripMonotonic(t time.Time) time.Time { return t.Round(0) }

// SetConfig calls [sched.Queue.SetConfig] and records it.
func (q *Queue) SetConfig(config sched.Config) {
	q.Queue.SetConfig(config)
	q.record(Step{Kind: StepConfigure, Config: config})
}

// SetWorkers calls [sched.Queue.SetWorkers] and records it.
func (q *Queue) SetWorkers(workers []sched.Worker, now time.Time) []sched.Decision {
	now = stripMonotonic(now)
	return q.record(Step{Kind: StepSetWorkers, At: now, Workers: workers, Decisions: q.Queue.SetWorkers(workers, now)})
}

// Arrive calls [sched.Queue.Arrive] and records it.
func (q *Queue) Arrive(r sched.Request, now time.Time) []sched.Decision {
	now = stripMonotonic(now)
	r.Deadline = stripMonotonic(r.Deadline)
	return q.record(Step{Kind: StepArrive, At: now, Request: r, Decisions: q.Queue.Arrive(r, now)})
}

// Cancel calls [sched.Queue.Cancel] and records it.
func (q *Queue) Cancel(id string, now time.Time) []sched.Decision {
	now = stripMonotonic(now)
	return q.record(Step{Kind: StepCancel, At: now, ID: id, Decisions: q.Queue.Cancel(id, now)})
}

// Release calls [sched.Queue.Release] and records it.
func (q *Queue) Release(id uint64, outcome sched.Outcome, now time.Time) []sched.Decision {
	now = stripMonotonic(now)
	return q.record(Step{Kind: StepRelease, At: now, Number: id, Outcome: outcome, Decisions: q.Queue.Release(id, outcome, now)})
}

// Restore calls [sched.Queue.Restore] and records it.
func (q *Queue) Restore(g sched.Grant) {
	g.At = stripMonotonic(g.At)
	q.Queue.Restore(g)
	q.record(Step{Kind: StepRestore, Grant: g})
}

// SkipGrantIDs calls [sched.Queue.SkipGrantIDs] and records it.
func (q *Queue) SkipGrantIDs(base uint64) {
	q.Queue.SkipGrantIDs(base)
	q.record(Step{Kind: StepSkipGrants, Number: base})
}

// Tick calls [sched.Queue.Tick] and records it.
func (q *Queue) Tick(now time.Time) []sched.Decision {
	now = stripMonotonic(now)
	return q.record(Step{Kind: StepTick, At: now, Decisions: q.Queue.Tick(now)})
}

// RefuseAll calls [sched.Queue.RefuseAll] and records it.
func (q *Queue) RefuseAll(reason sched.Reason) []sched.Decision {
	return q.record(Step{Kind: StepRefuse, Reason: reason, Decisions: q.Queue.RefuseAll(reason)})
}
