package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/gossip"
	"github.com/papayarudder/papayarudder/internal/wire"
)

const (
	pingPeriod      = 250 * time.Millisecond
	watchersPerPool = 4                      // best-ranked candidates for a pool that probe its owner in every period
	verifiers       = 16                     // the same, of an owner that is reported as failed
	watchPeriod     = time.Second            // between computations of the owners to probe
	relayHelpers    = 2                      // processes that are asked to probe a silent one
	relayPeriod     = 500 * time.Millisecond // between such requests about one process
	relayTimeout    = time.Second
	probeMemory     = 5 * time.Second       // for which the result of a probe tells whether this process is cut off
	minSyncPeriod   = 5 * time.Second       // between exchanges of the whole membership
	syncPerMember   = 50 * time.Millisecond // added to that for each process, so that the bytes a second are bounded
	maxNewsAccepted = 64                    // updates in a message; more are ignored
)

var metricNewsIgnored = metrics.NewCounter("papayarudder_news_ignored_total")

// probePeers sends the probes of every period and exchanges the membership as a whole from
// time to time.
func (d *Daemon) probePeers(ctx context.Context) error {
	var syncedAt time.Time
	syncs := 0
	return every(ctx, pingPeriod, func() {
		now := time.Now()
		d.fresh.noteRunning(now)
		d.probeTick(ctx, now)
		d.mu.Lock()
		n, _ := d.view.Len()
		due := !d.view.Whole() && (!d.joined || now.Sub(syncedAt) >= max(minSyncPeriod, time.Duration(n)*syncPerMember))
		var p *peer
		if due {
			syncs++
			p = d.peers[d.view.Distant(syncs)]
		}
		d.mu.Unlock()
		if p != nil {
			syncedAt = now
			go d.syncMembers(ctx, p)
		}
	})
}

// probeTick begins the probes of a period and reports the peers that failed.
func (d *Daemon) probeTick(ctx context.Context, now time.Time) {
	status := d.status()
	d.mu.Lock()
	defer d.mu.Unlock()
	neighbours, other := d.view.Targets()
	always := map[string]bool{}
	for _, node := range neighbours {
		always[node] = true
	}
	if !d.view.Whole() && now.Sub(d.watchedAt) >= watchPeriod {
		d.watched, d.watchedAt = d.ownersToWatch(now), now
	}
	for _, node := range d.watched {
		always[node] = true
	}
	for node, p := range d.peers {
		p.probeAlways(always[node] || p.suspected, d.view, now)
		d.judge(ctx, p, now)
		if !p.pinging && (!p.reported || node == other) {
			p.pinging = true
			s := status
			s.News = d.view.News(node)
			go d.ping(ctx, p, s)
		}
	}
}

