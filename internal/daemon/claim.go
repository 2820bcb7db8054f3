package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/upkeep"
	"github.com/papayarudder/papayarudder/platform"
)

// fleetName is a reserved pool name. The process that owns it moves hosts between
// pools and puts them into maintenance.
const fleetName = "@fleet"

const (
	claimPeriod     = 50 * time.Millisecond
	startupDelay    = 300 * time.Millisecond // time to discover peers after a start
	firstClaimDelay = time.Second            // for pools that never had an owner, and until all peers are known, since all processes may be starting
	rankDelay       = 400 * time.Millisecond // each lower-ranked candidate waits this much longer
	lateClaimDelay  = 2 * time.Second        // a process that runs late leaves pools to others for this long
	readAheadRank   = 2                      // this many candidates for an ownerless pool read the workers before they claim it
)

// claimPools periodically claims the pools without an owner that fall to this process.
func (d *Daemon) claimPools(ctx context.Context) error {
	return every(ctx, claimPeriod, func() {
		due, unconfirmed := d.claimTick(time.Now())
		d.askPromised(ctx, time.Now())
		for _, name := range unconfirmed {
			go d.readHeartbeat(ctx, name)
		}
		for _, v := range due {
			go func() {
				if err := d.claim(ctx, v); err != nil {
					d.log.WithField("pool", v.pool).WithError(err).Info("claiming the pool failed")
				}
			}()
		}
	})
}

// claimCause tells in the log why a pool is claimed.
type claimCause string

// Causes of claims.
const (
	causeNoOwner    claimCause = "no owner yet"
	causeEnded      claimCause = "the owner ended"
	causeRefused    claimCause = "connections refused"
	causeSilent     claimCause = "silent"
	causeStandstill claimCause = "silent and heartbeat stood still"
	causeHandedOver claimCause = "handed over"
)

// certain reports whether the owner no longer acts, instead of being out of reach.
func (c claimCause) certain() bool { return c != causeSilent && c != causeStandstill }

// vacancy is a pool to claim.
type vacancy struct {
	pool  string
	token uint64 // of the ownership that ends
	cause claimCause
}

// claimTick is called every claimPeriod. It returns what claimable returns.
func (d *Daemon) claimTick(now time.Time) (due []vacancy, unconfirmed []string) {
	d.measureSpeed(now)
	d.mu.Lock()
	last := d.claimTickAt
	d.claimTickAt = now
	if !last.IsZero() {
		d.recordLateness(now, now.Sub(last)-claimPeriod)
	}
	d.logLiveness(now)
	d.mu.Unlock()
	return d.claimable(now)
}

// candidate is a process that can own pools.
type candidate struct {
	node      string
	owned     int     // pools that it owns
	processor float64 // as in Status
}

// heartbeat is the last version that this process read of the row that a pool's
// owner keeps updating in the store.
type heartbeat struct {
	requestedAt time.Time // when the last read began, whatever came of it
	version     uint64
	members     uint64    // version of the table of processes that the owner knew then, 0 if it did not tell
	foundAt     time.Time // when the first read that found this version had ended; zero before any read
	confirmedAt time.Time // when the last read that found it began
}

// request reports whether a read is due at now, and records that it begins.
func (b *heartbeat) request(now time.Time) bool {
	if now.Sub(b.requestedAt) < heartbeatReadPeriod {
		return false
	}
	b.requestedAt = now
	return true
}

// record records a read of the row, and reports whether the row changed
// since the read before.
func (b *heartbeat) record(found pool.Heartbeat, began, ended time.Time) bool {
	if began.Before(b.confirmedAt) {
		return false // a later read has already been recorded
	}
	b.confirmedAt = began
	if !b.foundAt.IsZero() && b.version == found.Version {
		return false
	}
	changed := !b.foundAt.IsZero()
	b.version, b.members, b.foundAt = found.Version, found.Members, ended
	return changed
}

// unchangedFor returns for how long the row has certainly kept its version: from the end
// of one read to the beginning of another. Reads in flight and failed ones show nothing.
func (b *heartbeat) unchangedFor() time.Duration { return max(0, b.confirmedAt.Sub(b.foundAt)) }

const (
	heartbeatReadPeriod = 300 * time.Millisecond  // between reads for an unreachable owner
	heartbeatTimeout    = 1500 * time.Millisecond // an owner whose row stays unchanged for this long has failed
	busyOwnerTimeout    = time.Second             // the same, if a majority of the processes can be reached
	maxBusyTime         = 3 * time.Second         // for which an owner may be silent and keep its pool by its heartbeat
)

