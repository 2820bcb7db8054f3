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
	Idle    time.Duration // time since the worker was first seen without attempts
	Open    bool          // accepts new tasks
}

// Load is the demand on a pool and its current use.
type Load struct {
	Used    int // millicores claimed by attempts
	Wanted  int // millicores of tasks that are ready to start but have no worker
	Largest int // millicores of the largest such task
	Lasting int // long-running tasks without a worker
	Spread  int // minimum number of workers for the long-running tasks, by their steps' limits and to survive the loss of one
	Steady  int // millicores claimed by long-running attempts
	Rate    int // millicores needed to keep up with the jobs of about the last second
	Density int // millicores that all jobs together need to meet their objectives
	Workers []WorkerLoad
}

// Load returns the load of the pool and of each worker.
func (b *Board) Load(now time.Time) Load {
	var l Load
	for _, w := range b.workers {
		if len(w.attempts) > 0 {
			w.idleSince = time.Time{}
		} else if w.idleSince.IsZero() {
			w.idleSince = now
		}
		load := WorkerLoad{
			ID: w.ID, Tasks: len(w.attempts) + w.promised, Lasting: w.lasting + w.promised,
			Used: w.used.Millicores, Open: w.acceptsTasks(),
		}
		if load.Tasks == 0 {
			load.Idle = now.Sub(w.idleSince)
		}
		l.Used += load.Used
		for _, a := range w.attempts {
			if a.step.LongRunning {
				l.Steady += a.step.Claim().Millicores
			}
		}
		l.Workers = append(l.Workers, load)
	}
	l.Rate = toMillicores(b.arrivals.at(now))
	slices.SortFunc(l.Workers, func(x, y WorkerLoad) int { return strings.Compare(x.ID, y.ID) })
	for _, e := range b.pending.unfinished {
		if e.job.Repetitions == 0 {
			l.Density += toMillicores(e.requiredMillicores(0, b.estimates.factor(e.job.Queue), now))
		}
		for _, s := range e.job.Steps {
			l.Spread = max(l.Spread, minWorkers(s))
		}
		for key, tasks := range e.waiting {
			step := &e.job.Steps[key.step]
			if len(tasks) == 0 {
				continue
			}
			if step.LongRunning && !step.BestEffort {
				l.Lasting += len(tasks)
			}
			l.Wanted += len(tasks) * step.Claim().Millicores
			l.Largest = max(l.Largest, step.Claim().Millicores)
		}
	}
	return l
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
