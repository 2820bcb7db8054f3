package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

const (
	lastingSteps = 8
	lastingWide  = 1000 // work items of a step; 10 without the disruption
	lastingItems = 5    // of the submission that runs before
	lastingWatch = 40 * time.Second
	lastingBound = 9 * time.Second // without a run: 3 s, from 6 s after the last one
)

// lastingScenario has a submission with many work items that last, beside one with few. All have
// room at the same time.
func lastingScenario() scenario {
	pools := []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}}
	return scenario{
		processes: 3,
		options:   mimic.Options{Pools: pools, Millicores: 32_000, MemoryMB: 131_072},
		config: func(version uint64) string {
			return configuration(version, pools, route{Name: "labels", Service: "banco-nord"}, route{Name: "counts", Service: "banco-sud"})
		},
		play: playLasting,
	}
}

func playLasting(c *caseRun) (broken bool, err error) {
	const first, second = "5c0e7a21d94b3600", "5c0e7a21d94b3601"
	if err := c.submit("/labels/"+first, fmt.Sprintf(`{"spec":"lasting","steps":[{"count":%d,"cpu":2600,"mem_mb":9700,"long_running":true}]}`, lastingItems)); err != nil {
		return false, err
	}
	for began := time.Now(); c.running(first) < lastingItems; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			return false, errors.New("the first submission does not run")
		}
	}
	c.note("the %d work items of the first submission run", lastingItems)
	count := 10
	if c.trouble {
		count = lastingWide
	}
	step := fmt.Sprintf(`{"count":%d,"cpu":20,"mem_mb":10,"long_running":true}`, count)
	if err := c.submit("/labels/"+second, `{"spec":"lasting","steps":[`+strings.Repeat(step+",", lastingSteps-1)+step+`]}`); err != nil {
		return false, err
	}
	var longest time.Duration
	lastRun, notedAt := time.Now(), time.Time{}
	for began := time.Now(); longest <= lastingBound && time.Since(began) < lastingWatch; time.Sleep(50 * time.Millisecond) {
		n := c.running(first)
		if n > 0 {
			lastRun = time.Now()
		}
		longest = max(longest, time.Since(lastRun))
		if time.Since(notedAt) > time.Second {
			notedAt = time.Now()
			status, answer := c.call(0, http.MethodGet, "/labels/"+first, "")
			c.note("running: %d of %d of the first submission, %d of %d of the second one; GET of the first one -> %d %s",
				n, lastingItems, c.running(second), lastingSteps*count, status, answer)
		}
	}
	c.note("longest time without any run of the first submission: %v", longest.Round(time.Millisecond))
	return longest > lastingBound, nil
}

// running returns how many work items of a submission run.
func (c *caseRun) running(id string) (n int) {
	for _, w := range c.platform.Workers() {
		for _, r := range w.Running() {
			if strings.HasPrefix(r.Task, id+".") {
				n++
			}
		}
	}
	return n
}
