// Package wire carries calls between the system's own processes with net/rpc.
// net/rpc has neither timeouts nor heartbeats, so a Peer adds both: a
// connection that misses a heartbeat is closed, and the next call dials anew.
//
// # Usage
//
//	server := wire.NewServer()
//	err := server.Register("Member", service)
//	go server.Serve(listener)
//
//	peer := wire.NewPeer(addr, wire.DefaultTiming(), nil)
//	err = peer.Call(ctx, "Member.Status", args, &reply)
//
// Call returns [ErrUnreachable] when no connection could be made, so that
// nothing was sent, and [ErrLost] when the call may have been carried out.
package wire

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a call.
var (
	ErrUnreachable = errors.New("the peer can't be reached")
	ErrLost        = errors.New("the peer's answer was lost")
	ErrRefused     = errors.New("the peer refused the call")
)

// Timing bounds what a silent peer can cost.
type Timing struct {
	Dial time.Duration
	Busy time.Duration // between heartbeats while a call waits
	Idle time.Duration // between heartbeats otherwise
	Miss time.Duration // how long a heartbeat's answer may take
}

// DefaultTiming returns the timing between entry hosts.
func DefaultTiming() Timing {
	return Timing{
		Dial: 500 * time.Millisecond,
		Busy: 150 * time.Millisecond,
		Idle: 10 * time.Second,
		Miss: 350 * time.Millisecond,
	}
}

// heartbeatMethod is served by every [Server].
const heartbeatMethod = "Heartbeat.Beat"

// Peer is another process. It keeps one connection, made on demand, and beats
// on it for as long as it is open.
type Peer struct {
	addr    netip.AddrPort
	timing  Timing
	report  func(alive bool)
	waiting atomic.Int64 // calls
	poke    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	client *rpc.Client
	closed bool
}

// NewPeer returns a peer that is not connected yet. report, if it is not nil, is
// told after each heartbeat whether the peer is alive.
func NewPeer(addr netip.AddrPort, timing Timing, report func(alive bool)) *Peer {
	p := &Peer{
		addr:   addr,
		timing: timing,
		report: report,
		poke:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	go p.keep()
	return p
}

// Addr returns the peer's address.
func (p *Peer) Addr() netip.AddrPort { return p.addr }

// Poke makes the next heartbeat due at once.
func (p *Peer) Poke() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

// Call carries out one call and waits for its answer until ctx ends.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return errors.Wrapf(ErrLost, "%s to %s: %v", method, p.addr, ctx.Err())
	case <-call.Done:
	}
	return p.callError(client, method, call.Error)
}

func (p *Peer) callError(client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(err, &refused) {
		return errors.Wrapf(ErrRefused, "%s at %s: %s", method, p.addr, string(refused))
	}
	p.drop(client)
	return errors.Wrapf(ErrLost, "%s to %s: %v", method, p.addr, err)
}

func (p *Peer) connect(ctx context.Context) (*rpc.Client, error) {
	p.mu.Lock()
	client, closed := p.client, p.closed
	p.mu.Unlock()
	if closed {
		return nil, errors.Wrapf(ErrUnreachable, "%s: closed here", p.addr)
	}
	if client != nil {
		return client, nil
	}
	dialer := net.Dialer{Timeout: p.timing.Dial}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.addr, err)
	}
	return p.adopt(rpc.NewClient(conn))
}

// adopt keeps client unless another call connected first.
func (p *Peer) adopt(client *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = client.Close()
		return nil, errors.Wrapf(ErrUnreachable, "%s: closed here", p.addr)
	}
	if p.client != nil {
		_ = client.Close()
		return p.client, nil
	}
	p.client = client
	return client, nil
}

// keep beats until the peer is closed: often while a call waits, so that a
// connection which has gone silent costs the call one bounded wait, and rarely
// otherwise. A peer that missed a heartbeat is tried again soon, then less and
// less often.
func (p *Peer) keep() {
	ticker := time.NewTicker(p.timing.Busy)
	defer ticker.Stop()
	var last time.Time
	gap := p.timing.Idle
	for {
		poked := false
		select {
		case <-p.done:
			return
		case <-ticker.C:
		case <-p.poke:
			poked = true
		}
		if !poked && p.waiting.Load() == 0 && time.Since(last) < gap {
			continue
		}
		alive := p.beat()
		last = time.Now()
		gap = p.nextGap(gap, alive)
		if p.report != nil {
			p.report(alive)
		}
	}
}

// nextGap returns the time between heartbeats while no call waits.
func (p *Peer) nextGap(gap time.Duration, alive bool) time.Duration {
	switch {
	case alive:
		return p.timing.Idle
	case gap >= p.timing.Idle:
		return p.timing.Busy
	}
	return min(2*gap, p.timing.Idle/5)
}

// beat sends one heartbeat. A connection that misses it is closed, which ends
// every call that waits on it.
func (p *Peer) beat() bool {
	client, err := p.connect(context.Background())
	if err != nil {
		return false
	}
	var reply Beat
	call := client.Go(heartbeatMethod, Beat{}, &reply, make(chan *rpc.Call, 1))
	timeout := time.NewTimer(p.timing.Miss)
	defer timeout.Stop()
	select {
	case <-call.Done:
		if call.Error == nil {
			return true
		}
	case <-timeout.C:
	}
	p.drop(client)
	return false
}

func (p *Peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close ends the connection and every call on it.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}

// Beat is a heartbeat and its answer.
type Beat struct{}

type heartbeat struct{}

// Beat answers a heartbeat.
func (heartbeat) Beat(_ Beat, _ *Beat) error { return nil }

// Server answers calls.
type Server struct {
	rpc *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  bool
}

// NewServer returns a server that answers heartbeats.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName("Heartbeat", heartbeat{}); err != nil {
		panic(err)
	}
	return s
}

// Register offers the methods of service under name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register %s", name)
}

// Serve answers calls on listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			s.rpc.ServeConn(conn)
			s.forget(conn)
		}()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close ends every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
