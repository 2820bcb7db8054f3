//go:build linux && !race

// The race detector's shadow memory would count as memory of the processes.

package main

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/pkg/caller"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// childArguments names the environment variable that makes the test binary run as the
// program, with the arguments that it holds.
const childArguments = "PAPAYARUDDER_TEST_ARGUMENTS"

// childDescriptors names the variable with the limit of descriptors of a process whose settings
// have none.
const childDescriptors = "PAPAYARUDDER_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(childArguments); arguments != "" {
		if n, err := strconv.ParseUint(os.Getenv(childDescriptors), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		code := run(ctx, strings.Fields(arguments), os.Stdout, os.Stderr)
		stop()
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// Sizes and bounds of the crowds.
const (
	crowdSize      = 300 // connections
	bulkyCrowdSize = 30  // connections with bodies of many MB
	jobMemoryMB    = 96  // of the host of "papayarudder daemon"
	requestMemory  = 256 // MB, of the host of "papayarudder serve"
	descriptors    = 4100
	fewDescriptors = 300 // 200 of them for files
	jobBody        = 262_144
	adminJobBody   = 1 << 20
	requestBody    = 1 << 20
	ticketBody     = 16 << 20
	peerMessage    = 10 << 20
	peerCalls      = 40_000 // on one connection
	headerFields   = 8000   // of one request
	unreadRequests = 200    // on one connection
	callsCrowdSize = 4

	patience = 30 * time.Second // of the crowd, and of the ordinary caller
)

// target is an address of a process of the system.
type target struct {
	pid         int
	addr        netip.AddrPort
	head        string // request line and Host header of a request with a body
	query       string // request without a body
	body        int    // longest legal body
	memoryMB    int
	descriptors int
	ordinary    func() int // sends an ordinary request and returns its status, 0 without an answer
}

// crowd is a set of connections that send the same and then stay open.
type crowd struct {
	name  string
	conns int // 0 for crowdSize
	send  func(g target, conn io.Writer)
}

// plain returns a request of n bytes of body, which lacks the last bytes.
func plain(g target, header string, n, missing int) []byte {
	head := fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", g.head, header, n)
	return append([]byte(head), filler(n-missing)...)
}

// filler returns the beginning of a submission with a spec of about n bytes.
func filler(n int) []byte {
	const begin = `{"spec":"`
	return append([]byte(begin), bytes.Repeat([]byte("x"), n-len(begin))...)
}

func sendAll(conn io.Writer, data []byte) { _, _ = conn.Write(data) } // it may be refused

// callerCrowds are the crowds of callers that send bodies.
var callerCrowds = []crowd{
	{name: "whole", send: func(g target, conn io.Writer) { sendAll(conn, plain(g, "", g.body, 0)) }},
	{name: "pieces", send: func(g target, conn io.Writer) {
		data := plain(g, "", g.body, 1)
		for piece := len(data) / 64; len(data) > 0; {
			n := min(piece, len(data))
			sendAll(conn, data[:n])
			data = data[n:]
			time.Sleep(10 * time.Millisecond)
		}
	}},
	{name: "short", send: func(g target, conn io.Writer) { sendAll(conn, plain(g, "", g.body, 1)) }},
	{name: "expect", send: func(g target, conn io.Writer) { sendAll(conn, plain(g, "Expect: 100-continue\r\n", g.body, 1)) }},
	{name: "gzip", send: func(g target, conn io.Writer) { sendAll(conn, plain(g, "Content-Encoding: gzip\r\n", g.body, 1)) }},
	{name: "chunk", send: func(g target, conn io.Writer) {
		sendAll(conn, fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", g.head, g.body, filler(g.body-1)))
	}},
	{name: "tiny-chunks", send: func(g target, conn io.Writer) {
		sendAll(conn, []byte(g.head+"Transfer-Encoding: chunked\r\n\r\n"))
		chunks := bytes.Repeat([]byte("1\r\nx\r\n"), 4096)
		for range g.body / 4096 {
			sendAll(conn, chunks)
		}
	}},
	{name: "headers", send: func(g target, conn io.Writer) {
		sendAll(conn, []byte(g.head))
		line := []byte("X-Filler: " + strings.Repeat("x", 1000) + "\r\n")
		for range 1000 {
			sendAll(conn, line)
		}
	}},
	{name: "many-fields", send: func(g target, conn io.Writer) {
		var fields bytes.Buffer
		for i := range headerFields {
			fmt.Fprintf(&fields, "x%04x:\r\n", i)
		}
		sendAll(conn, append([]byte(g.head), fields.Bytes()...))
	}},
	{name: "unread", send: func(g target, conn io.Writer) {
		for range unreadRequests {
			sendAll(conn, []byte(g.query))
		}
	}},
	{name: "idle", send: func(g target, conn io.Writer) { sendAll(conn, []byte(g.query)) }},
}

// bulkyCrowds are the crowds for addresses that take bodies of many MB.
var bulkyCrowds = []crowd{
	{name: "short", conns: bulkyCrowdSize, send: callerCrowds[2].send},
	{name: "chunk", conns: bulkyCrowdSize, send: callerCrowds[5].send},
	{name: "headers", send: callerCrowds[7].send},
	{name: "many-fields", send: callerCrowds[8].send},
	{name: "unread", send: callerCrowds[9].send},
	{name: "idle", send: callerCrowds[10].send},
}

// peerCrowds are the crowds for addresses of calls between processes.
var peerCrowds = []crowd{
	{name: "short", conns: bulkyCrowdSize, send: func(_ target, conn io.Writer) {
		const threeBytes = 0xfd // length of the length, as encoding/gob writes it
		n := peerMessage
		sendAll(conn, []byte{threeBytes, byte(n >> 16), byte(n >> 8), byte(n)})
		sendAll(conn, make([]byte, n-1))
	}},
	{name: "unread", conns: callsCrowdSize, send: func(_ target, conn io.Writer) {
		encoder := gob.NewEncoder(conn)
		for i := range peerCalls {
			if encoder.Encode(rpc.Request{ServiceMethod: "Heartbeat.Beat", Seq: uint64(i)}) != nil || encoder.Encode(wire.Beat{}) != nil {
				return
			}
		}
	}},
	{name: "idle", send: func(target, io.Writer) {}},
}

// TestCrowdOfCallers opens a crowd at each address of a process that others reach, and checks
// that the process lives, that its memory and its descriptors stay below those of its host and
// that an ordinary request is answered while the crowd is connected.
func TestCrowdOfCallers(t *testing.T) {
	for _, c := range []struct {
		name   string
		crowds []crowd
		start  func(t *testing.T, descriptors int) target
	}{
		{"jobs", callerCrowds, startDaemon},
		{"jobs-admin", callerCrowds, func(t *testing.T, n int) target {
			g := startDaemon(t, n)
			g.addr, g.body = netip.AddrPortFrom(g.addr.Addr(), 9464), adminJobBody
			g.head = "POST " + admin.PathJobs + "?queue=labels HTTP/1.1\r\nHost: a.example\r\n"
			g.query = "GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n"
			return g
		}},
		{"jobs-peers", peerCrowds, func(t *testing.T, n int) target {
			g := startDaemon(t, n)
			g.addr = netip.AddrPortFrom(g.addr.Addr(), mimic.PortFirst)
			return g
		}},
		{"requests", callerCrowds, startServe},
		{"requests-admin", bulkyCrowds, func(t *testing.T, n int) target {
			g := startServe(t, n)
			g.addr, g.body = netip.AddrPortFrom(g.addr.Addr(), servePortAdmin), ticketBody
			g.head = "POST " + admin.PathTickets + " HTTP/1.1\r\nHost: a.example\r\n"
			g.query = "GET " + admin.PathTimeline + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
			return g
		}},
		{"requests-peers", peerCrowds, func(t *testing.T, n int) target {
			g := startServe(t, n)
			g.addr = netip.AddrPortFrom(g.addr.Addr(), servePortPeers)
			return g
		}},
	} {
		for _, crowd := range c.crowds {
			t.Run(c.name+"/"+crowd.name, func(t *testing.T) {
				n := descriptors
				if crowd.name == "idle" {
					n = fewDescriptors
				}
				crowd.check(t, c.start(t, n))
			})
		}
	}
}

func (c crowd) check(t *testing.T, g target) {
	t.Helper()
	if status := g.ordinaryStatus(); status != http.StatusOK {
		t.Fatalf("an ordinary request before the crowd: status %d", status)
	}
	rest, open := g.memory(t, "VmRSS"), g.openDescriptors(t)
	conns := c.open(t, g)
	time.Sleep(time.Second) // for the process to read what it was sent
	most := g.openDescriptors(t)
	if status := g.ordinaryStatus(); status != http.StatusOK {
		t.Errorf("an ordinary request: status %d", status)
	}
	peak := g.memory(t, "VmHWM")
	t.Logf("memory %d MB at rest, at most %d; descriptors %d, %d with the crowd; %d connections", rest, peak, open, most, len(conns))
	if peak > g.memoryMB {
		t.Errorf("memory: %d MB, the host has %d", peak, g.memoryMB)
	}
	if most > g.descriptors {
		t.Errorf("descriptors: %d, the process may have %d", most, g.descriptors)
	}
}

// open connects the crowd, sends what it sends and returns its connections, which stay open.
func (c crowd) open(t *testing.T, g target) []net.Conn {
	t.Helper()
	n := c.conns
	if n == 0 {
		n = crowdSize
	}
	var conns []net.Conn
	var senders sync.WaitGroup
	for range n {
		conn, err := net.DialTimeout("tcp", g.addr.String(), patience)
		if err != nil {
			break // a refusal
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		_ = conn.(*net.TCPConn).SetLinger(0) // leaves no connection in TIME_WAIT
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(patience / 3))
		conns = append(conns, conn)
		senders.Go(func() { c.send(g, conn) })
	}
	senders.Wait()
	return conns
}

// ordinaryStatus sends an ordinary request until it is answered, as callers do that are refused.
func (g target) ordinaryStatus() int {
	status := 0
	for end := time.Now().Add(patience); time.Now().Before(end) && status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		status = g.ordinary()
	}
	return status
}

// memory returns a field of the process's status in MB.
func (g target) memory(t *testing.T, field string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kB, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kB >> 10
		}
	}
	t.Fatalf("the process has ended: no %s", field)
	return 0
}

