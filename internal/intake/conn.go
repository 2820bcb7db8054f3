package intake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts of guarded servers that have none of their own.
const (
	readTimeout  = time.Minute     // for a request with its body
	writeTimeout = 2 * time.Minute // from the end of a request's header to the end of the answer
)

// Listener returns a listener whose connections count towards the gate's limits. If there are too
// many, it closes others that are unused or make no progress, and else the new one.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept is part of [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g := newConn(l.gate, c); l.gate.open(&g.entry) {
			return g, nil
		}
		_ = c.Close() // refused
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	gate  *Gate
	entry entry
	body  bool // its handler reads a body; guarded by the gate's mutex
	once  sync.Once
}

func newConn(g *Gate, c net.Conn) *conn {
	gc := &conn{Conn: c, gate: g}
	if addr, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		gc.entry.peer = addr.Addr().Unmap()
	}
	gc.entry.end = gc.end
	return gc
}

// end makes the handler's read fail, so that it can refuse the request, or closes the connection
// if no handler reads. The gate calls it with its mutex held.
func (c *conn) end() {
	if c.body {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// Read is part of [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.gate.read(&c.entry, int64(n))
	}
	return n, err
}

// SetReadDeadline is part of [net.Conn]. The deadline of an ended request stays in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.entry.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write is part of [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	c.gate.setWriting(&c.entry, int64(len(p)))
	n, err := c.Conn.Write(p)
	c.gate.setWriting(&c.entry, -int64(len(p)))
	return n, err
}

// CloseWrite is used by net/http before it closes a connection that has unread bytes, so that the
// caller gets the answer.
func (c *conn) CloseWrite() error {
	if half, possible := c.Conn.(interface{ CloseWrite() error }); possible {
		return half.CloseWrite()
	}
	return nil
}

// Close is part of [net.Conn].
func (c *conn) Close() error {
	c.once.Do(func() { c.gate.close(&c.entry) })
	return c.Conn.Close()
}

func (c *conn) setBody(reading bool) {
	c.gate.mu.Lock()
	c.body = reading
	c.gate.mu.Unlock()
	if reading {
		c.gate.setStage(&c.entry, arriving)
	} else {
		c.gate.setStage(&c.entry, served)
	}
}

func (c *conn) ended() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.entry.ended
}

type connKey struct{}

// Guard sets up a server that is to serve connections of the gate's listeners. It must be called
// before the server starts.
func (g *Gate) Guard(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, guarded := r.Context().Value(connKey{}).(*conn); guarded {
			g.begin(&c.entry)
		}
		if len(r.Header) > headerFields {
			w.Header().Set("Connection", "close")
			http.Error(w, fmt.Sprintf("header: %d fields, allowed: up to %d", len(r.Header), headerFields), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, guarded := c.(*conn); guarded && state == http.StateIdle {
			g.setStage(&c.entry, idle)
		}
	}
	if s.ReadTimeout == 0 {
		s.ReadTimeout = readTimeout
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = writeTimeout
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = headerBytes
	}
}

const blockBytes = 16 << 10

var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// ReadBody reads the body of a request, which may have up to limit bytes. Memory is taken as the
// bytes arrive. The error is an [ErrTooLong], an [ErrCrowded] or that of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errors.WithStack(ErrTooLong)
	}
	c, guarded := r.Context().Value(connKey{}).(*conn)
	if guarded {
		c.setBody(true)
		defer c.setBody(false)
	}
	body, err := readBody(r.Body, r.ContentLength, limit)
	if err != nil && guarded && c.ended() {
		return nil, errors.WithStack(ErrCrowded)
	}
	return body, err
}

func readBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 && length <= blockBytes {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, errors.Wrap(err, "read the body")
	}
	var full []*[blockBytes]byte
	defer func() {
		for _, b := range full {
			blocks.Put(b)
		}
	}()
	total := 0
	for used := blockBytes; ; {
		if used == blockBytes {
			full, used = append(full, blocks.Get().(*[blockBytes]byte)), 0
		}
		n, err := body.Read(full[len(full)-1][used:])
		used += n
		total += n
		switch {
		case int64(total) > limit:
			return nil, errors.WithStack(ErrTooLong)
		case errors.Is(err, io.EOF):
			return join(full, total), nil
		case err != nil:
			return nil, errors.Wrap(err, "read the body")
		}
	}
}

func join(full []*[blockBytes]byte, total int) []byte {
	data := make([]byte, 0, total)
	for _, b := range full {
		data = append(data, b[:min(blockBytes, total-len(data))]...)
	}
	return data
}
