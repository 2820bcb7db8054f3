// Command jobday runs a short scripted load of jobs against running processes. It
// acts as the platform with the pools of one deployment, sends jobs to the queues
// in turns, runs a maintenance wave, and compares the outcomes that callers
// received with the runs that the workers recorded.
//
// # Usage
//
//	jobday --dir DIR --processes 4 --duration 10s
//
// It writes the settings files DIR/entry-1.toml and so on, waits until a process
// is ready with each of them (papayarudder daemon --settings DIR/entry-1.toml),
// sends the load and prints a table. The exit code is 1 if the system broke one of
// its promises to callers.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// arguments holds the parsed command line.
type arguments struct {
	Dir       string        `arg:"--dir,required" help:"where the settings files go"`
	Processes int           `arg:"--processes" default:"4" help:"processes of the system"`
	Duration  time.Duration `arg:"--duration" default:"10s" help:"how long jobs come"`
	Seed      uint64        `arg:"--seed" default:"1" help:"of the load"`
}

// The pools of one deployment. Every pool but the standby one has a queue of the
// same name.
var pools = []mimic.Pool{
	{Name: "banco-nord", Hosts: 9},
	{Name: "banco-sud", Hosts: 9},
	{Name: "spedizione", Hosts: 11},
	{Name: "flotta", Hosts: 12},
	{Name: "assistenza", Hosts: 8, Standby: true},
}

// callersHost is the name under which callers reach the queues.
const callersHost = "jobs.example"

const (
	queueTurn        = 2 * time.Second
	busyInterval     = 25 * time.Millisecond  // between jobs of the queue whose turn it is
	quietInterval    = 250 * time.Millisecond // between jobs of the other queues
	readyTimeout     = 20 * time.Second
	jobTimeout       = 30 * time.Second
	maxCallAttempts  = 20
	retryInterval    = 200 * time.Millisecond
	maxLatencyMillis = 60_000 // upper end of the histograms' range
)

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

var (
	errPromiseBroken = errors.New("a promise was broken")
	errNotReady      = errors.New("the processes are not ready in time")
)

// dayRun is one run of the load.
type dayRun struct {
	platform *mimic.Platform
	entries  []netip.Addr
	client   http.Client

	mu         sync.Mutex
	queues     map[string]*queueResult
	violations []string
}

// queueResult counts the outcomes of a queue's jobs.
type queueResult struct {
	sent, complete, refused, other int
	latency                        *hdrhistogram.Histogram
}

func run(args arguments, out io.Writer) error {
	p, err := mimic.New(mimic.Options{Pools: pools, Millicores: 32_000, MemoryMB: 131_072})
	if err != nil {
		return err
	}
	defer p.Close()
	d := &dayRun{platform: p, queues: map[string]*queueResult{}, client: http.Client{Timeout: 4 * time.Second}}
	p.Configure(configuration())
	for i := range args.Processes {
		addr := netip.AddrFrom4([4]byte{127, 60, 0, byte(1 + i)})
		d.entries = append(d.entries, addr)
		name := fmt.Sprintf("entry-%d", 1+i)
		if err := os.WriteFile(filepath.Join(args.Dir, name+".toml"), p.Settings(name, addr), 0o600); err != nil {
			return errors.Wrap(err, "settings")
		}
	}
	if !d.waitReady() {
		return errNotReady
	}
	d.sendLoad(args)
	return d.report(out)
}

// configuration returns the operator's configuration, with a queue for each pool
// but the standby one.
func configuration() string {
	var queues []platform.Queue
	for _, p := range pools {
		if !p.Standby {
			queues = append(queues, platform.Queue{
				Name: p.Name, Host: callersHost, Prefix: "/" + p.Name + "/", Pool: p.Name,
				Timeout: 3 * time.Second, Target: 600 * time.Millisecond, Slack: 1.6, MaxAttempts: 3,
			})
		}
	}
	return mimic.Config(1, queues, pools)
}

// lastingJob returns a job that runs until it is cancelled, with at most one
// task on each worker.
func lastingJob() string {
	return mimic.Submission(jobs.Job{Spec: "lasting", Steps: []jobs.Step{{
		Count: 4, Size: jobs.Resources{Millicores: 2600, MemoryMB: 9000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1,
	}}})
}

// batchJob returns a job with two steps of short tasks.
func batchJob(runTime time.Duration, tasks int) string {
	step := jobs.Step{Count: tasks, Size: jobs.Resources{Millicores: 1800, MemoryMB: 1000}, Estimate: 300 * time.Millisecond}
	last := step
	last.Count, last.After = 2, []int{0}
	return mimic.Submission(jobs.Job{Spec: runTime.String(), Steps: []jobs.Step{step, last}})
}

func (d *dayRun) waitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		ready := 0
		for _, addr := range d.entries {
			response, err := d.client.Get(fmt.Sprintf("http://%s:%d%s", addr, mimic.PortReadiness, platform.ReadyPath))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			time.Sleep(2 * time.Second) // lets the processes acquire the pools
			return true
		}
	}
	return false
}

