package upkeep

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// MovePolicy holds the parameters of moves between pools.
type MovePolicy struct {
	PresentShare float64       // share of the running and waiting work that a pool is sized for; the rest can wait
	Margin       float64       // factor on the capacity that jobs need to meet their objectives
	RateShare    float64       // minimum capacity as a share of the rate of arriving work
	Fill         float64       // share of a host's capacity that tasks use in practice
	Floor        int           // minimum hosts of a pool
	Ready        int           // hosts beyond the need, for the start of a load peak
	ReadyShare   float64       // minimum of Ready as a share of the fleet's hosts for each pool: a peak grows with the fleet, and a move takes as long
	Spare        int           // surplus hosts that a pool keeps before it gives any away
	IdleTime     time.Duration // without tasks, after which a host may be given away
	Settle       time.Duration // minimum stay of a host in the pool to which it was moved
	Quiet        time.Duration // after the last shortage of any pool, before hosts move to a standby pool
}

// DefaultMovePolicy returns the default policy for moves.
func DefaultMovePolicy() MovePolicy {
	return MovePolicy{
		PresentShare: 1.0,
		Margin:       1.4,
		RateShare:    0.7,
		Fill:         1.0,
		Floor:        2,
		Ready:        2,
		ReadyShare:   0.07,
		Spare:        0,
		IdleTime:     400 * time.Millisecond,
		Settle:       300 * time.Millisecond,
		Quiet:        400 * time.Millisecond,
	}
}

// Move is a planned move of a host to another pool.
type Move struct {
	Host     platform.Host
	Pool     string
	Lifetime string // of its worker, set once the host is empty
}

// PoolSize is the number of hosts that a pool needs, should have, and has, with those that are
// on their way there.
type PoolSize struct {
	Pool   string
	Needed int
	Target int
	Hosts  int
}

// poolView is a pool as known to the planner of moves.
type poolView struct {
	name           string
	standby        bool
	load           place.Load
	workers        map[string]place.WorkerLoad // of load, by id
	loadKnown      bool
	draining       bool            // one of its hosts is being drained of lasting tasks
	hostCount      int             // hosts that run tasks, may get new ones, or are arriving
	hostMillicores int             // capacity of its largest host
	lacking        int             // millicores by which its workers are smaller than their hosts
	neededHosts    int             // for its work
	targetHosts    int             // neededHosts and some more for load peaks
	idleHosts      []platform.Host // that may leave at once
	batchHosts     []usedHost      // with batch tasks only, that may leave once they are empty
	lastingHosts   []usedHost      // with lasting tasks only, which have to move to other hosts first
}

// usedHost is a host with the millicores of its tasks.
type usedHost struct {
	host platform.Host
	used int
}

// planPools returns the hosts that change their pool now. Pools that lack hosts get
// them from a standby pool or from pools with a surplus. Idle surplus hosts go to a
// standby pool, unless allowStandby is false. Hosts for which mustStay reports true
// are not moved.
func planPools(policy MovePolicy, allowStandby bool, pools []platform.PoolConfig, hosts []platform.Host, loads map[string]place.Load, mustStay func(host string) bool) (out []Move, sizes []PoolSize) {
	views := map[string]*poolView{}
	var standby []*poolView
	var names []string
	for _, p := range pools {
		l, known := loads[p.Name]
		v := &poolView{name: p.Name, standby: p.Standby, load: l, loadKnown: known, workers: map[string]place.WorkerLoad{}}
		for _, w := range l.Workers {
			v.workers[w.ID] = w
		}
		views[p.Name] = v
		names = append(names, p.Name)
		if p.Standby {
			standby = append(standby, v)
		}
	}
	if len(standby) == 0 {
		return nil, nil
	}
	slices.Sort(names)
	kinds := map[string]map[string]bool{} // kinds of hosts in each pool
	for _, h := range hosts {
		if kinds[h.Pool] == nil {
			kinds[h.Pool] = map[string]bool{}
		}
		kinds[h.Pool][kind(h)] = true
		if v := views[h.Pool]; v != nil {
			v.addHost(policy, h, mustStay)
		}
	}
	if len(pools) > 0 {
		policy.Ready = max(policy.Ready, int(policy.ReadyShare*float64(len(hosts))/float64(len(pools))))
	}
	largest := 0
	for _, h := range hosts {
		largest = max(largest, h.Size.Millicores)
	}
	for _, name := range names {
		v := views[name]
		if v.hostMillicores == 0 {
			v.hostMillicores = largest // a pool without hosts: assume the largest
		}
		v.setTarget(policy)
		for _, hosts := range [][]usedHost{v.batchHosts, v.lastingHosts} {
			slices.SortStableFunc(hosts, func(x, y usedHost) int { return cmp.Compare(x.used, y.used) })
		}
	}
	short := shortPools(names, views)
	give := func(name string, limit int) {
		v := views[name]
		hosts := hostFinder{v, standby, views, names, kinds[name]}
		for n := 0; n < limit && v.hostCount < v.targetHosts; n++ {
			h, from := hosts.find(v.neededHosts - v.hostCount)
			if from == nil {
				break
			}
			from.hostCount--
			v.hostCount++
			out = append(out, Move{Host: h, Pool: name})
		}
	}
	for _, name := range short {
		if views[name].load.Lasting > 0 {
			give(name, 1) // before another pool takes all hosts for its batch tasks
		}
	}
	for _, name := range short {
		give(name, len(hosts))
	}
	for _, name := range names {
		if v := views[name]; !v.standby && v.loadKnown {
			sizes = append(sizes, PoolSize{name, v.neededHosts, v.targetHosts, v.hostCount})
		}
	}
	if !allowStandby || len(short) > 0 {
		return out, sizes // another pool may need the idle hosts soon
	}
	for _, name := range names {
		v := views[name]
		for !v.standby && v.loadKnown && v.hostCount > v.targetHosts+policy.Spare && len(v.idleHosts) > 0 {
			h := v.idleHosts[0]
			v.idleHosts = v.idleHosts[1:]
			v.hostCount--
			out = append(out, Move{Host: h, Pool: standby[0].name})
		}
		if h, ok := v.consolidate(policy); ok {
			out = append(out, Move{Host: h, Pool: standby[0].name})
		}
	}
	return out, sizes
}

