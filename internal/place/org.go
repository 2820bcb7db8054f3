package place

import "github.com/papayarudder/papayarudder/internal/jobs"

// Organisation is what the configuration says of an organisation.
type Organisation struct {
	Weight int // its share of a full pool, and the jobs a second to which it is entitled
}

// organisation is an organisation with what its tasks use in the pool.
type organisation struct {
	Organisation
	allotment jobs.Resources // what its tasks may claim in this pool
	claimed   jobs.Resources // by its attempts, until they are known to have ended
	adopted   jobs.Resources // the part of claimed for attempts that an earlier owner started
	attempts  int
	share     share
}

func (o *organisation) use(a *Attempt) {
	o.claimed = o.claimed.Add(a.step.Size)
	if a.adopted {
		o.adopted = o.adopted.Add(a.step.Size)
	}
	o.attempts++
}

func (o *organisation) release(a *Attempt) {
	o.claimed = o.claimed.Sub(a.step.Size)
	if a.adopted {
		o.adopted = o.adopted.Sub(a.step.Size)
	}
	o.attempts--
}

// unlimited is the allotment of an organisation without a quota.
var unlimited = jobs.Resources{Millicores: jobs.Unlimited, MemoryMB: jobs.Unlimited, Accelerators: jobs.Unlimited}

// organisationOf returns the organisation of a job. Jobs without one share the empty name,
// which has no limit.
func (b *Board) organisationOf(e *jobEntry) *organisation {
	if e.organisation == nil {
		e.organisation = b.organisation(e.job.Organisation)
	}
	return e.organisation
}

func (b *Board) organisation(name string) *organisation {
	o := b.organisations[name]
	if o == nil {
		o = &organisation{allotment: unlimited}
		b.organisations[name] = o
	}
	return o
}

// SetOrganisations sets the organisations of the configuration. Those that it lacks keep their
// jobs and lose their weight.
func (b *Board) SetOrganisations(organisations map[string]Organisation) {
	b.recordStep(Step{Kind: StepOrganisations, Organisations: organisations})
	for name, o := range b.organisations {
		o.Organisation = organisations[name]
	}
	for name, o := range organisations {
		b.organisation(name).Organisation = o
	}
}

// SetAllotment sets what the tasks of an organisation may claim in this pool from now on.
func (b *Board) SetAllotment(name string, allotment jobs.Resources) {
	if b.organisation(name).allotment == allotment {
		return
	}
	b.recordStep(Step{Kind: StepAllotment, Key: name, Size: allotment})
	b.organisation(name).allotment = allotment
}

// Claimed returns what the attempts of an organisation claim. An attempt counts from its start
// order until it is known to have ended.
func (b *Board) Claimed(name string) jobs.Resources {
	if o := b.organisations[name]; o != nil {
		return o.claimed
	}
	return jobs.Resources{}
}
