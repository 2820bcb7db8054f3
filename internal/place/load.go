package place

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// WorkerLoad is the load of one worker.
type WorkerLoad struct {
	ID      string
	Tasks   int           // attempts, including long-running ones
	Lasting int           // attempts of long-running tasks
	Used    int           // millicores claimed by attempts
	Size    int           // millicores that the worker has now, 0 if not known
	Idle    time.Duration // time since the worker was first seen without attempts
	Open    bool          // accepts new tasks
}

// Load is the demand on a pool and its current use.
type Load struct {
	Used    int // millicores claimed by attempts
	Wanted  int // millicores of tasks that are ready to start but have no worker
	Largest int // millicores of the largest such task
	Lasting int // long-running tasks without a worker
	// MemoryHosts is the number of empty hosts that the waiting tasks need of which fewer fit
	// on a host by memory than by processor time.
	MemoryHosts float64
	Spread      int // minimum number of workers for the long-running tasks, by their steps' limits and to survive the loss of one
	Steady      int // millicores claimed by long-running attempts
	Rate        int // millicores needed to keep up with the jobs of about the last second
	Density     int // millicores that all jobs together need to meet their objectives
	// StartLimited means that batch tasks wait for their owner, which starts as many as it
	// can, and not for a worker: more hosts would not help them.
	StartLimited bool
	Workers      []WorkerLoad
}

// Load returns the load of the pool and of each worker.
func (b *Board) Load(now time.Time) Load {
	l := Load{StartLimited: b.startsLimited(now)}
	var largest jobs.Resources
	for _, w := range b.workers {
		if len(w.attempts) > 0 {
			w.idleSince = time.Time{}
		} else if w.idleSince.IsZero() {
			w.idleSince = now
		}
		load := WorkerLoad{
			ID: w.ID, Tasks: len(w.attempts) + w.promised, Lasting: w.lasting + w.promised,
			Used: w.used.Millicores, Size: w.Size.Millicores, Open: w.acceptsTasks(),
		}
		if load.Tasks == 0 {
			load.Idle = now.Sub(w.idleSince)
		}
		l.Used += load.Used
		l.Steady += w.lastingClaims().Millicores
		largest.Millicores, largest.MemoryMB = max(largest.Millicores, w.Size.Millicores), max(largest.MemoryMB, w.Size.MemoryMB)
		l.Workers = append(l.Workers, load)
	}
	l.Rate = toMillicores(b.arrivals.at(now))
	slices.SortFunc(l.Workers, func(x, y WorkerLoad) int { return strings.Compare(x.ID, y.ID) })
	taken := map[*organisation]jobs.Resources{} // of the allotments, by tasks that count as wanted
	required := map[*organisation]int{}         // millicores that the jobs of organisations with an allotment need
	for _, e := range b.pending.unfinished {
		o := b.organisationOf(e)
		if e.job.Repetitions == 0 && o.allotment.Millicores != jobs.Unlimited {
			required[o] += toMillicores(e.requiredMillicores(0, b.estimates.factor(e.job.Queue), now))
		} else if e.job.Repetitions == 0 {
			l.Density += toMillicores(e.requiredMillicores(0, b.estimates.factor(e.job.Queue), now))
		}
		for _, s := range e.job.Steps {
			l.Spread = max(l.Spread, minWorkers(s))
		}
		for key, q := range e.waiting {
			step := &e.job.Steps[key.step]
			waiting := o.room(step.Size, taken[o], q.len())
			if waiting == 0 || step.Gang && waiting < q.len() {
				continue // no host is missing where the organisation's quota holds its tasks up
			}
			if o.allotment != unlimited {
				taken[o] = taken[o].Add(step.Size.Times(waiting))
			}
			if step.LongRunning && !step.BestEffort {
				l.Lasting += waiting
			}
			l.MemoryHosts += memoryHosts(step.Claim(), waiting, largest)
			if b.ahead.on {
				l.Wanted += roundedDemand(step, waiting, largest, b.policy.ReserveShare)
			} else {
				l.Wanted += waiting * step.Claim().Millicores
			}
			l.Largest = max(l.Largest, step.Claim().Millicores)
		}
	}
	for o, millicores := range required {
		l.Density += max(0, min(millicores, o.allotment.Millicores))
	}
	return l
}

// memoryHosts returns how many hosts of a size a number of tasks need if memory limits how
// many fit on one, 0 if processor time does.
func memoryHosts(claim jobs.Resources, tasks int, size jobs.Resources) float64 {
	byMemory := size.MemoryMB / max(1, claim.MemoryMB)
	if byMemory == 0 || claim.Millicores > 0 && size.Millicores/claim.Millicores <= byMemory {
		return 0 // one that does not fit at all gets none
	}
	return float64(tasks) / float64(byMemory)
}

// limitedTime is how long a decision whose start limit held tasks back counts: a few
// decisions, which are up to 50 ms apart.
const limitedTime = 200 * time.Millisecond

// startsLimited reports whether a start limit holds batch tasks back.
func (b *Board) startsLimited(now time.Time) bool {
	return !b.limitedAt.IsZero() && now.Sub(b.limitedAt) <= limitedTime
}

// maxDemand is the largest demand that a computation gives, in millicores. Sums of it over
// all jobs of a pool do not overflow.
const maxDemand = 1e12

// toMillicores rounds a computed demand down. The result of a conversion out of the range of
// int depends on the processor.
func toMillicores(demand float64) int { return int(min(demand, maxDemand)) }

// minWorkers returns the minimum number of workers for a long-running step. One that
// has several tasks gets at least 2, to survive the loss of a worker.
func minWorkers(s jobs.Step) int {
	if !s.LongRunning || s.BestEffort {
		return 0
	}
	workers := min(2, s.Count)
	if s.MaxPerWorker > 0 {
		workers = max(workers, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
	}
	return workers
}
