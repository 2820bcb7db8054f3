// Package entry serves callers. It keeps a request's body, asks the pool's
// dispatcher for a slot, sends the body to the worker that was granted, and
// gives the caller the whole answer or a typed refusal.
//
// # Usage
//
//	e := entry.New(config)
//	http.Serve(listener, e.Handler())
//
// # What a caller is told
//
// A request is refused as not-run only while no byte of it was handed to a
// socket that may deliver it. From then on it is answered, or unknown. A request
// that may run twice is tried again on another worker, within its deadline and
// a retry budget.
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

// Limits bounds what one entry holds.
type Limits struct {
	MaxRequest  int64 // bytes of a request's body
	MaxInFlight int   // requests
	MaxTries    int   // of a request that may run twice
	Link        link.Limits
}

// Config holds what an entry needs of its surroundings.
type Config struct {
	Name   string
	Limits Limits
	Log    *event.Log
	Now    func() time.Time

	// State returns the fleet's state in force here.
	State func() *fleet.State
	// Fenced reports why nothing may be sent to workers now, empty if it may.
	Fenced func() string
	// Acquire waits for a slot of a pool until ctx ends.
	Acquire func(ctx context.Context, pool string, r sched.Request) (sched.Decision, error)
	// Release gives a slot back.
	Release func(pool string, grant sched.Grant, outcome sched.Outcome)
	// Begin asks the key's owner whether an attempt may run its work.
	Begin func(ctx context.Context, key once.Key, attempt string) (once.Verdict, error)
	// End tells the key's owner how the attempt ended.
	End func(key once.Key, attempt string, outcome once.Outcome)
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	config  Config
	metrics *entryMetrics

	mu       sync.Mutex
	links    map[netip.AddrPort]*link.Link
	inFlight map[string]int         // tries, by host
	grants   map[uint64]sched.Grant // held
	requests int
	stopping bool
	budget   retryBudget
	paces    map[string]*pace // by service

	quiescing atomic.Bool

	stopped context.Context // ends when the entry stops
	stop    context.CancelFunc

	start    string // tells this start of the process from others
	attempts atomic.Uint64
}

// New returns an entry that serves nobody yet.
func New(config Config) *Entry {
	stopped, stop := context.WithCancel(context.Background())
	return &Entry{
		stopped:  stopped,
		stop:     stop,
		config:   config,
		metrics:  newEntryMetrics(),
		links:    map[netip.AddrPort]*link.Link{},
		inFlight: map[string]int{},
		grants:   map[uint64]sched.Grant{},
		budget:   newRetryBudget(),
		paces:    map[string]*pace{},
		start:    uuid.NewString()[:8],
	}
}

// nextAttempt returns an ID that no other attempt has, whatever IDs callers
// choose for their requests.
func (e *Entry) nextAttempt() string {
	return fmt.Sprintf("%s-%s-%d", e.config.Name, e.start, e.attempts.Add(1))
}

// Status is what others ask of an entry.
type Status struct {
	Version  uint64         // of the state in force here
	InFlight map[string]int // tries, by host
	Requests int
}

// Status returns the version in force and the tries in flight at one moment: a
// try that begins later sees at least this version.
func (e *Entry) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := Status{Version: e.config.State().Version, InFlight: map[string]int{}, Requests: e.requests}
	for host, count := range e.inFlight {
		status.InFlight[host] = count
	}
	return status
}

// Held returns the grants of a pool that are held here.
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

// Quiesce makes the entry ask callers to close their connections with the next
// answer. Idle connections stay open: a request may be on its way on them.
func (e *Entry) Quiesce() {
	e.quiescing.Store(true)
}

// Stop makes the entry refuse further requests, and gives up those whose bodies
// are still on their way.
func (e *Entry) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.stop()
}

// Trim closes connections that have been idle too long, and those to hosts that
// take no work.
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

// request is one caller's request on its way.
type request struct {
	caller.Request
	service  fleet.Service
	urgency  sched.Urgency
	key      once.Key
	hasKey   bool
	deadline time.Time
	tries    int
	avoid    []string
}

// retryable reports whether the request may run more than once.
func (r *request) retryable() bool {
	return r.service.Idempotent && !r.hasKey
}

// end is what the caller is told: an answer, or a refusal.
type end struct {
	answer  *link.Result
	refusal *caller.Refusal
}

// run carries a request to its end.
func (e *Entry) run(ctx context.Context, r *request) end {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !r.hasKey {
		return e.runTries(ctx, r)
	}
	attempt := e.nextAttempt()
	if refusal := e.begin(ctx, r, attempt); refusal != nil {
		return end{refusal: refusal}
	}
	result := e.runTries(ctx, r)
	e.config.End(r.key, attempt, outcomeOf(result))
	return result
}

func (e *Entry) enter() caller.Reason {
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

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests--
}

// begin asks whether the key's work may run; nil means that it may. If the
// answer is lost nothing is run, and the owner is told so.
func (e *Entry) begin(ctx context.Context, r *request, attempt string) *caller.Refusal {
	verdict, err := e.config.Begin(ctx, r.key, attempt)
	if err != nil {
		e.config.End(r.key, attempt, once.NotRun)
		return refused(caller.NotRun, caller.KeyOwnerAway, "the key can't be checked now: "+err.Error(), time.Second).refusal
	}
	return keyRefusal(verdict, r.Key)
}

func keyRefusal(verdict once.Verdict, key string) *caller.Refusal {
	switch verdict {
	case once.Go:
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

func outcomeOf(result end) once.Outcome {
	switch {
	case result.answer != nil:
		return once.Answered
	case result.refusal.Outcome == caller.NotRun:
		return once.NotRun
	}
	return once.Unknown
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }
