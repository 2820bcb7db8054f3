// Package trace records what a dispatcher's queue was told and what it decided,
// and replays such a record: the decisions are pure, so the same steps must give
// the same decisions.
//
// # Usage
//
//	q := trace.NewQueue("banco-nord", sched.NewQueue(config), sink)
//	decisions := q.Arrive(request, now) // recorded, if sink is not nil
//
//	err := trace.Replay(events) // ErrDiffers names the first step that differs
//
// A record is a time line: one event of kind dispatch-step for each step, with the
// pool as its object and the step as JSON in its cause.
package trace

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// Kind says which method of the queue a step called.
type Kind string

// The kinds of steps.
const (
	Configure Kind = "configure"
	Workers   Kind = "workers"
	Arrive    Kind = "arrive"
	Cancel    Kind = "cancel"
	Release   Kind = "release"
	Restore   Kind = "restore"
	Skip      Kind = "skip"
	Tick      Kind = "tick"
	Refuse    Kind = "refuse"
)

// Step is one call of a queue and what it decided. Only the fields of its kind
// are set.
type Step struct {
	Kind    Kind
	At      time.Time
	Config  sched.Config
	Workers []sched.Worker
	Request sched.Request
	ID      string // of a request that is cancelled
	Grant   sched.Grant
	Number  uint64 // of a grant that is released, or numbers that are skipped
	Outcome sched.Outcome
	Reason  sched.Reason

	Decisions []sched.Decision
}

// Sink takes the steps of one pool's queue.
type Sink func(pool string, step Step)

// Queue is a [sched.Queue] whose steps are recorded. Like it, it is not safe for
// concurrent use.
type Queue struct {
	*sched.Queue
	pool string
	sink Sink
}

// NewQueue returns a queue that records to sink, or does not if sink is nil.
func NewQueue(pool string, queue *sched.Queue, sink Sink) *Queue {
	return &Queue{Queue: queue, pool: pool, sink: sink}
}

// record hands a step on. A tick that decided nothing changes nothing and is left
// out.
func (q *Queue) record(step Step) []sched.Decision {
	if q.sink != nil && (step.Kind != Tick || len(step.Decisions) > 0) {
		q.sink(q.pool, step)
	}
	return step.Decisions
}

// wall drops the monotonic reading of a time, which a record does not keep.
func wall(t time.Time) time.Time { return t.Round(0) }

// SetConfig is [sched.Queue.SetConfig].
func (q *Queue) SetConfig(config sched.Config) {
	q.Queue.SetConfig(config)
	q.record(Step{Kind: Configure, Config: config})
}

// SetWorkers is [sched.Queue.SetWorkers].
func (q *Queue) SetWorkers(workers []sched.Worker, now time.Time) []sched.Decision {
	now = wall(now)
	return q.record(Step{Kind: Workers, At: now, Workers: workers, Decisions: q.Queue.SetWorkers(workers, now)})
}

// Arrive is [sched.Queue.Arrive].
func (q *Queue) Arrive(r sched.Request, now time.Time) []sched.Decision {
	now = wall(now)
	r.Deadline = wall(r.Deadline)
	return q.record(Step{Kind: Arrive, At: now, Request: r, Decisions: q.Queue.Arrive(r, now)})
}

// Cancel is [sched.Queue.Cancel].
func (q *Queue) Cancel(id string, now time.Time) []sched.Decision {
	now = wall(now)
	return q.record(Step{Kind: Cancel, At: now, ID: id, Decisions: q.Queue.Cancel(id, now)})
}

// Release is [sched.Queue.Release].
func (q *Queue) Release(id uint64, outcome sched.Outcome, now time.Time) []sched.Decision {
	now = wall(now)
	return q.record(Step{Kind: Release, At: now, Number: id, Outcome: outcome, Decisions: q.Queue.Release(id, outcome, now)})
}

// Restore is [sched.Queue.Restore].
func (q *Queue) Restore(g sched.Grant) {
	g.At = wall(g.At)
	q.Queue.Restore(g)
	q.record(Step{Kind: Restore, Grant: g})
}

// SkipGrantIDs is [sched.Queue.SkipGrantIDs].
func (q *Queue) SkipGrantIDs(base uint64) {
	q.Queue.SkipGrantIDs(base)
	q.record(Step{Kind: Skip, Number: base})
}

// Tick is [sched.Queue.Tick].
func (q *Queue) Tick(now time.Time) []sched.Decision {
	now = wall(now)
	return q.record(Step{Kind: Tick, At: now, Decisions: q.Queue.Tick(now)})
}

// RefuseAll is [sched.Queue.RefuseAll].
func (q *Queue) RefuseAll(reason sched.Reason) []sched.Decision {
	return q.record(Step{Kind: Refuse, Reason: reason, Decisions: q.Queue.RefuseAll(reason)})
}
