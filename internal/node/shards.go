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

// run calls round at an interval until ctx ends, and early when woken because the
// owner of a shard may have changed.
func (k *keyShards) run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-k.wake:
			// The random delay keeps members from conflicting on the row again.
			time.Sleep(shardRetryDelay/2 + rand.N(shardRetryDelay))
		}
	}
}

// round reads the owners of the shards, gives shards away and takes others, and
// opens those that this process owns. While the table service fails, no shard
// changes its owner.
func (k *keyShards) round(ctx context.Context) {
	k.roundMu.Lock()
	defer k.roundMu.Unlock()
	tenure := k.leaseState.currentTenure()
	if tenure == 0 || k.read(ctx) != nil {
		return
	}
	k.confirmGone(ctx)
	k.moveShards(ctx, tenure)
	k.openOwned(ctx, tenure)
}

func (k *keyShards) read(ctx context.Context) error {
	rows, err := k.table.Read(ctx, []string{sharesRowKey})
	if err != nil {
		return err
	}
	return k.applyShares(rows[0].Version, rows[0].Value)
}

// applyShares applies the row as this process or another member read it, unless a
// newer version is known.
func (k *keyShards) applyShares(rowVersion uint64, value []byte) error {
	shares, err := once.DecodeShardOwners(value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if rowVersion < k.rowVersion {
		return nil
	}
	if rowVersion > k.rowVersion {
		k.commitUncertain = false
	}
	k.shares = shares
	k.rowVersion = rowVersion
	k.closeUnowned()
	return nil
}

// closeUnowned closes the shards that this process does not own any more.
func (k *keyShards) closeUnowned() {
	for shard, s := range k.localShards {
		mine := once.ShardOwner{Owner: k.roster.self.Incarnation, Epoch: s.epoch}
		if s.open && k.shares[shard] != mine {
			s.open = false
		}
	}
}

// moveShards gives and takes shards in one transaction. A shard that is given away
// is closed before the transaction is sent, and reopened only once the transaction
// can no longer take effect. A shard is taken only if its owner has still not
// renewed its lease when the transaction takes effect.
func (k *keyShards) moveShards(ctx context.Context, tenure uint64) {
	candidates := k.roster.candidates()
	prefer := func(shard int) string {
		info, _ := member.Owner(shardObject(shard), candidates)
		return info.Incarnation
	}
	k.mu.Lock()
	before := k.shares
	moves := before.PlanOwnership(k.roster.self.Incarnation, prefer, k.roster.gone)
	for _, shard := range moves.HandedOver {
		if s, known := k.localShards[shard]; known {
			s.open = false
		}
	}
	checks := []plat.Check{{Key: sharesRowKey, Version: k.rowVersion}}
	idle := len(moves.HandedOver)+len(moves.TakenOver) == 0 && !k.commitUncertain
	k.mu.Unlock()
	if idle || len(moves.TakenOver) > 0 && !k.leaseState.holds(tenure, k.answerMargin) {
		return
	}
	err := k.table.Commit(ctx, plat.Txn{
		Checks: append(checks, k.roster.leaseChecks(lastOwners(before, moves.TakenOver))...),
		Puts:   []plat.Put{{Key: sharesRowKey, Value: once.EncodeShardOwners(moves.Next)}},
	})
	k.mu.Lock()
	k.commitUncertain = err != nil && !errors.Is(err, plat.ErrConflict)
	k.mu.Unlock()
	// Reading the row shows whether the transaction took effect. If it did not, it
	// is retried at once.
	_ = k.read(ctx)
	k.mu.Lock()
	applied, rowVersion := k.shares == moves.Next, k.rowVersion
	k.mu.Unlock()
	if !applied {
		k.wakeRound()
		return
	}
	k.announceMove(MovedArgs{Row: rowVersion, Shares: once.EncodeShardOwners(moves.Next)})
}

// lastOwners returns the members that own the given shards, without duplicates.
func lastOwners(shares once.ShardOwners, shards []int) []string {
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

// announceMove sends the row to every member, so that all know the owners even if
// the table service fails before they read it.
func (k *keyShards) announceMove(args MovedArgs) {
	go k.roster.forEachPeer(func(p *peer) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_ = p.wire.Call(ctx, "Keys.Moved", args, &MovedReply{})
	})
}

// close closes all shards for good, because the lease is given up.
func (k *keyShards) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for _, s := range k.localShards {
		s.open = false
	}
}

// openOwned opens the shards that this process owns but has not opened in this
// tenure.
func (k *keyShards) openOwned(ctx context.Context, tenure uint64) {
	for shard, share := range k.unopened(tenure) {
		k.open(ctx, shard, share, tenure)
	}
}

func (k *keyShards) unopened(tenure uint64) map[int]once.ShardOwner {
	k.mu.Lock()
	defer k.mu.Unlock()
	shards := map[int]once.ShardOwner{}
	if k.commitUncertain || k.closed {
		return shards
	}
	for shard, share := range k.shares {
		if share.Owner != k.roster.self.Incarnation {
			continue
		}
		if s, known := k.localShards[shard]; !known || !s.open || s.tenure != tenure {
			shards[shard] = share
		}
	}
	return shards
}

// open opens a shard with the keys of its previous owner. If no member can provide
// them, all keys created up to now are uncertain, because the previous owner may
// have let their work run.
func (k *keyShards) open(ctx context.Context, shard int, share once.ShardOwner, tenure uint64) {
	if k.reopen(shard, share, tenure) {
		return
	}
	registry := once.NewRegistry(once.DefaultWindow())
	if share.Epoch > 1 && !k.restoreFromPeers(ctx, registry, shard, share.Epoch-1) {
		registry.MarkUncertain(k.now())
		k.log.Add(event.KeysTaken, shardObject(shard), share.Epoch, "the last owner is lost; keys born up to now are uncertain")
	} else {
		k.log.Add(event.KeysTaken, shardObject(shard), share.Epoch, "with all that was known")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.shares[shard] == share && !k.closed {
		k.localShards[shard] = &localShard{registry: registry, epoch: share.Epoch, open: true, tenure: tenure}
	}
}

// reopen opens a shard that this process has owned without a break, after it was
// closed to be given away or the lease lapsed. It needs no keys from other members.
func (k *keyShards) reopen(shard int, share once.ShardOwner, tenure uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, known := k.localShards[shard]
	if !known || k.closed || s.epoch != share.Epoch || k.shares[shard] != share {
		return false
	}
	s.open = true
	s.tenure = tenure
	return true
}

// restoreFromPeers asks every member for the keys of the shard's owner under epoch,
// and reports whether one had them.
func (k *keyShards) restoreFromPeers(ctx context.Context, registry *once.Registry, shard int, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan KnownReply, 1)
	k.roster.forEachPeer(func(p *peer) {
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

// snapshot returns the keys of a shard that this process owned under epoch, for the
// next owner. It returns none while this process may still decide about them.
func (k *keyShards) snapshot(shard int, epoch uint64) (reply KnownReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, known := k.localShards[shard]
	if !known || s.epoch != epoch || s.open {
		return reply
	}
	return KnownReply{Found: true, Known: s.registry.Snapshot(), Horizon: s.registry.Horizon()}
}
