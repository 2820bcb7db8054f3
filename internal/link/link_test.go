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

func checkOwn(t *testing.T, r link.Request, result link.Result) {
	t.Helper()
	want := stand.Answer(r.Service, r.ID, r.Body)
	if result.Outcome != link.Answered || !bytes.Equal(result.Body, want) {
		t.Errorf("request %s: outcome %d, %v, body %q, want its own answer %q", r.ID, result.Outcome, result.Err, result.Body, want)
	}
}

// Whatever an endpoint does, an answer is whole and the request's own, or it is
// not taken; and the next request gets its own answer.
func TestOnlyWholeOwnAnswersAreTaken(t *testing.T) {
	tests := []struct {
		mode stand.Mode
		want error
		left link.Outcome
	}{
		{stand.DieMidBody, link.ErrTruncated, link.Lost},
		{stand.TooLong, link.ErrSilent, link.Lost},
		{stand.TooShort, link.ErrTruncated, link.Lost},
		{stand.Crossed, link.ErrCrossed, link.Lost},
		{stand.CloseAtOnce, link.ErrClosed, link.Lost},
		{stand.Silent, link.ErrSilent, link.Lost},
		{stand.Decline, link.ErrDeclined, link.NotSent},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			worker, addr := startWorker(t)
			l := link.New(addr, link.DefaultLimits())
			checkOwn(t, request(1), do(l, request(1), time.Minute))
			worker.Set(tt.mode, 0)
			result := do(l, request(2), 100*time.Millisecond)
			if result.Outcome != tt.left || !errors.Is(result.Err, tt.want) {
				t.Errorf("outcome %d, %v, want %d, %v", result.Outcome, result.Err, tt.left, tt.want)
			}
			worker.Set(stand.Well, 0)
			checkOwn(t, request(3), do(l, request(3), time.Minute))
		})
	}
}

// An answer that comes after its request was given up must not be taken for the
// next one.
func TestLateAnswerIsNotTheNextOnes(t *testing.T) {
	worker, addr := startWorker(t)
	l := link.New(addr, link.DefaultLimits())
	worker.Set(stand.Well, 50*time.Millisecond)
	if result := do(l, request(1), 10*time.Millisecond); result.Outcome != link.Lost {
		t.Fatalf("outcome %d, want Lost", result.Outcome)
	}
	worker.Set(stand.Well, 0)
	time.Sleep(100 * time.Millisecond)
	checkOwn(t, request(2), do(l, request(2), time.Minute))
}

// An endpoint that closes idle connections must not cost a request: one that was
// never written to the closed connection is sent on a new one.
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

// The idle connections of one entry stay below its part of the endpoint's limit.
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
	if open := l.Open(); open > link.DefaultLimits().IdleConns {
		t.Errorf("%d connections stay open", open)
	}
	l.Trim(time.Now().Add(time.Hour))
	if open := l.Open(); open != 0 {
		t.Errorf("%d connections stay open after an hour", open)
	}
}

// A request that is no longer allowed when the connection is there is not sent.
func TestNotAllowedIsNotSent(t *testing.T) {
	worker, addr := startWorker(t)
	l := link.New(addr, link.DefaultLimits())
	forbidden := errors.New("the host was drained while it was dialled")
	r := request(1)
	r.Allowed = func() error { return forbidden }
	if result := do(l, r, time.Second); result.Outcome != link.NotSent || !errors.Is(result.Err, forbidden) {
		t.Errorf("outcome %d, %v, want NotSent", result.Outcome, result.Err)
	}
	if begun := len(worker.Records()); begun != 0 {
		t.Errorf("the endpoint began %d requests", begun)
	}
	checkOwn(t, request(2), do(l, request(2), time.Second))
}
