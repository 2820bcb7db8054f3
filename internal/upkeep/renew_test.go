package upkeep

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// newHolder claims the fleet and returns its keeper, which is not running.
func newHolder(t *testing.T, store *platform.Store, seen pool.Ownership) *Keeper {
	t.Helper()
	own, err := pool.Claim(t.Context(), store, pool.Identity{Node: "entry-1"}, seen, pool.Conditions{})
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

// Guards against a wave that is late because each new holder gave it its whole time again.
func TestNextHolderKeepsTheEndOfAWave(t *testing.T) {
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
	wave := platform.Wave{Number: 1, Hosts: []string{"a"}, Duration: time.Minute, MaxUnavailable: 1}
	began := time.Now().Add(-40 * time.Second)
	heard := wave
	heard.ReceivedAt = began
	first := newHolder(t, store, pool.Ownership{Pool: "@fleet"})
	first.loadWave(heard)
	if err := first.renew(time.Now()); err != nil {
		t.Fatal(err)
	}
	heard.ReceivedAt = time.Now() // by a process that started a moment ago
	for name, w := range map[string]platform.Wave{"by the store": wave, "by the store, heard of late": heard} {
		second := newHolder(t, store, first.Own)
		first.Own = second.Own
		second.loadWave(w)
		if have := second.plans[1].openedAt; have.Sub(began).Abs() > 5*time.Second {
			t.Errorf("%s: the wave began %v after it did", name, have.Sub(began))
		}
	}
}

// Guards against two holders of the fleet that order the same host within a lease: an answer of the
// store that was held back made the first one's clock late, and with it the time of its orders.
func TestNextHolderWaitsForOrdersStoredAfterALateAnswer(t *testing.T) {
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
	relay := &slowRelay{server: settings.Store.Addr}
	first := newHolder(t, platform.NewStore(platform.StoreSettings{Addr: relay.listen(t)}), pool.Ownership{Pool: "@fleet"})
	relay.answers.Store(int64(800 * time.Millisecond))
	if _, err := first.Store.ReadRow(t.Context(), tableIntent, first.Own.Pool, keyIntent); err != nil {
		t.Fatal(err)
	}
	relay.answers.Store(0)
	if !first.authorize(time.Now(), []string{"host"}) {
		t.Fatal("not authorized")
	}
	ordered := time.Now()
	second := newHolder(t, store, first.Own)
	if err := second.readIntents(); err != nil {
		t.Fatal(err)
	}
	for after, want := range map[time.Duration]bool{
		first.leaseShare(1): false,
		first.leaseShare(1) + leaseSlack + first.leaseShare(orderLeaseShare) + 200*time.Millisecond: true,
	} {
		if have := second.mayOrder("host", ordered.Add(after)); have != want {
			t.Errorf("the host may be ordered %v after the first holder's order: %v, want %v", after, have, want)
		}
	}
}

// Guards against two holders of the fleet that order the same host within a lease: a renewal that
// was not answered took effect after a later one, and undid the record of the first one's orders.
func TestUnansweredRenewalDoesNotUndoALaterOne(t *testing.T) {
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
	relay := &slowRelay{server: settings.Store.Addr}
	first := newHolder(t, platform.NewStore(platform.StoreSettings{Addr: relay.listen(t)}), pool.Ownership{Pool: "@fleet"})
	calls := p.Store.Calls()
	relay.requests.Store(int64(callTimeout + 300*time.Millisecond))
	if err := first.renew(time.Now()); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Fatalf("error %v, want no answer", err)
	}
	relay.requests.Store(0)
	if !first.authorize(time.Now(), []string{"host"}) {
		t.Fatal("not authorized")
	}
	ordered := time.Now()
	for p.Store.Calls() < calls+2 { // the renewal arrives
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	second := newHolder(t, store, first.Own)
	if err := second.readIntents(); err != nil {
		t.Fatal(err)
	}
	if second.mayOrder("host", ordered.Add(first.leaseShare(1))) {
		t.Error("the host may be ordered within a lease of the first holder's order")
	}
	if err := second.renew(time.Now()); err != nil {
		t.Errorf("the second holder can't renew: %v", err)
	}
	if err := first.renew(time.Now()); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("renewal of the first holder: error %v, want a conflict", err)
	}
}

