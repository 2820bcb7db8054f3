package daemon

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// sentWorkers records what the owners of a process are told of their workers.
type sentWorkers struct {
	mu    sync.Mutex
	calls map[string]int      // by pool
	last  map[string][]string // ids of the workers, by pool
	delay time.Duration       // of the first call
}

func (s *sentWorkers) record(o *pool.Owner, entries []platform.WorkerEntry) {
	s.mu.Lock()
	s.calls[o.Name()]++
	delay := s.delay
	s.delay = 0
	s.mu.Unlock()
	time.Sleep(delay)
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[o.Name()] = ids
}

// ownerOf returns a process that owns the pools, and what it tells their owners.
func ownerOf(pools ...string) (*Daemon, *sentWorkers) {
	logger, _ := test.NewNullLogger()
	d := New(platform.Settings{Node: "self"}, logrus.NewEntry(logger))
	sent := &sentWorkers{calls: map[string]int{}, last: map[string][]string{}}
	d.sendWorkers = sent.record
	for _, name := range pools {
		d.owners[name] = pool.New(context.Background(), pool.Ownership{Pool: name, Token: 1}, pool.Settings{Log: d.log})
	}
	return d, sent
}

// waitSent waits until the owners have been told of all changes.
func waitSent(t *testing.T, d *Daemon) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.mu.Lock()
		n := len(d.outdated)
		d.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Fatal("owners are still told of changes after 5 s")
}

