package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// quotaConfig returns a version of the configuration with one organisation and its quota of
// millicores.
func quotaConfig(version, millicores int) string {
	return strings.Replace(fmt.Sprintf(config, version, ""), `"services":`,
		fmt.Sprintf(`"tenants":[{"name":"north","api_keys":["n-1"],"weight":100,"max_count":{"cpu":%d}}],"services":`, millicores), 1)
}

// tasksAtOnce returns the most tasks that ran at the start of one since a time.
func tasksAtOnce(runs []mimic.Run, since time.Time) int {
	most := 0
	for _, at := range runs {
		n := 0
		for _, r := range runs {
			if !r.Started.After(at.Started) && (r.Ended.IsZero() || r.Ended.After(at.Started)) {
				n++
			}
		}
		if at.Started.After(since) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against tasks of an organisation beyond its quota in two pools with different owners, of
// which one is killed, while the quota is lowered and raised; and against a quota that
// one pool can't use alone.
func TestQuotaHoldsAcrossOwners(t *testing.T) {
	s := newConfiguredSystem(t, 3, mimic.Options{Pools: []mimic.Pool{{Name: "p1", Hosts: 2}, {Name: "p2", Hosts: 2}}}, fmt.Sprintf(config, 1, ""))
	s.waitFor("the pools to have different owners", 10*time.Second, func() bool { return s.owner("p1") != s.owner("p2") })
	s.platform.Configure(quotaConfig(2, 4000)) // room for 8 tasks of 500
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for _, p := range s.processes {
		s.waitFor("keys to be checked", 5*time.Second, func() bool {
			_, status := s.callWith(client, "", http.MethodGet, p, "/labels/", "")
			return status == http.StatusUnauthorized
		})
	}
	var killed *process
	jobs := 0
	submit := func(queue, spec string, tasks int) {
		t.Helper()
		jobs++
		s.waitFor("a job to be accepted", 10*time.Second, func() bool {
			p := s.processes[jobs%3]
			if p == killed {
				p = s.other(p)
			}
			_, status := s.callWith(client, "n-1", http.MethodPost, p, queue+id(jobs),
				fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"mem_mb":10,"estimate_ms":300}]}`, spec, tasks))
			return status == http.StatusOK
		})
	}
	running := func() int {
		n := 0
		for _, w := range s.platform.Workers() {
			n += len(w.Running())
		}
		return n
	}
	submit("/labels/", "300ms", 24)
	s.waitFor("one pool to use the whole quota", 2*time.Second, func() bool { return running() == 8 })
	for range 6 {
		submit("/labels/", "300ms", 24)
		submit("/labels/trucks/", "300ms", 24)
	}
	time.Sleep(time.Second)
	killed = s.owner("p2")
	s.kill(killed)
	began := time.Now()
	s.waitFor("the other pool to have its next owner", 10*time.Second, func() bool { return s.owner("p2") != killed })
	time.Sleep(time.Second)
	s.waitFor("both pools to use the quota", 10*time.Second, func() bool {
		pools := map[string]bool{}
		for _, w := range s.platform.Working() {
			pools[w.Pool()] = true
		}
		return len(pools) == 2 && running() == 8
	})
	t.Logf("both pools use the quota %v after a kill", time.Since(began))
	if most := tasksAtOnce(s.platform.Runs(), time.Time{}); most > 9 { // a tenth and a task more are allowed
		t.Errorf("%d tasks ran at a time, quota 8", most)
	}

	s.platform.Configure(quotaConfig(3, 2000))
	time.Sleep(1500 * time.Millisecond)
	lowered := time.Now()
	submit("/labels/", "300ms", 24)
	time.Sleep(time.Second)
	if most := tasksAtOnce(s.platform.Runs(), lowered); most > 5 || most < 3 {
		t.Errorf("%d tasks ran at a time, quota 4", most)
	}
	raised := time.Now()
	s.platform.Configure(quotaConfig(4, 6000))
	for range 8 {
		submit("/labels/", "300ms", 24)
		submit("/labels/trucks/", "300ms", 24)
	}
	s.waitFor("the raised quota to be used", 4*time.Second, func() bool { return running() == 12 })
	if most := tasksAtOnce(s.platform.Runs(), raised); most > 14 {
		t.Errorf("%d tasks ran at a time, quota 12", most)
	}
	s.check()
}
