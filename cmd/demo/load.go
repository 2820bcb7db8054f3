package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

const (
	meanWork    = 100 * time.Millisecond
	maxWork     = time.Second
	peakTimes   = 5    // of the mean rate, in the service's turn
	valleyShare = 0.05 // of the mean rate, after its turn
)

// result is what the caller of one request was told.
type result struct {
	service string
	id      string
	key     string
	outcome caller.Outcome
	reason  caller.Reason
	right   bool // whether the answer is this request's own and whole
	took    time.Duration
}

type collector struct {
	mu      sync.Mutex
	results []result
}

func (c *collector) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *collector) all() []result { return c.results }

// load is the load of one service. The length is divided into turns, one for
// each service: in its turn it asks for several times its mean, in the next for
// a small part of it.
type load struct {
	service string
	place   int
	of      int
	rate    float64
	length  time.Duration
	random  *rand.Rand
}

func (l load) run(ctx context.Context, b *balancer, c *collector) {
	start := time.Now()
	var callers sync.WaitGroup
	for {
		since := time.Since(start)
		if since >= l.length {
			break
		}
		request := l.next()
		callers.Go(func() { c.add(b.send(ctx, request)) })
		wait := l.random.ExpFloat64() / l.rateAt(since)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Second))
	}
	callers.Wait()
}

func (l load) rateAt(since time.Duration) float64 {
	turn := int(since * time.Duration(l.of) / l.length)
	switch turn {
	case l.place:
		return l.rate * peakTimes
	case l.place + 1:
		return l.rate * valleyShare
	}
	return l.rate
}

func (l load) next() caller.Request {
	work := min(time.Duration(l.random.ExpFloat64()*float64(meanWork)), maxWork)
	padding := bytes.Repeat([]byte("x"), l.random.IntN(2000))
	body := append(fmt.Appendf(nil, "work %s\n", work), padding...)
	urgencies := []string{"low", "normal", "urgent"}
	return caller.Request{
		Service: l.service,
		ID:      uuid.NewString(),
		Key:     caller.NewKey(),
		Urgency: urgencies[l.random.IntN(len(urgencies))],
		Timeout: 5 * time.Second,
		Body:    body,
	}
}

// balancer sends each request to the next entry that is ready, as the
// platform's balancer does.
type balancer struct {
	clients []*caller.Client
	admins  []netip.AddrPort
	ready   []atomic.Bool
	next    atomic.Uint64
}

func newBalancer(entries, admins []netip.AddrPort) *balancer {
	b := &balancer{admins: admins, ready: make([]atomic.Bool, len(entries))}
	for i, entry := range entries {
		b.clients = append(b.clients, caller.NewClient(entry))
		b.ready[i].Store(true)
	}
	return b
}

// run asks every entry whether it is ready until ctx ends.
func (b *balancer) run(ctx context.Context) {
	asker := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for i, addr := range b.admins {
			response, err := asker.Get("http://" + addr.String() + admin.PathReady)
			b.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
			if err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *balancer) pick() *caller.Client {
	first := b.next.Add(1)
	for i := range b.clients {
		at := (int(first) + i) % len(b.clients)
		if b.ready[at].Load() {
			return b.clients[at]
		}
	}
	return b.clients[int(first)%len(b.clients)]
}

func (b *balancer) send(ctx context.Context, r caller.Request) result {
	started := time.Now()
	answer, err := b.pick().Do(ctx, r)
	told := result{service: r.Service, id: r.ID, key: r.Key, took: time.Since(started)}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		told.outcome, told.reason = refusal.Outcome, refusal.Reason
		return told
	}
	told.outcome = caller.Answered
	told.right = err == nil && bytes.Equal(answer.Body, stand.Answer(r.Service, r.ID, r.Body))
	return told
}
