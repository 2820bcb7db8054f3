package broker

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// grantsOfDesk is how many grants a desk may give before its numbers could meet
// another's.
const grantsOfDesk = 1 << 32

// desk runs the queue of one pool.
type desk struct {
	pool   string
	config Config
	base   uint64        // of the numbers of this desk's grants
	ready  chan struct{} // closed once the grants in use are known

	mu       sync.Mutex
	queue    *trace.Queue
	calls    map[string]chan sched.Decision // by request
	granted  map[string]sched.Grant         // by request
	requests map[uint64]string              // by grant
	stopped  bool
}

func newDesk(pool string, config Config) *desk {
	d := &desk{
		pool:     pool,
		config:   config,
		ready:    make(chan struct{}),
		queue:    trace.NewQueue(pool, sched.NewQueue(sched.Config{}), config.Trace),
		calls:    map[string]chan sched.Decision{},
		granted:  map[string]sched.Grant{},
		requests: map[uint64]string{},
	}
	// Two desks of one pool, wherever they run, draw from other numbers.
	d.base = rand.Uint64N(1<<31) * grantsOfDesk
	d.queue.SkipGrants(d.base)
	return d
}

// configure puts the fleet's state in force.
func (d *desk) configure(state *fleet.State, leaving map[string]bool) {
	config := sched.Config{}
	for _, s := range state.PoolServices(d.pool) {
		share := sched.ServiceShare{Name: s.Name, Weight: s.Weight, QueueLimit: s.QueueLimit, RunTime: s.RunTime}
		config.Services = append(config.Services, share)
	}
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		t := state.Teams[name]
		config.Teams = append(config.Teams, sched.TeamQuota{Name: t.Name, Slots: t.Slots})
	}
	var workers []sched.Worker
	for _, h := range state.PoolHosts(d.pool) {
		if h.TakesWork() && !leaving[h.Spec.Name] {
			workers = append(workers, sched.Worker{Name: h.Spec.Name, Slots: h.Spec.Slots})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetConfig(config)
	d.deliver(d.queue.SetWorkers(workers, d.config.Now()))
}

// recover learns which grants are in use before the first one is given. What the
// last dispatcher gave counts as in use until it must have reached its entry.
func (d *desk) recover() {
	restored := d.resync(0, true)
	d.config.Log.Add(event.DispatchRecover, d.pool, uint64(restored), "slots in use were learnt from the entries")
	close(d.ready)
	time.Sleep(2 * grantArrives)
	d.resync(grantArrives, false)
}

// afterPause checks all grants, because another may have dispatched while this
// process was paused. What waited has asked elsewhere by now, so it is refused
// first: a slot granted to it would be lost. It is checked for a while, because
// connections that were given up meanwhile have to be made anew, and because the
// other dispatcher goes on until it sees that this one is back.
func (d *desk) afterPause() {
	d.mu.Lock()
	d.deliver(d.queue.Refuse(sched.Stopping))
	d.mu.Unlock()
	for range pauseChecks {
		d.resync(grantArrives, false)
		time.Sleep(pauseCheckEvery)
	}
}

// acquire waits for the end of a request's wait.
func (d *desk) acquire(ctx context.Context, r sched.Request) (sched.Decision, error) {
	select {
	case <-d.ready:
	case <-ctx.Done():
		return sched.Decision{}, ctx.Err()
	}
	call := make(chan sched.Decision, 1)
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return sched.Decision{}, ErrNotOwner
	}
	d.calls[r.ID] = call
	d.deliver(d.queue.Arrive(r, d.config.Now()))
	d.mu.Unlock()
	select {
	case decision := <-call:
		return decision, nil
	case <-ctx.Done():
		d.cancel(r.ID)
		return sched.Decision{}, ctx.Err()
	}
}

func (d *desk) cancel(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.queue.Cancel(request, d.config.Now()))
	if g, granted := d.granted[request]; granted {
		d.releaseLocked(Release{Grant: g.ID, Outcome: sched.Unused})
	}
}

func (d *desk) release(releases []Release) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range releases {
		d.releaseLocked(r)
	}
}

func (d *desk) releaseLocked(r Release) {
	if request, known := d.requests[r.Grant]; known {
		delete(d.granted, request)
		delete(d.requests, r.Grant)
	}
	d.deliver(d.queue.Release(r.Grant, r.Outcome, d.config.Now()))
}

func (d *desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.queue.Tick(d.config.Now()))
	d.logHealth()
}

// resync asks every entry which grants it holds. It takes over those that are not
// known here, given by another dispatcher, and takes back those older than settle
// that their entries do not hold, or whose entries are gone. With given it also
// takes over what the last dispatcher gave lately. It returns how many it took
// over.
func (d *desk) resync(settle time.Duration, given bool) (restored int) {
	asked := d.config.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	holdings, live := d.config.Held(ctx, d.pool)
	held := map[uint64]bool{}
	answered := map[string]bool{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		answered[h.Member] = true
		for _, g := range h.Grants {
			held[g.ID] = true
		}
		inUse := h.Grants
		if given {
			inUse = slices.Concat(h.Grants, h.Given)
		}
		for _, g := range inUse {
			if d.restore(g, asked) {
				restored++
			}
		}
	}
	for _, g := range slices.Collect(maps.Values(d.granted)) {
		gone := !slices.Contains(live, g.Entry)
		forgotten := answered[g.Entry] && !held[g.ID]
		if asked.Sub(g.At) > d.settles(g, settle) && (gone || forgotten) {
			d.releaseLocked(Release{Grant: g.ID, Outcome: sched.Unused})
		}
	}
	return restored
}

// settles returns how old a grant must be to be taken back. One that was taken over
// has reached its entry long ago, whoever it was given back to.
func (d *desk) settles(g sched.Grant, settle time.Duration) time.Duration {
	if d.gave(g) {
		return settle
	}
	return min(settle, grantArrives)
}

// restore takes over a grant of another dispatcher. One of this desk's own that
// is not known any more was given back since the entries were asked.
func (d *desk) restore(g sched.Grant, asked time.Time) bool {
	_, known := d.requests[g.ID]
	if known || d.gave(g) || d.stopped {
		return false
	}
	g.At = asked // by this process's clock
	d.queue.Restore(g)
	d.note(g)
	return true
}

// gave reports whether a grant was given by this desk.
func (d *desk) gave(g sched.Grant) bool {
	return g.ID > d.base && g.ID < d.base+grantsOfDesk
}

// stop refuses what waits and returns the grants that are not given back yet.
func (d *desk) stop() []sched.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.deliver(d.queue.Refuse(sched.Stopping))
	return slices.Collect(maps.Values(d.granted))
}

func (d *desk) load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{d.pool, d.queue.Waiting(), d.queue.Running(), d.queue.Slots()}
}

// deliver passes decisions to the callers that wait for them.
func (d *desk) deliver(decisions []sched.Decision) {
	for _, decision := range decisions {
		if decision.Grant != nil {
			d.note(*decision.Grant)
		}
		if call, waiting := d.calls[decision.Request]; waiting {
			delete(d.calls, decision.Request)
			call <- decision
		}
	}
}

// logHealth tells the time line which workers were put aside or taken back.
func (d *desk) logHealth() {
	for _, change := range d.queue.TakeHealthChanges() {
		kind := event.HostReadmit
		if change.Ejected {
			kind = event.HostEject
		}
		d.config.Log.Add(kind, change.Worker, 0, change.Cause)
	}
}

func (d *desk) note(g sched.Grant) {
	d.granted[g.Request] = g
	d.requests[g.ID] = g.Request
}
