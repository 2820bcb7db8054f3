package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/gossip"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

// memberRow is the stored entry of a process.
type memberRow struct {
	Addr      string  `json:"addr"`
	Life      string  `json:"life"`
	Processor float64 `json:"processor,omitempty"` // as in Status
	// First is the version of the row from which on the process is known by this name and
	// address, 0 for this one's.
	First    uint64 `json:"first,omitempty"`
	Vouches  bool   `json:"vouches,omitempty"`  // false from a process of a version that claims whatever its row says
	Departed bool   `json:"departed,omitempty"` // the holder of the fleet has not heard of it for departTime
}

const maxProcessor = 100_000 // cores of a host

// register writes this process's row to the store and retries until that succeeds.
func (d *Daemon) register(ctx context.Context) error {
	for ctx.Err() == nil && !d.stopping.Load() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := d.writeMemberRow(callCtx)
		cancel()
		if err == nil {
			return suture.ErrDoNotRestart
		}
		d.log.WithError(err).Info("registration failed; retrying")
		sleep(ctx, watchRetryDelay)
	}
	return ctx.Err()
}

// writeMemberRow writes this process's row. An owner may know the process by its last row, unless
// that one has another address or says that the process has left.
func (d *Daemon) writeMemberRow(ctx context.Context) error {
	last, err := d.store.ReadRow(ctx, tableMember, "", d.self.Node)
	if err != nil {
		return err
	}
	w := memberRow{Addr: d.self.Addr, Life: d.self.Life, Processor: d.settings.Limits.Processor, Vouches: true}
	var before memberRow
	if last.Version > 0 && json.Unmarshal(last.Value, &before) == nil {
		if before.Life != d.self.Life {
			d.mu.Lock()
			d.restarted = true
			d.mu.Unlock()
		}
		if before.Addr == w.Addr && !before.Departed {
			w.First = cmp.Or(before.First, last.Version)
		}
	}
	value, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode the member row")
	}
	_, _, err = d.store.Commit(ctx, platform.Transaction{
		Expect: []platform.Row{{Table: tableMember, Key: d.self.Node, Version: last.Version}},
		Write:  []platform.Row{{Table: tableMember, Key: d.self.Node, Value: value}},
	})
	return err
}

// applyMemberRow applies the row of a process.
func (d *Daemon) applyMemberRow(r platform.Row) {
	if r.Deleted {
		return
	}
	var w memberRow
	err := json.Unmarshal(r.Value, &w)
	addr, addrErr := netip.ParseAddrPort(w.Addr)
	if err = errors.CombineErrors(err, addrErr); err == nil && (addr.Port() == 0 || w.Life == "" || w.Processor < 0 || w.Processor > maxProcessor) {
		err = errors.Wrapf(platform.ErrMalformed, "address %v, life %.60q, processor %v, allowed: a port, a life, 0 to %d", addr, w.Life, w.Processor, maxProcessor)
	}
	if err != nil {
		d.log.WithField("member", r.Key).WithError(err).Error("decoding a member row failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.membersVersion = max(d.membersVersion, r.Version)
	if r.Key == d.self.Node {
		d.applyOwnMemberRow(w, r.Version)
		return
	}
	if p := d.peers[r.Key]; w.Departed && p != nil && p.addr == addr {
		p.departed, p.rowVersion = true, r.Version
		return
	}
	d.view.Register(r.Key, r.Version)
	d.watchedAt = time.Time{}
	p := d.peers[r.Key]
	if p == nil || p.addr != addr {
		if p != nil {
			go p.link.Close()
		}
		p = &peer{node: r.Key, addr: addr, link: wire.NewPeer(addr, wire.ProbedTiming(), nil)}
		d.peers[r.Key] = p
	}
	p.row, p.rowLife, p.rowVersion, p.processor = w, w.Life, r.Version, cmp.Or(w.Processor, p.processor)
	p.departed, p.appliedAt = w.Departed, time.Now()
	p.report(d.view, time.Now())
}

// applyOwnMemberRow applies the row of this process. The caller holds d.mu.
func (d *Daemon) applyOwnMemberRow(w memberRow, version uint64) {
	switch {
	case w.Life != d.self.Life:
	case w.Departed:
		d.firstVersion = 0
		d.log.Warn("this process was taken for one that has left; registering again")
		go func() { _ = d.register(context.Background()) }() // retries until it succeeds
	default:
		d.firstVersion = cmp.Or(w.First, version)
		d.view.Register(d.self.Node, version)
	}
}

// knownMembers returns the version of the table of processes up to which this process knows them.
func (d *Daemon) knownMembers() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, d.membersVersion)
}

