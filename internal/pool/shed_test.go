package pool

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a plan that changes the order of jobs where no organisations share the pool.
func TestOverloadsArePlannedWhereOrganisationsShareThePool(t *testing.T) {
	t.Parallel()
	c := newCancelPool(t)
	queue := platform.Queue{Name: "q", Pool: "p1", Target: time.Second}
	organisation := platform.Organisation{Name: "o", Weight: 1, Quota: jobs.Resources{}}
	sheds := make(chan bool)
	for i, tt := range []struct {
		queues        []platform.Queue
		organisations []platform.Organisation
		want          bool
	}{
		{[]platform.Queue{queue}, nil, false},
		{[]platform.Queue{queue}, []platform.Organisation{organisation}, true},
		{[]platform.Queue{{Name: "q", Pool: "p1"}}, []platform.Organisation{organisation}, false},
		{[]platform.Queue{queue}, []platform.Organisation{organisation}, true},
		{[]platform.Queue{queue}, nil, false},
	} {
		c.owner.SetQueues(tt.queues)
		c.owner.SetOrganisations(tt.organisations, uint64(i+1))
		c.owner.post(func() { sheds <- c.owner.board.Sheds() })
		if have := <-sheds; have != tt.want {
			t.Errorf("configuration %d: the plan is on: %v, want %v", i+1, have, tt.want)
		}
	}
}
