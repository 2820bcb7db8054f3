package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// harness drives a queue with random events and checks its invariants after
// each.
type harness struct {
	t        *rapid.T
	q        *Queue
	now      time.Time
	next     int
	waiting  map[string]Request
	held     map[uint64]Grant
	grantIDs []uint64
	workers  map[string]int // slots of the workers that accept requests
}

func newHarness(t *rapid.T) *harness {
	w := &harness{t: t, now: start, waiting: map[string]Request{}, held: map[uint64]Grant{}, workers: map[string]int{}}
	w.q = NewQueue(Config{
		Services: []ServiceShare{
			{Name: "label", Weight: 2, QueueLimit: 6, RunTime: time.Second},
			{Name: "stock", Weight: 1, QueueLimit: 6, RunTime: time.Second},
		},
		Teams: []TeamQuota{{Name: "capped", Slots: 2}},
	})
	return w
}

// applyDecisions checks that each decision is for a waiting request and that
// its grant is valid, and records the grant.
func (w *harness) applyDecisions(decisions []Decision) {
	for _, d := range decisions {
		r, waits := w.waiting[d.Request]
		if !waits {
			w.t.Fatalf("decision on %s, which does not wait", d.Request)
		}
		delete(w.waiting, d.Request)
		if (d.Grant == nil) == (d.Refusal == nil) {
			w.t.Fatalf("the decision on %s must have either a grant or a refusal", d.Request)
		}
		if d.Grant == nil {
			continue
		}
		if d.Grant.Service != r.Service || d.Grant.Team != r.Team || d.Grant.Entry != r.Entry {
			w.t.Fatalf("the grant of %s does not match the request: %+v", d.Request, d.Grant)
		}
		if _, takes := w.workers[d.Grant.Worker]; !takes {
			w.t.Fatalf("%s was granted %s, which does not accept requests", d.Request, d.Grant.Worker)
		}
		if busy := w.busy(d.Grant.Worker); busy >= w.workers[d.Grant.Worker] {
			w.t.Fatalf("%s was granted %s with %d of %d slots in use", d.Request, d.Grant.Worker, busy, w.workers[d.Grant.Worker])
		}
		w.held[d.Grant.ID] = *d.Grant
		w.grantIDs = append(w.grantIDs, d.Grant.ID)
	}
}

func (w *harness) busy(worker string) int {
	count := 0
	for _, g := range w.held {
		if g.Worker == worker {
			count++
		}
	}
	return count
}

func (w *harness) arrive() {
	w.next++
	r := Request{
		ID:       fmt.Sprint("r", w.next),
		Entry:    rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "entry"),
		Service:  rapid.SampledFrom([]string{"label", "stock"}).Draw(w.t, "service"),
		Team:     rapid.SampledFrom([]string{"capped", "free"}).Draw(w.t, "team"),
		Urgency:  rapid.SampledFrom([]Urgency{Low, Normal, Urgent}).Draw(w.t, "urgency"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(w.t, "deadline")) * time.Second),
	}
	w.waiting[r.ID] = r
	w.applyDecisions(w.q.Arrive(r, w.now))
}

func (w *harness) release() {
	if len(w.grantIDs) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.grantIDs)-1).Draw(w.t, "grant")
	id := w.grantIDs[at]
	delete(w.held, id)
	outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Unused}).Draw(w.t, "outcome")
	w.applyDecisions(w.q.Release(id, outcome, w.now)) // may be a repeated release
}

func (w *harness) cancel() {
	id := fmt.Sprint("r", rapid.IntRange(0, w.next).Draw(w.t, "request"))
	w.applyDecisions(w.q.Cancel(id, w.now))
	if _, waits := w.waiting[id]; waits {
		w.t.Fatalf("%s still waits after it was cancelled", id)
	}
}

func (w *harness) setWorkers() {
	w.workers = map[string]int{}
	var workers []Worker
	for i := range rapid.IntRange(0, 4).Draw(w.t, "workers") {
		name := fmt.Sprint("w", i)
		slots := rapid.IntRange(1, 3).Draw(w.t, "slots")
		w.workers[name] = slots
		workers = append(workers, Worker{Name: name, Slots: slots})
	}
	w.applyDecisions(w.q.SetWorkers(workers, w.now))
}

