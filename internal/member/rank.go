package member

import (
	"github.com/zeebo/xxh3"
)

// Owner returns the member that is responsible for an object, by rendezvous
// hashing: when a member comes or goes, only its own objects change owner. It
// reports false if there are no members.
func Owner(object string, members []Info) (Info, bool) {
	var best Info
	var most uint64
	found := false
	for _, m := range members {
		score := xxh3.HashString(object + "\x00" + m.Name)
		if !found || score > most || score == most && m.Name < best.Name {
			best, most, found = m, score, true
		}
	}
	return best, found
}
