package pool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
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
