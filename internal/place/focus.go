package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// focus is the pass of a decision and the step that it looks at. It is read only after a
// decision has panicked, so that one job can be told from the others.
type focus struct {
	pass   string
	entry  *jobEntry // nil if the pass is not about a job
	key    stepKey
	orders *Orders // of the decision so far
}

// The passes of a decision, in their order.
const (
	passReady        = "ready steps"
	passStalled      = "stalled tasks"
	passCopies       = "copies"
	passCandidates   = "candidates"
	passReservations = "reservations"
	passLongRunning  = "long-running tasks"
	passSuspects     = "suspects"
	passMoves        = "moves"
	passBatch        = "batch tasks"
	passOrders       = "stops and paces"
)

// lookAt records which step the present pass looks at. It reports whether the pass may, which
// it may not while the job is suspended.
func (b *Board) lookAt(e *jobEntry, key stepKey, now time.Time) bool {
	if now.Before(e.suspendedUntil) {
		return false
	}
	b.focus.entry, b.focus.key = e, key
	if b.Looked != nil {
		b.Looked(e.job.ID)
	}
	return true
}

// beginPass records that a pass of the present decision begins.
func (b *Board) beginPass(name string) { b.focus.pass, b.focus.entry = name, nil }

// Unfinished describes what a decision was about when it panicked.
type Unfinished struct {
	Pass       string  // empty if no decision was under way
	Job        jobs.ID // empty if the pass was not about a job
	Occurrence int
	Step       int
	Waiting    int // tasks of the step that wait
	Started    int // tasks of the step that the decision had started
}

// Unfinished returns what the decision that has panicked was about. The board must not be used
// for anything else then.
func (b *Board) Unfinished() Unfinished {
	f := b.focus
	u := Unfinished{Pass: f.pass}
	if f.entry == nil {
		return u
	}
	u.Job, u.Occurrence, u.Step = f.entry.job.ID, f.key.occurrence, f.key.step
	u.Waiting = f.entry.waiting[f.key].len()
	for _, s := range f.orders.Starts {
		if s.Task.Job == u.Job && s.Task.Occurrence == u.Occurrence && s.Task.Step == u.Step {
			u.Started++
		}
	}
	return u
}