// ownersToWatch returns the nodes of the owners that this process probes in every period:
// it would be among the first to succeed them. The caller holds d.mu.
func (d *Daemon) ownersToWatch(now time.Time) []string {
	owned := map[string]int{}
	for _, own := range d.ownerships {
		owned[own.Owner.Node]++
	}
	candidates := []candidate{{node: d.self.Node, owned: owned[d.self.Node], processor: d.processor()}}
	for _, p := range d.peers {
		if p.alive(now) && p.ready {
			candidates = append(candidates, candidate{node: p.node, owned: owned[p.node], processor: p.processor})
		}
	}
	var nodes []string
	for name, own := range d.ownerships {
		p := d.peers[own.Owner.Node]
		if p == nil || slices.Contains(nodes, p.node) {
			continue
		}
		limit := watchersPerPool
		if !d.view.Alive(p.node) {
			limit = verifiers
		}
		others := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.node == p.node })
		rank := rankCandidates(name, others)
		if slices.ContainsFunc(rank[:min(limit, len(rank))], func(i int) bool { return others[i].node == d.self.Node }) {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

// judge reports a probed peer as failed if its connections are refused, or if it is silent
// and another process doesn't reach it either. The caller holds d.mu.
func (d *Daemon) judge(ctx context.Context, p *peer, now time.Time) {
	if p.reported || !d.view.Alive(p.node) {
		p.suspected = false
		return
	}
	switch {
	case p.refuses():
	case p.answeredAt.IsZero() && p.probedAt.IsZero(), !p.silentFor(now, suspicionTime), d.late(now):
		return
	case p.unreachedAt.After(p.answeredAt) && p.unreachedAt.After(p.reachedAt) && p.silentFor(now, peerTimeout):
	case !p.relaying && now.Sub(p.relayedAt) >= relayPeriod:
		p.relaying, p.relayedAt = true, now
		go d.relayProbe(ctx, p)
		return
	default:
		return
	}
	if d.view.Fail(p.node) {
		d.log.WithFields(logrus.Fields{"peer": p.node, "refused": p.refusedConnections, "silent-ms": now.Sub(p.answeredAt).Milliseconds()}).Info("process reported as failed")
		d.reportChanged(p.node)
	}
}

// relayProbe asks other processes to probe a silent peer.
func (d *Daemon) relayProbe(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	d.mu.Lock()
	helpers := d.relays(p)
	d.mu.Unlock()
	type result struct{ reached, known bool }
	results := make(chan result, len(helpers))
	for _, h := range helpers {
		go func() {
			var reached bool
			err := h.link.Call(ctx, "Peer.Probe", p.node, &reached)
			results <- result{reached, err == nil}
		}()
	}
	reached, unreached := false, false
	for range helpers {
		r := <-results
		reached = reached || r.known && r.reached
		unreached = unreached || r.known && !r.reached
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	p.relaying = false
	switch {
	case reached:
		p.reachedAt = now
	case unreached:
		p.unreachedAt = now
	}
}

// relays returns processes that this one probably reaches, other than p. The caller holds
// d.mu.
func (d *Daemon) relays(p *peer) []*peer {
	var helpers []*peer
	for n := range 4 * relayHelpers {
		h := d.peers[d.view.Distant(d.relayed+n)]
		if h != nil && h != p && !slices.Contains(helpers, h) {
			helpers = append(helpers, h)
		}
		if len(helpers) == relayHelpers {
			break
		}
	}
	d.relayed += relayHelpers
	return helpers
}

func (d *Daemon) ping(ctx context.Context, p *peer, status Status) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	began := time.Now()
	var reply Status
	err := p.link.Call(ctx, "Peer.Ping", status, &reply)
	now := time.Now()
	d.mu.Lock()
	if ctx.Err() != nil {
		d.recordLateness(now, now.Sub(began)-pingTimeout)
	}
	p.pinging, p.lastError, p.probedAt, p.answered = false, err, now, err == nil
	switch {
	case err == nil:
		d.recordAnswer(p, reply, now)
	case errors.Is(err, wire.ErrNotListening):
		p.refusedConnections++
	default:
		p.refusedConnections = 0 // the process may have been started again since
	}
	if err != nil && p.reported && !p.failed && !d.late(now) {
		p.suspected = true // probed from now on until it answers or is reported as failed
	}
	d.mu.Unlock()
	if err == nil {
		d.fetchNewer(ctx, p, reply, status)
	}
}

// recordAnswer records a peer's answer to a probe. The caller holds d.mu.
func (d *Daemon) recordAnswer(p *peer, reply Status, now time.Time) {
	d.applyNews(reply)
	p.answeredAt, p.refusedConnections, p.firstExcusedAt, p.suspected = now, 0, time.Time{}, false
	p.processor = reply.Processor
	if !p.reported {
		p.life, p.ready = reply.Life, reply.Ready && !reply.Stopped
	}
}

// applyNews takes in what a process says of itself and of others. The caller holds d.mu.
func (d *Daemon) applyNews(s Status) {
	news := s.News
	if len(news) > maxNewsAccepted {
		if metricNewsIgnored.Get() == 0 {
			d.log.WithFields(logrus.Fields{"peer": s.Node, "updates": len(news)}).Warn("oversized news: the rest is ignored, and further ones are only counted")
		}
		metricNewsIgnored.Add(len(news) - maxNewsAccepted)
		news = news[:maxNewsAccepted]
	}
	own := gossip.Update{Node: s.Node, Incarnation: s.Incarnation, Sequence: s.Sequence, Ready: s.Ready && !s.Stopped}
	d.reportChanged(d.view.Apply(append(slices.Clone(news), own))...)
}

// reportChanged takes over what is newly reported of the given nodes. The caller holds d.mu.
func (d *Daemon) reportChanged(nodes ...string) {
	for _, node := range nodes {
		if p := d.peers[node]; p != nil {
			p.report(d.view, time.Now())
		}
		for _, own := range d.ownerships {
			if own.Owner.Node == node {
				d.watchedAt = time.Time{}
			}
		}
	}
}

// syncMembers takes in the whole membership as a peer knows it: all of it after a start, what
// was missed later.
func (d *Daemon) syncMembers(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var all []gossip.Update
	if err := p.link.Call(ctx, "Peer.Members", Empty{}, &all); err != nil {
		return // another one is asked in the next period
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joined = true
	d.reportChanged(d.view.Apply(all)...)
}
