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
	sharesKey   = "keys"
	keysEvery   = 2 * time.Second // rounds in which shards change hands, unless kicked
	marginShare = 6               // of the time that a lease is held
	kickPause   = 50 * time.Millisecond
	moveWait    = 3 * time.Second // longest wait for a shard that changes hands
	endTries    = 3               // of telling a key's owner how its work ended
	endTryPause = 500 * time.Millisecond
)

// errKeyOwner is returned when the key's owner can't be asked.
var errKeyOwner = errors.New("the key's owner can't be asked")

// keys decides for each idempotency key, here or at its owner, whether its work
// may run. The owners of the shards are in one row of the table service; an
// owner decides only while its own lease is valid, so that nobody else can have
// taken the shard.
type keys struct {
	roster *roster
	table  plat.Table
	log    *event.Log
	health *health
	margin time.Duration // that an answer may take on its way
	now    func() time.Time
	kick   chan struct{}
	// settle asks a majority to count silent processes as gone.
	settle func(ctx context.Context) bool

	rounds sync.Mutex // held while a round goes on

	mu     sync.Mutex
	shares once.Shares
	row    uint64 // version of the row that shares were read from
	desks  map[int]*keyDesk
	// limbo tells that a transaction on the row may still take effect. The next
	// one is sent even if it changes nothing: once the row has another version,
	// nothing can come of the first any more.
	limbo bool
	// closed tells that this process has given up its lease.
	closed bool
}

// keyDesk is this process's part in one shard. It stays after the shard was
// given away, until its next owner has fetched it.
type keyDesk struct {
	registry *once.Registry
	epoch    uint64 // under which this process owns or owned the shard
	open     bool   // whether it may decide
	tenure   uint64 // of the lease under which it was opened
}

func newKeys(r *roster, table plat.Table, log *event.Log, h *health) *keys {
	return &keys{
		roster: r,
		table:  table,
		log:    log,
		health: h,
		margin: h.hold / marginShare,
		now:    time.Now,
		kick:   make(chan struct{}, 1),
		desks:  map[int]*keyDesk{},
	}
}

func shardObject(shard int) string { return "keys/" + strconv.Itoa(shard) }

// begin asks the key's owner whether its work may run. While the shard changes
// hands it waits, for nothing has been begun.
func (k *keys) begin(ctx context.Context, key once.Key, attempt string) (once.Verdict, error) {
	holder := k.holder(attempt)
	patience, cancel := context.WithTimeout(ctx, moveWait)
	defer cancel()
	for {
		verdict, err := k.ask(patience, key, holder)
		if err == nil {
			return verdict, nil
		}
		k.kickRound()
		select {
		case <-patience.Done():
			return 0, err
		case <-time.After(kickPause):
		}
	}
}

// ask asks the key's owner once. An answer that took too long is not used: its
// owner may have lost the shard meanwhile.
func (k *keys) ask(ctx context.Context, key once.Key, holder once.Holder) (once.Verdict, error) {
	owner := k.ownerOf(key.Shard())
	if owner == k.roster.self.Incarnation {
		return k.beginHere(key, holder)
	}
	conn, known := k.roster.connection(owner)
	if !known {
		return 0, errors.Wrapf(errKeyOwner, "shard %d", key.Shard())
	}
	ctx, cancel := context.WithTimeout(ctx, k.margin)
	defer cancel()
	var reply BeginReply
	args := BeginArgs{Key: key.String(), Holder: holder}
	if err := conn.Call(ctx, "Keys.Begin", args, &reply); err != nil {
		return 0, err
	}
	if reply.NotOwner {
		return 0, errors.Wrapf(errKeyOwner, "shard %d changes hands", key.Shard())
	}
	return reply.Verdict, nil
}

// kickRound makes the next round due at once.
func (k *keys) kickRound() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

func (k *keys) ownerOf(shard int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shares[shard].Owner
}

// beginHere decides as the key's owner. The lease must outlast the answer's way
// back.
func (k *keys) beginHere(key once.Key, holder once.Holder) (once.Verdict, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, known := k.desks[key.Shard()]
	if !known || !d.open || !k.health.holds(d.tenure, k.margin) {
		return 0, errors.Wrapf(errKeyOwner, "shard %d", key.Shard())
	}
	return d.registry.Begin(key, holder, k.now()), nil
}

// end tells the key's owner how the work of an attempt ended.
func (k *keys) end(key once.Key, attempt string, outcome once.Outcome) {
	holder := k.holder(attempt)
	if k.ownerOf(key.Shard()) == k.roster.self.Incarnation {
		k.endHere(key, holder, outcome)
		return
	}
	go k.sendEnd(EndArgs{Key: key.String(), Holder: holder, Outcome: outcome}, key.Shard())
}

func (k *keys) holder(attempt string) once.Holder {
	return once.Holder{Entry: k.roster.self.Incarnation, Attempt: attempt}
}

// sendEnd tries a few times. If it fails for good the key stays as running,
// which is refused as unknown: safe, if not as exact as could be.
func (k *keys) sendEnd(args EndArgs, shard int) {
	for range endTries {
		if conn, known := k.roster.connection(k.ownerOf(shard)); known && callEnd(conn, args) == nil {
			return
		}
		time.Sleep(endTryPause)
	}
}

func callEnd(conn *wire.Peer, args EndArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return conn.Call(ctx, "Keys.End", args, &EndReply{})
}

// endHere notes the end as the key's owner.
func (k *keys) endHere(key once.Key, holder once.Holder, outcome once.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d, known := k.desks[key.Shard()]; known {
		d.registry.End(key, holder, outcome)
	}
}

func (k *keys) trim(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range k.desks {
		d.registry.Trim(now)
	}
}
