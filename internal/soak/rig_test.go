package soak

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// rig is a deployment under test: the mimicked platform, the processes of the program and a
// link between each two that talk to each other.
type rig struct {
	t         *testing.T
	seed      uint64
	began     time.Time
	platform  *mimic.Platform
	processes []*process
	subnet    [2]byte
	record    *record
	replay    string // the command that repeats the run
	lookAhead bool   // of the processes' placement

	generation atomic.Int64 // of the keys that callers use

	mu       sync.Mutex
	links    map[linkKey]*link
	split    *partition        // nil if all processes reach each other
	real     map[string]string // the address behind that of a link
	senders  map[ends][]*channel
	lateness delaying // of orders to workers
	random   *rand.Rand
}

// linkKey identifies a link: the process that calls, and the server's address.
type linkKey struct {
	from   string
	target netip.AddrPort
}

// ends are the addresses of a connection that a server sees: the caller's and its own.
type ends struct{ from, to string }

// process is one process of the program.
type process struct {
	node     string
	addr     netip.Addr
	settings string
	callers  *link
	store    *link
	machines *link
	failure  atomic.Int32 // storeFailure, of the store towards this process
	log      *logLines

	mu      sync.Mutex // held by the fault that uses the process
	command *exec.Cmd
	exited  chan struct{}
	ending  atomic.Bool // it was told to end
}

// rigs numbers the rigs of a test run, so that each has its own addresses.
var rigs atomic.Int32

func newRig(t *testing.T, seed uint64, o mimic.Options, processes int) *rig {
	t.Helper()
	r := &rig{
		t: t, seed: seed, began: time.Now(), links: map[linkKey]*link{}, real: map[string]string{}, senders: map[ends][]*channel{},
		random: rand.New(rand.NewPCG(seed, 1)), subnet: [2]byte{byte(20 + os.Getpid()%200), byte(rigs.Add(1))},
	}
	r.record = newRecord(r.began)
	o.Late, o.Addr, o.Work = r.lateOrder, r.address(platformHost), statedWork
	var err error
	if r.platform, err = mimic.New(o); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.platform.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, l := range r.links {
			l.close()
		}
	})
	for i := range processes {
		r.processes = append(r.processes, r.newProcess(i))
	}
	return r
}

// statedWork returns how long a task runs, with which its spec begins.
func statedWork(_, spec string) (time.Duration, bool) {
	text, _, _ := strings.Cut(spec, " ")
	duration, err := time.ParseDuration(text)
	return duration, err != nil
}

// lateOrder is [mimic.Options.Late].
func (r *rig) lateOrder(string, string, int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateness.share == 0 || r.random.Float64() >= r.lateness.share {
		return 0
	}
	return r.lateness.least + time.Duration(r.random.Float64()*float64(r.lateness.spread))
}

// newProcess prepares a process and its links; start starts it.
func (r *rig) newProcess(number int) *process {
	r.t.Helper()
	p := &process{node: fmt.Sprintf("entry-%d", number), addr: r.address(1 + number), log: &logLines{}}
	server := &http.Server{Handler: r.storeHandler(p), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", netip.AddrPortFrom(r.address(platformHost), 0).String())
	if err != nil {
		r.t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	r.t.Cleanup(func() { _ = server.Close() })

	settings := string(r.platform.Settings(p.node, p.addr))
	parsed, err := platform.ParseSettings([]byte(settings))
	if err != nil {
		r.t.Fatal(err)
	}
	p.store = r.link(p.node, "store", listener.Addr().(*net.TCPAddr).AddrPort())
	p.machines = r.link(p.node, "machines", parsed.Machines.Addr)
	p.callers = r.link("callers", p.node, netip.AddrPortFrom(p.addr, mimic.PortCallers))
	p.callers.refuse()
	settings = strings.Replace(settings, fmt.Sprintf("address = %q", parsed.Store.Addr), fmt.Sprintf("address = %q", p.store.listen), 1)
	settings = strings.Replace(settings, fmt.Sprintf("address = %q", parsed.Machines.Addr), fmt.Sprintf("address = %q", p.machines.listen), 1)
	p.settings = filepath.Join(r.t.TempDir(), p.node+".toml")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return p
}

func (r *rig) address(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.subnet[0], r.subnet[1], byte(host)})
}

