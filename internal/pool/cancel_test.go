package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// cancelPool is a platform with one pool, whose owners come one after the other.
type cancelPool struct {
	t        *testing.T
	platform *mimic.Platform
	owner    *Owner
}

func newCancelPool(t *testing.T) *cancelPool {
	t.Helper()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	o, _ := newOwnerOn(t, p)
	c := &cancelPool{t: t, platform: p}
	c.run(o)
	return c
}

// run starts an owner and waits until it answers.
func (c *cancelPool) run(o *Owner) {
	c.t.Helper()
	c.owner = o
	go o.Run()
	c.t.Cleanup(o.Close)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, v := o.Pending(c.t.Context(), "q"); v == Accepted {
			return
		}
	}
	c.t.Fatal("the owner does not answer")
}

// replace makes another owner claim the pool, and starts it with these workers.
func (c *cancelPool) replace(workers ...platform.WorkerEntry) {
	c.t.Helper()
	last := c.owner
	self := Identity{Node: "entry-2", Life: "1"}
	own, err := Claim(c.t.Context(), last.store, self, Ownership{Pool: "p1", Token: last.token, Version: last.rowVersion}, Conditions{})
	if err != nil {
		c.t.Fatal(err)
	}
	o := New(c.t.Context(), own, Settings{Self: self, Store: last.store, Log: last.log})
	o.SetWorkers(workers)
	c.run(o)
}

// ask calls f until its verdict is known.
func (c *cancelPool) ask(f func(ctx context.Context) Verdict) Verdict {
	c.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v := f(c.t.Context()); v != Unknown {
			return v
		}
	}
	c.t.Fatal("no verdict")
	return Unknown
}

func (c *cancelPool) submit(id jobs.ID) Verdict {
	c.t.Helper()
	j := jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}}}}
	return c.ask(func(ctx context.Context) Verdict {
		v, _ := c.owner.Submit(ctx, j)
		return v
	})
}

func (c *cancelPool) cancel(id jobs.ID) Verdict {
	c.t.Helper()
	return c.ask(func(ctx context.Context) Verdict { return c.owner.Cancel(ctx, id) })
}

// Guards against a job that runs after its cancel was answered 410: its submission was held
// up on the way, and arrived after the cancel, at the same owner or at the next one.
func TestSubmissionAfterItsCancelDoesNotRun(t *testing.T) {
	t.Parallel()
	const id = jobs.ID("0000000000000001")
	for _, tt := range []struct {
		name                  string
		lostBefore, lostAfter bool // the owner is replaced before or after the submission
	}{
		{name: "same owner"},
		{name: "next owner", lostBefore: true},
		{name: "owner replaced after the submission", lostAfter: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCancelPool(t)
			worker := workerEntry(t, c.owner.store)
			for range 2 { // callers repeat a cancel
				if v := c.cancel(id); v != Missing {
					t.Fatalf("cancel of an unknown job: verdict %v, want %v", v, Missing)
				}
			}
			if _, v := c.owner.State(t.Context(), id); v != Missing {
				t.Errorf("state of a job that nobody submitted: verdict %v, want %v", v, Missing)
			}
			if tt.lostBefore {
				c.replace(worker)
			}
			if v := c.submit(id); v != Accepted {
				t.Errorf("submission: verdict %v, want %v", v, Accepted)
			}
			if tt.lostAfter {
				c.replace(worker)
			}
			if s, v := c.owner.State(t.Context(), id); s != jobs.Cancelled || v != Accepted {
				t.Errorf("state %q, verdict %v, want %q", s, v, jobs.Cancelled)
			}
			if v := c.cancel(id); v != Accepted {
				t.Errorf("cancel after the submission: verdict %v, want %v", v, Accepted)
			}
			if !completes(t, c.owner, "0000000000000002", 5*time.Second) {
				t.Error("another job does not complete")
			}
			for _, r := range c.platform.Runs() {
				if r.Task[:len(id)] == string(id) {
					t.Errorf("%s started though its job's cancel had been acknowledged", r.Task)
				}
			}
		})
	}
}

// Guards against a cancel that is acknowledged from the memory of an owner that was replaced
// without knowing it, for a job that the next owner has accepted.
func TestReplacedOwnerAcknowledgesNoCancel(t *testing.T) {
	t.Parallel()
	testReplacedOwner(t, (*Owner).Cancel)
}

// Guards against accepted jobs that are called unknown by an owner that was replaced and has not
// heard of it.
func TestReplacedOwnerCallsNoJobUnknown(t *testing.T) {
	t.Parallel()
	testReplacedOwner(t, func(o *Owner, ctx context.Context, id jobs.ID) Verdict {
		_, v := o.State(ctx, id)
		return v
	})
}

// testReplacedOwner calls the last owner of a pool for a job that the present one has accepted.
func testReplacedOwner(t *testing.T, call func(o *Owner, ctx context.Context, id jobs.ID) Verdict) {
	t.Helper()
	c := newCancelPool(t)
	c.replace()                        // without workers, which would refuse the last owner
	time.Sleep(100 * time.Millisecond) // until its transactions are over, up to the next heartbeat
	last := c.owner
	c.replace()
	const id = jobs.ID("0000000000000001")
	if v := c.submit(id); v != Accepted {
		t.Fatalf("submission: verdict %v, want %v", v, Accepted)
	}
	if v := call(last, t.Context(), id); v != Unknown {
		t.Errorf("call of the last owner: verdict %v, want %v", v, Unknown)
	}
}

