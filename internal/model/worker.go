package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// host is a machine that runs a sequence of workers.
type host struct {
	name   string
	pool   string
	rack   string
	state  platform.HostState
	worker *worker // nil while it is off or away
	orders int     // count of executed orders, which makes the return after an older order void
}

// worker is one incarnation of a host.
type worker struct {
	key  string
	id   string
	host *host
	pool string

	unreachable bool // answers nothing
	terminated  bool
	sick        bool // fails the tasks that it starts
	hangs       bool // tasks that it starts make no progress
	slow        float64
	running     map[jobs.Task]*run
	ended       []place.Ended // not delivered yet
	free        jobs.Resources

	delivering bool
	leased     time.Time // when the latest list that arrived was requested, which renewed all leases
	delivered  time.Time // when its lists were delivered last
}

// run is one attempt on a worker.
type run struct {
	task     jobs.Task
	number   int
	size     jobs.Resources
	began    time.Time
	done     float64 // share of the work in the checkpoint it starts from
	duration time.Duration
	fails    bool
	hangs    bool
	lasting  bool
	saves    bool
}

const (
	bootTime           = 60 * time.Millisecond  // until the owner knows a new worker and may use it
	coldStartTime      = 300 * time.Millisecond // of a lasting task
	stopTime           = 20 * time.Millisecond  // until a stopped task has ended
	checkpointInterval = 2 * time.Second        // of work between checkpoints
)

// startWorker starts a new worker on a host, unless its pool is on standby.
func (w *simulation) startWorker(h *host) {
	h.state = platform.HostUp
	if w.pools[h.pool] == nil {
		return
	}
	w.workers++
	id := fmt.Sprintf("i-%d", w.workers)
	h.worker = &worker{
		key: id + "@1", id: id, host: h, pool: h.pool, slow: 1, running: map[jobs.Task]*run{}, free: w.hostSize(), leased: w.now,
	}
	worker := h.worker
	w.after(bootTime, func() { w.pools[worker.pool].addWorker(worker) })
}

func (w *simulation) hostSize() jobs.Resources {
	return jobs.Resources{Millicores: w.scenario.Fleet.Millicores, MemoryMB: w.scenario.Fleet.MemoryMB}
}

// endWorker ends the worker of a host and its attempts.
func (w *simulation) endWorker(h *host) {
	if h.worker == nil {
		return
	}
	worker := h.worker
	h.worker = nil
	worker.terminated = true
	for _, r := range worker.running {
		w.result.addWaste(w, r)
	}
	worker.running = map[jobs.Task]*run{}
}

// moveAway ends a host's worker and starts a new one in pool after d.
func (w *simulation) moveAway(h *host, pool string, state platform.HostState, d time.Duration) {
	w.endWorker(h)
	h.pool, h.state = pool, state
	h.orders++
	order := h.orders
	w.after(d, func() {
		if h.orders == order {
			w.startWorker(h)
		}
	})
}

// startFault starts a fault and schedules its end.
func (w *simulation) startFault(f Fault) {
	switch f.Kind {
	case RackLost:
		w.loseRack(f)
	case Sick, Hang, Slow:
		for _, h := range w.busiestHosts(f) {
			worker := h.worker
			worker.sick, worker.hangs = f.Kind == Sick, f.Kind == Hang
			if f.Kind == Slow {
				worker.slow = f.Factor
			}
			w.after(f.For, func() { worker.sick, worker.hangs, worker.slow = false, false, 1 })
		}
	case Wave:
		w.fleetManager.startWave(f)
	case Cancel:
		w.cancelShare(f)
	case HandOver:
		w.startHandOvers(f)
	case RouteDropped:
		w.updateRoutes()
		w.after(f.For, w.updateRoutes)
	case Burst, Poison, StoreDown: // the load and the store check for these themselves
	}
}

// busiestHosts returns the hosts that a fault affects: those with the most tasks, as
// a fault on idle hosts has no effect.
func (w *simulation) busiestHosts(f Fault) []*host {
	var all []*host
	for _, h := range w.hosts {
		if h.worker != nil && (f.Pool == "" || h.pool == f.Pool) {
			all = append(all, h)
		}
	}
	slices.SortStableFunc(all, func(x, y *host) int { return len(y.worker.running) - len(x.worker.running) })
	return all[:min(f.Count, len(all))]
}

