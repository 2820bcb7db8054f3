package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a promise that a release of an earlier round voids, since a request of a still
// earlier round arrived last and replaced it.
func TestLateRequestDoesNotReplaceAPromise(t *testing.T) {
	now := time.Now()
	d := claimer(now)
	d.storeFailing.Store(true)
	pools := map[string]uint64{"p0": 1}
	d.vouch(VouchArgs{Node: "p0", Life: "p0", Round: 9, Pools: pools}, now)
	d.vouch(VouchArgs{Node: "p0", Life: "p0", Round: 5, Pools: pools}, now)
	d.release(TakeArgs{Pool: "p0", Life: "p0", Round: 8})
	if !d.promised("p0", now) {
		t.Error("the promise of round 9, on which the owner counts, was released with round 8")
	}
}

// Guards against a promise that is voided since the last answer of the owner's node is still that
// of its earlier life.
func TestPromiseToANewerLifeThanTheLastAnswer(t *testing.T) {
	now := time.Now()
	d := claimer(now)
	d.storeFailing.Store(true)
	d.ownerships["p0"] = pool.Ownership{Pool: "p0", Token: 2, Version: 20, Owner: pool.Identity{Node: "p0", Life: "next"}}
	d.peers["p0"].rowLife, d.peers["p0"].rowVersion = "next", 19
	d.vouch(VouchArgs{Node: "p0", Life: "next", Round: 1, Pools: map[string]uint64{"p0": 2}}, now)
	if !d.promised("p0", now) {
		t.Error("the promise to the life that owns the pool does not hold")
	}
}

// Guards against the presumption of an owner that has offered its pool to a process which it takes
// for one that has left.
func TestOfferToADepartedProcessEndsThePresumption(t *testing.T) {
	d := claimer(time.Now())
	d.membersRead = true
	for node := range d.peers {
		d.voucher(node).until["p"] = time.Now().Add(time.Minute)
	}
	d.peers["p3"].departed, d.peers["p3"].rowVersion = true, 7 // it answers, and registers again
	d.withdraw("p3", "p")
	offeredAt := time.Now()
	time.Sleep(time.Millisecond)
	if until := d.notClaimedUntil("p", 7, time.Time{}); until.After(offeredAt) {
		t.Errorf("not claimed until %v after the offer, want no time after it", until.Sub(offeredAt))
	}
}

// Guards against a process that vouches for an owner, or promises, while its own claim of the pool,
// which was not answered, may still take effect.
func TestNoVouchAfterAClaimWithoutAnAnswer(t *testing.T) {
	var claims atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/api/rows-tx") {
			_, _ = io.Copy(io.Discard, r.Body)
			claims.Add(1)
		}
		<-r.Context().Done() // no answer
	}))
	defer store.Close()
	now := time.Now()
	d := claimer(now)
	d.store = platform.NewStore(platform.StoreSettings{Addr: netip.MustParseAddrPort(store.Listener.Addr().String())})
	if err := d.claim(context.Background(), vacancy{"p0", 1, causeEnded}); err == nil || claims.Load() != 1 {
		t.Fatalf("claim: %v, %d sent, want one without an answer", err, claims.Load())
	}
	d.storeFailing.Store(true)
	reply := d.vouch(VouchArgs{Node: "p0", Life: "p0", Round: 1, Pools: map[string]uint64{"p0": 1}}, time.Now())
	if len(reply.Pools) > 0 {
		t.Errorf("vouches for %v and promises %v beside its claim", reply.Pools, reply.Promise)
	}
}

// Guards against a claim that takes a pool from a later owner than the one that was found to have
// ended, or that offered the pool.
func TestClaimIsOfTheOwnershipThatWasJudged(t *testing.T) {
	d := claimer(time.Now())
	d.peers["p0"].life = "next" // the owner of p0 has ended
	due, _ := d.claimTick(time.Now())
	if len(due) != 1 || due[0].cause != causeEnded {
		t.Fatalf("due %v, want p0", due)
	}
	var body atomic.Value
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/api/rows-tx") {
			data, _ := io.ReadAll(r.Body)
			body.Store(string(data))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer store.Close()
	d.store = platform.NewStore(platform.StoreSettings{Addr: netip.MustParseAddrPort(store.Listener.Addr().String())})
	d.applyOwnership(pool.Ownership{Pool: "p0", Token: 2, Version: 77, Owner: pool.Identity{Node: "p1", Life: "p1"}})
	_ = d.claim(t.Context(), due[0]) // its goroutine runs after a pause
	if sent, _ := body.Load().(string); strings.Contains(sent, "77") {
		t.Errorf("claimed from p1, which answers: %s", sent)
	}
}

// Guards against a pool that nobody can claim: its owner and all processes that the owner knew are
// gone for good, and may be out of reach as well.
func TestPoolOfLostProcessesCanBeClaimed(t *testing.T) {
	start := time.Now()
	for _, tt := range []struct {
		standstill time.Duration
		want       bool
	}{{pool.MaxPresumption, false}, {pool.MaxPresumption * 11 / 10, true}} {
		d := claimer(start)
		clear(d.peers)
		for _, name := range []string{"p0", "p1", "p2", "p3"} {
			d.peers[name] = &peer{node: name, life: name, answeredAt: start, departed: true, rowVersion: 40}
		}
		d.membersVersion, d.firstVersion = 40, 30
		d.heartbeats["p0"] = &heartbeat{version: 1, members: 20, foundAt: start, confirmedAt: start.Add(tt.standstill)}
		claimed := false
		for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
			due, _ := d.claimTick(start.Add(tt.standstill + at))
			claimed = claimed || slices.ContainsFunc(due, func(v vacancy) bool { return v.pool == "p0" })
		}
		if claimed != tt.want {
			t.Errorf("after a standstill of %v: claimed %v, want %v", tt.standstill, claimed, tt.want)
		}
	}
}
