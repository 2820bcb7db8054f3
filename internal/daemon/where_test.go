package daemon

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// An operator is told that a pool's owner can't be reached, not that there is no room.
func TestWhereWithoutAnOwner(t *testing.T) {
	d, _ := ownerOf()
	j := jobs.Job{ID: "00000000000000a1", Steps: []jobs.Step{{Count: 1}}}
	if _, err := d.where(t.Context(), "a pool without an owner", j); !errors.Is(err, errStateUnknown) {
		t.Errorf("error %v, want %v", err, errStateUnknown)
	}
	var reply Reply
	if err := (&peerService{d}).Where(WhereArgs{Pool: "a pool without an owner"}, &reply); err != nil || reply.Owner {
		t.Errorf("answered %+v, %v", reply, err)
	}
}
