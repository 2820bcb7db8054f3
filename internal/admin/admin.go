// Package admin implements the operators' interface, which is JSON over HTTP with names
// in kebab case, and a [Client] for it, which the command line uses.
//
// # Usage
//
//	http.Serve(listener, admin.Handler(admin.Config{Submit: node.Submit}))
//
//	client := admin.NewClient(addr, timeout)
//	decision, err := client.Submit(ctx, data)
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/store"
	"github.com/papayarudder/papayarudder/internal/ticket"
)

// Paths of the operators' interface.
const (
	PathTickets  = "/v1/tickets"
	PathPools    = "/v1/pools"
	PathHosts    = "/v1/hosts"
	PathMembers  = "/v1/members"
	PathTimeline = "/v1/timeline"
	PathReady    = "/ready"
	PathLive     = "/live"
	PathMetrics  = "/metrics"
)

const maxTicketBytes = 16 << 20

// Member describes a process of the system to operators.
type Member struct {
	Name     string
	Zone     string
	State    string
	Admin    string
	Version  uint64
	Suspect  bool
	Pools    []string // pools that it dispatches; set only for the process that answers
	InFlight int      // requests in flight; set only for the process that answers
}

// PoolLoad is the load of the dispatch queue of a pool.
type PoolLoad struct {
	Pool    string
	Waiting int
	Running int
	Slots   int
}

// Config holds the functions that provide the data of the interface.
type Config struct {
	Submit func(ctx context.Context, data []byte) (ticket.Decision, error)
	// Plan decides a ticket without applying it, and returns the effects it would have.
	Plan    func(ctx context.Context, data []byte) (ticket.Decision, []string, error)
	Ticket  func(ctx context.Context, number uint64) (store.TicketRecord, bool, error)
	Tickets func(ctx context.Context) ([]store.TicketRecord, error)
	State   func() *fleet.State
	Members func() []Member
	Loads   func() []PoolLoad
	Events  func(since uint64) []event.Event
	// NotReady returns why the load balancer should send no requests to this
	// entry, or an empty string if the entry is ready.
	NotReady func() string
}

// Handler returns the HTTP handler of the operators' interface.
func Handler(config Config) http.Handler {
	h := handler{config}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathTickets, h.submit)
	mux.HandleFunc("GET "+PathTickets, h.tickets)
	mux.HandleFunc("GET "+PathTickets+"/{number}", h.ticket)
	mux.HandleFunc("GET "+PathPools, h.pools)
	mux.HandleFunc("GET "+PathHosts, h.hosts)
	mux.HandleFunc("GET "+PathMembers, h.members)
	mux.HandleFunc("GET "+PathTimeline, h.timeline)
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.HandleFunc("GET "+PathLive, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	mux.HandleFunc("GET "+PathMetrics, h.metrics)
	return mux
}

type handler struct{ config Config }

func (h handler) submit(w http.ResponseWriter, r *http.Request) {
	data, err := intake.ReadBody(r, maxTicketBytes)
	switch {
	case errors.Is(err, intake.ErrTooLong):
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the ticket is over %d bytes", maxTicketBytes))
		return
	case errors.Is(err, intake.ErrCrowded):
		writeError(w, http.StatusServiceUnavailable, "too many unfinished requests; the ticket is not in force, submit it again")
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, "the ticket did not arrive whole")
		return
	}
	if r.URL.Query().Get("plan") == "true" {
		h.plan(w, r, data)
		return
	}
	decision, err := h.config.Submit(r.Context(), data)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "it is not known whether the ticket is in force; submit it again: "+err.Error())
		return
	}
	writeJSON(w, httpStatus(decision.Verdict), decisionToWire(decision))
}

func (h handler) plan(w http.ResponseWriter, r *http.Request, data []byte) {
	decision, effects, err := h.config.Plan(r.Context(), data)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	wire := decisionToWire(decision)
	wire.Version = 0
	wire.Effects = effects
	writeJSON(w, httpStatus(decision.Verdict), wire)
}

func httpStatus(verdict ticket.Verdict) int {
	switch verdict {
	case ticket.Accepted, ticket.Repeated:
		return http.StatusOK
	case ticket.Superseded, ticket.Conflict:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

func (h handler) tickets(w http.ResponseWriter, r *http.Request) {
	records, err := h.config.Tickets(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	wires := []store.TicketWire{}
	for _, record := range records {
		record.Content = nil
		wires = append(wires, record.Wire())
	}
	writeJSON(w, http.StatusOK, wires)
}

func (h handler) ticket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("number: %q is not a ticket number", r.PathValue("number")))
		return
	}
	record, found, err := h.config.Ticket(r.Context(), number)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case !found:
		writeError(w, http.StatusNotFound, fmt.Sprintf("no ticket %d was accepted", number))
	default:
		writeJSON(w, http.StatusOK, record.Wire())
	}
}

func (h handler) pools(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, poolsToWire(h.config.State(), h.config.Loads()))
}

func (h handler) hosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, hostsToWire(h.config.State()))
}

func (h handler) members(w http.ResponseWriter, _ *http.Request) {
	wires := []MemberWire{}
	for _, m := range h.config.Members() {
		wires = append(wires, MemberWire(m))
	}
	writeJSON(w, http.StatusOK, wires)
}

func (h handler) timeline(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("since: %q is not a sequence number", text))
			return
		}
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_ = event.Write(w, h.config.Events(since))
}

func (h handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.config.NotReady(); reason != "" {
		writeError(w, http.StatusServiceUnavailable, reason)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (h handler) metrics(w http.ResponseWriter, _ *http.Request) {
	for _, load := range h.config.Loads() {
		writeGauge := func(name string, value int) {
			fmt.Fprintf(w, "papayarudder_pool_%s{pool=%q} %d\n", name, load.Pool, value)
		}
		writeGauge("waiting", load.Waiting)
		writeGauge("running", load.Running)
		writeGauge("slots", load.Slots)
	}
	fmt.Fprintf(w, "papayarudder_config_version %d\n", h.config.State().Version)
	metrics.WritePrometheus(w, true)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorWire{Error: message})
}
