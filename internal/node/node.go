// Package node is one process of the system: it wires every role to the others
// under one supervisor tree. No process is special; which pools and keys it is
// responsible for follows from the members that are live.
//
// # Usage
//
//	n, err := node.New(settings, plat.Dial(settings.PlatformAddr, settings.PlatformTimeout), logger)
//	err = n.Run(ctx) // until ctx ends; then it leaves gracefully
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

// Times between the rounds of a node's loops.
const (
	pollEvery  = 2 * time.Second // for what a push did not bring
	hostsEvery = time.Second
	planEvery  = 250 * time.Millisecond
	trimEvery  = 5 * time.Second
	finishPoll = 10 * time.Millisecond
	leaveGrace = time.Second // for the balancer to see that this entry is not ready
)

// Node is one process of the system.
type Node struct {
	settings conf.Settings
	platform plat.Platform
	store    *store.Store
	log      *event.Log
	steps    *event.Log // of the dispatch queues
	logger   *logrus.Entry
	files    []*os.File // recordings

	state  atomic.Pointer[fleet.State]
	loaded atomic.Bool
	// leavingHosts are the hosts that the platform's list says are leaving.
	leavingHosts atomic.Pointer[map[string]bool]
	health       health
	roster       *roster
	entry        *entry.Entry
	broker       *broker.Broker
	slots        *slots
	keys         *keys
	outage       *outage
	lease        *member.Lease
	reader       *member.Reader
	admit        sync.Mutex // held while the state in force changes
	recent       []fleet.Change

	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener
	leaving        atomic.Bool
	leaseMu        sync.Mutex
	reading        sync.Mutex // held while the members' rows are read
}

// New returns a node that listens but serves nobody yet.
func New(settings conf.Settings, platform plat.Platform, logger *logrus.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		platform: platform,
		store:    store.New(platform.Table, platform.Objects),
		reader:   member.NewReader(platform.Table),
		log:      event.NewLog(settings.Name, settings.TimelineSize, time.Now),
		steps:    event.NewLog(settings.Name, 1, time.Now),
		logger:   logger.WithField("process", settings.Name),
	}
	n.state.Store(fleet.NewState())
	n.leavingHosts.Store(&map[string]bool{})
	timing := leaseTiming(settings)
	n.health = health{hold: timing.Hold, now: time.Now}
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
	n.wireRoles()
	err := errors.CombineErrors(
		n.openRecording(n.log, settings.TimelineFile),
		n.openRecording(n.steps, settings.DispatchFile),
	)
	if err != nil {
		return nil, err
	}
	return n, n.listen()
}

// leaseTiming derives all lease times from the settings.
func leaseTiming(settings conf.Settings) member.Timing {
	timing := member.DefaultTiming()
	timing.Renew = settings.LeaseRenew
	timing.Hold = settings.LeaseHold
	timing.Lapse = settings.LeaseHold + settings.LeaseRenew
	timing.MaxGap = 2*settings.LeaseRenew + settings.PlatformTimeout
	return timing
}

func (n *Node) wireRoles() {
	n.broker = broker.New(broker.Config{Held: n.roster.held, Trace: n.traceSink(), Log: n.log, Now: time.Now})
	n.keys = newKeys(n.roster, n.platform.Table, n.log, &n.health)
	n.outage = newOutage(n.roster, &n.health, n.log)
	n.keys.settle = n.outage.settle
	n.slots = newSlots(n.roster, n.broker)
	n.entry = entry.New(entry.Config{
		Name: n.settings.Name,
		Limits: entry.Limits{
			MaxRequest:  n.settings.MaxRequest,
			MaxInFlight: n.settings.MaxInFlight,
			MaxTries:    3,
			Link:        n.linkLimits(),
		},
		Log:     n.log,
		Now:     time.Now,
		State:   n.state.Load,
		Fenced:  n.health.fenced,
		Acquire: n.slots.acquire,
		Release: n.slots.release,
		Begin:   n.keys.begin,
		End:     n.keys.end,
	})
	n.roster.localHeld = n.heldHere
}

func (n *Node) linkLimits() link.Limits {
	limits := link.DefaultLimits()
	limits.MaxAnswer = n.settings.MaxAnswer
	return limits
}

