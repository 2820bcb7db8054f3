package place

import (
	"maps"
	"slices"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// OrganisationView is what the jobs of an organisation use in the pool, and wait for.
type OrganisationView struct {
	Name         string // empty for the jobs that belong to none
	Weight       int    // 0 if the configuration lacks it
	Jobs         int    // that have not ended
	Attempts     int
	Claimed      jobs.Resources // by the attempts
	WaitingTasks int            // whose turn has come
	Waiting      jobs.Resources // the claims of these
	Allotment    jobs.Resources // what its tasks may claim, [jobs.Unlimited] where there is no limit
}

// OrganisationViews returns the organisations in the order of their names. It looks at every job.
func (b *Board) OrganisationViews() []OrganisationView {
	byName := map[string]OrganisationView{}
	for name, o := range b.organisations {
		byName[name] = OrganisationView{Name: name, Weight: o.Weight, Attempts: o.attempts, Claimed: o.claimed, Allotment: o.allotment}
	}
	for _, e := range b.pending.unfinished {
		v, known := byName[e.job.Organisation]
		if !known {
			v = OrganisationView{Name: e.job.Organisation, Allotment: unlimited}
		}
		v.Jobs++
		for key, q := range e.waiting {
			v.Waiting = v.Waiting.Add(e.job.Steps[key.step].Claim().Times(q.len()))
			v.WaitingTasks += q.len()
		}
		byName[v.Name] = v
	}
	views := make([]OrganisationView, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		views = append(views, byName[name])
	}
	return views
}
