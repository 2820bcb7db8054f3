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
	if c.entry.body {
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

// smallWrite is the length in bytes up to which a write is not counted: it fits into the buffer
// that every connection has.
const smallWrite = 4 << 10

// Write is part of [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	if len(p) <= smallWrite {
		return c.Conn.Write(p)
	}
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
			g.begin(&c.entry, r.ContentLength != 0)
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
			g.finish(&c.entry)
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

// decoders bounds how many bodies longer than a block are joined, and decoded by [DecodeBody], at
// the same time. Either takes more memory than the bytes that count.
var decoders = make(chan struct{}, 4)

// ReadBody reads the body of a request, which may have up to limit bytes. Memory is taken as the
// bytes arrive. The error is an [ErrTooLong], an [ErrCrowded] or an [ErrCutOff].
func ReadBody(r *http.Request, limit int64) (body []byte, err error) {
	err = DecodeBody(r, limit, func(data []byte) error {
		body = data
		return nil
	})
	return body, err
}

// DecodeBody reads the body of a request as [ReadBody] does, calls decode with it and returns the
// error of either. Only a few long bodies are decoded at the same time.
func DecodeBody(r *http.Request, limit int64, decode func(data []byte) error) error {
	if r.ContentLength > limit {
		return errors.WithStack(ErrTooLong)
	}
	if r.ContentLength >= 0 && r.ContentLength <= blockBytes {
		data := make([]byte, r.ContentLength)
		if err := reading(r, func() error {
			_, err := io.ReadFull(r.Body, data)
			return errors.Mark(err, ErrCutOff)
		}); err != nil {
			return err
		}
		return decode(data)
	}
	var b body
	defer b.free()
	if err := reading(r, func() error { return b.read(r.Body, limit) }); err != nil {
		return err
	}
	if len(b.blocks) > 1 {
		select {
		case decoders <- struct{}{}:
			defer func() { <-decoders }()
		case <-r.Context().Done():
			return errors.Mark(r.Context().Err(), ErrCutOff)
		}
	}
	return decode(b.join())
}

// reading calls f, which reads the body of a request, and returns its error, or [ErrCrowded] if
// the request was ended meanwhile.
func reading(r *http.Request, f func() error) error {
	c, guarded := r.Context().Value(connKey{}).(*conn)
	if !guarded {
		return f()
	}
	defer c.gate.arrived(&c.entry)
	err := f()
	if err != nil && c.ended() {
		return errors.WithStack(ErrCrowded)
	}
	return err
}

// body is a body that arrives.
type body struct {
	blocks []*[blockBytes]byte
	size   int
}

func (b *body) read(from io.Reader, limit int64) error {
	for used := blockBytes; ; {
		if used == blockBytes {
			b.blocks, used = append(b.blocks, blocks.Get().(*[blockBytes]byte)), 0
		}
		n, err := from.Read(b.blocks[len(b.blocks)-1][used:])
		used += n
		b.size += n
		switch {
		case int64(b.size) > limit:
			return errors.WithStack(ErrTooLong)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Mark(err, ErrCutOff)
		}
	}
}

// join returns the whole body and frees its blocks.
func (b *body) join() []byte {
	data := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		data = append(data, block[:min(blockBytes, b.size-len(data))]...)
	}
	b.free()
	return data
}

func (b *body) free() {
	for _, block := range b.blocks {
		blocks.Put(block)
	}
	b.blocks = nil
}