// Guards against cancels that are acknowledged before they are stored, the first and the
// ones that come while it is under way.
func TestCancelIsStoredBeforeItIsAcknowledged(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		known bool
	}{{"job", true}, {"unknown job", false}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCancelPool(t)
			const id = jobs.ID("0000000000000001")
			want := Missing
			if tt.known {
				want = Accepted
				if v := c.submit(id); v != Accepted {
					t.Fatalf("submission: verdict %v, want %v", v, Accepted)
				}
			}
			c.platform.Store.Fail(mimic.Busy)
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				if v := c.owner.Cancel(ctx, id); v != Unknown {
					t.Errorf("cancel %d without the store: verdict %v, want %v", i, v, Unknown)
				}
				cancel()
			}
			c.platform.Store.Fail(mimic.Healthy)
			if v := c.cancel(id); v != want {
				t.Errorf("cancel with the store: verdict %v, want %v", v, want)
			}
		})
	}
}

// Guards against rows of cancelled jobs that are kept for ever.
func TestCancelsOfUnknownJobsExpire(t *testing.T) {
	t.Parallel()
	c := newCancelPool(t)
	const id = jobs.ID("0000000000000001")
	c.cancel(id)
	if c.platform.Store.Get(tableCancelled, "p1", string(id)) == nil {
		t.Fatal("no row")
	}
	expired := make(chan struct{})
	c.owner.post(func() {
		c.owner.expireCancelled(time.Now().Add(minCancelRetention + time.Second))
		close(expired)
	})
	<-expired
	for end := time.Now().Add(2 * time.Second); c.platform.Store.Get(tableCancelled, "p1", string(id)) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the row stays")
		}
	}
	if v := c.submit(id); v != Accepted {
		t.Errorf("submission: verdict %v, want %v", v, Accepted)
	}
	if s, _ := c.owner.State(t.Context(), id); s == jobs.Cancelled {
		t.Error("a submission counts as cancelled though its cancel has expired")
	}
}

// Guards against a cancel that is answered 410 while the job's submission is being stored, whose
// caller has had no verdict.
func TestCancelWhileTheSubmissionIsUnderWay(t *testing.T) {
	t.Parallel()
	for _, failure := range []mimic.Failure{mimic.Busy, mimic.Silent, mimic.Lossy} {
		t.Run(fmt.Sprint(failure), func(t *testing.T) {
			t.Parallel()
			c := newCancelPool(t)
			const id = jobs.ID("0000000000000001")
			c.platform.Store.Fail(failure)
			verdicts := map[Verdict]int{}
			for end := time.Now().Add(1600 * time.Millisecond); time.Now().Before(end); {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				c.owner.Submit(ctx, jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}}}})
				cancel()
				ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
				verdicts[c.owner.Cancel(ctx, id)]++
				cancel()
			}
			if len(verdicts) != 1 || verdicts[Unknown] == 0 {
				t.Errorf("verdicts on cancels without the store: %v, want %v alone", verdicts, Unknown)
			}
			c.platform.Store.Fail(mimic.Healthy)
			v := c.cancel(id)
			acknowledged := time.Now()
			c.submit(id)
			time.Sleep(200 * time.Millisecond)
			for _, r := range c.platform.Runs() {
				if r.Started.After(acknowledged) {
					t.Errorf("%s started after its job's cancel was acknowledged with %v", r.Task, v)
				}
			}
			if s, _ := c.owner.State(t.Context(), id); s != jobs.Cancelled {
				t.Errorf("state %q, want %q", s, jobs.Cancelled)
			}
		})
	}
}

// Guards against a job that counts as unknown, so that its cancel is acknowledged and its
// submission accepted once more, because its stored rows can't be decoded.
func TestJobThatCannotBeDecodedIsNotUnknown(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ table, row string }{
		{tableJob, `{"id":`},
		{tableJob, `{"id":"0000000000000001","spec":"","steps":[{"count":-1}],"queue":"q","pool":"p1","submitted-ms":1}`},
		{tableProgress, `{"done":["zz"]}`},
	} {
		t.Run(tt.table+" "+tt.row, func(t *testing.T) {
			t.Parallel()
			c := newCancelPool(t)
			worker := workerEntry(t, c.owner.store)
			const id = jobs.ID("0000000000000001")
			if v := c.submit(id); v != Accepted {
				t.Fatalf("submission: verdict %v, want %v", v, Accepted)
			}
			c.platform.Store.Put(tt.table, "p1", string(id), []byte(tt.row))
			c.replace(worker)
			_, state := c.owner.State(t.Context(), id)
			cancel := c.owner.Cancel(t.Context(), id)
			found, _ := c.owner.Find(t.Context(), id, "")
			ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer stop()
			submit, _ := c.owner.Submit(ctx, jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1}}})
			if state != Unknown || cancel != Unknown || found != Unknown || submit != Unknown {
				t.Errorf("verdicts: state %v, cancel %v, find %v, submission %v, want %v", state, cancel, found, submit, Unknown)
			}
			if !completes(t, c.owner, "0000000000000002", 5*time.Second) {
				t.Error("another job does not complete")
			}
		})
	}
}
