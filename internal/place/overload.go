package place

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// A pool is overloaded while it has more work than its workers, and the hosts on their way, can
// do in time. In order of urgency nearly all its jobs would then be late together. The plan
// chooses those that can be on time. The others stand by: they run in room that is left.

// A plan keeps a part of the time that a job can wait in reserve, for what it can't know: later
// steps have to wait as well, and declared run times are wrong. It uses planShare at least.
const (
	planReserve = 500 * time.Millisecond // and the critical path times the error of the queue's run times
	planShare   = 0.2
)

const (
	planInterval   = 100 * time.Millisecond // between two plans
	growthDelay    = 750 * time.Millisecond // until half of the hosts on their way have arrived
	hostsDelay     = 2 * time.Second        // from the begin of an overload until the hosts for it have come, if there are any
	overloadMemory = time.Second            // from when no job stands by any more until the overload counts as over
	wideMargin     = 150 * time.Millisecond // by which a wide step may be late, so that narrow ones do not take all the room there is
)

// standing is what the plan has decided about a job.
type standing struct {
	admitted bool // a plan has had time for it, so that later ones let newer jobs go first
	standby  bool // the last plan has no time for it
	excess   bool // beyond what its organisation is entitled to, see [organisation.exceeds]
}

// overloadPlan describes the last plan.
type overloadPlan struct {
	at        time.Time // zero if no batch task waited
	made      bool      // by the present decision, and later ones depend on it
	standby   int       // jobs that stand by
	since     time.Time // since when the pool has been overloaded
	droppedAt time.Time // when a plan last dropped a job
}

// demand is the work of a step's tasks that have not been started.
type demand struct {
	entry       *jobEntry
	step        int
	latestStart time.Time
	wait        time.Duration // until then
	reserve     time.Duration // of that
	runTime     time.Duration // of one task
	work        float64       // in millicore seconds
	one         float64       // of one task
}

// supply is the room that a pool has for tasks.
type supply struct {
	free   int     // millicores that are free now
	rate   float64 // work that the workers take on in a second while they are full, in millicore seconds
	growth int     // millicores of hosts on their way
}

// workBefore returns how much work of tasks with a run time can be started within a duration, in
// millicore seconds. Each free millicore takes a task at once, and again when that has ended.
func (s supply) workBefore(d, runTime time.Duration) float64 {
	work := float64(float64(s.free)*runTime.Seconds()) + float64(s.rate*max(0, d).Seconds())
	if late := d - growthDelay; late > 0 {
		work += float64(float64(s.growth) * (late + runTime).Seconds())
	}
	return work
}

// service measures how much of its capacity a full pool uses: a part is always between two tasks,
// or too small for one.
type service struct {
	efficiency float64   // work started in a second by millicores of capacity
	started    float64   // work started since measuredAt, in millicore seconds
	measuredAt time.Time // when the pool was last found full
}

const (
	firstEfficiency = 0.8
	minEfficiency   = 0.3
	serviceWeight   = 0.1 // weight of a new measurement, one each planInterval
)

// update records that the pool is full.
func (s *service) update(capacity int, now time.Time) {
	since := now.Sub(s.measuredAt)
	if s.efficiency == 0 {
		s.efficiency = firstEfficiency
	}
	if since <= 2*planInterval && since > 0 && capacity > 0 { // it was full all the while
		sample := min(1, max(minEfficiency, s.started/(float64(capacity)*since.Seconds())))
		s.efficiency += float64(serviceWeight * (sample - s.efficiency))
	}
	s.started, s.measuredAt = 0, now
}

// SetShedding sets whether jobs that can't be on time give way to those that can while the pool
// is overloaded.
func (b *Board) SetShedding(on bool) {
	if on == b.shedding {
		return
	}
	b.recordStep(Step{Kind: StepShedding, Flag: on})
	b.shedding = on
	if !on {
		b.contended, b.plan.at = false, time.Time{}
		b.levelShares()
		b.endOverload()
	}
}

// Sheds reports whether [Board.SetShedding] is on.
func (b *Board) Sheds() bool { return b.shedding }