// loseRack makes the workers of one rack unreachable.
func (w *simulation) loseRack(f Fault) {
	first := w.busiestHosts(f)
	if len(first) == 0 {
		return
	}
	for _, h := range w.hosts {
		if h.rack != first[0].rack || h.worker == nil {
			continue
		}
		h.worker.unreachable = true
		lost := h.worker
		w.at(lost.leased.Add(leaseTime), func() { w.lapse(lost) })
		h.state = platform.HostDown
		order := h.orders
		w.after(f.For, func() {
			if h.orders == order {
				w.endWorker(h)
				w.startWorker(h)
			}
		})
	}
}

// lapse ends the attempts of a worker whose leases have expired, since no list of it arrives.
func (w *simulation) lapse(at *worker) {
	if at.terminated {
		return
	}
	for _, r := range at.running {
		w.result.addWaste(w, r)
		at.free = at.free.Add(r.size)
	}
	at.running = map[jobs.Task]*run{}
}

// start starts an attempt and reports whether the worker had capacity for it.
func (w *simulation) start(at *worker, r *run) bool {
	if !r.size.Fits(at.free) {
		return false
	}
	if other := w.running[r.task]; other != nil && !other.terminated && other.running[r.task] != nil {
		w.result.Doubled++
	}
	w.running[r.task] = at
	at.free = at.free.Sub(r.size)
	at.running[r.task] = r
	r.began = w.now
	r.fails = r.fails || at.sick
	r.hangs = at.hangs
	if at.sick && !r.lasting {
		r.duration = min(r.duration, 50*time.Millisecond)
	}
	r.duration = time.Duration(float64(r.duration) * at.slow)
	if r.lasting || r.hangs {
		return true
	}
	duration := r.duration
	if r.saves {
		duration = time.Duration(float64(duration) * (1 - r.done))
	}
	w.after(duration, func() { w.end(at, r, outcome(r)) })
	return true
}

func outcome(r *run) jobs.Outcome {
	if r.fails {
		return jobs.Failed
	}
	return jobs.Done
}

// end ends an attempt if it still runs.
func (w *simulation) end(at *worker, r *run, how jobs.Outcome) {
	if at.terminated || at.running[r.task] != r {
		return
	}
	delete(at.running, r.task)
	if w.running[r.task] == at {
		delete(w.running, r.task)
	}
	at.free = at.free.Add(r.size)
	if how != jobs.Done {
		w.result.addWaste(w, r)
	}
	at.ended = append(at.ended, place.Ended{Task: r.task, Attempt: r.number, Outcome: how, Checkpoint: r.saved(w.now)})
	w.pools[at.pool].deliverLists(at)
}

// progress returns the share of its work that an attempt has done.
func (r *run) progress(now time.Time) float64 {
	if r.duration <= 0 || r.hangs {
		return r.done
	}
	return min(1, r.done+float64(now.Sub(r.began))/float64(r.duration))
}

// saved returns the attempt's latest checkpoint, or "" if there is none.
func (r *run) saved(now time.Time) string {
	if !r.saves {
		return ""
	}
	steps := int(r.progress(now) * float64(r.duration) / float64(checkpointInterval))
	if steps == 0 {
		return ""
	}
	return fmt.Sprintf("%s%d/%d", checkpointPrefix, steps*int(checkpointInterval), int(r.duration))
}

const checkpointPrefix = "saved "

// restoredShare returns the share of the work that a checkpoint holds.
func restoredShare(checkpoint string) float64 {
	var done, of int
	if !strings.HasPrefix(checkpoint, checkpointPrefix) {
		return 0
	}
	if _, err := fmt.Sscanf(checkpoint, checkpointPrefix+"%d/%d", &done, &of); err != nil || of == 0 {
		panic("checkpoint " + checkpoint) // only saved writes checkpoints
	}
	return float64(done) / float64(of)
}

// percent returns the progress that a worker lists for an attempt.
func (r *run) percent(now time.Time) int {
	switch {
	case r.lasting && now.Sub(r.began) >= coldStartTime:
		return 100
	case r.lasting:
		return int(99 * now.Sub(r.began) / coldStartTime)
	}
	return int(100 * r.progress(now))
}
