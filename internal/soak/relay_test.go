package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"
)

// lineServer answers each line with itself and records it.
type lineServer struct {
	addr  netip.AddrPort
	lines chan string
}

func newLineServer(t *testing.T) *lineServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &lineServer{listener.Addr().(*net.TCPAddr).AddrPort(), make(chan string, 100)}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(connection)
				for lines.Scan() {
					s.lines <- lines.Text()
					_, _ = fmt.Fprintln(connection, lines.Text()) // the caller may have gone
				}
			}()
		}
	}()
	return s
}

func newTestLink(t *testing.T, target netip.AddrPort) *link {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().(*net.TCPAddr).AddrPort()
	_ = free.Close()
	l, err := newLink("a", "b", addr, target, rand.New(rand.NewPCG(1, 1)), func(*channel) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return l
}

func dial(t *testing.T, l *link) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", l.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func (s *lineServer) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.lines:
		if got != want {
			t.Fatalf("the server received %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("the server did not receive %q", want)
	}
}

func (s *lineServer) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case got := <-s.lines:
		t.Fatalf("the server received %q too early", got)
	case <-time.After(50 * time.Millisecond):
	}
}

func TestHeldCallsAreDeliveredAfterTheCallerHasGone(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	connection := dial(t, l)
	l.hold(calls, true)
	for i := range 3 {
		fmt.Fprintln(connection, i)
	}
	_ = connection.Close()
	s.expectNothing(t)
	l.hold(calls, false)
	for i := range 3 {
		s.expect(t, fmt.Sprint(i))
	}
}

func TestHeldAnswers(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	connection := dial(t, l)
	l.hold(answers, true)
	fmt.Fprintln(connection, "x")
	s.expect(t, "x")
	_ = connection.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := connection.Read(make([]byte, 10)); err == nil {
		t.Fatalf("read %d bytes of a held answer", n)
	}
	l.hold(answers, false)
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	if text, err := bufio.NewReader(connection).ReadString('\n'); err != nil || text != "x\n" {
		t.Fatalf("read %q, %v", text, err)
	}
}

func TestLateCallsAreOvertaken(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	first, second := dial(t, l), dial(t, l)
	l.delay(calls, delaying{1, 300 * time.Millisecond, 1})
	fmt.Fprintln(first, "late")
	time.Sleep(50 * time.Millisecond)
	l.delay(calls, delaying{})
	fmt.Fprintln(second, "newer")
	s.expect(t, "newer")
	s.expect(t, "late")
}

func TestLostAnswer(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	connection := dial(t, l)
	l.lose(1)
	fmt.Fprintln(connection, "x")
	s.expect(t, "x")
	if data, err := io.ReadAll(connection); err == nil {
		t.Fatalf("read %q and the end of the stream, want a reset", data)
	}
}

func TestRefusedAndReset(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	connection := dial(t, l)
	fmt.Fprintln(connection, "x")
	s.expect(t, "x")
	l.refuse()
	if other, err := net.Dial("tcp", l.listen.String()); err == nil {
		_ = other.Close()
		t.Fatal("the link accepts connections while it refuses them")
	}
	if err := l.open(); err != nil {
		t.Fatal(err)
	}
	_ = dial(t, l)
	l.reset()
	if _, err := io.ReadAll(connection); err == nil {
		t.Fatal("the connection ended without a reset")
	}
}

// TestSeveredLinks guards against partitions that data pass or whose dials are refused.
func TestSeveredLinks(t *testing.T) {
	for how, name := range []string{"held", "quiet", "reset"} {
		t.Run(name, func(t *testing.T) {
			s := newLineServer(t)
			l := newTestLink(t, s.addr)
			before := dial(t, l)
			fmt.Fprintln(before, "x")
			s.expect(t, "x")
			if err := l.sever(severing(how)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintln(before, "held")
			s.expectNothing(t)
			time.Sleep(fillDials * fillTimeout)
			l.refuse()
			if err := l.open(); err != nil {
				t.Fatal(err)
			}
			during, err := net.DialTimeout("tcp", l.listen.String(), 100*time.Millisecond)
			if held := severing(how) == severedHeld; held != (err == nil) {
				t.Fatalf("dialing a severed link: %v", err)
			}
			if err == nil {
				_ = during.Close()
			} else if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				t.Fatalf("dialing a severed link: %v, want a timeout", err)
			}
			if err := l.mend(); err != nil {
				t.Fatal(err)
			}
			if severing(how) != severedReset {
				s.expect(t, "held")
			}
			fmt.Fprintln(dial(t, l), "whole")
			s.expect(t, "whole")
		})
	}
}

// TestSeveredLinkToAServerThatEnds guards against connections to a server that is away after a partition.
func TestSeveredLinkToAServerThatEnds(t *testing.T) {
	s := newLineServer(t)
	l := newTestLink(t, s.addr)
	if err := l.sever(severedQuiet); err != nil {
		t.Fatal(err)
	}
	l.refuse()
	if err := l.mend(); err != nil {
		t.Fatal(err)
	}
	if connection, err := net.Dial("tcp", l.listen.String()); err == nil {
		_ = connection.Close()
		t.Fatal("the link accepts connections to a server that is away")
	}
}
