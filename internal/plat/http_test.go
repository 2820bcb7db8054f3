package plat_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
)

// relayed returns a client that reaches a platform through a relay.
func relayed(t *testing.T, timeout time.Duration) (plat.Platform, *stand.Relay) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: stand.NewServer(stand.NewTable(), nil).Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	relay, err := stand.NewRelay(listener.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return plat.Dial(relay.Addr(), timeout), relay
}

// If all open connections stop answering at once, at most one call waits for its
// timeout: it closes the others, and later calls open new ones.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	p, relay := relayed(t, 100*time.Millisecond)
	ctx := context.Background()
	var calls sync.WaitGroup
	for range 6 { // open several connections
		calls.Go(func() { _, _ = p.Table.Read(ctx, []string{"head"}) })
	}
	calls.Wait()
	relay.Silence()
	failed := 0
	for range 6 {
		if _, err := p.Table.Read(ctx, []string{"head"}); err != nil {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d calls in a row waited for a silent connection, want at most 1", failed)
	}
}
