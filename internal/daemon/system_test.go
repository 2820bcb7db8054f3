package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// childVariable names the environment variable that makes the test binary run as one
// process of the system, with the settings file that it names.
const childVariable = "PAPAYARUDDER_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path := os.Getenv(childVariable); path != "" {
		os.Exit(child(path))
	}
	os.Exit(m.Run())
}

// child runs one process of the system and returns its exit status.
func child(path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	logger, flush := logs.New(os.Stdout, settings.Node, time.Now)
	defer flush()
	d := daemon.New(settings, logger)
	d.Looked = panicUnder(os.Getenv(panicVariable))
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

const config = `{"version":%d,"routes":[
{"name":"labels","host":"a.example","prefix":"/labels/","service":"p1","timeout_ms":3000,"target_duration_ms":600,"priority":0,"max_attempts":3,"slack_factor":1.6},
{"name":"trucks","host":"a.example","prefix":"/labels/trucks/","service":"p2","timeout_ms":3000,"target_duration_ms":600,"priority":1,"max_attempts":2,"slack_factor":1.6}%s],
"services":[{"name":"p1","enforces_capacity":true},{"name":"p2","enforces_capacity":true},{"name":"spare","standby":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// system is a mimicked platform with several processes of the system.
type system struct {
	t         *testing.T
	platform  *mimic.Platform
	number    int32
	env       []string // added to the environment of the processes
	processes []*process
}

// process is one process of the system.
type process struct {
	node     string
	settings string
	addr     netip.Addr
	command  *exec.Cmd
	log      *lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newSystem(t *testing.T, processes int, o mimic.Options) *system {
	t.Helper()
	return newConfiguredSystem(t, processes, o, fmt.Sprintf(config, 1, ""))
}

// newConfiguredSystem returns a system with its own configuration, which has the queues
// of [config], and with variables added to the environment of its processes.
func newConfiguredSystem(t *testing.T, processes int, o mimic.Options, configuration string, env ...string) *system {
	t.Helper()
	t.Parallel()
	if o.Pools == nil {
		o.Pools = []mimic.Pool{{Name: "p1", Hosts: 3}, {Name: "p2", Hosts: 2}, {Name: "spare", Hosts: 1, Standby: true}}
	}
	p, err := mimic.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	s := &system{t: t, platform: p, number: systemCount.Add(1), env: env}
	p.Configure(configuration)
	for i := range processes {
		s.processes = append(s.processes, s.newProcess(i))
	}
	for _, pr := range s.processes {
		s.waitReady(pr)
	}
	s.waitFor("all pools to have an owner", 10*time.Second, func() bool {
		_, status := s.call(http.MethodGet, s.processes[0], "/labels/", "")
		_, other := s.call(http.MethodGet, s.processes[0], "/labels/trucks/", "")
		return status == 200 && other == 200
	})
	return s
}

// systemCount numbers the systems of a test run, so that each has its own addresses.
var systemCount atomic.Int32

func (s *system) newProcess(number int) *process {
	s.t.Helper()
	return s.newProcessOfSize(number, "0.4")
}

// newProcessOfSize starts a process on a host with the given share of a core.
func (s *system) newProcessOfSize(number int, share string) *process {
	s.t.Helper()
	addr := netip.AddrFrom4([4]byte{127, byte(20 + os.Getpid()%200), byte(s.number), byte(1 + number)})
	p := &process{node: fmt.Sprintf("entry-%d", number), addr: addr, log: &lockedBuffer{}}
	p.settings = filepath.Join(s.t.TempDir(), p.node+".toml")
	settings := strings.Replace(string(s.platform.Settings(p.node, addr)), "cpu_share = 0.4\n", "cpu_share = "+share+"\n", 1)
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(p)
	s.t.Cleanup(func() {
		s.kill(p)
		if s.t.Failed() && testing.Verbose() {
			s.t.Logf("%s:\n%s", p.node, p.log)
		}
	})
	return p
}

func (s *system) start(p *process) {
	s.t.Helper()
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(append(os.Environ(), childVariable+"="+p.settings), s.env...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) signal(p *process, sig os.Signal) {
	s.t.Helper()
	if err := p.command.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// kill kills a process, which may have ended already.
func (s *system) kill(p *process) {
	if p.command.ProcessState == nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

func (s *system) waitFor(what string, limit time.Duration, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	s.t.Fatalf("waited %v for %s", limit, what)
}

func (s *system) waitReady(p *process) {
	s.t.Helper()
	s.waitFor(p.node+" to be ready", 10*time.Second, func() bool {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.addr, mimic.PortReadiness))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// call sends a caller's request. It returns the body and the status, 0 if there was no
// answer.
func (s *system) call(method string, p *process, path, body string) (string, int) {
	s.t.Helper()
	return s.exchange(&http.Client{Timeout: 4 * time.Second}, http.Header{}, method, p, path, body)
}

// exchange is call with a header and over the connections of a client.
func (s *system) exchange(client *http.Client, header http.Header, method string, p *process, path, body string) (string, int) {
	s.t.Helper()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.addr, mimic.PortCallers, path), strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host, request.Header = "a.example", header
	request.Header.Set("Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", 0
	}
	return string(data), response.StatusCode
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

const oneStep = `{"spec":"50ms","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":50}]}`

// submit submits a job and retries until it is accepted.
func (s *system) submit(p *process, path, body string) {
	s.t.Helper()
	s.waitFor("job "+path+" to be accepted", 10*time.Second, func() bool {
		_, status := s.call(http.MethodPost, p, path, body)
		return status == http.StatusOK
	})
}

func (s *system) waitState(p *process, path, want string, limit time.Duration) {
	s.t.Helper()
	s.waitFor(path+" to be "+want, limit, func() bool {
		body, _ := s.call(http.MethodGet, p, path, "")
		return body == `{"state":"`+want+`"}`
	})
}

// check fails the test if the platform observed a broken guarantee, such as a task that
// ran twice at the same time.
func (s *system) check() {
	s.t.Helper()
	for _, fault := range s.platform.Check() {
		s.t.Error(fault)
	}
}

// owner returns the process that owns a pool according to the store.
func (s *system) owner(pool string) *process {
	s.t.Helper()
	row := string(s.platform.Store.Get("own", pool, "owner"))
	for _, p := range s.processes {
		if strings.Contains(row, `"`+p.node+`"`) {
			return p
		}
	}
	s.t.Fatalf("no process owns pool %s: %s", pool, row)
	return nil
}

// other returns another process than p.
func (s *system) other(p *process) *process {
	for _, o := range s.processes {
		if o != p {
			return o
		}
	}
	return nil
}

// failTask ends a running task as failed. It reports whether the task ran.
func (s *system) failTask(task string) bool {
	for _, w := range s.platform.Working() {
		if w.Fail(task) {
			return true
		}
	}
	return false
}

// runs reports whether a task runs now.
func (s *system) runs(task string) bool {
	for _, r := range s.platform.Runs() {
		if r.Task == task && r.How == "" {
			return true
		}
	}
	return false
}
