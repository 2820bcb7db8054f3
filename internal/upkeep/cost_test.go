package upkeep

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// The benchmarks of this file give the cost of one round of the fleet's holder as a
// function of the number of hosts and pools.

func benchFleet(hosts, pools int) ([]platform.Host, []platform.PoolConfig, map[string]place.Load) {
	var list []platform.Host
	var configs []platform.PoolConfig
	loads := map[string]place.Load{}
	for p := range pools {
		configs = append(configs, platform.PoolConfig{Name: fmt.Sprintf("pool-%02d", p), Standby: p == 0})
	}
	for i := range hosts {
		name := configs[i%pools].Name
		id := fmt.Sprintf("i-%010x", i)
		list = append(list, platform.Host{
			Name: fmt.Sprintf("m-%010x", i), Pool: name, State: platform.HostUp, Labels: []string{"k", "r"},
			Size: jobs.Resources{Millicores: 32000, MemoryMB: 128 << 10}, Worker: id,
		})
		if i%pools == 0 {
			continue
		}
		l := loads[name]
		l.Used += 30000
		l.Workers = append(l.Workers, place.WorkerLoad{ID: id, Tasks: 8, Used: 30000, Open: true})
		loads[name] = l
	}
	return list, configs, loads
}

func forFleets(b *testing.B, f func(b *testing.B, hosts, pools int)) {
	for _, size := range [][2]int{{85, 5}, {350, 5}, {2800, 13}, {11000, 51}} {
		b.Run(fmt.Sprintf("H=%d/L=%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			f(b, size[0], size[1])
		})
	}
}

func benchPlanner(hosts, pools int) (*Planner, []platform.PoolConfig, []platform.Host, map[string]place.Load) {
	list, configs, loads := benchFleet(hosts, pools)
	p := NewPlanner(DefaultMovePolicy(), DefaultWavePolicy(2*time.Second), 1500*time.Millisecond)
	p.SetLoads(configs, loads)
	p.SetHosts(list, time.Now())
	p.UpdateBlocked(time.Now())
	return p, configs, list, loads
}

func BenchmarkPlanMoves(b *testing.B) {
	forFleets(b, func(b *testing.B, hosts, pools int) {
		p, configs, _, _ := benchPlanner(hosts, pools)
		b.ResetTimer()
		for b.Loop() {
			clear(p.leaving)
			p.PlanMoves(configs, time.Now())
		}
	})
}

func BenchmarkSetLoads(b *testing.B) {
	forFleets(b, func(b *testing.B, hosts, pools int) {
		p, configs, _, loads := benchPlanner(hosts, pools)
		b.ResetTimer()
		for b.Loop() {
			p.SetLoads(configs, loads)
		}
	})
}

// A wave over all hosts.
func BenchmarkPlanWave(b *testing.B) {
	forFleets(b, func(b *testing.B, hosts, pools int) {
		p, _, list, _ := benchPlanner(hosts, pools)
		w := platform.Wave{Number: 1, Duration: time.Hour, MaxUnavailable: 8}
		for _, h := range list {
			w.Hosts = append(w.Hosts, h.Name)
		}
		p.OpenWave(w, time.Now())
		b.ResetTimer()
		for b.Loop() {
			p.PlanWave(1, time.Now())
		}
	})
}
