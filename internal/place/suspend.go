package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Suspend makes decisions leave a job alone until a time. What runs of it runs on, its ends
// count and it can be cancelled, but nothing of it starts, is copied or moves.
func (b *Board) Suspend(id jobs.ID, until time.Time) {
	b.recordStep(Step{Kind: StepSuspend, ID: id, Until: until})
	if e := b.jobs[id]; e != nil {
		e.suspendedUntil = until
	}
}
