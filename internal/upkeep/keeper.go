// Package upkeep takes the hosts of maintenance waves down and up again, in time
// and without cutting work: a host is emptied by the owner of its pool first,
// and no more hosts are down at once than the wave allows.
//
// # Usage
//
//	k := upkeep.New(upkeep.Settings{Own: own, Store: store, Machines: machines, ...})
//	k.Run() // until another process holds the fleet, or Stop
//
// One process at a time holds the fleet. The machine API does not check fencing
// tokens everywhere, so a holder writes which hosts it is going to order, on
// condition that it still holds the fleet, and orders right after that. A new
// holder reads what the one before it wrote last and leaves those hosts alone for
// a whole lease.
package upkeep

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

var (
	metricOrders = metrics.NewCounter("papayarudder_host_orders_total")
	metricMoves  = metrics.NewCounter("papayarudder_host_moves_total")
)

const (
	loopTime      = 100 * time.Millisecond
	listSoon      = 300 * time.Millisecond // the same while hosts are on their way
	loadPeriod    = 150 * time.Millisecond // between questions to the pools' owners
	loadTime      = 300 * time.Millisecond // for their answers
	moveSlack     = 3 * time.Second        // until a move that had no effect is forgotten
	listPeriod    = time.Second            // between looks at the platform's list of hosts
	callTime      = 800 * time.Millisecond // for an answer of the store or the machine API
	renewShare    = 0.2                    // of the lease, between renewals
	orderShare    = 0.6                    // of the lease, from when its renewal was sent: later no order is begun
	giveAwayAfter = 300 * time.Millisecond // without a renewal before others are asked to take over
	offerPeriod   = time.Second            // between such questions
	answerPart    = 0.25                   // of the lease, for the answer to an order
	leaseTime     = 3 * time.Second        // where the settings name no lease
	leaseSlack    = 300 * time.Millisecond // a new holder waits this much beyond the lease

	tableWave = "wave" // what a holder knows of its waves, in its own part
	keyOwner  = "owner"

	tableIntent = "intent" // hosts that a holder orders
	keyIntent   = "hosts"
)

// Settings is what a keeper needs.
type Settings struct {
	Own      pool.Ownership
	Store    *platform.Store
	Machines *platform.Machines
	Bounds   platform.Bounds
	Log      *logrus.Entry
	Waves    func() []platform.Wave
	Config   func() *platform.Config
	GiveAway func(name string) bool // asks other processes to hold the fleet
	Vacate   func(ctx context.Context, pool, worker string) (int, error)
	Load     func(ctx context.Context, pool string) (place.Load, error)
}

// Keeper holds the fleet.
type Keeper struct {
	Settings
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu      sync.Mutex
	plans   map[int]*wavePlan
	view    fleetView
	listed  time.Time            // when the list was asked for
	asked   time.Time            // when the loads were asked for
	short   time.Time            // when a pool lacked hosts last
	moved   map[string]moving    // hosts on their way, by name
	arrived map[string]time.Time // hosts that came to their pool
	ordered map[string]time.Time // hosts by their newest order, or its announcement
	leaving map[string]leaving   // hosts that are emptied in order to move
	blocked map[string]bool      // hosts that the holder before may have ordered last
	failing time.Time            // since when renewals have had no effect, zero if they have
	offered time.Time            // when others were asked last to hold the fleet
	began   time.Time
}

// moving is a host on its way to another pool.
type moving struct {
	pool string
	at   time.Time
}

// New returns a keeper that is not running yet.
func New(s Settings) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{
		Settings: s, log: s.Log.WithField("fleet-token", s.Own.Token), ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), plans: map[int]*wavePlan{}, moved: map[string]moving{},
		arrived: map[string]time.Time{}, ordered: map[string]time.Time{}, leaving: map[string]leaving{}, blocked: map[string]bool{}, began: time.Now(),
	}
}

// Stop ends the keeper; after it returns no order is on its way.
func (k *Keeper) Stop() {
	k.cancel()
	<-k.ended
}

