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

// surroundings is what a desk asks: the members' grants and the time.
type surroundings struct {
	mu       sync.Mutex
	now      time.Time
	holdings []Holding
}

func (s *surroundings) set(passed time.Duration, holdings ...Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(passed)
	s.holdings = holdings
}

func (s *surroundings) time() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *surroundings) held(context.Context, string) ([]Holding, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings, []string{"e1", "e2"}
}

// newTestDesk returns a desk over one slot, which has learnt of the holdings.
func newTestDesk(holdings ...Holding) (*desk, *surroundings) {
	s := &surroundings{now: start, holdings: holdings}
	d := newDesk("p", Config{Held: s.held, Log: event.NewLog("e1", 16, time.Now), Now: s.time})
	spec := fleet.HostSpec{Name: "w", Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1}
	service := fleet.Service{Name: "s", Pool: "p", Weight: 1, QueueLimit: 9, RunTime: time.Second}
	host := fleet.Host{Spec: spec, Pool: "p", State: fleet.Serving}
	d.configure(fleet.Load(1, []fleet.Pool{{Name: "p"}}, []fleet.Service{service}, nil, []fleet.Host{host}), nil)
	d.recover()
	return d, s
}

func foreign(id uint64) sched.Grant {
	return sched.Grant{ID: id, Request: "elsewhere", Entry: "e2", Service: "s", Team: "t", Worker: "w"}
}

// wait asks for the slot and returns where the decision comes.
func wait(t *testing.T, d *desk, s *surroundings) <-chan sched.Decision {
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

// A grant of another dispatcher that its entry gave back, to that dispatcher, is
// taken back however lately it was taken over.
func TestForeignGrantDoesNotLeak(t *testing.T) {
	d, s := newTestDesk(Holding{Member: "e1"}, Holding{Member: "e2", Grants: []sched.Grant{foreign(7)}})
	decisions := wait(t, d, s)
	if load := d.load(); load.Running != 1 || load.Waiting != 1 {
		t.Fatalf("%d run, %d wait; want the one taken over, and one waiting for it", load.Running, load.Waiting)
	}
	s.set(2*grantArrives, Holding{Member: "e1"}, Holding{Member: "e2"})
	d.resync(grantSettles, false)
	select {
	case decision := <-decisions:
		if decision.Grant == nil {
			t.Errorf("refused: %+v", decision.Refusal)
		}
	case <-time.After(5 * time.Second):
		t.Error("the slot was not given to the request that waits")
	}
}

// An own grant may still be on its way to its entry for a while.
func TestYoungOwnGrantIsNotTakenBack(t *testing.T) {
	d, s := newTestDesk(Holding{Member: "e1"}, Holding{Member: "e2"})
	<-wait(t, d, s)
	s.set(2*grantArrives, Holding{Member: "e1"}, Holding{Member: "e2"})
	d.resync(grantSettles, false)
	if running := d.load().Running; running != 1 {
		t.Errorf("%d run, want the one that was just granted", running)
	}
	s.set(2*grantSettles, Holding{Member: "e1"}, Holding{Member: "e2"})
	d.resync(grantSettles, false)
	if running := d.load().Running; running != 0 {
		t.Errorf("%d run, want none: the entry does not know the grant", running)
	}
}

// A member that does not answer keeps its grants; one that is gone does not.
func TestGrantsOfSilentAndGoneMembers(t *testing.T) {
	d, s := newTestDesk(Holding{Member: "e1"}, Holding{Member: "e2", Grants: []sched.Grant{foreign(7)}})
	s.set(time.Minute, Holding{Member: "e1"}) // e2 is live and silent
	d.resync(grantSettles, false)
	if running := d.load().Running; running != 1 {
		t.Errorf("%d run, want that of the silent member", running)
	}
	d.config.Held = func(context.Context, string) ([]Holding, []string) {
		return []Holding{{Member: "e1"}}, []string{"e1"}
	}
	d.resync(grantSettles, false)
	if running := d.load().Running; running != 0 {
		t.Errorf("%d run, want none: the member is gone", running)
	}
}

// What waited over a pause of the dispatcher has asked elsewhere; no slot is given
// to it.
func TestPauseRefusesWhatWaits(t *testing.T) {
	d, s := newTestDesk(Holding{Member: "e1"}, Holding{Member: "e2", Grants: []sched.Grant{foreign(7)}})
	decisions := wait(t, d, s)
	s.set(time.Second, Holding{Member: "e1"}, Holding{Member: "e2"})
	go d.afterPause()
	decision := <-decisions
	if decision.Refusal == nil || decision.Refusal.Reason != sched.Stopping {
		t.Errorf("got %+v, want it to be refused as stopping", decision)
	}
}
