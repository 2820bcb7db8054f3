package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/member"
)

// newBareNode returns a node that can only apply changes.
func newBareNode() *Node {
	log := event.NewLog("me", 64, time.Now)
	n := &Node{log: log, roster: newRoster(member.Info{Name: "me"}, 1, member.DefaultTiming(), log)}
	held := func(context.Context, string) ([]broker.MemberGrants, []string) { return nil, nil }
	n.broker = broker.New(broker.Config{QueryGrants: held, Log: log, Now: time.Now})
	n.state.Store(fleet.NewState())
	n.leavingHosts.Store(&map[string]bool{})
	return n
}

func numbered(version uint64) fleet.Change {
	return fleet.Change{Version: version, Pools: []fleet.Pool{{Name: fmt.Sprint("p", version)}}}
}

// A push that arrives before an earlier one must not be applied, and the sender
// must be able to send what is missing, given the receiver's version.
func TestOvertakenPushIsFilled(t *testing.T) {
	sender, receiver := newBareNode(), newBareNode()
	for version := uint64(1); version <= 5; version++ {
		sender.apply([]fleet.Change{numbered(version)}, "committed here")
	}
	receiver.apply([]fleet.Change{numbered(1)}, "pushed")
	receiver.apply([]fleet.Change{numbered(5)}, "pushed")
	inForce := receiver.state.Load().Version
	if inForce != 1 {
		t.Fatalf("version %d is in force, want 1, the last one without a gap", inForce)
	}
	receiver.apply(sender.recentChangesSince(inForce), "pushed")
	if got := receiver.state.Load().Version; got != 5 {
		t.Errorf("version %d is in force, want 5", got)
	}
	if got := sender.recentChangesSince(77); got != nil {
		t.Errorf("got changes after a version that does not exist: %v", got)
	}
}
