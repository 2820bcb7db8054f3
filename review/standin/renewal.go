package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["renewal"] = renewal }

// Figures of the case renewal.
const (
	renewalDaemons  = 10
	renewalMachines = 20
	renewalItems    = 16
	renewalPerWork  = 4 // work items on one worker at most
	renewalCutOff   = 4 // workers; srv_cut has a share of 0.2
	renewalDuration = 12 * time.Second
	renewalRounds   = 3
	renewalRest     = 13 * time.Second // after a freeze, until the work items have ended
	renewalCut      = 5 * time.Second  // as srv_cut by default
)

// renewal stops the owner of a pool for some seconds, three times at most. Another daemon takes the pool over, and
// has lost its path to the four workers that run the work items. The first owner goes on meanwhile.
func renewal(t *trial) error {
	r := route{name: "r-items", prefix: "/items/", service: "clubdesk", maxAttempts: 3}
	if err := t.startSystem(renewalDaemons, []route{r}, renewalMachines, 16_000, 32_768); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until the owner has settled
	for round := 1; round <= renewalRounds && len(t.broken) == 0; round++ {
		t.record.printf("round %d", round)
		s := &submission{
			id: newID(), route: r, duration: renewalDuration, Spec: "items",
			Steps: []step{{Count: renewalItems, CPU: 1100, MemMB: 512, EstimateMS: renewalDuration.Milliseconds(), AntiAffinity: renewalPerWork}},
		}
		if status := t.submit(s); status != http.StatusOK {
			return fmt.Errorf("%w: the submission was answered %d", errNotRun, status)
		}
		time.Sleep(2 * time.Second)
		owner, _, err := t.ownerOf(r.service)
		if err != nil {
			return err
		}
		if t.trouble {
			if err := t.freezeAndCut(r, owner); err != nil {
				return err
			}
		}
		time.Sleep(renewalRest)
		t.broken = twice(t.platform.copyRuns())
	}
	t.record.runs(t.platform.copyRuns())
	return nil
}

// freezeAndCut freezes a pool's owner. From the moment at which another daemon claims the pool,
// four workers that run work items get no calls of that daemon for some time.
func (t *trial) freezeAndCut(r route, owner *daemonProcess) error {
	var cutOff []*worker
	for _, w := range t.platform.workersOf(r.service) {
		w.mu.Lock()
		busy := len(w.running) > 0
		w.mu.Unlock()
		if busy && len(cutOff) < renewalCutOff {
			cutOff = append(cutOff, w)
		}
	}
	if len(cutOff) == 0 {
		return fmt.Errorf("%w: no work item runs", errNotRun)
	}
	claim := string(t.platform.store.get("own", r.service, "owner"))
	frozenAt := time.Now()
	owner.signal(syscall.SIGSTOP)
	t.record.printf("%s, the owner of the pool, is frozen", owner.name)
	for string(t.platform.store.get("own", r.service, "owner")) == claim {
		if time.Since(frozenAt) > freezeTime {
			owner.signal(syscall.SIGCONT)
			return fmt.Errorf("%w: no other daemon has claimed the pool in time", errNotRun)
		}
		time.Sleep(time.Millisecond)
	}
	for _, w := range cutOff {
		w.cutOffNewOwner(renewalCut)
		t.record.printf("another daemon has claimed the pool; its path to worker %s is cut for %v", w.id, renewalCut)
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	owner.signal(syscall.SIGCONT)
	t.record.printf("%s goes on", owner.name)
	return nil
}
