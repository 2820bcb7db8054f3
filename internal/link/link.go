// Package link sends requests to one endpoint over its own pool of HTTP/1.1
// connections. Unlike net/http's client it reports for each request whether any
// byte of it was written to a socket, and so may have reached the endpoint.
//
// # Usage
//
//	l := link.New(addr, link.DefaultLimits())
//	result := l.Do(ctx, link.Request{ID: id, Attempt: attempt, Service: "label", Body: body})
//	switch result.Outcome {
//	case link.Answered: // result.Status, result.Header and result.Body are complete
//	case link.NotSent:  // the endpoint has not run the request
//	case link.Lost:     // the endpoint may have run the request
//	}
//
// An answer is accepted only if it carries the attempt's ID, has the length that
// it declares and is within the limits. Any other answer is Lost and its
// connection is closed. A connection on which a request timed out, or which has
// unread bytes before a request is sent, is not reused.
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

// Headers exchanged between entries and endpoints.
const (
	HeaderRequestID = "Request-Id" // chosen by the caller
	HeaderAttempt   = "Attempt-Id" // unique to one attempt; the answer must echo it
	HeaderKey       = "Idempotency-Key"
	HeaderTeam      = "Team"
	HeaderUrgency   = "Urgency"
	HeaderOutcome   = "Request-Outcome"
	HeaderDigest    = "Content-Digest"
)

// Errors that [Result] carries with the outcomes NotSent and Lost.
var (
	ErrDial            = errors.New("no connection to the endpoint")
	ErrClosed          = errors.New("the endpoint closed the connection without an answer")
	ErrAttemptMismatch = errors.New("the answer is for another request")
	ErrTruncated       = errors.New("the answer is not whole")
	ErrTooLarge        = errors.New("the answer is over the limit")
	ErrSilent          = errors.New("the endpoint did not answer in time")
	ErrDeclined        = errors.New("the endpoint declined to run the request")
)

// Outcome says whether a request was answered or may have run.
type Outcome int

// Outcomes of an attempt.
const (
	Answered Outcome = iota // a complete answer arrived
	NotSent                 // the endpoint has not run the request
	Lost                    // the endpoint may have run the request
)

// Request is one attempt at a caller's request.
type Request struct {
	ID          string // chosen by the caller
	Attempt     string // unique to this attempt
	Key         string // idempotency key; empty for idempotent work
	Service     string
	Team        string
	Urgency     string
	ContentType string
	Body        []byte

	// Allowed, if not nil, is called right before the first byte is written. An
	// error cancels the request, which may have become forbidden during the dial.
	Allowed func() error
}

// Result is the result of an attempt. Err is set unless Outcome is Answered.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Err     error
}

// Limits bounds the connections and answers of a link.
type Limits struct {
	DialTimeout  time.Duration
	MaxIdleConns int
	IdleTimeout  time.Duration
	MaxAnswer    int64 // bytes
}

// DefaultLimits returns limits with which 14 entries, each with its idle
// connections, and one connection for each of 8 slots fit into an endpoint's 64
// connections.
func DefaultLimits() Limits {
	return Limits{DialTimeout: 500 * time.Millisecond, MaxIdleConns: 4, IdleTimeout: 20 * time.Second, MaxAnswer: 8 << 20}
}

// keepAlive detects a dead connection while a request runs on it, for requests
// that have no shorter timeout than their deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Link is a connection pool to one endpoint. It is safe for concurrent use.
type Link struct {
	addr   netip.AddrPort
	limits Limits

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// conn is a connection with its buffered reader.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time // when it became idle
}

// New returns a link without connections.
func New(addr netip.AddrPort, limits Limits) *Link {
	return &Link{addr: addr, limits: limits}
}

// Open returns the number of open connections, idle ones included.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Close closes the idle connections. One in use is closed when its request ends.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIdleLocked()
}

// Trim closes the connections that have been idle for longer than the limit.
func (l *Link) Trim(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 && now.Sub(l.idle[0].idleSince) > l.limits.IdleTimeout {
		l.discardLocked(l.idle[0])
		l.idle = l.idle[1:]
	}
}