// Overloaded reports whether a plan of the last moments has dropped jobs.
func (b *Board) Overloaded(now time.Time) bool {
	return b.shedding && !b.plan.droppedAt.IsZero() && now.Sub(b.plan.droppedAt) < overloadMemory
}

// lastingOverload reports whether the pool has been overloaded for longer than hosts take to come.
func (b *Board) lastingOverload(now time.Time) bool {
	return b.Overloaded(now) && now.Sub(b.plan.since) >= hostsDelay
}

// planOverload decides which jobs stand by.
func (b *Board) planOverload(now time.Time) {
	if !b.shedding || now.Sub(b.plan.at) < planInterval && !now.Before(b.plan.at) {
		return
	}
	room, waiting, contended := b.supply(now)
	b.plan.made = waiting || !b.plan.at.IsZero()
	b.contended, b.plan.at = contended, time.Time{}
	if waiting {
		b.plan.at = now
	}
	b.levelShares()
	if !contended {
		b.endOverload()
		return
	}
	demands := b.demands(now)
	overloaded := b.Overloaded(now)
	for _, d := range demands {
		d.entry.standing.standby = overloaded && d.entry.standing.excess
	}
	standby := b.chooseStandby(demands, room, now)
	if b.plan.standby = standby; standby > 0 {
		if !overloaded {
			b.plan.since = now
		}
		b.plan.droppedAt = now
	}
}

// endOverload ends the overload of the last plan.
func (b *Board) endOverload() {
	if b.plan.standby == 0 {
		return
	}
	b.plan.standby = 0
	for _, e := range b.pending.unfinished {
		b.examined++
		e.standing.standby = false
	}
}

// supply returns the room of the pool, whether tasks wait for some, and whether for more than is
// free now.
func (b *Board) supply(now time.Time) (s supply, waiting, contended bool) {
	wanted, smallest := 0, math.MaxInt
	limited := map[*organisation]int{} // wanted by those with an allotment
	for _, c := range b.pending.steps {
		b.examined++
		step := &c.entry.job.Steps[c.key.step]
		tasks := c.queue().len()
		if tasks == 0 || step.LongRunning || b.heldUp(c.entry, step) {
			continue
		}
		if o := b.organisationOf(c.entry); o.allotment.Millicores == jobs.Unlimited {
			wanted += tasks * step.Claim().Millicores
		} else {
			limited[o] += tasks * step.Claim().Millicores
		}
		smallest = min(smallest, step.Claim().Millicores)
	}
	for o, millicores := range limited {
		wanted += min(millicores, o.allotment.Millicores-o.claimed.Millicores)
	}
	if wanted == 0 {
		return supply{}, false, false
	}
	for _, w := range b.pending.room.atLeast(smallest) {
		b.examined++
		s.free += w.free().Millicores
	}
	if wanted <= s.free {
		return s, true, false
	}
	if now.Before(b.growthUntil) {
		s.growth = b.growth
	}
	capacity := b.batchCapacity(now) - s.growth
	b.service.update(capacity, now)
	s.rate = float64(b.service.efficiency * float64(capacity))
	return s, true, true
}

