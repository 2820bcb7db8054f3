package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// A pool goes to the process with the most processor time for each pool that it would own:
// owners on the smallest hosts fell behind while larger ones were idle (inc-57a4).
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
	d.ownersRead, d.workersRead = true, true
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

// A process that was held up claims nothing for the silence that it saw meanwhile: saturated
// processes took pools from owners that were running (inc-57a4). It does claim pools of
// owners that stay silent once it runs on time, and at last those that nobody else claims.
func TestLateObserverDoesNotJudge(t *testing.T) {
	type span struct{ from, to, every int } // ms
	steady := func(from, to int) span { return span{from, to, 50} }
	for _, tt := range []struct {
		name    string
		answers []int  // of all peers but p0, in ms
		p0      []int  // answers of p0
		refused int    // when connections to p0 are refused, 0 for never
		ticks   []span // of this process
		want    int    // first claim of p0, -1 for none
	}{
		{"on time, owner silent", []int{200, 400, 600, 800, 1000, 1200}, nil, 0, []span{steady(0, 1200)}, 900},
		{"a little late, owner silent", []int{200, 400, 600, 800, 1000, 1200}, nil, 0, []span{steady(0, 300), steady(480, 1200)}, 930},
		{"held up, all answer afterwards", []int{1300, 1600, 1900, 2200, 2500}, []int{1300, 1600, 1900, 2200, 2500}, 0, []span{steady(0, 100), steady(1200, 2500)}, -1},
		{"held up, the owner answers last", []int{1200, 1600, 1900, 2200, 2500}, []int{1300, 1600, 1900, 2200, 2500}, 0, []span{steady(0, 100), steady(1200, 2500)}, -1},
		{"held up, owner silent afterwards", []int{1300, 1600, 1900, 2200, 2500}, nil, 0, []span{steady(0, 100), steady(1200, 2500)}, 2100},
		{"held up after the owner went silent", []int{200, 400, 600, 800, 1000, 2300, 2600, 2900, 3200}, nil, 0, []span{steady(0, 850), steady(2200, 3300)}, 3100},
		{"held up again and again, owner silent", []int{400, 800, 1200, 1600, 2000, 2400, 2800, 3200, 3600, 4000}, nil, 0, []span{{0, 4000, 400}}, -1},
		{"held up again and again, owner refuses", []int{400, 800, 1200, 1600, 2000, 2400, 2800, 3200, 3600, 4000}, nil, 400, []span{{0, 4000, 400}}, 2400},
		{"held up for long, owner silent", []int{400, 800, 1200, 1600, 2000, 2400, 2800, 3200, 3600, 4000, 4400, 4800, 5200, 5600, 6000, 6400, 6800, 7200, 7600, 8000}, nil, 0, []span{{0, 8000, 400}}, 7600},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			d := claimer(start)
			answer := func(names []string, times []int, ms int) {
				for _, at := range times {
					for _, name := range names {
						if p := d.peers[name]; at <= ms && start.Add(time.Duration(at)*time.Millisecond).After(p.answeredAt) {
							p.answeredAt, p.firstExcusedAt = start.Add(time.Duration(at)*time.Millisecond), time.Time{}
						}
					}
				}
			}
			got := -1
			for _, s := range tt.ticks {
				for ms := s.from; ms <= s.to && got < 0; ms += s.every {
					answer([]string{"p1", "p2", "p3"}, tt.answers, ms)
					answer([]string{"p0"}, tt.p0, ms)
					if tt.refused > 0 && ms >= tt.refused {
						d.peers["p0"].refusedConnections = 2
					}
					if due, _ := d.claimTick(start.Add(time.Duration(ms) * time.Millisecond)); len(due) > 0 {
						if got = ms; !slices.Equal(due, []string{"p0"}) {
							t.Errorf("claims %v at %d ms, want p0 alone", due, ms)
						}
					}
				}
			}
			if got != tt.want {
				t.Errorf("first claim at %d ms, want %d", got, tt.want)
			}
		})
	}
}

// A heartbeat counts as unchanged only between reads that were answered: an owner whose row
// was read once, while further reads failed or were under way, lost its pool (inc-57a4).
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
					b.record(r.version, at(r.began), at(r.ended))
				}
			}
			if got := b.unchangedFor(); got != time.Duration(tt.want)*time.Millisecond {
				t.Errorf("unchanged for %v, want %d ms", got, tt.want)
			}
		})
	}
}
