package main

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Times of a worker that goes down and up by turns.
const (
	flapDown  = 600 * time.Millisecond
	flapUp    = 200 * time.Millisecond
	flapTime  = 5900 * time.Millisecond
	flapWatch = 20 * time.Second // after the flapping
)

// flapScenario has a submission that only one worker may run, by its label. That worker goes down
// and up by turns for some seconds, then works on.
func flapScenario() scenario {
	pools := []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}}
	return scenario{
		processes: 3,
		options:   mimic.Options{Pools: pools, Millicores: 32_000, MemoryMB: 131_072},
		config: func(version uint64) string {
			return configuration(version, pools, route{Name: "labels", Service: "banco-nord"}, route{Name: "counts", Service: "banco-sud"})
		},
		play: playFlap,
	}
}

func playFlap(c *caseRun) (broken bool, err error) {
	const path = "/labels/5c0e7a21d94b36f8"
	if err := c.submit(path, `{"spec":"1s","steps":[{"count":1,"cpu":1800,"mem_mb":1000,"estimate_ms":1000,"constraints":"r4"}]}`); err != nil {
		return false, err
	}
	if c.trouble {
		time.Sleep(100 * time.Millisecond)
		if err := c.flap("i-m-8-"); err != nil { // the only one of its pool with the label
			return false, err
		}
	}
	last := ""
	for began := time.Now(); time.Since(began) < flapWatch; time.Sleep(250 * time.Millisecond) {
		status, answer := c.state(path)
		if answer != last {
			c.note("caller: GET %s -> %d %s", path, status, answer)
			last = answer
		}
		switch {
		case status != http.StatusOK:
		case strings.Contains(answer, `"failed"`):
			return !c.anyRunFailed(), nil
		case strings.Contains(answer, `"complete"`):
			return false, nil
		}
	}
	return false, errors.New("the submission has not ended in time")
}

// flap makes the worker whose id begins with a prefix go down and up by turns.
func (c *caseRun) flap(prefix string) error {
	var w *mimic.Worker
	for _, other := range c.platform.Workers() {
		if strings.HasPrefix(other.ID, prefix) {
			w = other
		}
	}
	for began := time.Now(); time.Since(began) < flapTime; time.Sleep(flapUp) {
		if w == nil {
			return errors.New("the worker is not there")
		}
		c.note("worker %s goes down", w.ID)
		w.Crash()
		time.Sleep(flapDown)
		if w = w.Restart(); w != nil {
			c.note("worker %s is up again, born %d", w.ID, w.Born())
		}
	}
	return nil
}

// anyRunFailed reports whether a run has ended `failed`.
func (c *caseRun) anyRunFailed() bool {
	for _, r := range c.platform.Runs() {
		if r.How == "failed" {
			return true
		}
	}
	return false
}
