package place

import "github.com/papayarudder/papayarudder/internal/jobs"

// An attempt counts towards its organisation's allotment with its whole size, also that of a
// best-effort task, which claims no processor time on its worker but uses some.

// OrganisationDemand is what the tasks of an organisation need in the pool.
type OrganisationDemand struct {
	Claimed jobs.Resources // as [Board.Claimed]
	Adopted jobs.Resources // the part of Claimed for attempts that an earlier owner started
	Waiting jobs.Resources // the sizes of all tasks that are ready to start
	Largest jobs.Resources // the size of the largest such task, or of the largest gang
	HeldUp  int            // such tasks that the allotment has no room for
}

// Demands returns the demand of all organisations whose allotment is limited.
func (b *Board) Demands() map[string]OrganisationDemand {
	found := map[*organisation]*OrganisationDemand{}
	demands := map[string]OrganisationDemand{}
	for _, c := range b.pending.steps {
		o := b.organisationOf(c.entry)
		if o.allotment == unlimited {
			continue
		}
		tasks := c.queue().len()
		if tasks == 0 {
			continue
		}
		d := found[o]
		if d == nil {
			d = &OrganisationDemand{}
			found[o] = d
		}
		step := &c.entry.job.Steps[c.key.step]
		all := step.Size.Times(tasks)
		unit := step.Size
		if step.Gang {
			unit = all
		}
		d.Waiting = d.Waiting.Add(all)
		d.Largest = d.Largest.Max(unit)
		if b.heldUp(c.entry, step) {
			d.HeldUp += tasks
		}
	}
	for name, o := range b.organisations {
		if o.allotment == unlimited {
			continue
		}
		d := OrganisationDemand{}
		if known := found[o]; known != nil {
			d = *known
		}
		d.Claimed, d.Adopted = o.claimed, o.adopted
		demands[name] = d
	}
	return demands
}

// heldUp reports whether the allotment of a job's organisation has no room for a task of a step,
// or for all of a gang.
func (b *Board) heldUp(e *jobEntry, step *jobs.Step) bool {
	n := 1
	if step.Gang {
		n = step.Count
	}
	return !b.organisationOf(e).admits(step.Size.Times(n))
}

// admits reports whether the allotment has room for a size. What a size has none of does not
// matter.
func (o *organisation) admits(size jobs.Resources) bool {
	fits := func(size, claimed, allotment int) bool { return size == 0 || claimed+size <= allotment }
	return fits(size.Millicores, o.claimed.Millicores, o.allotment.Millicores) &&
		fits(size.MemoryMB, o.claimed.MemoryMB, o.allotment.MemoryMB) &&
		fits(size.Accelerators, o.claimed.Accelerators, o.allotment.Accelerators)
}

// room returns how many of a number of equal tasks the allotment has room for, beside what has
// been taken of it.
func (o *organisation) room(size, taken jobs.Resources, tasks int) int {
	if o.allotment == unlimited {
		return tasks
	}
	fit := func(size, claimed, allotment int) {
		if size > 0 {
			tasks = max(0, min(tasks, (allotment-claimed)/size))
		}
	}
	used := o.claimed.Add(taken)
	fit(size.Millicores, used.Millicores, o.allotment.Millicores)
	fit(size.MemoryMB, used.MemoryMB, o.allotment.MemoryMB)
	fit(size.Accelerators, used.Accelerators, o.allotment.Accelerators)
	return tasks
}

// countUnexpected counts the attempts that a worker runs though it should not as claims of
// their organisations, until a listing lacks them.
func (b *Board) countUnexpected(w *worker, claims map[*organisation]jobs.Resources) {
	for o, claim := range w.unexpectedClaims {
		o.claimed = o.claimed.Sub(claim)
	}
	for o, claim := range claims {
		o.claimed = o.claimed.Add(claim)
	}
	w.unexpectedClaims = claims
}
