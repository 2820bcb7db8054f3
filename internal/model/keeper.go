package model

import (
	"fmt"
	"math"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/upkeep"
	"github.com/papayarudder/papayarudder/platform"
)

// Timing of the process that holds the fleet lease, as in package upkeep.
const (
	managerInterval  = 120 * time.Millisecond // one iteration with its calls
	listPeriod       = time.Second
	listPeriodMoving = 300 * time.Millisecond // used while hosts move
	listDelay        = 100 * time.Millisecond // age of the hosts' states in a list
	orderLatency     = 15 * time.Millisecond
)

// fleetManager moves and maintains hosts as the planner of package upkeep decides.
type fleetManager struct {
	simulation *simulation
	planner    *upkeep.Planner
	pools      []platform.PoolConfig
	listedAt   time.Time
	waves      map[int]*wave
}

// wave is a requested maintenance wave.
type wave struct {
	hosts map[string]bool // whether each was maintained in time
	until time.Time
	done  bool
}

func newFleetManager(w *simulation) *fleetManager {
	k := &fleetManager{
		simulation: w,
		planner:    upkeep.NewPlanner(w.policy.Moves, upkeep.DefaultWavePolicy(w.scenario.Fleet.Maintenance), w.scenario.Fleet.Move),
		waves:      map[int]*wave{},
	}
	for _, p := range w.scenario.Pools {
		k.pools = append(k.pools, platform.PoolConfig{Name: p.Name, EnforcesCapacity: true, Standby: p.Standby})
	}
	return k
}

// startWave starts a maintenance wave over a random share of all hosts.
func (k *fleetManager) startWave(f Fault) {
	n := int(math.Ceil(f.Share * float64(len(k.simulation.hosts))))
	w := &wave{hosts: map[string]bool{}, until: k.simulation.now.Add(f.For)}
	var names []string
	for _, i := range k.simulation.random.Perm(len(k.simulation.hosts))[:n] {
		name := k.simulation.hosts[i].name
		w.hosts[name] = false
		names = append(names, name)
	}
	number := len(k.waves) + 1
	k.waves[number] = w
	k.planner.OpenWave(platform.Wave{Number: number, Hosts: names, Duration: f.For, MaxUnavailable: f.Count}, k.simulation.now)
}

// tick runs one iteration of the fleet manager's loop.
func (k *fleetManager) tick() {
	w := k.simulation
	k.simulation.after(managerInterval, k.tick)
	if w.storeDown() {
		return // without the store no order is authorized
	}
	period := listPeriod
	if k.planner.Moving() {
		period = listPeriodMoving
	}
	loads := map[string]place.Load{}
	arriving := k.planner.Arriving()
	for _, name := range w.poolNames {
		loads[name] = w.pools[name].updateLoad(arriving[name].Millicores)
	}
	k.planner.SetLoads(k.pools, loads)
	if w.now.Sub(k.listedAt) >= period {
		k.listedAt = w.now
		k.planner.SetHosts(k.list(), w.now.Add(-listDelay))
	}
	k.planner.UpdateBlocked(w.now)
	for number := 1; number <= len(k.waves); number++ {
		if wave := k.waves[number]; !wave.done {
			k.maintain(number, wave)
		}
	}
	if !w.policy.Static {
		k.move()
	}
}

// list returns the hosts as the platform lists them.
func (k *fleetManager) list() []platform.Host {
	all := make([]platform.Host, 0, len(k.simulation.hosts))
	for _, h := range k.simulation.hosts {
		p := platform.Host{Name: h.name, Pool: h.pool, State: h.state, Labels: []string{"a", h.rack}, Size: k.simulation.hostSize()}
		if h.worker != nil {
			p.Worker = h.worker.id
		}
		all = append(all, p)
	}
	return all
}

func (k *fleetManager) host(name string) *host {
	for _, h := range k.simulation.hosts {
		if h.name == name {
			return h
		}
	}
	panic(fmt.Sprintf("no host %q", name)) // the planner only names listed hosts
}

func (k *fleetManager) maintain(number int, wave *wave) {
	w := k.simulation
	actions, complete := k.planner.PlanWave(number, w.now)
	if complete {
		wave.done = true
		return
	}
	for _, a := range actions {
		h := k.host(a.Host.Name)
		if !a.Maintain {
			left := -1
			if h.worker != nil && w.pools[h.pool] != nil {
				left = w.pools[h.pool].vacate(h.worker)
			}
			k.planner.VacateRequested(number, h.name, left, "", w.now)
			continue
		}
		k.planner.MaintenanceOrdered(number, h.name, w.now)
		w.after(orderLatency, func() {
			if h.state != platform.HostUp {
				return
			}
			k.retire(h)
			w.moveAway(h, h.pool, platform.HostMaintenance, w.scenario.Fleet.Maintenance)
			wave.hosts[h.name] = wave.hosts[h.name] || w.now.Before(wave.until)
			k.planner.MaintenanceBegun(number, h.name, w.now)
		})
	}
}

func (k *fleetManager) retire(h *host) {
	if h.worker != nil && k.simulation.pools[h.pool] != nil {
		k.simulation.pools[h.pool].retire(h.worker)
	}
}

func (k *fleetManager) move() {
	w := k.simulation
	k.planner.PlanMoves(k.pools, w.now)
	for _, m := range k.planner.Leaving(w.now) {
		h := k.host(m.Host.Name)
		if o := w.pools[h.pool]; o != nil && h.worker != nil && o.vacate(h.worker) > 0 {
			continue
		}
		k.planner.RemoveLeaving(m)
		k.planner.MoveOrdered(m, w.now)
		w.after(orderLatency, func() {
			if h.state != platform.HostUp {
				return
			}
			k.retire(h)
			w.moveAway(h, m.Pool, platform.HostMoving, w.scenario.Fleet.Move)
			w.result.Moves++
		})
	}
}

// finish counts the hosts that waves did not maintain in time.
func (k *fleetManager) finish() {
	for _, w := range k.waves {
		for _, maintained := range w.hosts {
			if !maintained {
				k.simulation.result.Missed++
			}
		}
	}
}

// callsOf returns the calls of a queue in the order of their ids.
func (w *simulation) callsOf(queue string) []*call {
	var all []*call
	for i, q := range w.scenario.Queues {
		if q.Name != queue {
			continue
		}
		for n := 0; ; n++ {
			c := w.calls[jobs.ID(fmt.Sprintf("%08x%08x", i, n))]
			if c == nil {
				break
			}
			all = append(all, c)
		}
	}
	return all
}