// Run plans and orders until the keeper is stopped or has lost the fleet.
func (k *Keeper) Run() {
	defer close(k.ended)
	k.log.Info("fleet held")
	for k.Own.Token > 1 && k.ctx.Err() == nil {
		err := k.readIntents()
		if err == nil {
			break
		}
		k.log.WithError(err).Info("orders of the holder before not read")
		k.pause()
	}
	var renewing time.Time
	for k.ctx.Err() == nil {
		now := time.Now()
		k.pending()
		if now.Sub(renewing) > k.part(renewShare) {
			renewing = now
			if err := k.renew(now); errors.Is(err, platform.ErrConflict) {
				k.log.Info("fleet lost to another holder")
				return
			} else if err != nil {
				k.log.WithError(err).Info("fleet not renewed")
			}
		}
		if !k.failing.IsZero() && now.Sub(k.failing) > giveAwayAfter && now.Sub(k.offered) > offerPeriod {
			k.offered = now
			if k.GiveAway(k.Own.Pool) {
				return // the store is lost here, and not for others
			}
		}
		k.look()
		k.askLoads()
		k.work()
		k.move()
		k.pause()
	}
}

func (k *Keeper) pause() {
	timer := time.NewTimer(loopTime)
	defer timer.Stop()
	select {
	case <-k.ctx.Done():
	case <-timer.C:
	}
}

// pending takes in new waves.
func (k *Keeper) pending() {
	for _, w := range k.Waves() {
		if k.plans[w.Number] == nil {
			k.open(w)
		}
	}
}

// open reads what an earlier holder knew of a wave; if the store does not answer,
// the wave is opened later.
func (k *Keeper) open(w platform.Wave) {
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	r, err := k.Store.ReadRow(ctx, tableWave, k.Own.Pool, strconv.Itoa(w.Number))
	if err != nil {
		k.log.WithField("wave", w.Number).WithError(err).Info("wave not opened yet")
		return
	}
	p := newWavePlan(w, time.Now())
	k.plans[w.Number] = p
	if r.Version == 0 {
		k.tellStatus(w.Number, false)
		return
	}
	var row waveRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		k.log.WithField("wave", w.Number).WithError(err).Error("stored wave can't be read")
		return
	}
	p.done = row.Complete
	for _, name := range row.Begun {
		if hp := p.hosts[name]; hp != nil {
			hp.begun = true
		}
	}
}

// waveRow is the stored form of a wave's progress.
type waveRow struct {
	Begun    []string `json:"begun"`
	Complete bool     `json:"complete,omitempty"`
}

// Progress returns which hosts of a wave have begun their maintenance, as a
// holder last wrote it, and whether the wave is complete.
func Progress(ctx context.Context, store *platform.Store, fleet string, wave int) ([]string, bool, error) {
	r, err := store.ReadRow(ctx, tableWave, fleet, strconv.Itoa(wave))
	if err != nil || r.Version == 0 {
		return nil, false, err
	}
	var row waveRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return nil, false, errors.Wrapf(platform.ErrMalformed, "wave %d: %v", wave, err)
	}
	slices.Sort(row.Begun)
	return row.Begun, row.Complete, nil
}

