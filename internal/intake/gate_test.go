package intake

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// rig is a gate in virtual time.
type rig struct {
	gate *Gate
	now  time.Time
}

func newRig(limits Limits) *rig {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &rig{gate: New(limits, logrus.NewEntry(logger)), now: time.Unix(1_000_000, 0)}
	r.gate.now = func() time.Time { return r.now }
	return r
}

func (r *rig) connect(peer string) *entry {
	e := &entry{peer: netip.MustParseAddr(peer), end: func() {}}
	r.gate.open(e)
	return e
}

// TestStalledRequestsAreEndedFirst answers bodies that stop just short of their end while others
// arrive steadily, if slowly, and short ones come and go.
func TestStalledRequestsAreEndedFirst(t *testing.T) {
	r := newRig(Limits{Bytes: 1 << 20, Conns: 100})
	slow := r.connect("10.0.0.1")
	r.gate.begin(slow)
	r.gate.setStage(slow, arriving)
	var stalled []*entry
	for range 3 {
		e := r.connect("10.0.0.2")
		r.gate.begin(e)
		r.gate.setStage(e, arriving)
		r.gate.read(e, 256<<10)
		stalled = append(stalled, e)
	}
	for range 20 {
		r.now = r.now.Add(500 * time.Millisecond)
		r.gate.read(slow, 15<<10)
		short := r.connect("10.0.0.3")
		r.gate.read(short, 4000)
		r.gate.begin(short)
		r.gate.setStage(short, idle)
	}
	if slow.ended {
		t.Error("a request that makes progress was ended")
	}
	ended := 0
	for _, e := range stalled {
		if e.ended {
			ended++
		}
	}
	if ended == 0 {
		t.Error("no stalled request was ended")
	}
	if held, _, _ := r.gate.Held(); held > 1<<20 {
		t.Errorf("held %d bytes", held)
	}
}

// TestRequestThatFindsNoRoom answers many whole bodies at the same time: what is served stays, and
// the one that does not fit is refused.
func TestRequestThatFindsNoRoom(t *testing.T) {
	r := newRig(Limits{Bytes: 1 << 20, Conns: 100})
	var entries []*entry
	for range 5 {
		e := r.connect("10.0.0.1")
		r.gate.read(e, 100)
		r.gate.begin(e)
		r.gate.read(e, 256<<10-100)
		entries = append(entries, e)
	}
	for i, e := range entries {
		if e.ended != (i == 4) {
			t.Errorf("request %d ended: %v", i, e.ended)
		}
	}
	for _, e := range entries {
		r.gate.close(e)
	}
	if held, conns, _ := r.gate.Held(); held != 0 || conns != 0 || len(r.gate.perPeer) != 0 {
		t.Errorf("%d bytes and %d connections after all were closed", held, conns)
	}
}

// TestUnusedConnectionsAreClosedFirst answers more connections than the process may have.
func TestUnusedConnectionsAreClosedFirst(t *testing.T) {
	r := newRig(Limits{Bytes: 1 << 20, Conns: 32})
	old, working := r.connect("10.0.0.1"), r.connect("10.0.0.1")
	r.gate.read(working, 100)
	r.gate.setStage(working, served)
	for range 31 {
		r.now = r.now.Add(10 * time.Millisecond)
		r.connect("10.0.0.2")
	}
	if !old.ended || working.ended {
		t.Errorf("ended: the one unused longest %v, the one that is served %v", old.ended, working.ended)
	}
	if _, conns, _ := r.gate.Held(); conns > 32 {
		t.Errorf("%d connections", conns)
	}
}

func TestLimitsOf(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{0, 0, Limits{64 << 20, 3996}},
		{284 << 20, 4100, Limits{284 << 20 / 8, 1950}},
		{96 << 20, 4100, Limits{12 << 20, 768}},
		{1 << 20, 10, Limits{1 << 20, 16}},
	} {
		if got := LimitsOf(c.memory, c.descriptors); got != c.want {
			t.Errorf("LimitsOf(%d, %d) = %+v, want %+v", c.memory, c.descriptors, got, c.want)
		}
	}
}

func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", 5*blockBytes+7)
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		limit  int64
		want   string
		err    error
	}{
		{"empty", strings.NewReader(""), 0, 10, "", nil},
		{"short", strings.NewReader("abc"), 3, 3, "abc", nil},
		{"short, byte by byte", iotest.OneByteReader(strings.NewReader("abc")), 3, 3, "abc", nil},
		{"no length", strings.NewReader("abc"), -1, 3, "abc", nil},
		{"no length, at the limit", strings.NewReader(long), -1, int64(len(long)), long, nil},
		{"no length, over the limit", strings.NewReader(long), -1, int64(len(long) - 1), "", ErrTooLong},
		{"long", iotest.DataErrReader(strings.NewReader(long)), int64(len(long)), 1 << 20, long, nil},
		{"declared too long", strings.NewReader("abc"), 4, 3, "", ErrTooLong},
		{"cut off", strings.NewReader("ab"), 3, 3, "", io.ErrUnexpectedEOF},
		{"cut off in a chunk", io.MultiReader(strings.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 1 << 20, "", io.ErrUnexpectedEOF},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", c.body)
		r.ContentLength = c.length
		body, err := ReadBody(r, c.limit)
		if string(body) != c.want && err == nil || !errors.Is(err, c.err) {
			t.Errorf("%s: %d bytes, %v", c.name, len(body), err)
		}
	}
}

// TestRefusedWhileArriving checks that a handler whose request is ended can still refuse it, and
// that the next request gets through.
func TestRefusedWhileArriving(t *testing.T) {
	const size = 1 << 20
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gate := New(Limits{Bytes: size, Conns: 10}, logrus.NewEntry(logger))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, 2*size)
		if errors.Is(err, ErrCrowded) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(body[:min(2, len(body))])
	}))
	gate.Guard(server.Config)
	server.Listener = gate.Listener(server.Listener)
	server.Start()
	defer server.Close()
	for _, c := range []struct{ size, status int }{{2 * size, http.StatusServiceUnavailable}, {size / 2, http.StatusOK}} {
		request, _ := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader(make([]byte, c.size)))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%d bytes: %v", c.size, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%d bytes: status %d, want %d", c.size, response.StatusCode, c.status)
		}
	}
}

// TestSlowRequestInCalm sends a body in pieces for longer than a request is young, while nothing
// else needs the room.
func TestSlowRequestInCalm(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gate := New(LimitsOf(0, 0), logrus.NewEntry(logger))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := ReadBody(r, 1<<20); err != nil || len(body) != 7*30_000 {
			t.Errorf("%d bytes, %v", len(body), err)
		}
	}))
	gate.Guard(server.Config)
	server.Listener = gate.Listener(server.Listener)
	server.Start()
	defer server.Close()
	body, pieces := io.Pipe()
	go func() {
		for range 7 {
			_, _ = pieces.Write(make([]byte, 30_000)) // the handler checks what arrives
			time.Sleep(grace / 5)
		}
		_ = pieces.Close()
	}()
	response, err := http.Post(server.URL, "text/plain", body)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	server.Close()
	if held, conns, _ := gate.Held(); held != 0 || conns != 0 {
		t.Errorf("%d bytes and %d connections at the end", held, conns)
	}
}
