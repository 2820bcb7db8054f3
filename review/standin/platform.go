package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a submission, as consumers send it.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	MemMB       int   `json:"mem_mb,omitempty"`
	EstimateMS  int64 `json:"estimate_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	// AntiAffinity is how many work items of the step may run on one worker, 0 for any number.
	AntiAffinity int `json:"anti_affinity,omitempty"`
}

// submission is what a consumer submits.
type submission struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	id       string
	route    route
	duration time.Duration // of each work item
}

// route is a queue, with one service of its own.
type route struct {
	name, prefix, service string
	advised               bool
	maxAttempts           int
}

// workItem is what a worker knows of a work item.
type workItem struct {
	step     step
	duration time.Duration
	advised  bool
}

// machine runs one worker at a time.
type machine struct {
	name, pool, rack string
	cpu, memMB       int
	worker           *worker // nil while it is off
}

// fakePlatform is the users' platform: its store, machine API, advice service and workers.
type fakePlatform struct {
	store                  *store
	record                 *record
	servers                []*http.Server
	storeAddr, machineAddr netip.AddrPort
	adviceAddr             netip.AddrPort

	mu          sync.Mutex
	machines    []*machine
	workers     []*worker // all lives so far
	submissions map[string]*submission
	runs        []*itemRun
	notes       []string                 // orders that should not have been given
	allowed     func(worker string) bool // by the advice service
	onStart     func(*worker, *itemRun)
	adviceCalls int
}

func newPlatform(r *record) (*fakePlatform, error) {
	p := &fakePlatform{store: newStore(), record: r, submissions: map[string]*submission{}}
	machines := http.NewServeMux()
	machines.HandleFunc("GET /api/machines", p.listMachines)
	machines.HandleFunc("POST /api/machine-move", p.refuseOrder)
	machines.HandleFunc("POST /api/machine-upkeep", p.refuseOrder)
	advice := http.NewServeMux()
	advice.HandleFunc("POST /api/advise", p.advise)
	for _, s := range []struct {
		handler http.Handler
		addr    *netip.AddrPort
	}{{p.store.handler(), &p.storeAddr}, {machines, &p.machineAddr}, {advice, &p.adviceAddr}} {
		server, addr, err := listen("127.0.0.1:0", s.handler)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		*s.addr = addr
		p.servers = append(p.servers, server)
	}
	return p, nil
}

func (p *fakePlatform) close() {
	p.mu.Lock()
	workers := p.workers
	p.mu.Unlock()
	for _, w := range workers {
		w.crash()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}

func (p *fakePlatform) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

// item returns what is known of a work item by its name, ID.K.STEP.INDEX.
func (p *fakePlatform) item(name string) (workItem, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return workItem{}, false
	}
	p.mu.Lock()
	s := p.submissions[parts[0]]
	p.mu.Unlock()
	number, err := strconv.Atoi(parts[2])
	if s == nil || err != nil || number < 0 || number >= len(s.Steps) {
		return workItem{}, false
	}
	return workItem{s.Steps[number], s.duration, s.route.advised}, true
}

// copyRuns returns a copy of all runs so far.
func (p *fakePlatform) copyRuns() []itemRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]itemRun, len(p.runs))
	for i, r := range p.runs {
		runs[i] = *r
	}
	return runs
}

func (p *fakePlatform) listMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for _, m := range p.machines {
		entry := map[string]any{
			"machine": m.name, "pool": m.pool, "state": "down", "zone": "zone-a", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "id": nil,
		}
		if m.worker != nil {
			entry["state"], entry["id"] = "up", m.worker.id
		}
		list = append(list, entry)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// refuseOrder answers orders for machines. The cases have one service, so none is expected.
func (p *fakePlatform) refuseOrder(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
}

// Times of the advice service.
const (
	adviceDecision  = 5 * time.Millisecond
	advicePerWorker = time.Millisecond
	adviceValidity  = 3 * time.Second
)

// ticket returns the ticket for a work item's step on a worker.
func (p *fakePlatform) ticket(item, worker string) string {
	return "t-" + item[:strings.LastIndexByte(item, '.')] + "-" + worker
}

func (p *fakePlatform) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceDecision + time.Duration(len(q.Workers))*advicePerWorker)
	allowed := [][2]string{}
	for _, id := range q.Workers {
		if p.allowed(id) {
			allowed = append(allowed, [2]string{id, p.ticket(q.Step+".0", id)})
		}
	}
	p.mu.Lock()
	p.adviceCalls++
	if p.adviceCalls <= 20 || p.adviceCalls%100 == 0 {
		p.record.printf("advice call %d: step %s, %d workers named, %d of them allowed", p.adviceCalls, q.Step, len(q.Workers), len(allowed))
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "validity_ms": adviceValidity.Milliseconds()})
}

// configure writes the operator's configuration, with a service for each pool of machines.
func (p *fakePlatform) configure(version int, routes []route) {
	routeRows, serviceRows := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": consumerHost, "prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 600, "priority": 0, "service": r.service, "max_attempts": r.maxAttempts, "slack_factor": 1.6,
		}
		if r.advised {
			row["advice"] = map[string]int64{
				"decision_ms": adviceDecision.Milliseconds(), "period_ms": advicePerWorker.Milliseconds(), "validity_ms": adviceValidity.Milliseconds(),
			}
		}
		routeRows = append(routeRows, row)
	}
	p.mu.Lock()
	known := map[string]bool{}
	for _, m := range p.machines {
		if !known[m.pool] {
			known[m.pool] = true
			serviceRows = append(serviceRows, map[string]any{"name": m.pool, "enforces_capacity": true, "standby": false})
		}
	}
	p.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routeRows, "services": serviceRows,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 60000},
	})
	if err != nil {
		panic(err) // maps of names and numbers can always be encoded
	}
	p.store.put("op", "config", data)
}

// workersOf returns the workers of a pool that are up.
func (p *fakePlatform) workersOf(pool string) []*worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []*worker
	for _, m := range p.machines {
		if m.pool == pool && m.worker != nil {
			up = append(up, m.worker)
		}
	}
	return up
}

// addMachine adds a machine with a worker to a pool.
func (p *fakePlatform) addMachine(number int, pool string, cpu, memMB int) error {
	m := &machine{name: fmt.Sprintf("m-%02d", number), pool: pool, rack: fmt.Sprintf("r%d", number/4), cpu: cpu, memMB: memMB}
	p.mu.Lock()
	p.machines = append(p.machines, m)
	p.mu.Unlock()
	_, err := p.startWorker(m, fmt.Sprintf("i-%02d%06x", number, 0xa0b0c0+number*7919), "127.0.0.1:0")
	return err
}
