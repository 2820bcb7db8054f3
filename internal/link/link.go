// Package link carries requests to one endpoint over HTTP/1.1 connections of
// its own, so that it knows for each request whether a byte of it was handed to
// a socket that may deliver it.
//
// # Usage
//
//	l := link.New(addr, link.DefaultLimits())
//	result := l.Do(ctx, link.Request{ID: id, Attempt: attempt, Service: "label", Body: body})
//	switch result.Outcome {
//	case link.Answered: // result.Status, result.Header, result.Body are whole
//	case link.NotSent:  // nothing reached the endpoint
//	case link.Lost:     // the endpoint may have run it
//	}
//
// An answer counts only if it names the attempt, has the length that it
// declares and fits the limits; anything else is Lost and its connection is
// closed. A connection that missed a deadline or has bytes waiting before a
// request was sent is never used again.
package link

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the headers that pass between entries and endpoints.
const (
	HeaderRequestID = "Request-Id" // the caller's
	HeaderAttempt   = "Attempt-Id" // of one try; the answer must carry it back
	HeaderKey       = "Idempotency-Key"
	HeaderTeam      = "Team"
	HeaderUrgency   = "Urgency"
	HeaderOutcome   = "Request-Outcome"
	HeaderDigest    = "Content-Digest"
)

// Errors that explain an outcome.
var (
	ErrDial      = errors.New("no connection to the endpoint")
	ErrClosed    = errors.New("the endpoint closed the connection without an answer")
	ErrCrossed   = errors.New("the answer is for another request")
	ErrTruncated = errors.New("the answer is not whole")
	ErrTooLarge  = errors.New("the answer is over the limit")
	ErrSilent    = errors.New("the endpoint did not answer in time")
	ErrDeclined  = errors.New("the endpoint declined to run the request")
)

// Outcome says what is known of a request that was tried.
type Outcome int

// The outcomes of a try.
const (
	Answered Outcome = iota
	NotSent
	Lost
)

// Request is what goes to an endpoint.
type Request struct {
	ID          string // the caller's
	Attempt     string // differs for every try
	Key         string // of non-idempotent work, else empty
	Service     string
	Team        string
	Urgency     string
	ContentType string
	Body        []byte

	// Allowed, if it is not nil, is asked right before the first byte is written:
	// the dial may have taken a while.
	Allowed func() error
}

// Result is the end of a try. Err is set unless Outcome is Answered.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Err     error
}

// Limits bounds what a link holds.
type Limits struct {
	Dial      time.Duration
	IdleConns int
	IdleTime  time.Duration
	MaxAnswer int64 // bytes
}

// DefaultLimits leaves room within an endpoint's 64 connections for the idle
// ones of 14 entries and one connection for each of 8 slots.
func DefaultLimits() Limits {
	return Limits{Dial: 500 * time.Millisecond, IdleConns: 4, IdleTime: 20 * time.Second, MaxAnswer: 8 << 20}
}

// keepAlive finds a connection that the network has forgotten while its request
// runs, for work that must not be given up early.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Link keeps the connections to one endpoint.
type Link struct {
	addr   netip.AddrPort
	limits Limits

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// conn is a connection with its reader.
type conn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // when it became idle
}

// New returns a link without connections.
func New(addr netip.AddrPort, limits Limits) *Link {
	return &Link{addr: addr, limits: limits}
}

// Open returns how many connections are open.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Close closes the idle connections; one in use is closed when its request
// ends.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.dropIdle()
}

// Trim closes the connections that have been idle too long.
func (l *Link) Trim(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 && now.Sub(l.idle[0].since) > l.limits.IdleTime {
		l.discardLocked(l.idle[0])
		l.idle = l.idle[1:]
	}
}

