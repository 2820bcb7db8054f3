package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// advisedCrash plays the case of a worker that crashes right after work items of a queue with advice
// were started there. When they are to be started elsewhere, the owner's process ends with an
// index out of range, and so does each one that takes over.
func advisedCrash(s *session) error {
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
	a, err := newAdviser()
	if err != nil {
		return err
	}
	defer a.close()
	s.advice = a.addr()
	p.Configure(fmt.Sprintf(`{"version":1,"routes":[{"name":"cartellini","host":%q,"prefix":"/cartellini/","service":"banco-nord","timeout_ms":3000,"target_duration_ms":600,"slack_factor":1.6,"max_attempts":3,"advice":{"decision_ms":%d,"period_ms":%d,"validity_ms":%d}}],"services":[{"name":"banco-nord","enforces_capacity":true}],"limits":{"max_body_bytes":262144}}`,
		callersHost, decisionTime.Milliseconds(), workerTime.Milliseconds(), ticketValidity.Milliseconds()))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	watch := s.watchExits()
	defer watch.stop()
	const count = 6
	id, status := f.submit(s.daemons[0], "cartellini", submission{Spec: "640ms", Steps: []step{{Count: count, CPU: 1800, MemoryMB: 1000, EstimateMS: 640}}})
	if status != http.StatusOK {
		return errors.Newf("the submission was answered %d", status)
	}
	submittedAt := time.Now()
	if !f.await(5*time.Second, func() bool { return f.running(id) == count }) {
		return errors.New("the submission does not run")
	}
	s.note("all %d work items run", count)
	time.Sleep(crashAfter)
	if s.trouble {
		f.mu.Lock()
		var crashed *worker
		for _, w := range f.workers {
			if len(w.running) > 0 && (crashed == nil || len(w.running) > len(crashed.running)) {
				crashed = w
			}
		}
		n := len(crashed.running)
		f.mu.Unlock()
		crashed.crash()
		s.note("%s crashes, on which %d of them run", crashed.id, n)
	}
	state, lastRunAt, loggedAt := "", time.Now(), time.Time{}
	var idle time.Duration // with nothing running, after the time when submissions are asked for
	for time.Since(submittedAt) < finishTime+16*time.Second && !strings.Contains(state, "complete") {
		now := time.Now()
		f.mu.Lock()
		n := f.running(id)
		f.mu.Unlock()
		if n > 0 || now.Sub(submittedAt) < finishTime {
			lastRunAt = now
		}
		idle = max(idle, now.Sub(lastRunAt))
		if now.Sub(loggedAt) > time.Second {
			loggedAt = now
			var status int
			status, state = s.get(s.daemons[0], portCallers, "/cartellini/"+id)
			s.note("%d work items run; GET: %d %s", n, status, strings.TrimSpace(state))
		}
		time.Sleep(20 * time.Millisecond)
	}
	exits := watch.counts()
	s.note("processes that ended by themselves: %v", exits)
	switch {
	case strings.Contains(state, "complete") && len(exits) == 0:
		return nil
	case idle > idleTime:
		return errors.Wrapf(errBroken, "LOST: %v after the end of the traffic, the submission had nothing running for %.1f s on end, with all workers idle; processes ended by themselves: %v", finishTime, idle.Seconds(), exits)
	}
	return errors.Newf("the submission is %s; processes ended by themselves: %v", state, exits)
}

// exitWatch starts processes of the system again that end by themselves, as the platform does.
type exitWatch struct {
	s     *session
	done  chan struct{}
	ended chan struct{}

	mu    sync.Mutex
	exits map[string]int
}

func (s *session) watchExits() *exitWatch {
	w := &exitWatch{s: s, done: make(chan struct{}), ended: make(chan struct{}), exits: map[string]int{}}
	go w.run()
	return w
}

func (w *exitWatch) stop() {
	close(w.done)
	<-w.ended
}

func (w *exitWatch) counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for node, n := range w.exits {
		counts[node] = n
	}
	return counts
}

func (w *exitWatch) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.done:
			return
		case <-time.After(memoryPeriod):
		}
		for _, d := range w.s.daemons {
			if !d.startAt.IsZero() {
				if time.Now().After(d.startAt) {
					d.startAt = time.Time{}
					if err := w.s.launch(d); err != nil {
						w.s.note("%s does not start again: %v", d.node, err)
					}
				}
				continue
			}
			if alive(d.command.Process.Pid) {
				continue
			}
			err := d.command.Wait()
			w.s.note("%s ended by itself: %v; %s", d.node, err, w.s.lastPanic(d))
			d.startAt = time.Now().Add(restartDelay)
			w.mu.Lock()
			w.exits[d.node]++
			w.mu.Unlock()
		}
	}
}

// lastPanic returns the line of a process's output that tells why it ended.
func (s *session) lastPanic(d *daemon) string {
	data, err := os.ReadFile(filepath.Join(s.dir, d.node+".log"))
	if err != nil {
		return err.Error()
	}
	last := ""
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic:") {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
