package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/singleflight"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/gossip"
	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/upkeep"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

// Daemon is one process of the system. It owns some of the pools and forwards calls
// for the other pools to their owners.
type Daemon struct {
	// Recording receives the steps of the placement decisions of all pools that this
	// process owns. It must be set before Run; nil disables recording.
	Recording *event.Log
	// Looked, if set, receives each job that a decision looks at.
	Looked func(jobs.ID)
	// LookAhead makes the placement in pools that this process owns look ahead. It must be
	// set before Run.
	LookAhead bool

	settings    platform.Settings
	self        pool.Identity
	store       *platform.Store
	machines    *platform.Machines
	advisor     *platform.Advisor // nil if the platform has no advice service
	suspensions *pool.Suspensions
	jobMemory   *pool.JobMemory
	log         *logrus.Entry
	server      *wire.Server

	sendWorkers  func(o *pool.Owner, entries []platform.WorkerEntry)
	setGCPercent func(percent int) int

	config          atomic.Pointer[configuration]
	fresh           freshness      // of config
	refusals        *logs.Frequent // calls refused for their keys
	stopping        atomic.Bool
	storeAnsweredAt atomic.Int64 // Unix time in ms of the store's last answer
	storeFailing    atomic.Bool  // the last call for a table or a feed failed

	mu            sync.Mutex
	peers         map[string]*peer                // by node name
	view          *gossip.View                    // which of them run, as reported
	joined        bool                            // the membership as a whole was received from a peer once
	watched       []string                        // nodes of the owners that this process probes in every period
	watchedAt     time.Time                       // when they were computed
	relayed       int                             // counts the helpers of indirect probes
	owners        map[string]*pool.Owner          // pool owners that run in this process, by pool
	ownerships    map[string]pool.Ownership       // latest known owner of each pool
	ownersRead    bool                            // the ownership table has been read once
	workersRead   bool                            // the worker table has been read, and is followed
	workersUntil  time.Time                       // the worker table is followed until then, and while it is needed
	workersSignal chan struct{}                   // receives an item when the worker table is needed
	vacantSince   map[string]time.Time            // when a pool was first seen without an owner
	heartbeats    map[string]*heartbeat           // of owners that this process can't reach, by pool
	declined      map[string]time.Time            // when processes last failed to take over a pool, by node
	claiming      map[string]bool                 // pools with a claim in progress
	routes        map[string]*route               // by which jobs came, by host and prefix
	workers       map[string]platform.WorkerEntry // by worker id
	oddEntries    map[string]oddEntry             // malformed entries, by worker id
	outdated      map[*pool.Owner]bool            // owners that are being passed workers; true if newer ones wait
	waves         map[int]platform.Wave
	configFetch   configFetch
	keeper        *upkeep.Keeper
	keeperSince   time.Time // when it was started
	startedAt     time.Time
	claimTickAt   time.Time     // when claimTick was called last
	lateAt        time.Time     // when this process was last found late
	lateness      time.Duration // by how much it was late then
	speed         speedometer

	membersRead    bool                    // the table of processes has been read once
	membersVersion uint64                  // highest version of a row of it that was applied
	firstVersion   uint64                  // as of which version of it this process is known to the others, 0 before
	restarted      bool                    // an earlier life of this process was registered
	promises       map[promiseKey]*promise // to owners without the store
	vouchers       map[string]*voucher     // by node
	storeCheck     singleflight.Group      // calls of checkStore
	unanswered     map[string]uint64       // highest token of a claim without an answer, by pool
	vouchRound     uint64                  // of the last requests to vouch
	presumed       map[string]bool         // pools without the store: whether their ownership is presumed, as logged
}

// New returns a process; Run starts it.
func New(settings platform.Settings, log *logrus.Entry) *Daemon {
	addr := netip.AddrPortFrom(settings.Callers.Addr(), settings.FirstInternalPort)
	d := &Daemon{
		settings: settings, log: log, refusals: logs.NewFrequent(log), suspensions: pool.NewSuspensions(), jobMemory: pool.NewJobMemory(memoryOf(settings.Limits)),
		self:  pool.Identity{Node: settings.Node, Addr: addr.String(), Life: uuid.NewString()},
		store: platform.NewStore(settings.Store), machines: platform.NewMachines(settings.Machines),
		server: wire.NewLimitedServer(peerLimits(settings.Limits)), peers: map[string]*peer{}, view: gossip.New(settings.Node), owners: map[string]*pool.Owner{},
		ownerships: map[string]pool.Ownership{}, vacantSince: map[string]time.Time{}, heartbeats: map[string]*heartbeat{}, claiming: map[string]bool{}, routes: map[string]*route{}, declined: map[string]time.Time{},
		outdated: map[*pool.Owner]bool{}, sendWorkers: (*pool.Owner).SetWorkers, setGCPercent: debug.SetGCPercent,
		promises: map[promiseKey]*promise{}, unanswered: map[string]uint64{}, vouchers: map[string]*voucher{}, presumed: map[string]bool{},
		workers: map[string]platform.WorkerEntry{}, oddEntries: map[string]oddEntry{}, workersSignal: make(chan struct{}, 1), waves: map[int]platform.Wave{},
	}
	if settings.Advice.IsValid() {
		d.advisor = platform.NewAdvisor(settings.Advice)
	}
	return d
}

// AdminPort is the port of the operators' interface and the metrics. It is the same
// on every host, because deploy/system.toml gives it to the platform.
const AdminPort = 9464

