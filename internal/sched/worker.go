package sched

import (
	"slices"
	"strings"
	"time"
)

// worker is what a queue knows of a host. A worker that takes no more work is
// kept until its last grant is released.
type worker struct {
	Worker
	takes bool
	busy  int
}

func (w *worker) free() int {
	if !w.takes {
		return 0
	}
	return w.Slots - w.busy
}

// SetWorkers replaces the set of workers that take work.
func (q *Queue) SetWorkers(workers []Worker, now time.Time) []Decision {
	for _, w := range q.workers {
		w.takes = false
	}
	for _, spec := range workers {
		w, known := q.workers[spec.Name]
		if !known {
			w = &worker{}
			q.workers[spec.Name] = w
			w.busy = q.held(spec.Name)
		}
		w.Worker = spec
		w.takes = true
	}
	q.index()
	return q.dispatch(now)
}

// held counts the grants on a worker, for one that was not known when they
// were restored.
func (q *Queue) held(name string) int {
	count := 0
	for _, g := range q.grants {
		if g.Worker == name {
			count++
		}
	}
	return count
}

// index rebuilds what is derived from the set of workers.
func (q *Queue) index() {
	q.order = q.order[:0]
	q.slots = 0
	for name, w := range q.workers {
		if !w.takes && w.busy <= 0 {
			delete(q.workers, name)
			continue
		}
		if w.takes {
			q.order = append(q.order, w)
			q.slots += w.Slots
		}
	}
	slices.SortFunc(q.order, func(a, b *worker) int { return strings.Compare(a.Name, b.Name) })
}

// place returns the worker with the most free slots, nil if none is free. Ties
// go round, so that equal workers share the load. A worker that the request
// should avoid is taken only if no other has a free slot.
func (q *Queue) place(r Request, now time.Time) *worker {
	var best, avoided *worker
	q.rotation++
	for i := range q.order {
		w := q.order[(i+q.rotation)%len(q.order)]
		if w.free() <= 0 {
			continue
		}
		if slices.Contains(r.Avoid, w.Name) {
			avoided = w
			continue
		}
		if best == nil || w.free() > best.free() {
			best = w
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// learn takes the outcome of a grant into the estimates.
func (q *Queue) learn(g Grant, outcome Outcome, now time.Time) {
	s, known := q.services[g.Service]
	if known && outcome == Succeeded {
		s.times.add(now.Sub(g.At))
	}
}
