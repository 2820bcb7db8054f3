package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["advice"] = adviceCase }

// Figures of the case advice.
const (
	adviceMachines    = 30
	adviceSubmissions = 3
	adviceItems       = 4
	adviceDuration    = 800 * time.Millisecond
	adviceFinish      = 14 * time.Second // finish_s
	adviceIdle        = 3 * time.Second  // for which rule LOST lets a submission stand still
)

// adviceCase loses the two workers of a policy whose ids come first. Four other workers that
// the policy allows stay idle.
func adviceCase(t *trial) error {
	r := route{name: "r-advised", prefix: "/advised/", service: "clubdesk", advised: true, maxAttempts: 3}
	if err := t.startSystem(3, []route{r}, adviceMachines, 16_000, 32_768); err != nil {
		return err
	}
	workers := t.platform.workersOf(r.service)
	allowed := map[string]bool{}
	for _, number := range []int{3, 11, 26, 27, 28, 29} {
		allowed[workers[number].id] = true
		t.record.printf("the policy allows worker %s", workers[number].id)
	}
	t.platform.allowed = func(id string) bool { return allowed[id] }
	if t.trouble {
		for _, number := range []int{3, 11} {
			workers[number].crash()
			t.platform.mu.Lock()
			workers[number].machine.worker = nil
			t.platform.mu.Unlock()
			t.record.printf("worker %s is lost for good", workers[number].id)
		}
	}
	time.Sleep(6 * time.Second) // the entries of lost workers go after 4.5 s
	var all []*submission
	for range adviceSubmissions {
		s := &submission{
			id: newID(), route: r, duration: adviceDuration, Spec: "advised items",
			Steps: []step{{Count: adviceItems, CPU: 1100, MemMB: 512, EstimateMS: adviceDuration.Milliseconds()}},
		}
		if status := t.submit(s); status != http.StatusOK {
			return fmt.Errorf("%w: a submission was answered %d", errNotRun, status)
		}
		all = append(all, s)
	}
	time.Sleep(adviceFinish)
	before := map[string]string{}
	for _, s := range all {
		status, state := t.state(s)
		t.record.printf("GET %s%s: %d %s", r.prefix, s.id, status, state)
		before[s.id] = state
	}
	time.Sleep(adviceIdle)
	runs := t.platform.copyRuns()
	t.record.runs(runs)
	for _, s := range all {
		status, state := t.state(s)
		t.record.printf("GET %s%s: %d %s", r.prefix, s.id, status, state)
		started := 0
		for _, run := range runs {
			if jobOf(run.Item) == s.id {
				started++
			}
		}
		if started == 0 && status == http.StatusOK && state != "complete" && before[s.id] == state {
			idle := 0
			for _, w := range t.platform.workersOf(r.service) {
				if allowed[w.id] {
					idle++
				}
			}
			t.breakRule("LOST: %s was accepted and is %s; no work item has started in %v, though %d idle workers with 16 cores each are allowed to run it",
				s.id, state, adviceFinish+adviceIdle, idle)
		}
	}
	return nil
}