// readHeartbeat reads from the store whether a pool's unreachable owner is alive. It
// returns at once if the last read began less than heartbeatReadPeriod ago.
func (d *Daemon) readHeartbeat(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d.recordHeartbeat(name, func() (pool.Heartbeat, error) {
		if name == fleetName {
			version, err := upkeep.HeartbeatVersion(ctx, d.store, name)
			return pool.Heartbeat{Version: version}, err
		}
		return pool.ReadHeartbeat(ctx, d.store, name)
	}, time.Now)
}

// recordHeartbeat calls read for the owner's row if that is due.
func (d *Daemon) recordHeartbeat(name string, read func() (pool.Heartbeat, error), clock func() time.Time) {
	began := clock()
	d.mu.Lock()
	b := d.heartbeats[name]
	if b == nil {
		b = &heartbeat{}
		d.heartbeats[name] = b
	}
	due := b.request(began)
	d.mu.Unlock()
	if !due {
		return
	}
	found, err := read()
	if err != nil {
		d.log.WithField("pool", name).WithError(err).Info("reading the owner's heartbeat failed")
		return
	}
	ended := clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.record(found, began, ended) {
		d.vacantSince[name] = ended // the owner runs, so that the candidates begin to wait again
	}
}

// claimable returns the pools that this process should claim now. In unconfirmed it
// returns pools whose owner's heartbeat in the store this process should read, since only
// that shows whether the owner failed: it is silent, and may be busy or unreachable only
// from here.
func (d *Daemon) claimable(now time.Time) (due []vacancy, unconfirmed []string) {
	c := d.config.Load()
	if c == nil || !d.canOwn() || now.Sub(d.startedAt) < startupDelay {
		return nil, nil
	}
	names := []string{fleetName}
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ownersRead || !d.membersRead {
		return nil, nil
	}
	majority := d.majority(now)
	candidates := []candidate{{node: d.self.Node, processor: d.processor()}}
	for _, p := range d.peers {
		if p.alive(now) && p.ready && !p.silentFor(now, suspicionTime) {
			candidates = append(candidates, candidate{node: p.node, processor: p.processor})
		}
	}
	delay := time.Duration(0)
	if d.late(now) && len(candidates) > 1 {
		delay = lateClaimDelay
	}
	var ownerless []string
	for _, name := range names {
		own, owned := d.ownerships[name]
		if owned && d.ownerAlive(own, now) && !d.ownerSuspected(own, now) {
			delete(d.vacantSince, name)
			delete(d.heartbeats, name)
			for i := range candidates {
				if candidates[i].node == own.Owner.Node {
					candidates[i].owned++
				}
			}
			continue
		}
		ownerless = append(ownerless, name)
	}
	for _, name := range ownerless {
		own := d.ownerships[name]
		if now.Sub(d.startedAt) < firstClaimDelay && (own.Token == 0 || !d.knowsAllPeers()) {
			continue
		}
		since, known := d.vacantSince[name]
		if !known {
			since = now
			d.vacantSince[name] = now
		}
		rank := rankCandidates(name, candidates)
		candidates[rank[0]].owned++
		self := slices.IndexFunc(rank, func(at int) bool { return candidates[at].node == d.self.Node })
		if self < readAheadRank && name != fleetName {
			d.needWorkers(now)
		}
		if now.Sub(since) < time.Duration(self)*rankDelay || d.claiming[name] || d.failureReported(own, now) {
			continue
		}
		still, cause := d.requiredStandstill(own, majority, now)
		if still > 0 || !cause.certain() {
			unconfirmed = append(unconfirmed, name)
			b := d.heartbeats[name]
			if b == nil || b.unchangedFor() < still {
				continue // the owner may run, and be busy or unreachable only from here
			}
			if name != fleetName && !cause.certain() && !d.mayClaim(b.members, b, now) {
				continue
			}
		}
		if !d.promised(name, now) && !d.ownerAlive(own, now) && now.Sub(since) >= time.Duration(self)*rankDelay+delay {
			due = append(due, vacancy{name, own.Token, cause})
		}
	}
	return due, unconfirmed
}

