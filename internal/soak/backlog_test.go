//go:build linux && !race

// The race detector's shadow memory would count as memory of the processes.

package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

var allBacklogs = flag.Bool("backlogs", false, "play all cases of TestBacklogs, which takes minutes, instead of those that end soon")

// jobCrowd is many jobs at once, or paced, in one pool or two.
type jobCrowd struct {
	name         string
	jobs         int
	steps, tasks int // of a job, and of a step
	millicores   int
	lasting      bool
	pause        time.Duration // between jobs
	pools        int
	completes    bool // all accepted jobs are complete within completionTime
}

var backlogs = []jobCrowd{
	{name: "narrow", jobs: 2000, steps: 1, tasks: 1, millicores: 100, pools: 1, completes: true},
	{name: "one wide step", jobs: 5, steps: 1, tasks: 4096, millicores: 100, pools: 1, completes: true},
	{name: "wide steps", jobs: 100, steps: 32, tasks: 4096, millicores: 1, pools: 1},
	{name: "wide steps, paced", jobs: 100, steps: 32, tasks: 4096, millicores: 1, pools: 1, pause: 50 * time.Millisecond},
	{name: "wide steps in two pools", jobs: 100, steps: 32, tasks: 4096, millicores: 1, pools: 2},
	{name: "long-running tasks without room", jobs: 4, steps: 4, tasks: 1024, millicores: 100, lasting: true, pools: 1},
}

const (
	backlogHosts   = 9
	backlogMemory  = 284 // MB of a host, memory_mb of the settings
	refusalTime    = time.Second
	completionTime = 2 * time.Minute
	ordinaryQueue  = 8 // whose jobs are due soon; the others are due in an hour
)

// TestBacklogs guards against processes that outgrow their memory, one after the other as they take
// a pool over, by what they hold for accepted jobs (review/14), and against accepted jobs that are
// not done in the end.
func TestBacklogs(t *testing.T) {
	for i, b := range backlogs {
		if b.completes || *allBacklogs {
			t.Run(b.name, func(t *testing.T) { b.play(t, *first+uint64(i)) })
		}
	}
}

// send submits a job to a process.
func (b jobCrowd) send(c *callers, random *rand.Rand, at *process, queue int) *job {
	steps := make([]stepJSON, b.steps)
	j := &job{id: fmt.Sprintf("%016x", random.Uint64()), path: queuePath(queue), lasting: b.lasting}
	for i := range steps {
		steps[i] = stepJSON{Count: b.tasks, CPU: b.millicores, MemoryMB: 1, Estimate: 20, Lasting: b.lasting}
		j.steps = append(j.steps, b.tasks)
	}
	j.spec = "20ms " + j.id
	if b.lasting {
		j.spec = "lasting " + j.id
	}
	body, err := json.Marshal(struct {
		Spec  string     `json:"spec"`
		Steps []stepJSON `json:"steps"`
	}{j.spec, steps})
	if err != nil {
		c.rig.t.Error(err)
	}
	j.body = string(body)
	c.call(j, random, at, http.MethodPost, callTimeout)
	return j
}

