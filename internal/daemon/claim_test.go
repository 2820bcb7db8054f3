package daemon

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

// A pool goes to the process with the most processor time for each pool that it would own:
// owners on the smallest hosts fell behind while larger ones were idle.
func TestPoolsGoToTheMostProcessorTime(t *testing.T) {
	for _, tt := range []struct {
		name string
		in   []candidate
		want []string // best first
	}{
		{"largest first", []candidate{{"a", 0, 0.192}, {"b", 0, 0.8}, {"c", 0, 0.4}}, []string{"b", "c", "a"}},
		{"an owner with more left than an idle process", []candidate{{"a", 0, 0.192}, {"b", 1, 0.8}}, []string{"b", "a"}},
		{"an owner with less left than an idle process", []candidate{{"a", 0, 0.5}, {"b", 1, 0.8}}, []string{"a", "b"}},
		{"unknown counts as the least known", []candidate{{"a", 1, 0.4}, {"b", 0, 0}, {"c", 0, 0.8}}, []string{"c", "b", "a"}},
		{"none known: fewest pools first", []candidate{{"a", 2, 0}, {"b", 0, 0}, {"c", 1, 0}}, []string{"b", "c", "a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reversed := slices.Clone(tt.in)
			slices.Reverse(reversed)
			for _, in := range [][]candidate{tt.in, reversed} { // all processes must agree, whatever their order
				var got []string
				for _, i := range rankCandidates("p1", in) {
					got = append(got, in[i].node)
				}
				if !slices.Equal(got, tt.want) {
					t.Errorf("%v ranks %v, want %v", in, got, tt.want)
				}
			}
		})
	}
}

// The processor time of a host's settings reaches the other processes with the answers to
// their pings and decides there who claims a pool first.
func TestPingsTellTheProcessorTime(t *testing.T) {
	for _, tt := range []struct {
		name       string
		ours       float64
		theirs     float64
		weAreFirst bool
	}{
		{"the peer's host is larger", 0.192, 0.8, false},
		{"our host is larger", 0.8, 0.192, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			them := claimer(time.Now())
			them.self.Node, them.settings.Limits.Processor = "peer", tt.theirs
			if err := them.server.Register("Peer", &peerService{them}); err != nil {
				t.Fatal(err)
			}
			go func() { _ = them.server.Serve(listener) }()
			defer them.server.Close()
			defer listener.Close()

			d := claimer(time.Now())
			d.settings.Limits.Processor = tt.ours
			p := &peer{node: "peer", link: wire.NewPeer(listener.Addr().(*net.TCPAddr).AddrPort(), wire.DefaultTiming(), nil)}
			defer p.link.Close()
			for range 20 { // pings may time out on a busy machine
				if d.ping(t.Context(), p, d.status()); !p.answeredAt.IsZero() {
					break
				}
			}
			d.peers = map[string]*peer{"peer": p}
			d.ownerships = map[string]pool.Ownership{fleetName: {Pool: fleetName, Token: 1, Owner: pool.Identity{Node: "peer", Life: p.life}}}
			d.config.Store(&configuration{Config: platform.Config{Pools: []platform.PoolConfig{{Name: "p0"}}}})
			due, _ := d.claimable(p.answeredAt)
			if got := len(due) == 1; got != tt.weAreFirst {
				t.Errorf("claims %v at once, want p0: %v", due, tt.weAreFirst)
			}
		})
	}
}

// Equal candidates rank in an order that differs from pool to pool, so that pools spread.
func TestEqualCandidatesShareThePools(t *testing.T) {
	in := []candidate{{"a", 0, 0.4}, {"b", 0, 0.4}, {"c", 0, 0.4}}
	first := map[string]bool{}
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
		first[in[rankCandidates(name, in)[0]].node] = true
	}
	if len(first) != 3 {
		t.Errorf("first for eight pools: %v, want each of three processes for some pool", first)
	}
}