// sendLoad sends a lasting job to each queue, then short jobs in turns during a
// maintenance wave.
func (d *dayRun) sendLoad(args arguments) {
	random := rand.New(rand.NewPCG(args.Seed, 0))
	var jobsInFlight sync.WaitGroup
	var names []string
	for _, p := range pools {
		if !p.Standby {
			names = append(names, p.Name)
			d.queues[p.Name] = &queueResult{latency: hdrhistogram.New(1, maxLatencyMillis, 2)}
		}
	}
	number := 0
	id := func() string { number++; return fmt.Sprintf("%016x", random.Uint64()>>16+uint64(number)) }
	for _, name := range names {
		d.call(http.MethodPost, name, id(), lastingJob())
	}
	var hosts []string
	for i := 0; i < 41; i += 2 {
		hosts = append(hosts, "m-"+strconv.Itoa(i))
	}
	d.platform.Wave(1, hosts, args.Duration, 8)
	began := time.Now()
	var senders sync.WaitGroup
	for i, name := range names {
		seed := random.Uint64()
		senders.Go(func() {
			senderRandom := rand.New(rand.NewPCG(seed, 0))
			for n := 0; time.Since(began) < args.Duration; n++ {
				job := fmt.Sprintf("%08x%08x", senderRandom.Uint32(), uint32(i<<24)+uint32(n))
				body := batchJob(time.Duration(200+senderRandom.IntN(200))*time.Millisecond, 2+senderRandom.IntN(6))
				jobsInFlight.Go(func() { d.runJob(name, job, body) })
				interval := quietInterval
				if int(time.Since(began)/queueTurn)%len(names) == i {
					interval = busyInterval
				}
				time.Sleep(interval)
			}
		})
	}
	senders.Wait()
	jobsInFlight.Wait()
}

// call sends a caller's request to one entry after another until one answers. A
// gateway timeout is retried too.
func (d *dayRun) call(method, queue, id, body string) (string, int) {
	first := rand.IntN(len(d.entries))
	for attempt := range maxCallAttempts {
		addr := d.entries[(first+attempt)%len(d.entries)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/%s/%s", addr, mimic.PortCallers, queue, id), strings.NewReader(body))
		if err != nil {
			return err.Error(), 0
		}
		request.Host = callersHost
		request.Header.Set(platform.DeadlineHeader, "3000")
		response, err := d.client.Do(request)
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode != http.StatusGatewayTimeout {
			return string(data), response.StatusCode
		}
	}
	return "", 0
}

// runJob submits one job, waits for its end and counts its outcome.
func (d *dayRun) runJob(name, id, body string) {
	began := time.Now()
	_, status := d.call(http.MethodPost, name, id, body)
	state := ""
	for status == http.StatusOK && time.Since(began) < jobTimeout {
		state, _ = d.call(http.MethodGet, name, id, "")
		if strings.Contains(state, "complete") || strings.Contains(state, "failed") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[name]
	q.sent++
	switch {
	case strings.Contains(state, "complete"):
		q.complete++
		_ = q.latency.RecordValue(min(maxLatencyMillis, time.Since(began).Milliseconds())) // can't fail within the histogram's range
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		q.refused++
		for _, r := range d.platform.Runs() {
			if strings.HasPrefix(r.Task, id) {
				d.violations = append(d.violations, "job "+id+" was refused as not run, but ran")
			}
		}
	default:
		q.other++
		d.violations = append(d.violations, fmt.Sprintf("job %s: status %d, state %q at the end", id, status, state))
	}
}

// report prints the outcomes of the jobs and returns an error if a promise was
// broken.
func (d *dayRun) report(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "queue\tsent\tcomplete\trefused\tother\tp50 ms\tp99 ms\t")
	names := make([]string, 0, len(d.queues))
	for name := range d.queues {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		q := d.queues[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, q.sent, q.complete, q.refused, q.other,
			q.latency.ValueAtQuantile(50), q.latency.ValueAtQuantile(99))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	maintained, moved := map[string]bool{}, 0
	for _, o := range d.platform.Orders() {
		if o.Kind == "maintain" {
			maintained[o.Host] = true
		} else {
			moved++
		}
	}
	lost := 0
	for _, r := range d.platform.Runs() {
		if r.How == "lost" {
			lost++
		}
	}
	fmt.Fprintf(out, "%d runs; wave: %d of 21 hosts maintained, status %s; %d moves; %d runs cut by orders for hosts\n",
		len(d.platform.Runs()), len(maintained), d.platform.Store.Get("status", "", "wave/1"), moved, lost)
	d.violations = append(d.violations, d.platform.Check()...)
	if lost > 0 {
		d.violations = append(d.violations, fmt.Sprintf("%d runs were cut by orders for hosts", lost))
	}
	for _, f := range d.violations {
		fmt.Fprintln(out, "broken:", f)
	}
	if len(d.violations) > 0 {
		return errPromiseBroken
	}
	fmt.Fprintln(out, "no promise was broken")
	return nil
}
