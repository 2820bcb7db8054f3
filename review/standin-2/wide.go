package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Figures of the rule LOST for work items that last.
const (
	restartTime = 6 * time.Second  // after its last run
	idleTime    = 3 * time.Second  // with nothing running
	finishTime  = 14 * time.Second // finish_s, after the end of the traffic
)

// wideLasting plays the case of a submission with many work items that last. The owner looks at
// all runs of the submission, for each of its work items and each worker, in one decision. That
// takes it seconds, for which it neither renews leases nor answers.
func wideLasting(s *session) error {
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
	p.Configure(mimic.Config(1, queues("banco-nord", "conteggio"), []mimic.Pool{{Name: "banco-nord", Hosts: workers}}))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	const ordinary = 5
	first, status := f.submit(s.daemons[0], "conteggio", submission{Spec: "1s", Steps: []step{{Count: ordinary, CPU: 2600, MemoryMB: 9700, LongRunning: true}}})
	if status != http.StatusOK {
		return errors.Newf("the first submission was answered %d", status)
	}
	if !f.await(5*time.Second, func() bool { return f.running(first) == ordinary }) {
		return errors.New("the first submission does not run")
	}
	s.note("the first submission: its %d work items run", ordinary)
	time.Sleep(2 * time.Second)

	const steps = 8
	count := 10
	if s.trouble {
		count = 1000
	}
	large := submission{Spec: "1s"}
	for range steps {
		large.Steps = append(large.Steps, step{Count: count, CPU: 20, MemoryMB: 10, LongRunning: true})
	}
	s.note("the second submission: %d steps of %d work items that last, each of 0.02 cores", steps, count)
	second, status := f.submit(s.daemons[0], "conteggio", large)
	if status != http.StatusOK {
		return errors.Newf("the second submission was answered %d", status)
	}
	submittedAt := time.Now()
	lastRunAt, loggedAt := submittedAt, time.Time{}
	var longest time.Duration
	for time.Since(submittedAt) < finishTime+16*time.Second {
		now := time.Now()
		f.mu.Lock()
		n, others := f.running(first), f.running(second)
		f.mu.Unlock()
		if n > 0 {
			lastRunAt = now
		}
		longest = max(longest, now.Sub(lastRunAt))
		if now.Sub(loggedAt) > time.Second {
			loggedAt = now
			s.note("running: %d of %d of the first submission, %d of %d of the second one", n, ordinary, others, steps*count)
		}
		time.Sleep(50 * time.Millisecond)
	}
	unanswered := 0
	for _, d := range s.daemons {
		for _, id := range []string{first, second} {
			status, answer := s.get(d, portCallers, "/conteggio/"+id)
			s.note("%s: GET /conteggio/%s: %d %s", d.node, id, status, strings.TrimSpace(answer))
			if status != http.StatusOK {
				unanswered++
			}
		}
	}
	s.note("the first submission had nothing running for %.1f s on end; %d runs lapsed", longest.Seconds(), f.ends(first, "lapsed"))
	if longest > restartTime+idleTime {
		return errors.Wrapf(errBroken, "LOST: an accepted submission that lasts had nothing running for %.1f s, and %d of %d requests for states had no answer", longest.Seconds(), unanswered, 2*len(s.daemons))
	}
	return nil
}

// running returns how many work items of a submission run. The fleet's lock is held.
func (f *fleet) running(id string) int {
	n := 0
	for _, w := range f.workers {
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
	}
	return n
}

// await waits until a condition holds, which is called with the fleet's lock held. It reports
// false if that takes too long.
func (f *fleet) await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		ok := holds()
		f.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}
