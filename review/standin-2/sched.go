package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Figures of the case of schedules.
const (
	memoryLimit      = 284 << 20 // memory_mb
	memoryPeriod     = 20 * time.Millisecond
	restartDelay     = 500 * time.Millisecond
	schedulePeriod   = 106 * time.Millisecond // 9.4 submissions a second, the ordinary rate of the site's busiest queue
	scheduleCount    = 715
	scheduleInterval = 10 * time.Second
)

// schedules plays the case of many scheduled submissions with many occurrences. The owner of their
// pool keeps a record of each occurrence from the beginning on, and exceeds the memory of its
// machine. So does each process that takes the pool over.
func schedules(s *session) error {
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
	p.Configure(mimic.Config(1, queues("banco-nord", "conteggio", "cartellini"), []mimic.Pool{{Name: "banco-nord", Hosts: workers}}))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	guard := s.guardMemory()
	defer guard.stop()
	const ordinary = 5
	first, status := f.submit(s.daemons[0], "conteggio", submission{Spec: "1s", Steps: []step{{Count: ordinary, CPU: 2600, MemoryMB: 9700, LongRunning: true}}})
	if status != http.StatusOK {
		return errors.Newf("the first submission was answered %d", status)
	}
	if !f.await(5*time.Second, func() bool { return f.running(first) == ordinary }) {
		return errors.New("the first submission does not run")
	}
	s.note("the first submission: its %d work items run", ordinary)

	occurrences := 8
	if s.trouble {
		occurrences = 10_000
	}
	startAt := time.Now().Add(time.Hour)
	s.note("%d submissions come, one every %v, each scheduled for %d times every %v from an hour ahead on", scheduleCount, schedulePeriod, occurrences, scheduleInterval)
	var answers [600]atomic.Int64
	var callers sync.WaitGroup
	ticker := time.NewTicker(schedulePeriod)
	for i := range scheduleCount {
		<-ticker.C
		callers.Go(func() {
			body := fmt.Sprintf(`{"spec":"1s","repetitions":%d,"start_at_ms":%d,"interval_ms":%d,"steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1000}]}`,
				occurrences, startAt.UnixMilli(), scheduleInterval.Milliseconds())
			status, _ := s.request(http.MethodPost, s.daemons[i%processes], portCallers, "/cartellini/"+newID(), body)
			answers[status].Add(1)
		})
		if i%90 == 0 {
			s.note("%d sent, %d accepted; largest process %d MB; %d processes killed for their memory", i+1, answers[http.StatusOK].Load(), guard.largest.Swap(0)>>20, guard.kills.Load())
		}
	}
	ticker.Stop()
	callers.Wait()
	s.note("the traffic has ended: %d accepted, %d refused with 429, %d with 503, %d without a verdict, %d without an answer", answers[200].Load(), answers[429].Load(), answers[503].Load(), answers[504].Load(), answers[0].Load())
	time.Sleep(finishTime)
	asked, unanswered, idle := 0, 0, 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		f.mu.Lock()
		n := f.running(first)
		f.mu.Unlock()
		status, answer := s.get(s.daemons[asked%processes], portCallers, "/conteggio/"+first)
		s.note("GET /conteggio/%s: %d %s; %d of its work items run; %d processes killed for their memory so far", first, status, strings.TrimSpace(answer), n, guard.kills.Load())
		asked++
		if status != http.StatusOK {
			unanswered++
		}
		if n == 0 {
			idle++
		}
	}
	s.note("processes killed for their memory: %v", guard.byProcess())
	if unanswered == asked && idle == asked {
		return errors.Wrapf(errBroken, "LOST: none of %d requests for the state of the first submission, from %v after the end of the traffic on, had an answer, and nothing of it ran", asked, finishTime)
	}
	if guard.kills.Load() > 0 {
		return errors.Newf("%d processes were killed, but the submission went on", guard.kills.Load())
	}
	return nil
}

// memoryGuard kills processes that exceed the memory of their machines, and starts them again, as
// the platform does.
type memoryGuard struct {
	s       *session
	kills   atomic.Int64
	largest atomic.Int64 // bytes, since it was read last
	done    chan struct{}
	ended   chan struct{}

	mu    sync.Mutex
	count map[string]int
}

func (s *session) guardMemory() *memoryGuard {
	g := &memoryGuard{s: s, done: make(chan struct{}), ended: make(chan struct{}), count: map[string]int{}}
	go g.run()
	return g
}

func (g *memoryGuard) stop() {
	close(g.done)
	<-g.ended
}

func (g *memoryGuard) byProcess() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for node, n := range g.count {
		counts[node] = n
	}
	return counts
}

func (g *memoryGuard) run() {
	defer close(g.ended)
	for {
		select {
		case <-g.done:
			return
		case <-time.After(memoryPeriod):
		}
		for _, d := range g.s.daemons {
			if !d.startAt.IsZero() {
				if time.Now().After(d.startAt) {
					d.startAt = time.Time{}
					if err := g.s.launch(d); err != nil {
						g.s.note("%s does not start again: %v", d.node, err)
					}
				}
				continue
			}
			used := residentBytes(d.command.Process.Pid)
			g.largest.Store(max(g.largest.Load(), used))
			if used <= memoryLimit {
				continue
			}
			g.s.note("%s exceeds its memory: %d MB; it is killed", d.node, used>>20)
			_ = d.command.Process.Kill()
			_ = d.command.Wait()
			d.startAt = time.Now().Add(restartDelay)
			g.kills.Add(1)
			g.mu.Lock()
			g.count[d.node]++
			g.mu.Unlock()
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it can't be read.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}
