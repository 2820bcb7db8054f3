package place

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// JobView is how a job stands, for operators.
type JobView struct {
	ID        jobs.ID
	Queue     string
	State     jobs.State
	Tasks     int
	Done      int
	Running   int
	Submitted time.Time
}

// View returns how a job stands, and whether it is known.
func (b *Board) View(id jobs.ID) (JobView, bool) {
	e := b.jobs[id]
	if e == nil {
		return JobView{}, false
	}
	state, _ := b.State(id)
	v := JobView{ID: id, Queue: e.job.Queue, State: state, Submitted: e.job.Submitted, Running: len(e.attempts)}
	for k := range e.job.Occurrences() {
		for i, s := range e.job.Steps {
			v.Tasks += s.Count
			v.Done += s.Count - e.progress.Left(k, i)
		}
	}
	if state == jobs.Complete {
		v.Done = v.Tasks // what is stored of a final job is its state only
	}
	return v, true
}

// Views returns how all jobs stand, oldest first.
func (b *Board) Views() []JobView {
	var all []JobView
	for id := range b.jobs {
		v, _ := b.View(id)
		all = append(all, v)
	}
	slices.SortFunc(all, func(x, y JobView) int {
		if order := x.Submitted.Compare(y.Submitted); order != 0 {
			return order
		}
		return strings.Compare(string(x.ID), string(y.ID))
	})
	return all
}

// Summary is the state of a pool in figures, for the log and for the process
// that moves hosts.
type Summary struct {
	Workers  int
	Open     int // may get new tasks
	Silent   int
	Draining int
	Vacated  int // wanted elsewhere
	Aside    int // set aside as sick
	Doubtful int // get one task at a time
	Reserved int // kept for a task that does not fit yet
	Jobs     int // that are not final
	Attempts int
	Waiting  int // tasks whose turn has come
	Size     int // millicores of open workers
	Used     int // millicores of what runs on them
	Wanted   int // millicores of waiting tasks
}

// Summary returns the state of the pool.
func (b *Board) Summary(now time.Time) Summary {
	s := Summary{Workers: len(b.workers)}
	for _, w := range b.workers {
		s.Attempts += len(w.attempts)
		count := func(n *int, is bool) {
			if is {
				*n++
			}
		}
		count(&s.Open, w.open())
		count(&s.Silent, w.Silent)
		count(&s.Draining, w.Draining)
		count(&s.Vacated, w.Vacate)
		count(&s.Aside, w.health.setAside(b.policy, now))
		count(&s.Doubtful, w.health.doubtful(b.policy, now))
		count(&s.Reserved, w.reserved)
		if w.open() {
			s.Size += w.Size.Millicores
			s.Used += w.used.Millicores
		}
	}
	for _, e := range b.jobs {
		if e.progress.Final != "" {
			continue
		}
		s.Jobs++
		for key, tasks := range e.waiting {
			s.Waiting += len(tasks)
			s.Wanted += len(tasks) * e.job.Steps[key.step].Claim().Millicores
		}
	}
	return s
}
