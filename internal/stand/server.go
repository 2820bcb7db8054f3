package stand

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

// rebootDuration is how long a worker is unavailable during a reboot.
const rebootDuration = 500 * time.Millisecond

// Server implements the platform's HTTP interface with a table, an object store
// and workers.
type Server struct {
	table   *Table
	objects *Objects
	workers map[string]*Worker

	mu      sync.Mutex
	leaving map[string]bool
}

// NewServer returns a server over table and workers.
func NewServer(table *Table, workers map[string]*Worker) *Server {
	return &Server{table: table, objects: NewObjects(), workers: workers, leaving: map[string]bool{}}
}

// switchesWire is the body of a request to /switches. The faults of the table stay
// as they are if Table is absent, and so do workers that Workers does not name.
type switchesWire struct {
	Table *struct {
		Down        bool   `json:"down"`
		WritesDown  bool   `json:"writes-down"`
		Slow        string `json:"slow"`
		LoseAnswers int    `json:"lose-answers"`
	} `json:"table"`
	Workers map[string]struct {
		Mode    string `json:"mode"`
		Delay   string `json:"delay"`
		Leaving bool   `json:"leaving"`
	} `json:"workers"`
}

// RecordWire is the JSON form of a [Record].
type RecordWire struct {
	Worker  string    `json:"worker"`
	Service string    `json:"service"`
	Request string    `json:"request"`
	Attempt string    `json:"attempt"`
	Key     string    `json:"key,omitempty"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// PeakWire is the peak use of one worker: the most requests and connections at the
// same time.
type PeakWire struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
	Busy   int    `json:"busy"`
	Conns  int    `json:"conns"`
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+plat.PathRead, s.read)
	mux.HandleFunc("POST "+plat.PathScan, s.scan)
	mux.HandleFunc("POST "+plat.PathCommit, s.commit)
	mux.HandleFunc("PUT "+plat.PathObjects+"{name}", s.putObject)
	mux.HandleFunc("GET "+plat.PathObjects+"{name}", s.getObject)
	mux.HandleFunc("GET "+plat.PathHosts, s.listHosts)
	mux.HandleFunc("POST "+plat.PathReboot, s.reboot)
	mux.HandleFunc("POST /switches", s.setSwitches)
	mux.HandleFunc("GET /records", s.records)
	mux.HandleFunc("GET /peaks", s.peaks)
	mux.HandleFunc("GET /counts", s.counts)
	return mux
}

func (s *Server) read(w http.ResponseWriter, hr *http.Request) {
	var request plat.ReadWire
	if !decode(w, hr, &request) {
		return
	}
	rows, err := s.table.read(hr.Context(), request.Keys)
	writeRows(w, rows, err)
}

func (s *Server) scan(w http.ResponseWriter, hr *http.Request) {
	var request plat.ScanWire
	if !decode(w, hr, &request) {
		return
	}
	rows, err := s.table.scan(hr.Context(), request.Prefix, request.After, request.Limit)
	writeRows(w, rows, err)
}

func writeRows(w http.ResponseWriter, rows []plat.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response := plat.RowsWire{}
	for _, row := range rows {
		response.Rows = append(response.Rows, plat.RowWire(row))
	}
	encode(w, response)
}

func (s *Server) commit(w http.ResponseWriter, hr *http.Request) {
	var wire plat.TxnWire
	if !decode(w, hr, &wire) {
		return
	}
	txn := plat.Txn{Deletes: wire.Deletes}
	for _, check := range wire.Checks {
		txn.Checks = append(txn.Checks, plat.Check{Key: check.Key, Version: check.Version})
	}
	for _, put := range wire.Puts {
		txn.Puts = append(txn.Puts, plat.Put{Key: put.Key, Value: put.Value})
	}
	err := s.table.commit(hr.Context(), txn)
	switch {
	case errors.Is(err, plat.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		encode(w, struct{}{})
	}
}

func (s *Server) putObject(w http.ResponseWriter, hr *http.Request) {
	data, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	_ = s.objects.put(hr.Context(), hr.PathValue("name"), data)
}

func (s *Server) getObject(w http.ResponseWriter, hr *http.Request) {
	data, err := s.objects.get(hr.Context(), hr.PathValue("name"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) listHosts(w http.ResponseWriter, hr *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := []plat.HostWire{}
	for name := range s.workers {
		if hr.URL.Query().Get("state") == "leaving" && !s.leaving[name] {
			continue
		}
		hosts = append(hosts, plat.HostWire{Name: name, Leaving: s.leaving[name]})
	}
	slices.SortFunc(hosts, func(a, b plat.HostWire) int { return strings.Compare(a.Name, b.Name) })
	encode(w, hosts)
}

func (s *Server) reboot(w http.ResponseWriter, hr *http.Request) {
	var request plat.RebootWire
	if !decode(w, hr, &request) {
		return
	}
	worker, found := s.workers[request.Name]
	if !found {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	worker.Set(CloseAtOnce, 0)
	time.AfterFunc(rebootDuration, func() { worker.Set(Well, 0) })
	encode(w, struct{}{})
}

// SetLeaving sets whether the list of hosts shows a worker as leaving.
func (s *Server) SetLeaving(name string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[name] = leaving
}

func (s *Server) setSwitches(w http.ResponseWriter, hr *http.Request) {
	var wire switchesWire
	if !decode(w, hr, &wire) {
		return
	}
	if wire.Table != nil {
		slow, _ := time.ParseDuration(wire.Table.Slow)
		s.table.Set(Faults{wire.Table.Down, wire.Table.WritesDown, slow, wire.Table.LoseAnswers})
	}
	for name, change := range wire.Workers {
		worker, found := s.workers[name]
		if !found {
			http.Error(w, "no such worker: "+name, http.StatusNotFound)
			return
		}
		delay, _ := time.ParseDuration(change.Delay)
		worker.Set(Mode(change.Mode), delay)
		s.SetLeaving(name, change.Leaving)
	}
	encode(w, struct{}{})
}

func (s *Server) records(w http.ResponseWriter, _ *http.Request) {
	list := []RecordWire{}
	for _, worker := range s.workers {
		for _, r := range worker.Records() {
			list = append(list, RecordWire(r))
		}
	}
	encode(w, list)
}

func (s *Server) peaks(w http.ResponseWriter, _ *http.Request) {
	var list []PeakWire
	for name, worker := range s.workers {
		busy, conns := worker.Peaks()
		list = append(list, PeakWire{name, worker.config.Slots, busy, conns})
	}
	slices.SortFunc(list, func(a, b PeakWire) int { return strings.Compare(a.Worker, b.Worker) })
	encode(w, list)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	counts := s.table.Counts()
	encode(w, map[string]uint64{"reads": counts.Reads, "writes": counts.Writes})
}

func decode(w http.ResponseWriter, hr *http.Request, target any) bool {
	decoder := json.NewDecoder(hr.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
