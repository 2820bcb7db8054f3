package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/gossip"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
)

const (
	tableMember      = "member"               // table of processes, by node name
	pingTimeout      = 450 * time.Millisecond // for the answer to a ping
	suspicionTime    = pingTimeout            // a peer without an answer for this long may have failed
	peerTimeout      = 900 * time.Millisecond // a peer without an answer for this long counts as failed
	recentPeerWindow = 15 * time.Second       // peers that answered within this time count towards a majority
	maxLateness      = 200 * time.Millisecond // a process that runs later than this does not judge the silence of its peers
	maxExcuse        = 4 * time.Second        // for which a peer's silence may be excused, in case this process stays late
)

// Status is the argument and the reply of a ping.
type Status struct {
	Node    string
	Life    string // id of this run of the process
	Ready   bool
	Config  uint64 // version of the active configuration
	Owned   uint64 // sum of the fencing tokens of all known owners; grows with every change of owner
	Stopped bool
	// Processor is the processor time that the host gets in a second, in cores, less if it has
	// become slow. It is 0 if it is unknown, or from a process of a version without this field.
	Processor float64
	// Incarnation and Sequence number the state, as in gossip.Update. Incarnation is 0
	// until the process has registered, and from a process of a version without this field.
	Incarnation uint64
	Sequence    uint64
	News        []gossip.Update // about other processes
}

func (d *Daemon) status() Status {
	s := Status{
		Node: d.self.Node, Life: d.self.Life, Ready: d.canOwn(), Stopped: d.stopping.Load(),
	}
	if c := d.config.Load(); c != nil {
		s.Config = c.Version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Processor = d.processor()
	for _, own := range d.ownerships {
		s.Owned += own.Token
	}
	// A process that has just started is presumed to become ready. If it said that it is not
	// yet, all processes that start together would have news about all of them.
	state := d.view.SetReady(s.Ready || !s.Stopped && time.Since(d.startedAt) < firstClaimDelay)
	s.Incarnation, s.Sequence = state.Incarnation, state.Sequence
	return s
}

// canOwn reports whether this process is able to own pools.
func (d *Daemon) canOwn() bool {
	return d.config.Load() != nil && d.storeReachable() && !d.stopping.Load()
}

// fetchNewer fetches the configuration and the owners from a peer whose status shows
// newer ones.
func (d *Daemon) fetchNewer(ctx context.Context, p *peer, theirs, ours Status) {
	if c := d.config.Load(); c == nil || theirs.Config > c.Version {
		d.fetchConfig(p, theirs.Config)
	}
	if theirs.Owned > ours.Owned {
		ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
		defer cancel()
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
	Pool    string
	Job     []byte
	Version uint64 // of the configuration that leads to this pool, 0 from a process of a version without this field
}

// RoutedArgs names a pool and a job or a queue in it, and the route by which the caller came.
// Without a route only this pool is asked.
type RoutedArgs struct {
	Pool    string
	Name    string
	Route   string
	Version uint64 // of the configuration that leads to this pool; 0 for a state or a length from a process of the last version

	// Organisation and PublicRoute are those of the caller, see pool.Caller; empty from a process
	// of a version without these fields.
	Organisation string
	PublicRoute  string
}

// caller returns on whose behalf the call is made.
func (a RoutedArgs) caller() caller {
	return caller{pool.Caller{Organisation: a.Organisation, PublicRoute: a.PublicRoute}, a.Version}
}

// CloseRouteArgs names a pool that is to accept no more jobs of a route that was opened at
// this version of the configuration or before.
type CloseRouteArgs struct {
	Pool    string
	Route   string
	Version uint64
}

// JobArgs names a pool and a job, worker or lifetime in it.
type JobArgs struct {
	Pool string
	Name string
}

// LoadArgs names a pool and the capacity of the hosts that are on their way to it.
type LoadArgs struct {
	Pool     string
	Arriving int // millicores, or growthUnknown; 0 from a process of a version without this field
}

// growthUnknown is given by callers that do not know which hosts are on their way.
const growthUnknown = -1

// VacateArgs names workers of a pool that are to become empty.
type VacateArgs struct {
	Pool    string
	Workers []string
}

// Reply answers calls about a pool. Owner is false if the called process does not own
// the pool.
type Reply struct {
	Owner    bool
	Token    uint64 // fencing token of the owner that answered
	Verdict  pool.Verdict
	State    string
	Count    int
	Holds    bool          // the pool may have jobs of the route
	Lifetime string        // of the worker
	After    time.Duration // how long a refused caller should wait before a retry
	Load     place.Load
	Jobs     []place.JobView
	Vacated  map[string]pool.Vacated // by worker; those that the pool does not have are missing
	Where    []place.StepPlacement

	Organisations []pool.OrganisationView
}

// set replaces the reply, but for what tells who answers.
func (r *Reply) set(o Reply) {
	o.Owner, o.Token = r.Owner, r.Token
	*r = o
}

// peerService holds the methods that other processes call.
type peerService struct{ d *Daemon }

// Ping takes in the status of the calling process and returns this one's.
func (s *peerService) Ping(args Status, reply *Status) error {
	s.d.mu.Lock()
	s.d.applyNews(args)
	p := s.d.peers[args.Node]
	whole := s.d.view.Whole()
	s.d.mu.Unlock()
	*reply = s.d.status()
	if p != nil && !whole {
		go s.d.fetchNewer(context.Background(), p, args, *reply)
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	reply.News = s.d.view.News(args.Node)
	return nil
}

// Members returns the state of every process as this one knows it.
func (s *peerService) Members(_ Empty, reply *[]gossip.Update) error {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	*reply = s.d.view.All()
	return nil
}

// Probe reports whether this process reaches another one.
func (s *peerService) Probe(node string, reply *bool) error {
	s.d.mu.Lock()
	p := s.d.peers[node]
	s.d.mu.Unlock()
	if p == nil {
		return errors.Wrapf(errUnknownPeer, "node %.100q", node)
	}
	var status Status
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	*reply = p.link.Call(ctx, "Peer.Ping", s.d.status(), &status) == nil
	return nil
}

// errUnknownPeer is returned to a process that asks about one that is not registered.
var errUnknownPeer = errors.New("the process is not registered")

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
	s.d.mu.Lock()
	token := s.d.ownerships[name].Token
	s.d.mu.Unlock()
	return s.take(name, token, reply)
}

func (s *peerService) take(name string, token uint64, reply *bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	*reply = s.d.claim(ctx, vacancy{name, token, causeHandedOver}) == nil
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
		reply.set(s.d.submit(ctx, o, j, args.Version))
	})
}

