package broker

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/sched"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// environment provides a dispatcher with the members' grants and the time.
type environment struct {
	mu       sync.Mutex
	now      time.Time
	holdings []MemberGrants
}

func (s *environment) advance(passed time.Duration, holdings ...MemberGrants) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(passed)
	s.holdings = holdings
}

func (s *environment) time() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *environment) held(context.Context, string) ([]MemberGrants, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings, []string{"e1", "e2"}
}

// newTestDispatcher returns a dispatcher with one slot that has recovered the
// holdings.
func newTestDispatcher(holdings ...MemberGrants) (*dispatcher, *environment) {
	s := &environment{now: start, holdings: holdings}
	d := newUnrecoveredDispatcher(s)
	d.recoverGrants()
	return d, s
}

// newUnrecoveredDispatcher returns a dispatcher with one slot that has not asked the
// members yet.
func newUnrecoveredDispatcher(s *environment) *dispatcher {
	d := newDispatcher("p", Config{QueryGrants: s.held, Log: event.NewLog("e1", 16, time.Now), Now: s.time})
	spec := fleet.HostSpec{Name: "w", Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1}
	service := fleet.Service{Name: "s", Pool: "p", Weight: 1, QueueLimit: 9, RunTime: time.Second}
	host := fleet.Host{Spec: spec, Pool: "p", State: fleet.Serving}
	d.configure(fleet.NewStateFrom(1, []fleet.Pool{{Name: "p"}}, []fleet.Service{service}, nil, []fleet.Host{host}), nil)
	return d
}

func foreignGrant(id uint64) sched.Grant {
	return sched.Grant{ID: id, Request: "elsewhere", Entry: "e2", Service: "s", Team: "t", Worker: "w"}
}

// acquireInBackground requests the slot, waits until the request is queued or
// granted, and returns the channel of the decision.
func acquireInBackground(t *testing.T, d *dispatcher, s *environment) <-chan sched.Decision {
	t.Helper()
	decisions := make(chan sched.Decision, 1)
	before := d.load().Waiting + d.load().Running
	r := sched.Request{ID: "r", Entry: "e1", Service: "s", Team: "t", Deadline: s.time().Add(time.Hour)}
	go func() {
		decision, err := d.acquire(context.Background(), r)
		if err != nil {
			t.Error(err)
		}
		decisions <- decision
	}()
	for d.load().Waiting+d.load().Running == before {
		time.Sleep(time.Millisecond)
	}
	return decisions
}

// A grant that was taken over may be released by its entry to the dispatcher
// that issued it. It must be taken back here even if it was taken over
// recently, or its slot leaks.
func TestForeignGrantIsTakenBack(t *testing.T) {
	d, s := newTestDispatcher(MemberGrants{Member: "e1"}, MemberGrants{Member: "e2", Grants: []sched.Grant{foreignGrant(7)}})
	decisions := acquireInBackground(t, d, s)
	if load := d.load(); load.Running != 1 || load.Waiting != 1 {
		t.Fatalf("%d running, %d waiting; want 1 taken over and 1 waiting for its slot", load.Running, load.Waiting)
	}
	s.advance(2*usualGrantDelivery, MemberGrants{Member: "e1"}, MemberGrants{Member: "e2"})
	d.reconcile(maxGrantDelivery)
	select {
	case decision := <-decisions:
		if decision.Grant == nil {
			t.Errorf("refused: %+v", decision.Refusal)
		}
	case <-time.After(5 * time.Second):
		t.Error("the slot was not granted to the waiting request")
	}
}

// A grant of this dispatcher may still be in transit to its entry, so it is
// taken back only after maxGrantDelivery.
func TestRecentOwnGrantIsKept(t *testing.T) {
	d, s := newTestDispatcher(MemberGrants{Member: "e1"}, MemberGrants{Member: "e2"})
	<-acquireInBackground(t, d, s)
	s.advance(2*usualGrantDelivery, MemberGrants{Member: "e1"}, MemberGrants{Member: "e2"})
	d.reconcile(maxGrantDelivery)
	if running := d.load().Running; running != 1 {
		t.Errorf("%d running, want the one that was just granted", running)
	}
	s.advance(2*maxGrantDelivery, MemberGrants{Member: "e1"}, MemberGrants{Member: "e2"})
	d.reconcile(maxGrantDelivery)
	if running := d.load().Running; running != 0 {
		t.Errorf("%d running, want 0: the entry does not hold the grant", running)
	}
}

