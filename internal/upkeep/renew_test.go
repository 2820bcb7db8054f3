package upkeep

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// newHolder claims the fleet and returns its keeper, which is not running.
func newHolder(t *testing.T, store *platform.Store, seen pool.Ownership) *Keeper {
	t.Helper()
	own, err := pool.Claim(t.Context(), store, pool.Identity{Node: "entry-1"}, seen)
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := New(Settings{Own: own, Store: store, Bounds: platform.Bounds{MachineLease: time.Second}, Log: logrus.NewEntry(logger)})
	return k
}

// All processes lose power while hosts move. The next holder must block only the
// hosts that the previous one may have ordered within a lease, not every host that
// it ever recorded.
func TestNextHolderLeavesAloneWhatWasOrderedLately(t *testing.T) {
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	settings, err := platform.ParseSettings(p.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(settings.Store)
	first := newHolder(t, store, pool.Ownership{Pool: "@fleet"})
	authorize := func(host string) {
		if !first.authorize(time.Now(), []string{host}) {
			t.Fatalf("%s not authorized", host)
		}
	}
	authorize("early")
	time.Sleep(minOrderWindow + first.orderSeparation() + 50*time.Millisecond)
	authorize("late")
	second := newHolder(t, store, first.Own)
	if err := second.readIntents(); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, tt := range []struct {
		host string
		at   time.Time
		want bool
	}{
		{"early", now, true},
		{"never ordered", now, true},
		{"late", now, false},
		{"late", now.Add(first.orderSeparation() - 100*time.Millisecond), false},
		{"late", now.Add(minOrderWindow + first.orderSeparation()), true},
	} {
		if have := second.mayOrder(tt.host, tt.at); have != tt.want {
			t.Errorf("host %s may be ordered %v after the takeover: %v, want %v", tt.host, tt.at.Sub(now), have, tt.want)
		}
	}
	if first.authorize(time.Now(), []string{"other"}) {
		t.Error("a replaced holder is still authorized")
	}
}
