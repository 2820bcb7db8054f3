package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/wire"
)

const (
	sharesRowKey       = "keys"
	roundInterval      = 2 * time.Second
	leaseMarginDivisor = 6 // answers must arrive within this part of the lease duration
	shardRetryDelay    = 50 * time.Millisecond
	maxShardMoveWait   = 3 * time.Second // for the shard's next owner to open it
	maxEndAttempts     = 3
	endRetryDelay      = 500 * time.Millisecond
)

// errKeyOwnerUnavailable is returned if the key's shard has no owner that can
// decide now.
var errKeyOwnerUnavailable = errors.New("the key's owner can't be asked")

// keyShards decides whether the work of an idempotency key may run. Keys are
// divided into shards, and only a shard's owner decides about its keys; the others
// ask it. One row of the table service holds the owners of all shards. An owner
// decides only while its own lease is valid, since then no other process can have
// taken the shard.
type keyShards struct {
	roster       *roster
	table        plat.Table
	log          *event.Log
	leaseState   *leaseState
	answerMargin time.Duration // time that an answer may take to arrive
	now          func() time.Time
	wake         chan struct{}
	// confirmGone asks all members to count the silent processes as gone; see
	// [quorum.confirmGone].
	confirmGone func(ctx context.Context) bool

	roundMu sync.Mutex // held during a round

	mu          sync.Mutex
	shares      once.ShardOwners
	rowVersion  uint64 // version of the row that shares were read from
	localShards map[int]*localShard
	// commitUncertain is set while a transaction on the row may still take effect.
	// The next one is sent even if it changes nothing: as soon as the row has a new
	// version, the first one can only conflict.
	commitUncertain bool
	// closed is set once this process gives up its lease.
	closed bool
}

// localShard is a shard that this process owns or has owned. It is kept after the
// shard was given away, so that the next owner can fetch its keys.
type localShard struct {
	registry *once.Registry
	epoch    uint64 // in which this process owns or owned the shard
	open     bool   // whether this process may decide about its keys
	tenure   uint64 // in which it was opened
}

func newKeyShards(r *roster, table plat.Table, log *event.Log, l *leaseState) *keyShards {
	return &keyShards{
		roster:       r,
		table:        table,
		log:          log,
		leaseState:   l,
		answerMargin: l.duration / leaseMarginDivisor,
		now:          time.Now,
		wake:         make(chan struct{}, 1),
		localShards:  map[int]*localShard{},
	}
}

func shardObject(shard int) string { return "keys/" + strconv.Itoa(shard) }

// begin asks the key's owner whether an attempt may run. While the shard has no
// owner that can decide it retries, which is safe because the attempt has not
// started.
func (k *keyShards) begin(ctx context.Context, key once.Key, attempt string) (once.Verdict, error) {
	holder := k.holder(attempt)
	waitCtx, cancel := context.WithTimeout(ctx, maxShardMoveWait)
	defer cancel()
	for {
		verdict, err := k.ask(waitCtx, key, holder)
		if err == nil {
			return verdict, nil
		}
		k.wakeRound()
		select {
		case <-waitCtx.Done():
			return 0, err
		case <-time.After(shardRetryDelay):
		}
	}
}

// ask asks the key's owner once. It does not accept an answer after answerMargin,
// because the owner may have lost the shard by then.
func (k *keyShards) ask(ctx context.Context, key once.Key, holder once.Holder) (once.Verdict, error) {
	owner := k.ownerOf(key.Shard())
	if owner == k.roster.self.Incarnation {
		return k.beginLocal(key, holder)
	}
	conn, known := k.roster.connection(owner)
	if !known {
		return 0, errors.Wrapf(errKeyOwnerUnavailable, "shard %d", key.Shard())
	}
	ctx, cancel := context.WithTimeout(ctx, k.answerMargin)
	defer cancel()
	var reply BeginReply
	args := BeginArgs{Key: key.String(), Holder: holder}
	if err := conn.Call(ctx, "Keys.Begin", args, &reply); err != nil {
		return 0, err
	}
	if reply.NotOwner {
		return 0, errors.Wrapf(errKeyOwnerUnavailable, "shard %d changes hands", key.Shard())
	}
	return reply.Verdict, nil
}

// wakeRound triggers the next round at once.
func (k *keyShards) wakeRound() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *keyShards) ownerOf(shard int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shares[shard].Owner
}

// beginLocal decides as the key's owner. The lease must stay valid until the answer
// has arrived.
func (k *keyShards) beginLocal(key once.Key, holder once.Holder) (once.Verdict, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, known := k.localShards[key.Shard()]
	if !known || !s.open || !k.leaseState.holds(s.tenure, k.answerMargin) {
		return 0, errors.Wrapf(errKeyOwnerUnavailable, "shard %d", key.Shard())
	}
	return s.registry.Begin(key, holder, k.now()), nil
}

// end reports the outcome of an attempt to the key's owner.
func (k *keyShards) end(key once.Key, attempt string, outcome once.Outcome) {
	holder := k.holder(attempt)
	if k.ownerOf(key.Shard()) == k.roster.self.Incarnation {
		k.endLocal(key, holder, outcome)
		return
	}
	go k.sendEnd(EndArgs{Key: key.String(), Holder: holder, Outcome: outcome}, key.Shard())
}

func (k *keyShards) holder(attempt string) once.Holder {
	return once.Holder{Entry: k.roster.self.Incarnation, Attempt: attempt}
}

// sendEnd reports an outcome to another owner, with retries. If all fail the key
// stays running, and further requests with it are refused as unknown. That is safe
// but less precise.
func (k *keyShards) sendEnd(args EndArgs, shard int) {
	for range maxEndAttempts {
		if conn, known := k.roster.connection(k.ownerOf(shard)); known && callEnd(conn, args) == nil {
			return
		}
		time.Sleep(endRetryDelay)
	}
}

func callEnd(conn *wire.Peer, args EndArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return conn.Call(ctx, "Keys.End", args, &EndReply{})
}

// endLocal records the outcome of an attempt as the key's owner.
func (k *keyShards) endLocal(key once.Key, holder once.Holder, outcome once.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, known := k.localShards[key.Shard()]; known {
		s.registry.End(key, holder, outcome)
	}
}

func (k *keyShards) trim(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.localShards {
		s.registry.RemoveExpired(now)
	}
}
