// Package delay measures the latency and the processor time that an entry adds
// to a request, compared with a direct call to the same endpoint.
//
// # Usage
//
//	table, err := delay.Table()
//
// Everything runs in one process over loopback TCP: a stand-in for the platform,
// one worker and two members, one of which dispatches for the measured pool. The
// processor time of the direct calls is subtracted from that of the others, so the
// share of callers and worker cancels out.
package delay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/conf"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/node"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

const (
	warmUpRequests   = 500
	measuredRequests = 6000 // per measurement
	workerSlots      = 64
	bodyBytes        = 1024
	readyTimeout     = 10 * time.Second
)

// testbed is the measured system: one worker and two members.
type testbed struct {
	worker  netip.AddrPort
	callers []netip.AddrPort
	admins  []netip.AddrPort
	stop    func()
}

func newTestbed() (*testbed, error) {
	table := stand.NewTable()
	w := stand.NewWorker(stand.WorkerConfig{Name: "w", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: workerSlots})
	addr, err := w.Listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testbed{worker: addr}
	var running sync.WaitGroup
	r.stop = func() {
		cancel()
		running.Wait()
		w.Close()
	}
	for i := range 2 {
		n, err := r.newNode(i, table)
		if err != nil {
			return nil, err
		}
		running.Go(func() { _ = n.Run(ctx) })
	}
	return r, r.prepare()
}

func (r *testbed) newNode(number int, table *stand.Table) (*node.Node, error) {
	host := fmt.Sprintf("127.201.201.%d", number+1)
	text := fmt.Sprintf("[process]\nname = m%d\nzone = z\n[listen]\ncaller = %s:8101\nadmin = %s:8301\npeer = %s:8501\n[platform]\naddress = 127.0.0.1:1\n[lease]\nmembers = 2\nrenew = 200ms\nhold = 2s\n", number, host, host, host)
	settings, faults := conf.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, errors.Newf("settings: %v", faults)
	}
	r.callers = append(r.callers, settings.CallerAddr)
	r.admins = append(r.admins, settings.AdminAddr)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return node.New(settings, plat.Platform{Table: table.Adapter(), Objects: stand.NewObjects().Adapter(), Hosts: stand.NoHosts()}, logger)
}

// prepare waits until both members are ready and know each other, then submits
// the ticket and gives it a second to reach both.
func (r *testbed) prepare() error {
	ticket := fmt.Sprintf(`{"number": 1, "author": "measure", "pools": [{"name": "p"}],
		"services": [{"name": "free", "pool": "p", "idempotent": true}, {"name": "keyed", "pool": "p"}],
		"hosts": [{"name": "w", "pool": "p", "address": %q, "zone": "z", "rack": "r", "slots": %d}]}`, r.worker, workerSlots)
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if r.membersReady() {
			_, err := admin.NewClient(r.admins[0], time.Second).Submit(context.Background(), []byte(ticket))
			time.Sleep(time.Second)
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the members were not ready in time")
}

func (r *testbed) membersReady() bool {
	for _, addr := range r.admins {
		members, err := admin.NewClient(addr, time.Second).Members(context.Background())
		if err != nil || len(members) != len(r.admins) || members[0].State != "ready" {
			return false
		}
	}
	return true
}

// dispatcher returns the index of the member that dispatches for the pool.
func (r *testbed) dispatcher() int {
	for i, addr := range r.admins {
		pools, err := admin.NewClient(addr, time.Second).Pools(context.Background())
		if err == nil && len(pools) == 1 && pools[0].Dispatched {
			return i
		}
	}
	return 0
}

// requestPath is one way of sending a request to the worker.
type requestPath struct {
	name string
	send func(n int) error
}

// Table measures all request paths and returns the results as a Markdown table.
func Table() (string, error) {
	r, err := newTestbed()
	if err != nil {
		return "", err
	}
	defer r.stop()
	local := r.dispatcher()
	paths := []requestPath{
		{"direct call", directPath(r.worker)},
		{"entry that dispatches the pool", entryPath(r.callers[local], "free")},
		{"entry that asks another for a slot", entryPath(r.callers[1-local], "free")},
		{"the same, with an idempotency key", entryPath(r.callers[1-local], "keyed")},
	}
	var b strings.Builder
	b.WriteString("| way | callers | p50 us | p99 us | added p50 us | added p99 us | added processor us a request | requests/s a core |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, callers := range []int{1, 16} {
		var direct measurement
		for i, w := range paths {
			m, err := measure(w.send, callers)
			if err != nil {
				return "", errors.Wrap(err, w.name)
			}
			if i == 0 {
				direct = m
			}
			b.WriteString(tableRow(w.name, callers, m, direct))
		}
	}
	return b.String(), nil
}

// measurement holds the latencies and the processor time of one request path.
type measurement struct {
	p50, p99 int64         // microseconds
	cpu      time.Duration // per request
}

func tableRow(name string, callers int, m, direct measurement) string {
	if m == direct {
		return fmt.Sprintf("| %s | %d | %d | %d | | | | |\n", name, callers, m.p50, m.p99)
	}
	added := m.cpu - direct.cpu
	rate := float64(time.Second) / float64(max(added, 1))
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %.0f | %.0f |\n",
		name, callers, m.p50, m.p99, m.p50-direct.p50, m.p99-direct.p99, float64(added.Nanoseconds())/1000, rate)
}

func measure(send func(n int) error, callers int) (measurement, error) {
	for n := range warmUpRequests {
		if err := send(n); err != nil {
			return measurement{}, err
		}
	}
	times := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var failed error
	var running sync.WaitGroup
	start := processorTime()
	for c := range callers {
		running.Go(func() {
			for n := range measuredRequests / callers {
				began := time.Now()
				err := send(c*measuredRequests + n)
				took := time.Since(began)
				mu.Lock()
				failed = errors.CombineErrors(failed, err)
				_ = times.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	running.Wait()
	cpu := (processorTime() - start) / measuredRequests
	return measurement{times.ValueAtQuantile(50), times.ValueAtQuantile(99), cpu}, failed
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// directPath calls the worker directly over net/http.
func directPath(worker netip.AddrPort) func(n int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{}).DialContext}}
	body := strings.Repeat("x", bodyBytes)
	return func(n int) error {
		request, err := http.NewRequest(http.MethodPost, "http://"+worker.String()+"/run/free", strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set(link.HeaderAttempt, fmt.Sprint(n))
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

func entryPath(entry netip.AddrPort, service string) func(n int) error {
	client := caller.NewClient(entry)
	body := []byte(strings.Repeat("x", bodyBytes))
	return func(int) error {
		request := caller.Request{Service: service, Body: body}
		if service == "keyed" {
			request.Key = caller.NewKey()
		}
		_, err := client.Do(context.Background(), request)
		return err
	}
}
