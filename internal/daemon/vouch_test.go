package daemon

import (
	"math"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// Guards against an owner that goes on without the store while a process that it does not hear of
// claims its pool.
func TestOwnershipIsPresumedUpToTheLeastVoucher(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name    string
		vouches map[string]time.Duration // until when, from now, by node; the others say nothing
		left    string
		members uint64
		ended   map[string]time.Duration
		unread  bool
		alone   bool
		want    time.Duration // from now; -1 for never
	}{
		{name: "all vouch", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second, "p2": time.Second, "p3": time.Second}, want: 0},
		{name: "no other process", alone: true, want: 0},
		{name: "one is silent", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second, "p2": time.Second}, want: -1},
		{name: "one has fallen silent", vouches: map[string]time.Duration{"p0": time.Second, "p1": -3 * time.Second, "p2": time.Second, "p3": time.Second}, want: -3 * time.Second},
		{name: "half are silent", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second}, want: -1},
		{name: "one has ended", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second, "p2": time.Second}, ended: map[string]time.Duration{"p3": -time.Second}, want: -time.Second},
		{name: "one has left", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second, "p2": time.Second}, left: "p3", members: 7, want: 0},
		{name: "one has left, which the store does not show to know", vouches: map[string]time.Duration{"p0": time.Second, "p1": time.Second, "p2": time.Second}, left: "p3", members: 6, want: -1},
		{name: "the others are not known yet", unread: true, want: -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := claimer(now)
			d.membersRead = !tt.unread
			if tt.alone {
				clear(d.peers)
			}
			for node, until := range tt.vouches {
				d.voucher(node).until["p"] = now.Add(until)
			}
			for node, at := range tt.ended {
				d.voucher(node).recordEnd("p", now.Add(at), now.Add(at), now.Add(at))
			}
			if tt.left != "" {
				d.peers[tt.left].departed, d.peers[tt.left].rowVersion = true, 7
			}
			have := d.notClaimedUntil("p", tt.members, time.Time{})
			switch {
			case tt.want < 0 && tt.want == -1 && !have.IsZero(), tt.want < -1 && !have.Equal(now.Add(tt.want)):
				t.Errorf("not claimed until %v from now, want %v", have.Sub(now), tt.want)
			case tt.want == 0 && (have.Before(now) || have.After(time.Now())):
				t.Errorf("not claimed until %v from now, want now", have.Sub(now))
			}
		})
	}
}

// Guards against a process that claims a pool for whose owner it has vouched.
func TestVoucherKeepsItsPromise(t *testing.T) {
	start := time.Now()
	args := VouchArgs{Node: "p0", Life: "p0", Round: 3, Pools: map[string]uint64{"p0": 1}}
	for _, tt := range []struct {
		name     string
		reaches  bool // the store, when it vouches
		before   func(d *Daemon)
		vouches  bool
		promised bool
		firstAt  int // ms of the first claim of p0, whose owner is silent from the start
	}{
		{name: "not asked", before: func(d *Daemon) { clear(d.promises) }, vouches: true, promised: true, firstAt: 1700},
		{name: "without the store", vouches: true, promised: true, firstAt: 8000},
		{name: "with the store", reaches: true, vouches: true, firstAt: 1700},
		{name: "no process listens at the owner's address", before: func(d *Daemon) { d.peers["p0"].refusedConnections, d.peers["p0"].probedAt = 2, start.Add(time.Second) }, vouches: true, promised: true, firstAt: 0},
		{name: "the owner has ended", before: func(d *Daemon) {
			d.peers["p0"].life, d.peers["p0"].answered, d.peers["p0"].probedAt = "next", true, start.Add(time.Second)
		}, vouches: true, promised: true, firstAt: 0},
		{name: "released", before: func(d *Daemon) { d.release(TakeArgs{Pool: "p0", Life: "p0", Round: 3}) }, vouches: true, promised: true, firstAt: 1700},
		{name: "released before", before: func(d *Daemon) { d.release(TakeArgs{Pool: "p0", Life: "p0", Round: 2}) }, vouches: true, promised: true, firstAt: 8000},
		{name: "another owner's release", before: func(d *Daemon) { d.release(TakeArgs{Pool: "p0", Life: "p1", Round: 3}) }, vouches: true, promised: true, firstAt: 8000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := claimer(start)
			d.storeFailing.Store(!tt.reaches)
			reply := d.vouch(args, start)
			d.storeFailing.Store(false)
			if have := len(reply.Pools) == 1; have != tt.vouches || reply.Promise > 0 != tt.promised {
				t.Errorf("vouches %v, promises %v", have, reply.Promise)
			}
			if tt.before != nil {
				tt.before(d)
			}
			if at, _ := (story{ticks: []span{{0, 9950, 50}}, others: span{200, 9950, 200}}).play(t, d); at != tt.firstAt {
				t.Errorf("first claim at %d ms, want %d", at, tt.firstAt)
			}
		})
	}
}

// Guards against a vouch of a process that is claiming the pool, or knows who did.
func TestNoVouchBesideAClaim(t *testing.T) {
	d := claimer(time.Now())
	d.claiming["p0"] = true
	d.ownerships["p1"] = pool.Ownership{Pool: "p1", Token: 5}
	reply := d.vouch(VouchArgs{Node: "p9", Life: "9", Round: 1, Pools: map[string]uint64{"p0": 1, "p1": 4, "p2": 1}}, time.Now())
	if len(reply.Pools) != 1 || reply.Pools[0] != "p2" || len(reply.Later) != 1 || reply.Later[0].Token != 5 {
		t.Errorf("vouches for %v and tells of %v, want p2 and the owner of p1", reply.Pools, reply.Later)
	}
}

