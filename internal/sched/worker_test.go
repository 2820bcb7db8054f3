package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// bench is a queue over workers whose behaviour the test sets, in virtual time.
type bench struct {
	q      *Queue
	now    time.Time
	random *rand.Rand
	behave func(worker int, service string) (Outcome, time.Duration)
	sent   map[string]int // by worker
	failed int
	due    []running
}

type running struct {
	at      time.Time
	grant   uint64
	outcome Outcome
}

func newBench(workers int, behave func(worker int, service string) (Outcome, time.Duration)) *bench {
	b := &bench{q: testQueue(1), now: start, random: rand.New(rand.NewPCG(7, 7)), behave: behave, sent: map[string]int{}}
	var all []Worker
	for i := range workers {
		all = append(all, Worker{Name: fmt.Sprintf("w%02d", i), Slots: 8})
	}
	b.q.SetWorkers(all, b.now)
	return b
}

func well(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
}

// run sends one request each 5 ms for a time.
func (b *bench) run(length time.Duration) {
	end := b.now.Add(length)
	for n := 0; b.now.Before(end); n++ {
		b.now = b.now.Add(5 * time.Millisecond)
		b.finish()
		r := Request{ID: fmt.Sprint(b.now.UnixNano()), Service: "label", Team: "t", Deadline: b.now.Add(time.Second), Repeatable: true}
		if n%4 == 0 {
			r.Service = "stock"
		}
		b.take(b.q.Arrive(r, b.now))
		b.take(b.q.Tick(b.now))
	}
}

func (b *bench) finish() {
	kept := b.due[:0]
	var over []running
	for _, r := range b.due {
		if r.at.After(b.now) {
			kept = append(kept, r)
		} else {
			over = append(over, r)
		}
	}
	b.due = kept
	for _, r := range over {
		b.take(b.q.Release(r.grant, r.outcome, b.now))
	}
}

func (b *bench) take(decisions []Decision) {
	for _, d := range decisions {
		if d.Grant == nil {
			continue
		}
		worker := 0
		_, _ = fmt.Sscanf(d.Grant.Worker, "w%d", &worker)
		outcome, took := b.behave(worker, d.Grant.Service)
		b.sent[d.Grant.Worker]++
		if outcome == Failed {
			b.failed++
		}
		b.due = append(b.due, running{b.now.Add(took), d.Grant.ID, outcome})
	}
}

func (b *bench) aside() int { return b.q.asides }

func TestWorkerThatFailsAllIsPutAsideAndTakenBack(t *testing.T) {
	sick := true
	b := newBench(9, nil)
	b.behave = func(worker int, _ string) (Outcome, time.Duration) {
		if worker == 0 && sick {
			return Failed, time.Millisecond
		}
		return Succeeded, well(b.random)
	}
	b.run(30 * time.Second)
	if b.aside() != 1 || b.failed > 20 {
		t.Errorf("%d aside, %d of 6000 requests failed; want 1 and at most 20", b.aside(), b.failed)
	}
	sick = false
	b.run(100 * time.Second)
	before := b.sent["w00"]
	b.run(20 * time.Second)
	if b.aside() != 0 || b.sent["w00"]-before < 200 {
		t.Errorf("%d aside, the worker that is well again got %d of 4000 requests", b.aside(), b.sent["w00"]-before)
	}
}

func TestSlowWorkerIsPutAside(t *testing.T) {
	b := newBench(9, nil)
	b.behave = func(worker int, _ string) (Outcome, time.Duration) {
		if worker == 0 {
			return Succeeded, 10 * well(b.random)
		}
		return Succeeded, well(b.random)
	}
	b.run(60 * time.Second)
	if b.aside() != 1 {
		t.Errorf("%d aside, want the slow one", b.aside())
	}
}

func TestNoMoreThanTheSetShareIsPutAside(t *testing.T) {
	tests := []struct {
		name string
		sick int
		most int
	}{
		{"a third, one availability zone", 3, 3},
		{"four of nine", 4, 3},
		{"most of them", 6, 3},
		{"all", 9, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(9, nil)
			b.behave = func(worker int, _ string) (Outcome, time.Duration) {
				if worker < tt.sick {
					return Failed, time.Millisecond
				}
				return Succeeded, well(b.random)
			}
			b.run(20 * time.Second)
			if b.aside() > tt.most {
				t.Errorf("%d of 9 are aside, want at most %d", b.aside(), tt.most)
			}
		})
	}
}

// A service whose work fails everywhere says nothing of the workers.
func TestFailingServiceDoesNotCostWorkers(t *testing.T) {
	b := newBench(9, nil)
	b.behave = func(_ int, service string) (Outcome, time.Duration) {
		if service == "label" {
			return Failed, time.Millisecond
		}
		return Succeeded, well(b.random)
	}
	b.run(30 * time.Second)
	if b.aside() > 1 {
		t.Errorf("%d workers were put aside for a service's fault", b.aside())
	}
}
