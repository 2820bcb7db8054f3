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

// propagationTarget is the users' limit for a change to be in force on every
// process.
const propagationTarget = 6 * time.Second

func awayTicket(number, percent int) string {
	return fmt.Sprintf(`{"number": %d, "author": "proof", "pools": [{"name": "north", "away-percent": %d}]}`, number, percent)
}

// versionMonitor polls the configuration version in force on every process and
// records each decrease.
type versionMonitor struct {
	stopped    chan struct{}
	running    sync.WaitGroup
	violations []string
}

func (c *cluster) monitorVersions() *versionMonitor {
	w := &versionMonitor{stopped: make(chan struct{})}
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
					w.violations = append(w.violations, fmt.Sprintf("%s went back from version %d to %d", members[0].Name, newest[i], version))
				}
				newest[i] = max(newest[i], members[0].Version)
			}
		}
	})
	return w
}

func (w *versionMonitor) stop(t *testing.T) {
	close(w.stopped)
	w.running.Wait()
	for _, what := range w.violations {
		t.Error(what)
	}
}

// An accepted ticket is in force on every process within the limit, or within the
// limit after the process is back, and no process returns to an older version.
func TestConfigurationReachesEveryProcess(t *testing.T) {
	tests := []struct {
		name string
		fail func(c *cluster)
		heal func(c *cluster)
	}{
		{"no failure", func(*cluster) {}, func(*cluster) {}},
		{"the table service slow", func(c *cluster) {
			c.table.Set(stand.Faults{Slow: 100 * time.Millisecond})
		}, func(*cluster) {}},
		{"the table service loses answers", func(c *cluster) { c.table.Set(stand.Faults{LoseAnswers: 10}) }, func(*cluster) {}},
		{"a process cut off from the table service", func(c *cluster) { c.members[2].platformRelay.Cut(true) }, func(*cluster) {}},
		{"a process suspended and resumed", func(c *cluster) {
			c.members[2].signal(syscall.SIGSTOP)
		}, func(c *cluster) {
			time.Sleep(expiryTime)
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
			monitor := c.monitorVersions()
			tt.fail(c)
			for number := 2; number < 8; number++ {
				c.submit(awayTicket(number, 40+number))
			}
			tt.heal(c)
			healed := time.Now()
			c.waitFor("the tickets are in force on every process", propagationTarget, func() bool { return c.inForce(7) })
			t.Logf("in force on every process after %s", time.Since(healed).Round(time.Millisecond))
			monitor.stop(t)
		})
	}
}

// A process that alone is cut off from the table service reports that it is not
// ready, so that the load balancer removes it. In an outage for all processes
// every one stays ready and keeps serving.
func TestReadinessWhenCutOff(t *testing.T) {
	tests := []struct {
		name string
		cut  int // number of processes cut off from the table service
		want int // number of ready processes
	}{
		{"one cut off", 1, 3},
		{"all cut off", 4, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 2)
			warmup := c.newWorkload("crate").start(4)
			time.Sleep(500 * time.Millisecond) // until every shard of keys has an owner
			c.checkResults(warmup.stop())
			for _, p := range c.members[:tt.cut] {
				p.platformRelay.Cut(true)
			}
			time.Sleep(3 * expiryTime)
			if got := c.ready(); got != tt.want {
				t.Errorf("%d entries are ready, want %d", got, tt.want)
			}
			w := c.newWorkload("crate")
			w.entries = c.members[4-tt.want:]
			w.start(4)
			time.Sleep(time.Second)
			results := w.stop()
			c.checkResults(results)
			if answered(results, time.Time{}) == 0 {
				t.Error("no request was answered while processes were cut off")
			}
			for _, p := range c.members {
				p.platformRelay.Cut(false)
			}
			c.waitFor("all entries ready again", 10*time.Second, func() bool { return c.ready() == 4 })
		})
	}
}
