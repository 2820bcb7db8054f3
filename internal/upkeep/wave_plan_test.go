package upkeep

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a wave that seems complete, or takes one host too many down, because the
// entry of one of its hosts can't be decoded.
func TestWaveWithAnOddHost(t *testing.T) {
	now := time.Now()
	p := NewPlanner(DefaultMovePolicy(), DefaultWavePolicy(time.Second), time.Second)
	p.SetLoads([]platform.PoolConfig{{Name: "off", Standby: true}}, nil)
	p.OpenWave(platform.Wave{Number: 1, Hosts: []string{"m-1", "m-2"}, Duration: time.Minute, MaxUnavailable: 1}, now)
	odd, whole := platform.Host{Name: "m-1", State: platform.HostUnknown}, platform.Host{Name: "m-2", Pool: "off", State: platform.HostUp}
	p.SetHosts([]platform.Host{odd, whole}, now)
	if actions, complete := p.PlanWave(1, now); len(actions) > 0 || complete {
		t.Errorf("actions %+v, complete %v, want none: the other host may be down", actions, complete)
	}
	p.MaintenanceBegun(1, "m-2", now.Add(-time.Minute))
	if _, complete := p.PlanWave(1, now); complete {
		t.Error("the wave is complete without m-1")
	}
	odd.Pool, odd.State = "off", platform.HostUp
	p.SetHosts([]platform.Host{odd, whole}, now)
	if actions, _ := p.PlanWave(1, now); len(actions) != 1 || !actions[0].Maintain {
		t.Errorf("actions %+v, want the maintenance of m-1", actions)
	}
}