// Guards against two holders of the fleet that order the same host within a lease: orders that
// waited for a connection to a slow machine API were sent up to 0.75 s after the time that is
// recorded for the next holder.
func TestOrdersAreNotSentAfterTheRecordedTime(t *testing.T) {
	const answerTime = 500 * time.Millisecond
	var began time.Time
	var sent, late atomic.Int64
	machines := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		sent.Add(1)
		if time.Since(began) > answerTime {
			late.Add(1)
		}
		time.Sleep(answerTime)
	}))
	defer machines.Close()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	settings, err := platform.ParseSettings(p.Settings("entry-1", netip.MustParseAddr("127.0.0.1")))
	if err != nil {
		t.Fatal(err)
	}
	k := newHolder(t, platform.NewStore(settings.Store), pool.Ownership{Pool: "@fleet"})
	k.Bounds.MachineLease = defaultLease
	k.Machines = platform.NewMachines(platform.MachineSettings{Addr: netip.MustParseAddrPort(machines.Listener.Addr().String())})
	began = time.Now()
	if !k.authorize(began, []string{"host"}) {
		t.Fatal("not authorized")
	}
	var calls sync.WaitGroup
	for range 12 {
		calls.Go(func() { k.moveHost(Move{Host: platform.Host{Name: "host"}, Pool: "p2"}) })
	}
	calls.Wait()
	if sent.Load() == 0 || late.Load() > 0 {
		t.Errorf("%d orders sent, %d of them more than %v after they were authorized, want some and none", sent.Load(), late.Load(), answerTime)
	}
	before := sent.Load()
	k.moveHost(Move{Host: platform.Host{Name: "host"}, Pool: "p2"})
	if sent.Load() > before {
		t.Error("an order was sent after a pause of the process")
	}
}

// slowRelay is a relay to a server that holds back what either side sends.
type slowRelay struct {
	server            netip.AddrPort
	requests, answers atomic.Int64 // for how long, a [time.Duration]
}

// listen starts the relay and returns its address.
func (r *slowRelay) listen(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", r.server.String())
			if err != nil {
				client.Close()
				return
			}
			go relay(server, client, &r.requests)
			go relay(client, server, &r.answers)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// relay copies from one connection to another until either ends, and closes both.
func relay(to, from net.Conn, delay *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(delay.Load()))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against a pool that gets no hosts in a load peak because its owner is too busy to
// answer for a moment.
func TestLoadOfABusyOwnerStaysKnown(t *testing.T) {
	now := time.Now()
	lost := false
	k := newKeeperWithLoads(func(string) (place.Load, error) {
		if lost {
			return place.Load{}, errors.New("no answer")
		}
		return place.Load{Wanted: 5000}, nil
	})
	for _, tt := range []struct {
		name string
		lost bool
		age  time.Duration // of the last answer
		want int
	}{
		{"an answer", false, 0, 5000},
		{"no answer since a moment", true, loadValidity / 2, 5000},
		{"no answer for long", true, loadValidity, 0},
		{"an answer again", false, 0, 5000},
	} {
		lost = tt.lost
		if a, known := k.lastLoads["p1"]; known {
			a.at = now.Add(-tt.age)
			k.lastLoads["p1"] = a
		}
		k.loadsRequestedAt = time.Time{}
		k.refreshLoads()
		if have := k.view.loads["p1"].Wanted; have != tt.want {
			t.Errorf("%s: %d millicores wanted, want %d", tt.name, have, tt.want)
		}
	}
}

func newKeeperWithLoads(load func(pool string) (place.Load, error)) *Keeper {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Settings{
		Log:    logrus.NewEntry(logger),
		Config: func() *platform.Config { return &platform.Config{Pools: []platform.PoolConfig{{Name: "p1"}}} },
		Load:   func(_ context.Context, pool string, _ int) (place.Load, error) { return load(pool) },
	})
}

// The holder of the fleet asks each pool once for all hosts that are to leave it, and a pool
// whose owner does not answer holds up no other: with a call for each host it sent an owner in a
// turn 2,500 calls a second.
func TestHostsAreVacatedWithACallForEachPool(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var mu sync.Mutex
	calls := map[string]int{}
	k := New(Settings{Log: logrus.NewEntry(logger), Vacate: func(ctx context.Context, name string, workers []string) (map[string]pool.Vacated, error) {
		mu.Lock()
		calls[name]++
		mu.Unlock()
		if name == "busy" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		vacated := map[string]pool.Vacated{}
		for _, w := range workers[1:] { // it does not have the first one
			vacated[w] = pool.Vacated{Lifetime: w + "@1"}
		}
		return vacated, nil
	}})
	k.view.standby = map[string]bool{"spare": true}
	var hosts []platform.Host
	for _, name := range []string{"p1", "p2", "busy", "spare"} {
		for i := range 50 {
			hosts = append(hosts, platform.Host{Name: fmt.Sprintf("%s-%d", name, i), Pool: name, Worker: fmt.Sprintf("w-%s-%d", name, i)})
		}
	}
	vacated := k.vacateHosts(hosts)
	if want := map[string]int{"p1": 1, "p2": 1, "busy": 1}; !maps.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
	if len(vacated) != 49+49+50 {
		t.Errorf("%d hosts are vacated, want 148", len(vacated))
	}
	if got, known := vacated["p1-7"]; !known || got.Lifetime != "w-p1-7@1" {
		t.Errorf("p1-7: %+v", got)
	}
}
