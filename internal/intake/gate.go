package intake

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Errors returned by [ReadBody].
var (
	// ErrCrowded means that the process has no room for the request.
	ErrCrowded = errors.New("too many unfinished requests")
	// ErrTooLong means that a body is longer than the limit.
	ErrTooLong = errors.New("the body is too long")
)

// RetryAfter is when room is expected after [ErrCrowded]: by then, a request without progress is
// among the first that are ended.
const RetryAfter = grace

const (
	grace       = time.Second // a request is not ended before this age unless all are younger
	window      = time.Second // over which progress is measured
	logInterval = 10 * time.Second

	headerBytes  = 64 << 10 // of one request; callers send up to 16 KiB
	headerFields = 512
	headerWeight = 16 // a field of a few bytes takes a hundred in a map
	freeShare    = 16 // 1/16 of a limit becomes free when it is reached, so that requests are compared rarely
)

// Limits of a [Gate]. Those of [LimitsOf] are met by no caller within the platform's limits.
type Limits struct {
	Bytes int64 // of requests that are read but not answered
	Conns int
}

// The shares of a process's resources.
const (
	DefaultMemory      = 512 << 20 // bytes, of a process that does not know its memory
	DefaultDescriptors = 8192

	memoryShare     = 8        // 1/8 for bytes of requests, and as much for connections
	socketShare     = 2        // 1/2 of the sockets for connections
	connBytes       = 16 << 10 // that one connection takes: buffers and a stack
	fileDescriptors = 200      // that sockets can't use
	minBytes        = 1 << 20
	minConns        = 16
)

// LimitsOf returns the limits of a process with some memory and descriptors; 0 is unknown. Half of
// the sockets is kept for the store, peers and workers.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	share := memory / memoryShare
	sockets := max(0, descriptors-fileDescriptors) / socketShare
	return Limits{Bytes: max(minBytes, share), Conns: max(minConns, min(sockets, int(share/connBytes)))}
}

// stage is what happens on a connection.
type stage int

const (
	idle     stage = iota // between requests
	arriving              // a request is read
	served                // a request is read, and its answer is not sent yet
)

// entry is a connection as the gate sees it.
type entry struct {
	peer    netip.Addr
	stage   stage
	held    int64     // bytes of the current request, those of its header weighted until it is parsed
	parsed  bool      // the header has arrived
	since   time.Time // when the stage began
	active  time.Time // of the last byte
	recent  int64     // bytes in the current window
	before  int64     // bytes in the window before
	window  time.Time // when the current window began
	writing time.Time // since when a write of the answer waits, zero if none does
	ended   bool
	end     func() // ends the request, or closes the connection
}

// progress adds bytes to the current window.
func (e *entry) progress(n int64, now time.Time) {
	e.roll(now)
	e.recent += n
	e.active = now
}

func (e *entry) roll(now time.Time) {
	switch age := now.Sub(e.window); {
	case age >= 2*window:
		e.before, e.recent, e.window = 0, 0, now
	case age >= window:
		e.before, e.recent, e.window = e.recent, 0, e.window.Add(window)
	}
}

// rate returns the bytes in the last one to two windows.
func (e *entry) rate(now time.Time) int64 {
	e.roll(now)
	return e.before + e.recent
}

// Gate bounds the bytes and the connections of callers.
type Gate struct {
	limits Limits
	now    func() time.Time
	log    *logrus.Entry

	mu        sync.Mutex
	entries   map[*entry]bool
	used      int64 // bytes of entries that are not ended
	perPeer   map[netip.Addr]int64
	ended     map[string]int // since the last log line, by cause
	loggedAt  time.Time
	closedFor map[string]*metrics.Counter
}

// Causes of the end of a request or a connection, which are labels of a metric.
const (
	causeBytes = "bytes"
	causeConns = "connections"
)

// New returns a gate.
func New(limits Limits, log *logrus.Entry) *Gate {
	g := &Gate{
		limits: limits, now: time.Now, log: log, entries: map[*entry]bool{}, perPeer: map[netip.Addr]int64{},
		ended: map[string]int{}, closedFor: map[string]*metrics.Counter{},
	}
	for _, cause := range []string{causeBytes, causeConns} {
		g.closedFor[cause] = metrics.GetOrCreateCounter(`papayarudder_intake_ended_total{cause="` + cause + `"}`)
	}
	return g
}

// Publish makes what the gate holds available as metrics of the process.
func (g *Gate) Publish() {
	metrics.GetOrCreateGauge(`papayarudder_intake_held_bytes`, func() float64 { held, _, _ := g.Held(); return float64(held) })
	metrics.GetOrCreateGauge(`papayarudder_intake_connections`, func() float64 { _, conns, _ := g.Held(); return float64(conns) })
	metrics.GetOrCreateGauge(`papayarudder_intake_oldest_seconds`, func() float64 { _, _, oldest := g.Held(); return oldest.Seconds() })
}

// Held returns the bytes that are held, the connections, and the age of the oldest request that
// is unfinished.
func (g *Gate) Held() (held int64, conns int, oldest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for e := range g.entries {
		if e.stage == arriving {
			oldest = max(oldest, now.Sub(e.since))
		}
	}
	return g.used, len(g.entries), oldest
}

