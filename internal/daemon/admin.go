package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/upkeep"
	"github.com/papayarudder/papayarudder/platform"
)

// Errors of the operators' interface; adminHandler maps them to HTTP statuses.
var (
	errNoJob        = errors.New("no such job")
	errNoQueue      = errors.New("no such queue")
	errNoOrg        = errors.New("no such organisation")
	errStateUnknown = errors.New("the state is not known now")
)

const maxSubmissionBytes = 1 << 20 // longest body of a job that an operator submits

// adminMux returns the handlers of the operators' interface for jobs, pools and waves.
// Its messages are the product's own, not the platform's.
func (d *Daemon) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admin.PathJobs, d.adminHandler(d.adminJobs))
	mux.HandleFunc("POST "+admin.PathJobs, d.adminHandler(d.adminSubmit))
	mux.HandleFunc("GET "+admin.PathJobs+"/{id}", d.adminHandler(d.adminJob))
	mux.HandleFunc("DELETE "+admin.PathJobs+"/{id}", d.adminHandler(d.adminCancel))
	mux.HandleFunc("GET "+admin.PathJobs+"/{id}/where", d.adminHandler(d.adminWhereJob))
	mux.HandleFunc("POST "+admin.PathWhere, d.adminHandler(d.adminWhere))
	mux.HandleFunc("GET "+admin.PathJobPools, d.adminHandler(d.adminPools))
	mux.HandleFunc("GET "+admin.PathWaves, d.adminHandler(d.adminWaves))
	mux.HandleFunc("GET "+admin.PathOrganisations, d.adminHandler(d.adminOrganisations))
	mux.HandleFunc("GET "+admin.PathOrganisations+"/{name}", d.adminHandler(d.adminOrganisation))
	return mux
}

// adminHandler writes the result of f as JSON, or its error with a matching status.
func (d *Daemon) adminHandler(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := f(r)
		status := http.StatusOK
		switch {
		case err == nil:
		case errors.Is(err, errNoJob), errors.Is(err, errNoQueue), errors.Is(err, errNoOrg):
			status = http.StatusNotFound
		case errors.Is(err, jobs.ErrInvalid):
			status = http.StatusBadRequest
		default:
			status = http.StatusServiceUnavailable
		}
		if err != nil {
			body = admin.ErrorWire{Error: err.Error()}
		}
		data, err := json.Marshal(body)
		if err != nil {
			d.log.WithError(err).Error("encoding an answer to an operator failed")
			status = http.StatusInternalServerError
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if _, err := w.Write(data); err != nil {
			d.log.WithError(err).Debug("writing an answer to an operator failed")
		}
	}
}

func jobWire(name string, v place.JobView) admin.JobWire {
	return admin.JobWire{
		ID: string(v.ID), Queue: v.Queue, Pool: name, State: string(v.State), Tasks: v.Tasks, Done: v.Done,
		Running: v.Running, Submitted: v.Submitted.UTC().Format(time.RFC3339),
	}
}

// poolNames returns the names of the configured pools.
func (d *Daemon) poolNames() []string {
	c := d.config.Load()
	if c == nil {
		return nil
	}
	var names []string
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	return names
}

// jobViews asks a pool's owner for the progress of one job, or of all if id is empty.
func (d *Daemon) jobViews(ctx context.Context, name, id string) ([]place.JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	reply, err := d.askOnce(ctx, name, "Peer.Jobs", JobArgs{name, id}, func(o *pool.Owner) Reply {
		views, v := o.Views(ctx, jobs.ID(id))
		return Reply{Jobs: views, Verdict: v}
	})
	switch {
	case err != nil:
		return nil, errors.Wrap(errStateUnknown, err.Error())
	case reply.Verdict == pool.Missing:
		return nil, errors.Wrap(errNoJob, id)
	case reply.Verdict != pool.Accepted:
		return nil, errors.WithStack(errStateUnknown)
	}
	return reply.Jobs, nil
}

func (d *Daemon) adminJobs(r *http.Request) (any, error) {
	if d.config.Load() == nil {
		return nil, errors.Wrap(errStateUnknown, "no configuration yet")
	}
	out := []admin.JobWire{}
	poolFilter := r.URL.Query().Get("pool")
	for _, name := range d.poolNames() {
		if poolFilter != "" && name != poolFilter {
			continue
		}
		views, err := d.jobViews(r.Context(), name, "")
		if err != nil {
			return nil, errors.Wrapf(err, "pool %s", name)
		}
		for _, v := range views {
			out = append(out, jobWire(name, v))
		}
	}
	return out, nil
}

// findJob returns the pool and the progress of a job.
func (d *Daemon) findJob(ctx context.Context, id string) (string, place.JobView, error) {
	notFound := errors.Wrap(errNoJob, id)
	for _, name := range d.poolNames() {
		views, err := d.jobViews(ctx, name, id)
		if err == nil && len(views) == 1 {
			return name, views[0], nil
		}
		if err != nil && !errors.Is(err, errNoJob) {
			notFound = errors.Wrapf(err, "pool %s", name)
		}
	}
	return "", place.JobView{}, notFound
}

