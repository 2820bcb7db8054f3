package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/conf"
	"github.com/papayarudder/papayarudder/internal/node"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
)

// childSettings is the environment variable that makes the test binary run one
// process of the system with the settings file that it names.
const childSettings = "PAPAYARUDDER_PROOF_SETTINGS"

// Lease times of the tests. Every process has noticed an expired lease after
// expiryTime.
const (
	renewInterval = 300 * time.Millisecond
	leaseDuration = 1200 * time.Millisecond
	expiryTime    = leaseDuration + renewInterval
)

func TestMain(m *testing.M) {
	if path := os.Getenv(childSettings); path != "" {
		os.Exit(serve(path))
	}
	os.Exit(m.Run())
}

// serve runs one process of the system, as "papayarudder serve" does.
func serve(path string) int {
	settings, faults := conf.Load(path)
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, faults)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	n, err := node.New(settings, plat.Dial(settings.PlatformAddr, settings.PlatformTimeout), logger)
	if err == nil {
		err = n.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// process is an entry that runs as an operating system process.
type process struct {
	t             *testing.T
	path          string
	caller        netip.AddrPort
	admin         netip.AddrPort
	platformRelay *stand.Relay // its connection to the platform, which tests can cut
	log           string
	cmd           *exec.Cmd
}

// cluster is a small running system: a stand-in of the platform in this process,
// and entries in processes of their own.
type cluster struct {
	t        *testing.T
	number   int32
	size     int // entries
	dir      string
	table    *stand.Table
	server   *stand.Server
	platform netip.AddrPort
	workers  map[string]*stand.Worker
	members  []*process
}

// newCluster starts entries that serve two pools and waits until all are ready,
// know each other and have the configuration in force. Pool north has an
// idempotent service and one that is not, pool south one that is not.
func newCluster(t *testing.T, entries, hostsOfPool int) *cluster {
	t.Helper()
	c := &cluster{t: t, number: clusterCount.Add(1), size: entries, dir: t.TempDir(), table: stand.NewTable(), workers: map[string]*stand.Worker{}}
	ticket := c.startWorkers(hostsOfPool)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.platform = listener.Addr().(*net.TCPAddr).AddrPort()
	c.server = stand.NewServer(c.table, c.workers)
	server := &http.Server{Handler: c.server.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range entries {
		c.members = append(c.members, c.newProcess(i+1))
	}
	t.Cleanup(c.logOutputOnFailure)
	for _, p := range c.members {
		p.start()
	}
	c.waitFor("all entries ready", 10*time.Second, func() bool { return c.ready() == entries })
	c.submit(ticket)
	c.waitFor("the ticket is in force on every process", 10*time.Second, func() bool { return c.inForce(1) })
	c.waitFor("every process knows all members", 10*time.Second, c.allMembersKnown)
	return c
}

// startWorkers starts the workers of both pools and returns the ticket that
// declares them.
func (c *cluster) startWorkers(hostsOfPool int) string {
	var hosts []string
	for _, pool := range []string{"north", "south"} {
		for i := range hostsOfPool {
			name := fmt.Sprintf("%s-%d", pool, i)
			w := stand.NewWorker(stand.WorkerConfig{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 8})
			addr, err := w.Listen()
			if err != nil {
				c.t.Fatal(err)
			}
			c.t.Cleanup(w.Close)
			c.workers[name] = w
			hosts = append(hosts, hostJSON(name, pool, addr))
		}
	}
	return fmt.Sprintf(`{"number": 1, "author": "proof", "reason": "first",
		"pools": [{"name": "north", "away-percent": 50}, {"name": "south", "away-percent": 50}],
		"services": [
			{"name": "label", "pool": "north", "idempotent": true, "run-time": "20ms", "timeout": "10s"},
			{"name": "crate", "pool": "north", "run-time": "20ms", "timeout": "10s"},
			{"name": "invoice", "pool": "south", "run-time": "20ms", "timeout": "10s"}],
		"hosts": [%s]}`, strings.Join(hosts, ","))
}

func hostJSON(name, pool string, addr netip.AddrPort) string {
	return fmt.Sprintf(`{"name": %q, "pool": %q, "address": %q, "zone": "z", "rack": "r"}`, name, pool, addr)
}

// clusterCount is the number of clusters that this run has started.
var clusterCount atomic.Int32

// hostAddr returns the loopback address of an entry's host. Clusters that run in
// parallel do not share addresses, and no client connection uses one as its
// source, so the fixed ports are free.
func (c *cluster) hostAddr(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(c.number), byte(number)})
}