// Do sends a request and waits for its complete answer until ctx ends.
func (l *Link) Do(ctx context.Context, r Request) Result {
	c, err := l.getConn(ctx)
	if err != nil {
		return Result{Outcome: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result, reusable := l.roundTrip(ctx, c, r)
	if !stop() || !reusable {
		l.discard(c, result.Outcome == Lost)
		return result
	}
	l.putConn(c)
	return result
}

// roundTrip sends the request, reads the answer and reports whether the connection
// can be reused. Every failure after the first write is Lost, since the kernel may
// still deliver the written bytes.
func (l *Link) roundTrip(ctx context.Context, c *conn, r Request) (Result, bool) {
	if ctx.Err() != nil {
		return Result{Outcome: NotSent, Err: errors.Wrap(ErrDial, ctx.Err().Error())}, false
	}
	if r.Allowed != nil {
		if err := r.Allowed(); err != nil {
			return Result{Outcome: NotSent, Err: err}, true
		}
	}
	if err := l.httpRequest(r).Write(c); err != nil {
		return lostResult(ctx, ErrClosed, err), false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return lostResult(ctx, ErrClosed, err), false
	}
	defer response.Body.Close()
	return l.readAnswer(ctx, c, r, response)
}

func (l *Link) httpRequest(r Request) *http.Request {
	header := http.Header{}
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderAttempt, r.Attempt)
	header.Set("User-Agent", "papayarudder")
	setNonEmpty(header, HeaderKey, r.Key)
	setNonEmpty(header, HeaderTeam, r.Team)
	setNonEmpty(header, HeaderUrgency, r.Urgency)
	setNonEmpty(header, "Content-Type", r.ContentType)
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: l.addr.String(), Path: "/run/" + r.Service},
		Host:          l.addr.String(),
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
}

func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (l *Link) readAnswer(ctx context.Context, c *conn, r Request, response *http.Response) (Result, bool) {
	if got := response.Header.Get(HeaderAttempt); got != r.Attempt {
		return lostResult(ctx, ErrAttemptMismatch, errors.Newf("asked as %s, answered as %q", r.Attempt, got)), false
	}
	if response.ContentLength > l.limits.MaxAnswer {
		return lostResult(ctx, ErrTooLarge, errors.Newf("%d bytes", response.ContentLength)), false
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lostResult(ctx, ErrTruncated, errors.New("the answer declares no length")), false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, l.limits.MaxAnswer+1))
	if err != nil {
		return lostResult(ctx, ErrTruncated, err), false
	}
	if int64(len(body)) > l.limits.MaxAnswer {
		return lostResult(ctx, ErrTooLarge, errors.Newf("over %d bytes", l.limits.MaxAnswer)), false
	}
	if c.reader.Buffered() > 0 {
		return lostResult(ctx, ErrTruncated, errors.New("bytes follow the declared length")), false
	}
	if !digestMatches(response.Header.Get(HeaderDigest), body) {
		return lostResult(ctx, ErrTruncated, errors.New("the content digest differs")), false
	}
	if response.Header.Get(HeaderOutcome) == "not-run" {
		return Result{Outcome: NotSent, Err: errors.WithStack(ErrDeclined)}, !response.Close
	}
	return Result{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close
}

// digestMatches checks a SHA-256 Content-Digest (RFC 9530). A missing digest or
// one of another algorithm counts as a match.
func digestMatches(field string, body []byte) bool {
	encoded, found := strings.CutPrefix(strings.TrimSuffix(field, ":"), "sha-256=:")
	if !found {
		return true
	}
	sum := sha256.Sum256(body)
	return encoded == base64.StdEncoding.EncodeToString(sum[:])
}

func lostResult(ctx context.Context, kind, err error) Result {
	var timeout net.Error
	if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		kind = ErrSilent
	}
	return Result{Outcome: Lost, Err: errors.Wrap(kind, err.Error())}
}

// getConn returns a usable idle connection, or dials a new one.
func (l *Link) getConn(ctx context.Context) (*conn, error) {
	for {
		c := l.popIdle()
		if c == nil {
			return l.dial(ctx)
		}
		if usable(c) {
			return c, nil
		}
		l.discard(c, false)
	}
}

func (l *Link) popIdle() *conn {
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
	dialer := net.Dialer{Timeout: l.limits.DialTimeout, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", l.addr.String())
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (l *Link) putConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.idle) >= l.limits.MaxIdleConns {
		l.discardLocked(c)
		return
	}
	c.idleSince = time.Now()
	l.idle = append(l.idle, c)
}

// discard closes a connection. If suspect is set it also closes the idle ones: a
// fault on the network path to the endpoint usually affects all of them.
func (l *Link) discard(c *conn, suspect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discardLocked(c)
	if suspect {
		l.closeIdleLocked()
	}
}

func (l *Link) closeIdleLocked() {
	for _, c := range l.idle {
		l.discardLocked(c)
	}
	l.idle = nil
}

func (l *Link) discardLocked(c *conn) {
	l.open--
	_ = c.Close()
}
