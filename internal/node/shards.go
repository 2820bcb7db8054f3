package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/plat"
)

// run carries out rounds until ctx ends: from time to time, and at once when a
// shard seems to have changed hands.
func (k *keys) run(ctx context.Context) error {
	ticker := time.NewTicker(keysEvery)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-k.kick:
			// Members that race for the row try again at different times.
			time.Sleep(kickPause/2 + rand.N(kickPause))
		}
	}
}

// round gives, takes and fetches shards. Without the table service nothing
// changes hands.
func (k *keys) round(ctx context.Context) {
	k.rounds.Lock()
	defer k.rounds.Unlock()
	tenure := k.health.currentTenure()
	if tenure == 0 || k.read(ctx) != nil {
		return
	}
	k.settle(ctx)
	k.move(ctx, tenure)
	k.fetch(ctx, tenure)
}

func (k *keys) read(ctx context.Context) error {
	rows, err := k.table.Read(ctx, []string{sharesKey})
	if err != nil {
		return err
	}
	return k.adopt(rows[0].Version, rows[0].Value)
}

// adopt takes in the row as it was read here or by another member, unless it is
// older than what is known.
func (k *keys) adopt(row uint64, value []byte) error {
	shares, err := once.DecodeShares(value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if row < k.row {
		return nil
	}
	if row > k.row {
		k.limbo = false
	}
	k.shares = shares
	k.row = row
	k.closeForeign()
	return nil
}

// closeForeign stops deciding in the shards of others.
func (k *keys) closeForeign() {
	for shard, d := range k.desks {
		mine := once.Share{Owner: k.roster.self.Incarnation, Epoch: d.epoch}
		if d.open && k.shares[shard] != mine {
			d.open = false
		}
	}
}

// move changes owners in one transaction. A shard that is given away is closed
// before the transaction is sent, and opened again only when nothing can come of
// it any more. A shard is taken only if its owner has still not renewed its lease
// when the transaction takes effect.
func (k *keys) move(ctx context.Context, tenure uint64) {
	candidates := k.roster.candidates()
	prefer := func(shard int) string {
		info, _ := member.Owner(shardObject(shard), candidates)
		return info.Incarnation
	}
	k.mu.Lock()
	before := k.shares
	moves := before.Moves(k.roster.self.Incarnation, prefer, k.roster.gone)
	for _, shard := range moves.Given {
		if d, known := k.desks[shard]; known {
			d.open = false
		}
	}
	checks := []plat.Check{{Key: sharesKey, Version: k.row}}
	idle := len(moves.Given)+len(moves.Taken) == 0 && !k.limbo
	k.mu.Unlock()
	if idle || len(moves.Taken) > 0 && !k.health.holds(tenure, k.margin) {
		return
	}
	err := k.table.Commit(ctx, plat.Txn{
		Checks: append(checks, k.roster.leaseChecks(lastOwners(before, moves.Taken))...),
		Puts:   []plat.Put{{Key: sharesKey, Value: once.EncodeShares(moves.Next)}},
	})
	k.mu.Lock()
	k.limbo = err != nil && !errors.Is(err, plat.ErrConflict)
	k.mu.Unlock()
	// What became of the transaction shows when the row is read. One that lost a
	// race is tried again at once.
	_ = k.read(ctx)
	k.mu.Lock()
	done, now := k.shares == moves.Next, k.row
	k.mu.Unlock()
	if !done {
		k.kickRound()
		return
	}
	k.tell(MovedArgs{Row: now, Shares: once.EncodeShares(moves.Next)})
}

// lastOwners returns the members that owned shards, each once.
func lastOwners(shares once.Shares, shards []int) []string {
	seen := map[string]bool{}
	var owners []string
	for _, shard := range shards {
		owner := shares[shard].Owner
		if owner != "" && !seen[owner] {
			seen[owner] = true
			owners = append(owners, owner)
		}
	}
	return owners
}

// tell gives the row to every member at once, so that all know the owners even if
// the table service fails before they read it.
func (k *keys) tell(args MovedArgs) {
	go k.roster.each(func(p *peer) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_ = p.wire.Call(ctx, "Keys.Moved", args, &MovedReply{})
	})
}

// close stops deciding for good, because the lease is given up.
func (k *keys) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for _, d := range k.desks {
		d.open = false
	}
}

// fetch opens the shards that this process owns and has not opened yet.
func (k *keys) fetch(ctx context.Context, tenure uint64) {
	for shard, share := range k.unopened(tenure) {
		k.open(ctx, shard, share, tenure)
	}
}

func (k *keys) unopened(tenure uint64) map[int]once.Share {
	k.mu.Lock()
	defer k.mu.Unlock()
	shards := map[int]once.Share{}
	if k.limbo || k.closed {
		return shards
	}
	for shard, share := range k.shares {
		if share.Owner != k.roster.self.Incarnation {
			continue
		}
		if d, known := k.desks[shard]; !known || !d.open || d.tenure != tenure {
			shards[shard] = share
		}
	}
	return shards
}

// open learns what the shard's last owner remembered. If nobody can tell, keys
// that may have been begun there are uncertain from now on.
func (k *keys) open(ctx context.Context, shard int, share once.Share, tenure uint64) {
	if k.reopen(shard, share, tenure) {
		return
	}
	registry := once.NewRegistry(once.DefaultWindow())
	if share.Epoch > 1 && !k.inherit(ctx, registry, shard, share.Epoch-1) {
		registry.Lose(k.now())
		k.log.Add(event.KeysTaken, shardObject(shard), share.Epoch, "the last owner is lost; keys born up to now are uncertain")
	} else {
		k.log.Add(event.KeysTaken, shardObject(shard), share.Epoch, "with all that was known")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.shares[shard] == share && !k.closed {
		k.desks[shard] = &keyDesk{registry: registry, epoch: share.Epoch, open: true, tenure: tenure}
	}
}

// reopen opens a shard that is still this process's, though it was closed to be
// given away or the lease had lapsed.
func (k *keys) reopen(shard int, share once.Share, tenure uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, known := k.desks[shard]
	if !known || k.closed || d.epoch != share.Epoch || k.shares[shard] != share {
		return false
	}
	d.open = true
	d.tenure = tenure
	return true
}

// inherit asks every member for the shard as it was under an epoch.
func (k *keys) inherit(ctx context.Context, registry *once.Registry, shard int, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan KnownReply, 1)
	k.roster.each(func(p *peer) {
		var reply KnownReply
		if p.wire.Call(ctx, "Keys.Known", KnownArgs{Shard: shard, Epoch: epoch}, &reply) == nil && reply.Found {
			select {
			case replies <- reply:
			default:
			}
		}
	})
	select {
	case reply := <-replies:
		return registry.Restore(reply.Known, reply.Horizon) == nil
	default:
		return false
	}
}

// known answers the next owner of a shard. Nothing is told while this process
// may still decide.
func (k *keys) known(shard int, epoch uint64) (reply KnownReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, known := k.desks[shard]
	if !known || d.epoch != epoch || d.open {
		return reply
	}
	return KnownReply{Found: true, Known: d.registry.Snapshot(), Horizon: d.registry.Horizon()}
}
