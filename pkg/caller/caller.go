// Package caller is the callers' side of papayarudder: the names of its HTTP
// interface and a small client.
//
// # Usage
//
//	client := caller.NewClient(netip.MustParseAddrPort("10.0.0.1:8080"))
//	answer, err := client.Do(ctx, caller.Request{
//		Service: "banco-nord",
//		Key:     caller.NewKey(), // for work that must not run twice
//		Timeout: 5 * time.Second,
//		Body:    body,
//	})
//	var refusal *caller.Refusal
//	switch {
//	case err == nil:
//		// answer.Body is the whole answer
//	case errors.Is(err, caller.ErrNotRun):
//		// nothing of the request ran; it may be sent again
//	case errors.Is(err, caller.ErrUnknown):
//		// it may have run; only work that may run twice may be sent again
//	}
//	errors.As(err, &refusal) // for the reason
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Names of the headers of a request and its answer.
const (
	HeaderRequestID = "Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderTeam      = "Team"
	HeaderUrgency   = "Urgency"
	HeaderTimeout   = "Request-Timeout"
	HeaderOutcome   = "Request-Outcome"
)

// PathServices is the path below which each service has its name.
const PathServices = "/v1/services/"

// Outcome says what became of a request.
type Outcome string

// The three outcomes.
const (
	Answered Outcome = "answered" // the whole answer of this request
	NotRun   Outcome = "not-run"  // nothing of it reached any endpoint
	Unknown  Outcome = "unknown"  // it may have run
)

// Errors that [Client.Do] returns.
var (
	ErrNotRun  = errors.New("the request was not run")
	ErrUnknown = errors.New("the request may have run")
)

// Reason says why a request was not answered.
type Reason string

// The reasons of a refusal.
const (
	BadRequest     Reason = "bad-request"
	UnknownService Reason = "unknown-service"
	WrongMethod    Reason = "wrong-method"
	TooLarge       Reason = "too-large"
	BadKey         Reason = "bad-key"
	KeyMissing     Reason = "key-missing"
	KeyExpired     Reason = "key-expired"
	KeyAhead       Reason = "key-ahead"
	KeyRunning     Reason = "key-running"
	KeyAnswered    Reason = "key-answered"
	KeyUncertain   Reason = "key-uncertain"
	KeyOwnerAway   Reason = "key-owner-away"
	DeadlinePast   Reason = "deadline-past"
	CannotStart    Reason = "cannot-start-in-time"
	QueueFull      Reason = "queue-full"
	EntryFull      Reason = "entry-full"
	NotReady       Reason = "not-ready"
	NoWorker       Reason = "no-worker"
	EndpointFailed Reason = "endpoint-failed"
	EndpointSilent Reason = "endpoint-silent"
	AnswerBad      Reason = "answer-malformed"
	AnswerTooLarge Reason = "answer-too-large"
	CallerGone     Reason = "caller-gone"
)

// Refusal is the typed body of an answer that is not the endpoint's.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	Field      string // of a bad request
	RequestID  string
	RetryAfter time.Duration // 0 if there is no use in waiting
	Status     int           // of HTTP
}

// Error renders the refusal on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// Is makes a refusal match [ErrNotRun] or [ErrUnknown].
func (r *Refusal) Is(target error) bool {
	return target == ErrNotRun && r.Outcome == NotRun || target == ErrUnknown && r.Outcome == Unknown
}

// refusalWire is the JSON form of a [Refusal].
type refusalWire struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	Field        string `json:"field,omitempty"`
	RequestID    string `json:"request-id,omitempty"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
}

// EncodeRefusal returns the JSON body of a refusal.
func EncodeRefusal(r *Refusal) []byte {
	w := refusalWire{string(r.Outcome), string(r.Reason), r.Detail, r.Field, r.RequestID, r.RetryAfter.Milliseconds()}
	data, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}

// DecodeRefusal reads the JSON body of a refusal.
func DecodeRefusal(status int, data []byte) (*Refusal, error) {
	var w refusalWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "read refusal")
	}
	wait := time.Duration(w.RetryAfterMS) * time.Millisecond
	return &Refusal{Outcome(w.Outcome), Reason(w.Reason), w.Detail, w.Field, w.RequestID, wait, status}, nil
}

// NewKey returns a new key for work that must not run twice.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Request is one request to a service. Only Service is required.
type Request struct {
	Service     string
	ID          string // made by the entry if empty
	Key         string
	Team        string
	Urgency     string // "low", "normal" or "urgent"
	Timeout     time.Duration
	ContentType string
	Body        []byte
}

// Answer is an endpoint's whole answer.
type Answer struct {
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
}

// Client sends requests to one entry or balancer.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the entry or balancer at addr.
func NewClient(addr netip.AddrPort) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and waits for its end. An error is or wraps a [*Refusal];
// when the connection failed, its outcome is [Unknown], or [NotRun] if nothing
// could be sent.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	request, err := c.httpRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, connectionRefusal(r, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, connectionRefusal(r, err)
	}
	if response.Header.Get(HeaderOutcome) == string(Answered) {
		return &Answer{response.Header.Get(HeaderRequestID), response.StatusCode, response.Header, body}, nil
	}
	refusal, err := DecodeRefusal(response.StatusCode, body)
	if err != nil {
		return nil, connectionRefusal(r, err)
	}
	return nil, refusal
}

func (c *Client) httpRequest(ctx context.Context, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathServices+r.Service, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport never sends a request twice by itself.
	request.GetBody = nil
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	set(HeaderRequestID, r.ID)
	set(HeaderKey, r.Key)
	set(HeaderTeam, r.Team)
	set(HeaderUrgency, r.Urgency)
	set("Content-Type", r.ContentType)
	if r.Timeout != 0 {
		set(HeaderTimeout, r.Timeout.String())
	}
	return request, nil
}

// connectionRefusal says what is known when the connection to the entry failed.
func connectionRefusal(r Request, err error) *Refusal {
	outcome := Unknown
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		outcome = NotRun
	}
	return &Refusal{Outcome: outcome, Reason: "connection-failed", Detail: err.Error(), RequestID: r.ID}
}