// consolidate takes the least used host with lasting tasks only from a pool that
// has more hosts than it needs. It takes one host at a time.
func (v *poolView) consolidate(policy MovePolicy) (platform.Host, bool) {
	if v.standby || !v.loadKnown || v.draining || v.hostCount <= v.targetHosts+policy.Spare || len(v.lastingHosts) == 0 {
		return platform.Host{}, false
	}
	h := v.lastingHosts[0].host
	v.lastingHosts = v.lastingHosts[1:]
	v.hostCount--
	v.draining = true
	return h, true
}

// kind returns a host's kind, its first label, which does not change when it moves.
func kind(h platform.Host) string {
	if len(h.Labels) == 0 {
		return ""
	}
	return h.Labels[0]
}

// addHost counts a host in its pool and sorts it into the lists of hosts that may
// leave.
func (v *poolView) addHost(policy MovePolicy, h platform.Host, mustStay func(host string) bool) {
	v.hostMillicores = max(v.hostMillicores, h.Size.Millicores)
	if h.State == platform.HostDown || h.State == platform.HostMaintenance {
		return
	}
	if v.standby {
		if h.State == platform.HostUp && !mustStay(h.Name) {
			v.idleHosts = append(v.idleHosts, h)
		}
		return
	}
	if h.State == platform.HostMoving {
		v.hostCount++
		return
	}
	w, known := v.workers[h.Worker]
	if !known {
		if mustStay(h.Name) {
			v.hostCount++ // it is arriving; its worker is not in the load yet
		}
		return // otherwise the worker is unknown to the pool or gone
	}
	if !w.Open && w.Tasks == 0 {
		return
	}
	v.hostCount++
	if w.Open && w.Size > 0 {
		v.lacking += max(0, h.Size.Millicores-w.Size)
	}
	switch {
	case !w.Open || mustStay(h.Name):
	case w.Tasks == 0 && w.Idle >= policy.IdleTime:
		v.idleHosts = append(v.idleHosts, h)
	case w.Lasting == 0:
		v.batchHosts = append(v.batchHosts, usedHost{h, w.Used})
	case w.Lasting == w.Tasks:
		v.lastingHosts = append(v.lastingHosts, usedHost{h, w.Used})
	}
}

