package proof

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/stand"
)

// everywhereTarget is the users' limit for a change to be in force everywhere.
const everywhereTarget = 6 * time.Second

func awayTicket(number, percent int) string {
	return fmt.Sprintf(`{"number": %d, "author": "proof", "pools": [{"name": "north", "away-percent": %d}]}`, number, percent)
}

// versionWatch looks all the time at the version in force of every process.
type versionWatch struct {
	stopped chan struct{}
	running sync.WaitGroup
	broken  []string
}

func (c *cluster) watchVersions() *versionWatch {
	w := &versionWatch{stopped: make(chan struct{})}
	newest := make([]uint64, len(c.members))
	w.running.Go(func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i, p := range c.members {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				members, err := p.client().Members(ctx)
				cancel()
				if err != nil {
					continue
				}
				if version := members[0].Version; version < newest[i] {
					w.broken = append(w.broken, fmt.Sprintf("%s went back from %d to %d", members[0].Name, newest[i], version))
				}
				newest[i] = max(newest[i], members[0].Version)
			}
		}
	})
	return w
}

func (w *versionWatch) stop(t *testing.T) {
	close(w.stopped)
	w.running.Wait()
	for _, what := range w.broken {
		t.Error(what)
	}
}

// An accepted ticket is in force on every process within the limit, or once the
// process is back, and no process ever goes back.
func TestConfigurationEverywhere(t *testing.T) {
	tests := []struct {
		name string
		fail func(c *cluster)
		heal func(c *cluster)
	}{
		{"no failure", func(*cluster) {}, func(*cluster) {}},
		{"the table service slow", func(c *cluster) {
			c.table.Set(stand.Faults{Slow: 100 * time.Millisecond})
		}, func(*cluster) {}},
		{"answers lost", func(c *cluster) { c.table.Set(stand.Faults{LoseAnswers: 10}) }, func(*cluster) {}},
		{"a process cut from the table service", func(c *cluster) { c.members[2].store.Cut(true) }, func(*cluster) {}},
		{"a process frozen and woken", func(c *cluster) {
			c.members[2].signal(syscall.SIGSTOP)
		}, func(c *cluster) {
			time.Sleep(lapse)
			c.members[2].signal(syscall.SIGCONT)
		}},
		{"a process killed and started again", func(c *cluster) {
			c.members[2].kill()
		}, func(c *cluster) {
			c.members[2].start()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 1)
			watch := c.watchVersions()
			tt.fail(c)
			for number := 2; number < 8; number++ {
				c.submit(awayTicket(number, 40+number))
			}
			tt.heal(c)
			began := time.Now()
			c.waitFor("the tickets in force everywhere", everywhereTarget, func() bool { return c.inForce(7) })
			t.Logf("in force everywhere after %s", time.Since(began).Round(time.Millisecond))
			watch.stop(t)
		})
	}
}

// A process that is cut off alone leaves the balancer; in an outage for all,
// everyone stays, and serves.
func TestWhoLeavesTheBalancer(t *testing.T) {
	tests := []struct {
		name string
		cut  int // processes cut from the table service
		want int // ready ones
	}{
		{"one cut off", 1, 3},
		{"all cut off", 4, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 2)
			warm := c.newCrowd("crate").start(4)
			time.Sleep(500 * time.Millisecond) // every shard of keys has its owner
			c.checkTruth(warm.stop())
			for _, p := range c.members[:tt.cut] {
				p.store.Cut(true)
			}
			time.Sleep(3 * lapse)
			if got := c.ready(); got != tt.want {
				t.Errorf("%d entries are ready, want %d", got, tt.want)
			}
			w := c.newCrowd("crate")
			w.entries = c.members[4-tt.want:]
			w.start(4)
			time.Sleep(time.Second)
			all := w.stop()
			c.checkTruth(all)
			if answered(all, time.Time{}) == 0 {
				t.Error("nothing was answered meanwhile")
			}
			for _, p := range c.members {
				p.store.Cut(false)
			}
			c.waitFor("all entries ready again", 10*time.Second, func() bool { return c.ready() == 4 })
		})
	}
}
