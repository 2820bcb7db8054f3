// Command standin-3 plays the platform and the callers of the scripts in review/11 to review/15.
// It writes a settings file for each process of the system, waits until the processes that the
// script starts with them are ready, plays one case, and checks one rule.
//
// # Usage
//
//	standin-3 CASE DIR RECORD
//
// DIR is where the settings files go, RECORD the file for what was sent, answered and run. With
// the variable TROUBLE=0 the case is played without its disruption. The exit code is 0 if the
// rule held, 1 if it was broken, 2 if the case could not be played.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

const (
	callersHost  = "jobs.example"
	readyTimeout = 25 * time.Second
	settleTime   = 2 * time.Second // for the processes to acquire the pools
	callTimeout  = 4 * time.Second
	adminPort    = 9464
)

// scenario is one case.
type scenario struct {
	processes int
	options   mimic.Options
	config    func(version uint64) string               // the first configuration
	play      func(c *caseRun) (broken bool, err error) // an error means that the case could not be played
}

var scenarios = map[string]func() scenario{
	"advice":  adviceScenario,
	"crowd":   crowdScenario,
	"lasting": lastingScenario,
}

// caseRun is one play of a case.
type caseRun struct {
	platform *mimic.Platform
	entries  []netip.Addr
	client   http.Client
	trouble  bool
	dir      string // of the settings files
	began    time.Time

	mu     sync.Mutex
	record *os.File
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DIR RECORD")
		os.Exit(notPlayed)
	}
	code, err := run(scenarios[os.Args[1]](), os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case was not played:", err)
	}
	os.Exit(code)
}

func run(s scenario, dir, recordPath string) (code int, err error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return notPlayed, err
	}
	defer func() { _ = record.Close() }()
	p, err := mimic.New(s.options)
	if err != nil {
		return notPlayed, err
	}
	defer p.Close()
	c := &caseRun{
		platform: p, client: http.Client{Timeout: callTimeout}, trouble: os.Getenv("TROUBLE") != "0",
		dir: dir, began: time.Now(), record: record,
	}
	c.note("disruption: %t", c.trouble)
	c.configure(s.config(1))
	if err := c.writeSettings(dir, s.processes); err != nil {
		return notPlayed, err
	}
	if !c.waitReady() {
		return notPlayed, fmt.Errorf("the processes were not ready after %v", readyTimeout)
	}
	broken, err := s.play(c)
	c.noteRuns()
	if err != nil {
		c.note("the case could not be played: %v", err)
		return notPlayed, err
	}
	if broken {
		c.note("the rule was broken")
		return ruleBroken, nil
	}
	c.note("the rule held")
	return ruleHeld, nil
}

// note writes a line to the record, with the time since the start of the stand-in.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes all runs that the workers recorded.
func (c *caseRun) noteRuns() {
	for _, r := range c.platform.Runs() {
		ended := "still runs"
		if r.How != "" {
			ended = fmt.Sprintf("%s at %.3f s", r.How, r.Ended.Sub(c.began).Seconds())
		}
		c.note("run: task %s attempt %d on %s, born %d, started at %.3f s, %s", r.Task, r.Attempt, r.Worker, r.Born, r.Started.Sub(c.began).Seconds(), ended)
	}
}

func (c *caseRun) configure(config string) {
	c.platform.Configure(config)
	c.note("operator: the store acknowledges the configuration %s", config)
}

// writeSettings chooses loopback addresses with free ports and writes the settings of the processes.
func (c *caseRun) writeSettings(dir string, processes int) error {
	network := byte(70 + rand.IntN(50))
	for host := byte(1); len(c.entries) < processes; host++ {
		if host > 200 {
			return fmt.Errorf("no loopback address with free ports")
		}
		if addr := netip.AddrFrom4([4]byte{127, network, 1, host}); portsAreFree(addr) {
			c.entries = append(c.entries, addr)
		}
	}
	for i, addr := range c.entries {
		node := fmt.Sprintf("entry-%d", i+1)
		settings := string(c.platform.Settings(node, addr))
		settings = strings.Replace(settings, "lease_ms = 1000\n", "lease_ms = 3000\nstatus_s = 120\ngang_timeout_ms = 3000\nnotice_ms = 4500\nrate_ms = 100\nimpact_ms = 4000\nremote_factor = 1.5\n", 1)
		path := filepath.Join(dir, node+".toml")
		if err := os.WriteFile(path+".new", []byte(settings), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

func portsAreFree(addr netip.Addr) bool {
	for _, port := range []uint16{mimic.PortCallers, mimic.PortReadiness, mimic.PortControl, mimic.PortFirst, adminPort} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(addr, port).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (c *caseRun) waitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, addr := range c.entries {
			response, err := c.client.Get(fmt.Sprintf("http://%s:%d%s", addr, mimic.PortReadiness, platform.ReadyPath))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.entries) {
			time.Sleep(settleTime)
			c.note("all %d processes are ready", ready)
			return true
		}
	}
	return false
}

// call sends one request of a caller. The status is 0 if there was no answer.
func (c *caseRun) call(entry int, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.entries[entry], mimic.PortCallers, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = callersHost
	request.Header.Set(platform.DeadlineHeader, "3000")
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit sends a submission until it is accepted.
func (c *caseRun) submit(path, body string) error {
	for attempt := range 5 {
		status, answer := c.call(attempt%len(c.entries), http.MethodPost, path, body)
		c.note("caller: POST %s %s -> %d %s", path, body, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("POST %s was not accepted", path)
}

// state asks for the state of a submission.
func (c *caseRun) state(path string) (status int, answer string) {
	return c.call(rand.IntN(len(c.entries)), http.MethodGet, path, "")
}
