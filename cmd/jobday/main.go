// Command jobday plays a short day of jobs against running processes: it is a
// stand-in of the platform with one deployment's pools, sends jobs in turns, lets a
// maintenance wave pass, and compares what callers were told with what the workers
// saw.
//
// # Usage
//
//	jobday --dir DIR --processes 4 --duration 10s
//
// It writes DIR/entry-1.toml and so on, waits until a process runs on each of
// them (papayarudder daemon --settings DIR/entry-1.toml), plays the day, prints a
// table and exits with 1 if a promise was broken.
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

// arguments are the command line.
type arguments struct {
	Dir       string        `arg:"--dir,required" help:"where the settings files go"`
	Processes int           `arg:"--processes" default:"4" help:"processes of the system"`
	Duration  time.Duration `arg:"--duration" default:"10s" help:"how long jobs come"`
	Seed      uint64        `arg:"--seed" default:"1" help:"of the load"`
}

// The pools of one deployment, with short queues' names.
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
	turn       = 2 * time.Second        // of one queue
	busyGap    = 25 * time.Millisecond  // between jobs of the queue whose turn it is
	quietGap   = 250 * time.Millisecond // between jobs of the others
	startLimit = 20 * time.Second       // for the processes to be ready
	endLimit   = 30 * time.Second       // for the last jobs to end
	maxTries   = 20                     // of one call
	tryPause   = 200 * time.Millisecond // between tries
	maxLatency = 60_000                 // ms that the histogram holds
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
	errBroken  = errors.New("a promise was broken")
	errNoStart = errors.New("the processes are not ready in time")
)

// day is the play of one day.
type day struct {
	platform *mimic.Platform
	entries  []netip.Addr
	client   http.Client

	mu     sync.Mutex
	queues map[string]*queue
	faults []string
}

// queue counts what became of a queue's jobs.
type queue struct {
	sent, complete, refused, other int
	latency                        *hdrhistogram.Histogram
}

func run(args arguments, out io.Writer) error {
	p, err := mimic.New(mimic.Options{Pools: pools, Millicores: 32_000, MemoryMB: 131_072})
	if err != nil {
		return err
	}
	defer p.Close()
	d := &day{platform: p, queues: map[string]*queue{}, client: http.Client{Timeout: 4 * time.Second}}
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
		return errNoStart
	}
	d.play(args)
	return d.report(out)
}

// configuration returns the operator's configuration: a queue for each pool.
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

// lastingJob serves its own users until it is cancelled, a task on a worker.
func lastingJob() string {
	return mimic.Submission(jobs.Job{Spec: "lasting", Steps: []jobs.Step{{
		Count: 4, Size: jobs.Resources{Millicores: 2600, MemoryMB: 9000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1,
	}}})
}

// batchJob has two steps of short tasks.
func batchJob(took time.Duration, width int) string {
	step := jobs.Step{Count: width, Size: jobs.Resources{Millicores: 1800, MemoryMB: 1000}, Estimate: 300 * time.Millisecond}
	last := step
	last.Count, last.After = 2, []int{0}
	return mimic.Submission(jobs.Job{Spec: took.String(), Steps: []jobs.Step{step, last}})
}

func (d *day) waitReady() bool {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(tryPause) {
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
			time.Sleep(2 * time.Second) // for the pools to be taken
			return true
		}
	}
	return false
}

// play sends a lasting job to each queue, then jobs in turns while a wave passes.
func (d *day) play(args arguments) {
	random := rand.New(rand.NewPCG(args.Seed, 0))
	var running sync.WaitGroup
	var names []string
	for _, p := range pools {
		if !p.Standby {
			names = append(names, p.Name)
			d.queues[p.Name] = &queue{latency: hdrhistogram.New(1, maxLatency, 2)}
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
			own := rand.New(rand.NewPCG(seed, 0))
			for n := 0; time.Since(began) < args.Duration; n++ {
				job := fmt.Sprintf("%08x%08x", own.Uint32(), uint32(i<<24)+uint32(n))
				body := batchJob(time.Duration(200+own.IntN(200))*time.Millisecond, 2+own.IntN(6))
				running.Go(func() { d.job(name, job, body) })
				gap := quietGap
				if int(time.Since(began)/turn)%len(names) == i {
					gap = busyGap
				}
				time.Sleep(gap)
			}
		})
	}
	senders.Wait()
	running.Wait()
}

// call sends a caller's request to one entry after another until one answers.
func (d *day) call(method, queue, id, body string) (string, int) {
	first := rand.IntN(len(d.entries))
	for try := range maxTries {
		addr := d.entries[(first+try)%len(d.entries)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/%s/%s", addr, mimic.PortCallers, queue, id), strings.NewReader(body))
		if err != nil {
			return err.Error(), 0
		}
		request.Host = callersHost
		request.Header.Set(platform.DeadlineHeader, "3000")
		response, err := d.client.Do(request)
		if err != nil {
			time.Sleep(tryPause)
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

// job sends one job and waits for its end.
func (d *day) job(name, id, body string) {
	began := time.Now()
	_, status := d.call(http.MethodPost, name, id, body)
	state := ""
	for status == http.StatusOK && time.Since(began) < endLimit {
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
		_ = q.latency.RecordValue(min(maxLatency, time.Since(began).Milliseconds())) // within its range
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		q.refused++
		for _, r := range d.platform.Runs() {
			if strings.HasPrefix(r.Task, id) {
				d.faults = append(d.faults, "job "+id+" was refused as not run, and ran")
			}
		}
	default:
		q.other++
		d.faults = append(d.faults, fmt.Sprintf("job %s: status %d, state %q at the end", id, status, state))
	}
}

// report prints what became of the jobs and checks the promises.
func (d *day) report(out io.Writer) error {
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
	d.faults = append(d.faults, d.platform.Check()...)
	if lost > 0 {
		d.faults = append(d.faults, fmt.Sprintf("%d runs were cut by orders for hosts", lost))
	}
	for _, f := range d.faults {
		fmt.Fprintln(out, "broken:", f)
	}
	if len(d.faults) > 0 {
		return errBroken
	}
	fmt.Fprintln(out, "no promise was broken")
	return nil
}
