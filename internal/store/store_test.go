package store

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
)

func newStore() (*Store, *stand.Table) {
	table := stand.NewTable()
	return New(table.Adapter(), stand.NewObjects().Adapter()), table
}

// change returns a change that sets the given number of hosts, all in one pool.
func change(version uint64, pool string, hosts int) fleet.Change {
	c := fleet.Change{Version: version, Cause: "test", Pools: []fleet.Pool{{Name: pool, AwayPercent: 10}}}
	for i := range hosts {
		spec := fleet.HostSpec{
			Name: fmt.Sprintf("host-%04d", i), Pool: pool, Zone: "z", Rack: "r", Slots: 8, Connections: 64,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i)),
		}
		c.Hosts = append(c.Hosts, fleet.Host{Spec: spec, Pool: pool, State: fleet.Serving, Epoch: version})
	}
	return c
}

func TestLoadReturnsCommittedState(t *testing.T) {
	s, _ := newStore()
	ctx := context.Background()
	// 300 hosts do not fit in one row, and 1,200 not in one page of a scan.
	for version, hosts := range []int{3, 300, 1200} {
		if err := s.Commit(ctx, change(uint64(version+1), fmt.Sprint("p", version), hosts), nil); err != nil {
			t.Fatal(err)
		}
	}
	state, err := s.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if state.Version != 3 || len(state.Hosts) != 1200 || len(state.PoolHosts("p2")) != 1200 {
		t.Errorf("version %d, %d hosts, %d in the pool", state.Version, len(state.Hosts), len(state.PoolHosts("p2")))
	}
	changes, err := s.Changes(ctx, 1, 10)
	if err != nil || len(changes) != 2 || len(changes[1].Hosts) != 1200 {
		t.Errorf("%d changes, %v", len(changes), err)
	}
}

func TestCommitWhenTableFails(t *testing.T) {
	tests := []struct {
		name   string
		faults stand.Faults
		want   error
		after  uint64
	}{
		{"well", stand.Faults{}, nil, 1},
		{"reply lost after the commit took effect", stand.Faults{LoseAnswers: 1}, nil, 1},
		{"writes fail", stand.Faults{WritesDown: true}, plat.ErrUncertain, 0},
		{"reads and writes fail", stand.Faults{Down: true}, plat.ErrUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, table := newStore()
			table.Set(tt.faults)
			err := s.Commit(context.Background(), change(1, "p", 1), nil)
			if !errors.Is(err, tt.want) || (err == nil) != (tt.want == nil) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			table.Set(stand.Faults{})
			if head, err := s.Head(context.Background()); head != tt.after || err != nil {
				t.Errorf("head %d, %v, want %d", head, err, tt.after)
			}
		})
	}
}

// If several writers race for a version, exactly one of them succeeds, also when
// its reply is lost.
func TestOneWriterWins(t *testing.T) {
	s, table := newStore()
	table.Set(stand.Faults{LoseAnswers: 1})
	results := make(chan error)
	for i := range 8 {
		go func() { results <- s.Commit(context.Background(), change(1, fmt.Sprint("p", i), 1), nil) }()
	}
	won := 0
	for range 8 {
		switch err := <-results; {
		case err == nil:
			won++
		case !errors.Is(err, ErrStale):
			t.Errorf("got %v, want ErrStale", err)
		}
	}
	state, err := s.Load(context.Background())
	if won != 1 || err != nil || len(state.Pools) != 1 {
		t.Errorf("%d writers won, %d pools, %v", won, len(state.Pools), err)
	}
}

func TestTicketRecords(t *testing.T) {
	s, _ := newStore()
	ctx := context.Background()
	record := TicketRecord{Number: 7, Author: "a", Reason: "r", Digest: "d", Version: 1, At: time.Unix(1, 0).UTC(), Content: []byte(`{"number":7}`)}
	if err := s.Commit(ctx, change(1, "p", 1), &record); err != nil {
		t.Fatal(err)
	}
	got, found, err := s.Ticket(ctx, 7)
	if err != nil || !found || got.Digest != "d" || string(got.Content) != `{"number":7}` {
		t.Errorf("got %+v, %v, %v", got, found, err)
	}
	if _, found, _ := s.Ticket(ctx, 8); found {
		t.Error("found a ticket that was never accepted")
	}
}
