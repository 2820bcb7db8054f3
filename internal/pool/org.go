package pool

import (
	"context"
	"maps"

	"github.com/papayarudder/papayarudder/internal/place"
)

// RefusalCause says why a call of an organisation was refused.
type RefusalCause string

// Causes of refusals.
const (
	CauseOtherOrganisation RefusalCause = "other-organisation"
	CauseTooLate           RefusalCause = "too-late" // the job could not end in time
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
