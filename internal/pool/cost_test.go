package pool

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// The benchmarks of this file give the cost of one event in an owner's loop as a
// function of the number of workers, with 8 tasks a worker, 300 active jobs and 3,000
// final ones.

const (
	benchActive   = 300
	benchFinal    = 3000
	benchPerWork  = 8
	benchAttempts = 1000
)

func benchJob(n, count int, now time.Time) jobs.Job {
	return jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%016x", n)), Spec: "spec", Queue: fmt.Sprintf("q%d", n%2), Pool: "p", Submitted: now,
		Steps: []jobs.Step{{Count: count, Size: jobs.Resources{Millicores: 4000, MemoryMB: 1024}, Estimate: 640 * time.Millisecond}},
	}
}

func benchEntry(i int) platform.WorkerEntry {
	return platform.WorkerEntry{
		ID: fmt.Sprintf("i-%010x", i), Pool: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "z",
		Size: jobs.Resources{Millicores: 32000, MemoryMB: 128 << 10}, Labels: []string{"k", fmt.Sprintf("r%d", i/12)}, Born: 1790000000000,
	}
}

// benchOwner returns an owner whose loop does not run, with agents that make no calls.
func benchOwner(workers, final int) (*Owner, []platform.WorkerEntry) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := Settings{Store: platform.NewStore(platform.StoreSettings{Addr: netip.MustParseAddrPort("127.0.0.1:9")}), Log: logrus.NewEntry(log)}
	o := New(context.Background(), Ownership{Pool: "p", Token: 2}, s)
	now := time.Now()
	entries := make([]platform.WorkerEntry, workers)
	for i := range entries {
		e := benchEntry(i)
		entries[i] = e
		a := &agent{
			key: lifetimeKey(e), owner: o, cancel: func() {}, starts: make(chan order, 1), ackRaised: make(chan struct{}),
			entry: e, answered: true, registered: true, leasesExpireAt: now.Add(time.Hour),
		}
		o.agents[a.key], o.lifetimes[e.ID], o.entries[e.ID] = a, []*agent{a}, e
		o.syncAgent(a)
	}
	count := (workers*benchPerWork + benchActive - 1) / benchActive
	listings := map[string][]place.Running{}
	n := 0
	for j := range benchActive {
		job := benchJob(j, count+1, now)
		o.board.Add(job, jobs.NewProgress(job), now)
		for i := range count {
			key := lifetimeKey(entries[n%workers])
			n++
			if len(listings[key]) < benchPerWork {
				listings[key] = append(listings[key], place.Running{Task: jobs.Task{Job: job.ID, Index: i}, Attempt: 1, Percent: 10})
			}
		}
	}
	for j := range final {
		job := benchJob(1<<20+j, 8, now)
		p := jobs.NewProgress(job)
		p.Final = jobs.Complete
		o.board.Add(job, p, now)
	}
	for key, running := range listings {
		o.board.Listed(key, running, nil, now, now)
	}
	o.jobsLoaded, o.started = true, true
	o.registrations = o.collectRegistrations()
	o.committedAt = now.Add(time.Hour) // no heartbeat is due
	o.status.confirm(o.committedAt, 0)
	for _, e := range benchIDs(o) {
		_, _, _ = o.board.EncodeProgress(e)
	}
	return o, entries
}

func benchIDs(o *Owner) []jobs.ID {
	ids, _ := o.board.Dirty()
	return ids
}

func forWorkers(b *testing.B, f func(b *testing.B, o *Owner, entries []platform.WorkerEntry)) {
	for _, w := range []int{85, 350, 2800} {
		b.Run(fmt.Sprintf("W=%d", w), func(b *testing.B) {
			o, entries := benchOwner(w, benchFinal)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, o, entries)
		})
	}
}

func BenchmarkDecideReference(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		for b.Loop() {
			o.board.Decide(time.Now())
		}
	})
}

func BenchmarkSetWorkers(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, entries []platform.WorkerEntry) {
		for i := 0; b.Loop(); i++ {
			entries[i%len(entries)].Version++
			o.SetWorkers(entries)
			(<-o.posts)()
		}
	})
}

func BenchmarkCommitCheck(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		for b.Loop() {
			o.maybeCommit(time.Now())
		}
	})
}

func BenchmarkBuildAndAcknowledge(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		n := uint64(0)
		for b.Loop() {
			n++
			c := o.buildCommit(nil)
			o.handleCommitResult(c, n, nil)
			o.commitAfter = time.Time{}
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		now := time.Now()
		o.summarizedAt = now.Add(time.Hour)
		for b.Loop() {
			o.tick(now)
		}
	})
}