const (
	departTime   = 15 * time.Second // a process of which nothing is heard for this long counts as one that has left
	departPeriod = time.Second
)

// recordDepartures records the processes that have left, while this process holds the fleet. An owner
// without the store can't wait for them to vouch for it.
func (d *Daemon) recordDepartures(ctx context.Context) error {
	return every(ctx, departPeriod, func() {
		for _, r := range d.departedMembers(time.Now()) {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			_, _, err := d.store.Commit(callCtx, platform.Transaction{
				Expect: []platform.Row{{Table: tableMember, Key: r.Key, Version: r.Version}},
				Write:  []platform.Row{{Table: tableMember, Key: r.Key, Value: r.Value}},
			})
			cancel()
			d.log.WithField("peer", r.Key).WithError(err).Info("recording that a process has left")
		}
	})
}

// departedMembers returns the rows to write for the processes of which nothing was heard for
// departTime, with the versions of their present ones.
func (d *Daemon) departedMembers(now time.Time) (rows []platform.Row) {
	if !d.storeReachable() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keeper == nil || d.late(now) {
		return nil
	}
	for _, p := range d.peers {
		if p.departed || !p.row.Vouches || p.alive(now) || now.Sub(d.keeperSince) < departTime {
			continue
		}
		if heard := slices.MaxFunc([]time.Time{p.answeredAt, p.failedAt, p.appliedAt}, time.Time.Compare); now.Sub(heard) < departTime {
			continue
		}
		w := p.row
		w.Departed = true
		value, err := json.Marshal(w)
		if err != nil {
			d.log.WithField("peer", p.node).WithError(err).Error("can't encode a member row")
			continue
		}
		rows = append(rows, platform.Row{Key: p.node, Value: value, Version: p.rowVersion})
	}
	return rows
}

// peer is another process. Daemon.mu guards the fields from life on.
//
// Of a peer that is probed in every period there is evidence of this process's own: its
// answers, or their lack. Of the others there are reports, see package gossip.
type peer struct {
	node               string
	addr               netip.AddrPort
	link               *wire.Peer
	life               string
	rowLife            string    // life in the member row
	reported           bool      // not probed in every period; life, ready and failed are as reported
	row                memberRow // as stored, but for departed
	rowVersion         uint64    // of the member row
	departed           bool      // the member row says that it has left
	appliedAt          time.Time // when the member row of its life was applied
	failed             bool      // as reported
	failedAt           time.Time // when that was reported
	suspected          bool      // it left a probe unanswered that is not sent in every period
	probedAt           time.Time // when the last probe ended
	answered           bool      // the last probe was answered
	relaying           bool      // other processes are being asked to probe it
	relayedAt          time.Time // when that began last
	reachedAt          time.Time // when another process last reached it
	unreachedAt        time.Time // when another process last failed to reach it
	answeredAt         time.Time // time of the last answer
	refusedConnections int       // consecutive refused connections
	ready              bool      // the peer can own pools
	processor          float64   // as in Status
	pinging            bool
	excusedAt          time.Time // silence before this time does not count
	firstExcusedAt     time.Time // first excuse since the last answer, zero if there was none
	lastError          error     // of the last ping, nil if it was answered
	loggedAlive        bool      // as in the last log line about it
	silentSince        time.Time // last answer before that line, if it said that the peer is not alive
}

