package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayarudder/papayarudder/platform"
)

// callers send jobs to a deployment, ask for their state and cancel some of them.
type callers struct {
	rig     *rig
	clients []*http.Client // each keeps its connections
	until   time.Time      // when they stop repeating calls without an answer
	jobs    sync.WaitGroup
	recent  atomic.Pointer[job] // on a queue that needs a key
}

func newCallers(r *rig, number int, until time.Time) *callers {
	c := &callers{rig: r, until: until}
	for range number {
		transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
		r.t.Cleanup(transport.CloseIdleConnections)
		c.clients = append(c.clients, &http.Client{Transport: transport})
	}
	return c
}

const callersHost = "a.example"

// call makes a call and records it.
func (c *callers) call(j *job, random *rand.Rand, p *process, method string, timeout time.Duration) call {
	made := call{node: p.node, method: method, sent: time.Now()}
	if !isPublic(j.path) {
		made.key = keyOf(organisationOf(j.id), int(c.rig.generation.Load()))
	}
	client := c.clients[random.IntN(len(c.clients))]
	made.status, made.state = c.exchange(client, j, made.key, p, method, timeout)
	if made.status != 0 {
		made.answered = time.Now()
	}
	c.rig.record.add(j, made)
	return made
}

// exchange makes a call. The status is 0 if there was no answer.
func (c *callers) exchange(client *http.Client, j *job, key string, p *process, method string, timeout time.Duration) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = j.body
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers.listen.String()+j.path+j.id, strings.NewReader(body))
	if err != nil {
		c.rig.t.Error(err)
		return 0, ""
	}
	request.Host = callersHost
	request.Header.Set(platform.KeyHeader, key)
	request.Header.Set(platform.DeadlineHeader, fmt.Sprint(timeout.Milliseconds()))
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer) // other answers have no state
	return response.StatusCode, answer.State
}

// anyProcess returns a process for a call. Callers often stay with theirs.
func (c *callers) anyProcess(random *rand.Rand, last *process) *process {
	if last != nil && random.IntN(2) == 0 {
		return last
	}
	return c.rig.processes[random.IntN(len(c.rig.processes))]
}

const callTimeout = 3 * time.Second

// unanswered reports whether a caller repeats a submission, at times with its next key.
func unanswered(status int) bool {
	return status == 0 || status == 401 || status == 502 || status == 504
}

// follow submits a job, and does with it what its random source says.
func (c *callers) follow(j *job, random *rand.Rand) {
	pick := random.Float64()
	timeout := callTimeout
	if impatient := random.Float64() < 0.1; impatient {
		timeout = between(random, 2*time.Millisecond, 60*time.Millisecond)
	}
	p := c.anyProcess(random, nil)
	made := c.call(j, random, p, http.MethodPost, timeout)
	if made.status == 0 && pick < 0.5 { // cancelled without an answer to the submission
		c.cancel(j, random, p)
		return
	}
	for unanswered(made.status) && time.Now().Before(c.until) {
		time.Sleep(between(random, 20*time.Millisecond, 500*time.Millisecond))
		p = c.anyProcess(random, p)
		made = c.call(j, random, p, http.MethodPost, callTimeout)
	}
	if !made.succeeded() {
		return
	}
	if random.Float64() < 0.15 {
		near, copyRandom := p, rand.New(rand.NewPCG(random.Uint64(), 0))
		c.jobs.Go(func() {
			time.Sleep(between(copyRandom, 10*time.Millisecond, 6*time.Second))
			c.call(j, copyRandom, c.anyProcess(copyRandom, near), http.MethodPost, callTimeout)
		})
	}
	switch {
	case pick < 0.3:
		time.Sleep(between(random, 0, 20*time.Millisecond))
		c.cancel(j, random, p)
	case pick < 0.5 || j.lasting && pick < 0.8:
		time.Sleep(between(random, 100*time.Millisecond, 8*time.Second))
		c.cancel(j, random, p)
	default:
		for range random.IntN(4) {
			time.Sleep(between(random, 100*time.Millisecond, 3*time.Second))
			p = c.anyProcess(random, p)
			c.call(j, random, p, http.MethodGet, callTimeout)
		}
	}
}

