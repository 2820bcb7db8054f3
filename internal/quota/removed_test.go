package quota_test

import (
	"testing"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/quota"
)

// Guards against a pool that was removed from the configuration and has given all back, and that
// nevertheless holds up an organisation for ever once another resource of it becomes limited.
func TestPoolThatHasGivenAllBackHoldsUpNobody(t *testing.T) {
	row := quota.Row{Version: 1, Limit: jobs.Resources{Millicores: 4000}, Since: [3]uint64{1, 0, 0}, Pools: map[string]quota.Allotment{
		"removed": {Token: 3, Version: 1},
		"p1":      {Token: 7, Version: 1, Size: jobs.Resources{Millicores: 4000}},
	}}
	a := quota.NewAccount("p1", 7)
	a.SetLimit(2, jobs.Resources{Millicores: 4000, MemoryMB: 4000})
	a.Learned(row, 10)
	usage := quota.Usage{Needed: jobs.Resources{Millicores: 1000, MemoryMB: 1000}, Recent: jobs.Resources{Millicores: 1000, MemoryMB: 1000}, Unit: jobs.Resources{Millicores: 1000, MemoryMB: 1000}}
	next, due, _ := a.Propose(usage)
	if !due {
		t.Fatal("no write is due")
	}
	a.Sent(next)
	a.Written(11)
	if got := a.Allotment(usage); !usage.Needed.Fits(got) {
		t.Errorf("allotment %+v, need %+v", got, usage.Needed)
	}
}