// Run serves until ctx ends. Then it reports itself not ready, so that the load
// balancer stops sending callers, hands its pools over and answers the requests in
// flight.
func (d *Daemon) Run(ctx context.Context) error {
	d.startedAt = time.Now()
	d.log.WithFields(logrus.Fields{"life": d.self.Life, "zone": d.settings.Zone}).Info("process started")
	if err := d.server.Register("Peer", &peerService{d}); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	front := &http.Server{Addr: d.settings.Callers.String(), Handler: http.HandlerFunc(d.serveCaller), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
	health := http.NewServeMux()
	health.HandleFunc("GET "+platform.ReadyPath, d.serveReady)
	ready := &http.Server{Addr: d.settings.Readiness.String(), Handler: health, ReadHeaderTimeout: 3 * time.Second}
	gate := intake.New(intake.LimitsOf(int64(d.settings.Limits.MemoryMB)<<20, d.settings.Limits.Descriptors), d.log)
	gate.Publish()
	d.jobMemory.Publish()
	probes := intake.New(intake.Limits{Bytes: probeBytes, Conns: probeConns}, d.log)
	meters := d.adminMux()
	meters.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	metricsAddr := netip.AddrPortFrom(d.settings.Callers.Addr(), AdminPort)
	meter := &http.Server{Addr: metricsAddr.String(), Handler: meters, ReadHeaderTimeout: 3 * time.Second}

	work, stop := context.WithCancel(context.Background())
	defer stop()
	tree := suture.New("papayarudder", suture.Spec{EventHook: func(e suture.Event) { d.log.WithField("event", e.String()).Error("internal service failed") }})
	add := func(f func(ctx context.Context) error) { tree.Add(serviceFunc(f)) }
	add(d.servePeers(listener))
	add(serveHTTP(front, gate))
	add(serveHTTP(ready, probes))
	add(serveHTTP(meter, gate))
	add(d.register)
	add(d.watch(platform.TableOperator, d.readOperator, eachRow(d.applyOperatorRow)))
	add(d.followWorkers)
	add(d.watch(pool.TableOwner, d.readOwners, eachRow(d.applyOwnerRow)))
	add(d.watch(tableMember, d.readMembers, eachRow(d.applyMemberRow)))
	add(d.probePeers)
	add(d.claimPools)
	add(d.rebalancePools)
	add(d.seekVouchers)
	add(d.recordDepartures)
	done := tree.ServeBackground(work)

	<-ctx.Done()
	d.log.Info("process stopping")
	front.SetKeepAlivesEnabled(false)
	drainEnd := time.Now().Add(balancerDelay(d.bounds().Grace))
	d.handOverAll()
	sleep(work, time.Until(drainEnd)) // late calls are forwarded to the new owners
	shutCtx, cancel := context.WithTimeout(context.Background(), d.bounds().Grace/2)
	defer cancel()
	err = front.Shutdown(shutCtx)
	stop()
	<-done
	d.server.Close()
	d.log.Info("process stopped")
	return errors.Wrap(err, "shut down the callers' server")
}

// balancerDelay returns how long a stopping process keeps answering callers. The load
// balancer checks readiness once a second and removes a process after two failed
// checks.
func balancerDelay(grace time.Duration) time.Duration {
	const removalTime = 2500 * time.Millisecond
	return min(removalTime, grace*2/5)
}

// Reload applies the bounds of settings that changed while the process runs. All
// other settings, such as addresses, take effect at the next start.
func (d *Daemon) Reload(settings platform.Settings) {
	d.log.WithField("grace-s", settings.Bounds.Grace.Seconds()).Info("settings reloaded")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.Bounds = settings.Bounds
}

// bounds returns the platform's current bounds.
func (d *Daemon) bounds() platform.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.Bounds
}

// serviceFunc adapts a function to the supervisor's service interface.
type serviceFunc func(ctx context.Context) error

// Serve calls f.
func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

// servePeers returns a service that answers the RPCs of other processes.
func (d *Daemon) servePeers(listener net.Listener) serviceFunc {
	return func(ctx context.Context) error {
		release := context.AfterFunc(ctx, func() { _ = listener.Close() }) // an error has no effect: the process is stopping
		defer release()
		err := d.server.Serve(listener)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
}

// Limits of the readiness checks, which callers can't use up.
const (
	probeBytes = 1 << 20
	probeConns = 64
)

// memoryOf returns the memory of the process in bytes.
func memoryOf(l platform.Limits) int64 {
	if l.MemoryMB == 0 {
		return intake.DefaultMemory
	}
	return int64(l.MemoryMB) << 20
}

// peerLimits returns the limits of calls from other processes. Their longest message, a job, is a
// row of the store.
func peerLimits(l platform.Limits) wire.ServerLimits {
	const (
		message = 4 << 20 // bytes
		calls   = 4096
	)
	shares := intake.LimitsOf(int64(l.MemoryMB)<<20, l.Descriptors)
	return wire.ServerLimits{Message: message, Bytes: shares.Bytes, Conns: shares.Conns / 3, Calls: calls}
}

// serveHTTP returns a service that runs an HTTP server behind a gate.
func serveHTTP(s *http.Server, gate *intake.Gate) serviceFunc {
	gate.Guard(s)
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		// Serve returns as soon as a graceful shutdown begins. Releasing
		// the function keeps the end of ctx from cutting off requests in flight.
		release := context.AfterFunc(ctx, func() { _ = s.Close() }) // an error has no effect: the process is stopping
		err = s.Serve(gate.Listener(listener))
		release()
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return errors.Wrap(err, "serve")
	}
}

// every calls f once a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		f()
	}
}

// sleep waits for t or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