// renew makes sure that this process still holds the fleet.
// It writes which hosts were ordered lately, with those that are about to be.
func (k *Keeper) renew(now time.Time, hosts ...string) error {
	for _, h := range hosts {
		k.ordered[h] = now
	}
	intents := intentRow{}
	for h, at := range k.ordered {
		if now.Sub(at) > 2*k.part(1) {
			delete(k.ordered, h)
			continue
		}
		intents.Hosts = append(intents.Hosts, h)
	}
	slices.Sort(intents.Hosts)
	data, err := json.Marshal(intents)
	if err != nil {
		return errors.Wrap(err, "intent row")
	}
	var row waveRow
	t := platform.Transaction{
		Expect: []platform.Row{{Table: pool.TableOwner, Part: k.Own.Pool, Key: keyOwner, Version: k.Own.Version}},
		Write:  []platform.Row{{Table: tableIntent, Part: k.Own.Pool, Key: keyIntent, Value: data}},
	}
	for number, p := range k.plans {
		row = waveRow{Complete: p.done}
		for name, hp := range p.hosts {
			if hp.begun {
				row.Begun = append(row.Begun, name)
			}
		}
		data, err := json.Marshal(row)
		if err != nil {
			return errors.Wrap(err, "wave row")
		}
		t.Write = append(t.Write, platform.Row{Table: tableWave, Part: k.Own.Pool, Key: strconv.Itoa(number), Value: data})
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	_, _, err = k.Store.Commit(ctx, t)
	switch {
	case err == nil:
		k.failing = time.Time{}
	case k.failing.IsZero():
		k.failing = now
	}
	return err
}

// Beat returns the version of the row that the holder of the fleet writes about
// once a second while it reaches the store.
func Beat(ctx context.Context, store *platform.Store, name string) (uint64, error) {
	r, err := store.ReadRow(ctx, tableIntent, name, keyIntent)
	return r.Version, err
}

// intentRow is the stored form of the hosts that a holder has ordered lately or
// is about to order.
type intentRow struct {
	Hosts []string `json:"hosts"`
}

// readIntents reads which hosts the holder before may have ordered last. The
// claim of this holder keeps it from adding to them.
func (k *Keeper) readIntents() error {
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	r, err := k.Store.ReadRow(ctx, tableIntent, k.Own.Pool, keyIntent)
	if err != nil || r.Version == 0 {
		return err
	}
	var row intentRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return errors.Wrap(platform.ErrMalformed, "intent row")
	}
	for _, h := range row.Hosts {
		k.blocked[h] = true
		k.ordered[h] = k.began
	}
	return nil
}

// mayOrder reports whether a host is free for an order of this holder.
func (k *Keeper) mayOrder(host string, now time.Time) bool {
	return !k.blocked[host] || now.Sub(k.began) > k.part(1)+leaseSlack
}

// authorize makes sure that this process holds the fleet and that a later holder
// knows of the orders that follow at once.
func (k *Keeper) authorize(now time.Time, hosts []string) bool {
	if len(hosts) == 0 {
		return false
	}
	if err := k.renew(now, hosts...); err != nil {
		k.log.WithError(err).Info("orders for hosts not made")
		return false
	}
	return time.Since(now) < k.part(orderShare)
}

// part returns a share of the lease that two holders keep apart.
func (k *Keeper) part(share float64) time.Duration {
	lease := k.Bounds.MachineLease
	if lease <= 0 {
		lease = leaseTime
	}
	return time.Duration(share * float64(lease))
}

// orderTime is how long an order waits for its answer.
func (k *Keeper) orderTime() time.Duration { return min(callTime, k.part(answerPart)) }

