package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// recoveryTarget is the users' limit for the time until slots are granted again.
const recoveryTarget = 3 * time.Second

// After the dispatcher of a pool is lost, requests at the other entries are
// served again within recoveryTarget, and no slot stays in use for good.
func TestDispatcherLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(c *cluster, p *process)
	}{
		{"killed", func(_ *cluster, p *process) { p.kill() }},
		{"frozen", func(_ *cluster, p *process) { p.signal(syscall.SIGSTOP) }},
		{"stopped", func(_ *cluster, p *process) { p.stop() }},
		{"frozen and resumed", func(_ *cluster, p *process) {
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
		}},
		{"killed while the table service is down", func(c *cluster, p *process) {
			c.table.Set(stand.Faults{Down: true})
			time.Sleep(2 * leaseDuration)
			p.kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 2)
			lost, others := c.dispatcher("north")
			w := c.newWorkload("label")
			w.keyed, w.retries, w.timeout, w.entries = false, 0, 5*time.Second, others
			w.pause = time.Millisecond
			w.start(40)
			time.Sleep(time.Second)
			lossStart := time.Now()
			tt.lose(c, lost)
			lossEnd := time.Now()
			time.Sleep(recoveryTarget + time.Second)
			results := w.stop()
			c.checkResults(results)
			longestGap, rateBefore, rateAfter := outage(results, lossStart, lossEnd)
			t.Logf("longest time without an answer %s; answers per second: %.0f before, %.0f in the 3 s after", longestGap, rateBefore, rateAfter)
			if longestGap > recoveryTarget {
				t.Errorf("no answer for %s, want at most %s", longestGap, recoveryTarget)
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

// An entry whose requests hold most slots is frozen while the dispatcher is lost, and
// resumes 0.6 s later. The next dispatcher must not grant the slots that the entry's
// requests still use.
func TestSlotsOfAFrozenEntryStayInUse(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 2)
	lost, others := c.dispatcher("north")
	frozen := others[0]
	long := c.newWorkload("crate")
	long.retries, long.timeout, long.entries = 0, 8*time.Second, []*process{frozen}
	long.workTime = 2 * time.Second
	long.start(12)
	c.waitFor("the long requests to hold slots", 5*time.Second, func() bool { return lost.pool("north").Running == 12 })
	short := c.newWorkload("label")
	short.keyed, short.retries, short.timeout, short.entries = false, 0, 5*time.Second, others[1:]
	short.pause = time.Millisecond
	short.start(40)
	time.Sleep(100 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	lost.kill()
	time.Sleep(600 * time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	time.Sleep(recoveryTarget)
	short.stop()
	long.stop()
	for name, worker := range c.workers {
		if busy, _ := worker.Peaks(); busy > 8 {
			t.Errorf("worker %s had %d of 8 slots in use", name, busy)
		}
	}
}

// outage returns the longest time between two answers since the loss began, and
// the answers per second before it and in the recoveryTarget after it.
func outage(results []result, lossStart, lossEnd time.Time) (longestGap time.Duration, rateBefore, rateAfter float64) {
	last := lossStart
	first := lossStart
	for _, t := range results {
		ended := t.at.Add(t.latency)
		if t.outcome != caller.Answered {
			continue
		}
		switch {
		case ended.Before(lossStart):
			rateBefore++
			if t.at.Before(first) {
				first = t.at
			}
			continue
		case ended.After(lossEnd) && ended.Before(lossEnd.Add(recoveryTarget)):
			rateAfter++
		}
		longestGap = max(longestGap, ended.Sub(last))
		last = ended
	}
	return longestGap, rateBefore / lossStart.Sub(first).Seconds(), rateAfter / recoveryTarget.Seconds()
}
