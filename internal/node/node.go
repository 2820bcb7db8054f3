// Package node runs one process of the system. It connects all components and
// runs their loops under one supervisor. All processes are alike: which pools and
// key shards a process owns depends on the members that are live.
//
// # Usage
//
//	n, err := node.New(settings, plat.Dial(settings.PlatformAddr, settings.PlatformTimeout), logger)
//	err = n.Run(ctx) // until ctx ends, then shuts down gracefully
package node

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/conf"
	"github.com/papayarudder/papayarudder/internal/entry"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/store"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// Intervals of a node's loops, and times of its shutdown.
const (
	pollInterval      = 2 * time.Second // for changes that no push delivered
	hostsInterval     = time.Second
	planInterval      = 250 * time.Millisecond
	trimInterval      = 5 * time.Second
	drainPollInterval = 10 * time.Millisecond
	readinessGrace    = time.Second // for the load balancer to notice that this entry is not ready
)

// Node is one process of the system. Every process can serve callers and operators,
// dispatch for pools, and own key shards.
type Node struct {
	settings    conf.Settings
	platform    plat.Platform
	store       *store.Store
	log         *event.Log
	dispatchLog *event.Log // recorded steps of the dispatch queues
	logger      *logrus.Entry
	recordings  []*os.File // of the event logs

	state  atomic.Pointer[fleet.State]
	loaded atomic.Bool
	// leavingHosts holds the names of the hosts that the platform lists as leaving.
	leavingHosts  atomic.Pointer[map[string]bool]
	leaseState    leaseState
	roster        *roster
	entry         *entry.Entry
	broker        *broker.Broker
	dispatch      *dispatchClient
	keys          *keyShards
	quorum        *quorum
	lease         *member.Lease
	reader        *member.Reader
	stateMu       sync.Mutex // held while state or recentChanges change
	recentChanges []fleet.Change

	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener
	leaving        atomic.Bool
	leaseMu        sync.Mutex
	membersMu      sync.Mutex // held while the members' lease rows are read
}

// New returns a node that listens on all its addresses. It serves nothing before
// [Node.Run] is called.
func New(settings conf.Settings, platform plat.Platform, logger *logrus.Logger) (*Node, error) {
	n := &Node{
		settings:    settings,
		platform:    platform,
		store:       store.New(platform.Table, platform.Objects),
		reader:      member.NewReader(platform.Table),
		log:         event.NewLog(settings.Name, settings.TimelineSize, time.Now),
		dispatchLog: event.NewLog(settings.Name, 1, time.Now),
		logger:      logger.WithField("process", settings.Name),
	}
	n.state.Store(fleet.NewState())
	n.leavingHosts.Store(&map[string]bool{})
	timing := leaseTiming(settings)
	n.leaseState = leaseState{duration: timing.HoldTimeout, now: time.Now}
	info := member.Info{
		Name:        settings.Name,
		Incarnation: uuid.NewString()[:13],
		Zone:        settings.Zone,
		Peer:        settings.PeerAddr,
		Admin:       settings.AdminAddr,
		State:       member.Starting,
	}
	n.lease = member.NewLease(info, timing)
	n.roster = newRoster(info, settings.Members, timing, n.log)
	n.connectComponents()
	err := errors.CombineErrors(
		n.openRecording(n.log, settings.TimelineFile),
		n.openRecording(n.dispatchLog, settings.DispatchFile),
	)
	if err != nil {
		return nil, err
	}
	return n, n.listen()
}

// leaseTiming derives the lease times from the settings. Others count on a lapse
// only one renewal interval after the holder has stopped relying on its lease.
func leaseTiming(settings conf.Settings) member.Timing {
	timing := member.DefaultTiming()
	timing.RenewInterval = settings.LeaseRenew
	timing.HoldTimeout = settings.LeaseHold
	timing.LapseTimeout = settings.LeaseHold + settings.LeaseRenew
	timing.MaxReadGap = 2*settings.LeaseRenew + settings.PlatformTimeout
	return timing
}

func (n *Node) connectComponents() {
	n.broker = broker.New(broker.Config{QueryGrants: n.roster.collectHoldings, Trace: n.traceSink(), Log: n.log, Now: time.Now})
	n.keys = newKeyShards(n.roster, n.platform.Table, n.log, &n.leaseState)
	n.quorum = newQuorum(n.roster, &n.leaseState, n.log)
	n.keys.confirmGone = n.quorum.confirmGone
	n.dispatch = newDispatchClient(n.roster, n.broker)
	n.entry = entry.New(entry.Config{
		Name: n.settings.Name,
		Limits: entry.Limits{
			MaxRequest:  n.settings.MaxRequest,
			MaxInFlight: n.settings.MaxInFlight,
			MaxAttempts: 3,
			Link:        n.linkLimits(),
		},
		Log:         n.log,
		Now:         time.Now,
		State:       n.state.Load,
		FenceReason: n.leaseState.fenceReason,
		Acquire:     n.dispatch.acquire,
		Release:     n.dispatch.release,
		Begin:       n.keys.begin,
		End:         n.keys.end,
	})
	n.roster.localHolding = n.localHolding
}