// look reads the platform's list of hosts.
func (k *Keeper) look() {
	now := time.Now()
	period := listPeriod
	if len(k.moved) > 0 {
		period = listSoon
	}
	if now.Sub(k.listed) < period {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	hosts, err := k.Machines.List(ctx)
	if err != nil {
		k.log.WithError(err).Info("list of hosts not read")
		return
	}
	k.view.hosts, k.listed, k.view.listed = hosts, now, now
	for i, h := range hosts {
		m, moved := k.moved[h.Name]
		if !moved {
			continue
		}
		if h.Pool == m.pool && h.State == platform.HostUp || now.Sub(m.at) > k.Bounds.Migration+moveSlack {
			delete(k.moved, h.Name)
			if !k.view.standby[h.Pool] {
				k.arrived[h.Name] = now
			}
			continue
		}
		hosts[i].Pool, hosts[i].State = m.pool, platform.HostMoving
	}
}

// askLoads asks the owners of all pools what they need and have.
func (k *Keeper) askLoads() {
	c := k.Config()
	now := time.Now()
	if c == nil || now.Sub(k.asked) < loadPeriod {
		return
	}
	k.asked = now
	ctx, cancel := context.WithTimeout(k.ctx, loadTime)
	defer cancel()
	k.view.standby = map[string]bool{}
	loads := make([]*place.Load, len(c.Pools))
	var calls sync.WaitGroup
	for i, p := range c.Pools {
		if p.Standby {
			k.view.standby[p.Name] = true
			continue
		}
		calls.Go(func() {
			if l, err := k.Load(ctx, p.Name); err == nil {
				loads[i] = &l
			}
		})
	}
	calls.Wait()
	k.view.loads, k.view.workers = map[string]place.Load{}, map[string]place.WorkerLoad{}
	for i, l := range loads {
		if l == nil {
			continue
		}
		k.view.loads[c.Pools[i].Name] = *l
		for _, w := range l.Workers {
			k.view.workers[w.ID] = w
		}
	}
}

// work carries out what the waves want now.
func (k *Keeper) work() {
	policy := DefaultPolicy(k.Bounds.Maintenance)
	for _, p := range k.plans {
		if p.done {
			continue
		}
		now := time.Now()
		actions, complete := p.decide(policy, &k.view, now)
		actions = slices.DeleteFunc(actions, func(a action) bool {
			_, leaves := k.leaving[a.host.Name]
			return leaves
		})
		if complete {
			p.done = k.tellStatus(p.wave.Number, true)
			continue
		}
		var hosts []string
		actions = slices.DeleteFunc(actions, func(a action) bool {
			if a.order && k.mayOrder(a.host.Name, now) {
				hosts = append(hosts, a.host.Name)
			}
			return a.order && !k.mayOrder(a.host.Name, now)
		})
		allowed := k.authorize(now, hosts)
		var tasks sync.WaitGroup
		for _, a := range actions {
			if !a.order || allowed {
				tasks.Go(func() { k.carryOut(p, a) })
			}
		}
		tasks.Wait()
	}
}

// busy reports whether a host must stay where it is: it is being emptied for a
// wave, was ordered somewhere, or has just arrived.
func (k *Keeper) busy(name string) bool {
	if _, moved := k.moved[name]; moved {
		return true
	}
	if _, leaves := k.leaving[name]; leaves {
		return true
	}
	if at, known := k.arrived[name]; known && time.Since(at) < DefaultMovePolicy().Settle {
		return true
	}
	for _, p := range k.plans {
		hp := p.hosts[name]
		if hp == nil || p.done {
			continue
		}
		if !hp.begun && (!hp.emptying.IsZero() || !hp.ordered.IsZero()) || hp.begun && time.Since(hp.begunAt) < k.Bounds.Maintenance {
			return true
		}
	}
	return false
}

// due reports whether a host's maintenance is still to come.
func (k *Keeper) due(name string) bool {
	for _, p := range k.plans {
		if hp := p.hosts[name]; hp != nil && !hp.begun && !p.done {
			return true
		}
	}
	return false
}

// move carries out the moves that the pools need now.
func (k *Keeper) move() {
	c := k.Config()
	now := time.Now()
	if c == nil || len(k.view.hosts) == 0 {
		return
	}
	hosts := slices.Clone(k.view.hosts)
	slices.SortStableFunc(hosts, func(x, y platform.Host) int { // maintained hosts are taken first
		return cmp.Compare(btoi(k.due(x.Name)), btoi(k.due(y.Name)))
	})
	for i, h := range hosts { // the list may be older than the newest orders
		if l, leaving := k.leaving[h.Name]; leaving {
			hosts[i].Pool, hosts[i].State = l.pool, platform.HostMoving
		}
		if m, moved := k.moved[h.Name]; moved {
			hosts[i].Pool, hosts[i].State = m.pool, platform.HostMoving
		}
	}
	policy := DefaultMovePolicy()
	for _, m := range moves(policy, now.Sub(k.short) > policy.Quiet, c.Pools, hosts, k.view.loads, k.busy) {
		if !k.view.standby[m.pool] {
			k.short = now
		}
		if k.mayOrder(m.host.Name, now) {
			k.leaving[m.host.Name] = leaving{m, now}
		}
	}
	k.depart(now)
}

// leaving is a host that is emptied in order to move.
type leaving struct {
	move
	since time.Time
}

// leaveTime is how long a host may take to become empty; then it stays.
const leaveTime = 3 * time.Second

// depart empties the hosts that are leaving and orders the moves of empty ones.
func (k *Keeper) depart(now time.Time) {
	var calls sync.WaitGroup
	var ready []move
	var names []string
	for name, l := range k.leaving {
		if now.Sub(l.since) > leaveTime {
			delete(k.leaving, name)
			continue
		}
		calls.Go(func() {
			if !k.empty(l.host) {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			ready = append(ready, l.move)
			names = append(names, name)
		})
	}
	calls.Wait()
	if !k.authorize(now, names) {
		return
	}
	for _, m := range ready {
		delete(k.leaving, m.host.Name)
		calls.Go(func() { k.moveOne(m) })
	}
	calls.Wait()
}

// empty asks for a host to be emptied and reports whether nothing runs there.
func (k *Keeper) empty(h platform.Host) bool {
	if k.view.standby[h.Pool] {
		return true
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTime())
	defer cancel()
	left, err := k.Vacate(ctx, h.Pool, h.Worker)
	return err == nil && left == 0
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// moveOne moves an empty host.
func (k *Keeper) moveOne(m move) {
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTime())
	defer cancel()
	began := time.Now()
	err := k.Machines.Move(ctx, k.holder(), m.host.Name, m.pool)
	k.log.WithFields(logrus.Fields{
		"host": m.host.Name, "from": m.host.Pool, "to": m.pool, "worker": m.host.Worker,
		"ms": time.Since(began).Milliseconds(),
	}).WithError(err).Info("move ordered")
	if err == nil || errors.Is(err, platform.ErrUnknown) {
		metricMoves.Inc()
		k.mu.Lock()
		k.moved[m.host.Name] = moving{m.pool, began}
		k.mu.Unlock()
	}
}

func (k *Keeper) holder() platform.Holder {
	return platform.Holder{Name: k.Own.Owner.Node, Token: k.Own.Token}
}

func (k *Keeper) carryOut(p *wavePlan, a action) {
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTime())
	defer cancel()
	hp := p.hosts[a.host.Name]
	if !a.order {
		left, err := k.Vacate(ctx, a.host.Pool, a.host.Worker)
		now := time.Now()
		k.mu.Lock()
		defer k.mu.Unlock()
		if hp.emptying.IsZero() {
			hp.emptying = now
		}
		if err == nil {
			hp.left, hp.asked = left, now
		}
		return
	}
	now := time.Now()
	k.mu.Lock()
	hp.ordered = now
	k.mu.Unlock()
	metricOrders.Inc()
	err := k.Machines.Maintain(ctx, k.holder(), a.host.Name, p.wave.Number)
	k.log.WithFields(logrus.Fields{
		"wave": p.wave.Number, "host": a.host.Name, "pool": a.host.Pool, "worker": a.host.Worker,
		"ms": time.Since(now).Milliseconds(),
	}).WithError(err).Info("maintenance ordered")
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		hp.begun, hp.begunAt = true, now
	case errors.Is(err, platform.ErrWave):
		hp.begun = true // not of this wave after all
	}
}

// tellStatus writes how a wave stands for the operator and reports whether that
// took effect.
func (k *Keeper) tellStatus(number int, complete bool) bool {
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	_, _, err := k.Store.Commit(ctx, platform.Transaction{Write: []platform.Row{{
		Table: platform.TableStatus, Key: platform.PrefixWave + strconv.Itoa(number), Value: platform.EncodeWaveStatus(complete),
	}}})
	k.log.WithFields(logrus.Fields{"wave": number, "complete": complete}).WithError(err).Info("wave status written")
	return err == nil
}
