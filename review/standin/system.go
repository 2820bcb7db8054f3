package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// consumerHost is the name under which consumers reach the routes.
const consumerHost = "jobs.example"

// Ports of the daemons; each has an address of its own.
const (
	portControl   = 8623
	portReadiness = 8622
	portFrontend  = 8624
	portInternal  = 7060
	portMetrics   = 9464
)

// daemonProcess is one process of the system.
type daemonProcess struct {
	name, ip, settings string
	log                *os.File
	process            *exec.Cmd
	ended              chan struct{}
}

// startSystem starts the platform with machines of one pool for each route, then the daemons,
// and waits until they serve.
func (t *trial) startSystem(daemons int, routes []route, machinesPerPool, cpu, memMB int) error {
	var err error
	if t.platform, err = newPlatform(t.record); err != nil {
		return err
	}
	if t.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	number := 0
	for _, r := range routes {
		for range machinesPerPool {
			if err := t.platform.addMachine(number, r.service, cpu, memMB); err != nil {
				return fmt.Errorf("%w: %w", errNotRun, err)
			}
			number++
		}
	}
	t.platform.configure(1, routes)
	network, err := freeNetwork(daemons)
	if err != nil {
		return err
	}
	for i := range daemons {
		if err := t.startDaemon(fmt.Sprintf("frontend-a-%d", i+1), fmt.Sprintf("%s.%d", network, i+1)); err != nil {
			return err
		}
	}
	return t.awaitReady(routes)
}

// freeNetwork returns the first three numbers of loopback addresses at which no port of the
// daemons is in use.
func freeNetwork(daemons int) (string, error) {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for i := range daemons {
			for _, port := range []int{portControl, portReadiness, portFrontend, portInternal, portMetrics} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback addresses", errNotRun)
}

// startDaemon starts a daemon with the command of the deploy file, in the repository's root.
func (t *trial) startDaemon(name, ip string) error {
	d := &daemonProcess{name: name, ip: ip, settings: filepath.Join(t.dir, name+".toml")}
	if err := os.WriteFile(d.settings, t.platform.settings(name, ip), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	var err error
	if d.log, err = os.Create(filepath.Join(t.dir, name+".log")); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	t.daemons = append(t.daemons, d)
	return d.start()
}

func (d *daemonProcess) start() error {
	d.process = exec.Command("target/papayarudder", "daemon")
	d.process.Env = append(os.Environ(), "PAPAYARUDDER_CONFIG="+d.settings)
	d.process.Stdout, d.process.Stderr = d.log, d.log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	process, ended := d.process, make(chan struct{})
	d.ended = ended
	go func() {
		_ = process.Wait() // the cases see by its answers whether it works
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemonProcess) signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

func (d *daemonProcess) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// settings returns the settings file of a daemon, with the figures of the sites' pages.
func (p *fakePlatform) settings(name, ip string) []byte {
	return fmt.Appendf(nil, `node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = %q
zone = "zone-a"
region = "region-a"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "invocation"
advice = %q
[zones]
zone-a = "region-a"
[listen_addresses]
frontend = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = 1
restore_ms = 250
notice_ms = 4500
migration_s = 1.5
maintenance_s = 2
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
rate_ms = 100
impact_ms = 4000
[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
transaction_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
cross_shard = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
address = %q
rate_per_s = 64.0
duties = []
duties_per_s = 64.0
`, name, ip, portInternal, portInternal+15, p.adviceAddr, ip, portFrontend, ip, portReadiness, ip, portControl, p.storeAddr, p.machineAddr)
}

// awaitReady waits until all daemons are ready and each queue's length is known.
func (t *trial) awaitReady(routes []route) error {
	const readyTimeout = 20 * time.Second
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, d := range t.daemons {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", d.ip, portReadiness))
			if err != nil {
				ready = false
				continue
			}
			_ = response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		for _, r := range routes {
			status, _ := t.call(t.daemons[0], http.MethodGet, r.prefix, nil)
			ready = ready && status == http.StatusOK
		}
		if ready {
			t.record.printf("all daemons are ready and each pool has an owner")
			return nil
		}
	}
	return fmt.Errorf("%w: the daemons are not ready in time", errNotRun)
}

// Consumers' times.
const (
	callTimeout = 3 * time.Second
	retryDelay  = 200 * time.Millisecond
	maxTries    = 5 // the first one and 4 retries, as on the sites' pages
)

var client = http.Client{Timeout: callTimeout}

// call sends one request of a consumer and returns the status of the answer, 0 if there was
// none, and its body.
func (t *trial) call(d *daemonProcess, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip, portFrontend, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = consumerHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// retry sends a request to one daemon after another until it has an answer other than 502
// or 504.
func (t *trial) retry(method, path string, body []byte) (int, string) {
	status, answer := 0, ""
	for try := range maxTries {
		status, answer = t.call(t.daemons[try%len(t.daemons)], method, path, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(retryDelay)
	}
	return status, answer
}

// submit hands a submission in and returns the status of the answer.
func (t *trial) submit(s *submission) int {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // texts and numbers can always be encoded
	}
	t.platform.mu.Lock()
	t.platform.submissions[s.id] = s
	t.platform.mu.Unlock()
	status, answer := t.retry(http.MethodPost, s.route.prefix+s.id, body)
	t.record.printf("POST %s%s: %d %s", s.route.prefix, s.id, status, answer)
	return status
}

// state asks for a submission's state.
func (t *trial) state(s *submission) (int, string) {
	status, answer := t.retry(http.MethodGet, s.route.prefix+s.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		if err := json.Unmarshal([]byte(answer), &body); err != nil {
			return 0, answer
		}
	}
	return status, body.State
}

// newID returns a random submission id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
