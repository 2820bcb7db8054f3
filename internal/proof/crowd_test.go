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

// told is what one caller was told of one request.
type told struct {
	request caller.Request
	outcome caller.Outcome
	reason  caller.Reason
	right   bool
	at      time.Time
	took    time.Duration
}

// crowd is a number of callers that send requests until it is stopped. A caller
// that gets no answer sends its key again, to another entry.
type crowd struct {
	c       *cluster
	number  int32 // tells its requests from those of other crowds
	service string
	again   int // times that a key is sent again
	pause   time.Duration
	timeout time.Duration
	keyed   bool
	work    time.Duration // of each request
	entries []*process

	stopped chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	told    []told
}

// crowds counts the crowds of this run.
var crowds atomic.Int32

func (c *cluster) newCrowd(service string) *crowd {
	return &crowd{
		c:       c,
		number:  crowds.Add(1),
		service: service,
		again:   3,
		pause:   20 * time.Millisecond,
		timeout: time.Second,
		keyed:   true,
		work:    20 * time.Millisecond,
		entries: c.members,
		stopped: make(chan struct{}),
	}
}

func (w *crowd) start(callers int) *crowd {
	var clients []*caller.Client
	for _, p := range w.entries {
		client := caller.NewClient(p.caller)
		w.c.t.Cleanup(client.Close)
		clients = append(clients, client)
	}
	for i := range callers {
		w.running.Go(func() { w.call(i, clients) })
	}
	return w
}

// stop ends the crowd and returns what it was told.
func (w *crowd) stop() []told {
	close(w.stopped)
	w.running.Wait()
	return w.told
}

func (w *crowd) call(number int, clients []*caller.Client) {
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
		for try := range 1 + w.again {
			request.ID = fmt.Sprintf("%s-%d-%d-%d-%d", w.service, w.number, number, n, try)
			request.Body = fmt.Appendf(nil, "work %s\n%s", w.work, request.ID)
			t := w.send(clients[(number+n+try)%len(clients)], request)
			if t.outcome == caller.Answered {
				break
			}
		}
	}
}

func (w *crowd) send(client *caller.Client, request caller.Request) told {
	// A frozen entry never answers; a caller gives up some time later.
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout+500*time.Millisecond)
	defer cancel()
	t := told{request: request, at: time.Now(), outcome: caller.Answered}
	answer, err := client.Do(ctx, request)
	if refusal, is := err.(*caller.Refusal); is {
		t.outcome, t.reason = refusal.Outcome, refusal.Reason
	} else {
		t.right = string(answer.Body) == string(stand.Answer(request.Service, request.ID, request.Body))
	}
	t.took = time.Since(t.at)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, t)
	return t
}

// checkTruth compares what callers were told with the workers' records.
func (c *cluster) checkTruth(all []told) {
	c.t.Helper()
	runs := map[string]int{}
	keys := map[string]int{}
	for _, r := range c.records() {
		runs[r.Request]++
		keys[r.Key]++
	}
	counts := map[string]int{}
	for _, t := range all {
		counts[string(t.outcome)+" "+string(t.reason)]++
		switch {
		case t.outcome == caller.Answered && (!t.right || runs[t.request.ID] == 0):
			c.t.Errorf("%s was answered, right: %v, begun %d times", t.request.ID, t.right, runs[t.request.ID])
		case t.outcome == caller.NotRun && runs[t.request.ID] > 0:
			c.t.Errorf("%s was called not-run (%s) and begun %d times", t.request.ID, t.reason, runs[t.request.ID])
		}
		if t.request.Key != "" && keys[t.request.Key] > 1 {
			c.t.Errorf("key %s of %s was begun %d times", t.request.Key, t.request.ID, keys[t.request.Key])
		}
	}
	c.t.Logf("%d requests: %v", len(all), counts)
}
