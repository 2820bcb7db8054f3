package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Figures of the platform's pages, for the deployment amcs-cesti.
const (
	heartbeatPeriod = 1500 * time.Millisecond
	stopTime        = 50 * time.Millisecond // within stop_ms
	gangTimeout     = 3 * time.Second
	maxLease        = 10 * time.Second
	maxHoldWait     = 2 * time.Second
	maxListed       = 500
	checkPeriod     = 5 * time.Millisecond
)

// newPlatform starts the project's stand-in of the platform's store, without workers of its own.
func newPlatform() (*mimic.Platform, netip.AddrPort, error) {
	var store netip.AddrPort
	p, err := mimic.New(mimic.Options{Transaction: 8 * time.Millisecond, Via: func(server netip.AddrPort) netip.AddrPort {
		if !store.IsValid() {
			store = server // the first server is the store
		}
		return server
	}})
	return p, store, err
}

// step is a step of a submission, in the words of the pages.
type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu,omitempty"`
	MemoryMB       int    `json:"mem_mb,omitempty"`
	EstimateMS     int64  `json:"estimate_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	AntiAffinity   int    `json:"anti_affinity,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	Image          string `json:"image,omitempty"`
	TargetMS       int64  `json:"target_ms,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
}

// submission is a submission, in the words of the pages.
type submission struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

func (j submission) body() string {
	data, err := json.Marshal(j)
	if err != nil {
		panic(err) // can't happen: it has plain fields
	}
	return string(data)
}

// run is the record of one run of a work item.
type run struct {
	task     string
	number   int
	worker   string
	step     step
	duration time.Duration
	started  time.Time
	works    time.Time // since when it works: a member of a gang waits for the others
	percent  int       // as paced
	stopsAt  time.Time // when it ends as stopped, zero if it was not stopped
	ended    time.Time
	how      string
}

// fleet is the workers of one pool and the list of their machines.
type fleet struct {
	s        *session
	platform *mimic.Platform
	pool     string
	listener net.Listener // of the machine API
	server   *http.Server

	mu      sync.Mutex
	jobs    map[string]submission // by id
	fails   map[string]bool       // submissions whose runs all end failed, by id
	workers []*worker
	runs    []*run
	closed  bool
}

// newFleet starts the workers of a pool and the machine API.
func newFleet(s *session, p *mimic.Platform, pool string, count, millicores int) (*fleet, error) {
	f := &fleet{s: s, platform: p, pool: pool, jobs: map[string]submission{}, fails: map[string]bool{}}
	for i := range count {
		w, err := f.newWorker(i, millicores)
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", f.listMachines)
	mux.HandleFunc("POST /api/", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, http.StatusConflict, map[string]any{"reason": "busy"}) // there is no other pool
	})
	f.listener, f.server = listener, &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }() // ends when the server is closed
	go f.advance()
	return f, nil
}

func (f *fleet) machines() netip.AddrPort { return f.listener.Addr().(*net.TCPAddr).AddrPort() }

func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.server.Close()
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

func (f *fleet) listMachines(rw http.ResponseWriter, _ *http.Request) {
	var machines []any
	f.mu.Lock()
	for _, w := range f.workers {
		state, id := "up", any(w.id)
		if w.down {
			state, id = "down", nil
		}
		machines = append(machines, map[string]any{
			"machine": "m-" + w.id, "pool": f.pool, "state": state, "zone": "nissa-depo", "labels": []string{"a", w.rack},
			"capacity": map[string]int{"cpu": w.millicores, "mem_mb": workerMemory, "gpu": 0}, "id": id,
		})
	}
	f.mu.Unlock()
	writeAnswer(rw, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

// serveLoopback starts a server on a free port.
func serveLoopback(handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return server, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // can't happen: it has plain fields
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have closed the connection
}

// submit hands a submission in at a process and returns its id and the status.
func (f *fleet) submit(d *daemon, route string, j submission) (string, int) {
	return f.submitAs(d, route, j, false)
}

// submitAs is submit for a submission that can never be done if it fails.
func (f *fleet) submitAs(d *daemon, route string, j submission, fails bool) (string, int) {
	id := newID()
	f.mu.Lock()
	f.jobs[id], f.fails[id] = j, fails
	f.mu.Unlock()
	status, _ := f.s.request(http.MethodPost, d, portCallers, "/"+route+"/"+id, j.body())
	f.s.note("POST /%s/%s at %s: %d", route, id, d.node, status)
	return id, status
}

// stepOf returns the step of a work item, whose name has the form ID.K.STEP.INDEX.
func (f *fleet) stepOf(task string) (submission, step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return submission{}, step{}, false
	}
	j, known := f.jobs[parts[0]]
	number, err := strconv.Atoi(parts[2])
	if !known || err != nil || number < 0 || number >= len(j.Steps) {
		return submission{}, step{}, false
	}
	return j, j.Steps[number], true
}

// gangOf returns the name of a gang: the work item's without its index.
func gangOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// advance ends runs whose time has come, until the fleet is closed.
func (f *fleet) advance() {
	for range time.Tick(checkPeriod) {
		f.mu.Lock()
		if f.closed {
			f.mu.Unlock()
			return
		}
		now := time.Now()
		for _, w := range f.workers {
			w.advance(now)
		}
		f.mu.Unlock()
	}
}

// members returns the present runs of a gang.
func (f *fleet) members(gang string, number int) []*run {
	var all []*run
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.number == number && gangOf(r.task) == gang {
				all = append(all, r)
			}
		}
	}
	return all
}

// ends counts the runs of a submission that have ended in a way.
func (f *fleet) ends(id, how string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, id+".") && r.how == how {
			n++
		}
	}
	return n
}

// worker is one lifetime of a machine.
type worker struct {
	fleet      *fleet
	id, rack   string
	millicores int
	born       int64
	began      time.Time
	server     *http.Server
	addr       string

	// The fields below are guarded by the fleet's lock.
	down     bool // it has crashed
	token    uint64
	leaseEnd time.Duration
	running  map[string]*run
	last     map[string]int // highest run of each work item that ended or was stopped here
	finished []finishedRun
	count    uint64
	changed  chan struct{}
}

type finishedRun struct {
	number uint64
	run    *run
}

func (f *fleet) newWorker(number, millicores int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%s-%d", newID()[:8], number), rack: fmt.Sprintf("r1-%d", number/4), millicores: millicores,
		born: time.Now().UnixMilli(), began: time.Now(), addr: listener.Addr().String(),
		running: map[string]*run{}, last: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.order(w.start))
	mux.HandleFunc("POST /api/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /api/pace", w.order(w.pace))
	mux.HandleFunc("POST /api/hold", w.order(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }() // ends when the server is closed
	go w.beat()
	return w, nil
}

// beat writes the worker's entry to the platform's store.
func (w *worker) beat() {
	for sequence := 1; ; sequence++ {
		w.fleet.mu.Lock()
		ended := w.fleet.closed || w.down
		w.fleet.mu.Unlock()
		if ended {
			return
		}
		w.report("ready", sequence)
		time.Sleep(heartbeatPeriod)
	}
}

func (w *worker) report(state string, sequence int) {
	w.fleet.platform.Store.Put("servers", "", w.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"nissa-depo","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a",%q],"clock_ms":%d,"sequence":%d,"born":%d}`,
		w.fleet.pool, w.addr, state, w.millicores, workerMemory, w.rack, w.clock().Milliseconds(), sequence, w.born))
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// crash ends the worker with all that it runs. Its entry is removed after three heartbeats.
func (w *worker) crash() {
	f := w.fleet
	f.mu.Lock()
	w.down = true
	for _, r := range w.running { // nobody learns of these ends
		r.ended, r.how = time.Now(), "lost"
	}
	clear(w.running)
	f.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(3*heartbeatPeriod, func() { f.platform.Store.Drop("servers", "", w.id) })
}

