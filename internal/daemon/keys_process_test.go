package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// orgConfig returns a version of the configuration with organisations: each has its name and
// keys, separated by spaces. The queue trucks is public.
func orgConfig(version int, organisations ...string) string {
	var tenants []string
	for _, o := range organisations {
		fields := strings.Fields(o)
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":["%s"],"weight":10}`, fields[0], strings.Join(fields[1:], `","`)))
	}
	text := fmt.Sprintf(config, version, "")
	text = strings.Replace(text, `"service":"p2"`, `"service":"p2","public":true`, 1)
	return strings.Replace(text, `"services":`, `"tenants":[`+strings.Join(tenants, ",")+`],"services":`, 1)
}

// callWith is call with a key, over the client's connections.
func (s *system) callWith(client *http.Client, key, method string, p *process, path, body string) (string, int) {
	s.t.Helper()
	header := http.Header{}
	if key != "" {
		header.Set("Credential", key)
	}
	return s.exchange(client, header, method, p, path, body)
}

// admin returns what a process answers to an operator.
func (s *system) admin(p *process, path string) string {
	s.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.addr, daemon.AdminPort, path))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(data)
}

// Guards against calls with a key that was removed, that is unknown or that belongs to another
// organisation, also over connections that stay open and at a process that stood still.
func TestKeysOfCallers(t *testing.T) {
	s := newConfiguredSystem(t, 2, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}, {Name: "p2", Hosts: 1}}}, fmt.Sprintf(config, 1, ""))
	s.submit(s.processes[0], "/labels/"+id(1), oneStep) // before there are organisations
	s.platform.Configure(orgConfig(2, "north n-1 n-2", "south s-1"))
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	expect := func(p *process, key, method, path string, want int) {
		t.Helper()
		body := ""
		if method == http.MethodPost {
			body = oneStep
		}
		if answer, status := s.callWith(client, key, method, p, path, body); status != want {
			t.Errorf("%s %s at %s with key %q: %d %.100s, want %d", method, path, p.node, key, status, answer, want)
		} else if key != "" && strings.Contains(answer, key) {
			t.Errorf("%s %s: the answer has the key: %s", method, path, answer)
		}
	}
	for _, p := range s.processes {
		s.waitFor("keys to be checked", 5*time.Second, func() bool {
			_, status := s.callWith(client, "", http.MethodGet, p, "/labels/", "")
			return status == http.StatusUnauthorized
		})
	}
	for i, p := range s.processes { // the owner and a process that asks it
		own, theirs := "/labels/"+id(10+i), "/labels/"+id(20+i)
		expect(p, "n-1", http.MethodPost, own, 200)
		expect(p, "s-1", http.MethodPost, theirs, 200)
		expect(p, "n-2", http.MethodPost, own, 200) // another key of the same organisation
		expect(p, "s-1", http.MethodPost, own, 403)
		expect(p, "n-2", http.MethodGet, own, 200)
		expect(p, "s-1", http.MethodGet, own, 403)
		expect(p, "s-1", http.MethodDelete, own, 403)
		expect(p, "n-1", http.MethodGet, theirs, 403)
		expect(p, "n-1", http.MethodGet, "/labels/"+id(1), 200) // belongs to no organisation
		expect(p, "n-1", http.MethodGet, "/labels/"+id(99), 410)
		for _, key := range []string{"", "odd", "N-1", strings.Repeat("n", 300)} {
			expect(p, key, http.MethodPost, "/labels/"+id(30), 401)
			expect(p, key, http.MethodGet, own, 401)
			expect(p, key, http.MethodDelete, own, 401)
			expect(p, key, http.MethodGet, "/labels/", 401)
			expect(p, key, http.MethodGet, "/nowhere/", 404)
			expect(p, key, http.MethodGet, "/labels/trucks/", 200) // public
		}
		expect(p, "odd", http.MethodPost, "/labels/trucks/"+id(40+i), 200)
		expect(p, "n-1", http.MethodGet, "/labels/", 200)
		expect(p, "s-1", http.MethodGet, "/labels/trucks/"+id(40+i), 200) // belongs to no organisation
	}

	s.platform.Configure(orgConfig(3, "north n-2 n-3", "south s-1"))
	for _, p := range s.processes {
		s.waitFor("n-1 to be refused on an open connection", 2*time.Second, func() bool {
			_, status := s.callWith(client, "n-1", http.MethodGet, p, "/labels/", "")
			return status == http.StatusUnauthorized
		})
		expect(p, "n-3", http.MethodGet, "/labels/"+id(10), 200) // handed in with n-1
		expect(p, "n-1", http.MethodGet, "/labels/"+id(10), 401)
	}
	s.platform.Configure(orgConfig(2, "north n-1 n-2", "south s-1")) // an older version
	s.platform.Configure(strings.Replace(orgConfig(4, "north n-1", "south s-1"), `"weight":10`, `"weight":0`, 1))
	time.Sleep(500 * time.Millisecond)
	for _, p := range s.processes {
		expect(p, "n-1", http.MethodGet, "/labels/", 401)
		expect(p, "n-3", http.MethodGet, "/labels/", 200)
	}

	// A process stands still while the organisation south is removed and n-4 added.
	p := s.other(s.owner("p1"))
	s.signal(p, syscall.SIGSTOP)
	time.Sleep(200 * time.Millisecond) // until all of its threads have stopped
	s.platform.Configure(orgConfig(5, "north n-4"))
	type outcome struct {
		key    string
		status int
	}
	outcomes := make(chan outcome, 6)
	for i := range cap(outcomes) {
		key := []string{"n-3", "s-1", "n-4"}[i%3]
		go func() {
			_, status := s.callWith(client, key, http.MethodPost, p, "/labels/"+id(50+i), oneStep)
			outcomes <- outcome{key, status}
		}()
	}
	time.Sleep(900 * time.Millisecond)
	s.signal(p, syscall.SIGCONT)
	for range cap(outcomes) {
		if o := <-outcomes; (o.key == "n-4") != (o.status == 200) || o.key != "n-4" && o.status != 401 {
			t.Errorf("key %s at a process that stood still while it changed: %d", o.key, o.status)
		}
	}
	for _, p := range s.processes {
		if text := s.admin(p, "/metrics"); !strings.Contains(text, `papayarudder_calls_refused_total{cause="key-unknown"}`) {
			t.Errorf("the metrics of %s lack the refused calls", p.node)
		}
		// One of the processes has to ask the owners.
		if text := s.admin(p, "/organisations/north"); strings.Count(text, `"known":true`) != 3 || !strings.Contains(text, `"other-organisation"`) {
			t.Errorf("%s about an organisation: %s", p.node, text)
		}
		for _, key := range []string{"n-1", "n-2", "n-3", "n-4", "s-1"} {
			if strings.Contains(p.log.String(), key+`"`) {
				t.Errorf("the log of %s has the key %s", p.node, key)
			}
		}
	}
	s.check()
}

