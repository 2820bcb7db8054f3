package once

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Shards is the number of shards that the keys are divided into.
const Shards = 64

// ErrMalformed is returned for an encoded [Shares] that can't be decoded.
var ErrMalformed = errors.New("malformed shares")

// Shard returns the shard that a key belongs to.
func (k Key) Shard() int {
	return int(xxh3.Hash(k.id[:]) % Shards)
}

// Share says which process owns a shard. Epoch increases whenever the owner
// changes; 0 means that the shard never had an owner.
type Share struct {
	Owner string // incarnation of the member
	Epoch uint64
}

// Shares holds the owners of all shards. They are stored in one row, so that
// taking several shards is one transaction.
type Shares [Shards]Share

// EncodeShares encodes s as one line per shard.
func EncodeShares(s Shares) []byte {
	var text []byte
	for _, share := range s {
		text = fmt.Appendf(text, "%s %d\n", share.Owner, share.Epoch)
	}
	return text
}

// DecodeShares decodes the output of [EncodeShares]. Empty text means that no
// shard has an owner.
func DecodeShares(text []byte) (Shares, error) {
	var s Shares
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

// Moves is the result of [Shares.Moves]: the changes of ownership that one
// member should make.
type Moves struct {
	Next  Shares // owners after the changes
	Given []int  // this member's shards that another member takes over
	Taken []int  // shards without an owner or with one that is gone
}

// Moves decides which shards self hands over and which it takes over.
// preferredOwner returns the member that should own a shard, or "" if there is
// none. gone reports whether a member has provably stopped acting as an owner.
func (s Shares) Moves(self string, preferredOwner func(shard int) string, gone func(owner string) bool) Moves {
	moves := Moves{Next: s}
	for i, share := range s {
		preferred := preferredOwner(i)
		switch {
		case share.Owner == self && preferred != "" && preferred != self:
			moves.Given = append(moves.Given, i)
		case share.Owner != self && preferred == self && (share.Owner == "" || gone(share.Owner)):
			moves.Taken = append(moves.Taken, i)
		default:
			continue
		}
		moves.Next[i] = Share{Owner: preferred, Epoch: share.Epoch + 1}
	}
	return moves
}