func (g target) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(entries)
}

// startChild runs the program until the end of the test and returns its process id.
func startChild(t *testing.T, arguments string, env ...string) int {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(append(os.Environ(), childArguments+"="+arguments), env...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("%s", data[max(0, len(data)-4000):])
		}
		_ = log.Close()
	})
	return command.Process.Pid
}

// crowdHost returns an address that no other test and no client connection uses.
func crowdHost() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(221 + os.Getpid()%30), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
}

// startDaemon starts a process for jobs on a platform of its own.
func startDaemon(t *testing.T, descriptors int) target {
	t.Helper()
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.Configure(`{"version":1,"routes":[{"name":"labels","host":"a.example","prefix":"/labels/","service":"p1",` +
		`"timeout_ms":3000,"target_duration_ms":600,"priority":0,"max_attempts":3,"slack_factor":1.6}],"services":[{"name":"p1","enforces_capacity":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	host := crowdHost()
	limits := fmt.Sprintf("memory_mb = %d\nfile_descriptors = %d\n", jobMemoryMB, descriptors)
	settings := strings.Replace(string(p.Settings("entry", host)), "memory_mb = 284\n", limits, 1)
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	g := target{
		pid: startChild(t, "daemon --settings "+path), addr: netip.AddrPortFrom(host, mimic.PortCallers), body: jobBody,
		head:  "POST /labels/00000000000000ff HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\n",
		query: "GET /labels/00000000000000ff HTTP/1.1\r\nHost: a.example\r\n\r\n", memoryMB: jobMemoryMB, descriptors: descriptors,
	}
	job, callers := 0, g.addr
	g.ordinary = func() int {
		job++
		return post(fmt.Sprintf("http://%s/labels/%016x", callers, job), `{"spec":"50ms","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":50}]}`)
	}
	return g
}

// Ports of a process for requests.
const (
	servePortCallers = 8101
	servePortAdmin   = 8301
	servePortPeers   = 8501
)

// startServe starts a process for requests on a platform of its own.
func startServe(t *testing.T, descriptors int) target {
	t.Helper()
	worker := stand.NewWorker(stand.WorkerConfig{Name: "w", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 8})
	workerAddr, err := worker.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: stand.NewServer(stand.NewTable(), map[string]*stand.Worker{"w": worker}).Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	host := crowdHost()
	path := filepath.Join(t.TempDir(), "entry.ini")
	settings := fmt.Sprintf("[process]\nname = entry\nzone = z\n[listen]\ncaller = %s:%d\nadmin = %s:%d\npeer = %s:%d\n[platform]\naddress = %s\n[lease]\nmembers = 1\n",
		host, servePortCallers, host, servePortAdmin, host, servePortPeers, listener.Addr())
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	g := target{
		pid: startChild(t, "serve --settings "+path, fmt.Sprintf("%s=%d", childDescriptors, descriptors)), addr: netip.AddrPortFrom(host, servePortCallers), body: requestBody,
		head:  "POST " + caller.PathServices + "label HTTP/1.1\r\nHost: a.example\r\n",
		query: "POST " + caller.PathServices + "label HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("x", 10000), memoryMB: requestMemory, descriptors: descriptors,
	}
	declared := false
	g.ordinary = func() int {
		if !declared {
			client := admin.NewClient(netip.AddrPortFrom(host, servePortAdmin), 2*time.Second)
			_, err := client.Submit(t.Context(), fmt.Appendf(nil, `{"number":1,"author":"a","reason":"first","pools":[{"name":"p","away-percent":50}],`+
				`"services":[{"name":"label","pool":"p","idempotent":true,"run-time":"20ms","timeout":"10s"}],`+
				`"hosts":[{"name":"w","pool":"p","address":%q,"zone":"z","rack":"r"}]}`, workerAddr))
			declared = err == nil
		}
		return post(fmt.Sprintf("http://%s:%d%slabel", host, servePortCallers, caller.PathServices), "work 1ms\n")
	}
	return g
}

// post sends a request and returns the status of its answer, 0 without one.
func post(url, body string) int {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the URLs are constant
	}
	request.Host = "a.example"
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
