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
	meanRunTime     = 100 * time.Millisecond
	maxRunTime      = time.Second
	peakRateFactor  = 5    // times the mean rate, in the turn of the service's pool
	quietRateFactor = 0.05 // times the mean rate, in the next turn
)

// result is the outcome of one request as its caller received it.
type result struct {
	service string
	id      string
	key     string
	outcome caller.Outcome
	reason  caller.Reason
	correct bool // whether the answer is complete and belongs to this request
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

// load generates the load of one service. The length is divided into turns, one
// for each pool: the rate is several times the mean in the turn of the service's
// pool, and a small part of the mean in the next turn.
type load struct {
	service string
	turn    int
	turns   int
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
		request := l.nextRequest()
		callers.Go(func() { c.add(b.send(ctx, request)) })
		wait := l.random.ExpFloat64() / l.rateAt(since)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Second))
	}
	callers.Wait()
}

func (l load) rateAt(since time.Duration) float64 {
	current := int(since * time.Duration(l.turns) / l.length)
	switch current {
	case l.turn:
		return l.rate * peakRateFactor
	case l.turn + 1:
		return l.rate * quietRateFactor
	}
	return l.rate
}

func (l load) nextRequest() caller.Request {
	runTime := min(time.Duration(l.random.ExpFloat64()*float64(meanRunTime)), maxRunTime)
	padding := bytes.Repeat([]byte("x"), l.random.IntN(2000))
	body := append(fmt.Appendf(nil, "work %s\n", runTime), padding...)
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

// run polls the readiness of every entry until ctx ends.
func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for i, addr := range b.admins {
			response, err := client.Get("http://" + addr.String() + admin.PathReady)
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
	result := result{service: r.Service, id: r.ID, key: r.Key, took: time.Since(started)}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		result.outcome, result.reason = refusal.Outcome, refusal.Reason
		return result
	}
	result.outcome = caller.Answered
	result.correct = err == nil && bytes.Equal(answer.Body, stand.Answer(r.Service, r.ID, r.Body))
	return result
}
