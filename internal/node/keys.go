package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
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

	mu     sync.Mutex
	shares once.Shares
	row    uint64 // version of the row that shares were read from
	desks  map[int]*keyDesk
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
// before the transaction is sent, and opened again only if the row then says
// that nothing came of it. A shard is taken only if its owner has still not
// renewed its lease when the transaction takes effect.
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
	k.mu.Unlock()
	if len(moves.Given)+len(moves.Taken) == 0 || len(moves.Taken) > 0 && !k.health.holds(tenure, k.margin) {
		return
	}
	_ = k.table.Commit(ctx, plat.Txn{
		Checks: append(checks, k.roster.leaseChecks(lastOwners(before, moves.Taken))...),
		Puts:   []plat.Put{{Key: sharesKey, Value: once.EncodeShares(moves.Next)}},
	})
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
	if k.shares[shard] == share {
		k.desks[shard] = &keyDesk{registry: registry, epoch: share.Epoch, open: true, tenure: tenure}
	}
}

// reopen opens a shard that is still this process's, though it was closed to be
// given away or the lease had lapsed.
func (k *keys) reopen(shard int, share once.Share, tenure uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, known := k.desks[shard]
	if !known || d.epoch != share.Epoch || k.shares[shard] != share {
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

func (k *keys) trim(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range k.desks {
		d.registry.Trim(now)
	}
}
