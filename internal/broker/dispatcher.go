package broker

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// grantIDsPerDispatcher is the size of the range of grant IDs that one
// dispatcher uses. A dispatcher that issued more could reuse another's IDs.
const grantIDsPerDispatcher = 1 << 32

// dispatcher runs the queue of one pool.
type dispatcher struct {
	pool        string
	config      Config
	grantIDBase uint64        // IDs of this dispatcher's grants start after it
	ready       chan struct{} // closed once the grants in use are known

	mu             sync.Mutex
	queue          *trace.Queue
	callers        map[string]chan sched.Decision // by request
	grantByRequest map[string]sched.Grant         // by request
	requestByGrant map[uint64]string              // by grant
	stopped        bool
}

func newDispatcher(pool string, config Config) *dispatcher {
	d := &dispatcher{
		pool:           pool,
		config:         config,
		ready:          make(chan struct{}),
		queue:          trace.NewQueue(pool, sched.NewQueue(sched.Config{}), config.Trace),
		callers:        map[string]chan sched.Decision{},
		grantByRequest: map[string]sched.Grant{},
		requestByGrant: map[uint64]string{},
	}
	// Dispatchers of one pool, in any process, use different ranges of grant
	// IDs.
	d.grantIDBase = rand.Uint64N(1<<31) * grantIDsPerDispatcher
	d.queue.SkipGrantIDs(d.grantIDBase)
	return d
}

// configure applies the fleet's services, teams and hosts to the queue.
func (d *dispatcher) configure(state *fleet.State, leaving map[string]bool) {
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

// recoverGrants reads the grants in use from the members before the first grant
// is issued. Grants of the previous dispatcher count as in use until they must
// have reached their entries.
func (d *dispatcher) recoverGrants() {
	restored, silent := d.readHoldings()
	cause := "slots in use were learnt from the entries"
	if len(silent) > 0 {
		cause = "slots in use were not learnt from " + strings.Join(silent, ", ")
	}
	d.config.Log.Add(event.DispatchRecover, d.pool, uint64(restored), cause)
	close(d.ready)
	time.Sleep(2 * usualGrantDelivery)
	d.reconcile(usualGrantDelivery)
}

// readHoldings takes over the grants in use, those included that the previous
// dispatcher issued recently. It asks again while a live member does not answer, for
// at most recoveryTimeout, because that member may hold any slot. It returns the
// number of grants taken over and the members that did not answer.
func (d *dispatcher) readHoldings() (restored int, silent []string) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	answered := map[string]bool{}
	for delay := recoveryRetryDelay; ; delay *= 2 {
		askedAt := d.config.Now()
		holdings, live := d.config.QueryGrants(ctx, d.pool)
		d.mu.Lock()
		for _, h := range holdings {
			inUse := h.Grants
			if !answered[h.Member] {
				inUse = slices.Concat(h.Grants, h.RecentlyIssued)
			}
			answered[h.Member] = true
			restored += d.takeOverAll(inUse, askedAt)
		}
		d.mu.Unlock()
		silent = slices.DeleteFunc(slices.Clone(live), func(name string) bool { return answered[name] })
		if len(silent) == 0 {
			return restored, nil
		}
		select {
		case <-ctx.Done():
			return restored, silent
		case <-time.After(delay):
		}
	}
}

// reconcileAfterPause reconciles all grants, because another process may have
// dispatched while this one was paused. It first refuses the waiting requests:
// their entries have asked the other dispatcher by now, so a slot granted to
// them would be lost. It reconciles repeatedly, because dropped connections
// have to be re-established and the other dispatcher goes on until it sees that
// this process is back.
func (d *dispatcher) reconcileAfterPause() {
	d.mu.Lock()
	d.deliver(d.queue.RefuseAll(sched.Stopping))
	d.mu.Unlock()
	for range checksAfterPause {
		d.reconcile(usualGrantDelivery)
		time.Sleep(pauseCheckInterval)
	}
}

// acquire queues a request and waits for its decision.
func (d *dispatcher) acquire(ctx context.Context, r sched.Request) (sched.Decision, error) {
	select {
	case <-d.ready:
	case <-ctx.Done():
		return sched.Decision{}, ctx.Err()
	}
	result := make(chan sched.Decision, 1)
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return sched.Decision{}, ErrNotOwner
	}
	d.callers[r.ID] = result
	d.deliver(d.queue.Arrive(r, d.config.Now()))
	d.mu.Unlock()
	select {
	case decision := <-result:
		return decision, nil
	case <-ctx.Done():
		d.cancel(r.ID)
		return sched.Decision{}, ctx.Err()
	}
}

