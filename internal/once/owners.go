package once

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Shards is the number of shards that the keys are divided into.
const Shards = 64

// ErrMalformed is returned for an encoded [ShardOwners] that can't be decoded.
var ErrMalformed = errors.New("malformed shares")

// Shard returns the shard that a key belongs to.
func (k Key) Shard() int {
	return int(xxh3.Hash(k.id[:]) % Shards)
}

// ShardOwner says which process owns a shard. Epoch increases whenever the owner
// changes; 0 means that the shard never had an owner.
type ShardOwner struct {
	Owner string // incarnation of the member
	Epoch uint64
}

// ShardOwners holds the owners of all shards. They are stored in one row, so that
// taking several shards is one transaction.
type ShardOwners [Shards]ShardOwner

// EncodeShardOwners encodes s as one line per shard.
func EncodeShardOwners(s ShardOwners) []byte {
	var text []byte
	for _, share := range s {
		text = fmt.Appendf(text, "%s %d\n", share.Owner, share.Epoch)
	}
	return text
}

// DecodeShardOwners decodes the output of [EncodeShardOwners]. Empty text means that no
// shard has an owner.
func DecodeShardOwners(text []byte) (ShardOwners, error) {
	var s ShardOwners
	if len(text) == 0 {
		return s, nil
	}
	i := 0
	for line := range strings.Lines(string(text)) {
		if i >= Shards {
			return s, errors.Wrap(ErrMalformed, "more lines than shards")
		}
		owner, epoch, found := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !found {
			return s, errors.Wrapf(ErrMalformed, "no epoch in line %d", i+1)
		}
		s[i].Owner = owner
		if _, err := fmt.Sscan(epoch, &s[i].Epoch); err != nil {
			return s, errors.Wrapf(ErrMalformed, "epoch in line %d: %v", i+1, err)
		}
		i++
	}
	if i != Shards {
		return s, errors.Wrapf(ErrMalformed, "only %d lines", i)
	}
	return s, nil
}

// OwnershipChanges is the result of [ShardOwners.PlanOwnership]: the changes of
// ownership that one member should make.
type OwnershipChanges struct {
	Next       ShardOwners // owners after the changes
	HandedOver []int       // this member's shards that another member takes over
	TakenOver  []int       // shards without an owner or with one that is gone
}

// PlanOwnership decides which shards self hands over and which it takes over.
// preferredOwner returns the member that should own a shard, or "" if there is
// none. gone reports whether a member has provably stopped acting as an owner.
func (s ShardOwners) PlanOwnership(self string, preferredOwner func(shard int) string, gone func(owner string) bool) OwnershipChanges {
	moves := OwnershipChanges{Next: s}
	for i, share := range s {
		preferred := preferredOwner(i)
		switch {
		case share.Owner == self && preferred != "" && preferred != self:
			moves.HandedOver = append(moves.HandedOver, i)
		case share.Owner != self && preferred == self && (share.Owner == "" || gone(share.Owner)):
			moves.TakenOver = append(moves.TakenOver, i)
		default:
			continue
		}
		moves.Next[i] = ShardOwner{Owner: preferred, Epoch: share.Epoch + 1}
	}
	return moves
}