func workerRow(id, name string) platform.Row {
	value := fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2},"labels":[],"born":5}`, name)
	return platform.Row{Table: platform.TableWorkers, Key: id, Value: []byte(value)}
}

// An answer of the workers' feed is told to the owners of the pools that it changes, once each:
// every row made the process copy all workers of all its pools.
func TestOwnersAreToldOncePerAnswer(t *testing.T) {
	gone := platform.Row{Table: platform.TableWorkers, Key: "w1", Deleted: true}
	malformed := platform.Row{Table: platform.TableWorkers, Key: "w2", Value: []byte("{")}
	moved := workerRow("w1", "p2")
	moved.Value = bytes.Replace(moved.Value, []byte(`"born":5`), []byte(`"born":6`), 1) // a host in another pool has a new lifetime
	for _, tt := range []struct {
		name  string
		in    []platform.Row // while w1 and w2 are in p1 and w3 in p2
		calls map[string]int
		want  map[string][]string // of the owners that are told
	}{
		{"many join", []platform.Row{workerRow("w4", "p1"), workerRow("w5", "p1"), workerRow("w6", "p1")}, map[string]int{"p1": 1}, map[string][]string{"p1": {"w1", "w2", "w4", "w5", "w6"}}},
		{"one moves", []platform.Row{moved}, map[string]int{"p1": 1, "p2": 1}, map[string][]string{"p1": {"w2"}, "p2": {"w1", "w3"}}},
		{"one leaves", []platform.Row{gone}, map[string]int{"p1": 1}, map[string][]string{"p1": {"w2"}}},
		{"an entry becomes malformed", []platform.Row{malformed}, map[string]int{"p1": 1}, map[string][]string{"p1": {"w1"}}},
		{"joins a pool owned elsewhere", []platform.Row{workerRow("w4", "p3")}, map[string]int{}, map[string][]string{}},
		{"no rows", nil, map[string]int{}, map[string][]string{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, sent := ownerOf("p1", "p2")
			d.applyWorkerRows([]platform.Row{workerRow("w1", "p1"), workerRow("w2", "p1"), workerRow("w3", "p2")})
			waitSent(t, d)
			sent.calls, sent.last = map[string]int{}, map[string][]string{}
			d.applyWorkerRows(tt.in)
			waitSent(t, d)
			if !maps.Equal(sent.calls, tt.calls) || !maps.EqualFunc(sent.last, tt.want, slices.Equal) {
				t.Errorf("calls %v, last %v, want %v, %v", sent.calls, sent.last, tt.calls, tt.want)
			}
		})
	}
}

// An owner that is slow to take in its workers ends up with the latest ones: each change was
// sent by a goroutine of its own, so that an older one could come last.
func TestSlowOwnerGetsTheLatestWorkers(t *testing.T) {
	d, sent := ownerOf("p1")
	sent.delay = 50 * time.Millisecond
	d.applyWorkerRows([]platform.Row{workerRow("w1", "p1")})
	time.Sleep(10 * time.Millisecond) // the first call has begun
	for i := range 9 {
		d.applyWorkerRows([]platform.Row{workerRow(fmt.Sprintf("w%d", i), "p1")})
	}
	waitSent(t, d)
	if n := len(sent.last["p1"]); n != 9 || sent.calls["p1"] != 2 {
		t.Errorf("%d workers after %d calls, want 9 after 2", n, sent.calls["p1"])
	}
}

// Guards against a log line for each poll or version of an odd entry, and against ones that
// nobody counts: one is logged for each fault of an entry.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	d := New(platform.Settings{Node: "self"}, logrus.NewEntry(logger))
	odd := func(key, value string, version uint64) platform.Row {
		return platform.Row{Table: platform.TableWorkers, Key: key, Value: []byte(value), Version: version}
	}
	before := metricOddEntries.Get()
	d.applyWorkerRows([]platform.Row{workerRow("w1", "p1"), odd("w2", "{", 2)})
	for n := range uint64(20) {
		d.applyWorkerRows([]platform.Row{odd("w2", "{", 3+n)})
	}
	d.applyWorkerRows([]platform.Row{odd("w2", "[]", 30)})
	if n := len(hook.AllEntries()); n != 2 {
		t.Errorf("%d lines for two faults of one entry, want 2", n)
	}
	hook.Reset()
	for n := range 2 * maxOddEntries {
		d.applyWorkerRows([]platform.Row{odd(fmt.Sprint("x", n), strings.Repeat("[", 50_000), 40)})
	}
	size := 0
	for _, e := range hook.AllEntries() {
		size += len(fmt.Sprint(e.Data[logrus.ErrorKey]))
	}
	if n := len(hook.AllEntries()); n >= maxOddEntries || size > 500*n {
		t.Errorf("%d lines with %d bytes, want fewer than %d of 500", n, size, maxOddEntries)
	}
	if n := metricOddEntries.Get() - before; n != 22+2*maxOddEntries {
		t.Errorf("%d malformed entries counted, want %d", n, 22+2*maxOddEntries)
	}
	if len(d.workers) != 1 {
		t.Errorf("workers %v, want w1", d.workers)
	}
}

// Guards against a table that is asked for without a pause while its answers are odd.
func TestOddAnswersOfAFeedArePaced(t *testing.T) {
	const page = `{"rows":[],"ver":7,"now_ms":1}`
	for _, feed := range []string{
		``, `{"rows":[]}`, page, `{"rows":[{"table":"op","part":"","key":"x","value":"e30=","ver":7}],"ver":7,"now_ms":1}`, strings.Repeat("[", 200_000),
	} {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			answer := page
			if strings.HasSuffix(r.URL.Path, "feed") {
				answer = feed
			}
			_, _ = w.Write([]byte(answer))
		}))
		logger, hook := test.NewNullLogger()
		d := New(platform.Settings{Node: "self", Store: platform.StoreSettings{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}}, logrus.NewEntry(logger))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_ = d.watch(platform.TableOperator, d.readOperator, eachRow(d.applyOperatorRow))(ctx) // ends with ctx
		cancel()
		server.Close()
		if n, lines := calls.Load(), len(hook.AllEntries()); n > 20 || lines > 20 {
			t.Errorf("%.80q: %d calls and %d lines in 1 s, want up to 20", feed, n, lines)
		}
	}
}
