package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/wire"
)

// Without the store an owner can't see whether its pool was claimed. It presumes that it still
// owns the pool up to the time until which each other process is known not to have claimed it:
// because that process has vouched for it, has promised not to claim it, or had ended. A process
// that is silent may be claiming the pool, however many others answer. What a process says counts
// from the time up to which its earlier lives can't have claimed the pool either: an owner that was
// replaced once must not go on when its successor has ended.

const (
	vouchPeriod      = time.Second            // between requests to a process that vouches
	vouchRetryPeriod = 500 * time.Millisecond // between requests to one that doesn't
	vouchTick        = 100 * time.Millisecond
	vouchTimeout     = time.Second

	maxLoggedProcesses = 10 // named in a log line
)

// voucher is what is known of another process: until when it can't have claimed pools of this one.
type voucher struct {
	asking    bool
	askedAt   time.Time
	vouched   bool                 // the last answer vouched for all pools
	answered  bool                 // the last request was answered
	storeless bool                 // the process did not reach the store when it answered
	until     map[string]time.Time // by pool
	from      map[string]time.Time // when the request was sent from whose outcome that follows, by pool
	endedAt   map[string]time.Time // when the last request was sent that found that no process listened, by pool
	withdrawn map[string]uint64    // last round whose answer does not count, by pool
	offered   map[string]bool      // pools that this process has offered to it
}

// voucher returns what is known of a process. The caller holds d.mu.
func (d *Daemon) voucher(node string) *voucher {
	v := d.vouchers[node]
	if v == nil {
		v = &voucher{until: map[string]time.Time{}, from: map[string]time.Time{}, endedAt: map[string]time.Time{}, withdrawn: map[string]uint64{}, offered: map[string]bool{}}
		d.vouchers[node] = v
	}
	return v
}

// reachesStore reports whether the process reached the store a moment ago.
func (v *voucher) reachesStore(now time.Time) bool {
	return v.answered && !v.storeless && now.Sub(v.askedAt) < 2*vouchPeriod
}

// seekVouchers asks the other processes to vouch for this one while it owns pools and can't reach
// the store.
func (d *Daemon) seekVouchers(ctx context.Context) error {
	return every(ctx, vouchTick, func() {
		now := time.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		pools := map[string]uint64{}
		for name, o := range d.owners {
			if o.StoreLost() {
				pools[name] = o.Token()
			}
		}
		d.logPresumptions(pools, now)
		if len(pools) == 0 {
			return
		}
		d.vouchRound++
		args := VouchArgs{d.self.Node, d.self.Life, d.vouchRound, pools}
		for node, p := range d.peers {
			v := d.voucher(node)
			period := vouchRetryPeriod
			switch {
			case v.vouched && v.storeless: // its promise lasts
				period = 2 * vouchPeriod
			case v.vouched, p.departed:
				period = vouchPeriod
			}
			if v.asking || now.Sub(v.askedAt) < period {
				continue
			}
			v.asking, v.askedAt = true, now
			go d.askToVouch(ctx, p, v, args)
		}
	})
}

func (d *Daemon) askToVouch(ctx context.Context, p *peer, v *voucher, args VouchArgs) {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	var reply VouchReply
	sentAt := time.Now()
	err := p.link.Call(ctx, "Peer.Vouch", args, &reply)
	d.mu.Lock()
	v.asking, v.vouched = false, err == nil && len(reply.Pools) == len(args.Pools)
	now := time.Now()
	for name := range args.Pools {
		o := d.owners[name]
		if o == nil {
			continue
		}
		confirmedAt, pausedAt := o.ConfirmedAt()
		v.forget(name, pausedAt)
		switch {
		case sentAt.Before(pausedAt):
		case errors.Is(err, wire.ErrNotListening):
			v.recordEnd(name, sentAt, now, confirmedAt)
		case slices.Contains(reply.Pools, name):
			v.record(name, args.Round, reply, sentAt, now, confirmedAt)
		}
	}
	v.storeless, v.answered = reply.Promise > 0, err == nil
	d.mu.Unlock()
	for _, own := range reply.Later {
		d.applyOwnership(own)
	}
}

