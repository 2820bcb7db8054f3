package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

const orgTenants = `"tenants":[{"name":"north","api_keys":["secret-n"],"weight":3,"max_count":{"cpu":64000,"mem_mb":128000}},{"name":"south","api_keys":["secret-s"],"weight":1}],"services":`

// TestOrganisationSession runs an operator's commands about organisations, of which one has a
// job and another was refused.
func TestOrganisationSession(t *testing.T) {
	p, err := mimic.New(mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.Configure(strings.Replace(jobConfig, `"services":`, orgTenants, 1))
	addr := netip.MustParseAddr("127.201.0.2")
	settings, err := platform.ParseSettings(p.Settings("entry-1", addr))
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	logger, flush := logs.New(&log, "entry-1", time.Now)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.New(settings, logger).Run(ctx) }()
	call := func(method, key string) int {
		body := `{"spec":"lasting","steps":[{"count":2,"cpu":500,"mem_mb":100,"long_running":true}]}`
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/labels/00000000000000a1", addr, mimic.PortCallers), strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "a.example"
		request.Header.Set(platform.KeyHeader, key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	t.Setenv("PAPAYARUDDER_ADMIN", fmt.Sprintf("%s:%d", addr, daemon.AdminPort))
	var session bytes.Buffer
	command := func(args ...string) {
		fmt.Fprintf(&session, "$ papayarudder %s\n", strings.Join(args, " "))
		code := run(context.Background(), args, &session, &session)
		fmt.Fprintf(&session, "(exit %d)\n", code)
	}
	waitFor(t, func() bool { return call(http.MethodPost, "secret-n") == http.StatusOK })
	file := filepath.Join(t.TempDir(), "south.json")
	job := `{"id":"00000000000000a2","spec":"lasting","organisation":"south","steps":[{"count":1,"cpu":700,"lasting":true}]}`
	if err := os.WriteFile(file, []byte(job), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := run(context.Background(), []string{"job", "submit", "--queue", "labels", file}, &bytes.Buffer{}, &bytes.Buffer{}); code != exitOK {
		t.Fatalf("submit: exit %d", code)
	}
	waitFor(t, func() bool {
		var out bytes.Buffer
		run(context.Background(), []string{"org", "list"}, &out, &out)
		return strings.Contains(out.String(), "1000/200/0") && strings.Contains(out.String(), "700/")
	})
	if status := call(http.MethodDelete, "secret-s"); status != http.StatusForbidden {
		t.Errorf("cancel of another organisation's job: %d, want 403", status)
	}
	command("org", "list")
	command("org", "show", "north")
	command("org", "show", "--json", "south")
	command("org", "show", "east")
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	flush()
	if strings.Contains(log.String(), "secret-") || strings.Contains(session.String(), "secret-") {
		t.Error("a key is in the log, or shown to an operator")
	}
	goldie.New(t).Assert(t, "organisations", session.Bytes())
}
