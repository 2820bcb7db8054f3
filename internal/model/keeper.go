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

// Times of the holder of the fleet, as package upkeep has them.
const (
	keeperLoop  = 120 * time.Millisecond // a turn and its calls
	listPeriod  = time.Second
	listSoon    = 300 * time.Millisecond // while hosts are on their way
	listLag     = 100 * time.Millisecond // the list shows hosts as they were
	orderAnswer = 15 * time.Millisecond
)

// keeper moves and maintains hosts as package upkeep's planner decides.
type keeper struct {
	world   *world
	planner *upkeep.Planner
	pools   []platform.PoolConfig
	listed  time.Time
	waves   map[int]*wave
}

// wave is a maintenance wave that was asked for.
type wave struct {
	hosts map[string]bool // maintained
	until time.Time
	done  bool
}

func newKeeper(w *world) *keeper {
	k := &keeper{
		world:   w,
		planner: upkeep.NewPlanner(w.policy.Moves, upkeep.DefaultWavePolicy(w.scenario.Fleet.Maintenance), w.scenario.Fleet.Move),
		waves:   map[int]*wave{},
	}
	for _, p := range w.scenario.Pools {
		k.pools = append(k.pools, platform.PoolConfig{Name: p.Name, EnforcesCapacity: true, Standby: p.Standby})
	}
	return k
}

// open takes in a wave.
func (k *keeper) open(f Fault) {
	n := int(math.Ceil(f.Share * float64(len(k.world.hosts))))
	w := &wave{hosts: map[string]bool{}, until: k.world.now.Add(f.For)}
	var names []string
	for _, i := range k.world.dice.Perm(len(k.world.hosts))[:n] {
		name := k.world.hosts[i].name
		w.hosts[name] = false
		names = append(names, name)
	}
	number := len(k.waves) + 1
	k.waves[number] = w
	k.planner.OpenWave(platform.Wave{Number: number, Hosts: names, Duration: f.For, MaxUnavailable: f.Count}, k.world.now)
}

// tick is one turn of the holder's loop.
func (k *keeper) tick() {
	w := k.world
	k.world.after(keeperLoop, k.tick)
	if w.storeDown() {
		return // no order is authorized
	}
	period := listPeriod
	if k.planner.Moving() {
		period = listSoon
	}
	loads := map[string]place.Load{}
	for _, name := range w.names {
		loads[name] = w.pools[name].board.Load(w.now)
	}
	k.planner.SetLoads(k.pools, loads)
	if w.now.Sub(k.listed) >= period {
		k.listed = w.now
		k.planner.SetHosts(k.list(), w.now.Add(-listLag))
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

// list returns the hosts as the platform shows them.
func (k *keeper) list() []platform.Host {
	all := make([]platform.Host, 0, len(k.world.hosts))
	for _, h := range k.world.hosts {
		p := platform.Host{Name: h.name, Pool: h.pool, State: h.state, Labels: []string{"a", h.rack}, Size: k.world.hostSize()}
		if h.worker != nil {
			p.Worker = h.worker.id
		}
		all = append(all, p)
	}
	return all
}

func (k *keeper) host(name string) *host {
	for _, h := range k.world.hosts {
		if h.name == name {
			return h
		}
	}
	panic(fmt.Sprintf("no host %q", name)) // the planner names hosts of the list only
}

func (k *keeper) maintain(number int, wave *wave) {
	w := k.world
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
		w.after(orderAnswer, func() {
			if h.state != platform.HostUp {
				return
			}
			k.retire(h)
			w.order(h, h.pool, platform.HostMaintenance, w.scenario.Fleet.Maintenance)
			wave.hosts[h.name] = wave.hosts[h.name] || w.now.Before(wave.until)
			k.planner.MaintenanceBegun(number, h.name, w.now)
		})
	}
}

func (k *keeper) retire(h *host) {
	if h.worker != nil && k.world.pools[h.pool] != nil {
		k.world.pools[h.pool].retire(h.worker)
	}
}

func (k *keeper) move() {
	w := k.world
	k.planner.PlanMoves(k.pools, w.now)
	for _, m := range k.planner.Leaving(w.now) {
		h := k.host(m.Host.Name)
		if o := w.pools[h.pool]; o != nil && h.worker != nil && o.vacate(h.worker) > 0 {
			continue
		}
		k.planner.RemoveLeaving(m)
		k.planner.MoveOrdered(m, w.now)
		w.after(orderAnswer, func() {
			if h.state != platform.HostUp {
				return
			}
			k.retire(h)
			w.order(h, m.Pool, platform.HostMoving, w.scenario.Fleet.Move)
			w.result.Moves++
		})
	}
}

// finish counts the hosts that waves have missed.
func (k *keeper) finish() {
	for _, w := range k.waves {
		for _, maintained := range w.hosts {
			if !maintained {
				k.world.result.Missed++
			}
		}
	}
}

// ordered returns the calls of a queue in the order of their ids.
func (w *world) ordered(queue string) []*call {
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