// State returns a job's state.
func (s *peerService) State(args RoutedArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.set(s.d.state(ctx, o, jobs.ID(args.Name), args.Route, args.caller()))
	})
}

// Find reports whether a pool has a job of a route that is closed there.
func (s *peerService) Find(args RoutedArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Verdict, reply.Holds = o.FindFor(ctx, jobs.ID(args.Name), args.Route, args.caller().Caller)
	})
}

// CloseRoute closes a route at a pool.
func (s *peerService) CloseRoute(args CloseRouteArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Verdict = o.CloseRoute(ctx, args.Route, args.Version)
	})
}

// Cancel cancels a job.
func (s *peerService) Cancel(args RoutedArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.set(s.d.cancelJob(ctx, o, jobs.ID(args.Name), args.Route, args.caller()))
	})
}

// Pending returns how many jobs of a queue have not started.
func (s *peerService) Pending(args RoutedArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.set(s.d.pendingJobs(ctx, o, args.Name, args.Route, args.caller()))
	})
}

// Vacate drains a worker and returns how many attempts still run there. Processes of the
// last version call it.
func (s *peerService) Vacate(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		var vacated map[string]pool.Vacated
		vacated, reply.Verdict = o.Vacate(ctx, []string{args.Name})
		state, known := vacated[args.Name]
		if reply.Verdict == pool.Accepted && !known {
			reply.Verdict = pool.Missing
		}
		reply.Count, reply.Lifetime = state.Left, state.Lifetime
	})
}

// VacateAll drains workers and returns the state of each that the pool has.
func (s *peerService) VacateAll(args VacateArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Vacated, reply.Verdict = o.Vacate(ctx, args.Workers)
	})
}

// Retire reports that a worker's lifetime has ended because its host was moved or
// maintained.
func (s *peerService) Retire(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(_ context.Context, o *pool.Owner) { o.Retire(args.Name) })
}

// Load returns the demand and the capacity of a pool.
func (s *peerService) Load(args LoadArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Load, reply.Verdict = o.Load(ctx, args.Arriving)
	})
}

// Jobs returns the progress of one job of a pool, or of all if no name is given.
func (s *peerService) Jobs(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Jobs, reply.Verdict = o.Views(ctx, jobs.ID(args.Name))
	})
}

// GiveBack tells that tasks of an organisation wait in another pool for what this pool does not
// need of its allotment.
func (s *peerService) GiveBack(args JobArgs, reply *Reply) error {
	return s.withOwner(args.Pool, reply, func(_ context.Context, o *pool.Owner) { o.GiveBack(args.Name) })
}

// Organisations returns what the organisations have in a pool.
func (s *peerService) Organisations(name string, reply *Reply) error {
	return s.withOwner(name, reply, func(ctx context.Context, o *pool.Owner) {
		reply.Organisations, reply.Verdict = o.Organisations(ctx)
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
	reply.Owner, reply.Token = true, o.Token()
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	f(ctx, o)
	return nil
}
