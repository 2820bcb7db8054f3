package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

var series = flag.String("hand-overs", "4", "lengths of the series of TestHandOvers, separated by commas")

const (
	handOverPeriod  = 1300 * time.Millisecond
	handOverWorkers = 10
	handOverSlots   = 8 // tasks that a worker runs at the same time

	// longestStandstill is the time for a hand-over, and the wait of the first new owner until the
	// leases of a worker that does not answer have surely expired.
	longestStandstill = 700*time.Millisecond + 5300*time.Millisecond
)

// TestHandOvers guards against a pool that starts nothing of the work accepted before while it
// changes hands more often than a lease lasts, since each new owner waits anew for a worker that
// does not answer (review/11).
func TestHandOvers(t *testing.T) {
	for i, text := range strings.Split(*series, ",") {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 {
			t.Fatalf("-hand-overs: %q, want numbers from 1 on", text)
		}
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			playHandOvers(t, count, *first+uint64(i))
		})
	}
}

func playHandOvers(t *testing.T, count int, seed uint64) {
	pool := poolName(0)
	r := newRig(t, seed, mimic.Options{
		Pools: []mimic.Pool{{Name: pool, Hosts: handOverWorkers}}, StopTime: stopTime / 2, ClockRate: 0.98, Linger: time.Second,
	}, *size)
	r.replay = fmt.Sprintf("go test ./internal/soak -run 'TestHandOvers/%d$' -v -hand-overs=%d -first %d -processes %d -binary=%s", count, count, seed, *size, *binary)
	r.platform.Configure(mimic.Config(1, []platform.Queue{{
		Name: "queue0", Host: callersHost, Prefix: queuePath(0), Pool: pool, Timeout: callTimeout, Target: 10 * time.Minute, Slack: 2, MaxAttempts: 3,
	}}, []mimic.Pool{{Name: pool}}))
	for _, p := range r.processes {
		if err := r.start(p); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.stop(p) })
	}
	r.waitForOwners(1)

	disturbed := time.Duration(count)*handOverPeriod + longestStandstill
	l := &partitionLoad{callers: newCallers(r, 4, time.Now().Add(disturbed)), random: rand.New(rand.NewPCG(seed, 2))}
	const tasks = handOverWorkers * handOverSlots // they run for a second, so that each job takes the pool as long
	for range int(disturbed/time.Second) + 2 {
		if !l.send(r.processes[0], tasks, 1000, "1s", false).succeeded() {
			t.Fatal("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	gone := r.platform.Workers()[0]
	gone.Silence(true)
	endSilence := r.record.begin(fault{kind: "silence", text: names([]*mimic.Worker{gone}) + " answers nothing"})
	time.Sleep(time.Second)

	began := time.Now()
	var restarts sync.WaitGroup
	for range count {
		if p := r.owner(pool); p != nil && p.mu.TryLock() {
			restarts.Go(func() {
				defer p.mu.Unlock()
				defer r.record.begin(fault{kind: "restart", text: "terminated and started again", node: p.node})()
				p.signal(syscall.SIGTERM)
				r.awaitExit(p)
				if err := r.start(p); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(handOverPeriod)
	}
	restarts.Wait()
	time.Sleep(time.Until(began.Add(disturbed)))
	gone.Silence(false)
	endSilence()
	calmAt := time.Now()
	l.settle(calmAt.Add(finishTime))

	o := r.observe(calmAt)
	handOvers := 0
	for _, p := range r.processes {
		handOvers += len(p.log.all(`"msg":"pool handed over","pool":"` + pool))
	}
	longest, at := o.longestStandstill(began, calmAt)
	t.Logf("%d hand-overs in series, %d in all: no start for at most %v, %v after the first", count, handOvers, longest.Round(time.Millisecond), at.Sub(began).Round(time.Millisecond))
	all := o.check()
	if longest > longestStandstill {
		all = append(all, failure{rule: "STANDSTILL", at: at, text: fmt.Sprintf("no inherited task was started for %v, want at most %v", longest, longestStandstill)})
	}
	r.judge(o, all)
}

// longestStandstill returns the longest time between two starts from a time until another one, and
// when it began.
func (o observations) longestStandstill(from, until time.Time) (longest time.Duration, at time.Time) {
	last := from
	starts := slices.Clone(o.runs)
	slices.SortFunc(starts, func(x, y run) int { return x.Started.Compare(y.Started) })
	for _, r := range starts {
		if r.Started.Before(from) || r.Started.After(until) {
			continue
		}
		if d := r.Started.Sub(last); d > longest {
			longest, at = d, last
		}
		last = r.Started
	}
	if d := until.Sub(last); d > longest {
		longest, at = d, last
	}
	return longest, at
}
