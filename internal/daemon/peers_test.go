package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a large configuration that every process fetches from all its peers at
// once, so that the links are full and owners and peers count as silent.
func TestConfigurationIsFetchedFromOnePeerAtATime(t *testing.T) {
	type step struct {
		ms      int
		version uint64
		done    bool // the fetch under way ends first
		want    bool
	}
	for _, tt := range []struct {
		name string
		in   []step
	}{
		{"the store delivers first", []step{{0, 7, false, false}, {10, 7, false, false}, {490, 7, false, false}}},
		{"the store does not deliver", []step{{0, 7, false, false}, {500, 7, false, true}, {501, 7, false, false}}},
		{"the first peer fails", []step{{0, 7, false, false}, {500, 7, false, true}, {900, 7, true, true}}},
		{"a newer one is on its way", []step{{0, 7, false, false}, {400, 8, false, false}, {600, 8, false, false}, {900, 8, false, true}}},
		{"versions in quick succession", []step{{0, 7, false, false}, {400, 8, false, false}, {800, 9, false, true}}},
		{"peers are of different age", []step{{0, 8, false, false}, {400, 7, false, false}, {500, 7, false, true}}},
	} {
		var f configFetch
		start := time.Now()
		for _, s := range tt.in {
			if s.done {
				f.running = false
			}
			if have := f.begin(s.version, start.Add(time.Duration(s.ms)*time.Millisecond)); have != s.want {
				t.Errorf("%s: at %d ms fetches version %d: %v, want %v", tt.name, s.ms, s.version, have, s.want)
			}
		}
	}
}

// Guards against a pool that is offered, for seconds, to processes that have lost the store
// like its owner.
func TestProcessThatLostTheStoreIsNotReady(t *testing.T) {
	var refuses bool
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"rows":[],"ver":7,"now_ms":1}`))
	}))
	defer store.Close()
	logger, _ := test.NewNullLogger()
	addr := netip.MustParseAddrPort(store.Listener.Addr().String())
	d := New(platform.Settings{Node: "self", Store: platform.StoreSettings{Addr: addr}}, logrus.NewEntry(logger))
	d.config.Store(&configuration{})
	for _, tt := range []struct {
		name    string
		refuses bool
	}{{"the store answers", false}, {"the store turns this process away", true}, {"the store answers again", false}} {
		refuses = tt.refuses
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_ = d.watch(tableMember, d.readMembers, func([]platform.Row) {})(ctx)
		cancel()
		if have := d.status().Ready; have == tt.refuses {
			t.Errorf("%s: ready is %v", tt.name, have)
		}
	}
}