func BenchmarkSummary(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		for b.Loop() {
			_ = fmt.Sprintf("%+v", o.board.Summary(time.Now()))
		}
	})
}

func BenchmarkLoad(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		for b.Loop() {
			o.board.Load(time.Now())
		}
	})
}

func BenchmarkLoadEncoded(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		l := o.board.Load(time.Now())
		var buffer bytes.Buffer
		enc, dec := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
		size := 0
		for b.Loop() {
			if err := enc.Encode(l); err != nil {
				b.Fatal(err)
			}
			size = buffer.Len()
			var got place.Load
			if err := dec.Decode(&got); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "wire-bytes")
	})
}

func BenchmarkVacate(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, entries []platform.WorkerEntry) {
		go func() {
			for {
				select {
				case f := <-o.calls:
					f()
				case <-b.Context().Done():
					return
				}
			}
		}()
		i := 0
		for b.Loop() {
			i++
			o.Vacate(context.Background(), []string{entries[i%len(entries)].ID})
		}
	})
}

func BenchmarkListing(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, entries []platform.WorkerEntry) {
		a := o.agents[lifetimeKey(entries[0])]
		var l platform.Listing
		for _, at := range o.board.Attempts(a.key) {
			l.Running = append(l.Running, platform.RunningAttempt{Task: at.Task, Attempt: at.Number, Percent: 10})
		}
		for b.Loop() {
			o.handleListing(a, l, time.Now())
		}
	})
}

func BenchmarkPending(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		for b.Loop() {
			o.board.Pending("q0")
		}
	})
}

func BenchmarkAdmission(b *testing.B) {
	forWorkers(b, func(b *testing.B, o *Owner, _ []platform.WorkerEntry) {
		j := benchJob(1<<24, 8, time.Now())
		j.Steps[0].Size.Millicores = 64000 // fits nowhere, so that the backlog is added up
		for b.Loop() {
			o.board.CannotFinishInTime(j, time.Now())
		}
	})
}

func BenchmarkUnseenTick(b *testing.B) {
	for _, w := range []int{85, 350, 2800} {
		b.Run(fmt.Sprintf("W=%d", w), func(b *testing.B) {
			o, _ := benchOwner(w, 0)
			for i := range w / 10 { // a tenth of the registered workers has not answered
				o.unseenUntil[fmt.Sprintf("i-x%d@1", i)] = time.Now().Add(time.Hour)
			}
			b.ResetTimer()
			for b.Loop() {
				o.updateUnseen(time.Now())
			}
		})
	}
}

func BenchmarkTakeover(b *testing.B) {
	for _, final := range []int{0, 3000, 30000} {
		b.Run(fmt.Sprintf("final=%d", final), func(b *testing.B) {
			now := time.Now()
			var jobRows, progressRows []platform.Row
			for i := range benchActive + final {
				j := benchJob(i, 8, now)
				p := jobs.NewProgress(j)
				if i >= benchActive {
					p.Final = jobs.Complete
				}
				row, _ := j.Encode()
				progress, _ := p.Encode()
				jobRows = append(jobRows, platform.Row{Key: string(j.ID), Value: row})
				progressRows = append(progressRows, platform.Row{Key: string(j.ID), Value: progress})
			}
			for b.Loop() {
				b.StopTimer()
				o, _ := benchOwner(85, 0)
				o.board = place.NewBoard(place.DefaultPolicy(), benchAttempts)
				b.StartTimer()
				o.addStoredJobs(jobRows, progressRows, nil, now)
			}
		})
	}
}

// Guards against an owner that runs out of processor time because each tick, and each order for
// a host that was carried out, looks at all workers of the pool.
func TestTickCost(t *testing.T) {
	const workers = 112
	for _, tt := range []struct {
		name  string
		event func(o *Owner, a *agent)
	}{
		{"nothing happens", func(*Owner, *agent) {}},
		{"a worker becomes idle", func(o *Owner, a *agent) { o.board.ExpireLeases(a.key, time.Now()) }},
		{"a worker falls silent", func(o *Owner, a *agent) {
			a.failedCallAt = time.Now()
			o.holdFailed(a, platform.ErrOutcomeUnknown, 0)
		}},
		{"a worker is retired", func(o *Owner, a *agent) {
			o.Retire(a.key)
			(<-o.posts)()
		}},
	} {
		looks := func(workers int) uint64 {
			o, entries := benchOwner(workers, 0)
			now := time.Now()
			o.tick(now)
			before := o.examined
			a := o.agents[lifetimeKey(entries[0])]
			a.worker = &fakeWorker{}
			tt.event(o, a)
			o.tick(now)
			return o.examined - before
		}
		if small, large := looks(workers), looks(8*workers); large > 2*small {
			t.Errorf("%s: a tick looked at %d with %d workers, at %d with %d", tt.name, large, 8*workers, small, workers)
		}
	}
}

