package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = freeze }

// Figures of the case freeze.
const (
	freezeDaemons     = 10
	freezeMachines    = 4
	freezeSubmissions = 8
	freezeSteps       = 4
	freezeDuration    = 2 * time.Second
	freezeTime        = 3500 * time.Millisecond // as the site file's node_freeze
	cancelBound       = 3 * time.Second         // cancel_ms
	stopBound         = 200 * time.Millisecond  // stop_ms
	holdUpBound       = 300 * time.Millisecond  // thaw_ms
)

// freeze stops the owner of a pool for some seconds. Another daemon takes the pool over and
// accepts submissions. Their consumers cancel them on channels that they have kept open to the
// frozen daemon, which answers when it goes on.
func freeze(t *trial) error {
	r := route{name: "r-items", prefix: "/items/", service: "clubdesk", maxAttempts: 3}
	if err := t.startSystem(freezeDaemons, []route{r}, freezeMachines, 16_000, 32_768); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until the owner has settled
	owner, others, err := t.ownerOf(r.service)
	if err != nil {
		return err
	}
	channels := make([]*http.Client, freezeSubmissions)
	for i := range channels {
		channels[i] = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
		if status, _ := callOn(channels[i], owner, http.MethodGet, r.prefix); status != http.StatusOK {
			return fmt.Errorf("%w: a channel can't be opened", errNotRun)
		}
	}
	frozenAt := time.Now()
	if t.trouble {
		owner.signal(syscall.SIGSTOP)
		t.record.printf("%s, the owner of the pool, is frozen", owner.name)
	}
	for status := 0; status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Since(frozenAt) > freezeTime-200*time.Millisecond {
			owner.signal(syscall.SIGCONT)
			return fmt.Errorf("%w: no other daemon has taken the pool over in time", errNotRun)
		}
		status, _ = t.call(others[0], http.MethodGet, r.prefix, nil)
	}
	t.record.printf("the pool is served %v after the freeze", time.Since(frozenAt).Round(time.Millisecond))
	var all []*submission
	for range freezeSubmissions {
		s := &submission{id: newID(), route: r, duration: freezeDuration, Spec: "items"}
		for i := range freezeSteps {
			one := step{Count: 2, CPU: 1100, MemMB: 512, EstimateMS: freezeDuration.Milliseconds()}
			if i > 0 {
				one.After = []int{i - 1}
			}
			s.Steps = append(s.Steps, one)
		}
		t.platform.mu.Lock()
		t.platform.submissions[s.id] = s
		t.platform.mu.Unlock()
		body, err := json.Marshal(s)
		if err != nil {
			return err
		}
		status, answer := t.call(others[0], http.MethodPost, r.prefix+s.id, body)
		t.record.printf("POST %s%s at %s: %d %s", r.prefix, s.id, others[0].name, status, answer)
		if status != http.StatusOK {
			owner.signal(syscall.SIGCONT)
			return fmt.Errorf("%w: a submission was answered %d", errNotRun, status)
		}
		all = append(all, s)
	}
	cancelled := make([]time.Time, len(all)) // when the cancelling was acknowledged
	var calls sync.WaitGroup
	for i, s := range all {
		calls.Go(func() {
			status, answer := callOn(channels[i], owner, http.MethodDelete, r.prefix+s.id)
			t.record.printf("DELETE %s%s at %s: %d %s", r.prefix, s.id, owner.name, status, answer)
			if status == http.StatusOK || status == http.StatusGone {
				cancelled[i] = time.Now()
			}
		})
	}
	if t.trouble {
		time.Sleep(time.Until(frozenAt.Add(freezeTime)))
		owner.signal(syscall.SIGCONT)
		t.record.printf("%s goes on", owner.name)
	}
	calls.Wait()
	time.Sleep(freezeSteps*freezeDuration + time.Second)
	runs := t.platform.copyRuns()
	t.record.runs(runs)
	for i, s := range all {
		status, state := t.state(s)
		t.record.printf("GET %s%s: %d %s", r.prefix, s.id, status, state)
		if cancelled[i].IsZero() {
			continue
		}
		for _, run := range runs {
			if jobOf(run.Item) != s.id {
				continue
			}
			if late := run.Started.Sub(cancelled[i]); late > cancelBound {
				t.breakRule("UNASKED: %s run %d started %v after the cancelling of %s was acknowledged", run.Item, run.Run, late.Round(time.Millisecond), s.id)
			}
		}
	}
	return nil
}

// ownerOf returns the daemon that owns a pool, and the others.
func (t *trial) ownerOf(pool string) (owner *daemonProcess, others []*daemonProcess, err error) {
	var row struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(t.platform.store.get("own", pool, "owner"), &row); err != nil {
		return nil, nil, fmt.Errorf("%w: the owner of the pool: %w", errNotRun, err)
	}
	for _, d := range t.daemons {
		if d.name == row.Node {
			owner = d
		} else {
			others = append(others, d)
		}
	}
	if owner == nil {
		return nil, nil, fmt.Errorf("%w: the pool's owner is unknown", errNotRun)
	}
	return owner, others, nil
}

// callOn sends a request on a consumer's open channel.
func callOn(c *http.Client, d *daemonProcess, method, path string) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip, portFrontend, path), nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = consumerHost
	request.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	data, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data)
}
