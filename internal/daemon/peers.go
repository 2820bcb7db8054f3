package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

const (
	tableMember      = "member" // table of processes, by node name
	pingPeriod       = 250 * time.Millisecond
	pingTimeout      = 450 * time.Millisecond // for the answer to a ping
	suspicionTime    = pingTimeout            // a peer without an answer for this long may have failed
	peerTimeout      = 900 * time.Millisecond // a peer without an answer for this long counts as failed
	recentPeerWindow = 15 * time.Second       // peers that answered within this time count towards a majority
	maxLateness      = 200 * time.Millisecond // a process that runs later than this does not judge the silence of its peers
	maxExcuse        = 4 * time.Second        // for which a peer's silence may be excused, in case this process stays late
)

// memberRow is the stored entry of a process.
type memberRow struct {
	Addr string `json:"addr"`
	Life string `json:"life"`
}

// register writes this process's row to the store and retries until that succeeds.
func (d *Daemon) register(ctx context.Context) error {
	value, err := json.Marshal(memberRow{d.self.Addr, d.self.Life})
	if err != nil {
		return errors.Wrap(err, "encode the member row")
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, _, err := d.store.Commit(callCtx, platform.Transaction{
			Write: []platform.Row{{Table: tableMember, Key: d.self.Node, Value: value}},
		})
		cancel()
		if err == nil {
			return suture.ErrDoNotRestart
		}
		d.log.WithError(err).Info("registration failed; retrying")
		sleep(ctx, watchRetryDelay)
	}
	return ctx.Err()
}

