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

// moveTicket returns a ticket that moves hosts to another pool.
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

// inPool reports whether no process that answers shows the host in another pool
// or in a state other than serving.
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

// fleetMonitor polls the pools and the timeline of every process. It records
// pools that exceed their budget, and keeps the events of processes that end.
type fleetMonitor struct {
	c          *cluster
	stopped    chan struct{}
	running    sync.WaitGroup
	events     map[string]event.Event
	violations []string
}

func (c *cluster) monitorFleet() *fleetMonitor {
	w := &fleetMonitor{c: c, stopped: make(chan struct{}), events: map[string]event.Event{}}
	w.running.Go(func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(50 * time.Millisecond):
				w.poll()
			}
		}
	})
	return w
}

func (w *fleetMonitor) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	for _, p := range w.c.members {
		pools, err := p.client().Pools(ctx)
		if err != nil {
			continue
		}
		for _, pool := range pools {
			if pool.Away > pool.Budget {
				w.violations = append(w.violations, fmt.Sprintf("pool %s: %d away, budget %d", pool.Name, pool.Away, pool.Budget))
			}
		}
		events, err := p.client().Timeline(ctx, 0)
		if err != nil {
			continue
		}
		for _, e := range events {
			w.events[fmt.Sprint(e.Process, e.Seq, e.At)] = e
		}
	}
}

// stop ends the polling, reports all violations and returns the time of each
// host's move.
func (w *fleetMonitor) stop() map[string]time.Time {
	close(w.stopped)
	w.running.Wait()
	w.poll()
	for _, what := range w.violations {
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

// checkMoved compares the records of a moved host with the time of its move: its
// work for the old pool must end before, and for the new one start after.
func (c *cluster) checkMoved(name string, moved time.Time, old, next string) {
	c.t.Helper()
	before, after := 0, 0
	for _, r := range c.workers[name].Records() {
		switch r.Service {
		case old:
			before++
			if r.End.IsZero() || r.End.After(moved) {
				c.t.Errorf("%s ran a request of its old pool until %s after its move", name, r.End.Sub(moved))
			}
		case next:
			after++
			if r.Start.Before(moved) {
				c.t.Errorf("%s started a request of its new pool %s before its move", name, moved.Sub(r.Start))
			}
		}
	}
	c.t.Logf("%s: %d requests before its move, %d after", name, before, after)
}

// A host that changes pools is in one pool at any time and interrupts no request,
// and its pool stays within its budget, also under failures during the move.
func TestMoveUnderFailure(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(c *cluster)
		after func(c *cluster)
	}{
		{"no failure", func(*cluster) {}, func(*cluster) {}},
		{"an entry suspended before the drain and resumed after the move", func(c *cluster) {
			c.members[3].signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
		}, func(c *cluster) { c.members[3].signal(syscall.SIGCONT) }},
		{"an entry killed as the drain begins", func(c *cluster) {
			time.AfterFunc(50*time.Millisecond, func() { _ = c.members[3].cmd.Process.Kill() })
		}, func(*cluster) {}},
		{"the table service down as the drain begins", func(c *cluster) {
			time.AfterFunc(100*time.Millisecond, func() { c.table.Set(stand.Faults{Down: true}) })
			time.AfterFunc(100*time.Millisecond+2*expiryTime, func() { c.table.Set(stand.Faults{}) })
		}, func(*cluster) {}},
		{"the table service loses answers", func(c *cluster) {
			c.table.Set(stand.Faults{LoseAnswers: 30})
		}, func(*cluster) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 4)
			monitor := c.monitorFleet()
			labels, invoices := c.newWorkload("label"), c.newWorkload("invoice")
			labels.keyed, labels.retries, labels.workTime, labels.timeout = false, 0, 600*time.Millisecond, 5*time.Second
			labels.entries, invoices.entries = c.members[:3], c.members[:3]
			labels.start(16)
			invoices.start(4)
			suspended := c.newWorkload("label")
			suspended.keyed, suspended.entries = false, c.members[3:]
			suspended.start(4)
			time.Sleep(300 * time.Millisecond)
			ticket := c.moveTicket(2, "south", "north-0", "north-1", "north-2")
			tt.fail(c)
			c.submit(ticket)
			c.waitFor("all three hosts in their new pool", 20*time.Second, func() bool {
				return c.inPool("north-0", "south") && c.inPool("north-1", "south") && c.inPool("north-2", "south")
			})
			tt.after(c)
			time.Sleep(expiryTime)
			results := append(labels.stop(), append(invoices.stop(), suspended.stop()...)...)
			moves := monitor.stop()
			c.checkResults(results)
			for _, name := range []string{"north-0", "north-1", "north-2"} {
				moved, found := moves[name]
				if !found {
					t.Fatalf("no timeline has the move of %s", name)
				}
				c.checkMoved(name, moved, "label", "invoice")
			}
		})
	}
}

// When operators submit tickets concurrently, the settings of exactly one ticket
// end up in force, never a mix of several.
func TestConcurrentTickets(t *testing.T) {
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
	c.waitFor("the same settings on every process", 6*time.Second, func() bool {
		want := c.members[0].pool("north")
		for _, p := range c.members {
			if p.pool("north").AwayPercent != want.AwayPercent || p.pool("south").AwayPercent != want.AwayPercent {
				return false
			}
		}
		return want.Ticket == 15
	})
}

// leavingTarget is the time after which a leaving endpoint must get no new work.
const leavingTarget = 3 * time.Second

// A host that the platform lists as leaving gets no new work after leavingTarget,
// also while the table service is down. It gets work again when the platform no
// longer lists it as leaving.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name string
		down bool
	}{
		{"no failure", false},
		{"the table service down", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 3)
			c.table.Set(stand.Faults{Down: tt.down})
			w := c.newWorkload("label")
			w.keyed, w.retries = false, 0
			w.start(12)
			time.Sleep(500 * time.Millisecond)
			c.server.SetLeaving("north-0", true)
			due := time.Now().Add(leavingTarget)
			time.Sleep(leavingTarget + time.Second)
			c.server.SetLeaving("north-0", false)
			stayed := time.Now()
			time.Sleep(2 * time.Second)
			c.checkResults(w.stop())
			late, afterStay := 0, 0
			for _, r := range c.workers["north-0"].Records() {
				switch {
				case r.Start.After(stayed):
					afterStay++
				case r.Start.After(due):
					late++
				}
			}
			if late > 0 || afterStay == 0 {
				t.Errorf("%d requests started after leavingTarget, %d after the host was no longer leaving", late, afterStay)
			}
		})
	}
}