// record records an answer to a request that was sent at sentAt and answered by now. The store
// confirmed the ownership at confirmedAt.
func (v *voucher) record(name string, round uint64, reply VouchReply, sentAt, now, confirmedAt time.Time) {
	if round <= v.withdrawn[name] {
		return
	}
	covered := later(v.until[name], confirmedAt)
	if now.Add(-ownClock(reply.Age)).After(covered) && now.Sub(v.endedAt[name]) >= ownClock(promiseTime) {
		return // an earlier life may have claimed the pool
	}
	delete(v.endedAt, name)
	v.extend(name, sentAt, sentAt.Add(ownClock(min(reply.Promise, promiseTime))))
}

// extend records until when the process can't have claimed a pool.
func (v *voucher) extend(name string, sentAt, until time.Time) {
	if until.After(v.until[name]) {
		v.until[name], v.from[name] = until, sentAt
	}
}

// forget drops what was found out about a pool before a pause: the clock by which it counts stops
// while the host is suspended.
func (v *voucher) forget(name string, pausedAt time.Time) {
	if v.from[name].Before(pausedAt) {
		delete(v.until, name)
		delete(v.endedAt, name)
	}
}

// recordEnd records that no process listened between the time when a request was sent and refusedAt.
// The next life claims nothing from an owner that may still act until it has run for promiseTime.
func (v *voucher) recordEnd(name string, sentAt, refusedAt, confirmedAt time.Time) {
	if refusedAt.After(later(v.until[name], confirmedAt)) && refusedAt.Sub(v.endedAt[name]) >= ownClock(promiseTime) {
		return // it may have claimed the pool before it ended
	}
	v.endedAt[name] = sentAt
	v.extend(name, sentAt, sentAt)
}

// ownClock returns how much of a time by another process's clock has surely passed by this one's.
func ownClock(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (1 - maxPromiseDrift))
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// withdraw makes this process count no longer on what another one has answered about a pool so
// far, and returns the last round of requests. The caller holds d.mu.
func (d *Daemon) withdraw(node, name string) (round uint64) {
	v := d.voucher(node)
	v.drop(name, d.vouchRound)
	v.offered[name] = true
	return d.vouchRound
}

// drop makes the answers up to a round count no longer for a pool.
func (v *voucher) drop(name string, round uint64) {
	delete(v.until, name)
	delete(v.endedAt, name)
	v.withdrawn[name], v.vouched = round, false
}

// notClaimedUntil returns until when no other process can have claimed a pool, zero if that is
// not known. Processes that have left do not count, as of the given version of the table of
// processes, nor does what was found out before a pause of this one.
func (d *Daemon) notClaimedUntil(name string, members uint64, pausedAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.membersRead {
		return time.Time{}
	}
	earliest := time.Now()
	for node, p := range d.peers {
		v := d.voucher(node)
		if p.departed && p.rowVersion <= members && !v.offered[name] {
			continue
		}
		v.forget(name, pausedAt)
		if until := v.until[name]; until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// logPresumptions logs for the pools without the store when their ownership begins and ceases to be
// presumed. The caller holds d.mu.
func (d *Daemon) logPresumptions(pools map[string]uint64, now time.Time) {
	for name := range d.presumed {
		if _, lost := pools[name]; !lost {
			delete(d.presumed, name)
		}
	}
	for name, token := range pools {
		var missing []string
		for node, p := range d.peers {
			if !p.departed && now.Sub(d.voucher(node).until[name]) > vouchPeriod+vouchTimeout {
				missing = append(missing, node)
			}
		}
		presumed := len(missing) == 0
		if was, known := d.presumed[name]; known && was == presumed {
			continue
		}
		d.presumed[name] = presumed
		slices.Sort(missing)
		d.log.WithFields(logrus.Fields{
			"pool": name, "token": token, "presumed": presumed, "missing": len(missing), "processes": missing[:min(len(missing), maxLoggedProcesses)],
		}).Info("ownership without the store")
	}
}