// orderWire is a call of a worker.
type orderWire struct {
	Task    string `json:"task"`
	Run     int    `json:"run_id"`
	UntilMS int64  `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Ack     uint64 `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
	Percent int    `json:"percent"`
}

// order returns the handler of a call.
func (w *worker) order(f func(o orderWire, r *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o orderWire
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		if w.down {
			w.fleet.mu.Unlock()
			return // its connections are being closed
		}
		status, answer := w.execute(f, o, r)
		w.fleet.mu.Unlock()
		writeAnswer(rw, status, answer)
	}
}

func (w *worker) execute(f func(o orderWire, r *http.Request) (int, map[string]any), o orderWire, r *http.Request) (int, map[string]any) {
	if o.Token < w.token {
		return w.reject("fence")
	}
	w.token = o.Token
	w.advance(time.Now())
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(o.UntilMS)*time.Millisecond, w.clock()+maxLease))
	return f(o, r)
}

func (w *worker) reject(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "reason": reason}
}

func (w *worker) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
}

// used returns what the present runs claim.
func (w *worker) used() (millicores, memory int) {
	for _, r := range w.running {
		if !r.step.Fills {
			millicores += r.step.CPU
		}
		memory += r.step.MemoryMB
	}
	return millicores, memory
}

func (w *worker) start(o orderWire, _ *http.Request) (int, map[string]any) {
	f := w.fleet
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return w.accept()
	}
	j, s, known := f.stepOf(o.Task)
	switch millicores, memory := w.used(); {
	case !known:
		return http.StatusBadRequest, nil
	case o.Run <= w.last[o.Task] || w.running[o.Task] != nil:
		return w.reject("old")
	case time.Duration(o.UntilMS)*time.Millisecond < w.clock():
		return w.reject("late")
	case memory+s.MemoryMB > workerMemory, !s.Fills && millicores+s.CPU > w.millicores:
		return w.reject("room")
	}
	duration, err := time.ParseDuration(j.Spec)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	now := time.Now()
	r := &run{task: o.Task, number: o.Run, worker: w.id, step: s, duration: duration, started: now, works: now, percent: 100}
	w.running[o.Task] = r
	f.runs = append(f.runs, r)
	if s.Gang {
		r.works = time.Time{}
		if members := f.members(gangOf(o.Task), o.Run); len(members) == s.Count {
			for _, m := range members {
				m.works = now
			}
		}
	}
	return w.accept()
}

