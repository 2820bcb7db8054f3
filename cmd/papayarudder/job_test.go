package main

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

const jobConfig = `{"version":1,"routes":[{"name":"labels","host":"a.example","prefix":"/labels/","service":"p1","timeout_ms":3000,"target_duration_ms":600,"max_attempts":3,"slack_factor":1.6}],
"services":[{"name":"p1","enforces_capacity":true}],"limits":{"max_body_bytes":262144}}`

var (
	submittedTime = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	tokenColumn   = regexp.MustCompile(`entry-1  \d+`)
)

// TestJobSession runs an operator's commands about jobs, from submission to the
// explanation from the log.
func TestJobSession(t *testing.T) {
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.Configure(jobConfig)
	addr := netip.MustParseAddr("127.201.0.1")
	settings, err := platform.ParseSettings(p.Settings("entry-1", addr))
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	logger, flush := logs.New(&log, "entry-1", time.Now)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.New(settings, logger).Run(ctx) }()

	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	short := file("short.json", `{"id":"00000000000000a1","spec":"100ms","steps":[{"count":3,"cpu":500,"estimate-ms":100}]}`)
	lasting := file("lasting.json", `{"id":"00000000000000a2","spec":"lasting","steps":[{"count":1,"cpu":500,"lasting":true}]}`)
	bad := file("bad.json", `{"id":"00000000000000a3","steps":[{"count":-2}]}`)
	t.Setenv("PAPAYARUDDER_ADMIN", fmt.Sprintf("%s:%d", addr, daemon.AdminPort))
	var session bytes.Buffer
	command := func(args ...string) int {
		fmt.Fprintf(&session, "$ papayarudder")
		for _, a := range args {
			fmt.Fprintf(&session, " %s", filepath.Base(a))
		}
		fmt.Fprintln(&session)
		code := run(context.Background(), args, &session, &session)
		fmt.Fprintf(&session, "(exit %d)\n", code)
		return code
	}
	waitFor(t, func() bool {
		return run(context.Background(), []string{"job", "list"}, &bytes.Buffer{}, &bytes.Buffer{}) == exitOK
	})
	command("job", "submit", "--queue", "labels", bad)
	command("job", "submit", "--queue", "none", short)
	waitFor(t, func() bool {
		var out bytes.Buffer
		run(context.Background(), []string{"where", "--queue", "labels", short}, &out, &out)
		return bytes.Contains(out.Bytes(), []byte("2 can start it"))
	})
	large := file("large.json", `{"spec":"1s","steps":[{"count":1,"cpu":900000,"estimate-ms":100}]}`)
	command("where", "--queue", "labels", "--workers", short)
	command("where", "--queue", "labels", "--json", large)
	command("where", "--queue", "labels", bad)
	command("where", "--queue", "none", short)
	command("where", "00000000000000ff")
	if code := run(context.Background(), []string{"job", "submit", "--queue", "labels", lasting}, &bytes.Buffer{}, &bytes.Buffer{}); code != exitOK {
		t.Fatalf("submit: exit %d", code)
	}
	waitFor(t, func() bool {
		var out bytes.Buffer
		run(context.Background(), []string{"job", "show", "00000000000000a2"}, &out, &out)
		return bytes.Contains(out.Bytes(), []byte("active"))
	})
	command("job", "show", "00000000000000a2")
	command("where", "00000000000000a2")
	if code := run(context.Background(), []string{"job", "submit", "--queue", "labels", short}, &bytes.Buffer{}, &bytes.Buffer{}); code != exitOK {
		t.Fatalf("submit: exit %d", code)
	}
	waitFor(t, func() bool {
		return run(context.Background(), []string{"job", "watch", "--every", "20ms", "00000000000000a1"}, &bytes.Buffer{}, &bytes.Buffer{}) == exitOK
	})
	command("job", "watch", "00000000000000a1")
	command("job", "cancel", "00000000000000a2")
	command("job", "show", "--json", "00000000000000a2")
	command("job", "show", "00000000000000ff")
	command("job", "list", "--pool", "p1")
	command("wave", "list")
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if code := run(context.Background(), []string{"where", "--queue", "labels", short}, &bytes.Buffer{}, &bytes.Buffer{}); code != exitFailed {
		t.Errorf("where without a process: exit %d, want %d", code, exitFailed)
	}
	flush()
	logFile := file("entry-1.log", log.String())
	if code := run(context.Background(), []string{"explain", "00000000000000a1", logFile}, &bytes.Buffer{}, &bytes.Buffer{}); code != exitOK {
		t.Errorf("explain: exit %d, want the log lines about the job", code)
	}
	command("explain", "00000000000000ee", logFile)
	text := submittedTime.ReplaceAll(session.Bytes(), []byte("TIME"))
	text = tokenColumn.ReplaceAll(text, []byte("entry-1  N"))
	goldie.New(t).Assert(t, "jobs", text)
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("the condition was not met within 10s")
}
