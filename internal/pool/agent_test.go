package pool

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// stubWorker is a worker whose renewals wait until the test lets them be answered, and
// that can leave all other calls unanswered.
type stubWorker struct {
	renewals chan struct{} // receives an item when a renewal begins to wait
	answer   chan struct{} // one item answers one waiting renewal
	silent   atomic.Bool
	calls    atomic.Int64 // calls other than waiting renewals
}

func (w *stubWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), "wait_ms") {
		w.renewals <- struct{}{}
		select {
		case <-w.answer:
		case <-r.Context().Done():
			return
		}
	} else {
		w.calls.Add(1)
		if w.silent.Load() {
			<-r.Context().Done()
			return
		}
	}
	_, _ = io.WriteString(rw, `{"clock_ms":1000,"born":1,"running":[],"finished":[]}`)
}

// newStubAgent returns the agent of a stub worker that has answered and whose first
// renewal is waiting. The owner's loop does not run; runPosts stands in for it.
func newStubAgent(t *testing.T) (*stubWorker, *agent) {
	t.Helper()
	w := &stubWorker{renewals: make(chan struct{}, 100), answer: make(chan struct{})}
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o := New(t.Context(), Ownership{Pool: "p1", Token: 1}, Settings{Log: logrus.NewEntry(logger)})
	o.jobsLoaded = true
	entry := platform.WorkerEntry{
		ID: "i-1", Pool: "p1", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Born: 1,
		Size: jobs.Resources{Millicores: 8000, MemoryMB: 1000},
	}
	o.addAgent(entry)
	a := o.agents[lifetimeKey(entry)]
	t.Cleanup(func() {
		a.close()
		o.cancel()
	})
	<-w.renewals
	a.runPosts(t, "the first answer", func() bool { return a.answered })
	return w, a
}

// runPosts runs what is posted to the owner's loop until done reports true.
func (a *agent) runPosts(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for !done() {
		select {
		case f := <-a.owner.posts:
			f()
		case <-deadline:
			t.Fatalf("waited 5 s for %s", what)
		}
	}
}

func startOrder(n int) order {
	return order{start: &place.StartOrder{Task: jobs.Task{Job: jobs.ID("000000000000000" + string(rune('0'+n)))}, Attempt: 1, Spec: "20ms"}}
}

// A worker leaves a start and the next call unanswered, then answers the renewal that
// waited there all the time. It must not get starts again until it answers a new call:
// each would be delayed by its timeout and by the stops before it.
func TestAnswerToAnEarlierCallDoesNotReopenASilentWorker(t *testing.T) {
	t.Parallel()
	w, a := newStubAgent(t)
	w.silent.Store(true)
	a.starts <- startOrder(1)
	a.runPosts(t, "the worker to be silent", func() bool { return a.silent })
	calls := w.calls.Load()
	w.answer <- struct{}{}
	for end := time.Now().Add(answerTimeout / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.owner.drainPosts(time.Now())
		if !a.silent || !a.isUnresponsive() {
			t.Fatal("a worker that leaves new calls unanswered counts as answering after the answer to an earlier call")
		}
	}
	if w.calls.Load() == calls {
		t.Error("the worker is not asked again at once after an answer to an earlier call")
	}
	w.silent.Store(false)
	a.runPosts(t, "the worker to answer again", func() bool { return !a.silent && !a.isUnresponsive() })
}

// One call is left unanswered and one that was sent after it is answered. The timeout
// of the first must not make the worker count as silent until its next renewal.
func TestTimeoutOfAnEarlierCallDoesNotSilenceAWorker(t *testing.T) {
	t.Parallel()
	w, a := newStubAgent(t)
	w.silent.Store(true)
	calls := w.calls.Load()
	timedOut := make(chan struct{})
	go func() {
		defer close(timedOut)
		a.readLists(t.Context())
	}()
	for w.calls.Load() == calls {
		time.Sleep(time.Millisecond)
	}
	w.silent.Store(false)
	a.readLists(t.Context())
	<-timedOut
	a.owner.drainPosts(time.Now())
	if a.silent || a.isUnresponsive() {
		t.Error("a worker that answered the later of two calls counts as silent")
	}
}

// A worker stops answering while the owner decides, so the owner sends it a start all
// the same. The start must be refused at once instead of waiting behind stops that get
// no answer either.
func TestStartForAWorkerFoundSilentMeanwhileIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	w, a := newStubAgent(t)
	o := a.owner
	a.registered = true
	o.syncAgent(a)
	now := time.Now()
	j := jobs.Job{ID: "0000000000000002", Spec: "20ms", Queue: "q", Pool: "p1", Submitted: now, Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}}}}
	o.board.Add(j, jobs.NewProgress(j), now)
	starts := o.board.Decide(now).Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	w.silent.Store(true)
	a.readLists(t.Context())
	calls := w.calls.Load()
	for n := range maxParallelOrders {
		a.stops <- order{stop: &place.StopOrder{Task: startOrder(n).start.Task, Attempt: 1}}
	}
	for w.calls.Load() < calls+maxParallelOrders {
		time.Sleep(time.Millisecond)
	}
	o.sendOrder(a.key, order{start: &starts[0]})
	if !o.board.Idle(a.key) {
		t.Error("a start for a worker that does not answer waits behind its stops")
	}
}