// openRecording opens a file that a time line is also written to; no path means
// none.
func (n *Node) openRecording(log *event.Log, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "open a recording")
	}
	n.files = append(n.files, file)
	log.Record(file)
	return nil
}

func (n *Node) closeRecordings() error {
	n.log.Record(nil)
	n.steps.Record(nil)
	var failed error
	for _, file := range n.files {
		failed = errors.CombineErrors(failed, file.Close())
	}
	return errors.Wrap(failed, "close the recordings")
}

// traceSink returns where the queues' steps go, nil if they are not recorded.
func (n *Node) traceSink() trace.Sink {
	if n.settings.DispatchFile == "" {
		return nil
	}
	return trace.Record(n.steps)
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

// Run serves until ctx ends, then leaves: first it is not ready, then what is
// in flight is finished, and last the lease is given up.
func (n *Node) Run(ctx context.Context) error {
	n.log.Add(event.ProcessStart, n.settings.Name, 0, "")
	n.logger.WithField("callers", n.settings.CallerAddr).Info("starting")
	peers, err := n.servePeers()
	if err != nil {
		return err
	}
	inner, stopRoles := context.WithCancel(context.Background())
	defer stopRoles()
	tree := n.tree()
	done := tree.ServeBackground(inner)
	servers := n.serveHTTP()
	select {
	case <-ctx.Done():
		err = nil
	case err = <-done:
	}
	n.leave(servers)
	stopRoles()
	_ = n.peerListener.Close()
	peers.Close()
	n.roster.close()
	n.log.Add(event.ProcessStop, n.settings.Name, 0, "")
	n.logger.Info("stopped")
	return errors.CombineErrors(err, n.closeRecordings())
}

// tree returns the supervisor of every loop.
func (n *Node) tree() *suture.Supervisor {
	tree := suture.New("node", suture.Spec{EventHook: func(e suture.Event) { n.logger.Warn(e.String()) }})
	loops := []loop{
		{"lease", n.settings.LeaseRenew, n.renew},
		{"members", n.settings.LeaseRenew, n.observe},
		{"configuration", pollEvery, n.catchUp},
		{"planner", planEvery, n.planRound},
		{"hosts", hostsEvery, n.readHosts},
		{"trim", trimEvery, n.trim},
	}
	for _, l := range loops {
		tree.Add(l)
	}
	tree.Add(service{"dispatch", n.broker.Run})
	tree.Add(service{"releases", n.slots.run})
	tree.Add(service{"ownership", n.followRoster})
	tree.Add(service{"keys", n.keys.run})
	return tree
}

func (n *Node) trim(context.Context) error {
	now := time.Now()
	n.entry.Trim(now)
	n.keys.trim(now)
	return nil
}

// leave gives up everything in the order that cuts nothing.
func (n *Node) leave(servers []*httpServer) {
	n.leaving.Store(true)
	n.log.Add(event.MemberLeave, n.settings.Name, 0, "stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	n.broker.Stop()
	n.roster.announceLeave(ctx)
	if err := n.renewLease(ctx); err != nil {
		n.logger.WithError(err).Warn("the lease row could not be marked as leaving")
	}
	n.keys.round(ctx)
	n.entry.Quiesce()
	time.Sleep(leaveGrace)
	n.entry.Stop()
	n.finishRequests(ctx)
	for _, s := range servers {
		s.shutdown(ctx)
	}
	n.slots.flush(ctx)
	n.giveUpLease(ctx)
}

// finishRequests waits until no request is held here or ctx ends.
func (n *Node) finishRequests(ctx context.Context) {
	for n.entry.Status().Requests > 0 && ctx.Err() == nil {
		time.Sleep(finishPoll)
	}
}

// giveUpLease marks the lease row as left. From then on others may take what is
// still owned here, so nothing is decided any more.
func (n *Node) giveUpLease(ctx context.Context) {
	n.keys.close()
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	if err := n.lease.Leave(ctx, n.platform.Table, time.Now()); err != nil {
		n.logger.WithError(err).Warn("the lease could not be given up and will lapse")
	}
}
