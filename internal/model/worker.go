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

// host is a machine, which becomes workers, one after another.
type host struct {
	name   string
	pool   string
	rack   string
	state  platform.HostState
	worker *worker // nil while it is off or away
	orders int     // that were carried out, so that an older return is void
}

// worker is one lifetime of a host.
type worker struct {
	key  string
	id   string
	host *host
	pool string

	dark    bool // answers nothing
	gone    bool
	sick    bool // fails what it starts
	hangs   bool // what it starts stands still
	slow    float64
	running map[jobs.Task]*run
	ended   []place.Ended // not delivered yet
	free    jobs.Resources

	delivering bool
	delivered  time.Time // when its lists were delivered last
}

// run is one attempt at a worker.
type run struct {
	task    jobs.Task
	number  int
	size    jobs.Resources
	began   time.Time
	done    float64 // share of the work that was saved before
	took    time.Duration
	fails   bool
	hangs   bool
	lasting bool
	saves   bool
}

const (
	boot      = 60 * time.Millisecond  // until the owner knows a new worker and may use it
	coldStart = 300 * time.Millisecond // of a lasting task
	stopTime  = 20 * time.Millisecond  // until a stopped task has ended
	saveStep  = 2 * time.Second        // of work, between two checkpoints
)

// rise makes a new worker of a host, unless its pool is off.
func (w *world) rise(h *host) {
	h.state = platform.HostUp
	if w.pools[h.pool] == nil {
		return
	}
	w.workers++
	id := fmt.Sprintf("i-%d", w.workers)
	h.worker = &worker{
		key: id + "@1", id: id, host: h, pool: h.pool, slow: 1, running: map[jobs.Task]*run{}, free: w.hostSize(),
	}
	worker := h.worker
	w.after(boot, func() { w.pools[worker.pool].meet(worker) })
}

func (w *world) hostSize() jobs.Resources {
	return jobs.Resources{Millicores: w.scenario.Fleet.Millicores, MemoryMB: w.scenario.Fleet.MemoryMB}
}

// fall ends the worker of a host and all that runs there.
func (w *world) fall(h *host) {
	if h.worker == nil {
		return
	}
	worker := h.worker
	h.worker = nil
	worker.gone = true
	for _, r := range worker.running {
		w.result.waste(w, r)
	}
	worker.running = map[jobs.Task]*run{}
}

// order takes a host away; it comes back as a new worker after a while.
func (w *world) order(h *host, pool string, state platform.HostState, d time.Duration) {
	w.fall(h)
	h.pool, h.state = pool, state
	h.orders++
	order := h.orders
	w.after(d, func() {
		if h.orders == order {
			w.rise(h)
		}
	})
}

// strike begins a fault, and ends it when its time is over.
func (w *world) strike(f Fault) {
	switch f.Kind {
	case RackLost:
		w.loseRack(f)
	case Sick, Hang, Slow:
		for _, h := range w.pick(f) {
			worker := h.worker
			worker.sick, worker.hangs = f.Kind == Sick, f.Kind == Hang
			if f.Kind == Slow {
				worker.slow = f.Factor
			}
			w.after(f.For, func() { worker.sick, worker.hangs, worker.slow = false, false, 1 })
		}
	case Wave:
		w.keeper.open(f)
	case Cancel:
		w.cancelShare(f)
	case Burst, Poison, StoreDown: // the load and the store look it up
	}
}

// pick returns hosts with workers that a fault concerns, those with the most tasks
// first: a fault of idle hosts shows nothing.
func (w *world) pick(f Fault) []*host {
	var all []*host
	for _, h := range w.hosts {
		if h.worker != nil && (f.Pool == "" || h.pool == f.Pool) {
			all = append(all, h)
		}
	}
	slices.SortStableFunc(all, func(x, y *host) int { return len(y.worker.running) - len(x.worker.running) })
	return all[:min(f.Count, len(all))]
}

// loseRack makes the workers of one rack dark.
func (w *world) loseRack(f Fault) {
	first := w.pick(f)
	if len(first) == 0 {
		return
	}
	for _, h := range w.hosts {
		if h.rack != first[0].rack || h.worker == nil {
			continue
		}
		h.worker.dark = true
		h.state = platform.HostDown
		order := h.orders
		w.after(f.For, func() {
			if h.orders == order {
				w.fall(h)
				w.rise(h)
			}
		})
	}
}

// start begins an attempt and reports whether there was room.
func (w *world) start(at *worker, r *run) bool {
	if !r.size.Fits(at.free) {
		return false
	}
	at.free = at.free.Sub(r.size)
	at.running[r.task] = r
	r.began = w.now
	r.fails = r.fails || at.sick
	r.hangs = at.hangs
	if at.sick && !r.lasting {
		r.took = min(r.took, 50*time.Millisecond)
	}
	r.took = time.Duration(float64(r.took) * at.slow)
	if r.lasting || r.hangs {
		return true
	}
	took := r.took
	if r.saves {
		took = time.Duration(float64(took) * (1 - r.done))
	}
	w.after(took, func() { w.end(at, r, outcome(r)) })
	return true
}

func outcome(r *run) jobs.Outcome {
	if r.fails {
		return jobs.Failed
	}
	return jobs.Done
}

// end ends an attempt if it still runs.
func (w *world) end(at *worker, r *run, how jobs.Outcome) {
	if at.gone || at.running[r.task] != r {
		return
	}
	delete(at.running, r.task)
	at.free = at.free.Add(r.size)
	if how != jobs.Done {
		w.result.waste(w, r)
	}
	at.ended = append(at.ended, place.Ended{Task: r.task, Attempt: r.number, Outcome: how, Checkpoint: r.saved(w.now)})
	w.pools[at.pool].deliver(at)
}

// progress returns the share of its work that an attempt has done.
func (r *run) progress(now time.Time) float64 {
	if r.took <= 0 || r.hangs {
		return r.done
	}
	return min(1, r.done+float64(now.Sub(r.began))/float64(r.took))
}

// saved returns the attempt's checkpoint: the work done, in steps.
func (r *run) saved(now time.Time) string {
	if !r.saves {
		return ""
	}
	steps := int(r.progress(now) * float64(r.took) / float64(saveStep))
	if steps == 0 {
		return ""
	}
	return fmt.Sprintf("%s%d/%d", savedPrefix, steps*int(saveStep), int(r.took))
}

const savedPrefix = "saved "

// restored returns the share of the work that a checkpoint holds.
func restored(checkpoint string) float64 {
	var done, of int
	if !strings.HasPrefix(checkpoint, savedPrefix) {
		return 0
	}
	if _, err := fmt.Sscanf(checkpoint, savedPrefix+"%d/%d", &done, &of); err != nil || of == 0 {
		panic("checkpoint " + checkpoint) // made by saved alone
	}
	return float64(done) / float64(of)
}

// percent is what a worker lists of an attempt.
func (r *run) percent(now time.Time) int {
	switch {
	case r.lasting && now.Sub(r.began) >= coldStart:
		return 100
	case r.lasting:
		return int(99 * now.Sub(r.began) / coldStart)
	}
	return int(100 * r.progress(now))
}
