package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// Planner decides which hosts move to another pool and when hosts are maintained.
// It has no side effects: its inputs are lists of hosts, loads of pools, orders and
// the time, its results are moves and actions.
type Planner struct {
	MovePolicy MovePolicy
	WavePolicy WavePolicy

	migrationTime time.Duration
	plans         map[int]*wavePlan
	view          fleetView
	sizes         []PoolSize
	lastShortage  time.Time              // when a pool last lacked hosts
	inTransit     map[string]transit     // hosts ordered to another pool, by name
	arrivedAt     map[string]time.Time   // when hosts arrived in their pool, by name
	leaving       map[string]leavingHost // hosts being drained in order to move, by name
	refusedUntil  map[string]time.Time   // hosts that the platform refused to move, by name, and until when others are moved
	blockedUntil  map[string]time.Time   // hosts that the previous holder may have ordered last, and until when they get no orders
}

// NewPlanner returns a planner that knows no hosts yet. migration is how long a
// move takes; how long maintenance takes is in the policy of waves.
func NewPlanner(moves MovePolicy, waves WavePolicy, migration time.Duration) *Planner {
	return &Planner{
		MovePolicy: moves, WavePolicy: waves, migrationTime: migration,
		plans: map[int]*wavePlan{}, inTransit: map[string]transit{}, arrivedAt: map[string]time.Time{},
		leaving: map[string]leavingHost{}, refusedUntil: map[string]time.Time{}, blockedUntil: map[string]time.Time{},
		view: fleetView{foreign: map[string]time.Time{}},
	}
}

// SetHosts sets the platform's list of hosts, as requested at requestedAt. The list
// may be older than the newest orders.
func (p *Planner) SetHosts(hosts []platform.Host, requestedAt time.Time) {
	p.view.hosts, p.view.listedAt, p.view.utilizations = hosts, requestedAt, nil
	for i, h := range hosts {
		m, moved := p.inTransit[h.Name]
		if !moved {
			continue
		}
		if h.Pool == m.pool && h.State == platform.HostUp || requestedAt.Sub(m.orderedAt) > p.migrationTime+moveGrace {
			delete(p.inTransit, h.Name)
			if !p.view.standby[h.Pool] {
				p.arrivedAt[h.Name] = requestedAt
			}
			continue
		}
		hosts[i].Pool, hosts[i].State = m.pool, platform.HostMoving
	}
}

// Arrivals are the hosts that are on their way to a pool.
type Arrivals struct {
	Hosts      int
	Draining   int // those of Hosts that are being drained in their old pool
	Millicores int
}

// Arriving returns the hosts that are on their way to each pool.
func (p *Planner) Arriving() map[string]Arrivals {
	arriving := map[string]Arrivals{}
	add := func(pool string, h platform.Host, draining int) {
		a := arriving[pool]
		arriving[pool] = Arrivals{a.Hosts + 1, a.Draining + draining, a.Millicores + h.Size.Millicores}
	}
	for _, h := range p.view.hosts {
		if m, moved := p.inTransit[h.Name]; moved {
			add(m.pool, h, 0)
		} else if l, leaving := p.leaving[h.Name]; leaving {
			add(l.Pool, h, 1)
		}
	}
	return arriving
}

// Sizes returns the sizes of the pools as last planned.
func (p *Planner) Sizes() []PoolSize { return p.sizes }

// Moving reports whether hosts are moving to another pool.
func (p *Planner) Moving() bool { return len(p.inTransit) > 0 }

// SetLoads sets the demand and capacity of pools. Pools of unknown load are not in
// loads.
func (p *Planner) SetLoads(pools []platform.PoolConfig, loads map[string]place.Load) {
	p.view.standby = map[string]bool{}
	for _, c := range pools {
		if c.Standby {
			p.view.standby[c.Name] = true
		}
	}
	p.view.loads, p.view.workers, p.view.utilizations = loads, map[string]place.WorkerLoad{}, nil
	for _, l := range loads {
		for _, w := range l.Workers {
			p.view.workers[w.ID] = w
		}
	}
}

// mayOrder reports whether this holder may order a host.
func (p *Planner) mayOrder(host string, now time.Time) bool { return now.After(p.blockedUntil[host]) }

// UpdateBlocked updates which hosts must not be ordered now.
func (p *Planner) UpdateBlocked(now time.Time) {
	p.view.blocked = map[string]bool{}
	for host := range p.blockedUntil {
		if !p.mayOrder(host, now) {
			p.view.blocked[host] = true
		}
	}
}

// OpenWave adds a new wave.
func (p *Planner) OpenWave(w platform.Wave, now time.Time) { p.plans[w.Number] = newWavePlan(w, now) }

// PlanWave returns the actions that are due for a wave, and whether it is complete.
func (p *Planner) PlanWave(number int, now time.Time) (actions []Action, complete bool) {
	actions, complete = p.plans[number].decide(p.WavePolicy, &p.view, now)
	actions = slices.DeleteFunc(actions, func(a Action) bool {
		_, leaving := p.leaving[a.Host.Name]
		return leaving
	})
	return actions, complete
}

// VacateRequested records that a pool was asked to vacate a host for a wave, and how many
// attempts were left. A negative number means that there was no answer.
func (p *Planner) VacateRequested(number int, host string, left int, lifetime string, reportedAt time.Time) {
	hp := p.plans[number].hosts[host]
	if hp.drainingSince.IsZero() {
		hp.drainingSince = reportedAt
	}
	if left >= 0 {
		hp.attemptsLeft, hp.reportedAt, hp.lifetime = left, reportedAt, lifetime
	}
}

