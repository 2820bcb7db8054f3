package pool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against an end that is acknowledged before its effect is stored, whichever
// transactions fail and whatever changes while one is under way.
func TestEndsAreAcknowledgedOnlyWhenTheirEffectIsStored(t *testing.T) {
	type end struct {
		job     jobs.ID
		version int // of the job's progress with its effect
	}
	acknowledged := 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		o, _ := benchOwner(85, 0)
		agents := make([]*agent, 0, len(o.agents))
		for _, a := range o.agents {
			agents = append(agents, a)
		}
		slices.SortFunc(agents, func(x, y *agent) int { return strings.Compare(x.key, y.key) })
		versions, stored := map[jobs.ID]int{}, map[jobs.ID]int{}
		ends := map[*agent][]end{}
		listed := map[*agent][]platform.EndedAttempt{}
		var c *commit
		var sent map[jobs.ID]int
		for n := uint64(1); n < 400; n++ {
			switch rng.IntN(5) {
			case 0, 1: // a worker lists a new end and those that are not acknowledged
				a := agents[rng.IntN(len(agents))]
				running := o.board.Attempts(a.key)
				if len(running) == 0 {
					continue
				}
				for _, r := range running[:1+rng.IntN(len(running))] {
					how := []jobs.Outcome{jobs.Done, jobs.Failed, jobs.Stopped}[rng.IntN(3)]
					listed[a] = append(listed[a], platform.EndedAttempt{Number: uint64(len(listed[a]) + 1), Task: r.Task, Attempt: r.Number, Outcome: how})
				}
				l := platform.Listing{Ended: slices.Clone(listed[a][a.durableEnd:])}
				known := len(ends[a])
				o.handleListing(a, l, time.Now())
				for _, e := range listed[a][known:] {
					versions[e.Task.Job]++
					ends[a] = append(ends[a], end{e.Task.Job, versions[e.Task.Job]})
				}
			case 2:
				if c == nil {
					ids, _ := o.board.Dirty()
					c, sent = o.buildCommit(ids), map[jobs.ID]int{}
					for id := range c.states {
						sent[id] = versions[id]
					}
				}
			case 3:
				if c == nil {
					continue
				}
				if rng.IntN(3) == 0 {
					o.handleCommitResult(c, n, platform.ErrNotDone)
				} else {
					for id, version := range sent {
						stored[id] = version
					}
					o.handleCommitResult(c, n, nil)
				}
				c = nil
			case 4:
				o.board.WriteFailed(benchJob(rng.IntN(benchActive), 1, time.Now()).ID)
			}
			for _, a := range agents {
				for i, e := range ends[a][:a.durableEnd] {
					if e.version > stored[e.job] {
						t.Fatalf("seed %d: end %d of %s is acknowledged with its effect on %s not stored", seed, i+1, a.key, e.job)
					}
				}
			}
		}
		for _, a := range agents {
			acknowledged += int(a.durableEnd)
		}
	}
	if acknowledged == 0 {
		t.Error("no end was acknowledged")
	}
}

// Guards against tasks that are started again after they were done: while the store is away a
// worker keeps more ends than it lists at a time.
func TestDoneTasksBeyondAListAreNotStartedAgain(t *testing.T) {
	t.Parallel()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	o, _ := newOwnerOn(t, p)
	go o.Run()
	defer o.Close()
	j := jobs.Job{
		ID: "0000000000000001", Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(),
		Steps: []jobs.Step{{Count: 1500, Size: jobs.Resources{Millicores: 100}}},
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v, _ := o.Submit(t.Context(), j); v == Accepted {
			break
		}
	}
	ended := func() (n int) {
		for _, r := range p.Runs() {
			if !r.Ended.IsZero() {
				n++
			}
		}
		return n
	}
	p.Store.Fail(mimic.Busy)
	for end := time.Now().Add(15 * time.Second); ended() < 560 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	time.Sleep(500 * time.Millisecond)
	p.Store.Fail(mimic.Healthy)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s, _ := o.State(t.Context(), j.ID); s == jobs.Complete {
			break
		}
	}
	if s, _ := o.State(t.Context(), j.ID); s != jobs.Complete {
		t.Errorf("the job is %s, want complete", s)
	}
	if faults := p.Check(); len(faults) > 0 {
		t.Errorf("%d tasks ran twice, the first: %s", len(faults), faults[0])
	}
}
