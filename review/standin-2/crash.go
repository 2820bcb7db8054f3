package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// crashAfter is how long a work item has run when its worker crashes.
const crashAfter = 100 * time.Millisecond

// twoCrashes plays the case of a work item that is at two workers when they crash. The system
// takes the work item for the cause, and shows its submission as failed.
func twoCrashes(s *session) error {
	p, store, err := newPlatform()
	if err != nil {
		return err
	}
	defer p.Close()
	const workers = 9
	f, err := newFleet(s, p, "banco-nord", workers, workerMillicores)
	if err != nil {
		return err
	}
	defer f.close()
	p.Configure(mimic.Config(1, queues("banco-nord", "cartellini"), []mimic.Pool{{Name: "banco-nord", Hosts: workers}}))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	id, status := f.submit(s.daemons[0], "cartellini", submission{Spec: "640ms", Steps: []step{{Count: 1, CPU: 1800, MemoryMB: 1000, EstimateMS: 640}}})
	if status != http.StatusOK {
		return errors.Newf("the submission was answered %d", status)
	}
	if s.trouble {
		for range 2 {
			var on *worker
			if !f.await(15*time.Second, func() bool {
				for _, w := range f.workers {
					for _, r := range w.running {
						if strings.HasPrefix(r.task, id+".") && time.Since(r.started) >= crashAfter {
							on = w
							return true
						}
					}
				}
				return false
			}) {
				return errors.New("the work item does not start")
			}
			on.crash()
			s.note("%s crashes; it ran the work item for %d ms", on.id, crashAfter.Milliseconds())
		}
	}
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_, state = s.get(s.daemons[1], portCallers, "/cartellini/"+id)
		if strings.Contains(state, "complete") || strings.Contains(state, "failed") {
			break
		}
	}
	f.mu.Lock()
	runs := len(f.runs)
	f.mu.Unlock()
	s.note("GET: %s; %d runs, %d ended failed, max_attempts 3", state, runs, f.ends(id, "failed"))
	switch {
	case strings.Contains(state, "complete"):
		return nil
	case strings.Contains(state, "failed"):
		return errors.Wrapf(errBroken, "LOST: the submission is shown as failed, though none of its runs ended failed")
	}
	return errors.Newf("the submission did not end: %s", state)
}
