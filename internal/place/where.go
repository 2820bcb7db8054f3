package place

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Obstacle is what keeps a task from starting on a worker now.
type Obstacle string

// The obstacles, in the order in which they are looked at.
const (
	ObstacleNone        Obstacle = ""
	ObstacleDraining    Obstacle = "draining"
	ObstacleSilent      Obstacle = "silent"
	ObstacleVacated     Obstacle = "vacated"
	ObstacleClosed      Obstacle = "closed"
	ObstacleLabel       Obstacle = "label"
	ObstacleTooSmall    Obstacle = "too-small" // also when empty
	ObstacleNoTicket    Obstacle = "no-ticket"
	ObstacleLimit       Obstacle = "limit-per-worker"
	ObstacleQuarantined Obstacle = "quarantined"
	ObstacleRefused     Obstacle = "refused-a-start"
	ObstacleTrial       Obstacle = "suspected-crash"
	ObstacleNoCores     Obstacle = "no-free-cores"
	ObstacleNoMemory    Obstacle = "no-free-memory"
	ObstacleNoRoom      Obstacle = "no-free-accelerators"
	ObstacleReserved    Obstacle = "reserved"
	ObstacleProbation   Obstacle = "probation"
)

// WorkerVerdict is what a decision finds about a task and a worker.
type WorkerVerdict struct {
	ID       string
	Free     jobs.Resources
	Obstacle Obstacle  // ObstacleNone if the task may start there now
	FitsAt   time.Time // when the worker is expected to have room, zero if never or not known
}

// StepPlacement tells where the tasks of a step would go.
type StepPlacement struct {
	Step    int
	Tasks   int
	Claim   jobs.Resources
	Class   string // in the order
	Blocked string // why the step waits whatever room there is, "" if it does not
	Worker  string // id of the worker where its first task would start now, "" if none
	// StepsAhead and MillicoresAhead are the waiting steps that go before it, and what they claim.
	StepsAhead      int
	MillicoresAhead int
	// ExpectedStart is zero if no worker is expected to have room for a task. The start lies within Error of
	// it for 95% of the queue's tasks, as far as run times have shown; 0 if they have not.
	ExpectedStart time.Time
	Error         time.Duration
	Workers       []WorkerVerdict // by id
}

// classNames are the names of the classes of candidates.
var classNames = map[int]string{
	classLongRunning: "long-running", classOnTime: "on-time", classStandby: "standby", classLate: "late",
	classBestEffort: "best-effort", classExcess: "excess", classExpired: "expired",
}

// Where tells where the steps of a job would go if they were ready now, whether or not the board
// has the job. It changes nothing.
func (b *Board) Where(j jobs.Job, now time.Time) []StepPlacement {
	e := b.jobs[j.ID]
	if e == nil {
		e = newJobEntry(j, jobs.NewProgress(j))
	}
	var placements []StepPlacement
	for i := range e.job.Steps {
		if !e.progress.StepDone(0, i) && e.progress.Final == "" {
			placements = append(placements, b.whereStep(e, stepKey{0, i}, now))
		}
	}
	return placements
}

// costReserved is above all placement costs.
const costReserved = 1 << 40

// whereStep tells where the tasks of a step would go.
func (b *Board) whereStep(e *jobEntry, key stepKey, now time.Time) StepPlacement {
	step := &e.job.Steps[key.step]
	t := jobs.Task{Job: e.job.ID, Occurrence: key.occurrence, Step: key.step, Index: max(0, e.waiting[key].head())}
	c := newCandidate(e, key, b.estimates.factor(e.job.Queue), now)
	b.rankOrganisation(&c, now)
	p := StepPlacement{Step: key.step, Tasks: step.Count, Claim: step.Claim(), Class: classNames[c.class], Blocked: b.blocked(e, key, now)}
	for _, o := range b.pending.steps {
		if waiting := o.queue().len(); waiting > 0 && (o.entry != e || o.key != key) && compareCandidates(o, c) < 0 {
			p.StepsAhead++
			p.MillicoresAhead += waiting * o.entry.job.Steps[o.key.step].Claim().Millicores
		}
	}
	var best *worker
	var bestCost int64
	for _, w := range b.workers {
		v := WorkerVerdict{ID: w.ID, Free: w.free(), Obstacle: b.obstacle(e, step, t, w, now)}
		switch {
		case v.Obstacle == ObstacleNone:
			v.FitsAt = now
			cost := b.placementCost(e, step, t, w)
			if w.reserved && !step.LongRunning {
				cost += costReserved // it is backfilled there only if no other has room
			}
			if best == nil || cost < bestCost || cost == bestCost && w.Key < best.Key {
				best, bestCost = w, cost
			}
		case v.Obstacle.passes():
			if at, ok := b.timeline(w, now).FitsAt(step.Claim(), now); ok {
				v.FitsAt = at
			}
		}
		if !v.FitsAt.IsZero() && (p.ExpectedStart.IsZero() || v.FitsAt.Before(p.ExpectedStart)) {
			p.ExpectedStart = v.FitsAt
		}
		p.Workers = append(p.Workers, v)
	}
	slices.SortFunc(p.Workers, func(x, y WorkerVerdict) int { return strings.Compare(x.ID, y.ID) })
	switch {
	case p.Blocked != "":
	case best != nil:
		p.Worker = best.ID
	case !p.ExpectedStart.IsZero():
		b.delayByQueue(&p, e, key, now)
	}
	return p
}