// MaintenanceOrdered records that an order to maintain a host for a wave is about to be
// sent.
func (p *Planner) MaintenanceOrdered(number int, host string, at time.Time) {
	p.plans[number].hosts[host].orderedAt = at
}

// MaintenanceRefused records that the platform refused to maintain a host now.
func (p *Planner) MaintenanceRefused(number int, host string, at time.Time) {
	p.plans[number].hosts[host].refusedAt = at
}

// MaintenanceBegun records that a host's maintenance has begun by an order sent at the
// given time.
func (p *Planner) MaintenanceBegun(number int, host string, orderedAt time.Time) {
	hp := p.plans[number].hosts[host]
	hp.begun, hp.begunAt = true, orderedAt
}

// transit is the move of a host that was ordered to another pool.
type transit struct {
	pool      string
	orderedAt time.Time
}

// mustStay reports whether a host must stay in its pool: because the previous
// holder may have ordered it, it is being drained, it has an order, it has just
// arrived, or the platform has just refused to move it.
func (p *Planner) mustStay(name string, now time.Time) bool {
	if p.view.blocked[name] {
		return true
	}
	if _, moved := p.inTransit[name]; moved {
		return true
	}
	if _, leaving := p.leaving[name]; leaving {
		return true
	}
	if now.Before(p.refusedUntil[name]) {
		return true
	}
	if at, known := p.arrivedAt[name]; known && now.Sub(at) < p.MovePolicy.Settle {
		return true
	}
	for _, plan := range p.plans {
		hp := plan.hosts[name]
		if hp == nil || plan.done {
			continue
		}
		if !hp.begun && (!hp.drainingSince.IsZero() || !hp.orderedAt.IsZero()) || hp.begun && now.Sub(hp.begunAt) < p.WavePolicy.MaintenanceTime {
			return true
		}
	}
	return false
}

// maintenanceDue reports whether a host's maintenance has not begun yet.
func (p *Planner) maintenanceDue(name string) bool {
	for _, plan := range p.plans {
		if hp := plan.hosts[name]; hp != nil && !hp.begun && !plan.done {
			return true
		}
	}
	return false
}

// PlanMoves decides which hosts are to leave their pools. [Planner.Leaving] returns
// them until they are ordered to move or their time to become empty is over.
func (p *Planner) PlanMoves(pools []platform.PoolConfig, now time.Time) {
	if len(p.view.hosts) == 0 {
		return
	}
	hosts := slices.Clone(p.view.hosts)
	slices.SortStableFunc(hosts, func(x, y platform.Host) int { // hosts without pending maintenance come first
		return cmp.Compare(btoi(p.maintenanceDue(x.Name)), btoi(p.maintenanceDue(y.Name)))
	})
	for i, h := range hosts { // the list of hosts may be older than the newest orders
		if l, leaving := p.leaving[h.Name]; leaving {
			hosts[i].Pool, hosts[i].State = l.Pool, platform.HostMoving
		}
		if m, moved := p.inTransit[h.Name]; moved {
			hosts[i].Pool, hosts[i].State = m.pool, platform.HostMoving
		}
	}
	allowStandby := now.Sub(p.lastShortage) > p.MovePolicy.Quiet
	mustStay := func(name string) bool { return p.mustStay(name, now) }
	moves, sizes := planPools(p.MovePolicy, allowStandby, pools, hosts, p.view.loads, mustStay)
	p.sizes = sizes
	for _, m := range moves {
		if !p.view.standby[m.Pool] {
			p.lastShortage = now
		}
		p.leaving[m.Host.Name] = leavingHost{m, now}
	}
}

// leavingHost is a host being drained in order to move.
type leavingHost struct {
	Move
	since time.Time
}

// leaveTimeout is how long a host may take to become empty. Then it stays in its
// pool.
const leaveTimeout = 3 * time.Second

// Leaving returns the moves of hosts that are being drained, sorted by host name.
// Hosts that have not become empty in time stay in their pools.
func (p *Planner) Leaving(now time.Time) []Move {
	var all []Move
	for name, l := range p.leaving {
		if now.Sub(l.since) > leaveTimeout {
			delete(p.leaving, name)
			continue
		}
		all = append(all, l.Move)
	}
	slices.SortFunc(all, func(x, y Move) int { return cmp.Compare(x.Host.Name, y.Host.Name) })
	return all
}

// RemoveLeaving records that the order to move an empty host is about to be sent.
func (p *Planner) RemoveLeaving(m Move) { delete(p.leaving, m.Host.Name) }

// MoveOrdered records that the order to move a host was sent at a time and may have taken
// effect.
func (p *Planner) MoveOrdered(m Move, at time.Time) { p.inTransit[m.Host.Name] = transit{m.Pool, at} }

// refusedPause is how long a host stays in its pool after the platform refused to move it, as
// it does with a host that is about to leave.
const refusedPause = 2 * time.Second

// MoveRefused records that the platform refused to move a host.
func (p *Planner) MoveRefused(m Move, at time.Time) {
	for name, until := range p.refusedUntil {
		if at.After(until) {
			delete(p.refusedUntil, name)
		}
	}
	p.refusedUntil[m.Host.Name] = at.Add(refusedPause)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
