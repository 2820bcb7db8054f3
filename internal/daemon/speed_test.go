package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/upkeep"
)

func speedOf(samples ...time.Duration) speedometer {
	var s speedometer
	for range 20 { // two seconds at the usual speed
		s.record(20 * time.Microsecond)
	}
	for _, took := range samples {
		s.record(took)
	}
	return s
}

func TestSpeedometer(t *testing.T) {
	const us = time.Microsecond
	for _, tt := range []struct {
		name    string
		samples []time.Duration
		want    float64
	}{
		{"the usual speed", []time.Duration{20 * us, 25 * us, 19 * us, 22 * us, 30 * us}, 1},
		{"a computation takes six times as long", []time.Duration{120 * us, 125 * us, 122 * us, 120 * us, 130 * us}, 1.0 / 6},
		{"all but one are interrupted", []time.Duration{5000 * us, 21 * us, 900 * us, 300 * us, 80 * us}, 1},
		{"one is too short", []time.Duration{2 * us, 20 * us, 20 * us, 20 * us, 20 * us, 20 * us, 20 * us}, 1},
		{"slow, and the usual speed again", []time.Duration{120 * us, 120 * us, 120 * us, 120 * us, 120 * us, 20 * us}, 1},
	} {
		s := speedOf(tt.samples...)
		if have := s.share(); have != tt.want {
			t.Errorf("%s: share %v, want %v", tt.name, have, tt.want)
		}
	}
	var still speedometer // a clock that stands still measures nothing
	for range 20 {
		still.record(0)
	}
	if share := still.share(); share != 1 {
		t.Errorf("share %v by a clock that stands still, want 1", share)
	}
}

// slowOwner returns a process that has owned p0 for some seconds, and could hand it over to
// processes with as much processor time and no pool.
func slowOwner(now time.Time) *Daemon {
	d := claimer(now)
	d.settings.Limits.Processor = 0.8
	own := pool.Ownership{Pool: "p0", Token: 2, Owner: d.self}
	clear(d.ownerships)
	d.ownerships["p0"] = own
	d.owners["p0"] = pool.New(context.Background(), own, pool.Settings{Log: d.log})
	for _, p := range d.peers {
		p.processor = 0.8
	}
	return d
}

// A host that became six times slower kept a pool through a load peak, as it went on writing to
// the store.
func TestSlowHostGivesItsPoolsAway(t *testing.T) {
	now := time.Now().Add(minOwnership + time.Second)
	d := slowOwner(now)
	if m, found := d.misplacedPool(now); found {
		t.Fatalf("at the usual speed %s moves to %s, want none", m.own.Pool, m.node)
	}
	slow := 120 * time.Microsecond
	d.speed = speedOf(slow, slow, slow, slow, slow)
	m, found := d.misplacedPool(now)
	if !found || m.own.Pool != "p0" || m.owner != d.owners["p0"] {
		t.Fatalf("moves %+v (%v), want p0", m, found)
	}
	if share := d.status().Processor / 0.8; share > 0.2 {
		t.Errorf("a slow host reports %v of its processor time, want a sixth", share)
	}
	other := claimer(now)
	other.settings.Limits.Processor = 0.8
	delete(other.ownerships, fleetName)
	args := TakeArgs{Pool: "p0", Token: 2, Processor: m.processor}
	if !other.accepts(args) {
		t.Error("a process at the usual speed declines the pool")
	}
	other.speed = speedOf(slow, slow, slow, slow, slow)
	if other.accepts(args) {
		t.Error("a process that is as slow accepts the pool")
	}
	d.recordDecline(m.node, now)
	if next, _ := d.misplacedPool(now); next.node == m.node {
		t.Errorf("the pool is offered again to %s, which has just declined it", m.node)
	}
}

// The holder of the fleet owned the pool with the load peak as well, and hosts came late to
// all pools.
func TestHolderOfTheFleetLeavesAPoolAlone(t *testing.T) {
	now := time.Now().Add(minOwnership + time.Second)
	d := slowOwner(now)
	d.keeper = &upkeep.Keeper{}
	if _, found := d.misplacedPool(now); found {
		t.Error("the holder of the fleet moves it though it owns nothing else")
	}
	d.ownerships[fleetName] = pool.Ownership{Pool: fleetName, Token: 1, Owner: d.self}
	m, found := d.misplacedPool(now)
	if !found || m.own.Pool != fleetName || m.owner != nil {
		t.Errorf("moves %+v (%v), want the fleet", m, found)
	}
}