// Guards against callers without a key that hold a process by bodies that never come, and
// against a key that counts for as long as the body of a call takes.
func TestKeyIsCheckedBeforeAndAfterTheBody(t *testing.T) {
	s := newConfiguredSystem(t, 1, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 1}, {Name: "p2", Hosts: 1}}}, fmt.Sprintf(config, 1, ""))
	p := s.processes[0]
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	waitForKey := func(key string) {
		t.Helper()
		s.waitFor("key "+key+" to be the only one", 5*time.Second, func() bool {
			_, without := s.callWith(client, "n-1", http.MethodGet, p, "/labels/", "")
			_, with := s.callWith(client, key, http.MethodGet, p, "/labels/", "")
			return with == http.StatusOK && (key == "n-1" || without == http.StatusUnauthorized)
		})
	}
	s.platform.Configure(orgConfig(2, "north n-1"))
	waitForKey("n-1")
	// begin sends a call without the end of its body. The function that it returns sends the
	// rest and returns the status.
	begin := func(key string, n int) func(rest string) int {
		connection, err := net.Dial("tcp", netip.AddrPortFrom(p.addr, mimic.PortCallers).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		fmt.Fprintf(connection, "POST /labels/%s HTTP/1.1\r\nHost: a.example\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s", id(n), key, len(oneStep), oneStep[:9])
		return func(rest string) int {
			fmt.Fprint(connection, rest)
			_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second)) // an error shows in the answer
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatalf("no answer with key %s: %v", key, err)
			}
			_ = response.Body.Close()
			return response.StatusCode
		}
	}
	if status := begin("odd", 1)(""); status != http.StatusUnauthorized {
		t.Errorf("unknown key without the body: %d, want 401", status)
	}
	if status := begin("n-1", 2)(oneStep[9:]); status != http.StatusOK {
		t.Errorf("known key: %d, want 200", status)
	}
	end := begin("n-1", 3)
	time.Sleep(100 * time.Millisecond) // until the process has read the header
	s.platform.Configure(orgConfig(3, "north n-2"))
	waitForKey("n-2")
	if status := end(oneStep[9:]); status != http.StatusUnauthorized {
		t.Errorf("key that was removed before the body had come: %d, want 401", status)
	}
	if _, status := s.callWith(client, "n-2", http.MethodGet, p, "/labels/"+id(3), ""); status != http.StatusGone {
		t.Errorf("state of the refused job: %d, want 410", status)
	}
	for range 100 { // over connections that stay open
		if answer, status := s.callWith(client, "odd", http.MethodPost, p, "/labels/"+id(4), oneStep); status != http.StatusUnauthorized {
			t.Fatalf("status %d %s, want 401", status, answer)
		}
	}
	if text := p.log.String(); strings.Contains(text, "panic") {
		t.Errorf("log: %s", text)
	}
	s.check()
}