func (n *Node) linkLimits() link.Limits {
	limits := link.DefaultLimits()
	limits.MaxAnswer = n.settings.MaxAnswer
	return limits
}

// openRecording opens a file to which an event log is also written. If path is
// empty it does nothing.
func (n *Node) openRecording(log *event.Log, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "open a recording")
	}
	n.recordings = append(n.recordings, file)
	log.RecordTo(file)
	return nil
}

func (n *Node) closeRecordings() error {
	n.log.RecordTo(nil)
	n.dispatchLog.RecordTo(nil)
	var err error
	for _, file := range n.recordings {
		err = errors.CombineErrors(err, file.Close())
	}
	return errors.Wrap(err, "close the recordings")
}

// traceSink returns the sink that records the steps of the dispatch queues, nil if
// they are not recorded.
func (n *Node) traceSink() trace.Sink {
	if n.settings.DispatchFile == "" {
		return nil
	}
	return trace.NewSink(n.dispatchLog)
}

func (n *Node) listen() (err error) {
	if n.callerListener, err = net.Listen("tcp", n.settings.CallerAddr.String()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if n.adminListener, err = net.Listen("tcp", n.settings.AdminAddr.String()); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if n.peerListener, err = net.Listen("tcp", n.settings.PeerAddr.String()); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return nil
}

// Run serves until ctx ends, then shuts down: it reports not ready, finishes the
// requests in flight, and gives up the lease last.
func (n *Node) Run(ctx context.Context) error {
	n.log.Add(event.ProcessStart, n.settings.Name, 0, "")
	n.logger.WithField("callers", n.settings.CallerAddr).Info("starting")
	peers, err := n.servePeers()
	if err != nil {
		return err
	}
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	supervisor := n.newSupervisor()
	done := supervisor.ServeBackground(loopCtx)
	servers := n.serveHTTP()
	select {
	case <-ctx.Done():
		err = nil
	case err = <-done:
	}
	n.leave(servers)
	stopLoops()
	_ = n.peerListener.Close()
	peers.Close()
	n.roster.close()
	n.log.Add(event.ProcessStop, n.settings.Name, 0, "")
	n.logger.Info("stopped")
	return errors.CombineErrors(err, n.closeRecordings())
}

// newSupervisor returns the supervisor of all loops and services.
func (n *Node) newSupervisor() *suture.Supervisor {
	supervisor := suture.New("node", suture.Spec{EventHook: func(e suture.Event) { n.logger.Warn(e.String()) }})
	loops := []loop{
		{"lease", n.settings.LeaseRenew, n.renew},
		{"members", n.settings.LeaseRenew, n.observe},
		{"configuration", pollInterval, n.syncConfig},
		{"planner", planInterval, n.planRound},
		{"hosts", hostsInterval, n.readHosts},
		{"trim", trimInterval, n.trim},
	}
	for _, l := range loops {
		supervisor.Add(l)
	}
	supervisor.Add(service{"dispatch", n.broker.Run})
	supervisor.Add(service{"releases", n.dispatch.run})
	supervisor.Add(service{"ownership", n.followMembership})
	supervisor.Add(service{"keys", n.keys.run})
	return supervisor
}

func (n *Node) trim(context.Context) error {
	now := time.Now()
	n.entry.Trim(now)
	n.keys.trim(now)
	return nil
}

// leave shuts down in an order that aborts no request: other members take over
// pools and shards first, then new requests are refused, the requests in flight
// finish, and the lease is given up last.
func (n *Node) leave(servers []*httpServer) {
	n.leaving.Store(true)
	n.log.Add(event.MemberLeave, n.settings.Name, 0, "stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	n.broker.Stop()
	n.roster.announceLeave(ctx)
	if err := n.renewLease(ctx); err != nil {
		n.logger.WithError(err).Warn("can't mark the lease row as leaving")
	}
	n.keys.round(ctx)
	n.entry.Quiesce()
	time.Sleep(readinessGrace)
	n.entry.Stop()
	n.finishRequests(ctx)
	for _, s := range servers {
		s.shutdown(ctx)
	}
	n.dispatch.flush(ctx)
	n.giveUpLease(ctx)
}

// finishRequests waits until no request is in progress or ctx ends.
func (n *Node) finishRequests(ctx context.Context) {
	for n.entry.Status().Requests > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// giveUpLease marks the lease row as left. Other members may then take the shards
// that are still owned here, so this process stops deciding about keys first.
func (n *Node) giveUpLease(ctx context.Context) {
	n.keys.close()
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	if err := n.lease.Leave(ctx, n.platform.Table, time.Now()); err != nil {
		n.logger.WithError(err).Warn("can't give up the lease, it will lapse")
	}
}
