package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// failedWorkers plays the case of a gang in a pool on each of whose workers something has failed
// last. Such a worker gets one batch task at a time until one of them is done there. A gang with
// more members than the pool has workers never starts.
func failedWorkers(s *session) error {
	p, store, err := newPlatform()
	if err != nil {
		return err
	}
	defer p.Close()
	const workers = 3
	f, err := newFleet(s, p, "banco-nord", workers, workerMillicores)
	if err != nil {
		return err
	}
	defer f.close()
	p.Configure(mimic.Config(1, queues("banco-nord", "cartellini"), []mimic.Pool{{Name: "banco-nord", Hosts: workers}}))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	// Within 3 s, one submission in twenty-two can never be done; the site's largest dose is one in twenty.
	const sent, period, dose = 66, 45 * time.Millisecond, 3 * time.Second
	var mu sync.Mutex
	var hopeless []string
	var callers sync.WaitGroup
	began, ticker := time.Now(), time.NewTicker(period)
	for i := range sent {
		fails := s.trouble && i >= sent-workers
		callers.Go(func() {
			if !fails {
				f.submit(s.daemons[i%processes], "cartellini", submission{Spec: "200ms", Steps: []step{{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 200}}})
				return
			}
			id, status := f.submitAs(s.daemons[i%processes], "cartellini", submission{Spec: "1500ms", Steps: []step{{Count: 2, CPU: 14_000, MemoryMB: 1000, EstimateMS: 1500}}}, true)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				hopeless = append(hopeless, id)
			}
		})
		if i < sent-1 {
			<-ticker.C
		}
	}
	took := time.Since(began)
	ticker.Stop()
	callers.Wait()
	s.note("%d submissions were sent in %.2f s, %d of them can never be done", sent, took.Seconds(), len(hopeless))
	if took > dose || s.trouble && len(hopeless) != workers {
		return errors.New("the submissions were not sent as planned")
	}
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		left := 0
		for _, id := range hopeless {
			if _, state := s.get(s.daemons[1], portCallers, "/cartellini/"+id); !strings.Contains(state, "failed") {
				left++
			}
		}
		f.mu.Lock()
		running := 0
		for _, w := range f.workers {
			running += len(w.running)
		}
		f.mu.Unlock()
		if left == 0 && running == 0 {
			break
		}
		if time.Now().After(end) {
			return errors.New("the submissions that can never be done did not end")
		}
	}
	s.note("%d submissions that can never be done are shown as failed, all others are done, and nothing runs", len(hopeless))
	time.Sleep(6 * time.Second)

	gang := submission{Spec: "500ms", Steps: []step{{Count: 6, CPU: 1800, MemoryMB: 1000, EstimateMS: 500, Gang: true}}}
	id, status := f.submit(s.daemons[0], "cartellini", gang)
	if status != http.StatusOK {
		return errors.Newf("the gang was answered %d", status)
	}
	s.note("a gang of 6 work items of 1.8 cores was accepted; %d workers of %d cores are idle", workers, workerMillicores/1000)
	submittedAt := time.Now()
	state, started := "", 0
	for time.Since(submittedAt) < finishTime+2*idleTime {
		_, state = s.get(s.daemons[1], portCallers, "/cartellini/"+id)
		f.mu.Lock()
		started = 0
		for _, r := range f.runs {
			if strings.HasPrefix(r.task, id+".") {
				started++
			}
		}
		f.mu.Unlock()
		s.note("GET: %s; %d runs of it have been started", state, started)
		if strings.Contains(state, "complete") {
			return nil
		}
		time.Sleep(time.Second)
	}
	if started == 0 {
		return errors.Wrapf(errBroken, "LOST: a gang had nothing running for %v, with all workers idle; it is %s", time.Since(submittedAt).Round(time.Second), state)
	}
	return errors.Newf("the gang did not end: %s", state)
}