// Guards against an order for a host that costs a look at all workers that do not answer.
func TestRetirementLooksAtOneWorker(t *testing.T) {
	o, entries := benchOwner(20, 0)
	for _, e := range entries {
		a := o.agents[lifetimeKey(e)]
		a.worker, a.failedCallAt = &fakeWorker{}, time.Now()
		o.holdFailed(a, platform.ErrOutcomeUnknown, 0)
	}
	before := o.examined
	o.Retire(lifetimeKey(entries[0]))
	(<-o.posts)()
	if o.agents[lifetimeKey(entries[0])] != nil || len(o.agents) != 19 {
		t.Errorf("%d workers after one was retired, want the 19 others", len(o.agents))
	}
	if looks := o.examined - before; looks != 1 {
		t.Errorf("looked at %d workers for one that was retired, want 1", looks)
	}
}

// Guards against a worker that is lost but never found to be, since the owner looks only at
// those that it has reason to suspect.
func TestLostWorkersAreFound(t *testing.T) {
	const wait = 2 * missingTimeout
	for _, tt := range []struct {
		name string
		lose func(o *Owner, a *agent)
		want func(o *Owner, a *agent) bool // after wait
	}{
		{"it is silent, and its leases end", func(o *Owner, a *agent) {
			a.leasesExpireAt, a.failedCallAt = time.Now().Add(wait/2), time.Now()
			o.holdFailed(a, platform.ErrOutcomeUnknown, 0)
		}, func(o *Owner, a *agent) bool { return o.board.Idle(a.key) && o.agents[a.key] == a }},
		{"its entry is gone", func(o *Owner, _ *agent) {
			o.SetWorkers(nil)
			(<-o.posts)()
		}, func(o *Owner, a *agent) bool {
			return o.board.Summary(time.Now()).Draining == 1 && o.agents[a.key] == a
		}},
		{"it has started anew", func(o *Owner, a *agent) { o.endLifetime(a, lifetimeOrdered, "") }, func(o *Owner, a *agent) bool { return o.agents[a.key] == nil }},
	} {
		synctest.Test(t, func(t *testing.T) {
			o, entries := benchOwner(1, 0)
			a := o.agents[lifetimeKey(entries[0])]
			a.worker = &fakeWorker{}
			o.tick(time.Now())
			tt.lose(o, a)
			for range wait / tickPeriod {
				time.Sleep(tickPeriod)
				o.tick(time.Now())
			}
			if !tt.want(o, a) {
				t.Errorf("%s: the owner did not notice", tt.name)
			}
		})
	}
}

// Guards against an agent that renews leases as if its worker had tasks, or as if it had none,
// because the owner does not learn of a change.
func TestAgentsKnowWhetherTheirWorkersHaveTasks(t *testing.T) {
	o, entries := benchOwner(3, 0)
	check := func(when string) {
		t.Helper()
		o.tick(time.Now())
		for _, a := range o.agents {
			if a.busy == o.board.Idle(a.key) {
				t.Errorf("%s: %s is idle: %v, its agent knows it as busy: %v", when, a.key, o.board.Idle(a.key), a.busy)
			}
		}
	}
	check("tasks run")
	key := lifetimeKey(entries[1])
	o.board.ExpireLeases(key, time.Now())
	check("its leases expired")
	o.dispatch(time.Now())
	o.decideAfter = time.Time{}
	check("tasks were placed")
	for _, a := range o.board.Attempts(key) {
		o.board.Refused(key, a.Task, a.Number, time.Now())
	}
	check("starts were refused")
}

func TestRegistrationRowSize(t *testing.T) {
	for _, w := range []int{85, 350, 2400, 2800} {
		o, _ := benchOwner(w, 0)
		t.Logf("W=%d: registration row %d bytes (row_bytes 65536)", w, len(encodeRegistrations(o.collectRegistrations())))
	}
}

// BenchmarkNewAgent measures what a worker that joins a pool costs its owner.
func BenchmarkNewAgent(b *testing.B) {
	o, _ := benchOwner(1, 0)
	w := &fakeWorker{rate: 1, began: time.Now()}
	w.hold = func(ctx context.Context, _ platform.HoldRequest) (platform.Listing, error) {
		<-ctx.Done()
		return platform.Listing{}, ctx.Err()
	}
	b.ReportAllocs()
	for b.Loop() {
		newAgent(o.ctx, o, benchEntry(7), w).close()
	}
}
