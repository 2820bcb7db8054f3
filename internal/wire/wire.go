// Package wire makes net/rpc calls between the processes of the system.
// net/rpc has neither timeouts nor heartbeats, so [Peer] adds both: a connection
// that misses a heartbeat is closed, and the next call dials again.
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
// Call returns [ErrUnreachable] if no connection could be made and nothing was
// sent, and [ErrLost] if the peer may have executed the call.
package wire

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// Errors returned by [Peer.Call].
var (
	ErrUnreachable = errors.New("the peer can't be reached")
	// ErrNotListening is an [ErrUnreachable] which shows that no process listens at the address. A
	// machine without power or behind a partition does not respond.
	ErrNotListening = errors.New("no process listens there")
	ErrLost         = errors.New("the peer's answer was lost")
	ErrRefused      = errors.New("the peer refused the call")
)

// Timing holds the timeouts and heartbeat intervals of a [Peer].
type Timing struct {
	DialTimeout      time.Duration
	BusyInterval     time.Duration // between heartbeats while a call waits
	IdleInterval     time.Duration // between heartbeats otherwise, 0 for none
	HeartbeatTimeout time.Duration // how long a heartbeat's answer may take
	IdleTimeout      time.Duration // after which an unused connection is closed, if there are no idle heartbeats
}

// DefaultTiming returns the timing for connections between entry hosts.
func DefaultTiming() Timing {
	return Timing{
		DialTimeout:      500 * time.Millisecond,
		BusyInterval:     150 * time.Millisecond,
		IdleInterval:     10 * time.Second,
		HeartbeatTimeout: 350 * time.Millisecond,
	}
}

// ProbedTiming returns the timing for connections to processes that are probed by calls, as
// far as this process needs to know whether they answer. Without a call there are no
// heartbeats, and no connection after a while.
func ProbedTiming() Timing {
	t := DefaultTiming()
	t.IdleInterval, t.IdleTimeout = 0, 30*time.Second
	return t
}

// heartbeatMethod is the heartbeat method, which every [Server] registers.
const heartbeatMethod = "Heartbeat.Beat"

// Peer is a client of another process. It keeps one connection, dialed on demand,
// and sends heartbeats until it is closed. What it does does not depend on how many other
// peers there are: without calls it wakes up once an idle interval.
type Peer struct {
	addr           netip.AddrPort
	timing         Timing
	report         func(alive bool)
	waiting        atomic.Int64  // calls in progress
	busy           chan struct{} // receives an item when a call begins and the heartbeats are not at the busy interval
	atBusyInterval atomic.Bool
	usedAt         atomic.Int64 // when a call last ended, Unix time in ms
	refused        atomic.Bool  // the last dial was refused
	heartbeatNow   chan struct{}
	done           chan struct{}

	mu     sync.Mutex
	client *rpc.Client
	closed bool
}

// NewPeer returns a peer that is not connected yet. If report is not nil, it is
// called after each heartbeat; alive is whether the peer answered.
func NewPeer(addr netip.AddrPort, timing Timing, report func(alive bool)) *Peer {
	p := &Peer{
		addr:         addr,
		timing:       timing,
		report:       report,
		heartbeatNow: make(chan struct{}, 1),
		busy:         make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	go p.runHeartbeats()
	return p
}

// Addr returns the peer's address.
func (p *Peer) Addr() netip.AddrPort { return p.addr }

// Refused reports whether the last connection attempt was refused: nothing listens at
// the peer's address, so its process has ended.
func (p *Peer) Refused() bool { return p.refused.Load() }

// HeartbeatNow requests a heartbeat at once. It does not wait for the answer.
func (p *Peer) HeartbeatNow() {
	select {
	case p.heartbeatNow <- struct{}{}:
	default:
	}
}

// Call makes one call and waits for its reply until ctx ends.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	p.beginCall()
	defer p.endCall()
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

func (p *Peer) beginCall() {
	p.waiting.Add(1)
	if p.atBusyInterval.Load() {
		return
	}
	select {
	case p.busy <- struct{}{}:
	default:
	}
}

func (p *Peer) endCall() {
	p.usedAt.Store(time.Now().UnixMilli())
	p.waiting.Add(-1)
}

func (p *Peer) callError(client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(err, &refused) {
		return errors.Wrapf(ErrRefused, "%s at %s: %s", method, p.addr, string(refused))
	}
	p.closeClient(client)
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
	dialer := net.Dialer{Timeout: p.timing.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr.String())
	refused := errors.Is(err, syscall.ECONNREFUSED)
	p.refused.Store(refused)
	switch {
	case refused:
		return nil, errors.Mark(errors.Wrapf(ErrUnreachable, "%s: %v", p.addr, err), ErrNotListening)
	case err != nil:
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.addr, err)
	}
	return p.setClient(rpc.NewClient(conn))
}

