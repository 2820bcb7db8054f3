package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/gossip"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

// inLargeFleet adds peers that own nothing and are known by reports only to a process that
// claimer returned.
func inLargeFleet(d *Daemon, n int) *Daemon {
	d.joined = true
	for node := range d.peers {
		d.view.Register(node, 1)
	}
	for i := range n {
		node := fmt.Sprintf("other-%d", i)
		d.view.Register(node, 1)
		d.view.Apply([]gossip.Update{{Node: node, Incarnation: 1, Sequence: 1}}) // not ready
		p := &peer{node: node, rowLife: node, rowVersion: 1, reported: true}
		p.report(d.view, time.Now())
		d.peers[node] = p
	}
	return d
}

// The takeover of an owner that a process watches takes as long in a large fleet as in a
// small one: 1.5 s after it was killed, 3 s after it was frozen, and a busy one keeps its pool.
func TestWatchedOwnerInALargeFleet(t *testing.T) {
	onTime := []span{{0, 9000, 50}}
	answers := span{200, 9000, 200}
	for _, tt := range []struct {
		name  string
		in    story
		most  int // ms; -1 if the owner keeps its pool
		cause claimCause
	}{
		{"killed", story{ticks: onTime, others: answers, refused: 400}, 400 + 1500, causeRefused},
		{"frozen", story{ticks: onTime, others: answers}, 3000, causeStandstill},
		{"restarted", story{ticks: onTime, others: answers, newLife: 300, owner: span{400, 9000, 200}}, 300 + 1500, causeEnded},
		{"silent for 2.5 s, writes", story{ticks: onTime, others: answers, owner: span{2500, 9000, 200}, writes: span{100, 9000, 550}}, -1, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, cause := tt.in.play(t, inLargeFleet(claimer(time.Now()), 143))
			if (got == -1) != (tt.most == -1) || got > tt.most || cause != tt.cause {
				t.Errorf("first claim at %d ms (%s), want at most %d (%s)", got, cause, tt.most, tt.cause)
			}
		})
	}
}

// A pool is not claimed because others say that its owner has failed: the process then probes
// the owner itself, and claims if that shows the failure, too.
func TestReportedFailureIsVerified(t *testing.T) {
	for _, tt := range []struct {
		name    string
		refuses bool
		want    bool
	}{{"the report is true", true, true}, {"the report is false", false, false}} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			d := inLargeFleet(claimer(start), 40)
			owner := d.peers["p0"]
			owner.probeAlways(false, d.view, start)
			owner.rowLife, owner.life = "p0", "p0"
			d.view.Fail("p0")
			d.reportChanged("p0")
			claimed := false
			for ms := 0; ms < 5000; ms += 50 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for _, node := range []string{"p1", "p2", "p3"} {
					d.peers[node].answeredAt, d.peers[node].probedAt, d.peers[node].answered = now, now, true
				}
				if !owner.reported && tt.refuses {
					owner.refusedConnections++
				} else if !owner.reported {
					owner.answeredAt, owner.life = now, "p0"
				}
				due, _ := d.claimTick(now)
				if owner.reported && len(due) > 0 {
					t.Fatalf("claimed %v by reports alone", due)
				}
				claimed = claimed || len(due) > 0
				if watched := d.ownersToWatch(now); ms == 50 {
					if !slices.Contains(watched, "p0") {
						t.Fatalf("watches %v, want p0 among them", watched)
					}
					owner.probeAlways(true, d.view, now)
				}
			}
			if claimed != tt.want {
				t.Errorf("claimed: %v, want %v", claimed, tt.want)
			}
		})
	}
}

