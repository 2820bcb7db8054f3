package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as in the settings.
const (
	maxRows         = 500
	maxAnswerBytes  = 1 << 20
	maxTransaction  = 100 // entries
	maxRowBytes     = 64 << 10
	transactionTime = 8 * time.Millisecond
	readTime        = 4 * time.Millisecond
	historyTime     = 20 * time.Second
)

type rowKey struct{ table, part, key string }

// row is a row, or a change of it in the history.
type row struct {
	rowKey
	value   string // base64
	version uint64
	deleted bool
	at      time.Time
}

// wireRow is a row in a message.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) wire() wireRow {
	return wireRow{r.table, r.part, r.key, r.value, r.version, r.deleted}
}

// store is the platform's metadata store.
type store struct {
	began time.Time
	mu    sync.Mutex
	// down makes the store answer 503 to every call.
	down    bool
	version uint64
	rows    map[rowKey]row
	history []row
	dropped uint64 // version of the newest change that is not in the history any more
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes a row of the operator or of a worker. It reports false while the store is down.
func (s *store) put(table, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.version++
	s.set(row{rowKey{table, "", key}, base64.StdEncoding.EncodeToString(value), s.version, false, time.Now()})
	s.notify()
	return true
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{rowKey{table, "", key}, "", s.version, true, time.Now()})
	s.notify()
}

// get returns the value of a row, nil if it does not exist.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, err := base64.StdEncoding.DecodeString(s.rows[rowKey{table, part, key}].value)
	if err != nil {
		return nil
	}
	return value
}

func (s *store) set(r row) {
	if r.deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].version
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// answer writes an answer about rows. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, more bool) {
	if rows == nil {
		rows = []wireRow{}
	}
	writeJSON(w, status, map[string]any{
		"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []wireRow `json:"expected_revision"`
		Write  []wireRow `json:"write"`
		Remove []wireRow `json:"remove"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnswerBytes)).Decode(&t)
	if err != nil || len(t.Expect)+len(t.Write)+len(t.Remove) > maxTransaction {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range t.Write {
		if value, err := base64.StdEncoding.DecodeString(e.Value); err != nil || len(value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	matches := true
	var current []wireRow
	for _, e := range t.Expect {
		k := rowKey{e.Table, e.Part, e.Key}
		known, found := s.rows[k]
		matches = matches && known.version == e.Version
		if found {
			current = append(current, known.wire())
		}
	}
	if !matches {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, e := range t.Write {
		s.set(row{rowKey{e.Table, e.Part, e.Key}, e.Value, s.version, false, time.Now()})
	}
	for _, e := range t.Remove {
		s.set(row{rowKey{e.Table, e.Part, e.Key}, "", s.version, true, time.Now()})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []wireRow
	for k, c := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, c.wire())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < limit && (n == 0 || bytes+len(found[n].Value) < maxAnswerBytes) {
		bytes += len(found[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, found[:n], n < len(found))
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			known[k.part] = true
		}
	}
	parts := []string{}
	for p := range known {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		waitMS = 0
	}
	deadline := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []wireRow
		for _, c := range s.history {
			if c.version > after && c.table == q.Get("table") {
				rows = append(rows, c.wire())
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			expired = true
		}
	}
}
