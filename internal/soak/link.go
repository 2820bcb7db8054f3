package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// direction is a direction of the data on a link.
type direction int

const (
	calls direction = iota
	answers
)

// delaying is a chance that a call or an answer is delivered late.
type delaying struct {
	share         float64
	least, spread time.Duration
}

// severing is how a link is cut during a partition: no data pass in either direction.
type severing int

const (
	severedHeld  severing = iota // dials succeed
	severedQuiet                 // dials get no answer
	severedReset                 // dials get no answer, and the open connections are reset
)

// link is a TCP proxy in front of one server, for the calls of one process. What it holds
// back it delivers later, in order, also if the caller has closed its side by then.
type link struct {
	name     string
	from, to string
	listen   netip.AddrPort
	target   netip.AddrPort
	opened   func(c *channel)

	mu       sync.Mutex
	random   *rand.Rand
	listener *net.TCPListener // nil while connections are refused
	closed   bool
	away     bool             // the server is away
	severed  chan struct{}    // closed when the link is whole again; nil if it is
	quiet    bool             // dials get no answer, while the link is severed
	held     [2]chan struct{} // closed when the data pass again; nil while they pass
	late     [2]delaying
	lossy    float64 // share of calls whose answer is lost
	channels map[*channel]bool
}

// channel is one connection through a link.
type channel struct {
	link           *link
	client, server *net.TCPConn
	openedAt       time.Time
	gone           chan struct{} // closed when the server's side is
	once           sync.Once

	mu     sync.Mutex
	passed []passage // of calls
	lost   bool      // the next answer is lost
}

// passage says when data came and when they were passed on.
type passage struct{ in, out time.Time }

func newLink(from, to string, listen, target netip.AddrPort, random *rand.Rand, opened func(*channel)) (*link, error) {
	l := &link{
		name: from + " to " + to, from: from, to: to, listen: listen, target: target,
		opened: opened, random: random, channels: map[*channel]bool{},
	}
	return l, l.open()
}

// open makes the link accept connections.
func (l *link) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = false
	return l.bind()
}

// bind listens at the link's address. l.mu is held.
func (l *link) bind() error {
	if l.listener != nil || l.closed {
		return nil
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.listen))
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// refuse makes the link refuse new connections, once it is whole if dials get no answer.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
	if !l.quiet {
		l.unbind()
	}
}

// unbind stops listening. l.mu is held.
func (l *link) unbind() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// sever cuts the link until it is mended.
func (l *link) sever(how severing) error {
	l.mu.Lock()
	if l.severed != nil || l.closed {
		l.mu.Unlock()
		return nil
	}
	l.severed = make(chan struct{})
	var err error
	if how != severedHeld {
		err = l.silence()
	}
	l.mu.Unlock()
	if how == severedReset {
		l.reset()
	}
	return err
}

const (
	backlog     = 4096 // connections that may wait to be accepted; the operating system may allow fewer
	fillDials   = 4    // without a backlog one connection is accepted and one waits; a dial between may fail
	fillTimeout = 50 * time.Millisecond
)

// silence makes dials get no answer: the operating system drops the first packet of a connection
// that finds the listener's backlog full. l.mu is held.
func (l *link) silence() error {
	l.quiet = true
	if err := l.bind(); err != nil {
		return err
	}
	if err := l.setBacklog(0); err != nil {
		return err
	}
	go l.fill(l.severed)
	return nil
}

// fill fills the listener's backlog until a time.
func (l *link) fill(until <-chan struct{}) {
	var connections []net.Conn
	for range fillDials {
		if connection, err := net.DialTimeout("tcp", l.listen.String(), fillTimeout); err == nil {
			connections = append(connections, connection)
		}
	}
	<-until
	for _, connection := range connections {
		_ = connection.Close()
	}
}

// setBacklog sets how many connections may wait to be accepted. l.mu is held.
func (l *link) setBacklog(n int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// mend makes a severed link whole.
func (l *link) mend() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.severed == nil {
		return nil
	}
	close(l.severed)
	l.severed = nil
	if !l.quiet {
		return nil
	}
	l.quiet = false
	if l.away {
		l.unbind()
		return nil
	}
	return l.setBacklog(backlog)
}

// close ends the link and its connections.
func (l *link) close() {
	l.mu.Lock()
	l.closed, l.away = true, true
	l.mu.Unlock()
	_ = l.mend() // it stops listening
	l.refuse()
	l.reset()
}

