package wire

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// listenOn returns a listener on a free local port and its address.
func listenOn(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, listener.Addr().(*net.TCPAddr).AddrPort()
}

var fastTiming = Timing{DialTimeout: 200 * time.Millisecond, BusyInterval: 20 * time.Millisecond, IdleInterval: time.Hour, HeartbeatTimeout: 50 * time.Millisecond}

// A peer that accepts connections but never answers must not hold a call until
// the call's deadline: the missed heartbeat ends it.
func TestMissedHeartbeatEndsWaitingCalls(t *testing.T) {
	listener, addr := listenOn(t)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	peer := NewPeer(addr, fastTiming, nil)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := peer.Call(ctx, "Any.Method", Beat{}, &Beat{})
	if !errors.Is(err, ErrLost) || ctx.Err() != nil {
		t.Errorf("got %v, want ErrLost long before the deadline", err)
	}
}

func TestPeerWithoutListenerIsUnreachable(t *testing.T) {
	listener, addr := listenOn(t)
	_ = listener.Close()
	peer := NewPeer(addr, fastTiming, nil)
	defer peer.Close()
	if err := peer.Call(context.Background(), "Any.Method", Beat{}, &Beat{}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrUnreachable", err)
	}
}

// A process that has ended must be told from one that is silent: nobody waits for the
// first, and the second may still hold slots.
func TestOnlyAnEndedProcessRefuses(t *testing.T) {
	silent, silentAddr := listenOn(t)
	ended, endedAddr := listenOn(t)
	_ = ended.Close()
	for _, tt := range []struct {
		name string
		addr netip.AddrPort
		want bool
	}{{"silent", silentAddr, false}, {"ended", endedAddr, true}} {
		peer := NewPeer(tt.addr, fastTiming, nil)
		defer peer.Close()
		err := peer.Call(t.Context(), "Any.Method", Beat{}, &Beat{})
		if err == nil || peer.Refused() != tt.want {
			t.Errorf("%s: refused %v after %v, want %v", tt.name, peer.Refused(), err, tt.want)
		}
	}
	_ = silent.Close()
}

func TestHeartbeatNowReportsAtOnce(t *testing.T) {
	listener, addr := listenOn(t)
	server := NewServer()
	go func() { _ = server.Serve(listener) }()
	reports := make(chan bool, 8)
	peer := NewPeer(addr, fastTiming, func(alive bool) { reports <- alive })
	defer peer.Close()
	if alive := <-reports; !alive {
		t.Fatal("the first heartbeat failed")
	}
	server.Close()
	_ = listener.Close()
	peer.HeartbeatNow()
	if alive := <-reports; alive {
		t.Error("a stopped peer was reported alive")
	}
}

// A peer that comes back after a missed heartbeat must be reported alive soon,
// even if no call waits and the idle interval is long.
func TestPeerIsReportedAliveAfterRestart(t *testing.T) {
	listener, addr := listenOn(t)
	server := NewServer()
	go func() { _ = server.Serve(listener) }()
	reports := make(chan bool, 64)
	peer := NewPeer(addr, fastTiming, func(alive bool) { reports <- alive })
	defer peer.Close()
	<-reports
	server.Close()
	_ = listener.Close()
	peer.HeartbeatNow()
	for <-reports {
	}
	again, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	back := NewServer()
	defer back.Close()
	go func() { _ = back.Serve(again) }()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case alive := <-reports:
			if alive {
				return
			}
		case <-deadline:
			t.Fatal("not reported alive within 10 s; the idle heartbeat interval is an hour")
		}
	}
}

// A peer that is only probed by calls costs nothing between them: in a fleet of 147 processes
// each had a timer every 150 ms and a connection for each other one. A call that waits at a
// silent process is ended as before.
func TestUnusedPeerCostsNothing(t *testing.T) {
	timing := fastTiming
	timing.IdleInterval, timing.IdleTimeout = 0, 100*time.Millisecond
	listener, addr := listenOn(t)
	accepted, closed := make(chan struct{}, 8), make(chan struct{}, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				server := NewServer()
				server.rpc.ServeConn(conn) // returns once the peer has closed the connection
				closed <- struct{}{}
			}()
		}
	}()
	peer := NewPeer(addr, timing, nil)
	defer peer.Close()
	time.Sleep(10 * timing.BusyInterval)
	if len(accepted) != 0 {
		t.Error("a connection was made without a call")
	}
	for range 2 { // the second call dials again
		if err := peer.Call(t.Context(), heartbeatMethod, Beat{}, &Beat{}); err != nil {
			t.Fatal(err)
		}
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the unused connection was not closed")
		}
	}
	if len(accepted) != 2 {
		t.Errorf("%d connections for two calls, want 2", len(accepted))
	}

	silent, silentAddr := listenOn(t)
	go func() {
		for {
			if _, err := silent.Accept(); err != nil {
				return
			}
		}
	}()
	other := NewPeer(silentAddr, timing, nil)
	defer other.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := other.Call(ctx, "Any.Method", Beat{}, &Beat{}); !errors.Is(err, ErrLost) || ctx.Err() != nil {
		t.Errorf("got %v, want ErrLost long before the deadline", err)
	}
}
