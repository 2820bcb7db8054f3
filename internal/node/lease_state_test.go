package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/member"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestHealth(t *testing.T) {
	const hold = 6 * time.Second
	type step struct {
		at    time.Duration
		renew bool
		fail  bool
		vote  bool // whether a majority gives its promise
	}
	tests := []struct {
		name   string
		steps  []step
		ask    time.Duration
		fenced bool
		tenure uint64
	}{
		{"never held", nil, 0, true, 0},
		{"held", []step{{0, true, false, false}}, 5 * time.Second, false, 1},
		{"lapsed", []step{{0, true, false, false}}, 7 * time.Second, true, 1},
		{"table service down, alone", []step{{0, true, false, false}, {2 * time.Second, false, true, false}}, 7 * time.Second, true, 1},
		{"table service down, a majority too", []step{{0, true, false, false}, {4 * time.Second, false, true, true}}, 9 * time.Second, false, 1},
		{"promises after the lapse are too late", []step{{0, true, false, false}, {7 * time.Second, false, true, true}}, 8 * time.Second, true, 1},
		{"a renewal after a process freeze starts a new tenure, not caught up", []step{{0, true, false, false}, {60 * time.Second, true, false, false}}, 61 * time.Second, true, 2},
		{"an outage with promises of a majority is one tenure", []step{{0, true, false, false}, {4 * time.Second, false, true, true}, {8 * time.Second, true, false, false}}, 9 * time.Second, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := epoch
			l := leaseState{duration: hold, now: func() time.Time { return now }}
			for i, s := range tt.steps {
				now = epoch.Add(s.at)
				if s.renew {
					l.recordRenewal(now)
				}
				if i == 0 {
					l.recordCaughtUp(l.currentTenure())
				}
				if s.fail {
					l.recordStoreFailure()
				}
				if s.vote {
					l.extend(now)
				}
			}
			now = epoch.Add(tt.ask)
			if got := l.fenceReason(); (got != "") != tt.fenced {
				t.Errorf("fenced: %q, want %v", got, tt.fenced)
			}
			if l.currentTenure() != tt.tenure {
				t.Errorf("tenure %d, want %d", l.currentTenure(), tt.tenure)
			}
			if l.holds(1, 0) && tt.tenure != 1 {
				t.Error("the first tenure still counts as held")
			}
		})
	}
}

// modelSize is the number of members in the model, as in the settings.
const modelSize = 5

// model simulates a few members and one owned object in virtual time. It uses the
// real leases, watches and promises, but function calls instead of a network.
type model struct {
	now     time.Time
	row     uint64 // last version of a lease row
	leases  map[string]member.Info
	owner   string
	members []*modelMember
}

type modelMember struct {
	name       string
	leaseState leaseState
	watch      *member.Watch
	promises   *member.Promises
	owns       bool   // whether it owned the object at its last read
	tenure     uint64 // of its last read
	frozen     bool
	cut        bool // whether it can't reach the table service
	alone      bool // whether it can't reach its peers
}

func newModel(members int) *model {
	m := &model{now: epoch, leases: map[string]member.Info{}}
	timing := member.DefaultTiming()
	for i := range members {
		p := &modelMember{name: fmt.Sprint("m", i), watch: member.NewWatch(timing)}
		p.leaseState = leaseState{duration: timing.HoldTimeout, now: func() time.Time { return m.now }}
		p.promises = member.NewPromises(p.name, timing.HoldTimeout, epoch)
		m.members = append(m.members, p)
	}
	return m
}

// mayAct makes the check that an owner makes before it decides.
func (p *modelMember) mayAct() bool {
	return p.owns && p.leaseState.holds(p.tenure, 0)
}

// reachable returns the members that p can call.
func (m *model) reachable(p *modelMember) []*modelMember {
	var reached []*modelMember
	for _, q := range m.members {
		if q != p && !q.frozen && !q.alone && !p.alone {
			reached = append(reached, q)
		}
	}
	return reached
}

// round does what a member does in each round, every two seconds.
func (m *model) round(p *modelMember) {
	if p.cut {
		p.leaseState.recordStoreFailure()
		votes := 1
		for _, q := range m.reachable(p) {
			if q.promises.Promise(p.name, q.leaseState.storeFailing(), m.now) {
				votes++
			}
		}
		if member.Majority(votes, max(modelSize, len(p.watch.Members()))) {
			p.leaseState.extend(m.now)
		}
		return
	}
	m.row++
	m.leases[p.name] = member.Info{Name: p.name, Incarnation: p.name, State: member.Ready, Row: m.row}
	p.leaseState.recordRenewal(m.now)
	var infos []member.Info
	for _, info := range m.leases {
		infos = append(infos, info)
	}
	p.watch.Observe(infos, m.now)
	p.owns = m.owner == p.name
	p.tenure = p.leaseState.currentTenure()
	m.confirmGone(p)
	if !p.owns && (m.owner == "" || p.watch.Gone(m.owner)) {
		m.owner = p.name
	}
}

func (m *model) confirmGone(p *modelMember) {
	expired, _ := p.watch.Unconfirmed()
	for _, gone := range expired {
		votes := 0
		for _, q := range append(m.reachable(p), p) {
			if q.promises.Agree(gone, m.now) {
				votes++
			}
		}
		if member.Majority(votes, max(modelSize, len(p.watch.Members()))) {
			p.watch.ConfirmGone(gone)
		}
	}
}

// No sequence of process freezes, partitions and outages of the table service may
// let two members act as the owner of one object, even if one of them resumes after
// a freeze.
func TestNoTwoOwnersAct(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(modelSize)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "tenths")) * 100 * time.Millisecond)
			p := m.members[rapid.IntRange(0, 4).Draw(rt, "member")]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				p.frozen = !p.frozen
			case 1:
				p.cut = !p.cut
			case 2:
				p.alone = !p.alone
			case 3:
				down := rapid.Bool().Draw(rt, "down")
				for _, q := range m.members {
					q.cut = down
				}
			default:
				for _, q := range m.members {
					if !q.frozen {
						m.round(q)
					}
				}
			}
			acting := 0
			for _, q := range m.members {
				if q.mayAct() {
					acting++
				}
			}
			if acting > 1 {
				rt.Fatalf("%d members act as the owner", acting)
			}
		}
	})
}

// An owner that can't reach the table service continues while a majority of members
// can't reach it either. Otherwise it must stop, because the others may replace it.
func TestOwnerGoesOnOnlyWithAMajority(t *testing.T) {
	tests := []struct {
		name string
		cut  int // members that can't reach the table service, including the owner
		want bool
	}{
		{"all", 5, true},
		{"majority", 3, true},
		{"minority", 2, false},
		{"alone", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(modelSize)
			run := func(rounds int) {
				for range rounds {
					m.now = m.now.Add(2 * time.Second)
					for _, p := range m.members {
						m.round(p)
					}
				}
			}
			run(5)
			for _, p := range m.members[:tt.cut] {
				p.cut = true
			}
			run(900) // half an hour
			if got := m.members[0].mayAct(); got != tt.want {
				t.Errorf("the owner acts: %v, want %v", got, tt.want)
			}
		})
	}
}
