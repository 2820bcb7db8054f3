package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// rig is an entry with its own workers. Its dispatcher grants them in turn without
// waiting.
type rig struct {
	t       *testing.T
	workers []*stand.Worker
	entry   *Entry
	client  *caller.Client
	addr    string

	mu          sync.Mutex
	state       *fleet.State
	keys        *once.Registry
	fenceReason string
	grants      uint64
	released    map[uint64]sched.Outcome
	onGrant     func()
	pickWorker  func(grant int) int // returns the index of a grant's worker
}

func newRig(t *testing.T, workers int) *rig {
	t.Helper()
	r := &rig{t: t, keys: once.NewRegistry(once.DefaultWindow()), released: map[uint64]sched.Outcome{}}
	r.pickWorker = func(grant int) int { return grant % workers }
	pools := []fleet.Pool{{Name: "p", AwayPercent: 50}}
	services := []fleet.Service{
		{Name: "label", Pool: "p", Idempotent: true, Weight: 1, QueueLimit: 9, RunTime: time.Millisecond, Timeout: 10 * time.Second},
		{Name: "crate", Pool: "p", Weight: 1, QueueLimit: 9, RunTime: time.Millisecond, Timeout: 10 * time.Second},
	}
	var hosts []fleet.Host
	for i := range workers {
		w := stand.NewWorker(stand.WorkerConfig{Name: fmt.Sprintf("w%d", i), Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 8})
		addr, err := w.Listen()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		r.workers = append(r.workers, w)
		spec := fleet.HostSpec{Name: fmt.Sprintf("w%d", i), Pool: "p", Addr: addr, Zone: "z", Rack: "r", Slots: 8, Connections: 64}
		hosts = append(hosts, fleet.Host{Spec: spec, Pool: "p", State: fleet.Serving, Epoch: 1})
	}
	r.state = fleet.NewStateFrom(1, pools, services, nil, hosts)
	r.entry = New(Config{
		Name:        "e1",
		Limits:      Limits{MaxRequest: 10_000, MaxInFlight: 100, MaxAttempts: 3, Link: link.DefaultLimits()},
		Log:         event.NewLog("e1", 64, time.Now),
		Now:         time.Now,
		State:       r.current,
		FenceReason: r.fenced,
		Acquire:     r.acquire,
		Release:     r.release,
		Begin:       r.begin,
		End:         r.end,
	})
	server := httptest.NewServer(r.entry.Handler())
	t.Cleanup(server.Close)
	r.addr = server.Listener.Addr().String()
	r.client = caller.NewClient(netip.MustParseAddrPort(r.addr))
	t.Cleanup(r.client.Close)
	return r
}

func (r *rig) current() *fleet.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *rig) fenced() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fenceReason
}

func (r *rig) acquire(ctx context.Context, _ string, request sched.Request) (sched.Decision, error) {
	if ctx.Err() != nil {
		return sched.Decision{}, ctx.Err()
	}
	r.mu.Lock()
	worker := r.pickWorker(int(r.grants))
	r.grants++
	g := &sched.Grant{ID: r.grants, Request: request.ID, Service: request.Service, Worker: fmt.Sprintf("w%d", worker)}
	onGrant := r.onGrant
	r.mu.Unlock()
	if onGrant != nil {
		onGrant()
	}
	return sched.Decision{Request: request.ID, Grant: g}, nil
}

func (r *rig) release(_ string, g sched.Grant, outcome sched.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released[g.ID] = outcome
}

func (r *rig) begin(_ context.Context, key once.Key, attempt string) (once.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Begin(key, once.Holder{Entry: "e1", Attempt: attempt}, time.Now()), nil
}

func (r *rig) end(key once.Key, attempt string, outcome once.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.End(key, once.Holder{Entry: "e1", Attempt: attempt}, outcome)
}

// setAll sets the mode and the delay of all workers.
func (r *rig) setAll(mode stand.Mode, delay time.Duration) {
	for _, w := range r.workers {
		w.Set(mode, delay)
	}
}

// runs returns how often the workers started a request.
func (r *rig) runs(id string) int {
	count := 0
	for _, w := range r.workers {
		for _, record := range w.Records() {
			if record.Request == id {
				count++
			}
		}
	}
	return count
}

func (r *rig) send(request caller.Request) (*caller.Answer, error) {
	return r.client.Do(context.Background(), request)
}

// check compares the reply to the caller with the workers' records and returns the
// outcome.
func (r *rig) check(request caller.Request, answer *caller.Answer, err error) caller.Outcome {
	r.t.Helper()
	runs := r.runs(request.ID)
	if err == nil {
		want := stand.Answer(request.Service, request.ID, request.Body)
		if answer.Status < 500 && !bytes.Equal(answer.Body, want) {
			r.t.Errorf("answer %q, want %q", answer.Body, want)
		}
		return caller.Answered
	}
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		r.t.Fatalf("not a refusal: %v", err)
	}
	if refusal.Outcome == caller.NotRun && runs > 0 {
		r.t.Errorf("outcome not-run (%v), but the request was started %d times", refusal, runs)
	}
	if request.Key != "" && runs > 1 {
		r.t.Errorf("the work of key %s was started %d times", request.Key, runs)
	}
	return refusal.Outcome
}