func (d *Daemon) adminJob(r *http.Request) (any, error) {
	name, v, err := d.findJob(r.Context(), r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	return jobWire(name, v), nil
}

// decodeSubmission decodes the job that an operator submits to a queue.
func (d *Daemon) decodeSubmission(r *http.Request) (*configuration, platform.Queue, jobs.Job, error) {
	fail := func(err error) (*configuration, platform.Queue, jobs.Job, error) {
		return nil, platform.Queue{}, jobs.Job{}, err
	}
	var j jobs.Job
	err := intake.DecodeBody(r, maxSubmissionBytes, func(body []byte) (err error) {
		j, err = jobs.DecodeUnvalidated(body)
		return err
	})
	switch {
	case errors.Is(err, intake.ErrCrowded):
		return fail(errors.Wrap(err, "the job was refused and has not run"))
	case errors.Is(err, intake.ErrTooLong), errors.Is(err, intake.ErrCutOff):
		return fail(errors.Wrap(jobs.ErrInvalid, err.Error()))
	case err != nil:
		return fail(err)
	}
	c := d.config.Load()
	if c == nil {
		return fail(errors.Wrap(errStateUnknown, "no configuration yet"))
	}
	q, found := platform.Queue{}, false
	for _, known := range c.Queues {
		if known.Name == r.URL.Query().Get("queue") {
			q, found = known, true
		}
	}
	if !found {
		return fail(errors.Wrapf(errNoQueue, "%.60q", r.URL.Query().Get("queue")))
	}
	if j.ID == "" {
		j.ID = jobs.ID(strings.ReplaceAll(uuid.NewString(), "-", "")[:16])
	}
	j.Queue, j.Pool, j.Route, j.Submitted = q.Name, q.Pool, q.Route(), time.Now()
	j.Priority, j.MaxAttempts, j.Slack, j.Target = q.Priority, q.MaxAttempts, q.Slack, q.Target
	j.Advised = q.Advice != nil
	return c, q, j, j.Validate()
}

func (d *Daemon) adminSubmit(r *http.Request) (any, error) {
	c, q, j, err := d.decodeSubmission(r)
	if err != nil {
		return nil, err
	}
	row, err := j.Encode()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), ownerCallTimeout)
	defer cancel()
	reply := d.askOwner(ctx, q.Pool, "Peer.Submit", SubmitArgs{q.Pool, row, c.Version}, func(o *pool.Owner) Reply {
		return d.submit(ctx, o, j, c.Version)
	})
	switch reply.Verdict {
	case pool.Accepted:
	case pool.Refused, pool.Overloaded, pool.Forbidden, pool.Outdated:
		return nil, errors.Newf("job %s was refused and has not run", j.ID)
	case pool.Unknown, pool.Missing, pool.Closed:
		return nil, errors.Wrapf(errStateUnknown, "job %s may have been accepted; submit it again under its id", j.ID)
	}
	views, err := d.jobViews(ctx, q.Pool, string(j.ID))
	if err != nil || len(views) != 1 {
		return nil, errors.Wrapf(errStateUnknown, "job %s was accepted", j.ID)
	}
	return jobWire(q.Pool, views[0]), nil
}

func (d *Daemon) adminCancel(r *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), ownerCallTimeout)
	defer cancel()
	name, v, err := d.findJob(ctx, r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	reply := d.askOwner(ctx, name, "Peer.Cancel", RoutedArgs{Pool: name, Name: string(v.ID)}, func(o *pool.Owner) Reply {
		return Reply{Verdict: o.Cancel(ctx, v.ID)}
	})
	if reply.Verdict != pool.Accepted {
		return nil, errors.Wrapf(errStateUnknown, "job %s may have been cancelled", v.ID)
	}
	if _, v, err = d.findJob(ctx, string(v.ID)); err != nil {
		return nil, err
	}
	return jobWire(name, v), nil
}

func (d *Daemon) adminPools(r *http.Request) (any, error) {
	c := d.config.Load()
	if c == nil {
		return nil, errors.Wrap(errStateUnknown, "no configuration yet")
	}
	ctx, cancel := context.WithTimeout(r.Context(), ownerCallTimeout)
	defer cancel()
	out := []admin.JobPoolWire{}
	for _, p := range c.Pools {
		d.mu.Lock()
		own := d.ownerships[p.Name]
		d.mu.Unlock()
		w := admin.JobPoolWire{Name: p.Name, Owner: own.Owner.Node, Token: own.Token, Standby: p.Standby}
		if l, err := d.load(ctx, p.Name, growthUnknown); err == nil {
			w.OwnerAnswered, w.Hosts, w.UsedMillicores, w.WaitingMillicores = true, len(l.Workers), l.Used, l.Wanted
			for _, worker := range l.Workers {
				w.Tasks += worker.Tasks
			}
		}
		out = append(out, w)
	}
	return out, nil
}

func (d *Daemon) adminWaves(r *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), ownerCallTimeout)
	defer cancel()
	out := []admin.WaveWire{}
	for _, wave := range d.knownWaves() {
		started, complete, err := upkeep.Progress(ctx, d.store, fleetName, wave.Number)
		if err != nil {
			return nil, errors.Wrapf(errStateUnknown, "wave %d: %v", wave.Number, err)
		}
		state := "active"
		if complete {
			state = "complete"
		}
		out = append(out, admin.WaveWire{Number: wave.Number, State: state, Hosts: len(wave.Hosts), StartedHosts: started, MaxAway: wave.MaxUnavailable})
	}
	return out, nil
}
