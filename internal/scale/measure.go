package scale

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/plan"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/internal/store"
)

// Names of the slopes.
const (
	FleetBytes      = "fleet-bytes"
	FleetApply      = "fleet-apply"
	ChangeBytes     = "change-bytes"
	LoadTime        = "load-time"
	GrantWorkers    = "grant-by-workers"
	GrantClasses    = "grant-by-classes"
	QueuedBytes     = "queued-bytes"
	KeyBytes        = "key-bytes"
	EventBytes      = "event-bytes"
	PlanTime        = "plan-time"
	OwnerTime       = "owner-time"
	LeaseReadWire   = "lease-read-wire"
	LeaseReadCPU    = "lease-read-cpu"
	HeartbeatWire   = "heartbeat-wire"
	HeartbeatCPU    = "heartbeat-cpu"
	HeadReadWire    = "head-read-wire"
	RenewWire       = "renew-wire"
	RenewCPU        = "renew-cpu"
	ShardsReadWire  = "key-shares-wire"
	LeavingReadWire = "leaving-wire"
)

// Slopes returns all slopes.
func Slopes() []Slope {
	hosts := []int{50, 500, 5000}
	members := []int{4, 16, 64}
	return []Slope{
		{FleetBytes, "bytes", "hosts", hosts, fleetBytes},
		{FleetApply, "ns", "hosts", hosts, fleetApply},
		{ChangeBytes, "bytes", "hosts in a change", []int{1, 10, 100}, changeBytes},
		{LoadTime, "ns", "hosts", hosts, loadTime},
		{GrantWorkers, "ns", "workers of a pool", hosts, grantByWorkers},
		{GrantClasses, "ns", "classes with work", []int{10, 100, 1000}, grantByClasses},
		{QueuedBytes, "bytes", "queued requests", []int{1000, 10_000, 100_000}, queuedBytes},
		{KeyBytes, "bytes", "keys", []int{1000, 10_000, 100_000}, keyBytes},
		{EventBytes, "bytes", "events", []int{1000, 10_000, 100_000}, eventBytes},
		{PlanTime, "ns", "hosts of a pool", hosts, planTime},
		{OwnerTime, "ns", "members", members, ownerTime},
		{LeaseReadWire, "bytes", "members", members, func(n int) float64 { return leaseReadCost(n).wire }},
		{LeaseReadCPU, "ns", "members", members, func(n int) float64 { return leaseReadCost(n).cpu }},
		{HeartbeatWire, "bytes", "members", members, func(n int) float64 { return heartbeatCost(n).wire }},
		{HeartbeatCPU, "ns", "members", members, func(n int) float64 { return heartbeatCost(n).cpu }},
		{HeadReadWire, "bytes", "members", members, func(n int) float64 { return headReadCost(n).wire }},
		{RenewWire, "bytes", "members", members, func(n int) float64 { return renewCost(n).wire }},
		{ShardsReadWire, "bytes", "members", members, func(n int) float64 { return shardsReadCost(n).wire }},
		{LeavingReadWire, "bytes", "leaving hosts", []int{1, 10, 100}, func(n int) float64 { return leavingReadCost(n).wire }},
		{RenewCPU, "ns", "members", members, func(n int) float64 { return renewCost(n).cpu }},
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newHost(i int) fleet.Host {
	name := fmt.Sprintf("host-%05d", i)
	spec := fleet.HostSpec{
		Name:        name,
		Pool:        "pool",
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
		Zone:        "zone-a",
		Rack:        fmt.Sprintf("zone-a-r%d", i/4),
		Slots:       8,
		Connections: 64,
		Processors:  32,
		MemoryGB:    128,
	}
	return fleet.Host{Spec: spec, Pool: "pool", State: fleet.Serving, Epoch: 1, Since: epoch, TicketNumber: 1}
}

func newFleet(hosts int) *fleet.State {
	pool := fleet.Pool{Name: "pool", AwayPercent: 10, TicketNumber: 1}
	service := fleet.Service{Name: "service", Pool: "pool", Weight: 1, QueueLimit: 1000, RunTime: time.Second, Timeout: time.Minute}
	var all []fleet.Host
	for i := range hosts {
		all = append(all, newHost(i))
	}
	return fleet.NewStateFrom(1, []fleet.Pool{pool}, []fleet.Service{service}, nil, all)
}

// retainedHeap returns the bytes of heap that the result of build keeps alive.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// bestTime returns the nanoseconds of one call in the fastest of several batches.
func bestTime(call func()) float64 {
	const (
		batches      = 7
		minBatchTime = 3 * time.Millisecond
	)
	calls := 1
	best := 0.0
	for batch := 0; batch < batches; {
		start := time.Now()
		for range calls {
			call()
		}
		elapsed := time.Since(start)
		if elapsed < minBatchTime {
			calls *= 2
			continue
		}
		each := float64(elapsed.Nanoseconds()) / float64(calls)
		if best == 0 || each < best {
			best = each
		}
		batch++
	}
	return best
}

func fleetBytes(hosts int) float64 {
	return retainedHeap(func() any { return newFleet(hosts) })
}

func fleetApply(hosts int) float64 {
	state := newFleet(hosts)
	change := fleet.Change{Version: 2, Hosts: []fleet.Host{newHost(0)}}
	return bestTime(func() {
		if _, err := state.Apply(change); err != nil {
			panic(err)
		}
	})
}

func changeBytes(hosts int) float64 {
	change := fleet.Change{Version: 2, OpID: uuid.NewString(), Cause: "planner: pool", At: epoch}
	for i := range hosts {
		change.Hosts = append(change.Hosts, newHost(i))
	}
	return float64(len(fleet.EncodeChange(change)))
}

func loadTime(hosts int) float64 {
	table := stand.NewTable()
	s := store.New(table.Adapter(), stand.NewObjects().Adapter())
	ctx := context.Background()
	change := fleet.Change{Version: 1}
	for i := range hosts {
		change.Hosts = append(change.Hosts, newHost(i))
	}
	if err := s.Commit(ctx, change, nil); err != nil {
		panic(err)
	}
	return bestTime(func() {
		if _, err := s.Load(ctx); err != nil {
			panic(err)
		}
	})
}

func newQueue(workers, classes int) *sched.Queue {
	q := sched.NewQueue(sched.Config{Services: []sched.ServiceShare{
		{Name: "service", Weight: 1, QueueLimit: 1_000_000, RunTime: time.Second},
	}})
	var all []sched.Worker
	for i := range workers {
		all = append(all, sched.Worker{Name: fmt.Sprintf("host-%05d", i), Slots: 8})
	}
	q.SetWorkers(all, epoch)
	for c := range classes {
		for i := range 2 * workers * 8 / classes {
			q.Arrive(newRequest(fmt.Sprintf("%d-%d", c, i), c), epoch)
		}
	}
	return q
}

func newRequest(id string, team int) sched.Request {
	return sched.Request{
		ID:       id,
		Entry:    "entry-1",
		Service:  "service",
		Team:     fmt.Sprintf("team-%03d", team),
		Deadline: epoch.Add(time.Hour),
	}
}

// grantTime measures the release of a grant, the grant that follows and the arrival
// of a new request, while half of the requests wait.
func grantTime(workers, classes int) float64 {
	q := newQueue(workers, classes)
	grants := q.GrantIDs()
	i := 0
	return bestTime(func() {
		decisions := q.Release(grants[i%len(grants)], sched.Unused, epoch)
		if len(decisions) != 1 || decisions[0].Grant == nil {
			panic("the slot was not granted again")
		}
		grants[i%len(grants)] = decisions[0].Grant.ID
		q.Arrive(newRequest(fmt.Sprintf("more-%d", i), i%classes), epoch)
		i++
	})
}

func grantByWorkers(workers int) float64 { return grantTime(workers, 10) }

func grantByClasses(classes int) float64 { return grantTime(250, classes) }

func queuedBytes(requests int) float64 {
	q := newQueue(1, 8)
	return retainedHeap(func() any {
		for i := range requests {
			q.Arrive(newRequest(fmt.Sprintf("request-%d", i), i%8), epoch)
		}
		return q
	})
}

func keyBytes(keys int) float64 {
	return retainedHeap(func() any {
		r := once.NewRegistry(once.DefaultWindow())
		for range keys {
			id := uuid.Must(uuid.NewV7())
			key, err := once.ParseKey(id.String())
			if err != nil {
				panic(err)
			}
			r.Begin(key, once.Holder{Entry: "entry-1", Attempt: "entry-1-0a1b2c3d-1"}, time.Now())
		}
		return r
	})
}

func eventBytes(events int) float64 {
	return retainedHeap(func() any {
		log := event.NewLog("entry-1", events, time.Now)
		for i := range events {
			log.Add(event.RequestRefused, uuid.NewString(), uint64(i), "queue-full: no slot was granted")
		}
		return log
	})
}

func planTime(hosts int) float64 {
	state := newFleet(hosts)
	return bestTime(func() { plan.Steps(state, "pool", nil, plan.Evidence{}, epoch) })
}

func ownerTime(members int) float64 {
	var infos []member.Info
	for i := range members {
		infos = append(infos, memberInfo(i))
	}
	return bestTime(func() { member.Owner("pool/banco-nord", infos) })
}
