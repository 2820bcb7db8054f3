package daemon

import (
	"context"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// What a process tells the owners of pools that can't reach the store, and what it promises them.
// What they make of it is in presume.go.

const (
	// promiseTime is for how long a process without the store promises not to claim a pool. It
	// outlasts a freeze of the process, and delays the claim if the owner is lost silently.
	promiseTime = 8 * time.Second
	// maxPromiseDrift is by how much the clocks of two processes may differ in rate.
	maxPromiseDrift = 0.03

	// storeCheckTime is how old the store's last answer may be for a process to be sure that it
	// reaches the store, and how long it waits for another one.
	storeCheckTime = 300 * time.Millisecond
)

// VouchArgs asks a process to vouch for the owner of pools.
type VouchArgs struct {
	Node, Life string
	Round      uint64            // rises with each request of this life
	Pools      map[string]uint64 // fencing tokens of the ownerships
}

// VouchReply names the pools that the process has not claimed, as of its answer.
type VouchReply struct {
	Pools   []string
	Promise time.Duration    // for which it will not claim them unless their owner ends or hands them over
	Age     time.Duration    // since this life began; it has claimed none of them since then
	Later   []pool.Ownership // of the other pools, as far as they are known
}

// Vouch answers the owner of pools.
func (s *peerService) Vouch(args VouchArgs, reply *VouchReply) error {
	s.d.checkStore()
	*reply = s.d.vouch(args, time.Now())
	return nil
}

// checkStore finds out whether this process reaches the store, as an idle feed answers only every
// feedWait. All requests that wait share one call.
func (d *Daemon) checkStore() {
	if d.storeFailing.Load() || time.Since(time.UnixMilli(d.storeAnsweredAt.Load())) < storeCheckTime {
		return
	}
	_, _, _ = d.storeCheck.Do("", func() (any, error) { // the outcome is recorded
		ctx, cancel := context.WithTimeout(context.Background(), storeCheckTime)
		defer cancel()
		if _, err := d.store.ReadRow(ctx, tableMember, "", d.self.Node); err != nil {
			d.recordStoreFailure()
		} else {
			d.recordStoreAnswer()
		}
		return nil, nil
	})
}

// promiseKey identifies a promise: the pool, and the life of the owner to which it was made.
type promiseKey struct{ pool, life string }

// promise binds this process not to claim a pool.
type promise struct {
	node    string
	round   uint64
	madeAt  time.Time
	until   time.Time
	askedAt time.Time // when the owner was last asked whether it still acts
}

// vouch vouches for the owner of pools. A process that reaches the store promises nothing: it is
// to take the pools over.
func (d *Daemon) vouch(args VouchArgs, now time.Time) VouchReply {
	reply := VouchReply{Age: now.Sub(d.startedAt)}
	if !d.storeReachable() {
		reply.Promise = promiseTime
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, token := range args.Pools {
		switch own := d.ownerships[name]; {
		case own.Token > token:
			reply.Later = append(reply.Later, own)
		case d.claiming[name], d.unanswered[name] > max(own.Token, token):
		default:
			reply.Pools = append(reply.Pools, name)
			if reply.Promise > 0 {
				d.promise(promiseKey{name, args.Life}, args, now)
			}
		}
	}
	return reply
}

// promise makes or prolongs a promise. A request that comes late does not replace a later one. The
// caller holds d.mu.
func (d *Daemon) promise(key promiseKey, args VouchArgs, now time.Time) {
	made := d.promises[key]
	if made == nil {
		made = &promise{node: args.Node}
		d.promises[key] = made
	}
	made.round, made.madeAt, made.until = max(made.round, args.Round), now, now.Add(promiseTime)
}

// promised reports whether this process has promised not to claim a pool. The caller holds d.mu.
func (d *Daemon) promised(name string, now time.Time) bool {
	found := false
	for key, made := range d.promises {
		switch {
		case !now.Before(made.until), d.hasEnded(key.life, made):
			delete(d.promises, key)
		case key.pool == name:
			found = true
		}
	}
	return found
}

// hasEnded reports whether the life to which a promise was made has certainly ended, by a probe that
// began after the promise. The caller holds d.mu.
func (d *Daemon) hasEnded(life string, made *promise) bool {
	p := d.peers[made.node]
	return p != nil && !p.reported && p.probedAt.Sub(made.madeAt) > pingTimeout && (p.refuses() || p.answered && p.life != life)
}

// askPromised asks the processes to which this one has promised not to claim pools that have later
// owners whether they still act: the store may have shown it to them.
func (d *Daemon) askPromised(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, made := range d.promises {
		p := d.peers[made.node]
		if d.ownerships[key.pool].Owner.Life == key.life || p == nil || now.Sub(made.askedAt) < vouchRetryPeriod {
			continue
		}
		made.askedAt = now
		round := made.round
		go func() {
			ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
			defer cancel()
			var acts bool
			if err := p.link.Call(ctx, "Peer.Acts", ActsArgs{Life: key.life, Pool: key.pool}, &acts); err != nil || acts {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.promises[key] == made && made.round == round {
				delete(d.promises, key)
			}
		}()
	}
}

// ActsArgs names a pool and a life of the process that is asked.
type ActsArgs struct{ Life, Pool string }

// Acts reports whether that life still runs and acts as the owner of a pool. If it does not, it
// counts on no promise made so far, should it claim the pool again.
func (s *peerService) Acts(args ActsArgs, reply *bool) error {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	*reply = args.Life == s.d.self.Life && s.d.owners[args.Pool] != nil
	if !*reply {
		for _, v := range s.d.vouchers {
			v.drop(args.Pool, s.d.vouchRound)
		}
	}
	return nil
}

// release voids the promise of which the owner says that it does not count on it any more.
func (d *Daemon) release(args TakeArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := promiseKey{args.Pool, args.Life}
	if p, found := d.promises[key]; found && p.round <= args.Round {
		delete(d.promises, key)
	}
}