func labelRequest(id string, timeout time.Duration) caller.Request {
	return caller.Request{Service: "label", ID: id, Timeout: timeout, Body: []byte("body of " + id)}
}

func crateRequest(id string, timeout time.Duration) caller.Request {
	return caller.Request{Service: "crate", ID: id, Key: caller.NewKey(), Timeout: timeout, Body: []byte("body of " + id)}
}

// For each way in which an endpoint can fail, the outcome that the caller receives
// must agree with what the endpoint recorded.
func TestCallerIsToldTheTruth(t *testing.T) {
	tests := []struct {
		mode       stand.Mode
		keyed      caller.Outcome // of non-idempotent work when every worker is in the mode
		idempotent caller.Outcome // of idempotent work when only the first worker is
	}{
		{stand.Well, caller.Answered, caller.Answered},
		{stand.FailAll, caller.Answered, caller.Answered},
		{stand.DieMidBody, caller.Unknown, caller.Answered},
		{stand.TooLong, caller.Unknown, caller.Unknown},
		{stand.TooShort, caller.Unknown, caller.Answered},
		{stand.CloseAtOnce, caller.Unknown, caller.Answered},
		{stand.Silent, caller.Unknown, caller.Unknown},
		{stand.Decline, caller.NotRun, caller.Answered},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			r := newRig(t, 2)
			r.setAll(tt.mode, 0)
			request := crateRequest("keyed", 200*time.Millisecond)
			answer, err := r.send(request)
			if got := r.check(request, answer, err); got != tt.keyed {
				t.Errorf("keyed: %s, want %s (%v)", got, tt.keyed, err)
			}
			r.setAll(stand.Well, 0)
			r.workers[0].Set(tt.mode, 0)
			r.mu.Lock()
			r.grants = 0
			r.mu.Unlock()
			request = labelRequest("free", 200*time.Millisecond)
			answer, err = r.send(request)
			if got := r.check(request, answer, err); got != tt.idempotent {
				t.Errorf("idempotent: %s, want %s (%v)", got, tt.idempotent, err)
			}
		})
	}
}

// A request whose first attempt may have run must not be refused as not-run, even if
// the next attempt did not run.
func TestNotRunIsNotSaidAfterATryThatMayHaveRun(t *testing.T) {
	r := newRig(t, 2)
	r.workers[0].Set(stand.CloseAtOnce, 0)
	r.workers[1].Set(stand.Decline, 0)
	r.pickWorker = func(grant int) int { return min(grant, 1) }
	request := labelRequest("twice", time.Second)
	answer, err := r.send(request)
	if got := r.check(request, answer, err); got != caller.Unknown {
		t.Errorf("outcome %s, want unknown (%v)", got, err)
	}
}

func TestNobodyListensIsNotRun(t *testing.T) {
	r := newRig(t, 1)
	r.workers[0].Close()
	request := crateRequest("refused", time.Second)
	answer, err := r.send(request)
	if got := r.check(request, answer, err); got != caller.NotRun {
		t.Errorf("outcome %s, want not-run (%v)", got, err)
	}
	// The request did not run, so its key may be used again.
	if verdict, _ := r.begin(context.Background(), mustKey(t, request.Key), "another"); verdict != once.Proceed {
		t.Errorf("the key's verdict is %d, want Go", verdict)
	}
}

func mustKey(t *testing.T, text string) once.Key {
	t.Helper()
	key, err := once.ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// A host that is drained between the grant and the send must receive nothing.
func TestDrainBetweenGrantAndSend(t *testing.T) {
	r := newRig(t, 2)
	r.onGrant = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		host := r.state.Hosts["w0"]
		host.State = fleet.Draining
		next, err := r.state.Apply(fleet.Change{Version: r.state.Version + 1, Hosts: []fleet.Host{host}})
		if err != nil {
			panic(err)
		}
		r.state = next
	}
	request := labelRequest("drained", time.Second)
	answer, err := r.send(request)
	if got := r.check(request, answer, err); got != caller.Answered {
		t.Errorf("outcome %s, want answered (%v)", got, err)
	}
	if begun := len(r.workers[0].Records()); begun != 0 {
		t.Errorf("the drained host started %d requests", begun)
	}
	if got := r.released[1]; got != sched.Unused {
		t.Errorf("the unusable grant was released as %d, want Unused", got)
	}
}

