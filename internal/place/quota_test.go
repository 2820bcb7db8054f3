package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// allot changes the allotment of an organisation.
func (s *scanTest) allot(name string) {
	allotment := jobs.Resources{Millicores: pick(s, 0, 2000, 6000, jobs.Unlimited), MemoryMB: pick(s, 3000, 8000, jobs.Unlimited), Accelerators: pick(s, 0, 1, jobs.Unlimited)}
	s.board.SetAllotment(name, allotment)
	s.allotments[name] = allotment
}

// checkQuotas checks that the starts of a decision keep to the allotments.
func (s *scanTest) checkQuotas(starts []place.StartOrder) error {
	for _, x := range starts {
		j := s.known[x.Task.Job]
		allotment, limited := s.allotments[j.Organisation]
		if !limited {
			continue
		}
		s.counts["limited starts"]++
		claimed, size := s.board.Claimed(j.Organisation), j.Steps[x.Task.Step].Size
		if size.Millicores > 0 && claimed.Millicores > allotment.Millicores || size.MemoryMB > 0 && claimed.MemoryMB > allotment.MemoryMB ||
			size.Accelerators > 0 && claimed.Accelerators > allotment.Accelerators {
			return fmt.Errorf("%s is started: %q claims %+v then, allotment %+v", x.Task, j.Organisation, claimed, allotment)
		}
	}
	return nil
}

// Guards against starts beyond an allotment, and sums of claims that lose an attempt: in random
// orders of crashes, lost answers, moves, copies, gangs and changed allotments.
func TestStartsKeepToAllotments(t *testing.T) {
	t.Parallel()
	counts := map[string]int{}
	for seed := range uint64(200) {
		s := newScanTest(seed)
		s.crashes, s.quotas = seed%2 == 0, true
		if err := s.run(300); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for what, n := range s.counts {
			counts[what] += n
		}
	}
	if counts["limited starts"] < 1000 {
		t.Errorf("%d starts under an allotment, so that they show little", counts["limited starts"])
	}
}

func quotaJob(id int, organisation string, steps ...jobs.Step) jobs.Job {
	return jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", id)), Spec: "spec", Queue: "q", Pool: "p", Submitted: start, Organisation: organisation, Steps: steps, Slack: 1.5, Target: time.Second}
}

func quotaBoard() *place.Board {
	b := place.NewBoard(place.DefaultPolicy(), 0)
	b.SetWorker(place.Worker{Key: "w@1", ID: "w", Size: jobs.Resources{Millicores: 8000, MemoryMB: 8000}})
	b.SetOrganisations(map[string]place.Organisation{"a": {Weight: 1}, "b": {Weight: 1}})
	b.SetAllotment("a", jobs.Resources{Millicores: 2500, MemoryMB: jobs.Unlimited, Accelerators: jobs.Unlimited})
	return b
}

// Guards against an organisation with a full allotment that holds up others, keeps workers
// reserved or asks for hosts.
func TestFullAllotmentHoldsUpNoOther(t *testing.T) {
	b := quotaBoard()
	step := jobs.Step{Count: 20, Size: jobs.Resources{Millicores: 1000, MemoryMB: 10}, Estimate: time.Second}
	lasting := step
	lasting.LongRunning, lasting.Size.Millicores = true, 4000
	b.Add(quotaJob(1, "a", lasting), jobs.NewProgress(quotaJob(1, "a", lasting)), start)
	b.Add(quotaJob(2, "a", step), jobs.NewProgress(quotaJob(2, "a", step)), start)
	step.Count = 6
	b.Add(quotaJob(3, "b", step), jobs.NewProgress(quotaJob(3, "b", step)), start)
	started := map[jobs.ID]int{}
	for _, s := range b.Decide(start).Starts {
		started[s.Task.Job]++
	}
	if started[quotaJob(1, "").ID] != 0 || started[quotaJob(2, "").ID] != 2 || started[quotaJob(3, "").ID] != 6 {
		t.Errorf("started %v, want 2 of job 2 and 6 of job 3", started)
	}
	if s := b.Summary(start); s.Reserved != 0 {
		t.Errorf("%d workers are reserved", s.Reserved)
	}
	if l := b.Load(start); l.Wanted != 0 || l.Lasting != 0 {
		t.Errorf("%d millicores and %d long-running tasks are wanted", l.Wanted, l.Lasting)
	}
	d := b.Demands()
	if len(d) != 1 || d["a"].HeldUp != 38 || d["a"].Claimed.Millicores != 2000 || d["a"].Waiting.Millicores != 18_000+80_000 || d["a"].Largest.Millicores != 4000 {
		t.Errorf("demands %+v", d)
	}
}

// Guards against a gang of which a part starts within an allotment, and against best-effort tasks
// that do not count.
func TestGangsAndBestEffortTasksCountWhole(t *testing.T) {
	b := quotaBoard()
	gang := jobs.Step{Count: 3, Size: jobs.Resources{Millicores: 1000, MemoryMB: 10}, Gang: true}
	filling := jobs.Step{Count: 5, Size: jobs.Resources{Millicores: 1000, MemoryMB: 10}, LongRunning: true, BestEffort: true}
	b.Add(quotaJob(1, "a", gang), jobs.NewProgress(quotaJob(1, "a", gang)), start)
	b.Add(quotaJob(2, "a", filling), jobs.NewProgress(quotaJob(2, "a", filling)), start)
	if starts := b.Decide(start).Starts; len(starts) != 2 {
		t.Errorf("%d starts, want 2 best-effort ones: %+v", len(starts), starts)
	}
	b.SetAllotment("a", jobs.Resources{Millicores: 5000, MemoryMB: jobs.Unlimited, Accelerators: jobs.Unlimited})
	if starts := b.Decide(start).Starts; len(starts) != 3 {
		t.Errorf("%d starts, want 3", len(starts))
	}
}

// Guards against a task that is said to wait for a quota of a resource that it does not need, and a
// best-effort task of which the quota's part is not seen.
func TestWhereTellsOfTheQuotaAsDecisionsDo(t *testing.T) {
	b := quotaBoard()
	filling := jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 3000, MemoryMB: 10}, LongRunning: true, BestEffort: true}
	if p := b.Where(quotaJob(1, "a", filling), start); len(p) != 1 || p[0].Blocked == "" {
		t.Errorf("a best-effort task that is larger than the allotment: %+v", p)
	}
	b.SetAllotment("a", jobs.Resources{Millicores: 2500, MemoryMB: 1000})
	running := quotaJob(2, "a", jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 100, MemoryMB: 900}})
	b.Add(running, jobs.NewProgress(running), start)
	b.Decide(start)
	b.SetAllotment("a", jobs.Resources{Millicores: 2500, MemoryMB: 500}) // lowered below what runs
	if p := b.Where(quotaJob(3, "a", jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 100}}), start); len(p) != 1 || p[0].Blocked != "" {
		t.Errorf("a task that needs no memory: %+v", p)
	}
}
