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
	FleetBytes    = "fleet-bytes"
	FleetApply    = "fleet-apply"
	ChangeBytes   = "change-bytes"
	LoadTime      = "load-time"
	GrantWorkers  = "grant-by-workers"
	GrantClasses  = "grant-by-classes"
	QueuedBytes   = "queued-bytes"
	KeyBytes      = "key-bytes"
	EventBytes    = "event-bytes"
	PlanTime      = "plan-time"
	OwnerTime     = "owner-time"
	LeaseReadWire = "lease-read-wire"
	LeaseReadCPU  = "lease-read-cpu"
	BeatWire      = "heartbeat-wire"
	BeatCPU       = "heartbeat-cpu"
	HeadReadWire  = "head-read-wire"
	RenewWire     = "renew-wire"
	RenewCPU      = "renew-cpu"
	SharesWire    = "key-shares-wire"
	LeavingWire   = "leaving-wire"
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
		{LeaseReadWire, "bytes", "members", members, func(n int) float64 { return leaseRead(n).wire }},
		{LeaseReadCPU, "ns", "members", members, func(n int) float64 { return leaseRead(n).cpu }},
		{BeatWire, "bytes", "members", members, func(n int) float64 { return beat(n).wire }},
		{BeatCPU, "ns", "members", members, func(n int) float64 { return beat(n).cpu }},
		{HeadReadWire, "bytes", "members", members, func(n int) float64 { return headRead(n).wire }},
		{RenewWire, "bytes", "members", members, func(n int) float64 { return renew(n).wire }},
		{SharesWire, "bytes", "members", members, func(n int) float64 { return sharesRead(n).wire }},
		{LeavingWire, "bytes", "leaving hosts", []int{1, 10, 100}, func(n int) float64 { return leavingRead(n).wire }},
		{RenewCPU, "ns", "members", members, func(n int) float64 { return renew(n).cpu }},
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func host(i int) fleet.Host {
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

func fleetOf(hosts int) *fleet.State {
	pool := fleet.Pool{Name: "pool", AwayPercent: 10, TicketNumber: 1}
	service := fleet.Service{Name: "service", Pool: "pool", Weight: 1, QueueLimit: 1000, RunTime: time.Second, Timeout: time.Minute}
	var all []fleet.Host
	for i := range hosts {
		all = append(all, host(i))
	}
	return fleet.NewStateFrom(1, []fleet.Pool{pool}, []fleet.Service{service}, nil, all)
}

// heapOf returns the heap that what build returns keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// timed returns the best time of one call over several batches, in nanoseconds.
func timed(call func()) float64 {
	const (
		batches = 7
		least   = 3 * time.Millisecond
	)
	calls := 1
	best := 0.0
	for batch := 0; batch < batches; {
		start := time.Now()
		for range calls {
			call()
		}
		took := time.Since(start)
		if took < least {
			calls *= 2
			continue
		}
		each := float64(took.Nanoseconds()) / float64(calls)
		if best == 0 || each < best {
			best = each
		}
		batch++
	}
	return best
}

func fleetBytes(hosts int) float64 {
	return heapOf(func() any { return fleetOf(hosts) })
}

func fleetApply(hosts int) float64 {
	state := fleetOf(hosts)
	change := fleet.Change{Version: 2, Hosts: []fleet.Host{host(0)}}
	return timed(func() {
		if _, err := state.Apply(change); err != nil {
			panic(err)
		}
	})
}

func changeBytes(hosts int) float64 {
	change := fleet.Change{Version: 2, OpID: uuid.NewString(), Cause: "planner: pool", At: epoch}
	for i := range hosts {
		change.Hosts = append(change.Hosts, host(i))
	}
	return float64(len(fleet.EncodeChange(change)))
}

func loadTime(hosts int) float64 {
	table := stand.NewTable()
	s := store.New(table.Adapter(), stand.NewObjects().Adapter())
	ctx := context.Background()
	change := fleet.Change{Version: 1}
	for i := range hosts {
		change.Hosts = append(change.Hosts, host(i))
	}
	if err := s.Commit(ctx, change, nil); err != nil {
		panic(err)
	}
	return timed(func() {
		if _, err := s.Load(ctx); err != nil {
			panic(err)
		}
	})
}

func queue(workers, classes int) *sched.Queue {
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
			q.Arrive(queued(fmt.Sprintf("%d-%d", c, i), c), epoch)
		}
	}
	return q
}

func queued(id string, team int) sched.Request {
	return sched.Request{
		ID:       id,
		Entry:    "entry-1",
		Service:  "service",
		Team:     fmt.Sprintf("team-%03d", team),
		Deadline: epoch.Add(time.Hour),
	}
}

// grant measures a request's arrival, its grant and its release, with half of
// the work waiting.
func grant(workers, classes int) float64 {
	q := queue(workers, classes)
	held := q.GrantIDs()
	i := 0
	return timed(func() {
		decisions := q.Release(held[i%len(held)], sched.Unused, epoch)
		if len(decisions) != 1 || decisions[0].Grant == nil {
			panic("the slot was not granted again")
		}
		held[i%len(held)] = decisions[0].Grant.ID
		q.Arrive(queued(fmt.Sprintf("more-%d", i), i%classes), epoch)
		i++
	})
}

func grantByWorkers(workers int) float64 { return grant(workers, 10) }

func grantByClasses(classes int) float64 { return grant(250, classes) }

func queuedBytes(requests int) float64 {
	q := queue(1, 8)
	return heapOf(func() any {
		for i := range requests {
			q.Arrive(queued(fmt.Sprintf("request-%d", i), i%8), epoch)
		}
		return q
	})
}

func keyBytes(keys int) float64 {
	return heapOf(func() any {
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
	return heapOf(func() any {
		log := event.NewLog("entry-1", events, time.Now)
		for i := range events {
			log.Add(event.RequestRefused, uuid.NewString(), uint64(i), "queue-full: no slot was granted")
		}
		return log
	})
}

func planTime(hosts int) float64 {
	state := fleetOf(hosts)
	return timed(func() { plan.Steps(state, "pool", nil, plan.Evidence{}, epoch) })
}

func ownerTime(members int) float64 {
	var infos []member.Info
	for i := range members {
		infos = append(infos, info(i))
	}
	return timed(func() { member.Owner("pool/banco-nord", infos) })
}
