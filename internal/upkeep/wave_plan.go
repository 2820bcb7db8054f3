package upkeep

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// WavePolicy holds the parameters of wave planning.
type WavePolicy struct {
	MaxAwayShare     float64       // share of a pool's hosts that may be unavailable or draining at once
	DrainAhead       int           // hosts drained in addition to the wave's limit
	MinOrderInterval time.Duration // between two orders for the same host
	MaintenanceTime  time.Duration // that a host is down, as the platform states
	ReturnSlack      time.Duration // after MaintenanceTime, until a host counts as up again
	MaxBusyShare     float64       // a pool with a higher utilization is left alone while time allows
	DrainTime        time.Duration // estimated time to drain a host
	EndReserve       time.Duration // the wave should be done this long before its end
}

// DefaultWavePolicy returns the default policy for waves.
func DefaultWavePolicy(maintenance time.Duration) WavePolicy {
	return WavePolicy{
		MaxAwayShare:     0.34, // a third of a pool; its lasting tasks spread over the others
		DrainAhead:       2,
		MinOrderInterval: 500 * time.Millisecond,
		MaintenanceTime:  maintenance,
		ReturnSlack:      500 * time.Millisecond,
		MaxBusyShare:     0.8,
		DrainTime:        1500 * time.Millisecond,
		EndReserve:       4 * time.Second,
	}
}

// hostPlan is the state of one host of a wave.
type hostPlan struct {
	orderedAt     time.Time // time of the newest order, zero if there was none
	refusedAt     time.Time // when the platform last refused to maintain it, zero if it did not
	begun         bool      // its maintenance has begun
	begunAt       time.Time
	drainingSince time.Time // when its pool was first asked to vacate it, zero if it was not
	attemptsLeft  int       // as its pool last reported
	reportedAt    time.Time // when attemptsLeft was reported
	lifetime      string    // of its worker, reported with attemptsLeft
}

// wavePlan is the state of one wave.
type wavePlan struct {
	wave     platform.Wave
	openedAt time.Time
	hosts    map[string]*hostPlan
	done     bool
	storedAt time.Time // when its progress was last stored
	settled  bool      // stored as done
}

func newWavePlan(w platform.Wave, now time.Time) *wavePlan {
	p := &wavePlan{wave: w, openedAt: now, hosts: map[string]*hostPlan{}}
	for _, h := range w.Hosts {
		p.hosts[h] = &hostPlan{}
	}
	return p
}

// Action is a step of a wave for one host.
type Action struct {
	Host     platform.Host
	Maintain bool // order maintenance; otherwise ask its pool to vacate it
}

// maxReportAge is how old a pool's report that a worker is empty may be.
const maxReportAge = 400 * time.Millisecond

// fleetView is the fleet as known to the planner.
type fleetView struct {
	hosts    []platform.Host
	listedAt time.Time                   // when the list of hosts was requested
	standby  map[string]bool             // pools whose hosts are off
	loads    map[string]place.Load       // by pool
	workers  map[string]place.WorkerLoad // by worker id
	blocked  map[string]bool             // hosts that must not be ordered now
	foreign  map[string]time.Time        // hosts that the previous holder may have ordered last, and until when such an order may take effect

	utilizations map[string]float64 // computed since hosts and loads were set, by pool
}

// utilization returns the used and requested share of a pool's capacity.
func (v *fleetView) utilization(pool string) float64 {
	u, known := v.utilizations[pool]
	if !known {
		if v.utilizations == nil {
			v.utilizations = map[string]float64{}
		}
		u = v.computeUtilization(pool)
		v.utilizations[pool] = u
	}
	return u
}

func (v *fleetView) computeUtilization(pool string) float64 {
	l, known := v.loads[pool]
	if !known {
		return 0
	}
	size := 0
	for _, h := range v.hosts {
		if h.Pool == pool && h.State == platform.HostUp {
			size += h.Size.Millicores
		}
	}
	return float64(l.Used+l.Wanted) / float64(max(1, size))
}

// isOff reports whether nothing can run on a host.
func (v *fleetView) isOff(h platform.Host) bool { return v.standby[h.Pool] || h.Worker == "" }