func (d *dispatcher) cancel(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.queue.Cancel(request, d.config.Now()))
	if g, granted := d.grantByRequest[request]; granted {
		d.releaseLocked(Release{Grant: g.ID, Outcome: sched.Unused})
	}
}

func (d *dispatcher) release(releases []Release) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range releases {
		d.releaseLocked(r)
	}
}

func (d *dispatcher) releaseLocked(r Release) {
	if request, known := d.requestByGrant[r.Grant]; known {
		delete(d.grantByRequest, request)
		delete(d.requestByGrant, r.Grant)
	}
	d.deliver(d.queue.Release(r.Grant, r.Outcome, d.config.Now()))
}

func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.queue.Tick(d.config.Now()))
	d.logHealthChanges()
}

// reconcile asks every member which grants it holds. It takes over grants of
// other dispatchers, and takes back grants older than minAge that their entries
// do not hold or whose entries are gone.
func (d *dispatcher) reconcile(minAge time.Duration) {
	askedAt := d.config.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	holdings, live := d.config.QueryGrants(ctx, d.pool)
	held := map[uint64]bool{}
	answered := map[string]bool{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		if h.Ended {
			continue // its workers may still run what it sent them
		}
		answered[h.Member] = true
		for _, g := range h.Grants {
			held[g.ID] = true
		}
		d.takeOverAll(h.Grants, askedAt)
	}
	for _, g := range slices.Collect(maps.Values(d.grantByRequest)) {
		gone := !slices.Contains(live, g.Entry)
		notHeld := answered[g.Entry] && !held[g.ID]
		if askedAt.Sub(g.At) > d.minAgeOf(g, minAge) && (gone || notHeld) {
			d.releaseLocked(Release{Grant: g.ID, Outcome: sched.Unused})
		}
	}
}

// takeOverAll takes over grants and returns how many it took over. d.mu is held.
func (d *dispatcher) takeOverAll(grants []sched.Grant, askedAt time.Time) (restored int) {
	for _, g := range grants {
		if d.takeOver(g, askedAt) {
			restored++
		}
	}
	return restored
}

// minAgeOf returns how old a grant must be to be taken back. A grant that was
// taken over has already reached its entry and may have been released to
// another dispatcher, so the short delivery time is enough.
func (d *dispatcher) minAgeOf(g sched.Grant, minAge time.Duration) time.Duration {
	if d.issued(g) {
		return minAge
	}
	return min(minAge, usualGrantDelivery)
}

// takeOver adds a grant of another dispatcher to the queue and reports whether
// it did. An unknown grant that this dispatcher issued was released since the
// entries were asked, so it is ignored.
func (d *dispatcher) takeOver(g sched.Grant, askedAt time.Time) bool {
	_, known := d.requestByGrant[g.ID]
	if known || d.issued(g) || d.stopped {
		return false
	}
	g.At = askedAt // by this process's clock, because clocks may differ
	d.queue.Restore(g)
	d.track(g)
	return true
}

// issued reports whether this dispatcher issued a grant.
func (d *dispatcher) issued(g sched.Grant) bool {
	return g.ID > d.grantIDBase && g.ID < d.grantIDBase+grantIDsPerDispatcher
}

// stop refuses the waiting requests and returns the grants that are not
// released yet.
func (d *dispatcher) stop() []sched.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.deliver(d.queue.RefuseAll(sched.Stopping))
	return slices.Collect(maps.Values(d.grantByRequest))
}

func (d *dispatcher) load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{d.pool, d.queue.Waiting(), d.queue.Running(), d.queue.Slots()}
}

// deliver sends decisions to the callers that wait for them.
func (d *dispatcher) deliver(decisions []sched.Decision) {
	for _, decision := range decisions {
		if decision.Grant != nil {
			d.track(*decision.Grant)
		}
		if result, waiting := d.callers[decision.Request]; waiting {
			delete(d.callers, decision.Request)
			result <- decision
		}
	}
}

// logHealthChanges adds the ejected and readmitted workers to the event log.
func (d *dispatcher) logHealthChanges() {
	for _, change := range d.queue.TakeHealthChanges() {
		kind := event.HostReadmit
		if change.Ejected {
			kind = event.HostEject
		}
		d.config.Log.Add(kind, change.Worker, 0, change.Cause)
	}
}

func (d *dispatcher) track(g sched.Grant) {
	d.grantByRequest[g.Request] = g
	d.requestByGrant[g.ID] = g.Request
}