// setTarget sets how many hosts the pool needs and should have.
func (v *poolView) setTarget(policy MovePolicy) {
	if v.standby || !v.loadKnown || v.hostMillicores == 0 {
		v.neededHosts, v.targetHosts = 0, 0
		return
	}
	need := float64(v.load.Steady) + max(
		policy.PresentShare*float64(v.load.Used-v.load.Steady+v.load.Wanted),
		policy.Margin*float64(v.load.Density),
		policy.RateShare*float64(v.load.Rate),
	)
	if v.load.StartLimited { // its owner can't use more hosts than it does, which other pools may need
		need = min(need, float64(v.load.Used))
	}
	hosts := int((need+float64(v.lacking))/(policy.Fill*float64(v.hostMillicores))) + 1
	working, idle, draining := 0, 0, 0
	for _, w := range v.load.Workers {
		if w.Tasks > 0 {
			working++
		} else if w.Open {
			idle++
		}
		if w.Lasting > 0 && !w.Open {
			draining++
			v.draining = true
		}
	}
	minHosts := v.load.Spread
	if v.load.Lasting > 0 {
		working += idle // a long-running task fits on none of the idle hosts either, or it would not wait
	}
	if v.load.Lasting > 0 || v.load.Largest > 0 && v.hostCount == working {
		minHosts = max(minHosts, working+1) // a waiting task fits on none of the working hosts
	}
	if v.load.MemoryHosts > 0 && !v.load.StartLimited {
		minHosts = max(minHosts, working+int(math.Ceil(v.load.MemoryHosts)))
	}
	v.neededHosts = max(policy.Floor, max(hosts, minHosts)+draining)
	v.targetHosts = max(policy.Floor, max(hosts, minHosts)+draining+policy.Ready)
}

// shortPools returns the pools that lack hosts, those that lack most first.
func shortPools(names []string, views map[string]*poolView) []string {
	shortage := func(name string) int { return views[name].targetHosts - views[name].hostCount }
	out := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return shortage(n) <= 0 })
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(shortage(y), shortage(x)), strings.Compare(x, y))
	})
	return out
}

// hostFinder finds hosts for a pool.
type hostFinder struct {
	to      *poolView
	standby []*poolView
	views   map[string]*poolView
	names   []string
	kinds   map[string]bool // accepted kinds of hosts, nil for any
}

func (f hostFinder) matchesKind(h platform.Host) bool { return f.kinds == nil || f.kinds[kind(h)] }

// find returns a host and the pool that gives it: an idle host of a pool above its
// target, a host of a standby pool, or the least used host of a pool above its
// target. On a severe shortage it also takes hosts of pools that have more than
// they need but not more than their target.
func (f hostFinder) find(shortage int) (platform.Host, *poolView) {
	if h, v := f.takeSurplus(targetHosts, f.takeIdle); v != nil {
		return h, v // it need not move to standby first
	}
	for _, v := range f.standby {
		if h, ok := f.takeIdle(v); ok {
			return h, v
		}
	}
	if h, v := f.takeSurplus(targetHosts, f.takeBatch); v != nil || shortage < severeShortage {
		return h, v
	}
	if h, v := f.takeSurplus(neededHosts, f.takeIdle); v != nil {
		return h, v
	}
	return f.takeSurplus(neededHosts, f.takeBatch)
}

// severeShortage is the shortage, in hosts, from which other pools give up the
// hosts that they keep for load peaks. It is above the usual variation of a pool's
// need, which is one or two hosts between two plans.
const severeShortage = 3

func neededHosts(v *poolView) int { return v.neededHosts }
func targetHosts(v *poolView) int { return v.targetHosts }

// takeSurplus takes a host from a pool that has more hosts than it keeps.
func (f hostFinder) takeSurplus(kept func(v *poolView) int, take func(v *poolView) (platform.Host, bool)) (platform.Host, *poolView) {
	for _, name := range f.names {
		v := f.views[name]
		if v == f.to || v.standby || !v.loadKnown || v.hostCount <= kept(v) {
			continue
		}
		if h, ok := take(v); ok {
			return h, v
		}
	}
	return platform.Host{}, nil
}

// takeIdle takes an idle host from a pool.
func (f hostFinder) takeIdle(v *poolView) (platform.Host, bool) {
	i := slices.IndexFunc(v.idleHosts, f.matchesKind)
	if i < 0 {
		return platform.Host{}, false
	}
	h := v.idleHosts[i]
	v.idleHosts = slices.Delete(v.idleHosts, i, i+1)
	return h, true
}

// takeBatch takes the least used host with batch tasks only from a pool.
func (f hostFinder) takeBatch(v *poolView) (platform.Host, bool) {
	i := slices.IndexFunc(v.batchHosts, func(l usedHost) bool { return f.matchesKind(l.host) })
	if i < 0 {
		return platform.Host{}, false
	}
	h := v.batchHosts[i].host
	v.batchHosts = slices.Delete(v.batchHosts, i, i+1)
	return h, true
}