// decide returns the actions that are due for a wave. complete is true once all of
// its hosts that still exist have begun their maintenance.
func (p *wavePlan) decide(policy WavePolicy, v *fleetView, now time.Time) (actions []Action, complete bool) {
	down, open := 0, 0
	away := map[string]int{}
	size := map[string]int{}
	var waiting []platform.Host
	for _, h := range v.hosts {
		size[h.Pool]++
		hp := p.hosts[h.Name]
		if h.State != platform.HostUp {
			away[h.Pool]++
		}
		if hp == nil {
			continue
		}
		// An order of the previous holder counts until a list that is requested after its effect.
		if v.listedAt.Before(v.foreign[h.Name]) || p.mayBeDown(policy, hp, h, v.listedAt, now) {
			down++
		}
		if hp.begun {
			continue
		}
		open++
		if h.State == platform.HostUp && !v.blocked[h.Name] {
			waiting = append(waiting, h)
		}
	}
	if open == 0 {
		return nil, len(v.hosts) > 0
	}
	urgent := p.urgent(policy, open, now)
	p.sortHosts(v, waiting)
	draining := 0
	for _, h := range waiting {
		hp := p.hosts[h.Name]
		empty := v.isOff(h) || !hp.reportedAt.IsZero() && hp.attemptsLeft == 0 && now.Sub(hp.reportedAt) < maxReportAge
		if empty && down < p.wave.MaxUnavailable && now.Sub(hp.orderedAt) > policy.MinOrderInterval {
			down++
			away[h.Pool]++
			actions = append(actions, Action{h, true})
			continue
		}
		if v.isOff(h) || draining >= p.wave.MaxUnavailable+policy.DrainAhead {
			continue
		}
		if hp.drainingSince.IsZero() && !p.mayDrain(policy, v, h, urgent, away[h.Pool], size[h.Pool]) {
			continue
		}
		draining++
		away[h.Pool]++
		actions = append(actions, Action{h, false})
	}
	return actions, false
}

// mayDrain reports whether a host may be drained for the wave now.
func (p *wavePlan) mayDrain(policy WavePolicy, v *fleetView, h platform.Host, urgent bool, away, size int) bool {
	if float64(away+1) > max(1, policy.MaxAwayShare*float64(size)) {
		return false
	}
	if urgent {
		return true
	}
	w, known := v.workers[h.Worker]
	if !known {
		return false
	}
	// A host with batch tasks becomes idle by itself once its pool needs fewer hosts.
	return w.Tasks == 0 || w.Tasks == w.Lasting && v.utilization(h.Pool) < policy.MaxBusyShare
}

// urgent reports whether there is no time left to wait for pools to become less
// busy.
func (p *wavePlan) urgent(policy WavePolicy, open int, now time.Time) bool {
	rounds := (open + p.wave.MaxUnavailable - 1) / p.wave.MaxUnavailable
	needed := time.Duration(rounds)*(policy.MaintenanceTime+policy.DrainTime) + policy.EndReserve
	return now.Add(needed).After(p.openedAt.Add(p.wave.Duration))
}

// mayBeDown reports whether a host counts toward the wave's limit of hosts that are
// down.
func (p *wavePlan) mayBeDown(policy WavePolicy, hp *hostPlan, h platform.Host, listedAt, now time.Time) bool {
	if h.State == platform.HostMaintenance || h.State == platform.HostUnknown {
		return true
	}
	if hp.orderedAt.IsZero() {
		return false
	}
	// An order counts until a list that is requested after the maintenance shows the host as up.
	back := hp.orderedAt.Add(policy.MaintenanceTime + policy.ReturnSlack)
	return now.Before(back) || listedAt.Before(back)
}

// sortHosts sorts hosts by the order in which they are maintained: those that were
// refused come after all others. Of the rest, hosts that are off come first, those being
// drained, idle ones, then the others by the number of their lasting tasks and the
// utilization of their pools.
func (p *wavePlan) sortHosts(v *fleetView, hosts []platform.Host) {
	class := func(h platform.Host) int {
		w, known := v.workers[h.Worker]
		switch {
		case v.isOff(h):
			return 0
		case !p.hosts[h.Name].drainingSince.IsZero():
			return 1
		case known && w.Tasks == 0:
			return 2
		}
		return 3
	}
	slices.SortFunc(hosts, func(x, y platform.Host) int {
		return cmp.Or(
			p.hosts[x.Name].refusedAt.Compare(p.hosts[y.Name].refusedAt),
			cmp.Compare(class(x), class(y)),
			p.hosts[x.Name].drainingSince.Compare(p.hosts[y.Name].drainingSince),
			cmp.Compare(v.workers[x.Worker].Lasting, v.workers[y.Worker].Lasting),
			cmp.Compare(v.utilization(x.Pool), v.utilization(y.Pool)),
			strings.Compare(x.Name, y.Name),
		)
	})
}