func (w *worker) stop(o orderWire, _ *http.Request) (int, map[string]any) {
	w.last[o.Task] = max(w.last[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
	}
	return w.accept()
}

func (w *worker) pace(o orderWire, _ *http.Request) (int, map[string]any) {
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		r.percent = o.Percent
		w.fleet.s.note("%s: pace of %s is %d", w.id, o.Task, o.Percent)
	}
	return w.accept()
}

func (w *worker) hold(o orderWire, r *http.Request) (int, map[string]any) {
	w.finished = slices.DeleteFunc(w.finished, func(e finishedRun) bool { return e.number <= o.Ack })
	if wait := min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait); len(w.finished) == 0 && wait > 0 {
		changed, timer := w.changed, time.NewTimer(wait)
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.fleet.mu.Lock()
		w.advance(time.Now())
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", r.progress(), r.step.CPU})
	}
	for _, e := range w.finished[:min(maxListed, len(w.finished))] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	status, answer := w.accept()
	answer["running"], answer["finished"] = running, finished
	return status, answer
}

// progress returns the percent of a run. One that lasts is at work after a short startup.
func (r *run) progress() int {
	switch {
	case r.works.IsZero():
		return 0
	case r.step.LongRunning:
		return 100
	}
	return int(min(100, 100*time.Since(r.works)/max(1, r.duration)))
}

// advance ends the runs whose time has come.
func (w *worker) advance(now time.Time) {
	lapsed := w.clock() > w.leaseEnd
	for _, r := range w.running {
		switch {
		case lapsed:
			w.end(r, "lapsed", now)
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(r, "stopped", now)
		case r.step.Gang && r.works.IsZero() && now.Sub(r.started) > gangTimeout:
			w.end(r, "alone", now)
		case !r.step.LongRunning && !r.works.IsZero() && now.Sub(r.works) > r.duration:
			how := "done"
			if w.fleet.fails[r.task[:strings.IndexByte(r.task, '.')]] {
				how = "failed"
			}
			w.end(r, how, now)
		}
	}
}

// end ends a run.
func (w *worker) end(r *run, how string, now time.Time) {
	delete(w.running, r.task)
	w.last[r.task] = max(w.last[r.task], r.number)
	w.count++
	r.ended, r.how = now, how
	w.finished = append(w.finished, finishedRun{w.count, r})
	close(w.changed)
	w.changed = make(chan struct{})
	if r.step.Gang && how != "done" && how != "alone" && !r.works.IsZero() {
		for _, other := range w.fleet.workers {
			for _, m := range other.running {
				if m.number == r.number && gangOf(m.task) == gangOf(r.task) {
					other.end(m, "broken", now)
				}
			}
		}
	}
}
