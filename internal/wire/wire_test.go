package wire

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// silentListener accepts connections and never answers on them while silent.
func listenOn(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, listener.Addr().(*net.TCPAddr).AddrPort()
}

var quick = Timing{Dial: 200 * time.Millisecond, Busy: 20 * time.Millisecond, Idle: time.Hour, Miss: 50 * time.Millisecond}

// A peer that accepts and stays silent must not hold a call until its deadline.
func TestSilentConnectionEndsTheCallsThatWait(t *testing.T) {
	listener, addr := listenOn(t)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	peer := NewPeer(addr, quick, nil)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := peer.Call(ctx, "Any.Method", Beat{}, &Beat{})
	if !errors.Is(err, ErrLost) || ctx.Err() != nil {
		t.Errorf("got %v, want ErrLost long before the deadline", err)
	}
}

func TestNobodyListeningIsUnreachable(t *testing.T) {
	listener, addr := listenOn(t)
	_ = listener.Close()
	peer := NewPeer(addr, quick, nil)
	defer peer.Close()
	if err := peer.Call(context.Background(), "Any.Method", Beat{}, &Beat{}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrUnreachable", err)
	}
}

func TestPokeReportsAtOnce(t *testing.T) {
	listener, addr := listenOn(t)
	server := NewServer()
	go func() { _ = server.Serve(listener) }()
	reports := make(chan bool, 8)
	peer := NewPeer(addr, quick, func(alive bool) { reports <- alive })
	defer peer.Close()
	if alive := <-reports; !alive {
		t.Fatal("the first heartbeat failed")
	}
	server.Close()
	_ = listener.Close()
	peer.Poke()
	if alive := <-reports; alive {
		t.Error("a peer that is gone was reported alive")
	}
}

// A peer that missed a heartbeat and is back is noticed soon, though no call
// waits.
func TestPeerThatIsBackIsNoticed(t *testing.T) {
	listener, addr := listenOn(t)
	server := NewServer()
	go func() { _ = server.Serve(listener) }()
	reports := make(chan bool, 64)
	peer := NewPeer(addr, quick, func(alive bool) { reports <- alive })
	defer peer.Close()
	<-reports
	server.Close()
	_ = listener.Close()
	peer.Poke()
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
			t.Fatal("not noticed within 10 s; the idle heartbeat is an hour")
		}
	}
}
