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

// newBareNode returns a node that can put changes in force and nothing else.
func newBareNode() *Node {
	log := event.NewLog("me", 64, time.Now)
	n := &Node{log: log, roster: newRoster(member.Info{Name: "me"}, 1, member.DefaultTiming(), log)}
	held := func(context.Context, string) ([]broker.Holding, []string) { return nil, nil }
	n.broker = broker.New(broker.Config{Held: held, Log: log, Now: time.Now})
	n.state.Store(fleet.NewState())
	n.leavingHosts.Store(&map[string]bool{})
	return n
}

func numbered(version uint64) fleet.Change {
	return fleet.Change{Version: version, Pools: []fleet.Pool{{Name: fmt.Sprint("p", version)}}}
}

// A push that overtook another leaves a gap, which the sender can fill from the
// version that the receiver names.
func TestOvertakenPushIsFilled(t *testing.T) {
	sender, receiver := newBareNode(), newBareNode()
	for version := uint64(1); version <= 5; version++ {
		sender.apply([]fleet.Change{numbered(version)}, "committed here")
	}
	receiver.apply([]fleet.Change{numbered(1)}, "pushed")
	receiver.apply([]fleet.Change{numbered(5)}, "pushed")
	inForce := receiver.state.Load().Version
	if inForce != 1 {
		t.Fatalf("version %d is in force, with a gap before it", inForce)
	}
	receiver.apply(sender.recentSince(inForce), "pushed")
	if got := receiver.state.Load().Version; got != 5 {
		t.Errorf("version %d is in force, want 5", got)
	}
	if got := sender.recentSince(77); got != nil {
		t.Errorf("changes after a version that never was: %v", got)
	}
}
