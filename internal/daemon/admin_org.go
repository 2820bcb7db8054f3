package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/pool"
)

// organisationViews asks a pool's owner what the organisations have there.
func (d *Daemon) organisationViews(ctx context.Context, name string) ([]pool.OrganisationView, error) {
	reply, err := d.askOnce(ctx, name, "Peer.Organisations", name, func(o *pool.Owner) Reply {
		views, v := o.Organisations(ctx)
		return Reply{Organisations: views, Verdict: v}
	})
	if err == nil && reply.Verdict != pool.Accepted {
		err = errOwnerUnreachable
	}
	return reply.Organisations, err
}

// organisations returns the organisations of the configuration, and those that have jobs left,
// in the order of their names.
func (d *Daemon) organisations(ctx context.Context) ([]admin.OrganisationWire, error) {
	c := d.config.Load()
	if c == nil {
		return nil, errors.Wrap(errStateUnknown, "no configuration yet")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	names := d.poolNames()
	views, unknown := make([][]pool.OrganisationView, len(names)), make([]error, len(names))
	var asked sync.WaitGroup
	for i, name := range names {
		asked.Go(func() { views[i], unknown[i] = d.organisationViews(ctx, name) })
	}
	asked.Wait()
	byName := map[string]*admin.OrganisationWire{}
	for _, o := range c.Organisations {
		byName[o.Name] = &admin.OrganisationWire{Name: o.Name, Configured: true, Weight: o.Weight, Quota: resourcesWire(o.Quota)}
	}
	for i := range names {
		for _, v := range views[i] {
			if v.Name != "" && byName[v.Name] == nil && v.Jobs+v.Attempts > 0 {
				byName[v.Name] = &admin.OrganisationWire{Name: v.Name}
			}
		}
	}
	out := make([]admin.OrganisationWire, 0, len(byName))
	for _, w := range byName {
		w.Pools = []admin.OrganisationPoolWire{}
		for i, name := range names {
			part := admin.OrganisationPoolWire{Pool: name, Known: unknown[i] == nil}
			for _, v := range views[i] {
				if v.Name == w.Name {
					part = organisationPoolWire(name, v)
				}
			}
			w.Pools = append(w.Pools, part)
		}
		out = append(out, *w)
	}
	slices.SortFunc(out, func(x, y admin.OrganisationWire) int { return cmp.Compare(x.Name, y.Name) })
	return out, nil
}

func organisationPoolWire(name string, v pool.OrganisationView) admin.OrganisationPoolWire {
	w := admin.OrganisationPoolWire{
		Pool: name, Known: true, Jobs: v.Jobs, Running: v.Attempts, Claimed: resourcesWire(v.Claimed),
		WaitingTasks: v.WaitingTasks, Waiting: resourcesWire(v.Waiting), Allotment: resourcesWire(v.Allotment),
	}
	for cause, n := range v.Refused {
		if w.Refused == nil {
			w.Refused = map[string]int{}
		}
		w.Refused[string(cause)] = n
	}
	return w
}

func resourcesWire(r jobs.Resources) admin.ResourcesWire {
	field := func(n int) int {
		if n == jobs.Unlimited {
			return admin.NoLimit
		}
		return n
	}
	return admin.ResourcesWire{Millicores: field(r.Millicores), MemoryMB: field(r.MemoryMB), Accelerators: field(r.Accelerators)}
}

func (d *Daemon) adminOrganisations(r *http.Request) (any, error) {
	return d.organisations(r.Context())
}

func (d *Daemon) adminOrganisation(r *http.Request) (any, error) {
	all, err := d.organisations(r.Context())
	if err != nil {
		return nil, err
	}
	for _, w := range all {
		if w.Name == r.PathValue("name") {
			return w, nil
		}
	}
	return nil, errors.Wrapf(errNoOrg, "%.60q", r.PathValue("name"))
}
