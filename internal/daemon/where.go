package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
)

// WhereArgs names a pool and holds an encoded job, or only the id of one that the pool has.
type WhereArgs struct {
	Pool string
	Name string
	Job  []byte
}

// Where tells where a job would go now.
func (s *peerService) Where(args WhereArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		j := jobs.Job{ID: jobs.ID(args.Name)}
		if len(args.Job) > 0 {
			var err error
			if j, err = jobs.Decode(args.Job); err != nil {
				reply.Verdict = pool.Refused
				return
			}
		}
		reply.Where, reply.Verdict = o.Where(ctx, j)
	})
}

// where asks a pool's owner where a job would go.
func (d *Daemon) where(ctx context.Context, name string, j jobs.Job) ([]place.StepPlacement, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	args := WhereArgs{Pool: name, Name: string(j.ID)}
	if len(j.Steps) > 0 {
		row, err := j.Encode()
		if err != nil {
			return nil, err
		}
		args.Job = row
	}
	reply, err := d.askOnce(ctx, name, "Peer.Where", args, func(o *pool.Owner) Reply {
		placements, v := o.Where(ctx, j)
		return Reply{Where: placements, Verdict: v}
	})
	switch {
	case err != nil:
		return nil, errors.Wrapf(errStateUnknown, "pool %s: %v", name, err)
	case reply.Verdict == pool.Missing:
		return nil, errors.Wrap(errNoJob, string(j.ID))
	case reply.Verdict != pool.Accepted:
		return nil, errors.Wrapf(errStateUnknown, "pool %s: its owner does not know yet", name)
	}
	return reply.Where, nil
}

// adminWhere tells where a job of the body would go if it were submitted to a queue.
func (d *Daemon) adminWhere(r *http.Request) (any, error) {
	_, q, j, err := d.decodeSubmission(r)
	if err != nil {
		return nil, err
	}
	placements, err := d.where(r.Context(), q.Pool, j)
	if err != nil {
		return nil, err
	}
	return whereWire(q.Name, q.Pool, "", placements, time.Now()), nil
}

// adminWhereJob tells where the waiting tasks of a job would go.
func (d *Daemon) adminWhereJob(r *http.Request) (any, error) {
	name, v, err := d.findJob(r.Context(), r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	placements, err := d.where(r.Context(), name, jobs.Job{ID: v.ID})
	if err != nil {
		return nil, err
	}
	return whereWire(v.Queue, name, string(v.ID), placements, time.Now()), nil
}

func whereWire(queue, name, id string, placements []place.StepPlacement, now time.Time) admin.WhereWire {
	w := admin.WhereWire{Job: id, Queue: queue, Pool: name, Steps: []admin.WhereStepWire{}}
	for _, p := range placements {
		s := admin.WhereStepWire{
			Step: p.Step, Tasks: p.Tasks, Millicores: p.Claim.Millicores, MemoryMB: p.Claim.MemoryMB, Class: p.Class, Blocked: p.Blocked, Worker: p.Worker,
			StepsAhead: p.StepsAhead, MillicoresAhead: p.MillicoresAhead, ErrorMS: p.Error.Milliseconds(), Workers: []admin.WhereWorkerWire{},
		}
		s.StartInMS = startInMS(p.ExpectedStart, now)
		for _, v := range p.Workers {
			s.Workers = append(s.Workers, admin.WhereWorkerWire{
				ID: v.ID, FreeMillicores: v.Free.Millicores, FreeMemoryMB: v.Free.MemoryMB, Obstacle: string(v.Obstacle), StartInMS: startInMS(v.FitsAt, now),
			})
		}
		w.Steps = append(w.Steps, s)
	}
	return w
}

// startInMS returns the time until a start, nil if none is expected.
func startInMS(at, now time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := max(0, at.Sub(now).Milliseconds())
	return &ms
}