// The row of a process's next life shows that the owner has ended; the row of an earlier life
// that is still to be replaced does not.
func TestReportedLifeOfAnOwner(t *testing.T) {
	for _, tt := range []struct {
		name       string
		rowVersion uint64
		want       bool
	}{{"started after it had become the owner", 8, true}, {"the row is of the life before", 6, false}} {
		d := inLargeFleet(claimer(time.Now()), 40)
		p := d.peers["other-1"]
		p.rowVersion, p.life = tt.rowVersion, "another"
		own := pool.Ownership{Pool: "p0", Token: 2, Version: 7, Owner: pool.Identity{Node: "other-1", Life: "owner"}}
		if got := d.ownerDead(own, time.Now()); got != tt.want {
			t.Errorf("%s: dead is %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A process that was cut off alone does not count itself to the majority, though nobody can
// tell it any more that it reaches nobody.
func TestProcessCutOffAloneHasNoMajority(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name     string
		answered int // of ten probes
		want     bool
	}{{"none answers", 0, false}, {"three answer", 3, false}, {"seven answer", 7, true}} {
		d := inLargeFleet(claimer(now), 140)
		for i := range 10 {
			p := d.peers[fmt.Sprintf("other-%d", i)]
			p.probedAt, p.answered = now, i < tt.answered
		}
		if got := d.majority(now); got != tt.want {
			t.Errorf("%s: majority is %v, want %v", tt.name, got, tt.want)
		}
	}
}

// The probes of a period don't grow with the fleet.
func TestProbesInAPeriod(t *testing.T) {
	want := map[int]int{8: 7, 9: 8, 44: 3, 147: 3, 1000: 3}
	for n, most := range want {
		logger, _ := ownerOf()
		d := New(platform.Settings{Node: "entry-0"}, logger.log)
		for i := range n {
			row := fmt.Sprintf(`{"addr":"127.0.0.1:1","life":"life-%d"}`, i)
			d.applyMemberRow(platform.Row{Table: tableMember, Key: fmt.Sprintf("entry-%d", i), Value: []byte(row), Version: uint64(i + 1)})
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // no probe is sent
		d.probeTick(ctx, time.Now())
		d.mu.Lock()
		probes := 0
		for _, p := range d.peers {
			if p.pinging || !p.probedAt.IsZero() {
				probes++
			}
		}
		d.mu.Unlock()
		if probes != most {
			t.Errorf("%d processes: %d probes in a period, want %d", n, probes, most)
		}
		for _, p := range d.peers {
			p.link.Close()
		}
	}
}

// An oversized message costs the sender the rest of its news, and the process nothing.
func TestOversizedNews(t *testing.T) {
	d := inLargeFleet(claimer(time.Now()), 100)
	var news []gossip.Update
	for i := range 100 {
		news = append(news, gossip.Update{Node: fmt.Sprintf("other-%d", i), Incarnation: 1, Sequence: 2, Failed: true})
	}
	d.applyNews(Status{Node: "p1", News: news})
	n, alive := d.view.Len()
	if failed := n - alive; failed != maxNewsAccepted {
		t.Errorf("%d of 100 updates were taken in, want %d", failed, maxNewsAccepted)
	}
}

// A process that needs the workers no more forgets them, and reads them anew before it claims
// a pool: what it had read before may have changed.
func TestWorkersAreForgotten(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name string
		in   func(d *Daemon)
		want bool // they are forgotten
	}{
		{"not needed", func(*Daemon) {}, true},
		{"an owner runs", func(d *Daemon) { d.owners["p1"] = nil }, false},
		{"a claim is under way", func(d *Daemon) { d.claiming["p1"] = true }, false},
		{"needed a moment ago", func(d *Daemon) { d.needWorkers(now.Add(-time.Second)) }, false},
		{"needed long ago", func(d *Daemon) { d.needWorkers(now.Add(-time.Minute)) }, true},
	} {
		d, _ := ownerOf()
		d.workersRead = true
		d.workers["w1"] = platform.WorkerEntry{}
		tt.in(d)
		if got := d.dropWorkers(now); got != tt.want || d.workersRead == tt.want || (len(d.workers) == 0) != tt.want {
			t.Errorf("%s: forgotten %v (known %v, %d workers), want %v", tt.name, got, d.workersRead, len(d.workers), tt.want)
		}
	}
}

// A pool is claimed only by a process that knows its workers.
func TestClaimWaitsForTheWorkers(t *testing.T) {
	d, _ := ownerOf()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := d.awaitWorkers(ctx); err == nil {
		t.Error("a claim goes on without the workers")
	}
	d.workersRead = true
	if err := d.awaitWorkers(t.Context()); err != nil {
		t.Error(err)
	}
}

// Calls to a process that is not registered are refused.
func TestProbeOfAnUnknownProcess(t *testing.T) {
	d, _ := ownerOf()
	var reached bool
	if err := (&peerService{d}).Probe("stranger", &reached); err == nil || reached {
		t.Errorf("reached %v, error %v", reached, err)
	}
}

// A silent process is reported as failed only if another one does not reach it either.
func TestSilentProcessIsReportedAfterAnIndirectProbe(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name string
		in   func(p *peer)
		want bool // it is reported as failed
	}{
		{"answers", func(p *peer) { p.answeredAt = now }, false},
		{"refuses", func(p *peer) { p.refusedConnections = 2 }, true},
		{"silent, nobody asked", func(*peer) {}, false},
		{"silent, nobody reaches it", func(p *peer) { p.unreachedAt = now }, true},
		{"silent, reached by another one since", func(p *peer) { p.unreachedAt, p.reachedAt = now.Add(-time.Second), now }, false},
		{"silent, not reached before its last answer", func(p *peer) { p.unreachedAt = now.Add(-4 * time.Second) }, false},
	} {
		d := inLargeFleet(claimer(now.Add(-2*time.Second)), 40)
		p := d.peers["p0"]
		p.relaying = true // as if others were being asked
		p.link = wire.NewPeer(netip.MustParseAddrPort("127.0.0.1:1"), wire.ProbedTiming(), nil)
		tt.in(p)
		d.judge(t.Context(), p, now)
		if got := !d.view.Alive("p0"); got != tt.want {
			t.Errorf("%s: reported as failed: %v, want %v", tt.name, got, tt.want)
		}
		p.link.Close()
	}
}

// An owner collects garbage less often, and a process that owns nothing any more as before.
func TestGarbageCollectionOfOwners(t *testing.T) {
	d, _ := ownerOf()
	var got []int
	d.setGCPercent = func(percent int) int { got = append(got, percent); return 0 }
	d.owners["p1"] = nil
	d.tuneGC()
	delete(d.owners, "p1")
	d.tuneGC()
	if want := []int{ownerGCPercent, gcPercent}; !slices.Equal(got, want) {
		t.Errorf("set to %v, want %v", got, want)
	}
}
