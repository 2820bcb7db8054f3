package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of workers, as in the settings.
const (
	heartbeatPeriod = 1500 * time.Millisecond
	entryLifetime   = 3 * heartbeatPeriod
	maxHold         = 10 * time.Second
	maxHoldWait     = 2 * time.Second
	stopTime        = 50 * time.Millisecond // at most stop_ms
	maxListedEnds   = 500
	lastingStartup  = 300 * time.Millisecond
	checkPeriod     = 5 * time.Millisecond
)

// itemRun is a worker's record of one run of a work item.
type itemRun struct {
	Item    string
	Run     int
	Worker  string
	Spec    string
	Started time.Time
	Ended   time.Time // zero while it runs
	How     string    // as in the worker's list, "lost" if the worker crashed
	Noted   time.Time // when ack_cursor reached its end, zero before, and for good if the lease lapsed between
	voided  bool      // the lease lapsed before the end was noted
}

type runningItem struct {
	record   *itemRun
	finishes time.Time // zero for an item that lasts
	how      string    // how it will end by itself
	stopsAt  time.Time // when a stop takes effect, zero if none was ordered
}

type endedItem struct {
	number uint64
	record *itemRun
}

// worker is one life of a machine.
type worker struct {
	id       string
	born     int64
	platform *fakePlatform
	machine  *machine
	addr     netip.AddrPort
	server   *http.Server
	began    time.Time
	done     chan struct{} // closed at its end

	mu       sync.Mutex
	crashed  bool
	sequence int
	token    uint64
	leaseEnd time.Duration
	running  map[string]*runningItem
	highest  map[string]int // highest run of each item that was stopped or ended here
	ended    []endedItem
	ends     uint64
	changed  chan struct{}
	mostEnds int // largest number of ends that waited to be acknowledged
	// Until cutUntil, calls with a fencing token above cutToken don't arrive.
	cutToken uint64
	cutUntil time.Time
}

