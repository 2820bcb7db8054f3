package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// heldUpLoad is a pool of 16 cores in which jobs of an organisation wait for its quota of one.
func heldUpLoad(waiting int) *testBoard {
	f := newTestBoard(0, 4)
	f.SetShedding(true)
	f.SetOrganisations(map[string]place.Organisation{"a": {Weight: 10_000}, "b": {Weight: 10_000}})
	f.SetAllotment("a", jobs.Resources{Millicores: 1000, MemoryMB: jobs.Unlimited, Accelerators: jobs.Unlimited})
	for i := range waiting {
		j := newJob(0, batch(4, 1000))
		j.ID, j.Organisation = jobs.ID(fmt.Sprintf("%016x", 1000+i)), "a"
		f.add(j)
	}
	return f
}

// What waits for a quota does not make a pool overloaded that has room.
func TestHeldUpTasksDoNotOverload(t *testing.T) {
	f := heldUpLoad(400)
	f.decide()
	f.now = f.now.Add(110 * time.Millisecond)
	f.decide()
	if s := f.Summary(f.now); f.Overloaded(f.now) || s.Standby > 0 {
		t.Errorf("overloaded, %d jobs stand by, though %d of %d millicores are free", s.Standby, s.Size-s.Used, s.Size)
	}
}

// What waits for the quota of one organisation is not ahead of the jobs of another one.
func TestHeldUpTasksAreNotAhead(t *testing.T) {
	for _, waiting := range []int{0, 400} {
		f := heldUpLoad(waiting)
		j := newJob(1, batch(16, 1000))
		j.Organisation = "b"
		f.add(j)
		f.decide()
		f.now = f.now.Add(110 * time.Millisecond)
		f.decide()
		next := newJob(2, batch(4, 1000))
		next.Organisation, next.Submitted = "b", f.now
		if refused, after := f.CannotFinishInTime(next, f.now); refused {
			t.Errorf("with %d jobs that their quota holds up, a job of another organisation is refused for %v, though one task of a second is ahead on each core", waiting, after)
		}
	}
}
