package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

const (
	crowdMemoryMB = 284              // of a machine
	crowdClients  = 100              // that send one submission each at the same time
	crowdWatch    = 40 * time.Second // from then on
	fatalEnds     = 3                // of the processes of one machine, by which a day counts 0
	fatalMachines = 2                // on which that happens
)

// crowdScenario has clients that send submissions of many work items at the same moment. A process
// that takes more memory than its machine has is killed, as the platform does, and started again.
func crowdScenario() scenario {
	pools := []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}}
	return scenario{
		processes: 3,
		options:   mimic.Options{Pools: pools, Millicores: 32_000, MemoryMB: 131_072},
		config: func(version uint64) string {
			return configuration(version, pools, route{Name: "labels", Service: "banco-nord"}, route{Name: "counts", Service: "banco-sud"})
		},
		play: playCrowd,
	}
}

func playCrowd(c *caseRun) (broken bool, err error) {
	if err := c.submit("/labels/5c0e7a21d94b3600", `{"spec":"500ms","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":500}]}`); err != nil {
		return false, err
	}
	guard, err := c.guardMemory()
	if err != nil {
		return false, err
	}
	if c.trouble {
		c.sendCrowd()
	}
	for began := time.Now(); time.Since(began) < crowdWatch && guard.machines() < fatalMachines; time.Sleep(100 * time.Millisecond) {
	}
	c.note("largest resident memory: %d MB of %d; processes killed for it: %v", guard.largest.Load(), crowdMemoryMB, guard.counts())
	for i := range c.entries {
		status, answer := c.call(i, http.MethodGet, "/labels/5c0e7a21d94b3600", "")
		c.note("caller: GET /labels/5c0e7a21d94b3600, submitted before, at process %d -> %d %s", i+1, status, answer)
	}
	return guard.machines() >= fatalMachines, nil
}

// sendCrowd sends the submissions of the crowd, each once.
func (c *caseRun) sendCrowd() {
	step := `{"count":4096,"cpu":1,"mem_mb":1,"estimate_ms":60000}`
	body := `{"spec":"50ms","steps":[` + strings.Repeat(step+",", 31) + step + `]}`
	c.note("%d clients send a submission of %d bytes each: 32 steps of 4,096 work items", crowdClients, len(body))
	var mu sync.Mutex
	answers := map[int]int{}
	var clients sync.WaitGroup
	for i := range crowdClients {
		clients.Go(func() {
			status, _ := c.call(i%len(c.entries), http.MethodPost, fmt.Sprintf("/labels/5c0e7a21d94b37%02x", i), body)
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
	}
	clients.Wait()
	c.note("answers by status, 0 for none: %v", answers)
}

// memoryGuard kills processes that take more memory than their machine has.
type memoryGuard struct {
	largest atomic.Int64 // MB

	mu   sync.Mutex
	ends []int // by process
}

// guardMemory begins to watch the processes, whose ids the script writes beside their settings.
func (c *caseRun) guardMemory() (*memoryGuard, error) {
	g := &memoryGuard{ends: make([]int, len(c.entries))}
	for i := range c.entries {
		if _, err := c.processID(i); err != nil {
			return nil, err
		}
		go func() {
			for ; ; time.Sleep(20 * time.Millisecond) {
				pid, err := c.processID(i)
				if err != nil {
					continue // it is being started
				}
				mb := residentMB(pid)
				if g.largest.Load() < mb {
					g.largest.Store(mb)
				}
				if mb <= crowdMemoryMB {
					continue
				}
				if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
					continue
				}
				_ = os.Remove(c.processFile(i)) // until it has been started again
				c.note("process %d takes %d MB: it is killed", i+1, mb)
				g.mu.Lock()
				g.ends[i]++
				g.mu.Unlock()
			}
		}()
	}
	return g, nil
}

func (c *caseRun) processFile(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("entry-%d.pid", i+1))
}

func (c *caseRun) processID(i int) (int, error) {
	data, err := os.ReadFile(c.processFile(i))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// residentMB returns the resident memory of a process, 0 if there is no such process.
func residentMB(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmRSS:"); found {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

func (g *memoryGuard) counts() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.ends...)
}

// machines returns on how many machines processes were killed so often that the day counts 0.
func (g *memoryGuard) machines() (n int) {
	for _, ends := range g.counts() {
		if ends >= fatalEnds {
			n++
		}
	}
	return n
}
