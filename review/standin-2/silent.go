package main

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// pools are those of the deployment, without its two larger ones.
var pools = []mimic.Pool{{Name: "banco-nord", Hosts: 9}, {Name: "banco-sud", Hosts: 9}, {Name: "assistenza", Hosts: 8, Standby: true}}

const (
	workerMillicores = 32_000
	workerMemory     = 131_072
	processes        = 8
)

// queues returns a queue for each name; the names are also their prefixes.
func queues(pool string, names ...string) []platform.Queue {
	var all []platform.Queue
	for _, name := range names {
		all = append(all, platform.Queue{
			Name: name, Host: callersHost, Prefix: "/" + name + "/", Pool: pool,
			Timeout: 3 * time.Second, Target: 600 * time.Millisecond, Slack: 1.6, MaxAttempts: 3,
		})
	}
	return all
}

// silentChannels plays the case of connections to the store that go silent. All processes follow
// the operator's table with a call that the store holds open for 4 s, and notice a silent
// connection only when that call has timed out. A route that is added meanwhile is unknown to all
// of them for longer than the rule allows.
func silentChannels(s *session) error {
	var store *stand.Relay
	var machines netip.AddrPort
	p, err := mimic.New(mimic.Options{
		Pools: pools, Millicores: workerMillicores, MemoryMB: workerMemory, Transaction: 8 * time.Millisecond,
		Migration: 1500 * time.Millisecond, Maintenance: 2 * time.Second,
		Via: func(server netip.AddrPort) netip.AddrPort { // the first server is the store, the second one the machine API
			r, err := stand.NewRelay(server)
			switch {
			case err != nil || store != nil && machines.IsValid():
			case store == nil:
				store = r
				return r.Addr()
			default:
				machines = server
			}
			return server
		},
	})
	if err != nil {
		return err
	}
	defer p.Close()
	if store == nil {
		return errors.New("no relay")
	}
	defer store.Close()
	p.Configure(mimic.Config(1, queues("banco-nord", "cartellini"), pools))
	if err := s.start(processes, store.Addr(), machines); err != nil {
		return err
	}

	p.Configure(mimic.Config(4, queues("banco-nord", "cartellini", "etichette"), pools))
	s.note("operator: version 4 adds the route /etichette/; acknowledged")
	for end := time.Now().Add(configApplyTime); ; time.Sleep(20 * time.Millisecond) {
		known := 0
		for _, d := range s.daemons {
			if status, _ := s.get(d, portCallers, "/etichette/"); status == http.StatusOK {
				known++
			}
		}
		if known == processes {
			break
		}
		if time.Now().After(end) {
			return errors.New("version 4 is not in force in time")
		}
	}
	s.note("version 4 is in force at all processes")
	time.Sleep(200 * time.Millisecond)

	silencedAt := time.Now()
	if s.trouble {
		store.Silence()
		s.note("the open connections to the store go silent; new ones work")
	}
	time.Sleep(100 * time.Millisecond)
	p.Configure(mimic.Config(9, queues("banco-nord", "cartellini", "etichette", "buoni"), pools))
	ackedAt := time.Now()
	s.note("operator: version 9 adds the route /buoni/; acknowledged")
	judgedFrom := ackedAt.Add(configApplyTime)
	if inTouch := silencedAt.Add(contactTime); s.trouble && inTouch.After(judgedFrom) {
		judgedFrom = inTouch // a reset of the channels of all machines
	}
	s.note("judged are requests from %.3f on", judgedFrom.Sub(s.began).Seconds())

	var mu sync.Mutex
	var late []string
	accepted := 0
	var callers sync.WaitGroup
	for time.Since(ackedAt) < 7*time.Second {
		for _, d := range s.daemons {
			callers.Go(func() {
				id, sentAt := newID(), time.Now()
				status, _ := s.request(http.MethodPost, d, portCallers, "/buoni/"+id, `{"spec":"100ms","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":100}]}`)
				s.note("%s: POST /buoni/%s sent at %.3f: %d", d.node, id, sentAt.Sub(s.began).Seconds(), status)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					accepted++
				}
				if status == http.StatusNotFound && sentAt.After(judgedFrom) {
					late = append(late, d.node)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	callers.Wait()
	if accepted == 0 {
		return errors.New("no submission was accepted")
	}
	slices.Sort(late)
	if len(late) > 0 {
		return errors.Wrapf(errBroken, "CONFIG: %d submissions by the route of version 9 were refused with 404 by %d processes in touch", len(late), len(slices.Compact(late)))
	}
	return nil
}