// Host numbers of the addresses of the links and of the platform's servers. Outgoing
// connections have another address, so that none takes the port of a server that is away.
const (
	linkHost     = 250
	platformHost = 251
)

// firstLinkPort is the port of the first link. They stay below the ports that the operating
// system chooses.
const firstLinkPort = 10_000

// link returns the link from a process to a server and makes it accept connections.
func (r *rig) link(from, to string, target netip.AddrPort) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := linkKey{from, target}
	if l := r.links[key]; l != nil {
		if err := l.open(); err != nil {
			r.t.Error(err)
		}
		return l
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(from + to)) // never fails
	l, err := newLink(from, to, netip.AddrPortFrom(r.address(linkHost), uint16(firstLinkPort+len(r.links))), target, rand.New(rand.NewPCG(r.seed, hash.Sum64())), r.opened)
	if err != nil {
		r.t.Error(err)
		return l
	}
	r.links[key] = l
	r.real[l.listen.String()] = target.String()
	if r.split != nil && r.split.cuts(l) {
		if err := l.sever(r.split.how(l)); err != nil {
			r.t.Error(err)
		}
	}
	return l
}

// opened records a connection to a server under the address that the server sees.
func (r *rig) opened(c *channel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := ends{c.server.LocalAddr().String(), c.link.target.String()}
	r.senders[key] = append(r.senders[key], c)
}

// sender returns the connection over which the order to start a run came, nil if it is
// unknown.
func (r *rig) sender(started mimic.Run) *channel {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found *channel
	for _, c := range r.senders[ends{started.From, started.To}] {
		if !c.openedAt.After(started.Came) {
			found = c
		}
	}
	return found
}

// linksOf returns the links of a process to the workers, and those to and from the other
// processes, by the other one's name.
func (r *rig) linksOf(node string) (workers, peers []*link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		switch {
		case l.from == node && strings.HasPrefix(l.to, "worker"):
			workers = append(workers, l)
		case l.from == node && strings.HasPrefix(l.to, "entry"), l.to == node && strings.HasPrefix(l.from, "entry"):
			peers = append(peers, l)
		}
	}
	return workers, peers
}

