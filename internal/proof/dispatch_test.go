package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// recoveryTarget is the users' target for grants to flow again.
const recoveryTarget = 3 * time.Second

// When the dispatcher of a pool is lost, the other entries' requests are served
// again within the target, and no slot leaks.
func TestDispatcherLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(c *cluster, p *process)
	}{
		{"killed", func(_ *cluster, p *process) { p.kill() }},
		{"frozen", func(_ *cluster, p *process) { p.signal(syscall.SIGSTOP) }},
		{"stopped", func(_ *cluster, p *process) { p.stop() }},
		{"frozen and woken", func(_ *cluster, p *process) {
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
		}},
		{"killed while the table service is down", func(c *cluster, p *process) {
			c.table.Set(stand.Faults{Down: true})
			time.Sleep(2 * hold)
			p.kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 2)
			lost, others := c.dispatcher("north")
			w := c.newCrowd("label")
			w.keyed, w.again, w.timeout, w.entries = false, 0, 5*time.Second, others
			w.pause = time.Millisecond
			w.start(40)
			time.Sleep(time.Second)
			began := time.Now()
			tt.lose(c, lost)
			over := time.Now()
			time.Sleep(recoveryTarget + time.Second)
			all := w.stop()
			c.checkTruth(all)
			gap, before, during := outage(all, began, over)
			t.Logf("longest time without an answer %s; answers a second before %.0f, in the 3 s after %.0f", gap, before, during)
			if gap > recoveryTarget {
				t.Errorf("no answer for %s, want at most %s", gap, recoveryTarget)
			}
			for name, worker := range c.workers {
				if busy, conns := worker.Peaks(); busy > 8 || conns > 64 {
					t.Errorf("worker %s had %d of 8 slots and %d of 64 connections in use", name, busy, conns)
				}
			}
			c.waitFor("no slot in use", 10*time.Second, func() bool {
				for _, p := range others {
					if p.pool("north").Running > 0 {
						return false
					}
				}
				return true
			})
		})
	}
}

// outage returns the longest time between two answers since the loss began, and
// the answers a second before it and in the target's time after it.
func outage(all []told, began, over time.Time) (gap time.Duration, before, during float64) {
	last := began
	first := began
	for _, t := range all {
		ended := t.at.Add(t.took)
		if t.outcome != caller.Answered {
			continue
		}
		switch {
		case ended.Before(began):
			before++
			if t.at.Before(first) {
				first = t.at
			}
			continue
		case ended.After(over) && ended.Before(over.Add(recoveryTarget)):
			during++
		}
		gap = max(gap, ended.Sub(last))
		last = ended
	}
	return gap, before / began.Sub(first).Seconds(), during / recoveryTarget.Seconds()
}