// setClient stores client as the peer's connection. If another call has connected
// first, it closes client and returns that connection.
func (p *Peer) setClient(client *rpc.Client) (*rpc.Client, error) {
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

// runHeartbeats sends heartbeats until the peer is closed: frequently while a call
// waits, so that a dead connection costs the call one bounded wait, and rarely
// otherwise. After a missed heartbeat, the idle interval restarts short and grows.
func (p *Peer) runHeartbeats() {
	var last time.Time
	interval := p.timing.IdleInterval
	timer := time.NewTimer(p.timing.BusyInterval)
	defer timer.Stop()
	p.atBusyInterval.Store(true)
	for {
		requested := false
		select {
		case <-p.done:
			return
		case <-p.busy:
			p.atBusyInterval.Store(true)
			timer.Reset(p.timing.BusyInterval)
			continue
		case <-timer.C:
		case <-p.heartbeatNow:
			requested = true
		}
		idle := p.waiting.Load() == 0
		switch {
		case requested, !idle, p.timing.IdleInterval > 0 && time.Since(last) >= interval:
			alive := p.sendHeartbeat()
			last = time.Now()
			interval = p.nextInterval(interval, alive)
			if p.report != nil {
				p.report(alive)
			}
		case p.timing.IdleInterval == 0:
			p.closeIfUnused()
		}
		timer.Reset(p.nextWakeUp(last.Add(interval)))
	}
}

// nextWakeUp returns the time until the heartbeats are looked after again if no call begins;
// idleAt is when one is due without any.
func (p *Peer) nextWakeUp(idleAt time.Time) time.Duration {
	p.atBusyInterval.Store(false)
	if p.waiting.Load() > 0 {
		p.atBusyInterval.Store(true)
		return p.timing.BusyInterval
	}
	if p.timing.IdleInterval == 0 {
		return p.timing.IdleTimeout
	}
	return max(time.Until(idleAt), p.timing.BusyInterval)
}

// closeIfUnused closes the connection if no call has used it for the idle timeout.
func (p *Peer) closeIfUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := time.Since(time.UnixMilli(p.usedAt.Load()))
	if p.client == nil || p.waiting.Load() > 0 || unused < p.timing.IdleTimeout {
		return
	}
	_ = p.client.Close() // nothing is on it
	p.client = nil
}

// nextInterval returns the time until the next heartbeat if no call waits. After
// missed heartbeats it doubles from BusyInterval to at most a fifth of IdleInterval.
func (p *Peer) nextInterval(interval time.Duration, alive bool) time.Duration {
	switch {
	case alive || p.timing.IdleInterval == 0:
		return p.timing.IdleInterval
	case interval >= p.timing.IdleInterval:
		return p.timing.BusyInterval
	}
	return min(2*interval, p.timing.IdleInterval/5)
}

// sendHeartbeat sends one heartbeat and reports whether it was answered in time. If
// not, it closes the connection, which ends every call that waits on it.
func (p *Peer) sendHeartbeat() bool {
	client, err := p.connect(context.Background())
	if err != nil {
		return false
	}
	var reply Beat
	call := client.Go(heartbeatMethod, Beat{}, &reply, make(chan *rpc.Call, 1))
	timeout := time.NewTimer(p.timing.HeartbeatTimeout)
	defer timeout.Stop()
	select {
	case <-call.Done:
		if call.Error == nil {
			return true
		}
	case <-timeout.C:
	}
	p.closeClient(client)
	return false
}

func (p *Peer) closeClient(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection, which ends every call on it, and stops the
// heartbeats.
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

// Beat is the argument and the reply of a heartbeat.
type Beat struct{}

type heartbeat struct{}

// Beat answers a heartbeat; net/rpc calls it.
func (heartbeat) Beat(_ Beat, _ *Beat) error { return nil }

// Server serves calls and heartbeats of peers.
type Server struct {
	rpc    *rpc.Server
	limits ServerLimits

	mu     sync.Mutex
	conns  map[*inbound]bool
	held   int64 // bytes that connections hold
	closed bool
}

// NewServer returns a server with the default limits on which only the heartbeat is registered.
func NewServer() *Server { return NewLimitedServer(DefaultServerLimits()) }

// NewLimitedServer is NewServer with other limits.
func NewLimitedServer(limits ServerLimits) *Server {
	s := &Server{rpc: rpc.NewServer(), limits: limits, conns: map[*inbound]bool{}}
	if err := s.rpc.RegisterName("Heartbeat", heartbeat{}); err != nil {
		panic(err)
	}
	return s
}

// Register publishes the methods of service under name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register %s", name)
}

// Serve accepts connections and serves their calls until listener fails or is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		conn := &inbound{Conn: accepted, server: s, usedAt: time.Now()}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			s.rpc.ServeCodec(newCodec(conn, s.limits.Calls))
			s.untrack(conn)
		}()
	}
}

// track adds a connection. If there are too many, it closes the one without a message for the
// longest time.
func (s *Server) track(conn *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.limits.Conns {
		s.drop(func(c, o *inbound) bool { return c.usedAt.Before(o.usedAt) })
	}
	s.conns[conn] = true
	return true
}

// drop closes the connection that comes first.
func (s *Server) drop(before func(c, o *inbound) bool) {
	var first *inbound
	for c := range s.conns {
		if first == nil || before(c, first) {
			first = c
		}
	}
	if first != nil {
		s.remove(first)
		_ = first.Close()
		droppedPeers.Inc()
	}
}

// received records bytes of a connection. If all hold too much, it closes those that hold most.
func (s *Server) received(conn *inbound, held int64, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		conn.usedAt = time.Now()
	}
	if !s.conns[conn] {
		return
	}
	s.held += held - conn.held
	conn.held = held
	for s.held > s.limits.Bytes && len(s.conns) > 0 {
		s.drop(func(c, o *inbound) bool { return c.held > o.held })
	}
}

func (s *Server) remove(conn *inbound) {
	if s.conns[conn] {
		delete(s.conns, conn)
		s.held -= conn.held
	}
}

func (s *Server) untrack(conn *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(conn)
}

// Close closes every connection and refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

var droppedPeers = metrics.NewCounter("papayarudder_peer_connections_dropped_total")