// demands returns the steps of jobs that can still be on time, in the order of their latest
// starts.
func (b *Board) demands(now time.Time) []demand {
	var demands []demand
	lasting := b.lastingOverload(now)
	for _, e := range b.pending.unfinished {
		b.examined++
		if e.job.LongRunning() || e.job.Repetitions > 0 {
			continue
		}
		factor := b.estimates.factor(e.job.Queue)
		scaled := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
		objective := e.job.Objective(0, scaled(e.longestPath))
		first := len(demands)
		for i := range e.job.Steps {
			tasks, key := 0, stepKey{0, i}
			if e.enqueuedSteps[key] {
				tasks = e.waiting[key].len()
			} else {
				tasks = e.progress.Left(0, i)
			}
			if tasks == 0 {
				continue
			}
			d := demand{entry: e, step: i, latestStart: objective.Add(-scaled(e.criticalPaths[i])), runTime: scaled(e.job.Steps[i].Estimate)}
			if d.latestStart.Before(now) {
				demands = demands[:first] // the job will be late
				break
			}
			d.wait = d.latestStart.Sub(now)
			if lasting {
				d.reserve = planReserve + time.Duration(b.estimates.error(e.job.Queue)*float64(scaled(e.criticalPaths[i])))
			}
			d.work, d.one = factor*e.estimatedWork(i, tasks), factor*e.estimatedWork(i, 1)
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(x, y demand) int {
		if order := x.latestStart.Compare(y.latestStart); order != 0 {
			return order
		}
		return cmp.Or(strings.Compare(string(x.entry.job.ID), string(y.entry.job.ID)), cmp.Compare(x.step, y.step))
	})
	return demands
}

// planned is a job that a plan has time for so far, and that it may still drop.
type planned struct {
	entry *jobEntry
	order int
	begun bool
	share float64 // what its organisation has had, with the jobs planned before it
	work  float64 // of its steps so far
}

// dropOrder is a heap of planned jobs. Those to be dropped come first.
type dropOrder []*planned

func (o dropOrder) Len() int           { return len(o) }
func (o dropOrder) Less(i, j int) bool { return o[i].droppedBefore(o[j]) }
func (o dropOrder) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *dropOrder) Push(x any)        { *o = append(*o, x.(*planned)) }
func (o *dropOrder) Pop() any {
	last := len(*o) - 1
	p := (*o)[last]
	*o = (*o)[:last]
	return p
}

// droppedBefore reports whether a job is dropped before another one: the less urgent priority,
// jobs beyond their organisation's rate, jobs that no plan had time for, and those of the
// organisation that has had most for its weight.
func (p *planned) droppedBefore(o *planned) bool {
	if p.entry.job.Priority != o.entry.job.Priority {
		return p.entry.job.Priority > o.entry.job.Priority
	}
	x, y := &p.entry.standing, &o.entry.standing
	if x.excess != y.excess {
		return x.excess
	}
	if p.begun != o.begun {
		return o.begun
	}
	if p.share != o.share {
		return p.share > o.share
	}
	if x.admitted != y.admitted {
		return y.admitted
	}
	return p.order > o.order
}

// chooseStandby goes through the demands in the order of their latest starts and drops a job
// whenever the work up to one of them can't be started by then (Moore and Hodgson's rule, but for
// the order in which jobs are dropped). It returns how many jobs stand by.
func (b *Board) chooseStandby(demands []demand, room supply, now time.Time) int {
	var drops dropOrder
	seen := map[*jobEntry]*planned{}
	shares := map[*organisation]float64{} // of the jobs planned so far
	work, dropped, urgent := 0.0, 0, math.MaxInt
	mean := meanWork(demands)
	for i, d := range demands {
		if d.entry.standing.standby {
			if seen[d.entry] == nil {
				seen[d.entry] = &planned{}
				dropped++
			}
			continue
		}
		work += d.work
		p := seen[d.entry]
		if p == nil {
			p = &planned{entry: d.entry, order: i, begun: d.entry.begun(), share: b.usedShare(d.entry)}
			if o := b.sharing(d.entry.job.Organisation); o != nil {
				p.share += shares[o]
				shares[o] += d.entry.totalWork() / float64(o.Weight)
			}
			seen[d.entry] = p
			heap.Push(&drops, p)
		}
		p.work += d.work
		wide := min(max(0, d.work-mean), float64(room.rate*wideMargin.Seconds()))
		limit := room.workBefore(max(d.wait-d.reserve, time.Duration(planShare*float64(d.wait))), d.runTime) + max(d.one, wide)
		for work > limit && len(drops) > 0 {
			p := heap.Pop(&drops).(*planned)
			p.entry.standing.standby = true
			work -= p.work
			urgent = min(urgent, p.entry.job.Priority)
			dropped++
		}
	}
	for _, p := range drops {
		if p.entry.job.Priority > urgent && !p.begun {
			p.entry.standing.standby = true // behind the more urgent ones that were dropped
			dropped++
			continue
		}
		p.entry.standing.admitted = true
	}
	return dropped
}

// meanWork returns the mean work of a step.
func meanWork(demands []demand) float64 {
	work := 0.0
	for _, d := range demands {
		work += d.work
	}
	return work / float64(max(1, len(demands)))
}

// begun reports whether a task of the job has been started.
func (e *jobEntry) begun() bool { return e.progress.Begun || len(e.attempts) > 0 }
