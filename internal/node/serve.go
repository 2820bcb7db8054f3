package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// memberService answers what members ask each other.
type memberService struct{ n *Node }

// Status answers with the version in force and the tries in flight.
func (s memberService) Status(_ StatusArgs, reply *StatusReply) error {
	status := s.n.entry.Status()
	*reply = StatusReply{Version: status.Version, InFlight: status.InFlight}
	return nil
}

// Push takes in changes that another member put in force.
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

// Leave notes that a member takes no more responsibility.
func (s memberService) Leave(args LeaveArgs, _ *LeaveReply) error {
	s.n.roster.left(args.Incarnation)
	s.n.assign()
	return nil
}

// Promise answers a member that can't reach the table service.
func (s memberService) Promise(args PromiseArgs, reply *PromiseReply) error {
	reply.Given = s.n.outage.promise(args.Incarnation)
	return nil
}

// Agree answers whether processes may be counted as gone.
func (s memberService) Agree(args AgreeArgs, reply *AgreeReply) error {
	reply.Agreed = s.n.outage.agree(args.Gone)
	return nil
}

// Join takes in a member that is ready, before it takes responsibility.
func (s memberService) Join(args JoinArgs, _ *JoinReply) error {
	s.n.roster.join(args.Info)
	s.n.assign()
	return nil
}

// Held answers with the grants that are held here, and with those that were
// given here and may still be on their way to their entries.
func (s memberService) Held(args HeldArgs, reply *HeldReply) error {
	here := s.n.heldHere(args.Pool)
	reply.Grants, reply.Given = here.Grants, here.Given
	return nil
}

// brokerService offers the queues that are run here.
type brokerService struct{ n *Node }

// Acquire waits for a slot.
func (s brokerService) Acquire(args AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	args.Request.Deadline = time.Now().Add(args.Start)
	decision, err := s.n.broker.Acquire(ctx, args.Pool, args.Request)
	if errors.Is(err, broker.ErrNotOwner) {
		s.n.roster.check(args.Suspects)
		reply.NotOwner = true
		return nil
	}
	reply.Decision = decision
	return err
}

// Release takes slots back.
func (s brokerService) Release(args ReleaseArgs, _ *ReleaseReply) error {
	return s.n.broker.Release(args.Pool, args.Releases)
}

// Cancel ends a wait.
func (s brokerService) Cancel(args CancelArgs, _ *CancelReply) error {
	return s.n.broker.Cancel(args.Pool, args.Request)
}

// keysService offers the keys that this process is responsible for.
type keysService struct{ n *Node }

// Begin decides whether the work of a key may run.
func (s keysService) Begin(args BeginArgs, reply *BeginReply) error {
	key, err := once.ParseKey(args.Key)
	if err != nil {
		return err
	}
	verdict, err := s.n.keys.beginHere(key, args.Holder)
	reply.Verdict = verdict
	reply.NotOwner = err != nil
	return nil
}

// Moved takes in who owns the shards now, and makes this process look for those
// that it was given.
func (s keysService) Moved(args MovedArgs, _ *MovedReply) error {
	s.n.keys.kickRound()
	return s.n.keys.adopt(args.Row, args.Shares)
}

// Known gives a shard that was given away to its next owner.
func (s keysService) Known(args KnownArgs, reply *KnownReply) error {
	*reply = s.n.keys.known(args.Shard, args.Epoch)
	return nil
}

// End notes how the work of a key ended.
func (s keysService) End(args EndArgs, _ *EndReply) error {
	key, err := once.ParseKey(args.Key)
	if err != nil {
		return err
	}
	s.n.keys.endHere(key, args.Holder, args.Outcome)
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
	flushTime         = 500 * time.Millisecond
)

// httpServer is a running HTTP server.
type httpServer struct {
	server *http.Server
}

func startHTTP(listener net.Listener, handler http.Handler) *httpServer {
	s := &httpServer{&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// shutdown ends the server. No request is held any more, so it only waits for
// the last answers to leave, and not for connections that have gone silent.
func (s *httpServer) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
	}
}

// serveHTTP starts the callers' and the operators' interfaces. The operators'
// comes last, so that readiness is answered until the end of a stop.
func (n *Node) serveHTTP() []*httpServer {
	return []*httpServer{
		startHTTP(n.callerListener, n.entry.Handler()),
		startHTTP(n.adminListener, n.adminHandler()),
	}
}
