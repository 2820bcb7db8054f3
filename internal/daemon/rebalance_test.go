package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// Guards against pools that stay at hosts which are too small for them, and against pools
// that go to and fro between hosts of about the same size.
func TestBetterOwner(t *testing.T) {
	for _, tt := range []struct {
		name   string
		self   candidate
		others []candidate
		want   string
	}{
		{"a larger host without pools", candidate{"a", 1, 0.192}, []candidate{{"b", 0, 0.192}, {"c", 0, 0.8}}, "c"},
		{"a larger host with a pool", candidate{"a", 1, 0.192}, []candidate{{"b", 1, 0.8}}, "b"},
		{"a larger host with many pools", candidate{"a", 1, 0.192}, []candidate{{"b", 2, 0.8}}, ""},
		{"the least loaded of two", candidate{"a", 1, 0.192}, []candidate{{"b", 1, 0.8}, {"c", 0, 0.8}}, "c"},
		{"equal hosts, one pool", candidate{"a", 1, 0.4}, []candidate{{"b", 0, 0.4}}, ""},
		{"equal hosts, two pools", candidate{"a", 2, 0.4}, []candidate{{"b", 0, 0.4}}, ""},
		{"equal hosts, three pools", candidate{"a", 3, 0.4}, []candidate{{"b", 0, 0.4}}, "b"},
		{"sizes are not known", candidate{"a", 3, 0}, []candidate{{"b", 0, 0}}, ""},
		{"the other's size is not known", candidate{"a", 3, 0.4}, []candidate{{"b", 0, 0}}, ""},
	} {
		if have, _ := betterOwner("p", tt.self, tt.others, rebalanceFactor); have != tt.want {
			t.Errorf("%s: moves to %q, want %q", tt.name, have, tt.want)
		}
	}
}

// Two slow hosts handed their pools over at the same moment, both to the same process.
func TestPoolsThatMoveAtTheSameTimeSpread(t *testing.T) {
	var others []candidate
	for i := range 10 {
		others = append(others, candidate{fmt.Sprintf("n%d", i), 0, 0.8})
	}
	chosen := map[string]int{}
	for i := range 20 {
		node, found := betterOwner(fmt.Sprintf("p%d", i), candidate{"self", 1, 0.1}, others, rebalanceFactor)
		if !found {
			t.Fatal("a pool stays at a host with an eighth of the processor time")
		}
		chosen[node]++
	}
	if len(chosen) < 5 {
		t.Errorf("20 pools move to %d of 10 equal processes: %v", len(chosen), chosen)
	}
}

// Guards against a process that has just started and claims pools before it knows which
// larger hosts have started with it.
func TestStartingProcessWaitsForItsPeers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		known bool // all peers have answered
		since time.Duration
		want  int // pools claimed
	}{
		{"a peer has not answered", false, firstClaimDelay / 2, 0},
		{"a peer does not answer for long", false, firstClaimDelay, 1},
		{"all peers have answered", true, firstClaimDelay / 2, 1},
	} {
		now := time.Now()
		d := claimer(now)
		d.startedAt = now.Add(-tt.since)
		d.ownerships["p0"] = pool.Ownership{Pool: "p0", Token: 1, Owner: pool.Identity{Node: "self", Life: "earlier"}}
		d.vacantSince["p0"] = now.Add(-time.Minute)
		if !tt.known {
			d.peers["new"] = &peer{node: "new"}
		}
		if due, _ := d.claimable(now); len(due) != tt.want {
			t.Errorf("%s: claims %v, want %d pools", tt.name, due, tt.want)
		}
	}
}
