package place

import "github.com/papayarudder/papayarudder/internal/jobs"

// stepSpread counts the attempts of a step, in one occurrence of its job, by where they are, so that
// the placement of a task need not look at the others. A step has one while it has attempts or
// tasks that are about to move.
type stepSpread struct {
	attempts int
	workers  map[*worker]int // attempts, and tasks that are about to move there
	racks    map[string]int  // attempts
}

// isSpread reports whether the placement of a step's tasks depends on where the others are.
func isSpread(s *jobs.Step) bool {
	return s.LongRunning || s.Gang || s.RackLocal || s.MaxPerWorker > 0
}

// spreadOf returns the counts of a step, which are new before its first attempt.
func (e *jobEntry) spreadOf(key stepKey) *stepSpread {
	s := e.spreads[key]
	if s == nil {
		s = &stepSpread{workers: map[*worker]int{}, racks: map[string]int{}}
		e.spreads[key] = s
	}
	return s
}

// countAttempt adds n to the counts of the attempts of a step at a worker.
func (e *jobEntry) countAttempt(key stepKey, w *worker, n int) {
	if !isSpread(&e.job.Steps[key.step]) {
		return
	}
	s := e.spreadOf(key)
	s.attempts += n
	e.countRack(s, key.step, w.Rack, n)
	e.countTask(s, key, w, n)
}

// countPromise adds n to the counts of the tasks of a step that are about to move to a worker.
func (e *jobEntry) countPromise(key stepKey, w *worker, n int) {
	e.countTask(e.spreadOf(key), key, w, n)
}

func (e *jobEntry) countTask(s *stepSpread, key stepKey, w *worker, n int) {
	add(s.workers, w, n)
	if len(s.workers) == 0 {
		delete(e.spreads, key)
	}
}

func (e *jobEntry) countRack(s *stepSpread, step int, rack string, n int) {
	add(s.racks, rack, n)
	if e.job.Steps[step].LongRunning {
		add(e.racks, stepRack{step, rack}, n)
	}
}

// stepRack identifies the attempts of a step, in all occurrences of its job, on a rack.
type stepRack struct {
	step int
	rack string
}

// add adds n to a count, which is removed if it becomes zero.
func add[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// rackChanged updates the counts after a worker was found to be on another rack than before.
func (w *worker) rackChanged(before string) {
	for _, a := range w.attempts {
		if s := a.entry.spreads[a.stepKey()]; s != nil && isSpread(a.step) {
			a.entry.countRack(s, a.Task.Step, before, -1)
			a.entry.countRack(s, a.Task.Step, w.Rack, 1)
		}
	}
}

// countOnWorker returns the number of attempts of a step on a worker, and of tasks of the step that
// are about to move there. The step is one that is spread.
func (e *jobEntry) countOnWorker(key stepKey, w *worker) int {
	if s := e.spreads[key]; s != nil {
		return s.workers[w]
	}
	return 0
}

// countOnRack returns the number of attempts of a long-running step on a rack, in all occurrences.
func (e *jobEntry) countOnRack(step int, rack string) int { return e.racks[stepRack{step, rack}] }

// runsOnOtherRack reports whether tasks of a step already run on another rack.
func (e *jobEntry) runsOnOtherRack(key stepKey, rack string) bool {
	s := e.spreads[key]
	return s != nil && s.attempts > s.racks[rack]
}

// hasAttempts reports whether a step has attempts. The step is one that is spread.
func (e *jobEntry) hasAttempts(key stepKey) bool {
	s := e.spreads[key]
	return s != nil && s.attempts > 0
}
