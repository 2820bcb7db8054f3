package link_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/stand"
)

func startWorker(t *testing.T) (*stand.Worker, netip.AddrPort) {
	t.Helper()
	w := stand.NewWorker(stand.WorkerConfig{Name: "w1", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 8})
	addr, err := w.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, addr
}

func request(n int) link.Request {
	id := fmt.Sprintf("r%d", n)
	return link.Request{ID: id, Attempt: id + "/1", Service: "label", Body: []byte("body of " + id)}
}

func do(l *link.Link, r link.Request, timeout time.Duration) link.Result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.Do(ctx, r)
}

func checkAnswered(t *testing.T, r link.Request, result link.Result) {
	t.Helper()
	want := stand.Answer(r.Service, r.ID, r.Body)
	if result.Outcome != link.Answered || !bytes.Equal(result.Body, want) {
		t.Errorf("request %s: outcome %d, %v, body %q, want body %q", r.ID, result.Outcome, result.Err, result.Body, want)
	}
}

// Whatever the endpoint does, only a complete answer to the same request is
// accepted, and the next request still gets its own answer.
func TestOnlyWholeOwnAnswersAreTaken(t *testing.T) {
	tests := []struct {
		mode    stand.Mode
		want    error
		outcome link.Outcome
	}{
		{stand.DieMidBody, link.ErrTruncated, link.Lost},
		{stand.TooLong, link.ErrSilent, link.Lost},
		{stand.TooShort, link.ErrTruncated, link.Lost},
		{stand.Crossed, link.ErrAttemptMismatch, link.Lost},
		{stand.CloseAtOnce, link.ErrClosed, link.Lost},
		{stand.Silent, link.ErrSilent, link.Lost},
		{stand.Decline, link.ErrDeclined, link.NotSent},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			worker, addr := startWorker(t)
			l := link.New(addr, link.DefaultLimits())
			checkAnswered(t, request(1), do(l, request(1), time.Minute))
			worker.Set(tt.mode, 0)
			result := do(l, request(2), 100*time.Millisecond)
			if result.Outcome != tt.outcome || !errors.Is(result.Err, tt.want) {
				t.Errorf("outcome %d, %v, want %d, %v", result.Outcome, result.Err, tt.outcome, tt.want)
			}
			worker.Set(stand.Well, 0)
			checkAnswered(t, request(3), do(l, request(3), time.Minute))
		})
	}
}

// An answer that arrives after its request timed out must not be returned for the
// next request.
func TestLateAnswerIsNotTheNextOnes(t *testing.T) {
	worker, addr := startWorker(t)
	l := link.New(addr, link.DefaultLimits())
	worker.Set(stand.Well, 50*time.Millisecond)
	if result := do(l, request(1), 10*time.Millisecond); result.Outcome != link.Lost {
		t.Fatalf("outcome %d, want Lost", result.Outcome)
	}
	worker.Set(stand.Well, 0)
	time.Sleep(100 * time.Millisecond)
	checkAnswered(t, request(2), do(l, request(2), time.Minute))
}

// A request must not fail because the endpoint has closed an idle connection: the
// link detects it before writing and dials a new one.
func TestConnectionClosedWhileIdleCostsNothing(t *testing.T) {
	w := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(link.HeaderAttempt, r.Header.Get(link.HeaderAttempt))
		_, _ = io.Copy(rw, r.Body)
	}), IdleTimeout: 10 * time.Millisecond, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = w.Serve(listener) }()
	t.Cleanup(func() { _ = w.Close() })
	l := link.New(listener.Addr().(*net.TCPAddr).AddrPort(), link.DefaultLimits())
	for i := range 3 {
		if result := do(l, request(i), time.Minute); result.Outcome != link.Answered {
			t.Errorf("request %d: outcome %d, %v", i, result.Outcome, result.Err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestNoConnectionIsNotSent(t *testing.T) {
	worker, addr := startWorker(t)
	worker.Close()
	l := link.New(addr, link.DefaultLimits())
	if result := do(l, request(1), time.Second); result.Outcome != link.NotSent {
		t.Errorf("outcome %d, want NotSent", result.Outcome)
	}
	if l.Open() != 0 {
		t.Errorf("%d connections are counted as open", l.Open())
	}
}

func TestAnswerOverTheLimit(t *testing.T) {
	_, addr := startWorker(t)
	limits := link.DefaultLimits()
	limits.MaxAnswer = 10
	l := link.New(addr, limits)
	if result := do(l, request(1), time.Second); !errors.Is(result.Err, link.ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", result.Err)
	}
}

// The link keeps no more idle connections than its limit, which is one entry's
// share of the connections that an endpoint accepts.
func TestIdleConnectionsAreBounded(t *testing.T) {
	worker, addr := startWorker(t)
	l := link.New(addr, link.DefaultLimits())
	worker.Set(stand.Well, 20*time.Millisecond)
	done := make(chan link.Result)
	for i := range 8 {
		go func() { done <- do(l, request(i), time.Minute) }()
	}
	for range 8 {
		<-done
	}
	if open := l.Open(); open > link.DefaultLimits().MaxIdleConns {
		t.Errorf("%d connections stay open", open)
	}
	l.Trim(time.Now().Add(time.Hour))
	if open := l.Open(); open != 0 {
		t.Errorf("%d connections stay open after an hour", open)
	}
}

// A request that is no longer allowed once the connection is established must not
// be sent.
func TestNotAllowedIsNotSent(t *testing.T) {
	worker, addr := startWorker(t)
	l := link.New(addr, link.DefaultLimits())
	forbidden := errors.New("the host was drained during the dial")
	r := request(1)
	r.Allowed = func() error { return forbidden }
	if result := do(l, r, time.Second); result.Outcome != link.NotSent || !errors.Is(result.Err, forbidden) {
		t.Errorf("outcome %d, %v, want NotSent", result.Outcome, result.Err)
	}
	if begun := len(worker.Records()); begun != 0 {
		t.Errorf("the endpoint started %d requests", begun)
	}
	checkAnswered(t, request(2), do(l, request(2), time.Second))
}