// A process whose lease has lapsed must send nothing to workers.
func TestFencedEntrySendsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.onGrant = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fenceReason = "the lease lapsed while the request waited"
	}
	request := crateRequest("fenced", time.Second)
	answer, err := r.send(request)
	if got := r.check(request, answer, err); got != caller.NotRun {
		t.Errorf("outcome %s, want not-run (%v)", got, err)
	}
}

// If a caller goes away, its slot must be freed at once and its work not be
// retried.
func TestCallerGoesAway(t *testing.T) {
	r := newRig(t, 2)
	r.setAll(stand.Well, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := r.client.Do(ctx, labelRequest("gone", time.Minute)); err == nil {
		t.Fatal("answered after the caller went away")
	}
	deadline := time.Now().Add(5 * time.Second)
	for r.entry.Status().Requests > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the request is still in progress after 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	if runs := r.runs("gone"); runs > 1 {
		t.Errorf("started %d times, want at most 1", runs)
	}
}

// If every worker fails, retries must stay within their budget.
func TestRetriesAreBounded(t *testing.T) {
	r := newRig(t, 4)
	r.setAll(stand.CloseAtOnce, 0)
	const sent = 200
	for i := range sent {
		request := labelRequest(fmt.Sprintf("r%d", i), time.Second)
		answer, err := r.send(request)
		r.check(request, answer, err)
	}
	most := sent + int(sent*retriesPerRequest) + maxRetryTokens
	if got := int(r.grants); got > most {
		t.Errorf("%d attempts for %d requests, want at most %d", got, sent, most)
	}
}

// If all open connections to an endpoint go dead without being closed, idempotent
// work must time out once, long before its deadline, and succeed on a new
// connection.
func TestSilentEndpointConnectionsCostOneWait(t *testing.T) {
	r := newRig(t, 1)
	relay, err := stand.NewRelay(r.state.Hosts["w0"].Spec.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	host := r.state.Hosts["w0"]
	host.Spec.Addr = relay.Addr()
	if r.state, err = r.state.Apply(fleet.Change{Version: 2, Hosts: []fleet.Host{host}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		request := labelRequest(fmt.Sprint("before", i), 10*time.Second)
		answer, err := r.send(request)
		r.check(request, answer, err)
	}
	relay.Silence()
	started := time.Now()
	request := labelRequest("after", 10*time.Second)
	answer, err := r.send(request)
	if got := r.check(request, answer, err); got != caller.Answered {
		t.Fatalf("outcome %s (%v), want answered", got, err)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("took %s, want less than 5s of the 10s to the deadline", took)
	}
}

func TestPace(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		given func(l *latencyEstimate)
		left  time.Duration
		want  time.Duration
	}{
		{"a declared run time that is ten times too short still fits", func(*latencyEstimate) {}, time.Minute, 4 * second},
		{"no time for a second attempt", func(*latencyEstimate) {}, 5 * second, 5 * second},
		{"fast answers reduce it to the minimum", func(l *latencyEstimate) {
			for range 1000 {
				l.recordAnswer(time.Millisecond)
			}
		}, time.Minute, second},
		{"work that became slow gets more time", func(l *latencyEstimate) { l.recordTimeout(4 * second) }, time.Minute, 16 * second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLatencyEstimate(100 * time.Millisecond)
			tt.given(l)
			if got := l.attemptTimeout(tt.left); got != tt.want {
				t.Errorf("limit %s, want %s", got, tt.want)
			}
		})
	}
}

func TestOutcomeOfAGrant(t *testing.T) {
	tests := []struct {
		in   link.Result
		want sched.Outcome
	}{
		{link.Result{Status: 200}, sched.Succeeded},
		{link.Result{Status: 404}, sched.Succeeded},
		{link.Result{Status: 500}, sched.Failed},
		{link.Result{Outcome: link.Lost, Err: link.ErrSilent}, sched.Failed},
		{link.Result{Outcome: link.NotSent, Err: link.ErrDial}, sched.Failed},
		{link.Result{Outcome: link.NotSent, Err: link.ErrDeclined}, sched.Unused},
	}
	for _, tt := range tests {
		if got := grantOutcome(tt.in); got != tt.want {
			t.Errorf("grantOutcome(%+v) = %d, want %d", tt.in, got, tt.want)
		}
	}
}

// A caller that stops sending in the middle of its body must not delay a stop, and
// must be refused as not-run.
func TestStopDoesNotWaitForSilentCallers(t *testing.T) {
	r := newRig(t, 1)
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprint(conn, "POST /v1/services/label HTTP/1.1\r\nHost: e\r\nRequest-Id: half\r\nContent-Length: 100\r\n\r\nhalf")
	for r.entry.Status().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	started := time.Now()
	r.entry.Stop()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get(caller.HeaderOutcome); got != string(caller.NotRun) {
		t.Errorf("outcome %q, want not-run", got)
	}
	if took := time.Since(started); took > bodyReadTimeout/2 {
		t.Errorf("the stop waited %s", took)
	}
}
