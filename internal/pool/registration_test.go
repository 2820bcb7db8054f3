package pool

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform"
)

// Guards against a row of registrations that no owner can load: one odd line took the whole
// pool out of service. Such a lifetime is waited for like one without the end of its lease.
func TestOddRegistrationsAreWaitedFor(t *testing.T) {
	for _, tt := range []struct {
		in   string
		want []registration
	}{
		{"", nil},
		{"i-1@5\ni-2@6 1500", []registration{{"i-1@5", 0}, {"i-2@6", 1500 * time.Millisecond}}},
		{"i-1@5 soon\ni-2@6", []registration{{"i-1@5", 0}, {"i-2@6", 0}}},
		{"i-1@5 -1\n\n \ni-2@6 9223372036854775807", []registration{{"i-1@5", 0}, {"i-2@6", 0}}},
		{"i-1@5 1 2", []registration{{"i-1@5", 0}}},
	} {
		if got := decodeRegistrations([]byte(tt.in)); !slices.Equal(got, tt.want) {
			t.Errorf("%q: %+v, want %+v", tt.in, got, tt.want)
		}
	}
}

// Guards against a retired worker that is forgotten, or waited for in vain, because its id has
// the sign that separates it from its birth.
func TestIDWithTheSeparatorOfLifetimes(t *testing.T) {
	o, _ := benchOwner(0, 0)
	var cancel context.CancelFunc
	o.ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	o.jobsLoaded = true
	e := benchEntry(0)
	e.ID = "i@1"
	o.SetWorkers([]platform.WorkerEntry{e})
	(<-o.posts)()
	a := o.agents[lifetimeKey(e)]
	a.answered = true
	o.unseenUntil[a.key] = time.Now().Add(time.Hour)
	o.updateUnseen(time.Now())
	if len(o.unseenUntil) > 0 {
		t.Errorf("%s has answered and is still waited for", a.key)
	}
	o.retiredAt[a.key] = time.Now()
	e.Version++
	o.SetWorkers([]platform.WorkerEntry{e})
	(<-o.posts)()
	if len(o.retiredAt) == 0 {
		t.Errorf("%s is no longer known as retired", a.key)
	}
}

func FuzzRegistrations(f *testing.F) {
	for _, s := range []string{"", "i-1@5", "i-1@5 1500\ni-2@6", "i-1@5 x", "x\t 5 6", "a\n\nb", "\x00 \xff", "i-1@5 9223372036854775807"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		registrations := decodeRegistrations(data)
		for _, r := range registrations {
			if r.key == "" || r.leaseEnd < 0 {
				t.Errorf("%+v", r)
			}
		}
		if again := decodeRegistrations(encodeRegistrations(registrations)); !slices.Equal(again, registrations) {
			t.Errorf("%q: %+v, encoded and decoded again %+v", data, registrations, again)
		}
	})
}

// Guards against tasks that a new owner starts again though they are done: a worker lists only
// some of its ends at a time.
func TestWorkerThatHasNotListedAllEndsIsWaitedFor(t *testing.T) {
	o, entries := benchOwner(1, 0)
	key := lifetimeKey(entries[0])
	a := o.agents[key]
	a.answered = false
	now := time.Now()
	o.setUnseen([]registration{{key: key}}, now)
	until := o.earlierLeasesEnd()
	for _, tt := range []struct {
		name    string
		cut     bool
		leases  time.Time // the end of those that this owner has granted
		at      time.Time
		waiting bool
	}{
		{"some ends are listed", true, now.Add(time.Second), now, true},
		{"the leases of the earlier owner have expired", true, until.Add(time.Second), until.Add(time.Millisecond), true},
		{"all ends are listed", false, until.Add(time.Second), until.Add(2 * time.Millisecond), false},
		{"later ends are cut", true, until.Add(time.Second), until.Add(3 * time.Millisecond), false},
	} {
		a.leasesExpireAt = tt.leases
		o.handleListing(a, platform.Listing{EndsCut: tt.cut}, tt.at)
		o.updateUnseen(tt.at)
		if _, waiting := o.unseenUntil[key]; waiting != tt.waiting || waiting && o.unconfirmedUntil.Before(tt.at) {
			t.Errorf("%s: waits %v, until %v; want %v", tt.name, waiting, o.unconfirmedUntil.Sub(now), tt.waiting)
		}
	}
}

