package node

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// openShards returns the number of shards about whose keys the process may decide.
func (k *keyShards) openShards() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	open := 0
	for _, s := range k.localShards {
		if s.open && k.leaseState.holds(s.tenure, k.answerMargin) {
			open++
		}
	}
	return open
}

// A shard that was given away in a transaction whose reply was lost must stay closed
// as long as the transaction may still take effect. If it were opened, its old and
// its new owner could both decide.
func TestShardGivenInDoubtStaysClosed(t *testing.T) {
	ctx := context.Background()
	table := stand.NewTable().Adapter()
	commit := table.Commit
	var delayed []plat.Txn
	delay := false
	table.Commit = func(ctx context.Context, txn plat.Txn) error {
		if delay {
			delayed = append(delayed, txn)
			return errors.WithStack(plat.ErrUncertain)
		}
		return commit(ctx, txn)
	}
	now := epoch
	l := &leaseState{duration: 6 * time.Second, now: func() time.Time { return now }}
	l.recordRenewal(now)
	log := event.NewLog("me", 1000, time.Now)
	roster := newRoster(member.Info{Name: "me", Incarnation: "me-1", State: member.Ready}, 1, member.DefaultTiming(), log)
	roster.ready = true
	k := newKeyShards(roster, table, log, l)
	k.confirmGone = func(context.Context) bool { return true }
	k.round(ctx)
	if got := k.openShards(); got != once.Shards {
		t.Fatalf("%d shards are open, want all", got)
	}

	other := wire.NewPeer(netip.MustParseAddrPort("127.0.0.1:1"), wire.DefaultTiming(), nil)
	defer other.Close()
	roster.mu.Lock()
	roster.peers["other-1"] = &peer{info: member.Info{Name: "other", Incarnation: "other-1", State: member.Ready}, wire: other}
	roster.mu.Unlock()
	delay = true
	k.round(ctx)
	given := once.Shards - k.openShards()
	if given == 0 || len(delayed) == 0 {
		t.Fatalf("%d shards were given away in %d transactions", given, len(delayed))
	}
	roster.mu.Lock()
	delete(roster.peers, "other-1") // so that this process should keep the shards
	roster.mu.Unlock()
	k.round(ctx)
	if got := k.openShards(); got != once.Shards-given {
		t.Errorf("%d shards are open while the transaction that gives some away is unconfirmed", got)
	}
	delay = false
	k.round(ctx)
	if got := k.openShards(); got != once.Shards {
		t.Errorf("%d shards are open, want all again", got)
	}
	for _, txn := range delayed {
		if err := commit(ctx, txn); !errors.Is(err, plat.ErrConflict) {
			t.Errorf("the delayed transaction took effect after the shards were opened: %v", err)
		}
	}
}

// A process whose lease lapsed must decide nothing until it has read the current
// owners of the shards: another process may have taken them.
func TestLapsedOwnerDecidesNothingUntilItHasRead(t *testing.T) {
	ctx := context.Background()
	table := stand.NewTable()
	now := epoch
	l := &leaseState{duration: 6 * time.Second, now: func() time.Time { return now }}
	l.recordRenewal(now)
	log := event.NewLog("me", 1000, time.Now)
	roster := newRoster(member.Info{Name: "me", Incarnation: "me-1", State: member.Ready}, 1, member.DefaultTiming(), log)
	roster.ready = true
	k := newKeyShards(roster, table.Adapter(), log, l)
	k.confirmGone = func(context.Context) bool { return true }
	k.round(ctx)
	now = now.Add(time.Minute)
	if got := k.openShards(); got != 0 {
		t.Errorf("%d shards are open under a lapsed lease", got)
	}
	l.recordRenewal(now)
	if got := k.openShards(); got != 0 {
		t.Errorf("%d shards are open before the owners were read", got)
	}
	k.round(ctx)
	if got := k.openShards(); got != once.Shards {
		t.Errorf("%d shards are open, want all that are still owned", got)
	}
	k.close()
	k.round(ctx)
	if got := k.openShards(); got != 0 {
		t.Errorf("%d shards are open after the lease was given up", got)
	}
}
