package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/conf"
	"github.com/papayarudder/papayarudder/internal/node"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
)

// site is one running entry process with in-process stand-ins of the platform.
type site struct {
	t      *testing.T
	dir    string
	caller string
	admin  string
	table  *stand.Table
	worker *stand.Worker
}

const siteSettings = `[process]
name = entry-1
zone = z
[listen]
caller = %s
admin = %s
peer = %s
[platform]
address = 127.0.0.1:1
timeout = 200ms
[limits]
max-request-bytes = 64
[lease]
members = 1
renew = 100ms
hold = 2s
`

func newSite(t *testing.T) *site {
	t.Helper()
	const host = "127.200.200.1"
	s := &site{t: t, dir: t.TempDir(), caller: host + ":8101", admin: host + ":8301", table: stand.NewTable()}
	settings, faults := conf.Parse(fmt.Appendf(nil, siteSettings, s.caller, s.admin, host+":8501"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s.worker = stand.NewWorker(stand.WorkerConfig{Name: "host-1", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 8})
	addr, err := s.worker.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.worker.Close)
	s.start(settings)
	s.write("ticket-1.json", strings.ReplaceAll(firstTicket, "WORKER", addr.String()))
	s.write("ticket-2.json", strings.ReplaceAll(secondTicket, "WORKER", addr.String()))
	return s
}

func (s *site) start(settings conf.Settings) {
	s.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	platform := plat.Platform{Table: s.table.Adapter(), Objects: stand.NewObjects().Adapter(), Hosts: stand.NoHosts()}
	n, err := node.New(settings, platform, logger)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	s.waitReady()
}

func (s *site) waitReady() {
	for range 200 {
		response, err := http.Get("http://" + s.admin + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatal("the process is not ready after 200 attempts")
}

func (s *site) write(name, content string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// transcript records a session: each command, its output and its exit code.
type transcript struct {
	site *site
	text bytes.Buffer
}

func (tr *transcript) command(line string) {
	fmt.Fprintf(&tr.text, "$ papayarudder %s\n", line)
	args := strings.Fields(line)
	for i, arg := range args {
		arg = strings.ReplaceAll(arg, "%20", " ")
		if strings.HasSuffix(arg, ".json") || strings.HasSuffix(arg, ".ini") {
			arg = filepath.Join(tr.site.dir, arg)
		}
		args[i] = arg
	}
	var out bytes.Buffer
	code := run(context.Background(), args, &out, &out)
	tr.text.Write(tr.scrub(out.Bytes()))
	fmt.Fprintf(&tr.text, "exit %d\n\n", code)
}

// http sends a request that the command line can't express.
func (tr *transcript) http(method, path, body string, headers ...string) {
	fmt.Fprintf(&tr.text, "> %s %s %s\n", method, path, strings.Join(headers, " "))
	request, err := http.NewRequest(method, "http://"+tr.site.caller+path, strings.NewReader(body))
	if err != nil {
		tr.site.t.Fatal(err)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tr.site.t.Fatal(err)
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	for _, name := range []string{"Allow", "Content-Type", "Request-Outcome", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&tr.text, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&tr.text, "%s\n%s\n\n", response.Status, bytes.TrimSpace(tr.scrub(answer)))
}

var volatileText = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`\(go[0-9.]+\)`), "(TOOLCHAIN)"},
	{regexp.MustCompile(`127\.0\.0\.1:\d{5}`), "127.0.0.1:PORT0"},
	{regexp.MustCompile(`(?m) +$`), ""},
}

func (tr *transcript) scrub(text []byte) []byte {
	text = bytes.ReplaceAll(text, []byte(tr.site.dir+"/"), nil)
	for _, v := range volatileText {
		text = v.pattern.ReplaceAll(text, []byte(v.replacement))
	}
	return text
}

const firstTicket = `{
  "number": 1, "author": "clerk", "reason": "first fleet",
  "pools": [{"name": "north", "away-percent": 50}, {"name": "south"}],
  "services": [
    {"name": "label", "pool": "north", "idempotent": true},
    {"name": "crate", "pool": "north"}
  ],
  "teams": [{"name": "parishes", "slots": 4}],
  "hosts": [{"name": "host-1", "pool": "north", "address": "WORKER", "zone": "z", "rack": "z-r1"}]
}`

const moveTicket = `{
  "number": NUMBER, "author": "clerk", "reason": "a host for the south",
  "pools": [{"name": "south", "away-percent": 30}],
  "hosts": [{"name": "host-1", "pool": "south", "address": "WORKER", "zone": "z", "rack": "z-r1"}]
}`

const secondTicket = `{
  "number": 2, "author": "clerk", "reason": "a larger share away",
  "pools": [{"name": "south", "away-percent": 20}]
}`

func TestSessions(t *testing.T) {
	s := newSite(t)
	s.write("bad.ini", "[process]\nname = a b\nzoen = z\n[listen]\ncaller = here\nadmin = 10.0.0.1:8301\npeer = 10.0.0.1:8301\n[platform]\naddress = 10.0.0.2:7000\ntimeout = 1h\n[lease]\nhold = 1s\n[dispatch]\nspeed = 9\n")
	s.write("good.ini", "[process]\nname = entry-1\nzone = z\n[listen]\ncaller = 10.0.0.1:8101\nadmin = 10.0.0.1:8301\npeer = 10.0.0.1:8501\n[platform]\naddress = 10.0.0.2:7000\n")
	s.write("short-lease.ini", "[process]\nname = entry-1\nzone = z\n[listen]\ncaller = 10.0.0.1:8101\nadmin = 10.0.0.1:8301\npeer = 10.0.0.1:8301\n[platform]\naddress = 10.0.0.2:7000\n[lease]\nrenew = 4s\n")
	s.write("conflict.json", strings.ReplaceAll(secondTicket, "20}", "30}"))
	s.write("move.json", strings.ReplaceAll(strings.ReplaceAll(moveTicket, "WORKER", s.worker.Addr().String()), "NUMBER", "40"))
	s.write("conflict-1.json", strings.ReplaceAll(strings.ReplaceAll(moveTicket, "WORKER", s.worker.Addr().String()), "NUMBER", "1"))
	s.write("bad-ticket.json", `{"number": 0, "pools": [{"name": "North!", "away-percent": 120}, {"name": "b"}, {"name": "b"}],
		"services": [{"name": "s", "pool": "p", "weight": 0, "run-time": "soon"}],
		"hosts": [{"name": "h", "pool": "p", "address": "nowhere", "zone": "z", "rack": "", "slots": 0}]}`)
	s.write("unknown-pool.json", `{"number": 9, "author": "clerk", "services": [{"name": "s", "pool": "west"}]}`)
	s.write("unknown-key.json", `{"number": 9, "author": "clerk", "pool": []}`)
	s.write("old.json", `{"number": 1, "author": "clerk", "pools": [{"name": "south"}]}`)
	s.write("older.json", `{"number": 30, "author": "clerk", "pools": [{"name": "south"}, {"name": "west"}]}`)
	s.write("stale.json", `{"number": 20, "author": "x", "pools": [{"name": "east"}, {"name": "south"}]}`)

	admin := " --admin " + s.admin
	entry := " --entry " + s.caller
	sessions := []struct {
		name string
		run  func(tr *transcript)
	}{
		{"settings", func(tr *transcript) {
			tr.command("check-settings good.ini")
			tr.command("check-settings bad.ini good.ini")
			tr.command("check-settings short-lease.ini")
			tr.command("check-settings missing.ini")
			tr.command("check-settings")
			tr.command("check-settings --keys")
			tr.command("serve --settings bad.ini")
		}},
		{"tickets", func(tr *transcript) {
			tr.command("ticket plan" + admin + " ticket-1.json")
			tr.command("ticket submit" + admin + " ticket-1.json")
			tr.command("ticket submit" + admin + " ticket-1.json")
			tr.command("ticket plan" + admin + " move.json")
			tr.command("ticket plan" + admin + " conflict-1.json")
			tr.command("ticket submit" + admin + " --json ticket-2.json")
			tr.command("ticket submit" + admin + " conflict.json")
			tr.command("ticket submit" + admin + " old.json")
			tr.command("ticket submit" + admin + " bad-ticket.json")
			tr.command("ticket submit" + admin + " unknown-pool.json")
			tr.command("ticket submit" + admin + " unknown-key.json")
			tr.command("ticket submit" + admin + " older.json")
			tr.command("ticket submit" + admin + " stale.json")
			tr.command("ticket submit" + admin + " missing.json")
			tr.command("ticket list" + admin)
			tr.command("ticket show" + admin + " 2")
			tr.command("ticket show" + admin + " 77")
			tr.command("pool list" + admin)
			tr.command("host list" + admin)
			tr.command("host list" + admin + " --pool south")
			tr.command("member list" + admin)
		}},
		{"requests", func(tr *transcript) {
			tr.command("request" + entry + " --id first --body hello label")
			tr.command("request" + entry + " --id second --key new --team parishes --urgency urgent --body hello crate")
			tr.command("request" + entry + " nowhere")
			tr.command("request" + entry + " --json --id third crate")
			tr.command("request" + entry + " --json --key 9f6c9f4e-6c0a-4f6e-9a53-0c2f0f6c9f4e crate")
			tr.command("request" + entry + " --json --key 0190163d-8694-739b-aea5-966c26f8ad91 crate")
			tr.command("request" + entry + " --urgency soon label")
			tr.command("request" + entry + " --team nobody label")
			tr.command("request" + entry + " --timeout -1s label")
			tr.command("request" + entry + " --body " + strings.Repeat("x", 65) + " label")
			tr.command("request" + entry + " --body x --body-file good.ini label")
			tr.http("GET", "/v1/services/label", "")
			tr.http("POST", "/v2/label", "")
			tr.http("POST", "/v1/services/label", "x", "Request-Timeout: soon")
			tr.http("POST", "/v1/services/label", "x", "Request-Id: with space")
			s.worker.Set(stand.CloseAtOnce, 0)
			tr.command("request" + entry + " --key new --body hello crate")
			s.worker.Set(stand.Well, 0)
		}},
		{"wrong-use", func(tr *transcript) {
			tr.command("")
			tr.command("version")
			tr.command("ticket")
			tr.command("ticket submit x.json")
			tr.command("pool list --admin nowhere")
			tr.command("fly")
		}},
	}
	g := goldie.New(t, goldie.WithNameSuffix(".golden"), goldie.WithFixtureDir("testdata"))
	for _, session := range sessions {
		t.Run(session.name, func(t *testing.T) {
			tr := &transcript{site: s}
			session.run(tr)
			g.Assert(t, session.name, tr.text.Bytes())
		})
	}
}
