package daemon_test

import (
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// All open connections to the store, the machine API and the workers go silent for good,
// while new connections work. Each call waits for one timeout, and no running task is
// lost.
func TestConnectionsGoSilent(t *testing.T) {
	var mu sync.Mutex
	var relays []*stand.Relay
	s := newSystem(t, 2, mimic.Options{Via: func(server netip.AddrPort) netip.AddrPort {
		r, err := stand.NewRelay(server)
		if err != nil {
			t.Error(err)
			return server
		}
		t.Cleanup(r.Close)
		mu.Lock()
		defer mu.Unlock()
		relays = append(relays, r)
		return r.Addr()
	}})
	p := s.processes[0]
	s.submit(p, "/labels/"+id(1), `{"spec":"lasting","steps":[{"count":3,"cpu":1000,"anti_affinity":1,"long_running":true,"max_unavailable":1}]}`)
	s.submit(p, "/labels/"+id(2), `{"spec":"1500ms","steps":[{"count":6,"cpu":1000,"estimate_ms":1500},{"count":2,"cpu":1000,"estimate_ms":1500,"after":[0]}]}`)
	s.waitFor("tasks to run", 3*time.Second, func() bool { return len(s.platform.Runs()) >= 9 })
	mu.Lock()
	for _, r := range relays {
		r.Silence()
	}
	mu.Unlock()
	began := time.Now()
	s.submit(p, "/labels/"+id(3), oneStep)
	s.waitState(p, "/labels/"+id(3), "complete", 5*time.Second)
	// 0.9 s for a transaction and its retry, 1.7 s until lease renewals time out and the
	// lists are read again, and 0.3 s for a start.
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("a job was complete %v after all connections went silent, want at most 3 s", took)
	}
	s.waitState(p, "/labels/"+id(2), "complete", 6*time.Second)
	for _, r := range s.platform.Runs() {
		if r.How == "lapsed" || strings.HasPrefix(r.Task, id(1)) && r.How != "" {
			t.Errorf("%s ended %s", r.Task, r.How)
		}
	}
	s.check()
}
