// Package flood measures the dispatch decisions of one pool under load, in
// virtual time: the project's own policy beside baselines of the same seam.
//
// # Usage
//
//	result := flood.Run(flood.Dispatcher(scenario), scenario)
//	fmt.Println(result.Classes["urgent"].Goodput)
//
// Only decisions and waiting are modelled: slots, run times, the hops of grants
// and releases, deadlines. There is no network, no process and no store.
package flood

import (
	"fmt"
	"time"

	"github.com/papayarudder/papayarudder/internal/sched"
)

// Policy is a way of giving slots to requests. Its functions have the meaning
// of the methods of [sched.Queue].
type Policy struct {
	Name    string
	Arrive  func(r sched.Request, now time.Time) []sched.Decision
	Release func(grant uint64, outcome sched.Outcome, now time.Time) []sched.Decision
	Cancel  func(request string, now time.Time) []sched.Decision
	Tick    func(now time.Time) []sched.Decision
	// GrantHop is how long a request and its grant are on their way, and
	// ReleaseHop how long a release is.
	GrantHop   time.Duration
	ReleaseHop time.Duration
}

// Hop is the one-way latency between availability zones.
const Hop = 1400 * time.Microsecond

// Dispatcher is the project's policy: one queue for the pool, a round trip for a
// grant.
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

// Ideal is the project's order without any hop, the bound for what a
// dispatcher can reach.
func Ideal(s Scenario) Policy {
	p := Dispatcher(s)
	p.Name, p.GrantHop, p.ReleaseHop = "ideal", 0, 0
	return p
}

// FirstCome is a baseline: one queue, first come first served, no shares.
func FirstCome(s Scenario) Policy {
	b := newBaseline(s, 1)
	return b.policy("first come", 2*Hop)
}

// StaticShares is a baseline: each entry has its own part of every worker's
// slots and its own queue, first come first served.
func StaticShares(s Scenario) Policy {
	b := newBaseline(s, s.Entries)
	return b.policy("static shares", 0)
}

// LeastOutstanding is a baseline: each entry sends at once to the worker where
// it has the least outstanding itself; requests queue at the workers.
func LeastOutstanding(s Scenario) Policy {
	own := make([]map[string]int, s.Entries)
	for i := range own {
		own[i] = map[string]int{}
	}
	workers := s.workers()
	grants := map[uint64]sched.Grant{}
	next := uint64(0)
	none := func(time.Time) []sched.Decision { return nil }
	return Policy{
		Name: "least outstanding",
		Arrive: func(r sched.Request, now time.Time) []sched.Decision {
			counts := own[entryNumber(r.Entry)]
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
			own[entryNumber(g.Entry)][g.Worker]--
			delete(grants, id)
			return nil
		},
		Cancel: func(string, time.Time) []sched.Decision { return nil },
		Tick:   none,
	}
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func entryNumber(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "entry-%d", &n)
	return n
}

// baseline is a number of queues, first come first served, over equal parts of
// all slots.
type baseline struct {
	queues [][]sched.Request
	free   [][]string // workers with a free slot, by queue
	grants map[uint64]sched.Grant
	next   uint64
}

func newBaseline(s Scenario, parts int) *baseline {
	b := &baseline{queues: make([][]sched.Request, parts), free: make([][]string, parts), grants: map[uint64]sched.Grant{}}
	for slot := range s.SlotsEach {
		for _, w := range s.workers() {
			b.free[slot%parts] = append(b.free[slot%parts], w.Name)
		}
	}
	return b
}

func (b *baseline) policy(name string, hop time.Duration) Policy {
	return Policy{Name: name, Arrive: b.arrive, Release: b.release, Cancel: b.cancel, Tick: b.tick, GrantHop: hop, ReleaseHop: hop / 2}
}

func (b *baseline) part(entry string) int { return entryNumber(entry) % len(b.queues) }

func (b *baseline) arrive(r sched.Request, now time.Time) []sched.Decision {
	part := b.part(r.Entry)
	b.queues[part] = append(b.queues[part], r)
	return b.dispatch(part, now)
}

func (b *baseline) release(id uint64, _ sched.Outcome, now time.Time) []sched.Decision {
	g := b.grants[id]
	delete(b.grants, id)
	part := b.part(g.Entry)
	b.free[part] = append(b.free[part], g.Worker)
	return b.dispatch(part, now)
}

func (b *baseline) cancel(request string, now time.Time) []sched.Decision {
	for part, queue := range b.queues {
		for i, r := range queue {
			if r.ID == request {
				b.queues[part] = append(queue[:i:i], queue[i+1:]...)
				return nil
			}
		}
	}
	return nil
}

func (b *baseline) tick(now time.Time) []sched.Decision {
	var decisions []sched.Decision
	for part, queue := range b.queues {
		kept := queue[:0]
		for _, r := range queue {
			if r.Deadline.After(now) {
				kept = append(kept, r)
				continue
			}
			decisions = append(decisions, sched.Decision{Request: r.ID, Entry: r.Entry, Refusal: &sched.Refusal{Reason: sched.DeadlinePast}})
		}
		b.queues[part] = kept
	}
	return decisions
}

func (b *baseline) dispatch(part int, now time.Time) []sched.Decision {
	var decisions []sched.Decision
	for len(b.queues[part]) > 0 && len(b.free[part]) > 0 {
		r := b.queues[part][0]
		b.queues[part] = b.queues[part][1:]
		worker := b.free[part][0]
		b.free[part] = b.free[part][1:]
		b.next++
		g := sched.Grant{ID: b.next, Request: r.ID, Entry: r.Entry, Service: r.Service, Worker: worker, At: now}
		b.grants[g.ID] = g
		decisions = append(decisions, sched.Decision{Request: r.ID, Entry: r.Entry, Grant: &g})
	}
	return decisions
}
