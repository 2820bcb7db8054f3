package daemon

import (
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// Guards against a promise that is voided by a probe that timed out, since connections to an earlier
// life of the owner's process were refused before the promise.
func TestPromiseToAProcessWhoseEarlierLifeRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // dials succeed, and no call is answered
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	d := claimer(time.Now())
	d.storeFailing.Store(true)
	p := d.peers["p0"]
	p.life, p.refusedConnections = "earlier", 2
	p.link = wire.NewPeer(netip.MustParseAddrPort(listener.Addr().String()), wire.ProbedTiming(), nil)
	defer p.link.Close()
	d.ownerships["p0"] = pool.Ownership{Pool: "p0", Token: 2, Version: 20, Owner: pool.Identity{Node: "p0", Life: "next"}}
	p.rowLife, p.rowVersion = "next", 19
	d.vouch(VouchArgs{Node: "p0", Life: "next", Round: 1, Pools: map[string]uint64{"p0": 2}}, time.Now())
	time.Sleep(50 * time.Millisecond)
	d.ping(t.Context(), p, Status{})
	if !d.promised("p0", time.Now()) {
		t.Error("a probe without an answer voided the promise")
	}
}

// Guards against a claim from an owner that is taken for ended, since its row in the table of processes
// has not come and the last answer was that of an earlier life.
func TestAnswerOfAnEarlierLifeWithoutTheLaterRow(t *testing.T) {
	now := time.Now()
	d := claimer(now)
	p := d.peers["p0"]
	p.life, p.rowLife, p.rowVersion = "earlier", "earlier", 10
	own := pool.Ownership{Pool: "p0", Token: 2, Version: 20, Owner: pool.Identity{Node: "p0", Life: "next"}}
	if d.ownerDead(own, now) {
		t.Error("the life that owns the pool is taken for ended")
	}
}

// replacedOwner answers that it does not act, after another request to vouch has been handled.
type replacedOwner struct{ claimAgain func() }

func (o *replacedOwner) Acts(_ ActsArgs, _ *bool) error {
	o.claimAgain()
	return nil
}

// Guards against a promise that is voided by an owner's answer from before it claimed the pool again
// and was promised anew.
func TestLateAnswerOfAReplacedOwnerDoesNotVoidALaterPromise(t *testing.T) {
	d := claimer(time.Now())
	d.storeFailing.Store(true)
	ask := func(round, token uint64) {
		d.vouch(VouchArgs{Node: "p0", Life: "p0", Round: round, Pools: map[string]uint64{"p0": token}}, time.Now())
	}
	ask(1, 1)
	d.ownerships["p0"] = pool.Ownership{Pool: "p0", Token: 2, Owner: pool.Identity{Node: "p1", Life: "p1"}}
	answered := make(chan struct{})
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &replacedOwner{func() { ask(2, 3); close(answered) }}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go server.Accept(listener)
	p := d.peers["p0"]
	p.link = wire.NewPeer(netip.MustParseAddrPort(listener.Addr().String()), wire.ProbedTiming(), nil)
	defer p.link.Close()
	d.askPromised(t.Context(), time.Now())
	<-answered
	time.Sleep(300 * time.Millisecond) // the answer is handled
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.promised("p0", time.Now()) {
		t.Error("the promise of round 2, on which the owner counts, was voided")
	}
}