// delayByQueue adds the time that what goes before a step takes to its expected start.
func (b *Board) delayByQueue(p *StepPlacement, e *jobEntry, key stepKey, now time.Time) {
	if total := b.pending.totalMillicores(); total > 0 {
		share := float64(p.MillicoresAhead) / float64(total)
		p.ExpectedStart = p.ExpectedStart.Add(time.Duration(share * float64(p.ExpectedStart.Sub(now))))
	}
	if b.ahead.ratios[e.job.Queue] != nil {
		p.Error = time.Duration(max(0, b.sureRatio(e, key)-1) * float64(p.ExpectedStart.Sub(now)))
	}
}

// passes reports whether an obstacle is expected to be gone once tasks have ended.
func (o Obstacle) passes() bool {
	switch o {
	case ObstacleNoCores, ObstacleNoMemory, ObstacleNoRoom, ObstacleReserved, ObstacleProbation, ObstacleTrial, ObstacleRefused:
		return true
	default:
		return false
	}
}

// blocked returns why a step waits whatever room there is, "" if it does not.
func (b *Board) blocked(e *jobEntry, key stepKey, now time.Time) string {
	step, o := &e.job.Steps[key.step], b.organisations[e.job.Organisation]
	known := b.jobs[e.job.ID] == e
	switch {
	case known && !e.progress.Ready(key.occurrence, key.step):
		return "earlier steps are not done"
	case known && e.enqueuedSteps[key] && e.waiting[key].len() == 0:
		return "none of its tasks waits"
	case now.Before(e.suspendedUntil):
		return "a decision about the job panicked: it is suspended"
	case b.unconfirmed(e, now) && !step.Speculative:
		return "tasks of an earlier owner may be running on workers that do not answer"
	case o != nil && b.heldUp(e, step):
		return "the quota of its organisation is used up in this pool"
	case !step.LongRunning && b.startLimit <= 0:
		return "the owner sends as many starts as it can"
	}
	return ""
}

// obstacle returns what keeps a task from starting on a worker now, as decisions look at it.
func (b *Board) obstacle(e *jobEntry, step *jobs.Step, t jobs.Task, w *worker, now time.Time) Obstacle {
	claim, free := step.Claim(), w.free()
	switch {
	case w.Draining:
		return ObstacleDraining
	case w.Silent:
		return ObstacleSilent
	case w.Vacate:
		return ObstacleVacated
	case w.Closed:
		return ObstacleClosed
	case !w.hasLabel(step.Label):
		return ObstacleLabel
	case !claim.Fits(w.Size):
		return ObstacleTooSmall
	case b.needsTickets(e) && e.advice[stepKey{t.Occurrence, t.Step}].ticketFor(w.Key, now) == "":
		return ObstacleNoTicket
	case w.attempts[t] != nil || step.MaxPerWorker > 0 && e.countOnWorker(stepKey{t.Occurrence, t.Step}, w) >= step.MaxPerWorker:
		return ObstacleLimit
	case w.health.quarantined(b.policy, now) && b.quarantineAllowed(now):
		return ObstacleQuarantined
	case now.Before(w.pausedUntil):
		return ObstacleRefused
	case w.onTrial(b.policy, t, now):
		return ObstacleTrial
	case claim.Millicores > free.Millicores:
		return ObstacleNoCores
	case claim.MemoryMB > free.MemoryMB:
		return ObstacleNoMemory
	case !claim.Fits(free):
		return ObstacleNoRoom
	case w.reserved && (!step.LongRunning || step.BestEffort) && !b.admitted(e, stepKey{t.Occurrence, t.Step}, claim, w, now):
		return ObstacleReserved
	case !b.accepts(e, step, t, w, now):
		return ObstacleProbation
	}
	return ObstacleNone
}

// admitted reports whether a step's task may start on a reserved worker.
func (b *Board) admitted(e *jobEntry, key stepKey, claim jobs.Resources, w *worker, now time.Time) bool {
	return slices.ContainsFunc(b.ahead.reservations, func(r *reservation) bool {
		return r.worker == w && (r.candidate.entry == e && r.candidate.key == key || r.Admits(claim, b.sureEnd(e, key, now)))
	})
}