// Guards against tasks that a new owner starts elsewhere while a later lifetime runs them:
// one that answers in place of a registered one has ended it, but is not known yet.
func TestLifetimeThatALaterOneEndedIsWaitedForUntilThatOneHasListed(t *testing.T) {
	o, entries := benchOwner(1, 0)
	key := lifetimeKey(entries[0])
	a := o.agents[key]
	a.answered = false
	now := time.Now()
	o.setUnseen([]registration{{key: key}}, now)
	waiting := func(at time.Time) bool {
		o.updateUnseen(at)
		_, waiting := o.unseenUntil[key]
		return waiting
	}
	o.holdFailed(a, errors.Mark(errors.WithStack(platform.ErrLifetimeMismatch), platform.ErrRestarted), 0)
	if !waiting(now) || !waiting(now.Add(defaultMaxLease)) {
		t.Error("a lifetime is not waited for, though a later one may run its tasks")
	}
	next := &agent{key: "next", owner: o, entry: entries[0], cancel: func() {}}
	o.agents[next.key] = next
	o.lifetimes[entries[0].ID] = append(o.lifetimes[entries[0].ID], next)
	o.handleListing(next, platform.Listing{EndsCut: true}, now)
	if !waiting(now) {
		t.Error("a later lifetime that has not listed all its ends is not waited for")
	}
	o.handleListing(next, platform.Listing{}, now)
	if waiting(now) {
		t.Error("a lifetime is waited for after a later one has listed what it runs")
	}
}

// Guards against a task that the next owner starts again: it may run at a lifetime that has not
// answered yet, to which it moved with a start, and that is not registered.
func TestLifetimeWithMovedAttemptsIsRegistered(t *testing.T) {
	o, entries := benchOwner(1, 0)
	var cancel context.CancelFunc
	o.ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	e := entries[0]
	a := o.agents[lifetimeKey(e)]
	a.worker = &fakeWorker{}
	o.board.ExpireLeases(a.key, time.Now())
	if len(o.board.Decide(time.Now()).Starts) == 0 {
		t.Fatal("no starts")
	}
	e.Born++
	o.addAgent(e)
	o.removeLostWorkers(time.Now())
	if o.agents[a.key] != nil || o.board.Idle(lifetimeKey(e)) {
		t.Fatal("no attempt has moved to the later lifetime")
	}
	if r := o.collectRegistrations(); len(r) != 1 || r[0].key != lifetimeKey(e) {
		t.Errorf("registrations %v, want that of %s", r, lifetimeKey(e))
	}
}

// Guards against a task that the next owner starts elsewhere too early: a worker that started
// again may keep a lease that was meant for its lifetime before for as long as the platform allows,
// and the owner that handed the pool over has stated its end.
func TestStatedEndOfALongLeaseIsWaitedFor(t *testing.T) {
	for _, tt := range []struct {
		stated, want time.Duration // since now
	}{
		{time.Second, time.Second},
		{9 * time.Second, 9 * time.Second},
		{time.Hour, takeoverWait + 10450*time.Millisecond}, // not by an owner of this pool
	} {
		o, _ := benchOwner(0, 0)
		clock, _ := o.store.Clock()
		o.setUnseen([]registration{{"i-1@5", clock + tt.stated}}, o.claimedAt)
		if got := o.unseenUntil["i-1@5"].Sub(o.claimedAt); got != tt.want {
			t.Errorf("a lease that ends in %v is waited for until %v from now, want %v", tt.stated, got, tt.want)
		}
	}
}

// Guards against a task that the next owner starts elsewhere too early: a worker has started again,
// its entry has not arrived, and the owner that hands the pool over does not state until when it
// may run what was meant for its lifetime before.
func TestLongestLeaseOfARestartedWorkerIsStated(t *testing.T) {
	o, e := newOwner(t)
	go o.Run()
	t.Cleanup(o.Close)
	stated := make(chan time.Duration, 1)
	var state func()
	state = func() {
		a := o.agents[lifetimeKey(e)]
		if a == nil || !a.registered {
			time.AfterFunc(tickPeriod, func() { o.post(state) })
			return
		}
		o.holdFailed(a, errors.Mark(errors.WithStack(platform.ErrLifetimeMismatch), platform.ErrRestarted), 0)
		o.endLeases(time.Now())
		_, clock := o.store.Clock()
		stated <- a.leaseEnd - clock
	}
	o.post(state)
	select {
	case end := <-stated:
		if end < defaultMaxLease {
			t.Errorf("the leases are stated to end in %v, want %v at least", end, defaultMaxLease)
		}
	case <-time.After(5 * time.Second):
		t.Error("the worker is not registered")
	}
}