// reset resets all connections. What is held back on them is lost.
func (l *link) reset() {
	l.mu.Lock()
	channels := l.channels
	l.channels = map[*channel]bool{}
	l.mu.Unlock()
	for c := range channels {
		c.reset()
	}
}

// hold holds back or passes the data of one direction.
func (l *link) hold(d direction, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && l.held[d] == nil:
		l.held[d] = make(chan struct{})
	case !held && l.held[d] != nil:
		close(l.held[d])
		l.held[d] = nil
	}
}

// delay makes a share of the calls or of the answers late.
func (l *link) delay(d direction, by delaying) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late[d] = by
}

// lose makes a share of the calls lose their answers, with a reset.
func (l *link) lose(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lossy = share
}

// fate returns for how long data are held back, and whether the answer is lost.
func (l *link) fate(d direction) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := time.Duration(0)
	if by := l.late[d]; by.share > 0 && l.random.Float64() < by.share {
		wait = by.least + time.Duration(l.random.Float64()*float64(by.spread))
	}
	return wait, d == calls && l.lossy > 0 && l.random.Float64() < l.lossy
}

// holding returns what is closed when data may pass, nil if they may now.
func (l *link) holding(d direction) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.severed != nil {
		return l.severed
	}
	return l.held[d]
}

// quietUntil returns what is closed when dials get answers again, nil if they do.
func (l *link) quietUntil() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.quiet {
		return nil
	}
	return l.severed
}

func (l *link) accept(listener *net.TCPListener) {
	for {
		client, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		if whole := l.quietUntil(); whole != nil {
			<-whole
			_ = client.Close()
			continue
		}
		server, err := net.DialTimeout("tcp", l.target.String(), time.Second)
		if err != nil {
			_ = client.SetLinger(0)
			_ = client.Close()
			if errors.Is(err, syscall.ECONNREFUSED) {
				l.refuse()
			}
			continue
		}
		c := &channel{link: l, client: client, server: server.(*net.TCPConn), openedAt: time.Now(), gone: make(chan struct{})}
		l.mu.Lock()
		l.channels[c] = true
		l.mu.Unlock()
		l.opened(c)
		go c.pump(calls, c.client, c.server)
		go c.pump(answers, c.server, c.client)
	}
}

func (c *channel) reset() {
	_ = c.client.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.end()
	_ = c.client.Close()
}

// end closes the server's side.
func (c *channel) end() {
	c.once.Do(func() {
		close(c.gone)
		_ = c.server.Close()
		c.link.mu.Lock()
		delete(c.link.channels, c)
		c.link.mu.Unlock()
	})
}

// packet is data under way; nil data are the end of the stream.
type packet struct {
	data []byte
	in   time.Time
	due  time.Time
}

// pump passes data on from one side to the other.
func (c *channel) pump(d direction, from, to *net.TCPConn) {
	packets := make(chan packet, 64)
	go c.deliver(d, packets, to)
	due := time.Time{}
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		now := time.Now()
		wait, lost := c.link.fate(d)
		if n > 0 {
			if later := now.Add(wait); later.After(due) {
				due = later
			}
			c.mu.Lock()
			c.lost = c.lost || lost
			reset := d == answers && c.lost
			c.mu.Unlock()
			if reset {
				c.reset()
			}
			packets <- packet{slices.Clone(buffer[:n]), now, due}
		}
		if err != nil {
			packets <- packet{nil, now, due}
			return
		}
	}
}

func (c *channel) deliver(d direction, packets chan packet, to *net.TCPConn) {
	failed := false
	for p := range packets {
		failed = failed || !waitUntil(c, time.After(time.Until(p.due)))
		for held := c.link.holding(d); held != nil && !failed; held = c.link.holding(d) {
			failed = !waitUntil(c, held)
		}
		if p.data == nil {
			_ = to.Close()
			c.end()
			return
		}
		if !failed {
			if d == calls {
				c.mu.Lock()
				c.passed = append(c.passed, passage{p.in, time.Now()})
				c.mu.Unlock()
			}
			_, err := to.Write(p.data)
			failed = err != nil
		}
	}
}

// waitUntil waits for a signal. It reports false if the connection has ended before.
func waitUntil[T any](c *channel, signal <-chan T) bool {
	select {
	case <-signal:
		return true
	case <-c.gone:
		return false
	}
}

// passageBefore returns when the latest call before a time came and was passed on.
func (c *channel) passageBefore(at time.Time) (passage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range slices.Backward(c.passed) {
		if !p.out.After(at) {
			return p, true
		}
	}
	return passage{}, false
}