func (c *cluster) newProcess(number int) *process {
	c.t.Helper()
	addr := c.hostAddr(number)
	relay, err := stand.NewRelay(c.platform)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(relay.Close)
	p := &process{
		platformRelay: relay,
		t:             c.t,
		path:          filepath.Join(c.dir, fmt.Sprintf("entry-%d.ini", number)),
		caller:        netip.AddrPortFrom(addr, 8101),
		admin:         netip.AddrPortFrom(addr, 8301),
		log:           filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", number)),
	}
	settings := fmt.Sprintf(`[process]
name = entry-%d
zone = z
drain-time = 5s
[listen]
caller = %s
admin = %s
peer = %s
[platform]
address = %s
timeout = 200ms
[lease]
members = %d
renew = %s
hold = %s
`, number, p.caller, p.admin, netip.AddrPortFrom(addr, 8501), relay.Addr(), c.size, renewInterval, leaseDuration)
	if err := os.WriteFile(p.path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return p
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), childSettings+"="+p.path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	started := p.cmd
	p.t.Cleanup(func() {
		_ = started.Process.Kill()
		_ = started.Wait()
	})
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// stop asks the process to shut down and waits until it has exited.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("%s did not shut down cleanly: %v", p.path, err)
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func (p *process) client() *admin.Client { return admin.NewClient(p.admin, 2*time.Second) }

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.admin.String() + admin.PathReady)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *cluster) ready() int {
	count := 0
	for _, p := range c.members {
		if p.isReady() {
			count++
		}
	}
	return count
}

func (c *cluster) allMembersKnown() bool {
	for _, p := range c.members {
		members, err := p.client().Members(context.Background())
		if err != nil || len(members) != len(c.members) {
			return false
		}
	}
	return true
}

// pool returns the state of a pool as the process reports it.
func (p *process) pool(name string) admin.PoolWire {
	pools, _ := p.client().Pools(context.Background())
	for _, pool := range pools {
		if pool.Name == name {
			return pool
		}
	}
	return admin.PoolWire{}
}

// dispatcher returns the process that dispatches for a pool, and all others.
func (c *cluster) dispatcher(pool string) (*process, []*process) {
	c.t.Helper()
	for i, p := range c.members {
		if p.pool(pool).Dispatched {
			return p, slices.Concat(c.members[:i], c.members[i+1:])
		}
	}
	c.t.Fatalf("no process dispatches for pool %s", pool)
	return nil, nil
}

// inForce reports whether every process has the given configuration version or a
// later one in force.
func (c *cluster) inForce(version uint64) bool {
	for _, p := range c.members {
		members, err := p.client().Members(context.Background())
		if err != nil || members[0].Version < version {
			return false
		}
	}
	return true
}

// submit submits a ticket. After an error the ticket may or may not be in force;
// as the operators' documentation says, it is then submitted again, and the
// verdict "repeated" shows that the first submission took effect.
func (c *cluster) submit(ticket string) {
	c.t.Helper()
	resubmitted := false
	c.waitFor("a verdict on the ticket", 10*time.Second, func() bool {
		decision, err := c.members[0].client().Submit(context.Background(), []byte(ticket))
		if err != nil {
			c.t.Logf("submitting the ticket again: %v", err)
			resubmitted = true
			return false
		}
		if decision.Verdict != "accepted" && !(resubmitted && decision.Verdict == "repeated") {
			c.t.Fatalf("ticket was not accepted: %+v", decision)
		}
		return true
	})
}

func (c *cluster) waitFor(what string, limit time.Duration, done func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %s waiting for: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *cluster) records() []stand.Record {
	var records []stand.Record
	for _, w := range c.workers {
		records = append(records, w.Records()...)
	}
	return records
}

// logOutputOnFailure prints the output of all processes if the test failed.
func (c *cluster) logOutputOnFailure() {
	if !c.t.Failed() {
		return
	}
	for _, p := range c.members {
		if data, err := os.ReadFile(p.log); err == nil && len(data) > 0 {
			c.t.Logf("%s:\n%s", filepath.Base(p.log), data)
		}
	}
}
