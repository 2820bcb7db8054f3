package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["many-ends"] = manyEnds }

// Figures of the case many-ends.
const (
	endsSubmissions = 2
	endsItems       = 1000 // work items of a submission
	endsMachines    = 2
	endsDuration    = 300 * time.Millisecond
	endsOutage      = 4200 * time.Millisecond // as in the site file: platform_down, busy, for_s = 4.2
	endsBefore      = time.Second             // from the first submission to the outage
	endsTimeout     = 60 * time.Second
)

// manyEnds takes the store away while large submissions of short work items run. Workers then
// hold more ends than one answer lists.
func manyEnds(t *trial) error {
	r := route{name: "r-items", prefix: "/items/", service: "clubdesk", maxAttempts: 3}
	if err := t.startSystem(3, []route{r}, endsMachines, 16_000, 32_768); err != nil {
		return err
	}
	var all []*submission
	for range endsSubmissions {
		s := &submission{
			id: newID(), route: r, duration: endsDuration, Spec: "short items",
			Steps: []step{{Count: endsItems, CPU: 100, MemMB: 32, EstimateMS: endsDuration.Milliseconds()}},
		}
		if status := t.submit(s); status != http.StatusOK {
			return fmt.Errorf("%w: a submission was answered %d", errNotRun, status)
		}
		all = append(all, s)
	}
	time.Sleep(endsBefore)
	if t.trouble {
		t.platform.store.setDown(true)
		t.record.printf("the store is down: it answers 503")
		time.Sleep(endsOutage)
		t.platform.store.setDown(false)
		t.record.printf("the store is back")
	}
	complete := 0
	for end := time.Now().Add(endsTimeout); time.Now().Before(end) && complete < len(all); time.Sleep(500 * time.Millisecond) {
		complete = 0
		for _, s := range all {
			status, state := t.state(s)
			t.record.printf("GET %s%s: %d %s", r.prefix, s.id, status, state)
			if state == "complete" {
				complete++
			}
		}
	}
	time.Sleep(2 * time.Second) // for the last ends to be taken note of
	runs := t.platform.copyRuns()
	for _, w := range t.platform.workersOf(r.service) {
		w.mu.Lock()
		t.record.printf("worker %s: %d ends, at most %d of them waited to be acknowledged", w.id, w.ends, w.mostEnds)
		w.mu.Unlock()
	}
	t.record.printf("%d of %d submissions complete; %d work items, %d runs", complete, len(all), endsSubmissions*endsItems, len(runs))
	t.record.runs(runs)
	t.broken = append(t.broken, twice(runs)...)
	return nil
}
