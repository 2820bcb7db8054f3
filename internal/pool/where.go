package pool

import (
	"context"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Where tells where the steps of a job would go now, by the state that decisions use. The job
// is the known one with that id if there is one. Without a spec and steps it has to be known.
func (o *Owner) Where(ctx context.Context, j jobs.Job) ([]place.StepPlacement, Verdict) {
	var placements []place.StepPlacement
	v := o.ask(ctx, func(reply chan Verdict) {
		known, found := o.board.Job(j.ID)
		switch {
		case !o.started:
			reply <- Unknown
			return
		case found:
			j = known
		case len(j.Steps) == 0:
			reply <- Missing
			return
		}
		placements = o.board.Where(j, time.Now())
		reply <- Accepted
	})
	if v != Accepted {
		return nil, v
	}
	return placements, v
}
