package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// pendingWork indexes what the next decision has to look at, so that its cost follows
// what changed and what waits, not the size of the pool. A set may hold more than needs a
// look; a decision removes what does not.
type pendingWork struct {
	unfinished  map[jobs.ID]*jobEntry     // jobs that are not final
	changedJobs map[jobs.ID]*jobEntry     // jobs whose steps may have become ready
	steps       []candidate               // steps with an entry in jobEntry.waiting, in the order of the last decision
	stops       map[string]*worker        // workers with attempts to stop
	listed      map[string]*worker        // workers with a new listing, whose tasks may have stalled
	moves       map[*lastingStep]struct{} // steps with tasks that may have to move
	vacated     map[string]*worker        // workers that are to be vacated
	silent      map[string]*worker        // workers that do not answer, or did not until now
	paced       map[string]*worker        // workers with best-effort tasks whose pace may change
	failing     map[string]*worker        // workers with failures
	unanswered  map[*Attempt]struct{}     // copyable attempts whose start got no answer
	slow        map[string]*slowIndex     // copyable attempts that are confirmed, by queue
	quarantine  quarantineCheck           // the last one
	room        roomIndex                 // workers that accept tasks and are not reserved
	reserved    roomIndex                 // those that are
	labels      map[string]int            // how many workers have a label
	sizes       map[int]int               // how many workers have a number of millicores
	memories    map[int]int               // how many workers have an amount of memory, in MB
}

func newPendingWork() pendingWork {
	return pendingWork{
		unfinished: map[jobs.ID]*jobEntry{}, changedJobs: map[jobs.ID]*jobEntry{},
		stops: map[string]*worker{}, listed: map[string]*worker{}, moves: map[*lastingStep]struct{}{}, vacated: map[string]*worker{}, silent: map[string]*worker{},
		paced: map[string]*worker{}, failing: map[string]*worker{}, unanswered: map[*Attempt]struct{}{}, slow: map[string]*slowIndex{},
		labels: map[string]int{}, sizes: map[int]int{}, memories: map[int]int{},
	}
}

// quarantineCheck is whether workers may be quarantined at a time. It is known until a worker
// is added or removed, or its failures change.
type quarantineCheck struct {
	known   bool
	at      time.Time
	allowed bool
}

// workerChanged records a change of what is known of a worker.
func (p *pendingWork) workerChanged(w *worker) {
	if w.Vacate {
		p.vacated[w.Key] = w
	} else {
		delete(p.vacated, w.Key)
	}
	if w.Silent {
		p.silent[w.Key] = w
		return
	}
	p.listed[w.Key] = w
	p.paceable(w)
}

// paceable records that the pace of a worker's best-effort tasks may have to change.
func (p *pendingWork) paceable(w *worker) {
	if w.filling > 0 {
		p.paced[w.Key] = w
	}
}

func (p *pendingWork) attemptAdded(a *Attempt) {
	if a.step.Speculative && !a.step.LongRunning && !a.step.Gang {
		a.copyable = true
	}
	p.paceable(a.worker)
}

// confirmed records that an attempt got its ConfirmedAt.
func (p *pendingWork) confirmed(a *Attempt, queue string, factor float64) {
	if !a.copyable || a.step.Estimate <= 0 {
		return
	}
	q := p.slow[queue]
	if q == nil {
		q = newSlowIndex(factor)
		p.slow[queue] = q
	}
	q.add(a)
}

// noLongerCopyable records that no copy of an attempt may be started any more.
func (p *pendingWork) noLongerCopyable(a *Attempt) {
	a.copyable = false
	delete(p.unanswered, a)
	if a.slow != nil {
		a.slow.remove(a)
	}
}

// roomOf returns the index that holds a worker while it accepts tasks.
func (p *pendingWork) roomOf(w *worker) *roomIndex {
	if w.reserved {
		return &p.reserved
	}
	return &p.room
}

// setReserved changes whether a worker is reserved.
func (p *pendingWork) setReserved(w *worker, reserved bool) {
	p.roomOf(w).remove(w)
	w.reserved = reserved
	if w.acceptsTasks() {
		p.roomOf(w).insert(w)
	}
}

// countWorker adds n to the counts of a worker's labels and size.
func (p *pendingWork) countWorker(w *worker, n int) {
	for _, label := range w.Labels {
		p.labels[label] += n
	}
	if p.sizes[w.Size.Millicores] += n; p.sizes[w.Size.Millicores] == 0 {
		delete(p.sizes, w.Size.Millicores)
	}
	if p.memories[w.Size.MemoryMB] += n; p.memories[w.Size.MemoryMB] == 0 {
		delete(p.memories, w.Size.MemoryMB)
	}
}

// largestWorkerMillicores returns the millicores of the largest worker.
func (p *pendingWork) largestWorkerMillicores() int {
	most := 0
	for size := range p.sizes {
		most = max(most, size)
	}
	return most
}

func (p *pendingWork) removeWorker(w *worker) {
	p.roomOf(w).remove(w)
	p.countWorker(w, -1)
	p.quarantine.known = false
	for _, workers := range []map[string]*worker{p.stops, p.listed, p.vacated, p.silent, p.paced, p.failing} {
		delete(workers, w.Key)
	}
}
