package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/stand"
)

// moveTicket returns a ticket that gives hosts another pool.
func (c *cluster) moveTicket(number int, pool string, names ...string) string {
	state, err := c.members[0].client().Hosts(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	var hosts []string
	for _, name := range names {
		for _, h := range state {
			if h.Name == name {
				hosts = append(hosts, fmt.Sprintf(`{"name": %q, "pool": %q, "address": %q, "zone": "z", "rack": "r"}`, name, pool, h.Address))
			}
		}
	}
	return fmt.Sprintf(`{"number": %d, "author": "proof", "reason": "move", "hosts": [%s]}`, number, strings.Join(hosts, ","))
}

// inPool reports whether a live process has a host in a pool, serving.
func (c *cluster) inPool(name, pool string) bool {
	for _, p := range c.members {
		hosts, err := p.client().Hosts(context.Background())
		if err != nil {
			continue
		}
		for _, h := range hosts {
			if h.Name == name && (h.Pool != pool || h.State != "serving") {
				return false
			}
		}
	}
	return true
}

// fleetWatch looks all the time at what every process says of pools and hosts,
// and keeps the time line of processes that end.
type fleetWatch struct {
	c       *cluster
	stopped chan struct{}
	running sync.WaitGroup
	events  map[string]event.Event
	broken  []string
}

func (c *cluster) watchFleet() *fleetWatch {
	w := &fleetWatch{c: c, stopped: make(chan struct{}), events: map[string]event.Event{}}
	w.running.Go(func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(50 * time.Millisecond):
				w.look()
			}
		}
	})
	return w
}

func (w *fleetWatch) look() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	for _, p := range w.c.members {
		pools, err := p.client().Pools(ctx)
		if err != nil {
			continue
		}
		for _, pool := range pools {
			if pool.Away > pool.Budget {
				w.broken = append(w.broken, fmt.Sprintf("pool %s: %d away, budget %d", pool.Name, pool.Away, pool.Budget))
			}
		}
		part, err := p.client().Timeline(ctx, 0)
		if err != nil {
			continue
		}
		for _, e := range part {
			w.events[fmt.Sprint(e.Process, e.Seq, e.At)] = e
		}
	}
}

// stop ends the watch and returns the moves by host.
func (w *fleetWatch) stop() map[string]time.Time {
	close(w.stopped)
	w.running.Wait()
	w.look()
	for _, what := range w.broken {
		w.c.t.Error(what)
	}
	moves := map[string]time.Time{}
	for _, e := range w.events {
		if e.Kind == event.HostMove {
			moves[e.Object] = e.At
		}
	}
	return moves
}

// checkMoved compares a moved host's records with the time of its move: it may
// work for its old pool only before, and for its new one only after.
func (c *cluster) checkMoved(name string, moved time.Time, old, next string) {
	c.t.Helper()
	before, after := 0, 0
	for _, r := range c.workers[name].Records() {
		switch r.Service {
		case old:
			before++
			if r.End.IsZero() || r.End.After(moved) {
				c.t.Errorf("%s worked for its old pool until %s after its move", name, r.End.Sub(moved))
			}
		case next:
			after++
			if r.Start.Before(moved) {
				c.t.Errorf("%s worked for its new pool %s before its move", name, moved.Sub(r.Start))
			}
		}
	}
	c.t.Logf("%s: %d requests before its move, %d after", name, before, after)
}

