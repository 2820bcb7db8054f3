package member

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testInfo(name, incarnation string) Info {
	addr := netip.MustParseAddrPort("10.0.0.1:8303")
	return Info{Name: name, Incarnation: incarnation, Zone: "z", Peer: addr, Admin: addr, State: Ready}
}

func TestReaderReturnsWrittenRows(t *testing.T) {
	table := stand.NewTable()
	lease := NewLease(testInfo("entry-1", "first"), DefaultTiming())
	if err := lease.Renew(context.Background(), table.Adapter(), 7, start); err != nil {
		t.Fatal(err)
	}
	infos, err := NewReader(table.Adapter()).Read(context.Background())
	want := testInfo("entry-1", "first")
	want.Version, want.Counter, want.Row = 7, 1, 1
	if err != nil || len(infos) != 1 || infos[0] != want {
		t.Errorf("got %+v, %v, want %+v", infos, err, want)
	}
}

func TestRenewalSucceedsWhenAnswerIsLost(t *testing.T) {
	table := stand.NewTable()
	lease := NewLease(testInfo("entry-1", "first"), DefaultTiming())
	table.Set(stand.Faults{LoseAnswers: 1})
	if err := lease.Renew(context.Background(), table.Adapter(), 1, start); err != nil {
		t.Errorf("the renewal took effect but returned: %v", err)
	}
}

func TestReplacedProcessGetsErrReplaced(t *testing.T) {
	table := stand.NewTable()
	first := NewLease(testInfo("entry-1", "first"), DefaultTiming())
	second := NewLease(testInfo("entry-1", "second"), DefaultTiming())
	ctx := context.Background()
	for _, lease := range []*Lease{first, second} {
		if err := lease.Renew(ctx, table.Adapter(), 1, start); err != nil {
			t.Fatal(err)
		}
	}
	if err := first.Renew(ctx, table.Adapter(), 1, start); !errors.Is(err, ErrReplaced) {
		t.Errorf("got %v, want ErrReplaced", err)
	}
	if err := second.Renew(ctx, table.Adapter(), 1, start); err != nil {
		t.Errorf("renewal by the process that replaced it: %v", err)
	}
}

// A failed write must not count as a renewal.
func TestFailedRenewalDoesNotHoldLease(t *testing.T) {
	table := stand.NewTable()
	lease := NewLease(testInfo("entry-1", "first"), DefaultTiming())
	table.Set(stand.Faults{WritesDown: true})
	if err := lease.Renew(context.Background(), table.Adapter(), 1, start); !errors.Is(err, plat.ErrUncertain) {
		t.Errorf("got %v, want ErrUncertain", err)
	}
	if !lease.Renewed().IsZero() {
		t.Error("the lease counts as renewed")
	}
}

func TestWatch(t *testing.T) {
	timing := DefaultTiming()
	a, b := testInfo("a", "1"), testInfo("b", "1")
	renewed := func(i Info, counter uint64) Info {
		i.Counter = counter
		return i
	}
	type read struct {
		after time.Duration
		infos []Info
	}
	tests := []struct {
		name  string
		reads []read
		live  int
	}{
		{"renewed", []read{{0, []Info{a}}, {4 * time.Second, []Info{renewed(a, 1)}}, {8 * time.Second, []Info{renewed(a, 2)}}}, 1},
		{"lapsed", []read{{0, []Info{a, b}}, {4 * time.Second, []Info{a, renewed(b, 1)}}, {8 * time.Second, []Info{a, renewed(b, 2)}}}, 1},
		{"not yet lapsed", []read{{0, []Info{a}}, {4 * time.Second, []Info{a}}, {7 * time.Second, []Info{a}}}, 1},
		{"outage of an hour", []read{{0, []Info{a, b}}, {time.Hour, []Info{a, b}}, {time.Hour + 4*time.Second, []Info{a, b}}}, 2},
		{"gone after the outage", []read{{0, []Info{a}}, {time.Hour, []Info{a}}, {time.Hour + 4*time.Second, []Info{a}}, {time.Hour + 8*time.Second, []Info{a}}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWatch(timing)
			for _, l := range tt.reads {
				w.Observe(l.infos, start.Add(l.after))
			}
			if got := len(w.Live()); got != tt.live {
				t.Errorf("%d live, want %d", got, tt.live)
			}
		})
	}
}