// open adds a connection, for which another one is closed if there are too many. It reports
// whether the connection may stay.
func (g *Gate) open(e *entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	e.since, e.active, e.window = now, now, now
	if len(g.entries) >= g.limits.Conns {
		g.free(causeConns, g.limits.Conns/freeShare+1, 0, nil)
	}
	if len(g.entries) >= g.limits.Conns {
		g.note(causeConns)
		return false
	}
	g.entries[e] = true
	return true
}

func (g *Gate) close(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(e)
	delete(g.entries, e)
}

// release stops counting the bytes of a connection.
func (g *Gate) release(e *entry) {
	g.charge(e, -e.held)
	e.held = 0
}

func (g *Gate) charge(e *entry, n int64) {
	e.held += n
	if e.ended {
		return
	}
	g.used += n
	if g.perPeer[e.peer] += n; g.perPeer[e.peer] == 0 {
		delete(g.perPeer, e.peer)
	}
}

// read counts bytes that have arrived. It ends other requests if there is no room, and this one
// if that is not enough.
func (g *Gate) read(e *entry, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if e.stage == idle {
		e.stage, e.since = arriving, now
	}
	e.progress(n, now)
	if !e.parsed {
		n *= headerWeight
	}
	g.charge(e, n)
	if g.used > g.limits.Bytes {
		g.free(causeBytes, 0, g.limits.Bytes/freeShare, e)
	}
}

// begin records that a handler has the request, whose header has arrived.
func (g *Gate) begin(e *entry) {
	g.setStage(e, served)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !e.parsed {
		e.parsed = true
		g.charge(e, e.held/headerWeight-e.held)
	}
}

// setStage begins a stage. What was held for a request is released when the connection is idle.
func (g *Gate) setStage(e *entry, s stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == idle {
		g.release(e)
		e.parsed = false
	}
	if e.stage != s {
		e.stage, e.since = s, g.now()
	}
}

// setWriting records that a write of n bytes of an answer begins, or that it ends if n is negative.
func (g *Gate) setWriting(e *entry, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.charge(e, n)
	e.writing = time.Time{}
	if n > 0 {
		e.writing = g.now()
	}
}

// rank orders the requests by which is ended first: those that make no progress or little, the
// largest first among equals, then connections without a request, then young requests.
type rank struct {
	entry *entry
	class int
	rate  int64
	peer  int64 // bytes of all requests from its address
}

const (
	slow = iota // old enough to be compared
	unused
	young
)

func (g *Gate) rank(e *entry, now time.Time) (rank, bool) {
	r := rank{entry: e, rate: e.rate(now), peer: g.perPeer[e.peer]}
	switch {
	case e.ended:
		return r, false
	case !e.writing.IsZero():
		if now.Sub(e.writing) < grace {
			return r, false
		}
	case e.stage == served:
		return r, false
	case e.stage == idle:
		r.class = unused
	case now.Sub(e.since) < grace:
		r.class = young
	}
	return r, true
}

func (r rank) compare(o rank) int {
	if c := cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.rate, o.rate)); c != 0 {
		return c
	}
	if r.class == unused {
		return r.entry.active.Compare(o.entry.active)
	}
	return cmp.Or(cmp.Compare(o.peer, r.peer), cmp.Compare(o.entry.held, r.entry.held))
}

// free ends requests until a number of connections and bytes below the limits are free. For
// bytes, it ends none that holds nothing, and asking, the request that needs room, before a young
// one.
func (g *Gate) free(cause string, conns int, bytes int64, asking *entry) {
	now := g.now()
	var ranks []rank
	for e := range g.entries {
		if r, possible := g.rank(e, now); possible && (cause == causeConns || e.held > 0 && r.class != young) {
			ranks = append(ranks, r)
		}
	}
	slices.SortFunc(ranks, rank.compare)
	for _, r := range ranks {
		if cause == causeConns && len(g.entries) <= g.limits.Conns-conns {
			return
		}
		if cause == causeBytes && g.used <= g.limits.Bytes-bytes {
			return
		}
		g.endOne(cause, r.entry)
		if cause == causeConns {
			delete(g.entries, r.entry)
		}
	}
	if cause == causeBytes && g.used > g.limits.Bytes && !asking.ended {
		g.endOne(cause, asking)
	}
}

func (g *Gate) endOne(cause string, e *entry) {
	held := e.held
	g.charge(e, -held)
	e.ended, e.held = true, held
	e.end()
	g.note(cause)
}

// note counts the end of a request and logs such ends now and then.
func (g *Gate) note(cause string) {
	g.closedFor[cause].Inc()
	g.ended[cause]++
	now := g.now()
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.loggedAt = now
	fields := logrus.Fields{"held-bytes": g.used, "connections": len(g.entries)}
	for cause, n := range g.ended {
		fields["ended-"+cause] = n
	}
	clear(g.ended)
	go g.log.WithFields(fields).Warn( // which may block on the output
		"unfinished requests or connections ended, to bound what callers hold")
}