var loopbackAddr = regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`)

// seen maps the addresses in a row to those of the links that a process uses.
func (r *rig) seen(p *process, value string) string {
	return loopbackAddr.ReplaceAllStringFunc(value, func(text string) string {
		target, err := netip.ParseAddrPort(text)
		if err != nil || target.Addr() == p.addr {
			return text
		}
		for _, other := range r.processes {
			if other.addr == target.Addr() {
				return r.link(p.node, other.node, target).listen.String()
			}
		}
		return r.link(p.node, "worker "+text, target).listen.String()
	})
}

// written maps the addresses of links in a row back.
func (r *rig) written(value string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return loopbackAddr.ReplaceAllStringFunc(value, func(text string) string {
		if target, found := r.real[text]; found {
			return target
		}
		return text
	})
}

// storeFailure is how the store fails towards a process.
type storeFailure int32

const (
	healthy  storeFailure = iota
	busy                  // answers 503
	refusing              // answers 429
	silent                // answers nothing, and has no effect
	slow                  // answers after slowTime
)

const slowTime = 700 * time.Millisecond

// storeHandler returns the store as a process sees it.
func (r *rig) storeHandler(p *process) http.Handler {
	store := r.platform.Store.Handler(mimic.View{
		Seen:    func(value string) string { return r.seen(p, value) },
		Written: r.written,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch storeFailure(p.failure.Load()) {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case refusing:
			w.WriteHeader(http.StatusTooManyRequests)
		case silent:
			<-request.Context().Done()
		case slow:
			time.Sleep(slowTime)
			store.ServeHTTP(w, request)
		case healthy:
			store.ServeHTTP(w, request)
		}
	})
}

// childVariable names the environment variable that makes the test binary run as one
// process of the program, with the settings file that it names.
const childVariable = "PAPAYARUDDER_SOAK_DAEMON"

// lookAheadVariable names the environment variable that, if it is not empty, lets its placement look ahead.
const lookAheadVariable = "PAPAYARUDDER_SOAK_LOOK_AHEAD"

// start starts a process and opens its links when it accepts connections.
func (r *rig) start(p *process) error {
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), childVariable+"="+p.settings)
	if *binary != "" {
		p.command = exec.Command(*binary, "daemon")
		p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	}
	if r.lookAhead {
		p.command.Env = append(p.command.Env, lookAheadVariable+"=1")
		if *binary != "" {
			p.command.Args = append(p.command.Args, "--look-ahead")
		}
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	p.command.Stderr = p.command.Stdout
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	p.ending.Store(false)
	command := p.command
	go func() {
		p.log.read(output)
		err := command.Wait()
		if !p.ending.Load() {
			text := fmt.Sprint(err)
			for _, line := range p.log.all("panic:") {
				text += ", " + strings.TrimSpace(line.text)
			}
			r.record.processEnded(p.node, text)
		}
		close(exited)
	}()
	for _, port := range []uint16{mimic.PortCallers, mimic.PortFirst} {
		addr := netip.AddrPortFrom(p.addr, port)
		for limit := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if connection, err := net.Dial("tcp", addr.String()); err == nil {
				_ = connection.Close()
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s does not listen on %s", p.node, addr)
			}
		}
	}
	for _, l := range r.linksTo(p) {
		if err := l.open(); err != nil {
			return err
		}
	}
	return nil
}

// linksTo returns the links to a process.
func (r *rig) linksTo(p *process) []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*link
	for _, l := range r.links {
		if l.target.Addr() == p.addr {
			all = append(all, l)
		}
	}
	return all
}

// signal sends a signal to a process, which may have ended.
func (p *process) signal(signal syscall.Signal) {
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.ending.Store(true)
	}
	_ = p.command.Process.Signal(signal)
}

// awaitExit waits until a process has ended, and refuses connections to it from then on.
func (r *rig) awaitExit(p *process) {
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, l := range r.linksTo(p) {
		l.refuse()
	}
}

// graceTime is the time from SIGTERM to SIGKILL, grace_s of the settings.
const graceTime = 6 * time.Second

// stop kills a process at the end of a run.
func (r *rig) stop(p *process) {
	if p.command == nil || p.command.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// owner returns the process that owns a pool according to the store, nil if none does.
func (r *rig) owner(pool string) *process {
	row := string(r.platform.Store.Get("own", pool, "owner"))
	for _, p := range r.processes {
		if strings.Contains(row, `"`+p.node+`"`) {
			return p
		}
	}
	return nil
}

// logLines keeps the log of a process.
type logLines struct {
	mu    sync.Mutex
	lines []logLine
}

type logLine struct {
	at   time.Time
	text string
}

// all returns the lines that contain a text.
func (l *logLines) all(text string) []logLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.lines), func(line logLine) bool { return !strings.Contains(line.text, text) })
}

var logTime = regexp.MustCompile(`"time":"(\d\d):(\d\d):(\d\d)\.(\d\d\d)"`)

func (l *logLines) read(from interface{ Read([]byte) (int, error) }) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		text := lines.Text()
		at := time.Now()
		if m := logTime.FindString(text); m != "" {
			if clock, err := time.ParseInLocation(`"time":"15:04:05.000"`, m, time.Local); err == nil {
				at = time.Date(at.Year(), at.Month(), at.Day(), clock.Hour(), clock.Minute(), clock.Second(), clock.Nanosecond(), time.Local)
			}
		}
		l.mu.Lock()
		l.lines = append(l.lines, logLine{at, text})
		l.mu.Unlock()
	}
}