// knowsAllPeers reports whether each peer that is probed in every period has answered, and
// one has told of the others. The caller holds d.mu.
func (d *Daemon) knowsAllPeers() bool {
	for _, p := range d.peers {
		if !p.reported && p.life == "" || p.reported && !d.joined {
			return false
		}
	}
	return true
}

// failureReported reports whether the only evidence of an owner's failure is what others
// say. Its probes, which then begin, show within peerTimeout whether it is true. The caller
// holds d.mu.
func (d *Daemon) failureReported(own pool.Ownership, now time.Time) bool {
	p := d.peers[own.Owner.Node]
	return p != nil && p.reported && !d.ownerDead(own, now)
}

// requiredStandstill returns for how long the heartbeat of a pool's owner must have stood
// still before this process may claim the pool, 0 if the heartbeat does not matter, and
// the cause of such a claim. The caller holds d.mu.
func (d *Daemon) requiredStandstill(own pool.Ownership, majority bool, now time.Time) (time.Duration, claimCause) {
	p := d.peers[own.Owner.Node]
	switch {
	case own.Token == 0:
		return 0, causeNoOwner
	case d.ownerDead(own, now):
		return 0, causeEnded
	case !majority && p.refuses():
		return heartbeatTimeout, causeRefused
	case !majority:
		return heartbeatTimeout, causeStandstill
	case p.refuses():
		return 0, causeRefused
	case p.silentFor(now, maxBusyTime) && now.Sub(d.startedAt) >= maxBusyTime:
		return 0, causeSilent
	case own.Pool == fleetName: // its holder writes less often
		return heartbeatTimeout, causeStandstill
	}
	return busyOwnerTimeout, causeStandstill
}

// rankCandidates returns the indexes of the candidates for a pool, best first. The
// candidate comes first whose pools, with this one, would have the most processor time
// each. A hash of pool and node breaks ties, so that the order differs from pool to pool.
func rankCandidates(name string, candidates []candidate) []int {
	least := leastProcessor(candidates)
	load := func(c candidate) float64 {
		if c.processor > 0 {
			return float64(c.owned+1) / c.processor
		}
		return float64(c.owned+1) / least
	}
	index := make([]int, len(candidates))
	for i := range index {
		index[i] = i
	}
	slices.SortFunc(index, func(x, y int) int {
		return cmp.Or(
			cmp.Compare(load(candidates[x]), load(candidates[y])),
			cmp.Compare(xxh3.HashString(name+"/"+candidates[x].node), xxh3.HashString(name+"/"+candidates[y].node)),
		)
	})
	return index
}

// leastProcessor returns the smallest known processor time of the candidates, which
// stands for the unknown ones, or 1 if none is known.
func leastProcessor(candidates []candidate) float64 {
	least := 0.0
	for _, c := range candidates {
		if c.processor > 0 && (least == 0 || c.processor < least) {
			least = c.processor
		}
	}
	return cmp.Or(least, 1)
}

// ownerAlive reports whether the process that owns a pool is known to run. The caller
// holds d.mu.
func (d *Daemon) ownerAlive(own pool.Ownership, now time.Time) bool {
	if own.Owner.Node == d.self.Node {
		return own.Owner.Life == d.self.Life && (d.owners[own.Pool] != nil || d.keeper != nil && own.Pool == fleetName)
	}
	p := d.peers[own.Owner.Node]
	return p != nil && p.alive(now) && p.life == own.Owner.Life
}

// ownerSuspected reports whether the process that owns a pool has left a ping unanswered,
// which makes it worth reading its heartbeat. The caller holds d.mu.
func (d *Daemon) ownerSuspected(own pool.Ownership, now time.Time) bool {
	p := d.peers[own.Owner.Node]
	return p != nil && p.silentFor(now, suspicionTime)
}

// ownerDead reports whether the process that owned a pool has certainly ended, because
// the node runs a process with a newer life. The caller holds d.mu.
func (d *Daemon) ownerDead(own pool.Ownership, now time.Time) bool {
	if own.Owner.Node == d.self.Node {
		return true // ownerAlive already found that this process does not run the pool
	}
	p := d.peers[own.Owner.Node]
	if p == nil || !p.alive(now) || p.life == own.Owner.Life {
		return false
	}
	if !p.reported && p.rowLife == own.Owner.Life {
		return false
	}
	return p.rowVersion >= own.Version // else the row of the owner's life is on its way
}

