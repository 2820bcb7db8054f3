package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["route"] = routeCase }

// Figures of the case route.
const (
	routeMachines = 4
	routeItems    = 6
	routeDuration = 8 * time.Second
	routeBetween  = 3 * time.Second // from one config to the next, longer than config_apply_ms
	routeVisible  = 5 * time.Second // from the ack of the last config to the question, longer than visible_ms
	routeTimeout  = 30 * time.Second
)

// routeCase drops a route from the config, while a submission of it runs, and adds it again
// with another service. Without trouble the configs change a timeout instead.
func routeCase(t *trial) error {
	first := route{name: "r-items", prefix: "/items/", service: "clubdesk", maxAttempts: 3}
	other := route{name: "r-others", prefix: "/others/", service: "eventdesk", maxAttempts: 3}
	if err := t.startSystem(3, []route{first, other}, routeMachines, 16_000, 32_768); err != nil {
		return err
	}
	s := &submission{
		id: newID(), route: first, duration: routeDuration, Spec: "items",
		Steps: []step{
			{Count: routeItems, CPU: 1100, MemMB: 512, EstimateMS: routeDuration.Milliseconds()},
			{Count: routeItems, CPU: 1100, MemMB: 512, EstimateMS: routeDuration.Milliseconds(), After: []int{0}},
		},
	}
	if status := t.submit(s); status != http.StatusOK {
		return fmt.Errorf("%w: the submission was answered %d", errNotRun, status)
	}
	time.Sleep(time.Second)
	again := first
	again.name, again.service = "r-items-2", other.service
	if t.trouble {
		t.configure(2, []route{other}, "without the route")
		time.Sleep(routeBetween)
		t.configure(3, []route{other, again}, "with the route, to the other service")
	} else {
		t.configure(2, []route{other, first}, "with another order of routes")
		time.Sleep(routeBetween)
		t.configure(3, []route{first, other}, "as at first")
	}
	time.Sleep(routeVisible)
	for _, d := range t.daemons {
		status, answer := t.call(d, http.MethodGet, first.prefix+s.id, nil)
		t.record.printf("GET %s%s at %s: %d %s", first.prefix, s.id, d.name, status, answer)
		if status == http.StatusGone {
			t.breakRule("LOST: %s was accepted, nobody cancelled it, and %s answers 410 to a GET of its state", s.id, d.name)
		}
	}
	// A request may arrive once more, seconds after the 2xx answer.
	t.submit(s)
	state := ""
	for end := time.Now().Add(routeTimeout); time.Now().Before(end) && state != "complete"; time.Sleep(time.Second) {
		_, state = t.state(s)
	}
	t.record.printf("at the end %s is shown as %q", s.id, state)
	runs := t.platform.copyRuns()
	t.record.runs(runs)
	for _, b := range twice(runs) {
		t.record.printf("seen besides, not part of the result: %s", b)
	}
	return nil
}

// configure writes a configuration for the services of all machines.
func (t *trial) configure(version int, routes []route, what string) {
	t.platform.configure(version, routes)
	t.record.printf("config %d is acknowledged: %s", version, what)
}