// claimer returns a process beside four peers, each of which owns the pool with its name
// and answered at the given time.
func claimer(answered time.Time) *Daemon {
	logger, _ := test.NewNullLogger()
	d := New(platform.Settings{Node: "self"}, logrus.NewEntry(logger))
	d.startedAt = answered.Add(-time.Minute)
	d.ownersRead, d.workersRead, d.membersRead = true, true, true
	d.recordStoreAnswer()
	c := &configuration{}
	for i := range 4 {
		name := fmt.Sprintf("p%d", i)
		c.Pools = append(c.Pools, platform.PoolConfig{Name: name})
		d.peers[name] = &peer{node: name, life: name, answeredAt: answered, ready: true}
		d.ownerships[name] = pool.Ownership{Pool: name, Token: 1, Owner: pool.Identity{Node: name, Life: name}}
	}
	d.ownerships[fleetName] = pool.Ownership{Pool: fleetName, Token: 1, Owner: pool.Identity{Node: "p3", Life: "p3"}}
	d.config.Store(c)
	return d
}

// span is a row of times in ms.
type span struct{ from, to, every int }

func (s span) contains(ms int) bool {
	return s.every > 0 && ms >= s.from && ms <= s.to && (ms-s.from)%s.every == 0
}

// story is what a process sees of the owner of pool p0, which last answered at 0 ms, and of the
// owners of other pools.
type story struct {
	ticks   []span // of this process
	others  span   // answers of the other owners
	owner   span   // answers of the owner
	writes  span   // changes of the owner's heartbeat in the store
	refused int    // since when the owner refuses connections, 0 for never
	newLife int    // when the owner's node answers with a new life, 0 for never
}

// firstClaim returns when the process first claims a pool, -1 if it claims none, and why.
func (s story) firstClaim(t *testing.T) (int, claimCause) {
	t.Helper()
	return s.play(t, claimer(time.Now()))
}

// play does the same for a process that claimer returned.
func (s story) play(t *testing.T, d *Daemon) (int, claimCause) {
	t.Helper()
	start := d.peers["p0"].answeredAt
	answer := func(node string, at time.Time) {
		d.peers[node].answeredAt, d.peers[node].firstExcusedAt = at, time.Time{}
	}
	version := uint64(1)
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if s.others.contains(ms) {
			answer("p1", now)
			answer("p2", now)
			answer("p3", now)
		}
		if s.owner.contains(ms) {
			answer("p0", now)
		}
		if s.writes.contains(ms) {
			version++
		}
		if ms > 0 && ms == s.refused {
			d.peers["p0"].refusedConnections = 2
		}
		if ms > 0 && ms == s.newLife {
			answer("p0", now)
			d.peers["p0"].life = "next"
		}
		if !slices.ContainsFunc(s.ticks, func(t span) bool { return t.contains(ms) }) {
			continue
		}
		due, unconfirmed := d.claimTick(now)
		if len(due) > 0 {
			if len(due) > 1 || due[0].pool != "p0" {
				t.Errorf("claims %v at %d ms, want p0 alone", due, ms)
			}
			return ms, due[0].cause
		}
		for _, name := range unconfirmed {
			v := uint64(1)
			if name == "p0" {
				v = version
			}
			d.recordHeartbeat(name, func() (pool.Heartbeat, error) { return pool.Heartbeat{Version: v}, nil }, func() time.Time { return now })
		}
	}
	return -1, ""
}

