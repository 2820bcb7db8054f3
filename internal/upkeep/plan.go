package upkeep

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/platform"
)

// Policy holds the figures that a plan goes by.
type Policy struct {
	PoolShare   float64       // of a pool's hosts that may be away or on their way at once
	Ahead       int           // hosts that are emptied ahead of the wave's limit
	OrderGap    time.Duration // between two orders for the same host
	Maintenance time.Duration // that a host is down, as the platform says
	Slack       time.Duration // until a host that should be back counts as back
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy(maintenance time.Duration) Policy {
	return Policy{
		PoolShare:   0.34, // a third of a pool, which its lasting tasks spread over
		Ahead:       2,
		OrderGap:    500 * time.Millisecond,
		Maintenance: maintenance,
		Slack:       500 * time.Millisecond,
	}
}

// hostPlan is what is known of one host of a wave.
type hostPlan struct {
	ordered  time.Time // the newest order for it, zero if there was none
	begun    bool      // its maintenance has begun
	begunAt  time.Time
	emptying time.Time // since when its pool was asked to empty it
	left     int       // attempts that still run there
	asked    time.Time // when left was told
}

// wavePlan is the state of one wave.
type wavePlan struct {
	wave  platform.Wave
	seen  time.Time
	hosts map[string]*hostPlan
	done  bool
}

func newWavePlan(w platform.Wave, now time.Time) *wavePlan {
	p := &wavePlan{wave: w, seen: now, hosts: map[string]*hostPlan{}}
	for _, h := range w.Hosts {
		p.hosts[h] = &hostPlan{}
	}
	return p
}

// action is one thing to do for a host.
type action struct {
	host  platform.Host
	order bool // take it down; otherwise ask its pool to empty it
}

// freshLook is how old the word of a pool may be that a worker is empty.
const freshLook = 400 * time.Millisecond

// decide returns what to do now for a wave. hosts is the platform's list, listed
// when it was asked for. complete is true once every host that is still there
// has begun its maintenance.
func (p *wavePlan) decide(policy Policy, hosts []platform.Host, listed, now time.Time) (actions []action, complete bool) {
	down, open := 0, 0
	away := map[string]int{}
	size := map[string]int{}
	var waiting []platform.Host
	for _, h := range hosts {
		size[h.Pool]++
		hp := p.hosts[h.Name]
		if h.State != platform.HostUp {
			away[h.Pool]++
		}
		if hp == nil {
			continue
		}
		if p.mayBeDown(policy, hp, h, listed, now) {
			down++
		}
		if hp.begun {
			continue
		}
		open++
		if h.State == platform.HostUp {
			waiting = append(waiting, h)
		}
	}
	if open == 0 {
		return nil, len(hosts) > 0
	}
	slices.SortFunc(waiting, func(x, y platform.Host) int { return p.compare(x, y) })
	emptying := 0
	for _, h := range waiting {
		hp := p.hosts[h.Name]
		empty := h.Worker == "" || !hp.asked.IsZero() && hp.left == 0 && now.Sub(hp.asked) < freshLook
		if empty && down < p.wave.MaxAway && now.Sub(hp.ordered) > policy.OrderGap {
			down++
			away[h.Pool]++
			actions = append(actions, action{h, true})
			continue
		}
		if h.Worker == "" || emptying >= p.wave.MaxAway+policy.Ahead {
			continue
		}
		if hp.emptying.IsZero() && float64(away[h.Pool]+1) > max(1, policy.PoolShare*float64(size[h.Pool])) {
			continue
		}
		emptying++
		away[h.Pool]++
		actions = append(actions, action{h, false})
	}
	return actions, false
}

// mayBeDown reports whether a host counts against the wave's limit.
func (p *wavePlan) mayBeDown(policy Policy, hp *hostPlan, h platform.Host, listed, now time.Time) bool {
	if h.State == platform.HostMaintenance {
		return true
	}
	if hp.ordered.IsZero() {
		return false
	}
	// An order counts until the list shows the host up long enough after it.
	back := hp.ordered.Add(policy.Maintenance + policy.Slack)
	return now.Before(back) || listed.Before(back)
}

// compare puts hosts in the order in which they are taken: those that are being
// emptied, those with least left to run, then by pool and name.
func (p *wavePlan) compare(x, y platform.Host) int {
	hx, hy := p.hosts[x.Name], p.hosts[y.Name]
	class := func(h platform.Host, hp *hostPlan) int {
		switch {
		case h.Worker == "":
			return 0
		case !hp.emptying.IsZero():
			return 1
		}
		return 2
	}
	return cmp.Or(
		cmp.Compare(class(x, hx), class(y, hy)),
		hx.emptying.Compare(hy.emptying),
		strings.Compare(x.Name, y.Name),
	)
}
