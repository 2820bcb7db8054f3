package member

import (
	"github.com/zeebo/xxh3"
)

// Owner returns the member responsible for an object, by rendezvous hashing:
// when a member joins or leaves, only its own objects change owner. It returns
// false if there are no members.
func Owner(object string, members []Info) (Info, bool) {
	var best Info
	var bestScore uint64
	found := false
	for _, m := range members {
		score := xxh3.HashString(object + "\x00" + m.Name)
		if !found || score > bestScore || score == bestScore && m.Name < best.Name {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}