// A process that was held up claims nothing for the silence that it saw meanwhile: saturated
// processes took pools from owners that were running. It does claim pools of
// owners that stay silent once it runs on time, and at last those that nobody else claims.
func TestLateObserverDoesNotJudge(t *testing.T) {
	onTime := []span{{0, 9000, 50}}
	heldUp := []span{{0, 100, 50}, {1200, 9000, 50}}
	alwaysLate := []span{{0, 9000, 400}}
	answers := span{200, 9000, 200}
	for _, tt := range []struct {
		name string
		in   story
		want int
	}{
		{"on time, owner silent", story{ticks: onTime, others: answers}, 1700},
		{"a little late, owner silent", story{ticks: []span{{0, 300, 50}, {480, 9000, 50}}, others: answers}, 1730},
		{"held up, all answer afterwards", story{ticks: heldUp, others: span{1300, 9000, 200}, owner: span{1300, 9000, 200}}, -1},
		{"held up, the owner answers last", story{ticks: heldUp, others: span{1200, 9000, 200}, owner: span{1300, 9000, 200}}, -1},
		{"held up, owner silent afterwards", story{ticks: heldUp, others: span{1300, 9000, 200}}, 2900},
		{"held up after the owner went silent", story{ticks: []span{{0, 1000, 50}, {2200, 9000, 50}}, others: answers}, 2450},
		{"held up again and again, owner refuses", story{ticks: alwaysLate, others: answers, refused: 400}, 2400},
		{"held up for long, owner silent", story{ticks: alwaysLate, others: answers}, 7200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, cause := tt.in.firstClaim(t); got != tt.want {
				t.Errorf("first claim at %d ms (%s), want %d", got, cause, tt.want)
			}
		})
	}
}

// A process that runs late does not wait for others where there are none: with one of two
// processes killed, the pools had no owner for 2.5 s on an overloaded machine.
func TestLateProcessAloneClaims(t *testing.T) {
	start := time.Now()
	d := claimer(start)
	d.config.Store(&configuration{Config: platform.Config{Pools: []platform.PoolConfig{{Name: "p0"}}}})
	d.peers = map[string]*peer{"p0": d.peers["p0"]}
	d.peers["p0"].refusedConnections = 2
	d.ownerships = map[string]pool.Ownership{"p0": d.ownerships["p0"], fleetName: d.ownerships[fleetName]}
	for ms := 0; ms < 10_000; ms += 300 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		due, unconfirmed := d.claimTick(now)
		for _, name := range unconfirmed {
			d.recordHeartbeat(name, func() (pool.Heartbeat, error) { return pool.Heartbeat{Version: 1}, nil }, func() time.Time { return now })
		}
		if len(due) > 0 {
			if ms > 1800 { // one of two has no majority: 1.5 s, and a tick after the read
				t.Errorf("first claim at %d ms, want at most 1800", ms)
			}
			return
		}
	}
	t.Error("no claim")
}

// An owner that leaves pings unanswered, but still writes to the store, keeps its pool for a
// while: owners short of processor time lost theirs while they ran.
func TestBusyOwnerKeepsItsPool(t *testing.T) {
	onTime := []span{{0, 9000, 50}}
	answers := span{200, 9000, 200}
	for _, tt := range []struct {
		name  string
		in    story
		want  int
		cause claimCause
	}{
		{"frozen", story{ticks: onTime, others: answers}, 1700, causeStandstill},
		{"silent for 2.5 s, writes", story{ticks: onTime, others: answers, owner: span{2500, 9000, 200}, writes: span{100, 9000, 550}}, -1, ""},
		{"silent for 2.5 s, writes late", story{ticks: onTime, others: answers, owner: span{2500, 9000, 200}, writes: span{100, 9000, 900}}, -1, ""},
		{"silent for long, writes", story{ticks: onTime, others: answers, writes: span{100, 9000, 550}}, 3000, causeSilent},
		{"silent, stops to write", story{ticks: onTime, others: answers, writes: span{100, 1000, 550}}, 2000, causeStandstill},
		{"pings lost now and then, does not write", story{ticks: onTime, others: answers, owner: span{800, 9000, 800}}, -1, ""},
		{"refuses connections", story{ticks: onTime, others: answers, refused: 400}, 400, causeRefused},
		{"a new life answers", story{ticks: onTime, others: answers, newLife: 300, owner: span{400, 9000, 200}}, 300, causeEnded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, cause := tt.in.firstClaim(t); got != tt.want || cause != tt.cause {
				t.Errorf("first claim at %d ms (%s), want %d (%s)", got, cause, tt.want, tt.cause)
			}
		})
	}
}