// majority reports whether this process reaches more than half of the processes that
// were seen within recentPeerWindow. A process in the minority of a network partition
// must not claim pools from owners that may be alive. Between equal halves, the half
// with the lowest node name counts as the majority. The caller holds d.mu.
func (d *Daemon) majority(now time.Time) bool {
	alive, recent, first := 1, 1, d.self.Node
	reached := map[string]bool{d.self.Node: true}
	for _, p := range d.peers {
		seenAt := p.answeredAt
		switch {
		case p.reported && p.failed:
			seenAt = p.failedAt
		case p.reported:
			seenAt = now
		}
		if now.Sub(seenAt) > recentPeerWindow {
			continue
		}
		recent++
		first = min(first, p.node)
		if p.alive(now) {
			alive++
			reached[p.node] = true
		}
	}
	return (2*alive > recent || 2*alive == recent && reached[first]) && (d.view.Whole() || d.probesReachMost(now))
}

// probesReachMost reports whether most of the last probes were answered. A process that was
// cut off learns no more from reports that others have failed. The caller holds d.mu.
func (d *Daemon) probesReachMost(now time.Time) bool {
	answered, sent := 0, 0
	for _, p := range d.peers {
		if now.Sub(p.probedAt) > probeMemory || p.failed {
			continue
		}
		sent++
		if p.answered {
			answered++
		}
	}
	return 2*answered >= sent
}

// claim makes this process the owner of a pool and starts the owner.
func (d *Daemon) claim(ctx context.Context, v vacancy) error {
	name, cause := v.pool, v.cause
	d.mu.Lock()
	if d.claiming[name] || d.stopping.Load() || d.ownerships[name].Token != v.token || d.promised(name, time.Now()) {
		d.mu.Unlock()
		return errors.WithStack(errCannotClaim)
	}
	d.claiming[name] = true
	previous := d.ownerships[name]
	fields := d.claimFields(previous, cause, time.Now())
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.claiming, name)
		d.mu.Unlock()
	}()
	if name != fleetName {
		if err := d.awaitWorkers(ctx); err != nil {
			return err
		}
	}
	previous.Pool = name
	conditions, err := d.claimConditions(ctx, name, cause)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	own, err := pool.Claim(ctx, d.store, d.self, previous, conditions)
	if err != nil {
		d.recordClaimFailure(name, own.Token, err)
		d.refreshOwnership(ctx, name)
		return err
	}
	d.recordStoreAnswer()
	d.applyOwnership(own)
	d.log.WithFields(fields).WithFields(logrus.Fields{"pool": name, "token": own.Token}).Info("pool claimed")
	d.startOwner(own, sentAt)
	return nil
}

// recordClaimFailure records that a claim without an answer may still take effect. The caller does
// not hold d.mu.
func (d *Daemon) recordClaimFailure(name string, token uint64, err error) {
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotDone) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered[name] = max(d.unanswered[name], token)
}

