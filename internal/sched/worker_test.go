package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation runs a queue in virtual time with workers whose behaviour the test
// sets.
type simulation struct {
	q         *Queue
	now       time.Time
	random    *rand.Rand
	behaviour func(worker int, service string) (Outcome, time.Duration)
	sent      map[string]int // number of requests by worker
	failed    int
	running   []runningGrant
}

type runningGrant struct {
	endsAt  time.Time
	grant   uint64
	outcome Outcome
}

func newSimulation(workers int, behaviour func(worker int, service string) (Outcome, time.Duration)) *simulation {
	b := &simulation{q: testQueue(1), now: start, random: rand.New(rand.NewPCG(7, 7)), behaviour: behaviour, sent: map[string]int{}}
	var all []Worker
	for i := range workers {
		all = append(all, Worker{Name: fmt.Sprintf("w%02d", i), Slots: 8})
	}
	b.q.SetWorkers(all, b.now)
	return b
}

func healthyRunTime(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
}

// run sends one request every 5 ms for the given duration.
func (b *simulation) run(length time.Duration) {
	end := b.now.Add(length)
	for n := 0; b.now.Before(end); n++ {
		b.now = b.now.Add(5 * time.Millisecond)
		b.finish()
		r := Request{ID: fmt.Sprint(b.now.UnixNano()), Service: "label", Team: "t", Deadline: b.now.Add(time.Second), Repeatable: true}
		if n%4 == 0 {
			r.Service = "stock"
		}
		b.startGrants(b.q.Arrive(r, b.now))
		b.startGrants(b.q.Tick(b.now))
	}
}

func (b *simulation) finish() {
	running := b.running[:0]
	var finished []runningGrant
	for _, r := range b.running {
		if r.endsAt.After(b.now) {
			running = append(running, r)
		} else {
			finished = append(finished, r)
		}
	}
	b.running = running
	for _, r := range finished {
		b.startGrants(b.q.Release(r.grant, r.outcome, b.now))
	}
}

func (b *simulation) startGrants(decisions []Decision) {
	for _, d := range decisions {
		if d.Grant == nil {
			continue
		}
		worker := 0
		_, _ = fmt.Sscanf(d.Grant.Worker, "w%d", &worker)
		outcome, took := b.behaviour(worker, d.Grant.Service)
		b.sent[d.Grant.Worker]++
		if outcome == Failed {
			b.failed++
		}
		b.running = append(b.running, runningGrant{b.now.Add(took), d.Grant.ID, outcome})
	}
}

func (b *simulation) ejected() int { return b.q.ejectedWorkers }

func TestFailingWorkerIsEjectedAndReadmitted(t *testing.T) {
	failing := true
	b := newSimulation(9, nil)
	b.behaviour = func(worker int, _ string) (Outcome, time.Duration) {
		if worker == 0 && failing {
			return Failed, time.Millisecond
		}
		return Succeeded, healthyRunTime(b.random)
	}
	b.run(30 * time.Second)
	if b.ejected() != 1 || b.failed > 20 {
		t.Errorf("%d ejected, %d of 6000 requests failed; want 1 and at most 20", b.ejected(), b.failed)
	}
	failing = false
	b.run(100 * time.Second)
	before := b.sent["w00"]
	b.run(20 * time.Second)
	if b.ejected() != 0 || b.sent["w00"]-before < 200 {
		t.Errorf("%d ejected, the recovered worker got %d of 4000 requests; want 0 and at least 200", b.ejected(), b.sent["w00"]-before)
	}
}

func TestSlowWorkerIsEjected(t *testing.T) {
	b := newSimulation(9, nil)
	b.behaviour = func(worker int, _ string) (Outcome, time.Duration) {
		if worker == 0 {
			return Succeeded, 10 * healthyRunTime(b.random)
		}
		return Succeeded, healthyRunTime(b.random)
	}
	b.run(60 * time.Second)
	if b.ejected() != 1 {
		t.Errorf("%d ejected, want only the slow worker", b.ejected())
	}
}

func TestEjectionsAreLimited(t *testing.T) {
	tests := []struct {
		name       string
		failing    int
		maxEjected int
	}{
		{"a third, one availability zone", 3, 3},
		{"four of nine", 4, 3},
		{"most of them", 6, 3},
		{"all", 9, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newSimulation(9, nil)
			b.behaviour = func(worker int, _ string) (Outcome, time.Duration) {
				if worker < tt.failing {
					return Failed, time.Millisecond
				}
				return Succeeded, healthyRunTime(b.random)
			}
			b.run(20 * time.Second)
			if b.ejected() > tt.maxEjected {
				t.Errorf("%d of 9 workers ejected, want at most %d", b.ejected(), tt.maxEjected)
			}
		})
	}
}

// A service whose requests fail on every worker must not cause ejections.
func TestFailingServiceDoesNotEjectWorkers(t *testing.T) {
	b := newSimulation(9, nil)
	b.behaviour = func(_ int, service string) (Outcome, time.Duration) {
		if service == "label" {
			return Failed, time.Millisecond
		}
		return Succeeded, healthyRunTime(b.random)
	}
	b.run(30 * time.Second)
	if b.ejected() > 1 {
		t.Errorf("%d workers were ejected because of a failing service", b.ejected())
	}
}
