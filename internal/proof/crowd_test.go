package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// result is the outcome of one request as its caller saw it.
type result struct {
	request caller.Request
	outcome caller.Outcome
	reason  caller.Reason
	correct bool
	at      time.Time
	latency time.Duration
}

// workload is a group of callers that send requests until it is stopped. A caller
// that gets no answer retries with the same key at another entry.
type workload struct {
	c        *cluster
	number   int32 // distinguishes its requests from those of other workloads
	service  string
	retries  int // per request
	pause    time.Duration
	timeout  time.Duration
	keyed    bool
	workTime time.Duration // time that a worker spends on a request
	entries  []*process

	stopped chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// workloadCount is the number of workloads that this run has created.
var workloadCount atomic.Int32

func (c *cluster) newWorkload(service string) *workload {
	return &workload{
		c:        c,
		number:   workloadCount.Add(1),
		service:  service,
		retries:  3,
		pause:    20 * time.Millisecond,
		timeout:  time.Second,
		keyed:    true,
		workTime: 20 * time.Millisecond,
		entries:  c.members,
		stopped:  make(chan struct{}),
	}
}

func (w *workload) start(callers int) *workload {
	var clients []*caller.Client
	for _, p := range w.entries {
		client := caller.NewClient(p.caller)
		w.c.t.Cleanup(client.Close)
		clients = append(clients, client)
	}
	for i := range callers {
		w.running.Go(func() { w.run(i, clients) })
	}
	return w
}

// stop ends the workload and returns the results of all its requests.
func (w *workload) stop() []result {
	close(w.stopped)
	w.running.Wait()
	return w.results
}

func (w *workload) run(number int, clients []*caller.Client) {
	for n := 0; ; n++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(w.pause):
		}
		request := caller.Request{Service: w.service, Timeout: w.timeout}
		if w.keyed {
			request.Key = caller.NewKey()
		}
		for attempt := range 1 + w.retries {
			request.ID = fmt.Sprintf("%s-%d-%d-%d-%d", w.service, w.number, number, n, attempt)
			request.Body = fmt.Appendf(nil, "work %s\n%s", w.workTime, request.ID)
			t := w.send(clients[(number+n+attempt)%len(clients)], request)
			if t.outcome == caller.Answered {
				break
			}
		}
	}
}

func (w *workload) send(client *caller.Client, request caller.Request) result {
	// A suspended entry never answers, so the caller stops waiting 500 ms after
	// the timeout of the request.
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout+500*time.Millisecond)
	defer cancel()
	t := result{request: request, at: time.Now(), outcome: caller.Answered}
	answer, err := client.Do(ctx, request)
	if refusal, refused := err.(*caller.Refusal); refused {
		t.outcome, t.reason = refusal.Outcome, refusal.Reason
	} else {
		t.correct = string(answer.Body) == string(stand.Answer(request.Service, request.ID, request.Body))
	}
	t.latency = time.Since(t.at)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, t)
	return t
}

// checkResults compares the results of callers with the workers' records.
func (c *cluster) checkResults(results []result) {
	c.t.Helper()
	runs := map[string]int{}
	keys := map[string]int{}
	for _, r := range c.records() {
		runs[r.Request]++
		keys[r.Key]++
	}
	counts := map[string]int{}
	for _, t := range results {
		counts[string(t.outcome)+" "+string(t.reason)]++
		switch {
		case t.outcome == caller.Answered && (!t.correct || runs[t.request.ID] == 0):
			c.t.Errorf("%s was answered, answer correct: %v, started %d times", t.request.ID, t.correct, runs[t.request.ID])
		case t.outcome == caller.NotRun && runs[t.request.ID] > 0:
			c.t.Errorf("%s was reported as not-run (%s) but started %d times", t.request.ID, t.reason, runs[t.request.ID])
		}
		if t.request.Key != "" && keys[t.request.Key] > 1 {
			c.t.Errorf("key %s of %s was started %d times", t.request.Key, t.request.ID, keys[t.request.Key])
		}
	}
	c.t.Logf("%d requests: %v", len(results), counts)
}