// Do sends a request and waits for its whole answer until ctx ends.
func (l *Link) Do(ctx context.Context, r Request) Result {
	c, err := l.take(ctx)
	if err != nil {
		return Result{Outcome: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result, reusable := l.exchange(ctx, c, r)
	if !stop() || !reusable {
		l.discard(c, result.Outcome == Lost)
		return result
	}
	l.give(c)
	return result
}

// exchange sends the request and reads the answer. From its first write on, a
// failure is Lost: the socket may deliver what it has taken.
func (l *Link) exchange(ctx context.Context, c *conn, r Request) (Result, bool) {
	if ctx.Err() != nil {
		return Result{Outcome: NotSent, Err: errors.Wrap(ErrDial, ctx.Err().Error())}, false
	}
	if r.Allowed != nil {
		if err := r.Allowed(); err != nil {
			return Result{Outcome: NotSent, Err: err}, true
		}
	}
	if err := l.httpRequest(r).Write(c); err != nil {
		return lost(ctx, ErrClosed, err), false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return lost(ctx, ErrClosed, err), false
	}
	defer response.Body.Close()
	return l.readAnswer(ctx, c, r, response)
}

func (l *Link) httpRequest(r Request) *http.Request {
	header := http.Header{}
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderAttempt, r.Attempt)
	header.Set("User-Agent", "papayarudder")
	setIfAny(header, HeaderKey, r.Key)
	setIfAny(header, HeaderTeam, r.Team)
	setIfAny(header, HeaderUrgency, r.Urgency)
	setIfAny(header, "Content-Type", r.ContentType)
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: l.addr.String(), Path: "/run/" + r.Service},
		Host:          l.addr.String(),
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (l *Link) readAnswer(ctx context.Context, c *conn, r Request, response *http.Response) (Result, bool) {
	if got := response.Header.Get(HeaderAttempt); got != r.Attempt {
		return lost(ctx, ErrCrossed, errors.Newf("asked as %s, answered as %q", r.Attempt, got)), false
	}
	if response.ContentLength > l.limits.MaxAnswer {
		return lost(ctx, ErrTooLarge, errors.Newf("%d bytes", response.ContentLength)), false
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lost(ctx, ErrTruncated, errors.New("the answer declares no length")), false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, l.limits.MaxAnswer+1))
	if err != nil {
		return lost(ctx, ErrTruncated, err), false
	}
	if int64(len(body)) > l.limits.MaxAnswer {
		return lost(ctx, ErrTooLarge, errors.Newf("over %d bytes", l.limits.MaxAnswer)), false
	}
	if c.reader.Buffered() > 0 {
		return lost(ctx, ErrTruncated, errors.New("bytes follow the declared length")), false
	}
	if !digestMatches(response.Header.Get(HeaderDigest), body) {
		return lost(ctx, ErrTruncated, errors.New("the content digest differs")), false
	}
	if response.Header.Get(HeaderOutcome) == "not-run" {
		return Result{Outcome: NotSent, Err: errors.WithStack(ErrDeclined)}, !response.Close
	}
	return Result{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close
}

// digestMatches checks a Content-Digest (RFC 9530) in SHA-256. One that is
// absent or of another kind says nothing.
func digestMatches(field string, body []byte) bool {
	encoded, found := strings.CutPrefix(strings.TrimSuffix(field, ":"), "sha-256=:")
	if !found {
		return true
	}
	sum := sha256.Sum256(body)
	return encoded == base64.StdEncoding.EncodeToString(sum[:])
}

func lost(ctx context.Context, kind, err error) Result {
	var timeout net.Error
	if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		kind = ErrSilent
	}
	return Result{Outcome: Lost, Err: errors.Wrap(kind, err.Error())}
}

// take returns an idle connection that is still good, or a new one.
func (l *Link) take(ctx context.Context) (*conn, error) {
	for {
		c := l.pop()
		if c == nil {
			return l.dial(ctx)
		}
		if quiet(c) {
			return c, nil
		}
		l.discard(c, false)
	}
}

func (l *Link) pop() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		return nil
	}
	last := len(l.idle) - 1
	c := l.idle[last]
	l.idle = l.idle[:last]
	return c
}

func (l *Link) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: l.limits.Dial, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", l.addr.String())
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (l *Link) give(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.idle) >= l.limits.IdleConns {
		l.discardLocked(c)
		return
	}
	c.since = time.Now()
	l.idle = append(l.idle, c)
}

// discard closes a connection. If it was lost, the idle ones to the same
// address are suspect too: whatever forgot one may have forgotten them all.
func (l *Link) discard(c *conn, suspect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discardLocked(c)
	if suspect {
		l.dropIdle()
	}
}

func (l *Link) dropIdle() {
	for _, c := range l.idle {
		l.discardLocked(c)
	}
	l.idle = nil
}

func (l *Link) discardLocked(c *conn) {
	l.open--
	_ = c.Close()
}