func (b jobCrowd) play(t *testing.T, seed uint64) {
	o := mimic.Options{StopTime: stopTime / 2, ClockRate: 0.98, Linger: time.Second}
	var queues []platform.Queue
	for i := range b.pools {
		o.Pools = append(o.Pools, mimic.Pool{Name: poolName(i), Hosts: backlogHosts})
		queues = append(queues, platform.Queue{
			Name: fmt.Sprint("queue", i), Host: callersHost, Prefix: queuePath(i), Pool: poolName(i), Timeout: callTimeout, Target: time.Hour, Slack: 2, MaxAttempts: 3,
		})
	}
	queues = append(queues, platform.Queue{
		Name: "ordinary", Host: callersHost, Prefix: queuePath(ordinaryQueue), Pool: poolName(0), Timeout: callTimeout, Target: 2 * time.Second, Slack: 2, MaxAttempts: 3,
	})
	r := newRig(t, seed, o, 3)
	r.platform.Configure(mimic.Config(1, queues, o.Pools))
	for _, p := range r.processes {
		if err := r.start(p); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.stop(p) })
	}
	r.waitForOwners(b.pools)

	random := rand.New(rand.NewPCG(seed, 2))
	c := newCallers(r, 16, time.Now().Add(completionTime))
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	sent := make([]*job, b.jobs)
	for i := range sent {
		source, at := rand.New(rand.NewPCG(random.Uint64(), 0)), r.processes[i%len(r.processes)]
		slots <- struct{}{}
		group.Go(func() {
			sent[i] = b.send(c, source, at, i%b.pools)
			<-slots
		})
		time.Sleep(b.pause)
	}
	group.Wait()
	peaks := map[string]int{}
	for range 2 { // the second one takes over what the first one did
		time.Sleep(2 * time.Second)
		p := r.owner(poolName(0))
		if p == nil {
			t.Fatalf("%s has no owner", poolName(0))
		}
		r.noteMemory(peaks)
		p.signal(syscall.SIGKILL)
		r.awaitExit(p)
		if err := r.start(p); err != nil {
			t.Fatal(err)
		}
	}
	if b.lasting { // they have all the room
		for _, j := range sent {
			c.cancel(j, random, r.processes[0])
		}
	}
	ordinary := r.completeOrdinary(c, random)
	var accepted []*job
	refused := 0
	for _, j := range sent {
		switch last := j.lastAnswer(); {
		case j.accepts():
			accepted = append(accepted, j)
		case last.status == http.StatusTooManyRequests || last.status == http.StatusServiceUnavailable:
			refused++
			if took := last.answered.Sub(last.sent); took > refusalTime {
				t.Errorf("refused after %v, want at most %v", took, refusalTime)
			}
		}
	}
	if b.completes {
		if left := c.awaitComplete(accepted, completionTime); left > 0 {
			t.Errorf("%d of %d accepted jobs are not complete after %v", left, len(accepted), completionTime)
		}
	}
	r.noteMemory(peaks)
	most := 0
	for _, peak := range peaks {
		most = max(most, peak)
	}
	runs := r.checkBacklog(sent)
	t.Logf("%d jobs, %d accepted, %d refused; %d runs; at most %d MB; an ordinary job took %v", len(sent), len(accepted), refused, runs, most, ordinary.Round(time.Millisecond))
	if len(accepted) == 0 {
		t.Error("no job was accepted")
	}
	if most > backlogMemory {
		t.Errorf("a process took %d MB, its host has %d", most, backlogMemory)
	}
}

// accepts reports whether a submission of a job was accepted.
func (j *job) accepts() bool {
	_, found := j.acceptedAt()
	return found
}

// completeOrdinary submits small jobs until one is accepted, and returns how long that one took.
func (r *rig) completeOrdinary(c *callers, random *rand.Rand) time.Duration {
	r.t.Helper()
	small := jobCrowd{steps: 1, tasks: 1, millicores: 100}
	began := time.Now()
	for time.Since(began) < finishTime {
		j := small.send(c, random, r.processes[random.IntN(len(r.processes))], ordinaryQueue)
		if !j.accepts() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if c.awaitComplete([]*job{j}, finishTime-time.Since(began)) == 0 {
			return time.Since(began)
		}
	}
	r.t.Errorf("no ordinary job was complete after %v", finishTime)
	return time.Since(began)
}

// awaitComplete asks for the states of jobs until all are complete or the time is over, and returns
// how many are not.
func (c *callers) awaitComplete(jobs []*job, limit time.Duration) int {
	random := rand.New(rand.NewPCG(c.rig.seed, 3))
	for until := time.Now().Add(limit); len(jobs) > 0 && time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		var waiting []*job
		for i, j := range jobs {
			if time.Now().After(until) {
				waiting = append(waiting, jobs[i:]...)
				break
			}
			if made := c.call(j, random, c.anyProcess(random, nil), http.MethodGet, callTimeout); made.state != "complete" {
				waiting = append(waiting, j)
			}
		}
		jobs = waiting
	}
	return len(jobs)
}

// checkBacklog reports tasks that ran twice at the same time or again once they were done, tasks of
// jobs that were refused, and processes that ended by themselves. It returns the number of runs.
func (r *rig) checkBacklog(sent []*job) int {
	r.t.Helper()
	refused := map[string]bool{}
	for _, j := range sent {
		refused[j.id] = j.rejected()
	}
	r.platform.Check()
	runs := r.platform.Runs()
	byTask := map[string][]run{}
	for _, started := range runs {
		seen := run{Run: started}
		if refused[seen.job()] {
			r.t.Errorf("%s ran, though its job was refused", started.Task)
		}
		byTask[started.Task] = append(byTask[started.Task], seen)
	}
	var o observations
	for _, again := range byTask {
		for _, one := range again {
			for _, f := range o.checkTwice(again, one) {
				r.t.Error(f.text)
			}
		}
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, e := range r.record.ends {
		r.t.Errorf("%s ended by itself: %s", e.node, e.text)
	}
	return len(runs)
}

// noteMemory notes the most memory that each process has taken, in MB.
func (r *rig) noteMemory(peaks map[string]int) {
	for _, p := range r.processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			continue // the process has ended
		}
		for line := range strings.Lines(string(data)) {
			if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
				kB, _ := strconv.Atoi(strings.Fields(rest)[0])
				peaks[p.node] = max(peaks[p.node], kB>>10)
			}
		}
	}
}
