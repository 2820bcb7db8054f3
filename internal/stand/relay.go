package stand

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Relay passes connections on to a target. It can forget the connections that
// are open, as a middlebox does that lost track of them: they stay open on both
// sides and carry nothing any more, while new ones work.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	pairs []*pair
	cut   bool
}

// pair is one connection through the relay.
type pair struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

// NewRelay starts a relay on a free port of the loopback address.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{listener: listener, target: target}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// Silence forgets the connections that are open.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Cut ends all connections and, while cut, every new one at once.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		r.closeAll()
	}
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

func (r *Relay) closeAll() {
	for _, p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	r.pairs = nil
}

func (r *Relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target.String())
		if err == nil && r.isCut() {
			_ = far.Close()
			err = net.ErrClosed
		}
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.pass(near, far)
		go p.pass(far, near)
	}
}

// pass copies until the source ends. What comes after the silence is dropped,
// the end of the connection included.
func (p *pair) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