// A host that changes pools is in one pool at any moment, cuts no request, and
// keeps its pool's budget, whatever fails meanwhile.
func TestMoveUnderFailure(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(c *cluster)
		after func(c *cluster)
	}{
		{"no failure", func(*cluster) {}, func(*cluster) {}},
		{"an entry frozen before the drain and woken after the move", func(c *cluster) {
			c.members[3].signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
		}, func(c *cluster) { c.members[3].signal(syscall.SIGCONT) }},
		{"an entry killed as the drain begins", func(c *cluster) {
			time.AfterFunc(50*time.Millisecond, func() { _ = c.members[3].cmd.Process.Kill() })
		}, func(*cluster) {}},
		{"the table service down as the drain begins", func(c *cluster) {
			time.AfterFunc(100*time.Millisecond, func() { c.table.Set(stand.Faults{Down: true}) })
			time.AfterFunc(100*time.Millisecond+2*lapse, func() { c.table.Set(stand.Faults{}) })
		}, func(*cluster) {}},
		{"the table service loses answers", func(c *cluster) {
			c.table.Set(stand.Faults{LoseAnswers: 30})
		}, func(*cluster) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 4)
			watch := c.watchFleet()
			labels, invoices := c.newCrowd("label"), c.newCrowd("invoice")
			labels.keyed, labels.again, labels.work, labels.timeout = false, 0, 600*time.Millisecond, 5*time.Second
			labels.entries, invoices.entries = c.members[:3], c.members[:3]
			labels.start(16)
			invoices.start(4)
			frozen := c.newCrowd("label")
			frozen.keyed, frozen.entries = false, c.members[3:]
			frozen.start(4)
			time.Sleep(300 * time.Millisecond)
			ticket := c.moveTicket(2, "south", "north-0", "north-1", "north-2")
			tt.fail(c)
			c.submit(ticket)
			c.waitFor("all three moved", 20*time.Second, func() bool {
				return c.inPool("north-0", "south") && c.inPool("north-1", "south") && c.inPool("north-2", "south")
			})
			tt.after(c)
			time.Sleep(lapse)
			all := append(labels.stop(), append(invoices.stop(), frozen.stop()...)...)
			moves := watch.stop()
			c.checkTruth(all)
			for _, name := range []string{"north-0", "north-1", "north-2"} {
				moved, known := moves[name]
				if !known {
					t.Fatalf("no time line tells of the move of %s", name)
				}
				c.checkMoved(name, moved, "label", "invoice")
			}
		})
	}
}

// Operators that race leave one of their states, whole.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 3, 2)
	verdicts := make(chan string, 12)
	for i := range 12 {
		go func() {
			ticket := fmt.Sprintf(`{"number": %d, "author": "operator-%d", "pools": [{"name": "north", "away-percent": %d}, {"name": "south", "away-percent": %d}]}`, 10+i/2, i, 50+i, 50+i)
			decision, err := c.members[i%3].client().Submit(context.Background(), []byte(ticket))
			if err != nil {
				decision.Verdict = err.Error()
			}
			verdicts <- decision.Verdict
		}()
	}
	counts := map[string]int{}
	for range 12 {
		counts[<-verdicts]++
	}
	t.Logf("verdicts: %v", counts)
	if counts["accepted"]+counts["superseded"]+counts["conflict"] != 12 || counts["accepted"] == 0 {
		t.Errorf("verdicts: %v", counts)
	}
	c.waitFor("the same everywhere", 6*time.Second, func() bool {
		want := c.members[0].pool("north")
		for _, p := range c.members {
			if p.pool("north").AwayPercent != want.AwayPercent || p.pool("south").AwayPercent != want.AwayPercent {
				return false
			}
		}
		return want.Ticket == 15
	})
}

// leavingTarget is how soon a leaving endpoint must get no new work.
const leavingTarget = 3 * time.Second

// A host that the platform's list calls leaving gets no new work after the
// target, also when the table service is down, and gets work again when it stays.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name string
		down bool
	}{
		{"all well", false},
		{"the table service down", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 3)
			c.table.Set(stand.Faults{Down: tt.down})
			w := c.newCrowd("label")
			w.keyed, w.again = false, 0
			w.start(12)
			time.Sleep(500 * time.Millisecond)
			c.server.SetLeaving("north-0", true)
			due := time.Now().Add(leavingTarget)
			time.Sleep(leavingTarget + time.Second)
			c.server.SetLeaving("north-0", false)
			back := time.Now()
			time.Sleep(2 * time.Second)
			c.checkTruth(w.stop())
			late, again := 0, 0
			for _, r := range c.workers["north-0"].Records() {
				switch {
				case r.Start.After(back):
					again++
				case r.Start.After(due):
					late++
				}
			}
			if late > 0 || again == 0 {
				t.Errorf("%d requests after the target, %d after it stayed", late, again)
			}
		})
	}
}
