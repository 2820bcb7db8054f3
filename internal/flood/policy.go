// Package flood simulates the dispatch decisions of one pool under load, in
// virtual time, and compares the project's policy with baseline policies.
//
// # Usage
//
//	result := flood.Run(flood.Dispatcher(scenario), scenario)
//	fmt.Println(result.Classes["urgent"].Goodput)
//
// The model covers slots, run times, the latency of grants and releases, and
// deadlines. There is no network, no process and no store.
package flood

import (
	"fmt"
	"time"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// Policy decides which request gets a slot. Its functions have the meaning of the
// methods of [sched.Queue].
type Policy struct {
	Name    string
	Arrive  func(r sched.Request, now time.Time) []sched.Decision
	Release func(grant uint64, outcome sched.Outcome, now time.Time) []sched.Decision
	Cancel  func(request string, now time.Time) []sched.Decision
	Tick    func(now time.Time) []sched.Decision
	// GrantHop is the latency of a request and its grant together, ReleaseHop
	// that of a release.
	GrantHop   time.Duration
	ReleaseHop time.Duration
}

// Hop is the one-way latency between availability zones.
const Hop = 1400 * time.Microsecond

// Dispatcher returns the project's policy: one queue for the pool, a round trip
// for a grant.
func Dispatcher(s Scenario) Policy {
	q := s.queue()
	return Policy{
		Name:       "dispatcher",
		Arrive:     q.Arrive,
		Release:    q.Release,
		Cancel:     q.Cancel,
		Tick:       q.Tick,
		GrantHop:   2 * Hop,
		ReleaseHop: Hop,
	}
}

// Ideal returns the project's policy without network latency, the best that a
// dispatcher can reach.
func Ideal(s Scenario) Policy {
	p := Dispatcher(s)
	p.Name, p.GrantHop, p.ReleaseHop = "ideal", 0, 0
	return p
}

// FirstCome returns a baseline: one queue, first come first served, no shares.
func FirstCome(s Scenario) Policy {
	b := newBaseline(s, 1)
	return b.policy("first come", 2*Hop)
}

// StaticShares returns a baseline: each entry has a fixed part of every worker's
// slots and its own queue, first come first served.
func StaticShares(s Scenario) Policy {
	b := newBaseline(s, s.Entries)
	return b.policy("static shares", 0)
}

// LeastOutstanding returns a baseline: each entry sends a request at once to the
// worker that has the fewest outstanding requests of this entry; requests queue at
// the workers.
func LeastOutstanding(s Scenario) Policy {
	outstanding := make([]map[string]int, s.Entries)
	for i := range outstanding {
		outstanding[i] = map[string]int{}
	}
	workers := s.workers()
	grants := map[uint64]sched.Grant{}
	next := uint64(0)
	noDecisions := func(time.Time) []sched.Decision { return nil }
	return Policy{
		Name: "least outstanding",
		Arrive: func(r sched.Request, now time.Time) []sched.Decision {
			counts := outstanding[entryNumber(r.Entry)]
			best := int(next) % len(workers)
			for i := range workers {
				if counts[workers[i].Name] < counts[workers[best].Name] {
					best = i
				}
			}
			counts[workers[best].Name]++
			next++
			g := sched.Grant{ID: next, Request: r.ID, Entry: r.Entry, Service: r.Service, Worker: workers[best].Name, At: now}
			grants[g.ID] = g
			return []sched.Decision{{Request: r.ID, Entry: r.Entry, Grant: &g}}
		},
		Release: func(id uint64, _ sched.Outcome, _ time.Time) []sched.Decision {
			g := grants[id]
			outstanding[entryNumber(g.Entry)][g.Worker]--
			delete(grants, id)
			return nil
		},
		Cancel: func(string, time.Time) []sched.Decision { return nil },
		Tick:   noDecisions,
	}
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func entryNumber(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "entry-%d", &n)
	return n
}

// baseline holds a number of first come first served queues, each with an equal
// part of all slots.
type baseline struct {
	queues [][]sched.Request
	free   [][]string // workers with a free slot, by queue
	grants map[uint64]sched.Grant
	next   uint64
}

func newBaseline(s Scenario, partitions int) *baseline {
	b := &baseline{queues: make([][]sched.Request, partitions), free: make([][]string, partitions), grants: map[uint64]sched.Grant{}}
	for slot := range s.SlotsPerWorker {
		for _, w := range s.workers() {
			b.free[slot%partitions] = append(b.free[slot%partitions], w.Name)
		}
	}
	return b
}

func (b *baseline) policy(name string, hop time.Duration) Policy {
	return Policy{Name: name, Arrive: b.arrive, Release: b.release, Cancel: b.cancel, Tick: b.tick, GrantHop: hop, ReleaseHop: hop / 2}
}

func (b *baseline) partition(entry string) int { return entryNumber(entry) % len(b.queues) }

func (b *baseline) arrive(r sched.Request, now time.Time) []sched.Decision {
	partition := b.partition(r.Entry)
	b.queues[partition] = append(b.queues[partition], r)
	return b.dispatch(partition, now)
}

func (b *baseline) release(id uint64, _ sched.Outcome, now time.Time) []sched.Decision {
	g := b.grants[id]
	delete(b.grants, id)
	partition := b.partition(g.Entry)
	b.free[partition] = append(b.free[partition], g.Worker)
	return b.dispatch(partition, now)
}

func (b *baseline) cancel(request string, now time.Time) []sched.Decision {
	for partition, queue := range b.queues {
		for i, r := range queue {
			if r.ID == request {
				b.queues[partition] = append(queue[:i:i], queue[i+1:]...)
				return nil
			}
		}
	}
	return nil
}

func (b *baseline) tick(now time.Time) []sched.Decision {
	var decisions []sched.Decision
	for partition, queue := range b.queues {
		remaining := queue[:0]
		for _, r := range queue {
			if r.Deadline.After(now) {
				remaining = append(remaining, r)
				continue
			}
			decisions = append(decisions, sched.Decision{Request: r.ID, Entry: r.Entry, Refusal: &sched.Refusal{Reason: sched.DeadlinePast}})
		}
		b.queues[partition] = remaining
	}
	return decisions
}

func (b *baseline) dispatch(partition int, now time.Time) []sched.Decision {
	var decisions []sched.Decision
	for len(b.queues[partition]) > 0 && len(b.free[partition]) > 0 {
		r := b.queues[partition][0]
		b.queues[partition] = b.queues[partition][1:]
		worker := b.free[partition][0]
		b.free[partition] = b.free[partition][1:]
		b.next++
		g := sched.Grant{ID: b.next, Request: r.ID, Entry: r.Entry, Service: r.Service, Worker: worker, At: now}
		b.grants[g.ID] = g
		decisions = append(decisions, sched.Decision{Request: r.ID, Entry: r.Entry, Grant: &g})
	}
	return decisions
}
