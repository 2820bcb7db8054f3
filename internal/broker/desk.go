package broker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// desk runs the queue of one pool.
type desk struct {
	pool   string
	config Config
	ready  chan struct{} // closed once the grants in use are known

	mu       sync.Mutex
	queue    *sched.Queue
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
		queue:    sched.NewQueue(sched.Config{}),
		calls:    map[string]chan sched.Decision{},
		granted:  map[string]sched.Grant{},
		requests: map[uint64]string{},
	}
	// IDs of an earlier dispatcher of the pool are far below.
	d.queue.SkipGrants(uint64(config.Now().UnixMicro()) << 8)
	return d
}

// configure puts the fleet's state in force.
func (d *desk) configure(state *fleet.State) {
	config := sched.Config{}
	for _, s := range state.PoolServices(d.pool) {
		share := sched.ServiceShare{Name: s.Name, Weight: s.Weight, QueueLimit: s.QueueLimit, RunTime: s.RunTime}
		config.Services = append(config.Services, share)
	}
	for _, t := range state.Teams {
		config.Teams = append(config.Teams, sched.TeamQuota{Name: t.Name, Slots: t.Slots})
	}
	var workers []sched.Worker
	for _, h := range state.PoolHosts(d.pool) {
		if h.TakesWork() {
			workers = append(workers, sched.Worker{Name: h.Spec.Name, Slots: h.Spec.Slots})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetConfig(config)
	d.deliver(d.queue.SetWorkers(workers, d.config.Now()))
}

// recover learns which grants are in use before the first one is given.
func (d *desk) recover() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	holdings, _ := d.config.Held(ctx, d.pool)
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := 0
	for _, h := range holdings {
		for _, g := range h.Grants {
			d.queue.Restore(g)
			d.note(g)
			restored++
		}
	}
	d.config.Log.Add(event.DispatchRecover, d.pool, uint64(restored), "slots in use were learnt from the entries")
	close(d.ready)
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

// reconcile takes back the grants that their entries do not hold, and those of
// entries that are gone.
func (d *desk) reconcile() {
	started := d.config.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	holdings, live := d.config.Held(ctx, d.pool)
	held := map[uint64]bool{}
	answered := map[string]bool{}
	for _, h := range holdings {
		answered[h.Member] = true
		for _, g := range h.Grants {
			held[g.ID] = true
		}
	}
	alive := map[string]bool{}
	for _, name := range live {
		alive[name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.granted {
		gone := !alive[g.Entry]
		forgotten := answered[g.Entry] && !held[g.ID]
		if started.Sub(g.At) > grantSettles && (gone || forgotten) {
			d.releaseLocked(Release{Grant: g.ID, Outcome: sched.Unused})
		}
	}
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
		if change.Aside {
			kind = event.HostEject
		}
		d.config.Log.Add(kind, change.Worker, 0, change.Cause)
	}
}

func (d *desk) note(g sched.Grant) {
	d.granted[g.Request] = g
	d.requests[g.ID] = g.Request
}
