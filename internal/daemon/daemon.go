package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/upkeep"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

// Daemon is one process of the system.
type Daemon struct {
	// Recording takes the steps of the decisions of all pools that this process
	// owns, nil for none. It is set before Run.
	Recording *event.Log

	settings platform.Settings
	self     pool.Identity
	store    *platform.Store
	machines *platform.Machines
	advisor  *platform.Advisor // nil where there is none
	log      *logrus.Entry
	server   *wire.Server

	config    atomic.Pointer[configuration]
	stopping  atomic.Bool
	storeSeen atomic.Int64 // Unix time in ms of the last answer of the store

	mu          sync.Mutex
	peers       map[string]*peer                // by node
	owners      map[string]*pool.Owner          // that this process runs
	owned       map[string]pool.Ownership       // the newest that is known, by pool
	read        bool                            // the table of owners has been read
	workersRead bool                            // the table of workers has been read
	vacant      map[string]time.Time            // since when a pool seems to have no owner
	beats       map[string]beat                 // of owners out of reach, by pool
	claiming    map[string]bool                 // pools with a claim on its way
	workers     map[string]platform.WorkerEntry // by id
	waves       map[int]platform.Wave
	keeper      *upkeep.Keeper
	began       time.Time
}

// New returns a process that is not running yet.
func New(settings platform.Settings, log *logrus.Entry) *Daemon {
	addr := netip.AddrPortFrom(settings.Callers.Addr(), settings.FirstInternalPort)
	d := &Daemon{
		settings: settings, log: log,
		self:  pool.Identity{Node: settings.Node, Addr: addr.String(), Life: uuid.NewString()},
		store: platform.NewStore(settings.Store), machines: platform.NewMachines(settings.Machines),
		server: wire.NewServer(), peers: map[string]*peer{}, owners: map[string]*pool.Owner{},
		owned: map[string]pool.Ownership{}, vacant: map[string]time.Time{}, beats: map[string]beat{}, claiming: map[string]bool{},
		workers: map[string]platform.WorkerEntry{}, waves: map[int]platform.Wave{},
	}
	if settings.Advice.IsValid() {
		d.advisor = platform.NewAdvisor(settings.Advice)
	}
	return d
}

// AdminPort is the port of the operators' interface and the metrics, the same on
// every host: deploy/system.toml names it.
const AdminPort = 9464

// Run serves until ctx ends. Then it leaves the balancer, hands its pools over
// and finishes what callers wait for.
func (d *Daemon) Run(ctx context.Context) error {
	d.began = time.Now()
	d.log.WithFields(logrus.Fields{"life": d.self.Life, "zone": d.settings.Zone}).Info("process started")
	if err := d.server.Register("Peer", &peerService{d}); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.self.Addr)
	if err != nil {
		return errors.Wrap(err, "peers' address")
	}
	front := &http.Server{Addr: d.settings.Callers.String(), Handler: http.HandlerFunc(d.serveCaller), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
	health := http.NewServeMux()
	health.HandleFunc("GET "+platform.ReadyPath, d.serveReady)
	ready := &http.Server{Addr: d.settings.Readiness.String(), Handler: health, ReadHeaderTimeout: 3 * time.Second}
	meters := d.adminMux()
	meters.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	metricsAddr := netip.AddrPortFrom(d.settings.Callers.Addr(), AdminPort)
	meter := &http.Server{Addr: metricsAddr.String(), Handler: meters, ReadHeaderTimeout: 3 * time.Second}

	work, stop := context.WithCancel(context.Background())
	defer stop()
	tree := suture.New("papayarudder", suture.Spec{EventHook: func(e suture.Event) { d.log.WithField("event", e.String()).Error("part failed") }})
	add := func(f func(ctx context.Context) error) { tree.Add(part(f)) }
	add(d.servePeers(listener))
	add(serveHTTP(front))
	add(serveHTTP(ready))
	add(serveHTTP(meter))
	add(d.register)
	add(d.watch(platform.TableOperator, d.readOperator, d.operatorRow))
	add(d.watch(platform.TableWorkers, d.readWorkers, d.workerRow))
	add(d.watch(pool.TableOwner, d.readOwners, d.ownerRow))
	add(d.watch(tableMember, d.readMembers, d.memberRow))
	add(d.pingPeers)
	add(d.claimPools)
	done := tree.ServeBackground(work)

	<-ctx.Done()
	d.log.Info("process stopping")
	front.SetKeepAlivesEnabled(false)
	left := time.Now().Add(leaveTime(d.bounds().Grace))
	d.handOver()
	pause(work, time.Until(left)) // calls that still come are passed on to the new owners
	shutCtx, cancel := context.WithTimeout(context.Background(), d.bounds().Grace/2)
	defer cancel()
	err = front.Shutdown(shutCtx)
	stop()
	<-done
	d.server.Close()
	d.log.Info("process stopped")
	return errors.Wrap(err, "callers' connections")
}

// leaveTime returns how long a process that stops goes on answering, so that the
// balancer, which asks once a second and needs two misses, has sent its callers
// elsewhere.
func leaveTime(grace time.Duration) time.Duration {
	const balancer = 2500 * time.Millisecond
	return min(balancer, grace*2/5)
}

// Reload takes in settings that have changed while the process runs. Addresses
// stay as they were at the start.
func (d *Daemon) Reload(settings platform.Settings) {
	d.log.WithField("grace-s", settings.Bounds.Grace.Seconds()).Info("settings read again")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.Bounds = settings.Bounds
}

// bounds returns the platform's bounds in force.
func (d *Daemon) bounds() platform.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.Bounds
}

// part is a part of the supervisor tree.
type part func(ctx context.Context) error

// Serve runs the part.
func (p part) Serve(ctx context.Context) error { return p(ctx) }

// servePeers returns a part that answers other processes.
func (d *Daemon) servePeers(listener net.Listener) part {
	return func(ctx context.Context) error {
		release := context.AfterFunc(ctx, func() { _ = listener.Close() }) // the process is ending
		defer release()
		err := d.server.Serve(listener)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
}

// serveHTTP returns a part that runs a server.
func serveHTTP(s *http.Server) part {
	return func(ctx context.Context) error {
		// ListenAndServe returns as soon as a graceful shutdown begins; the
		// requests that are answered then must not be cut by the end of ctx.
		release := context.AfterFunc(ctx, func() { _ = s.Close() }) // the process is ending
		err := s.ListenAndServe()
		release()
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return errors.Wrap(err, "serve")
	}
}

func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
