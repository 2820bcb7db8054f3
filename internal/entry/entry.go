// Package entry serves callers. It reads a request's body, asks the pool's
// dispatcher for a slot, sends the body to the worker of the granted slot, and
// returns the complete answer or a typed refusal to the caller.
//
// # Usage
//
//	e := entry.New(config)
//	http.Serve(listener, e.Handler())
//
// # Outcomes
//
// A request is refused as not-run only if no byte of it was written to a worker's
// connection, or the worker declined it. Otherwise its outcome is answered or
// unknown. A failed request that may run twice is retried on another worker, within
// its deadline and the retry budget.
package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// Limits bounds the requests and connections of one entry.
type Limits struct {
	MaxRequest  int64 // bytes of a request's body
	MaxInFlight int   // requests in progress
	MaxAttempts int   // of a request that may run twice
	Link        link.Limits
}

// Config holds the settings and dependencies of an entry.
type Config struct {
	Name   string
	Limits Limits
	Log    *event.Log
	Now    func() time.Time

	// State returns the fleet's state that is in force in this process.
	State func() *fleet.State
	// FenceReason returns why nothing may be sent to workers now, empty if it may.
	FenceReason func() string
	// Acquire waits for a slot of a pool until ctx ends.
	Acquire func(ctx context.Context, pool string, r sched.Request) (sched.Decision, error)
	// Release returns a slot to its pool.
	Release func(pool string, grant sched.Grant, outcome sched.Outcome)
	// Begin asks the key's owner whether an attempt may run its work.
	Begin func(ctx context.Context, key once.Key, attempt string) (once.Verdict, error)
	// End reports the outcome of an attempt to the key's owner.
	End func(key once.Key, attempt string, outcome once.Outcome)
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	config  Config
	metrics *entryMetrics

	mu        sync.Mutex
	links     map[netip.AddrPort]*link.Link
	inFlight  map[string]int         // attempts, by host
	grants    map[uint64]sched.Grant // of the attempts in flight, by ID
	requests  int
	stopping  bool
	budget    retryBudget
	latencies map[string]*latencyEstimate // by service

	quiescing atomic.Bool

	stopped context.Context // ends when the entry stops
	stop    context.CancelFunc

	startID        string // random, makes attempt IDs unique across restarts
	attemptCounter atomic.Uint64
}

// New returns an entry. It serves the callers of [Entry.Handler].
func New(config Config) *Entry {
	stopped, stop := context.WithCancel(context.Background())
	return &Entry{
		stopped:   stopped,
		stop:      stop,
		config:    config,
		metrics:   newEntryMetrics(),
		links:     map[netip.AddrPort]*link.Link{},
		inFlight:  map[string]int{},
		grants:    map[uint64]sched.Grant{},
		budget:    newRetryBudget(),
		latencies: map[string]*latencyEstimate{},
		startID:   uuid.NewString()[:8],
	}
}

// nextAttemptID returns an ID that no other attempt has, even if callers reuse
// their request IDs.
func (e *Entry) nextAttemptID() string {
	return fmt.Sprintf("%s-%s-%d", e.config.Name, e.startID, e.attemptCounter.Add(1))
}

// Status describes an entry for the drain of a host and for operators.
type Status struct {
	Version  uint64         // of the state in force
	InFlight map[string]int // attempts, by host
	Requests int            // in progress
}

// Status returns the version in force and the attempts in flight at the same
// moment. An attempt that starts later sees at least this version.
func (e *Entry) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := Status{Version: e.config.State().Version, InFlight: map[string]int{}, Requests: e.requests}
	for host, count := range e.inFlight {
		status.InFlight[host] = count
	}
	return status
}

// Held returns the grants of a pool that this entry is using.
func (e *Entry) Held(pool string) []sched.Grant {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.config.State()
	var held []sched.Grant
	for _, g := range e.grants {
		if state.Services[g.Service].Pool == pool {
			held = append(held, g)
		}
	}
	return held
}

// Quiesce makes the entry send "Connection: close" with each answer. It does not
// close idle connections, because a request may already be on its way.
func (e *Entry) Quiesce() {
	e.quiescing.Store(true)
}

// Stop makes the entry refuse new requests, and those whose bodies have not arrived
// completely.
func (e *Entry) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.stop()
}

// Trim closes the connections that have been idle for too long, and those to hosts
// that take no work.
func (e *Entry) Trim(now time.Time) {
	state := e.config.State()
	inUse := map[netip.AddrPort]bool{}
	for _, h := range state.Hosts {
		if h.TakesWork() {
			inUse[h.Spec.Addr] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, l := range e.links {
		l.Trim(now)
		if !inUse[addr] {
			l.Close()
			delete(e.links, addr)
		}
	}
}

// request is a caller's request that is in progress.
type request struct {
	caller.Request
	service  fleet.Service
	urgency  sched.Urgency
	key      once.Key
	hasKey   bool
	deadline time.Time
	attempts int
	avoid    []string
}

// retryable reports whether the request may run more than once.
func (r *request) retryable() bool {
	return r.service.Idempotent && !r.hasKey
}

// reply is what the caller receives: either an answer or a refusal.
type reply struct {
	answer  *link.Result
	refusal *caller.Refusal
}

// run executes a request and returns the reply to its caller. Work with an
// idempotency key runs only if the key's owner permits it.
func (e *Entry) run(ctx context.Context, r *request) reply {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !r.hasKey {
		return e.runAttempts(ctx, r)
	}
	attempt := e.nextAttemptID()
	if refusal := e.beginKey(ctx, r, attempt); refusal != nil {
		return reply{refusal: refusal}
	}
	result := e.runAttempts(ctx, r)
	e.config.End(r.key, attempt, keyOutcome(result))
	return result
}

func (e *Entry) admit() caller.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return caller.NotReady
	}
	if e.requests >= e.config.Limits.MaxInFlight {
		return caller.EntryFull
	}
	e.requests++
	return ""
}

func (e *Entry) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests--
}

// beginKey asks the key's owner whether the work may run, and returns nil if it
// may. If no answer arrives the work is not run, and this is reported to the owner,
// which may have permitted it.
func (e *Entry) beginKey(ctx context.Context, r *request, attempt string) *caller.Refusal {
	verdict, err := e.config.Begin(ctx, r.key, attempt)
	if err != nil {
		e.config.End(r.key, attempt, once.NotRun)
		return refused(caller.NotRun, caller.KeyOwnerAway, "the key can't be checked now: "+err.Error(), time.Second).refusal
	}
	return keyRefusal(verdict, r.Key)
}

func keyRefusal(verdict once.Verdict, key string) *caller.Refusal {
	switch verdict {
	case once.Proceed:
		return nil
	case once.Running:
		return refused(caller.Unknown, caller.KeyRunning, "a request with key "+key+" is running", time.Second).refusal
	case once.Ended:
		return refused(caller.Unknown, caller.KeyAnswered, "a request with key "+key+" was answered before", 0).refusal
	case once.Expired:
		return refused(caller.Unknown, caller.KeyExpired, "key "+key+" is too old to tell whether it was run", 0).refusal
	case once.Future:
		return refused(caller.NotRun, caller.KeyAhead, "key "+key+" was born ahead of this host's clock", time.Second).refusal
	}
	return refused(caller.Unknown, caller.KeyUncertain, "a request with key "+key+" may have run", 0).refusal
}

func keyOutcome(result reply) once.Outcome {
	switch {
	case result.answer != nil:
		return once.Answered
	case result.refusal.Outcome == caller.NotRun:
		return once.NotRun
	}
	return once.Unknown
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }
