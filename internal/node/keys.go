package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// keyShards is the number of parts that the keys are divided into.
const keyShards = 64

// keys decides for each idempotency key, here or at its owner, whether its work
// may run.
type keys struct {
	roster *roster

	mu     sync.Mutex
	shards map[int]*once.Registry
}

func newKeys(r *roster) *keys {
	return &keys{roster: r, shards: map[int]*once.Registry{}}
}

func shardOf(key once.Key) int {
	return int(xxh3.HashString(key.String()) % keyShards)
}

func shardObject(shard int) string { return "keys/" + strconv.Itoa(shard) }

// errKeyOwner is returned when the key's owner can't be asked.
var errKeyOwner = errors.New("the key's owner can't be asked")

// begin asks the key's owner whether its work may run.
func (k *keys) begin(ctx context.Context, key once.Key) (once.Verdict, error) {
	_, conn, found := k.roster.owner(shardObject(shardOf(key)))
	if !found {
		return 0, errors.WithStack(errKeyOwner)
	}
	if conn == nil {
		verdict, notOwner := k.beginHere(key, k.roster.self.Name, time.Now())
		if notOwner {
			return 0, errors.WithStack(errKeyOwner)
		}
		return verdict, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply BeginReply
	err := conn.Call(ctx, "Keys.Begin", BeginArgs{Key: key.String(), Entry: k.roster.self.Name}, &reply)
	if err != nil {
		return 0, err
	}
	if reply.NotOwner {
		return 0, errors.WithStack(errKeyOwner)
	}
	return reply.Verdict, nil
}

// end tells the key's owner how its work ended.
func (k *keys) end(key once.Key, outcome once.Outcome) {
	_, conn, found := k.roster.owner(shardObject(shardOf(key)))
	if !found {
		return
	}
	if conn == nil {
		k.endHere(key, outcome)
		return
	}
	go k.sendEnd(conn, key, outcome)
}

func (k *keys) sendEnd(conn *wire.Peer, key once.Key, outcome once.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply EndReply
	_ = conn.Call(ctx, "Keys.End", EndArgs{Key: key.String(), Outcome: outcome}, &reply)
}

// beginHere decides as the key's owner.
func (k *keys) beginHere(key once.Key, entry string, now time.Time) (verdict once.Verdict, notOwner bool) {
	shard := shardOf(key)
	if !k.roster.isOwn(shardObject(shard)) {
		return 0, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry(shard).Begin(key, entry, now), false
}

// endHere notes the end as the key's owner.
func (k *keys) endHere(key once.Key, outcome once.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry(shardOf(key)).End(key, outcome)
}

func (k *keys) registry(shard int) *once.Registry {
	r, known := k.shards[shard]
	if !known {
		r = once.NewRegistry(once.DefaultWindow())
		k.shards[shard] = r
	}
	return r
}

func (k *keys) trim(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.shards {
		r.Trim(now)
	}
}
