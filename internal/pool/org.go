package pool

import (
	"context"
	"maps"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Caller tells who asks about a job. A zero Caller is not checked, such as an operator.
type Caller struct {
	Organisation string // whose key it sent
	PublicRoute  string // by which it came without a key; it reaches the jobs of nobody, and of this route
}

// mayAccess reports whether a caller may see and cancel a job. Jobs that the pool does not have
// are open to all.
func (o *Owner) mayAccess(id jobs.ID, c Caller) bool {
	j, known := o.board.Job(id)
	if s := o.pending[id]; !known && s != nil {
		j = s.job
	}
	return c == Caller{} || j.Organisation == "" || j.Organisation == c.Organisation || c.PublicRoute != "" && j.Route == c.PublicRoute
}

// Submitter returns who submits a job. An empty organisation means a public route, as all that
// submit jobs of organisations name them.
func Submitter(j jobs.Job) Caller {
	if j.Organisation == "" {
		return Caller{PublicRoute: j.Route}
	}
	return Caller{Organisation: j.Organisation}
}

// RefusalCause says why a call of an organisation was refused.
type RefusalCause string

// Causes of refusals.
const (
	CauseOtherOrganisation RefusalCause = "other-organisation"
	CauseTooLate           RefusalCause = "too-late" // the job could not end in time
	CauseMemory            RefusalCause = "memory"   // jobs that have not ended take too much of it
)

// OrganisationView is what an organisation has in a pool, and what of it was refused since the
// owner began.
type OrganisationView struct {
	place.OrganisationView
	Refused map[RefusalCause]int
}

// countRefusal counts a refused call. Calls without an organisation are not counted.
func (o *Owner) countRefusal(organisation string, cause RefusalCause) {
	if organisation == "" {
		return
	}
	if o.refused[organisation] == nil {
		o.refused[organisation] = map[RefusalCause]int{}
	}
	o.refused[organisation][cause]++
}

// Organisations returns the organisations that have jobs in the pool or are configured.
func (o *Owner) Organisations(ctx context.Context) ([]OrganisationView, Verdict) {
	var views []OrganisationView
	v := o.ask(ctx, func(reply chan Verdict) {
		if !o.started {
			reply <- Unknown
			return
		}
		for _, view := range o.board.OrganisationViews() {
			views = append(views, OrganisationView{view, maps.Clone(o.refused[view.Name])})
		}
		reply <- Accepted
	})
	if v != Accepted {
		return nil, v // the loop may still write to views
	}
	return views, v
}