// Guards against claims by processes that an owner without the store can't have asked.
func TestClaimsNeedAProcessThatTheOwnerKnows(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name               string
		owner, ours, since uint64 // versions of the table of processes
		startedBefore      time.Duration
		restarted          bool
		want               bool
	}{
		{name: "known", owner: 9, ours: 9, since: 4, startedBefore: time.Minute, want: true},
		{name: "new, the owner has not heard of it", owner: 9, ours: 12, since: 12, startedBefore: time.Minute},
		{name: "taken for one that has left, which it may not have read yet", owner: 9, ours: 8, since: 4, startedBefore: time.Minute},
		{name: "not registered", owner: 9, ours: 9, startedBefore: time.Minute},
		{name: "an owner that tells nothing", ours: 9, since: 4, startedBefore: time.Minute, want: true},
		{name: "it may have promised before it was started again", owner: 9, ours: 9, since: 4, startedBefore: time.Second, restarted: true},
		{name: "started for the first time", owner: 9, ours: 9, since: 4, startedBefore: time.Second, want: true},
	} {
		d := claimer(now)
		d.startedAt, d.restarted = now.Add(-tt.startedBefore), tt.restarted
		d.membersVersion, d.firstVersion = tt.ours, tt.since
		if have := d.mayClaim(tt.owner, nil, now); have != tt.want {
			t.Errorf("%s: may claim %v, want %v", tt.name, have, tt.want)
		}
	}
}

// Guards against an answer that is counted although the owner has released its promise since.
func TestReleasedPromiseDoesNotCount(t *testing.T) {
	d := claimer(time.Now())
	v := d.voucher("p0")
	d.vouchRound = 4
	reply := VouchReply{Promise: promiseTime}
	answer := func(round uint64) { v.record("p", round, reply, time.Now(), time.Now(), time.Now()) }
	answer(4)
	if d.withdraw("p0", "p") != 4 || !v.until["p"].IsZero() {
		t.Error("the promise counts after its release")
	}
	if answer(4); !v.until["p"].IsZero() {
		t.Error("a late answer of a released round counts")
	}
	if answer(5); v.until["p"].IsZero() {
		t.Error("the next answer does not count")
	}
}

// Guards against a pool without an owner for the length of a promise, although the owner to which
// it was made has found in the store that it was replaced.
func TestPromiseToAnOwnerThatWasReplaced(t *testing.T) {
	owner := claimer(time.Now())
	const life = "self-1"
	owner.self.Life = life
	owner.owners["p"] = &pool.Owner{}
	now := time.Now()
	owner.voucher("p0").record("p", 1, VouchReply{Promise: promiseTime}, now, now, now)
	ask := func(life string) (acts bool) {
		if err := (&peerService{owner}).Acts(ActsArgs{Life: life, Pool: "p"}, &acts); err != nil {
			t.Error(err)
		}
		return acts
	}
	if !ask(life) || owner.voucher("p0").until["p"].IsZero() {
		t.Error("an owner that runs does not say so, or gives up what it counts on")
	}
	if ask("self-0") {
		t.Error("a life that has ended acts")
	}
	delete(owner.owners, "p")
	if ask(life) || !owner.voucher("p0").until["p"].IsZero() {
		t.Error("an owner that has ended acts, or counts on a promise that it does not keep up")
	}
}

// Guards against an owner that goes on once its successor has ended: what a process says counts only
// if its earlier lives can't have claimed the pool.
func TestEarlierLivesOfAVoucher(t *testing.T) {
	base := time.Now()
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	vouch := func(v *voucher, sent, age, promise float64) {
		reply := VouchReply{Age: at(age).Sub(base), Promise: at(promise).Sub(base)}
		v.record("p", 1, reply, at(sent), at(sent+0.1), base)
	}
	for _, tt := range []struct {
		name   string
		events func(v *voucher)
		want   float64 // until when the pool is not claimed, in s after the store confirmed the ownership
	}{
		{"the same life", func(v *voucher) { vouch(v, 1, 60, 0); vouch(v, 5, 64, 0) }, 5},
		{"started after the confirmation", func(v *voucher) { vouch(v, 2, 1, 0) }, 0},
		{"ended after it vouched", func(v *voucher) { vouch(v, 1, 60, 0); v.recordEnd("p", at(2), at(2), base) }, 1},
		{"started again after it vouched", func(v *voucher) { vouch(v, 1, 60, 0); vouch(v, 4, 1, 0) }, 1},
		{"ended within its promise", func(v *voucher) { vouch(v, 1, 60, 8); v.recordEnd("p", at(2), at(2), base) }, 8.76},
		{"away for long after it ended within its promise", func(v *voucher) {
			vouch(v, 1, 60, 8)
			for s := 2.0; s < 30; s++ {
				v.recordEnd("p", at(s), at(s), base)
			}
		}, 29},
		{"started again within its promise", func(v *voucher) { vouch(v, 1, 60, 8); vouch(v, 4, 1, 8) }, 11.76},
		{"started again after it was found to have ended", func(v *voucher) {
			vouch(v, 1, 60, 8)
			v.recordEnd("p", at(8), at(8), base)
			vouch(v, 12, 1, 0)
		}, 12},
		{"long unseen after it was found to have ended", func(v *voucher) {
			vouch(v, 1, 60, 8)
			v.recordEnd("p", at(8), at(8), base)
			vouch(v, 17, 1, 0)
		}, 8.76},
	} {
		v := claimer(base).voucher("p0")
		tt.events(v)
		have := 0.0
		if until := v.until["p"]; !until.IsZero() {
			have = until.Sub(base).Seconds()
		}
		if math.Abs(have-tt.want) > 0.001 {
			t.Errorf("%s: not claimed until %.3f s, want %.3f", tt.name, have, tt.want)
		}
	}
}
