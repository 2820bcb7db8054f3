package main

import (
	"errors"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// adviceScenario has a submission on a queue whose policy only the advice service knows. While its
// first step runs, a new configuration drops the route.
func adviceScenario() scenario {
	pools := []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}}
	return scenario{
		processes: 3,
		options: mimic.Options{
			Pools: pools, Millicores: 32_000, MemoryMB: 131_072,
			Advised: func(spec string) bool { return spec == advisedSpec },
		},
		config: func(version uint64) string { return adviceConfig(version, true) },
		play:   playAdvice,
	}
}

const (
	advisedSpec = "4s"
	adviceTime  = 30 * time.Second
	finishTime  = 14 * time.Second // finish_s: from the end of the traffic until submissions are asked for
	idleBound   = 3 * time.Second  // for which a submission may have nothing running then while the turn of a work item has come
)

// adviceConfig returns a configuration with or without the route that has advice.
func adviceConfig(version uint64, withRoute bool) string {
	pools := []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}}
	routes := []route{{Name: "counts", Service: "banco-sud"}, {Name: "labels", Service: "banco-nord"}}
	if withRoute {
		routes = append(routes, route{Name: "plans", Service: "banco-nord", Advice: map[string]int{"decision_ms": 20, "period_ms": 1, "validity_ms": 3000}})
	}
	return configuration(version, pools, routes...)
}

func playAdvice(c *caseRun) (broken bool, err error) {
	const id = "5c0e7a21d94b36f8"
	step := `{"count":2,"cpu":1800,"mem_mb":1000,"estimate_ms":4000`
	if err := c.submit("/plans/"+id, `{"spec":"`+advisedSpec+`","steps":[`+step+`},`+step+`,"after":[0]}]}`); err != nil {
		return false, err
	}
	trafficEnd := time.Now()
	time.Sleep(2 * time.Second)
	c.configure(adviceConfig(2, !c.trouble))
	done, running, idleSince := 0, 0, time.Time{}
	for ; done < 4 && !broken && time.Since(trafficEnd) < adviceTime; time.Sleep(50 * time.Millisecond) {
		done, running = c.progress(id)
		switch {
		case running > 0 || done < 2:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
			c.note("%d of 4 work items are done, and none runs", done)
		case time.Since(trafficEnd) > finishTime+idleBound && time.Since(idleSince) > idleBound:
			c.note("%v after the end of the traffic no work item has run for %v; %d of 4 are done", finishTime, time.Since(idleSince), done)
			broken = true
		}
	}
	switch {
	case done == 4:
		c.note("all work items are done")
	case !broken:
		return false, errors.New("the submission has not ended in time")
	default: // the route comes back, so that the caller can ask
		c.configure(adviceConfig(3, true))
		time.Sleep(2 * time.Second)
		status, answer := c.state("/plans/" + id)
		c.note("caller: GET /plans/%s -> %d %s", id, status, answer)
	}
	return broken, nil
}

// progress returns how many work items of a submission are done and how many run.
func (c *caseRun) progress(id string) (done, running int) {
	for _, r := range c.platform.Runs() {
		switch {
		case !strings.HasPrefix(r.Task, id+"."):
		case r.How == "done":
			done++
		case r.How == "":
			running++
		}
	}
	return done, running
}