func (w *harness) dropEntry() {
	for id, r := range w.waiting {
		if r.Entry == "e1" {
			delete(w.waiting, id)
		}
	}
	for id, g := range w.held {
		if g.Entry == "e1" {
			delete(w.held, id)
		}
	}
	w.applyDecisions(w.q.DropEntry("e1", w.now))
}

func (w *harness) check() {
	busy, teams, services := map[string]int{}, map[string]int{}, map[string]int{}
	for _, g := range w.held {
		busy[g.Worker]++
		teams[g.Team]++
	}
	for _, r := range w.waiting {
		services[r.Service]++
	}
	if w.q.Waiting() != len(w.waiting) || w.q.Running() != len(w.held) {
		w.t.Fatalf("%d waiting and %d running, want %d and %d", w.q.Waiting(), w.q.Running(), len(w.waiting), len(w.held))
	}
	if teams["capped"] > 2 {
		w.t.Fatalf("the capped team uses %d slots, its quota is 2", teams["capped"])
	}
	for service, count := range services {
		if count > 6 {
			w.t.Fatalf("%d requests wait for %s, the limit is 6", count, service)
		}
	}
	w.checkWorkConserving(busy, teams)
}

// checkWorkConserving checks that no slot is free while a request within its
// quota waits. Slots of ejected workers do not count.
func (w *harness) checkWorkConserving(busy, teams map[string]int) {
	free := 0
	for _, worker := range w.q.activeWorkers {
		if !worker.ejected {
			free += max(0, w.workers[worker.Name]-busy[worker.Name])
		}
	}
	for _, r := range w.waiting {
		if free > 0 && (r.Team != "capped" || teams["capped"] < 2) {
			w.t.Fatalf("%s waits while %d slots are free", r.ID, free)
		}
	}
}

// For any order of events, each request is decided once, no worker is granted
// more than its slots, quotas and queue limits hold, and no slot is free while
// a request within its quota waits.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newHarness(rt)
		w.setWorkers()
		events := []func(){w.arrive, w.arrive, w.arrive, w.release, w.release, w.cancel, w.setWorkers, w.dropEntry}
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			w.applyDecisions(w.q.Tick(w.now))
			rapid.SampledFrom(events).Draw(rt, "event")()
			w.check()
		}
	})
}

func TestCancellingManyAtOnce(t *testing.T) {
	q := NewQueue(Config{Services: []ServiceShare{{Name: "label", Weight: 1, QueueLimit: 20_000, RunTime: time.Second}}})
	q.SetWorkers([]Worker{{Name: "w", Slots: 1}}, start)
	for i := range 10_001 {
		q.Arrive(request(fmt.Sprint(i), "label", Low), start)
	}
	for i := range 10_001 {
		q.Cancel(fmt.Sprint(i), start)
	}
	if q.Waiting() != 0 || q.Running() != 1 {
		t.Errorf("%d waiting, %d running; want 0 and 1", q.Waiting(), q.Running())
	}
	if got := granted(q.Arrive(request("next", "label", Low), start)); len(got) != 0 {
		t.Errorf("granted %v on a slot in use", got)
	}
}

// Once run times are known, a request that cannot start before its deadline is
// refused on arrival.
func TestEarlyRefusal(t *testing.T) {
	q := testQueue(1)
	now := start
	for i := range minSamples {
		g := q.Arrive(request(fmt.Sprint("learn", i), "label", Normal), now)[0].Grant
		now = now.Add(time.Second)
		q.Release(g.ID, Succeeded, now)
	}
	requestWithin := func(id string, within time.Duration) Request {
		r := request(id, "label", Normal)
		r.Deadline = now.Add(within)
		return r
	}
	for i := range 5 {
		q.Arrive(requestWithin(fmt.Sprint("ahead", i), 10*time.Second), now)
	}
	if got := q.Arrive(requestWithin("late", 10*time.Second), now); len(got) != 0 {
		t.Errorf("a request that can start in time was decided on arrival: %+v", got[0])
	}
	got := q.Arrive(requestWithin("hopeless", 11*time.Second), now)
	if len(got) != 0 {
		t.Errorf("decided on arrival: %+v", got[0])
	}
	for i := range 10 {
		q.Arrive(requestWithin(fmt.Sprint("more", i), 9*time.Second), now)
	}
	got = q.Arrive(requestWithin("surely", 9*time.Second), now)
	if len(got) != 1 || got[0].Refusal == nil || got[0].Refusal.Reason != TooLate || got[0].Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a TooLate refusal with RetryAfter set", got)
	}
}
