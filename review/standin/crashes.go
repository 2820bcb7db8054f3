package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["crashes"] = crashes }

// Figures of the case crashes.
const (
	crashMachines     = 9
	crashDelay        = 500 * time.Millisecond // from a start to the crash of its worker
	crashDown         = 3 * time.Second        // the site file's srv_crash has 4.5 s
	batchCrashes      = 3
	lastingCrashes    = 4
	crashTimeout      = 40 * time.Second
	crashItemDuration = 2 * time.Second
)

// crashes ends the worker of the only work item of a submission, some times, each time half a
// second after the start. Then it leaves the workers alone.
func crashes(t *trial) error {
	r := route{name: "r-crash", prefix: "/crash/", service: "clubdesk", maxAttempts: 3}
	if err := t.startSystem(3, []route{r}, crashMachines, 16_000, 32_768); err != nil {
		return err
	}
	batch := &submission{
		id: newID(), route: r, duration: crashItemDuration, Spec: "one item",
		Steps: []step{{Count: 1, CPU: 1100, MemMB: 512, EstimateMS: crashItemDuration.Milliseconds()}},
	}
	lasting := &submission{
		id: newID(), route: r, Spec: "one item that lasts",
		Steps: []step{{Count: 1, CPU: 1100, MemMB: 512, EstimateMS: 900, LongRunning: true}},
	}
	for _, c := range []struct {
		submission *submission
		crashes    int
		wanted     string // state after the crashes
	}{{batch, batchCrashes, "complete"}, {lasting, lastingCrashes, "active"}} {
		if err := t.crashUnder(c.submission, c.crashes, c.wanted); err != nil {
			return err
		}
	}
	t.record.runs(t.platform.copyRuns())
	return nil
}

// crashUnder submits a submission with one work item and crashes its worker a number of
// times. The submission then has to reach the wanted state.
func (t *trial) crashUnder(s *submission, crashes int, wanted string) error {
	left := crashes
	t.platform.mu.Lock()
	t.platform.onStart = func(w *worker, run *itemRun) {
		if !t.trouble || left == 0 || jobOf(run.Item) != s.id {
			return
		}
		left--
		time.Sleep(crashDelay)
		t.record.printf("worker %s crashes under %s run %d", w.id, run.Item, run.Run)
		w.crash()
		t.platform.mu.Lock()
		w.machine.worker = nil
		t.platform.mu.Unlock()
		time.Sleep(crashDown)
		if _, err := t.platform.startWorker(w.machine, w.id, w.addr.String()); err != nil {
			t.record.printf("worker %s could not start again: %v", w.id, err)
			return
		}
		t.record.printf("worker %s has started again", w.id)
	}
	t.platform.mu.Unlock()
	if status := t.submit(s); status != http.StatusOK {
		return fmt.Errorf("%w: the submission was answered %d", errNotRun, status)
	}
	calm := time.Time{} // since when no more crashes come
	state := ""
	for end := time.Now().Add(crashTimeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		now := ""
		_, now = t.state(s)
		if now != state {
			t.record.printf("GET %s%s: %s", s.route.prefix, s.id, now)
		}
		state = now
		if calm.IsZero() && (!t.trouble || left == 0) {
			calm = time.Now()
		}
		if state == "failed" || state == "cancelled" || state == wanted && !calm.IsZero() && time.Since(calm) > crashDown+3*time.Second {
			break
		}
	}
	failedEnds := 0
	for _, run := range t.platform.copyRuns() {
		if jobOf(run.Item) == s.id && run.How == "failed" {
			failedEnds++
		}
	}
	if (state == "failed" || state == "cancelled") && failedEnds == 0 {
		t.breakRule("LOST: %s was accepted, nobody cancelled it, no run of it ended failed, and it is shown as %s", s.id, state)
	}
	return nil
}