// Guards against work that stands still while its pool changes hands again and again: each owner
// waited for a whole lease of a worker that was gone before the first one came (review/11).
func TestWaitForAWorkerOutlastsHandOvers(t *testing.T) {
	o, _ := newOwner(t)
	if _, _, err := o.store.ReadAll(t.Context(), tableJob, o.name); err != nil { // shows the store's clock
		t.Fatal(err)
	}
	const (
		key     = "i-gone@5"
		between = 1300 * time.Millisecond
	)
	o.setUnseen([]registration{{key: key}}, o.claimedAt)
	o.started = true
	stored := o.collectRegistrations()
	if len(stored) != 1 || stored[0].leaseEnd <= 0 {
		t.Fatalf("registrations %v, want one with the end of its lease", stored)
	}
	first, end := o.claimedAt, o.unseenUntil[key]
	for i := 1; first.Add(time.Duration(i) * between).Before(end); i++ {
		// The next owner claims the pool later; instead of that time, the store's clock is set back.
		passed := time.Duration(i) * between
		o.claimedAt = first.Add(passed)
		o.unseenUntil, o.statedEnds = map[string]time.Time{}, map[string]time.Duration{}
		now := time.Now().Add(passed)
		o.setUnseen([]registration{{key, stored[0].leaseEnd - passed}}, now)
		if late := o.unseenUntil[key].Sub(end); late.Abs() > 100*time.Millisecond {
			t.Errorf("owner %d waits for %v longer than the first one", i+1, late)
		}
		if r := o.collectRegistrations(); len(r) != 1 || r[0].leaseEnd != stored[0].leaseEnd-passed {
			t.Errorf("owner %d registers %v, want the end that it has read", i+1, r)
		}
	}
}

// Guards against a lease that a later owner does not wait for: one that is granted while the stored
// registration states when the leases there end.
func TestNoLeaseWhileItsEndIsStated(t *testing.T) {
	o, entry := newOwner(t)
	if _, _, err := o.store.ReadAll(t.Context(), tableJob, o.name); err != nil {
		t.Fatal(err)
	}
	key := lifetimeKey(entry)
	ctx, cancel := context.WithCancel(t.Context())
	a := &agent{key: key, owner: o, entry: entry, cancel: cancel, ctx: ctx, starts: make(chan order, 1)}
	o.agents[key], o.lifetimes[entry.ID], a.registered = a, []*agent{a}, true
	o.setUnseen([]registration{{key: key}}, time.Now())
	stated := func() bool {
		r := o.collectRegistrations()
		if len(r) != 1 {
			t.Fatalf("registrations %v, want one", r)
		}
		return r[0].leaseEnd > 0
	}
	if stated() {
		t.Error("the end of the leases is stated before the pool is taken over")
	}
	o.started = true
	if !stated() || a.registered {
		t.Errorf("a worker that has not answered: the end of its leases is stated: %v, it may get tasks: %v", stated(), a.registered)
	}
	a.setClock(time.Second, time.Now())
	if until := a.nextLease(); until != 0 {
		t.Errorf("a lease until %v is granted, though the end of the leases is stated", until)
	}
	o.handleListing(a, platform.Listing{Clock: time.Second}, time.Now())
	if stated() {
		t.Error("the end of the leases of a worker that answers is stated")
	}
	if until := a.nextLease(); until != 0 {
		t.Errorf("a lease until %v is granted before the registration is stored", until)
	}
	o.markRegistered(o.collectRegistrations())
	if until := a.nextLease(); until == 0 || !a.registered {
		t.Errorf("a lease until %v is granted once the registration is stored, and the worker may get tasks: %v", until, a.registered)
	}
}

// Guards against the same where the worker answers just before its leases' end would be stated.
func TestEndIsNotStatedOnceALeaseMayBeGranted(t *testing.T) {
	o, entry := newOwner(t)
	if _, _, err := o.store.ReadAll(t.Context(), tableJob, o.name); err != nil {
		t.Fatal(err)
	}
	key := lifetimeKey(entry)
	a := &agent{key: key, owner: o, entry: entry, cancel: func() {}}
	o.agents[key], o.lifetimes[entry.ID] = a, []*agent{a}
	o.setUnseen([]registration{{key: key}}, time.Now())
	o.started = true
	a.setClock(time.Second, time.Now()) // its list has not been handled yet
	if r := o.collectRegistrations(); len(r) != 1 || r[0].leaseEnd != 0 {
		t.Errorf("registrations %v, want one without an end", r)
	}
	if until := a.nextLease(); until == 0 {
		t.Error("no lease is granted, though no end is stated")
	}
}
