package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errMessageLength is returned for a message that is longer than allowed.
var errMessageLength = errors.New("message from a peer is too long")

// ServerLimits bound what connections to a [Server] can make the process hold.
type ServerLimits struct {
	Message int   // bytes of one message
	Bytes   int64 // of messages that have arrived in part
	Conns   int   // connections
	Calls   int   // in progress on one connection
}

// DefaultServerLimits returns limits that no peer meets: the longest messages are changes by a
// ticket of 16 MiB, and an entry has up to 4,096 requests in flight.
func DefaultServerLimits() ServerLimits {
	return ServerLimits{Message: 32 << 20, Bytes: 64 << 20, Conns: 1024, Calls: 1 << 14}
}

// decoderChunk is what encoding/gob allocates for a message, by its length, before it reads it.
const decoderChunk = 10 << 20

// writeTimeout is how long a peer may take to read an answer.
const writeTimeout = 10 * time.Second

// inbound is a connection from a peer. It follows the lengths that encoding/gob writes in front of
// its messages. The decoder keeps the last message until the next one is whole.
type inbound struct {
	net.Conn
	server *Server

	// Guarded by the server's mutex.
	held   int64     // bytes of the last whole message, and what the decoder has taken for the current one
	usedAt time.Time // when a message last arrived whole, or the connection was made

	// Used by Read only.
	length  uint64 // of the message that begins, as far as it has arrived
	lacking int    // bytes of the length that have not arrived
	last    uint64 // bytes of the last message that has arrived whole
	got     uint64 // bytes of the current message that have arrived
	rest    uint64 // and those that have not
	ahead   uint64 // bytes that the decoder allocates for it by its length
}

// Read is part of [net.Conn].
func (c *inbound) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.follow(p[:n]) {
		return 0, errors.WithStack(errMessageLength)
	}
	return n, err
}

// Write is part of [net.Conn].
func (c *inbound) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails in Write
	return c.Conn.Write(p)
}

// follow counts the bytes of messages. It reports whether no message is too long.
func (c *inbound) follow(data []byte) bool {
	whole := false
	for len(data) > 0 {
		if c.rest > 0 {
			n := min(c.rest, uint64(len(data)))
			data = data[n:]
			c.got, c.rest = c.got+n, c.rest-n
			if c.rest == 0 {
				c.last, c.got, c.ahead, whole = c.got, 0, 0, true
			}
			continue
		}
		switch b := data[0]; {
		case c.lacking > 0:
			c.length = c.length<<8 | uint64(b)
			c.lacking--
		case b < 0x80:
			c.length = uint64(b)
		default:
			c.length, c.lacking = 0, -int(int8(b)) // the number of bytes, negated
		}
		data = data[1:]
		if c.lacking > 8 || c.lacking == 0 && c.length > uint64(c.server.limits.Message) {
			return false
		}
		if c.lacking == 0 {
			c.rest, c.ahead, c.length = c.length, min(c.length, decoderChunk), 0
		}
	}
	c.server.received(c, int64(c.last+max(c.got, c.ahead)), whole)
	return true
}

// codec is the server's side of a connection. It reads no further call while too many are in
// progress.
type codec struct {
	conn    io.Closer
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	calls   chan struct{}
	once    sync.Once
	done    chan struct{}
}

func newCodec(conn io.ReadWriteCloser, calls int) *codec {
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer,
		calls: make(chan struct{}, calls), done: make(chan struct{}),
	}
}

// ReadRequestHeader is part of [rpc.ServerCodec].
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.calls <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	return c.decoder.Decode(r)
}

// ReadRequestBody is part of [rpc.ServerCodec].
func (c *codec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse is part of [rpc.ServerCodec]. After an error the connection is of no more use.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

// Close is part of [rpc.ServerCodec].
func (c *codec) Close() error {
	err := error(nil)
	c.once.Do(func() {
		close(c.done)
		err = c.conn.Close()
	})
	return err
}