// applyMemberRow applies the row of another process.
func (d *Daemon) applyMemberRow(r platform.Row) {
	if r.Deleted || r.Key == d.self.Node {
		return
	}
	var w memberRow
	err := json.Unmarshal(r.Value, &w)
	addr, addrErr := netip.ParseAddrPort(w.Addr)
	if err = errors.CombineErrors(err, addrErr); err != nil {
		d.log.WithField("member", r.Key).WithError(err).Error("decoding a member row failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.peers[r.Key]
	if old != nil && old.addr == addr {
		return
	}
	if old != nil {
		go old.link.Close()
	}
	d.peers[r.Key] = &peer{node: r.Key, addr: addr, link: wire.NewPeer(addr, wire.DefaultTiming(), nil)}
}

// peer is another process. Daemon.mu guards the fields from life on.
type peer struct {
	node               string
	addr               netip.AddrPort
	link               *wire.Peer
	life               string
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
	return p.life != "" && !p.refuses() && !p.silentFor(now, peerTimeout)
}

// refuses reports whether the peer refuses connections. A nil peer doesn't.
func (p *peer) refuses() bool { return p != nil && p.refusedConnections >= 2 }

// silentFor reports whether the peer has given no answer for a time that is not excused. A
// nil peer is silent.
func (p *peer) silentFor(now time.Time, t time.Duration) bool {
	return p == nil || now.Sub(p.answeredAt) >= t && now.Sub(p.excusedAt) >= t
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
		if alive == p.loggedAlive {
			continue
		}
		p.loggedAlive = alive
		fields := logrus.Fields{"peer": p.node, "alive": alive, "late-ms": d.recentLateness(now).Milliseconds()}
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

// Status is the argument and the reply of a ping.
type Status struct {
	Node    string
	Life    string // id of this run of the process
	Ready   bool
	Config  uint64 // version of the active configuration
	Owned   uint64 // sum of the fencing tokens of all known owners; grows with every change of owner
	Stopped bool
	// Processor is the processor time that the host gets in a second, in cores. It is 0 if
	// it is unknown, or from a process of a version without this field.
	Processor float64
}

func (d *Daemon) status() Status {
	s := Status{
		Node: d.self.Node, Life: d.self.Life, Ready: d.canOwn(), Stopped: d.stopping.Load(),
		Processor: d.settings.Limits.Processor,
	}
	if c := d.config.Load(); c != nil {
		s.Config = c.Version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, own := range d.ownerships {
		s.Owned += own.Token
	}
	return s
}

// canOwn reports whether this process is able to own pools.
func (d *Daemon) canOwn() bool {
	return d.config.Load() != nil && d.storeReachable() && !d.stopping.Load()
}

// pingPeers periodically asks every peer for its status.
func (d *Daemon) pingPeers(ctx context.Context) error {
	return every(ctx, pingPeriod, func() {
		status := d.status()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, p := range d.peers {
			if !p.pinging {
				p.pinging = true
				go d.ping(ctx, p, status)
			}
		}
	})
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
	p.pinging, p.lastError = false, err
	switch {
	case err == nil:
		p.life, p.answeredAt, p.refusedConnections, p.ready = reply.Life, now, 0, reply.Ready && !reply.Stopped
		p.processor, p.firstExcusedAt = reply.Processor, time.Time{}
	case errors.Is(err, wire.ErrUnreachable) && ctx.Err() == nil:
		p.refusedConnections++
	}
	d.mu.Unlock()
	if err == nil {
		d.fetchNewer(ctx, p, reply, status)
	}
}

// fetchNewer fetches the configuration and the owners from a peer whose status shows
// newer ones.
func (d *Daemon) fetchNewer(ctx context.Context, p *peer, theirs, ours Status) {
	if c := d.config.Load(); c == nil || theirs.Config > c.Version {
		d.fetchConfig(p, theirs.Config)
	}
	if theirs.Owned > ours.Owned {
		var owned []pool.Ownership
		if err := p.link.Call(ctx, "Peer.Owned", Empty{}, &owned); err == nil {
			for _, own := range owned {
				d.applyOwnership(own)
			}
		}
	}
}

const (
	configFetchDelay   = 500 * time.Millisecond // for the store to deliver a configuration that a peer already has
	maxConfigDelay     = 750 * time.Millisecond // for the store to deliver any, while newer ones come in quick succession
	configFetchTimeout = 2 * time.Second
)

// configFetch limits how often a process fetches a configuration from its peers. All of
// them have a new one at about the same time; fetched from each, a large one would fill
// the link of the host for seconds.
type configFetch struct {
	version     uint64 // the newest one known of
	seenAt      time.Time
	behindSince time.Time // since when a newer one than the active one is known of, zero if none is
	running     bool
}

// applied records the version of the active configuration.
func (f *configFetch) applied(version uint64) {
	if version >= f.version {
		f.behindSince = time.Time{}
	}
}

// begin reports whether to fetch a version now: it is known of for configFetchDelay, or
// some newer one for maxConfigDelay, and no fetch is under way.
func (f *configFetch) begin(version uint64, now time.Time) bool {
	if version > f.version {
		f.version, f.seenAt = version, now
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if f.running || now.Sub(f.seenAt) < configFetchDelay && now.Sub(f.behindSince) < maxConfigDelay {
		return false
	}
	f.running = true
	return true
}

// fetchConfig fetches a peer's configuration if the store has not delivered it in time.
func (d *Daemon) fetchConfig(p *peer, version uint64) {
	d.mu.Lock()
	due := d.configFetch.begin(version, time.Now())
	d.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
	defer cancel()
	var raw []byte
	if err := p.link.Call(ctx, "Peer.Config", Empty{}, &raw); err != nil {
		d.log.WithFields(logrus.Fields{"peer": p.node, "version": version}).WithError(err).Info("fetching the configuration from a peer failed")
	} else if len(raw) > 0 {
		d.applyConfig(raw, p.node)
	}
	d.mu.Lock()
	d.configFetch.running = false
	d.mu.Unlock()
}

// Empty is the argument of RPCs that take none.
type Empty struct{}

// SubmitArgs holds an encoded job and its pool.
type SubmitArgs struct {
	Pool string
	Job  []byte
}

// JobArgs names a pool and a job, queue, worker or lifetime in it.
type JobArgs struct {
	Pool string
	Name string
}

// Reply answers calls about a pool. Owner is false if the called process does not own
// the pool.
type Reply struct {
	Owner    bool
	Verdict  pool.Verdict
	State    string
	Count    int
	Lifetime string        // of the worker
	After    time.Duration // how long a refused caller should wait before a retry
	Load     place.Load
	Jobs     []place.JobView
}

// peerService holds the methods that other processes call.
type peerService struct{ d *Daemon }

// Ping returns this process's status.
func (s *peerService) Ping(args Status, reply *Status) error {
	*reply = s.d.status()
	return nil
}

// Config returns the active configuration as stored.
func (s *peerService) Config(_ Empty, reply *[]byte) error {
	if c := s.d.config.Load(); c != nil {
		*reply = c.raw
	}
	return nil
}

// Owned returns the latest known owner of each pool.
func (s *peerService) Owned(_ Empty, reply *[]pool.Ownership) error {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	for _, own := range s.d.ownerships {
		*reply = append(*reply, own)
	}
	return nil
}

// Take makes this process claim a pool that its owner hands over, and reports whether
// the claim succeeded.
func (s *peerService) Take(name string, reply *bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	*reply = s.d.claim(ctx, name, causeHandedOver) == nil
	return nil
}

const (
	handoverTimeout  = 1500 * time.Millisecond // for a handover to one process
	ownerCallTimeout = 2500 * time.Millisecond // for the answer of a pool's owner
)

// Submit submits a job to a pool owned by this process.
func (s *peerService) Submit(args SubmitArgs, reply *Reply) error {
	j, err := jobs.Decode(args.Job)
	if err != nil {
		return err
	}
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Verdict, reply.After = o.Submit(ctx, j)
	})
}

// State returns a job's state.
func (s *peerService) State(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		var state jobs.State
		state, reply.Verdict = o.State(ctx, jobs.ID(args.Name))
		reply.State = string(state)
	})
}

// Cancel cancels a job.
func (s *peerService) Cancel(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Verdict = o.Cancel(ctx, jobs.ID(args.Name))
	})
}

// Pending returns how many jobs of a queue have not started.
func (s *peerService) Pending(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Count, reply.Verdict = o.Pending(ctx, args.Name)
	})
}

// Vacate drains a worker and returns how many attempts still run there.
func (s *peerService) Vacate(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Count, reply.Lifetime, reply.Verdict = o.Vacate(ctx, args.Name)
	})
}

// Retire reports that a worker's lifetime has ended because its host was moved or
// maintained.
func (s *peerService) Retire(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(_ context.Context, o *pool.Owner) { o.Retire(args.Name) })
}

// Load returns the demand and the capacity of a pool.
func (s *peerService) Load(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Load, reply.Verdict = o.Load(ctx)
	})
}

// Jobs returns the progress of one job of a pool, or of all if no name is given.
func (s *peerService) Jobs(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Jobs, reply.Verdict = o.Views(ctx, jobs.ID(args.Name))
	})
}

// withOwner calls f with the pool's owner and sets reply.Owner. It does nothing if the
// pool is not owned by this process.
func (s *peerService) withOwner(name string, reply *Reply, f func(ctx context.Context, o *pool.Owner)) error {
	s.d.mu.Lock()
	o := s.d.owners[name]
	s.d.mu.Unlock()
	if o == nil {
		return nil
	}
	reply.Owner = true
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	f(ctx, o)
	return nil
}
