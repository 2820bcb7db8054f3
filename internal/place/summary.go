package place

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// JobView is the status of a job, for operators.
type JobView struct {
	ID        jobs.ID
	Queue     string
	State     jobs.State
	Tasks     int
	Done      int
	Running   int
	Submitted time.Time
}

// View returns the status of a job, and whether the job is known.
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
		v.Done = v.Tasks // the stored progress of a final job holds only its state
	}
	return v, true
}

// Views returns the status of all jobs, oldest first.
func (b *Board) Views() []JobView {
	var views []JobView
	for id := range b.jobs {
		v, _ := b.View(id)
		views = append(views, v)
	}
	slices.SortFunc(views, func(x, y JobView) int {
		if order := x.Submitted.Compare(y.Submitted); order != 0 {
			return order
		}
		return strings.Compare(string(x.ID), string(y.ID))
	})
	return views
}

// Summary holds counts that describe a pool. It is logged with its field names.
type Summary struct {
	Workers  int
	Open     int // workers that accept new tasks
	Silent   int
	Draining int
	Vacated  int // workers whose hosts are needed elsewhere
	Aside    int // quarantined workers
	Doubtful int // workers on probation, which get one batch task at a time
	Suspects int // tasks under which workers have crashed
	Reserved int // workers reserved for a task that does not fit yet
	Jobs     int // jobs that are not final
	Attempts int
	Waiting  int  // tasks ready to start
	Size     int  // millicores of workers that accept new tasks
	Used     int  // millicores claimed on these workers
	Wanted   int  // millicores of waiting tasks
	Largest  int  // millicores of the largest of them
	TooSmall int  // free millicores on workers that accept new tasks, each with less than Largest
	Limited  bool // batch tasks wait for their owner to send starts, not for a worker
	Standby  int  // jobs that stand by while the pool is overloaded
}

// Summary returns the current counts of the pool.
func (b *Board) Summary(now time.Time) Summary {
	s := Summary{Workers: len(b.workers), Limited: b.startsLimited(now), Standby: b.plan.standby}
	for _, w := range b.workers {
		s.Attempts += len(w.attempts)
		count := func(n *int, is bool) {
			if is {
				*n++
			}
		}
		count(&s.Open, w.acceptsTasks())
		count(&s.Silent, w.Silent)
		count(&s.Draining, w.Draining)
		count(&s.Vacated, w.Vacate)
		count(&s.Aside, w.health.quarantined(b.policy, now))
		count(&s.Doubtful, w.health.onProbation(b.policy, now))
		count(&s.Reserved, w.reserved)
		if w.acceptsTasks() {
			s.Size += w.Size.Millicores
			s.Used += w.used.Millicores
		}
	}
	for _, e := range b.pending.unfinished {
		s.Jobs++
		s.Suspects += e.progress.CountCrashed()
		for key, q := range e.waiting {
			s.Waiting += q.len()
			claim := e.job.Steps[key.step].Claim().Millicores
			s.Wanted += q.len() * claim
			if q.len() > 0 {
				s.Largest = max(s.Largest, claim)
			}
		}
	}
	for _, w := range b.workers {
		if free := w.free().Millicores; w.acceptsTasks() && free < s.Largest {
			s.TooSmall += free
		}
	}
	return s
}