// startWorker starts a worker on a machine, at a given address or a free one.
func (p *fakePlatform) startWorker(m *machine, id string, at string) (*worker, error) {
	w := &worker{
		id: id, born: time.Now().UnixMilli(), platform: p, machine: m, began: time.Now(), done: make(chan struct{}),
		running: map[string]*runningItem{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	var err error
	if w.server, w.addr, err = listen(at, w.handler()); err != nil {
		return nil, err
	}
	p.mu.Lock()
	m.worker = w
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	go w.advanceUntilDone()
	go w.beat()
	return w, nil
}

// listen starts an HTTP server.
func listen(at string, h http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return server, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// beat writes the worker's entry until it ends, as workers do in each heartbeat interval.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		w.sequence++
		entry := fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a",%q],"clock_ms":%d,"sequence":%d,"born":%d}`,
			w.machine.pool, w.addr, w.machine.cpu, w.machine.memMB, w.machine.rack, w.clock().Milliseconds(), w.sequence, w.born)
		w.mu.Unlock()
		w.platform.store.put("servers", w.id, entry)
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

// crash ends the worker at once, with all that runs on it. Its entry stays until it expires.
func (w *worker) crash() {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return
	}
	w.crashed = true
	now := time.Now()
	w.platform.mu.Lock()
	for _, r := range w.running {
		r.record.Ended, r.record.How = now, "lost"
	}
	for _, e := range w.ended {
		e.record.voided = true
	}
	w.platform.mu.Unlock()
	clear(w.running)
	w.mu.Unlock()
	close(w.done)
	_ = w.server.Close()
	time.AfterFunc(entryLifetime, func() {
		w.platform.mu.Lock()
		again := w.machine.worker
		w.platform.mu.Unlock()
		if again == nil || again.id != w.id || again == w {
			w.platform.store.drop("servers", w.id)
		}
	})
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

func (w *worker) advanceUntilDone() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends what should have ended by now, at the time when it should have. The caller
// holds w.mu.
func (w *worker) advance() {
	if w.crashed {
		return
	}
	now, leaseEnd := time.Now(), w.began.Add(w.leaseEnd)
	lapsed := now.After(leaseEnd)
	if lapsed {
		w.platform.mu.Lock()
		for _, e := range w.ended {
			e.record.voided = true
		}
		w.platform.mu.Unlock()
	}
	for item, r := range w.running {
		finished := !r.finishes.IsZero() && now.After(r.finishes)
		stopped := !r.stopsAt.IsZero() && now.After(r.stopsAt)
		switch {
		case finished && !r.finishes.After(leaseEnd) && (!stopped || r.finishes.Before(r.stopsAt)):
			w.end(item, r, r.how, r.finishes)
		case stopped:
			w.end(item, r, "stopped", r.stopsAt)
		case lapsed:
			w.end(item, r, "lapsed", leaseEnd)
		}
	}
}

func (w *worker) end(item string, r *runningItem, how string, at time.Time) {
	delete(w.running, item)
	w.highest[item] = max(w.highest[item], r.record.Run)
	w.ends++
	w.ended = append(w.ended, endedItem{w.ends, r.record})
	w.mostEnds = max(w.mostEnds, len(w.ended))
	w.platform.mu.Lock()
	r.record.Ended, r.record.How = at, how
	w.platform.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// cutOffNewOwner cuts the path from the daemon that has just taken the pool over, which is the
// only one that sends calls with a higher fencing token than the worker has seen.
func (w *worker) cutOffNewOwner(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutToken, w.cutUntil = w.token, time.Now().Add(d)
}

// order is the body of an order to a worker.
type order struct {
	Item    string `json:"task"`
	Run     int    `json:"run_id"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Ticket  string `json:"ticket"`
	Ack     uint64 `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /api/run-start", w.carryOut(w.start))
	mux.HandleFunc("POST /api/run-stop", w.carryOut(w.stop))
	mux.HandleFunc("POST /api/hold", w.carryOut(w.hold))
	mux.HandleFunc("POST /api/pace", w.carryOut(func(context.Context, order) (int, any) { return w.answer("") }))
	return mux
}

// carryOut returns the handler of an order. f is called with w.mu held.
func (w *worker) carryOut(f func(context.Context, order) (int, any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if w.crashed {
			w.mu.Unlock()
			panic(http.ErrAbortHandler) // the connection breaks without an answer
		}
		if left := time.Until(w.cutUntil); o.Token > w.cutToken && left > 0 {
			w.mu.Unlock()
			select {
			case <-r.Context().Done():
			case <-time.After(left):
			}
			panic(http.ErrAbortHandler) // what was sent into the cut is lost
		}
		w.advance()
		status, body := http.StatusOK, any(nil)
		if o.Token < w.token {
			status, body = w.answer("fence")
		} else {
			w.token = o.Token
			if o.UntilMS > 0 {
				until := min(time.Duration(o.UntilMS)*time.Millisecond, w.clock()+maxHold)
				w.leaseEnd = max(w.leaseEnd, until)
			}
			status, body = f(r.Context(), o)
		}
		crashed := w.crashed
		w.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, status, body)
	}
}

func (w *worker) answer(reason string) (int, any) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
	if reason == "" {
		return http.StatusOK, body
	}
	body["reason"] = reason
	return http.StatusConflict, body
}

func (w *worker) start(_ context.Context, o order) (int, any) {
	item, known := w.platform.item(o.Item)
	if !known {
		w.platform.note("worker %s was told to start %s, which nobody submitted", w.id, o.Item)
		return http.StatusBadRequest, nil
	}
	present := w.running[o.Item]
	switch {
	case present != nil && present.record.Run == o.Run:
		return w.answer("")
	case present != nil || o.Run <= w.highest[o.Item]:
		return w.answer("old")
	case time.Duration(o.UntilMS)*time.Millisecond <= w.clock():
		return w.answer("late")
	case item.advised && o.Ticket != w.platform.ticket(o.Item, w.id):
		return w.answer("ticket")
	case !w.hasRoom(item.step):
		return w.answer("room")
	}
	r := &runningItem{record: &itemRun{Item: o.Item, Run: o.Run, Worker: w.id, Spec: o.Spec, Started: time.Now()}}
	if !item.step.LongRunning {
		r.finishes, r.how = time.Now().Add(item.duration), "done"
	}
	w.running[o.Item] = r
	w.platform.mu.Lock()
	w.platform.runs = append(w.platform.runs, r.record)
	started := w.platform.onStart
	w.platform.mu.Unlock()
	if started != nil {
		go started(w, r.record)
	}
	return w.answer("")
}

// hasRoom reports whether a work item of a step fits beside what runs. What is being stopped
// still counts.
func (w *worker) hasRoom(s step) bool {
	cpu, mem := s.CPU, s.MemMB
	for item := range w.running {
		if other, known := w.platform.item(item); known {
			cpu += other.step.CPU
			mem += other.step.MemMB
		}
	}
	return cpu <= w.machine.cpu && mem <= w.machine.memMB
}

func (w *worker) stop(_ context.Context, o order) (int, any) {
	if r := w.running[o.Item]; r != nil && r.record.Run <= o.Run {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopTime)
		}
	}
	w.highest[o.Item] = max(w.highest[o.Item], o.Run)
	return w.answer("")
}

func (w *worker) hold(ctx context.Context, o order) (int, any) {
	w.acknowledge(o.Ack)
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		timer := time.NewTimer(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-w.done:
		}
		timer.Stop()
		w.mu.Lock()
		w.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for item, r := range w.running {
		percent := 0
		switch age := time.Since(r.record.Started); {
		case r.finishes.IsZero() && age > lastingStartup:
			percent = 100
		case r.finishes.IsZero():
		default:
			percent = int(100 * age / max(1, r.finishes.Sub(r.record.Started)))
		}
		running = append(running, []any{item, r.record.Run, "", min(percent, 100), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.record.Item, e.record.Run, e.record.How, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "finished": finished}
}

// acknowledge forgets the ends up to a number.
func (w *worker) acknowledge(number uint64) {
	n := sort.Search(len(w.ended), func(i int) bool { return w.ended[i].number > number })
	w.platform.mu.Lock()
	for _, e := range w.ended[:n] {
		if !e.record.voided {
			e.record.Noted = time.Now()
		}
	}
	w.platform.mu.Unlock()
	w.ended = w.ended[n:]
}

// jobOf returns the id of the submission in the name of a work item.
func jobOf(item string) string { return item[:max(0, strings.IndexByte(item, '.'))] }