// cancel cancels a job, again and again until that is acknowledged.
func (c *callers) cancel(j *job, random *rand.Rand, p *process) {
	for {
		p = c.anyProcess(random, p)
		made := c.call(j, random, p, http.MethodDelete, callTimeout)
		if made.succeeded() || made.status == http.StatusGone || made.status == http.StatusNotFound || time.Now().After(c.until) {
			break
		}
		time.Sleep(between(random, 20*time.Millisecond, 300*time.Millisecond))
	}
	if random.IntN(4) == 0 {
		time.Sleep(between(random, 0, 4*time.Second))
		c.call(j, random, p, http.MethodGet, callTimeout)
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// burstTime is the length of the bursts in which jobs of the first queue have to wait.
const burstTime = 4 * time.Second

// load sends jobs to a queue until a time.
func (c *callers) load(queue int, random *rand.Rand, until time.Time) {
	crowded := queue == 0
	for began := time.Now(); time.Now().Before(until); {
		gap := between(random, 20*time.Millisecond, 200*time.Millisecond)
		if crowded && time.Since(began)%(2*burstTime) < burstTime {
			gap /= 2
		}
		time.Sleep(gap)
		j := newJob(queue, random, crowded)
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		if !isPublic(j.path) {
			c.recent.Store(j)
		}
		c.jobs.Go(func() { c.follow(j, source) })
	}
}

type stepJSON struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	MemoryMB int   `json:"mem_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Lasting  bool  `json:"long_running,omitempty"`
}

// newJob returns a job with a spec of its own, which begins with the duration of its tasks.
func newJob(queue int, random *rand.Rand, crowded bool) *job {
	j := &job{id: fmt.Sprintf("%016x", random.Uint64()), path: queuePath(queue)}
	length := between(random, 40*time.Millisecond, 400*time.Millisecond)
	steps := []stepJSON{{Count: 1 + random.IntN(5), CPU: 1000, MemoryMB: 100, Estimate: length.Milliseconds()}}
	j.spec = fmt.Sprintf("%v %s", length, j.id)
	switch kind := random.IntN(10); {
	case kind == 0:
		j.lasting = true
		j.spec = "lasting " + j.id
		steps[0].Lasting = true
	case kind <= 2:
		steps = append(steps, steps[0])
		steps[1].After = []int{0}
	case crowded:
		steps[0].Count, steps[0].CPU = 6+random.IntN(18), 4000
	}
	if advised(queue) {
		j.spec += advisedSpec
	}
	for _, s := range steps {
		j.steps = append(j.steps, s.Count)
	}
	body, err := json.Marshal(struct {
		Spec  string     `json:"spec"`
		Steps []stepJSON `json:"steps"`
	}{j.spec, steps})
	if err != nil {
		panic(err) // cannot happen: the types can be encoded
	}
	j.body = string(body)
	return j
}

// advisedSpec ends the spec of each task that needs a ticket.
const advisedSpec = " advised"

// advised reports whether a queue has advice.
func advised(queue int) bool { return queue%2 == 1 }

// settle asks for the state of all accepted jobs that were not cancelled, until each has its
// last one or the time is over.
func (c *callers) settle(until time.Time) {
	random := rand.New(rand.NewPCG(c.rig.seed, 3))
	for waiting := c.rig.record.kept(false); len(waiting) > 0 && time.Now().Before(until); waiting = c.rig.record.kept(true) {
		var group sync.WaitGroup
		slots := make(chan struct{}, 16)
		for _, j := range waiting {
			source := rand.New(rand.NewPCG(random.Uint64(), 0))
			slots <- struct{}{}
			group.Go(func() {
				c.call(j, source, c.anyProcess(source, nil), http.MethodGet, callTimeout)
				<-slots
			})
		}
		group.Wait()
		time.Sleep(300 * time.Millisecond)
	}
}

// kept returns the accepted jobs that no caller has cancelled, or those of them that are not
// in their last state.
func (r *record) kept(unsettled bool) []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*job
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		if _, accepted := j.acceptedAt(); accepted && !j.cancelSent() && (!unsettled || j.lastAnswer().state != j.lastState() && j.lastAnswer().state != "failed") {
			all = append(all, j)
		}
	}
	return all
}