// alive reports whether the peer counts as alive.
func (p *peer) alive(now time.Time) bool {
	if p.reported {
		return !p.failed && p.life != ""
	}
	return p.life != "" && !p.refuses() && !p.silentFor(now, peerTimeout)
}

// refuses reports whether the peer refuses connections. A nil peer doesn't.
func (p *peer) refuses() bool { return p != nil && !p.reported && p.refusedConnections >= 2 }

// silentFor reports whether the peer has given no answer for a time that is not excused. A
// nil peer is silent.
func (p *peer) silentFor(now time.Time, t time.Duration) bool {
	if p != nil && p.reported {
		return p.failed
	}
	return p == nil || now.Sub(p.answeredAt) >= t && now.Sub(p.excusedAt) >= t
}

// report takes over what is reported of the peer, unless there is evidence of this
// process's own.
func (p *peer) report(v *gossip.View, now time.Time) {
	if !p.reported {
		return
	}
	failed := !v.Alive(p.node)
	if failed && !p.failed {
		p.failedAt = now
	}
	p.life, p.ready, p.failed = p.rowLife, v.Ready(p.node), failed
}

// probeAlways sets whether the peer is probed in every period from now on. One that was
// reported to be alive has peerTimeout to show it.
func (p *peer) probeAlways(always bool, v *gossip.View, now time.Time) {
	switch {
	case always && p.reported:
		p.reported, p.refusedConnections = false, 0
		if p.failed {
			p.life = ""
		} else {
			p.excusedAt, p.firstExcusedAt = now, now
		}
		p.loggedAlive = p.alive(now)
	case !always && !p.reported:
		p.reported, p.failed = true, false
		p.report(v, now)
	}
}

// excuse gives a peer that was alive at a time before now a new peerTimeout.
func (p *peer) excuse(before, now time.Time) {
	if !p.alive(before) || !p.firstExcusedAt.IsZero() && now.Sub(p.firstExcusedAt) > maxExcuse {
		return
	}
	p.excusedAt = now
	if p.firstExcusedAt.IsZero() {
		p.firstExcusedAt = now
	}
}

// recordLateness records that this process did something at now that was due earlier by
// the given time. If that is more than maxLateness, what looked like silence of its peers
// since then may have been its own. The caller holds d.mu.
func (d *Daemon) recordLateness(now time.Time, lateness time.Duration) {
	if lateness <= maxLateness || now.Sub(d.lateAt) < claimPeriod && lateness <= d.lateness {
		return
	}
	d.lateAt, d.lateness = now, lateness
	for _, p := range d.peers {
		p.excuse(now.Add(-lateness), now)
	}
}

// recentLateness returns by how much this process ran late within the last peerTimeout, 0 if
// it did not. The caller holds d.mu.
func (d *Daemon) recentLateness(now time.Time) time.Duration {
	if !d.late(now) {
		return 0
	}
	return d.lateness
}

// logLiveness logs which peers began or ceased to count as alive since the last call. The
// caller holds d.mu.
func (d *Daemon) logLiveness(now time.Time) {
	for _, p := range d.peers {
		alive := p.alive(now)
		if alive == p.loggedAlive || p.reported {
			continue
		}
		p.loggedAlive = alive
		fields := logrus.Fields{"peer": p.node, "alive": alive, "reported-failed": p.failed, "late-ms": d.recentLateness(now).Milliseconds()}
		switch {
		case !alive:
			p.silentSince = p.answeredAt
			fields["silent-ms"], fields["refused"] = now.Sub(p.answeredAt).Milliseconds(), p.refusedConnections
		case !p.silentSince.IsZero():
			fields["silent-ms"] = p.answeredAt.Sub(p.silentSince).Milliseconds()
		}
		d.log.WithFields(fields).WithError(p.lastError).Info("peer's liveness changed")
	}
}

// late reports whether this process ran late within the last peerTimeout. The caller
// holds d.mu.
func (d *Daemon) late(now time.Time) bool { return now.Sub(d.lateAt) < peerTimeout }