// The log tells when a peer goes silent and when it answers again: only changes between the
// beginning and the end of one ping were logged, so that silence never was.
func TestSilenceOfAPeerIsLogged(t *testing.T) {
	d := claimer(time.Now())
	logger, lines := test.NewNullLogger()
	d.log = logrus.NewEntry(logger)
	for _, p := range d.peers {
		p.loggedAlive = true
	}
	story{ticks: []span{{0, 9000, 50}}, others: span{200, 9000, 200}, owner: span{1400, 9000, 200}, writes: span{100, 9000, 550}}.play(t, d)
	var got []string
	for _, e := range lines.AllEntries() {
		got = append(got, fmt.Sprintf("%s: %v alive %v after %v ms, late %v ms", e.Message, e.Data["peer"], e.Data["alive"], e.Data["silent-ms"], e.Data["late-ms"]))
	}
	want := []string{
		"peer's liveness changed: p0 alive false after 900 ms, late 0 ms",
		"peer's liveness changed: p0 alive true after 1400 ms, late 0 ms",
	}
	if !slices.Equal(got, want) {
		t.Errorf("log %q, want %q", got, want)
	}
}

// A heartbeat counts as unchanged only between reads that were answered: an owner whose row
// was read once, while further reads failed or were under way, lost its pool.
func TestHeartbeatStandsStillBetweenAnsweredReads(t *testing.T) {
	type read struct {
		began, ended int // ms; 0 for no answer
		version      uint64
	}
	for _, tt := range []struct {
		name string
		in   []read // in the order of their ends, those without an answer first
		want int    // ms
	}{
		{"no read", nil, 0},
		{"one read", []read{{100, 120, 5}}, 0},
		{"one read, another begun", []read{{1600, 0, 0}, {100, 120, 5}}, 0},
		{"one read, others failed", []read{{400, 0, 0}, {700, 0, 0}, {1700, 0, 0}, {100, 120, 5}}, 0},
		{"unchanged from the first answer to the last request", []read{{100, 120, 5}, {400, 420, 5}, {1700, 1750, 5}}, 1580},
		{"an answer that took long", []read{{100, 1000, 5}, {400, 1600, 5}}, 0},
		{"changed", []read{{100, 120, 5}, {1700, 1720, 6}}, 0},
		{"changed, then unchanged", []read{{100, 120, 5}, {400, 420, 6}, {700, 720, 6}}, 280},
		{"answers out of order", []read{{400, 450, 6}, {100, 500, 5}, {700, 720, 6}}, 250},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			b := &heartbeat{}
			for _, r := range slices.SortedFunc(slices.Values(tt.in), func(x, y read) int { return x.began - y.began }) {
				b.request(at(r.began))
			}
			for _, r := range tt.in {
				if r.ended > 0 {
					b.record(pool.Heartbeat{Version: r.version}, at(r.began), at(r.ended))
				}
			}
			if got := b.unchangedFor(); got != time.Duration(tt.want)*time.Millisecond {
				t.Errorf("unchanged for %v, want %d ms", got, tt.want)
			}
		})
	}
}

// Guards against a pool that is claimed from a new owner because the heartbeat of the one
// before stood still.
func TestNextOwnerIsNotJudgedByTheLastHeartbeat(t *testing.T) {
	start := time.Now()
	d := claimer(start)
	now := start.Add(time.Second)
	for _, node := range []string{"p2", "p3"} {
		d.peers[node].answeredAt = now
	}
	read := func(at time.Time) {
		d.recordHeartbeat("p0", func() (pool.Heartbeat, error) { return pool.Heartbeat{Version: 1}, nil }, func() time.Time { return at })
	}
	read(start)
	read(now)
	d.applyOwnership(pool.Ownership{Pool: "p0", Token: 2, Owner: pool.Identity{Node: "p1", Life: "p1"}})
	due, _ := d.claimTick(now)
	for _, v := range due {
		if v.pool == "p0" {
			t.Errorf("claimed from its new owner at once, cause %q", v.cause)
		}
	}
}
