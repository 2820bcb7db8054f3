package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// memberService implements the RPC methods Member.*.
type memberService struct{ n *Node }

// Status returns the version in force and the attempts in flight.
func (s memberService) Status(_ StatusArgs, reply *StatusReply) error {
	status := s.n.entry.Status()
	*reply = StatusReply{Version: status.Version, InFlight: status.InFlight}
	return nil
}

// Push applies changes that another member has committed, and returns the version
// in force afterwards.
func (s memberService) Push(args PushArgs, reply *PushReply) error {
	var changes []fleet.Change
	for _, data := range args.Changes {
		change, err := fleet.DecodeChange(data)
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	s.n.apply(changes, "pushed")
	reply.Version = s.n.state.Load().Version
	return nil
}

// Leave marks a member as leaving and reassigns its pools.
func (s memberService) Leave(args LeaveArgs, _ *LeaveReply) error {
	s.n.roster.recordLeave(args.Incarnation)
	s.n.assignPools()
	return nil
}

// Promise decides whether to give a promise to a member that can't reach the
// table service.
func (s memberService) Promise(args PromiseArgs, reply *PromiseReply) error {
	reply.Given = s.n.quorum.promise(args.Incarnation)
	return nil
}

// Agree returns the processes that this member agrees to count as gone.
func (s memberService) Agree(args AgreeArgs, reply *AgreeReply) error {
	reply.Agreed = s.n.quorum.agreeGone(args.Gone)
	return nil
}

// Join adds a member that is ready and gives up the pools that it will own. The
// member waits for the reply before it serves them.
func (s memberService) Join(args JoinArgs, _ *JoinReply) error {
	s.n.roster.addReady(args.Info)
	s.n.assignPools()
	return nil
}

// Held returns the grants that this process holds as an entry, and those that it
// has given as a dispatcher and that may not have reached their entries yet.
func (s memberService) Held(args HeldArgs, reply *HeldReply) error {
	here := s.n.localHolding(args.Pool)
	reply.Grants, reply.Given = here.Grants, here.RecentlyIssued
	return nil
}

// brokerService implements the RPC methods Broker.* for the pools that this
// process owns.
type brokerService struct{ n *Node }

// Acquire queues a request and waits for a slot.
func (s brokerService) Acquire(args AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	args.Request.Deadline = time.Now().Add(args.Start)
	decision, err := s.n.broker.Acquire(ctx, args.Pool, args.Request)
	if errors.Is(err, broker.ErrNotOwner) {
		s.n.roster.probe(args.Suspects)
		reply.NotOwner = true
		return nil
	}
	reply.Decision = decision
	return err
}

// Release returns slots to a pool.
func (s brokerService) Release(args ReleaseArgs, _ *ReleaseReply) error {
	return s.n.broker.Release(args.Pool, args.Releases)
}

// Cancel removes a request from its queue, or takes back the slot that it was
// granted meanwhile.
func (s brokerService) Cancel(args CancelArgs, _ *CancelReply) error {
	return s.n.broker.Cancel(args.Pool, args.Request)
}

// keysService implements the RPC methods Keys.* for the key shards that this
// process owns.
type keysService struct{ n *Node }

// Begin decides whether an attempt may run the work of an idempotency key.
func (s keysService) Begin(args BeginArgs, reply *BeginReply) error {
	key, err := once.ParseKey(args.Key)
	if err != nil {
		return err
	}
	verdict, err := s.n.keys.beginLocal(key, args.Holder)
	reply.Verdict = verdict
	reply.NotOwner = err != nil
	return nil
}

// Moved applies the new owners of the shards and triggers a round, which opens the
// shards that this process was given.
func (s keysService) Moved(args MovedArgs, _ *MovedReply) error {
	s.n.keys.wakeRound()
	return s.n.keys.applyShares(args.Row, args.Shares)
}

// Known returns the keys of a shard that this process has given away.
func (s keysService) Known(args KnownArgs, reply *KnownReply) error {
	*reply = s.n.keys.snapshot(args.Shard, args.Epoch)
	return nil
}

// End records the outcome of an attempt at the work of a key.
func (s keysService) End(args EndArgs, _ *EndReply) error {
	key, err := once.ParseKey(args.Key)
	if err != nil {
		return err
	}
	s.n.keys.endLocal(key, args.Holder, args.Outcome)
	return nil
}

func (n *Node) servePeers() (*wire.Server, error) {
	server := wire.NewServer()
	err := errors.CombineErrors(
		server.Register("Member", memberService{n}),
		server.Register("Broker", brokerService{n}),
	)
	err = errors.CombineErrors(err, server.Register("Keys", keysService{n}))
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(n.peerListener) }()
	return server, nil
}

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = time.Minute
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 500 * time.Millisecond
)

// httpServer is a running HTTP server.
type httpServer struct {
	server *http.Server
}

func startHTTP(listener net.Listener, handler http.Handler, gate *intake.Gate) *httpServer {
	s := &httpServer{&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}}
	gate.Guard(s.server)
	go func() { _ = s.server.Serve(gate.Listener(listener)) }()
	return s
}

// shutdown stops the server. All requests have finished by now, so it waits only
// until the last answers are written, and closes connections that hang.
func (s *httpServer) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
	}
}

// serveHTTP starts the HTTP servers for callers and for operators. The operators'
// server is last, because the servers are shut down in this order and it answers
// readiness checks.
func (n *Node) serveHTTP() []*httpServer {
	gate := intake.New(intake.LimitsOf(int64(n.settings.MemoryMB)<<20, openFiles()), n.logger)
	gate.Publish()
	return []*httpServer{
		startHTTP(n.callerListener, n.entry.Handler(), gate),
		startHTTP(n.adminListener, n.adminHandler(), gate),
	}
}

// openFiles returns how many descriptors the process may open, 0 if it is unknown.
func openFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
