package stand

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Relay is a TCP proxy to a target. It can drop all data of the open connections,
// like a middlebox that lost its connection state: they stay open on both sides
// but carry no data, while new connections work.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu          sync.Mutex
	connections []*connection
	cut         bool
}

// connection is one connection through the relay.
type connection struct {
	client, server net.Conn

	mu       sync.Mutex
	dropping bool
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

// Silence drops all further data of the connections that are open now.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.connections {
		p.mu.Lock()
		p.dropping = true
		p.mu.Unlock()
	}
}

// Cut closes all connections and, until it is called with false, each new one at
// once.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		r.closeAll()
	}
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

func (r *Relay) closeAll() {
	for _, p := range r.connections {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	r.connections = nil
}

func (r *Relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target.String())
		if err == nil && r.isCut() {
			_ = server.Close()
			err = net.ErrClosed
		}
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &connection{client: client, server: server}
		r.mu.Lock()
		r.connections = append(r.connections, p)
		r.mu.Unlock()
		go p.copyData(client, server)
		go p.copyData(server, client)
	}
}

// copyData copies from one side to the other until the source closes. After
// Silence it discards the data and does not forward the close.
func (p *connection) copyData(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		dropping := p.dropping
		p.mu.Unlock()
		if dropping && err == nil {
			continue
		}
		if dropping {
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
