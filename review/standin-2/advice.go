package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Figures of the advice service.
const (
	decisionTime   = 20 * time.Millisecond // decision_ms
	workerTime     = time.Millisecond      // period_ms
	ticketValidity = 3 * time.Second       // validity_ms, as in the example of `fleetbench wire`
)

// adviser is the advice service. It allows every worker, and handles one call at a time.
type adviser struct {
	server   *http.Server
	listener net.Listener
	turn     chan struct{}
}

func newAdviser() (*adviser, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{listener: listener, turn: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.advise)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(listener) }() // ends when the server is closed
	return a, nil
}

func (a *adviser) addr() netip.AddrPort { return a.listener.Addr().(*net.TCPAddr).AddrPort() }

func (a *adviser) close() { _ = a.server.Close() }

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn <- struct{}{}
	time.Sleep(decisionTime + time.Duration(len(call.Workers))*workerTime)
	<-a.turn
	allowed := [][2]string{}
	for _, id := range call.Workers {
		allowed = append(allowed, [2]string{id, "t-" + call.Step + "-" + id})
	}
	writeAnswer(w, http.StatusOK, map[string]any{"allowed": allowed, "validity_ms": ticketValidity.Milliseconds()})
}