// claimConditions returns what must hold when a claim takes effect. An owner that may still run
// must know this process, as of its heartbeat, which must not have changed by then.
func (d *Daemon) claimConditions(ctx context.Context, name string, cause claimCause) (pool.Conditions, error) {
	if name == fleetName || cause.certain() {
		d.mu.Lock()
		defer d.mu.Unlock()
		return pool.Conditions{Members: max(1, d.membersVersion)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	found, err := pool.ReadHeartbeat(ctx, d.store, name)
	if err != nil {
		return pool.Conditions{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.heartbeats[name]
	if cause == causeStandstill && (b == nil || b.version != found.Version) || !d.mayClaim(found.Members, b, time.Now()) {
		return pool.Conditions{}, errors.WithStack(errOwnerRuns)
	}
	return pool.Conditions{Members: max(1, d.membersVersion), LogVersion: found.Version}, nil
}

// mayClaim reports whether this process may claim a pool from an owner that may still run and
// that knows the processes as of the given version of their table. That owner must know this
// process, and an earlier life of this one may have promised not to claim the pool. The caller
// holds d.mu.
func (d *Daemon) mayClaim(members uint64, b *heartbeat, now time.Time) bool {
	if b != nil && ownClock(b.unchangedFor()) > pool.MaxPresumption {
		return true
	}
	if d.restarted && now.Sub(d.startedAt) < promiseTime {
		return false
	}
	if members == 0 {
		return true // a process of a version that does not tell
	}
	return d.firstVersion > 0 && d.firstVersion <= members && members <= d.membersVersion
}

// claimFields returns what the log tells about a claim, as it was when the claim began. The
// caller holds d.mu.
func (d *Daemon) claimFields(previous pool.Ownership, cause claimCause, now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"from": previous.Owner.Node, "cause": cause, "majority": d.majority(now),
		"late-ms": d.recentLateness(now).Milliseconds(),
	}
	if b := d.heartbeats[previous.Pool]; b != nil {
		fields["standstill-ms"] = b.unchangedFor().Milliseconds()
	}
	if p := d.peers[previous.Owner.Node]; p != nil && !p.answeredAt.IsZero() {
		fields["silent-ms"] = now.Sub(p.answeredAt).Milliseconds()
	}
	return fields
}

// refreshOwnership reads a pool's owner from the store after a failed claim.
func (d *Daemon) refreshOwnership(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	rows, _, err := d.store.ReadAll(ctx, pool.TableOwner, name)
	if err != nil {
		return // the feed of the ownership table will deliver it
	}
	for _, r := range rows {
		d.applyOwnerRow(r)
	}
}

// startOwner starts the pool's owner, or the keeper if the ownership is of the fleet. The claim
// was sent at claimSentAt.
func (d *Daemon) startOwner(own pool.Ownership, claimSentAt time.Time) {
	if own.Pool == fleetName {
		d.startKeeper(own)
		return
	}
	bounds := d.bounds()
	s := pool.Settings{
		Self: d.self, ClaimSentAt: claimSentAt, Store: d.store, Log: d.log, Recording: d.Recording, LookAhead: d.LookAhead,
		HandOver: d.handOverPool, Members: d.knownMembers,
		NotClaimedUntil: func(members uint64, pausedAt time.Time) time.Time {
			return d.notClaimedUntil(own.Pool, members, pausedAt)
		},
		Retention: bounds.StateRetention, MaxLease: bounds.MaxLease, Suspensions: d.suspensions, JobMemory: d.jobMemory, Looked: d.Looked,
	}
	s.HintQuota = d.hintQuota
	if d.advisor != nil {
		s.Advise = d.advisor.Advise
	}
	o := pool.New(context.Background(), own, s)
	d.mu.Lock()
	d.owners[own.Pool] = o
	d.tuneGC()
	entries := d.poolWorkers(own.Pool)
	d.outdated[o] = false // changes from now on are sent after these
	d.mu.Unlock()
	if c := d.config.Load(); c != nil {
		o.SetQueues(c.Queues)
		o.SetOrganisations(c.Organisations, c.Version)
	}
	d.sendWorkers(o, entries)
	go d.sendLatestWorkers(o)
	go o.Run()
	go func() {
		<-o.Ended()
		d.mu.Lock()
		if d.owners[own.Pool] == o {
			delete(d.owners, own.Pool)
			d.tuneGC()
			if o.Panicked() {
				d.vacantSince[own.Pool] = time.Time{} // others take this process for the owner, so none is waited for
			}
		}
		d.mu.Unlock()
	}()
}

const (
	gcPercent      = 100 // the default of the Go runtime
	ownerGCPercent = 400
)

// tuneGC sets how much a process collects garbage. An owner in a turn spends a fifth of its
// processor time on that, and its host has memory to spare; the limit of the memory holds
// all the same. The caller holds d.mu.
func (d *Daemon) tuneGC() {
	if len(d.owners) > 0 {
		d.setGCPercent(ownerGCPercent)
		return
	}
	d.setGCPercent(gcPercent)
}

func (d *Daemon) startKeeper(own pool.Ownership) {
	k := upkeep.New(upkeep.Settings{
		Own: own, Store: d.store, Machines: d.machines, Bounds: d.bounds(), Log: d.log,
		Waves: d.knownWaves, Config: func() *platform.Config {
			if c := d.config.Load(); c != nil {
				return &c.Config
			}
			return nil
		},
		Vacate: d.vacate, Retire: d.retire, Load: d.load, HandOver: d.handOverPool,
	})
	d.mu.Lock()
	d.keeper, d.keeperSince = k, time.Now()
	d.mu.Unlock()
	go func() {
		k.Run()
		d.mu.Lock()
		if d.keeper == k {
			d.keeper = nil
		}
		d.mu.Unlock()
	}()
}

func (d *Daemon) knownWaves() []platform.Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	var waves []platform.Wave
	for _, w := range d.waves {
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(x, y platform.Wave) int { return cmp.Compare(x.Number, y.Number) })
	return waves
}