// Grants of a member that does not answer are kept; those of a member that is
// gone are taken back.
func TestGrantsOfUnreachableAndGoneMembers(t *testing.T) {
	d, s := newTestDispatcher(MemberGrants{Member: "e1"}, MemberGrants{Member: "e2", Grants: []sched.Grant{foreignGrant(7)}})
	s.advance(time.Minute, MemberGrants{Member: "e1"}) // e2 is live but does not answer
	d.reconcile(maxGrantDelivery)
	if running := d.load().Running; running != 1 {
		t.Errorf("%d running, want the grant of the member that does not answer", running)
	}
	d.config.QueryGrants = func(context.Context, string) ([]MemberGrants, []string) {
		return []MemberGrants{{Member: "e1"}}, []string{"e1"}
	}
	d.reconcile(maxGrantDelivery)
	if running := d.load().Running; running != 0 {
		t.Errorf("%d running, want 0: the member is gone", running)
	}
}

// After a pause of the process, waiting requests are refused: their entries
// have asked another dispatcher meanwhile, so a slot granted to them would be
// lost.
func TestPauseRefusesWaitingRequests(t *testing.T) {
	d, s := newTestDispatcher(MemberGrants{Member: "e1"}, MemberGrants{Member: "e2", Grants: []sched.Grant{foreignGrant(7)}})
	decisions := acquireInBackground(t, d, s)
	s.advance(time.Second, MemberGrants{Member: "e1"}, MemberGrants{Member: "e2"})
	go d.reconcileAfterPause()
	decision := <-decisions
	if decision.Refusal == nil || decision.Refusal.Reason != sched.Stopping {
		t.Errorf("got %+v, want a refusal with reason Stopping", decision)
	}
}

// The previous dispatcher is lost and an entry that holds its only slot misses the new
// dispatcher's first question, as an entry does that lacks processor time. The slot
// must not be granted again.
func TestSlotOfAMemberThatAnswersLateIsNotGranted(t *testing.T) {
	s := &environment{now: start}
	d := newUnrecoveredDispatcher(s)
	asked := 0
	d.config.QueryGrants = func(context.Context, string) ([]MemberGrants, []string) {
		asked++
		if asked == 1 {
			return []MemberGrants{{Member: "e1"}}, []string{"e1", "e2"}
		}
		return []MemberGrants{{Member: "e1"}, {Member: "e2", Grants: []sched.Grant{foreignGrant(7)}}}, []string{"e1", "e2"}
	}
	r := sched.Request{ID: "r", Entry: "e1", Service: "s", Team: "t", Deadline: start.Add(time.Hour)}
	go func() { _, _ = d.acquire(t.Context(), r) }()
	d.recoverGrants()
	for d.load().Waiting+d.load().Running < 2 {
		time.Sleep(time.Millisecond)
	}
	if load := d.load(); load.Running > load.Slots {
		t.Errorf("%d grants for %d slot", load.Running, load.Slots)
	}
}

// A member stays silent, as a frozen one does, and another one has ended, which its
// lease does not show yet. Requests must not wait for the one that has ended, and not
// longer than recoveryTimeout for the silent one.
func TestRecoveryWaitsForSilentMembersOnly(t *testing.T) {
	tests := []struct {
		name     string
		holdings []MemberGrants
		min, max time.Duration
	}{
		{"ended", []MemberGrants{{Member: "e1"}, {Member: "e2", Ended: true}}, 0, recoveryTimeout / 2},
		{"silent", []MemberGrants{{Member: "e1"}}, recoveryTimeout, 2 * recoveryTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newUnrecoveredDispatcher(&environment{now: start, holdings: tt.holdings})
			began := time.Now()
			go d.recoverGrants()
			<-d.ready
			if took := time.Since(began); took < tt.min || took > tt.max {
				t.Errorf("grants begin after %s, want %s to %s", took, tt.min, tt.max)
			}
		})
	}
}
