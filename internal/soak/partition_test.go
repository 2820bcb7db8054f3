package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/platform"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// partition splits the processes into two groups that don't reach each other.
type partition struct {
	groups    map[string]int // 0 or 1, by node
	storeless [2]bool
	unreached [2]map[netip.AddrPort]bool // workers that a group does not reach
	how       func(l *link) severing
}

// cuts reports whether the partition cuts a link.
func (p *partition) cuts(l *link) bool {
	from, known := p.groups[l.from]
	if !known {
		return false
	}
	if to, isProcess := p.groups[l.to]; isProcess {
		return from != to
	}
	return l.to == "store" && p.storeless[from] || p.unreached[from][l.target]
}

func (p *partition) String() string {
	var text []string
	for group := range 2 {
		var nodes []string
		for node, in := range p.groups {
			if in == group {
				nodes = append(nodes, node)
			}
		}
		slices.Sort(nodes)
		store := "with"
		if p.storeless[group] {
			store = "without"
		}
		text = append(text, fmt.Sprintf("%s %s the store and %d workers out of reach", strings.Join(nodes, " "), store, len(p.unreached[group])))
	}
	return strings.Join(text, ", cut from ")
}

// begin begins a partition and returns a function that ends it. It reports false if another one lasts.
func (r *rig) begin(p *partition) (end func(), begun bool) {
	r.mu.Lock()
	if r.split != nil {
		r.mu.Unlock()
		return nil, false
	}
	r.split = p
	var ends []func()
	for node := range p.groups { // a fault each, since each is out of touch
		ends = append(ends, r.record.begin(fault{kind: "partition", text: p.String(), node: node}))
	}
	cut := map[*link]severing{}
	for _, l := range r.links {
		if p.cuts(l) {
			cut[l] = p.how(l)
		}
	}
	for l, how := range cut {
		if err := l.sever(how); err != nil {
			r.t.Error(err)
		}
	}
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.split = nil
		for _, l := range r.links {
			if err := l.mend(); err != nil {
				r.t.Error(err)
			}
		}
		for _, end := range ends {
			end()
		}
	}, true
}

// partition cuts two groups of processes from each other. Each may be without the store and
// reaches some of the workers.
func (f *faults) partition(random *rand.Rand) {
	nodes := slices.Clone(f.rig.processes)
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	sizes := []int{len(nodes) / 2, 1 + random.IntN(max(1, len(nodes)/2)), 1}
	smaller := nodes[:sizes[random.IntN(len(sizes))]]
	p := &partition{groups: map[string]int{}}
	for _, other := range nodes {
		p.groups[other.node] = 1
	}
	for _, member := range smaller {
		p.groups[member.node] = 0
	}
	without := random.IntN(4)
	p.storeless = [2]bool{without&1 != 0, without&2 != 0}
	all := f.rig.platform.Workers()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	p.unreached = splitWorkers(all, random.IntN(3))
	way, salt := random.IntN(4), random.Uint32()
	p.how = func(l *link) severing {
		if way < 3 {
			return severing(way)
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(l.name)) // never fails
		return severing((hash.Sum32() ^ salt) % 3)
	}
	length := between(random, 7*time.Second, 14*time.Second)
	if end, begun := f.rig.begin(p); begun {
		time.Sleep(length)
		end()
	}
}

// splitWorkers returns which of the workers each of two groups does not reach: half of them
// each (0), a third of them each, so that both reach some (1), or none.
func splitWorkers(all []*mimic.Worker, way int) [2]map[netip.AddrPort]bool {
	unreached := [2]map[netip.AddrPort]bool{{}, {}}
	for i, w := range all {
		group := i % 2
		if way == 1 {
			group = i % 3
		}
		if way <= 1 && group < 2 {
			unreached[group][netip.MustParseAddrPort(w.Addr())] = true
		}
	}
	return unreached
}

// partitionCase is a partition of a deployment with one pool. Group 0 holds the pool's owner.
type partitionCase struct {
	name      string
	processes int
	near      int // processes of group 0
	storeless [2]bool
	how       severing
	kill      bool // one process is killed meanwhile, which does not own the pool
	freeze    bool // one process is frozen until the end of the partition, which does not own the pool
	freezeAt  time.Duration
}

var partitionCases = []partitionCase{
	{name: "minority with the store", processes: 5, near: 3, storeless: [2]bool{true, false}, how: severedHeld},
	{name: "minority without the store", processes: 5, near: 2, storeless: [2]bool{true, false}, how: severedHeld},
	{name: "minority without the store, dials get no answer", processes: 5, near: 2, storeless: [2]bool{true, false}, how: severedQuiet},
	{name: "half without the store", processes: 8, near: 4, storeless: [2]bool{true, false}, how: severedHeld},
	{name: "half without the store, dials get no answer", processes: 8, near: 4, storeless: [2]bool{true, false}, how: severedQuiet},
	{name: "zone of 12 without the store", processes: 12, near: 4, storeless: [2]bool{true, false}, how: severedHeld},
	{name: "all without the store", processes: 5, near: 5, storeless: [2]bool{true, false}, how: severedHeld},
	{name: "all without the store, one killed", processes: 5, near: 5, storeless: [2]bool{true, false}, how: severedHeld, kill: true},
}

// frozenCases show what a pool loses while a process is frozen and nobody reaches the store. Its
// runs may end with their leases.
var frozenCases = []partitionCase{
	{name: "all without the store, one frozen before", processes: 5, near: 5, storeless: [2]bool{true, false}, how: severedHeld, freeze: true, freezeAt: -time.Second},
	{name: "all without the store, one frozen after 3s", processes: 5, near: 5, storeless: [2]bool{true, false}, how: severedHeld, freeze: true, freezeAt: 3 * time.Second},
}

// TestPartition guards against tasks that run twice since two owners act for a pool during a
// partition, and against tasks that end with their leases since nobody reaches the store or
// since claims and writes that were held back meanwhile take effect.
func TestPartition(t *testing.T) {
	slots := make(chan struct{}, 3) // with more, this process falls behind under the race detector
	cases := partitionCases
	if *frozen {
		cases = slices.Concat(cases, frozenCases)
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			t.Cleanup(func() { <-slots })
			c.run(t, uint64(1+i))
		})
	}
}

const (
	partitionWorkers = 10
	partitionTime    = 12 * time.Second
	leasesTime       = 10 * time.Second // in which the leases of an owner that stops after an outage expire
)

func (c partitionCase) run(t *testing.T, seed uint64) {
	r := newRig(t, seed, mimic.Options{
		Pools: []mimic.Pool{{Name: poolName(0), Hosts: partitionWorkers}}, StopTime: stopTime / 2, ClockRate: 0.98, Linger: time.Second,
	}, c.processes)
	r.replay = fmt.Sprintf("go test ./internal/soak -run 'TestPartition/%s$' -v -binary=%s", strings.ReplaceAll(c.name, " ", "_"), *binary)
	r.platform.Configure(mimic.Config(1, []platform.Queue{{
		Name: "queue0", Host: callersHost, Prefix: queuePath(0), Pool: poolName(0), Timeout: callTimeout, Target: 20 * time.Second, Slack: 2, MaxAttempts: 3,
	}}, []mimic.Pool{{Name: poolName(0)}}))
	var starts sync.WaitGroup
	for _, p := range r.processes {
		t.Cleanup(func() { r.stop(p) })
		starts.Go(func() {
			if err := r.start(p); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
	r.waitForOwners(1)
	l := &partitionLoad{callers: newCallers(r, 4, time.Time{}), random: rand.New(rand.NewPCG(seed, 2))}
	l.fillWorkers(t)

	owner := r.owner(poolName(0))
	p := &partition{groups: map[string]int{}, storeless: c.storeless, how: func(*link) severing { return c.how }}
	others := slices.DeleteFunc(slices.Clone(r.processes), func(p *process) bool { return p == owner })
	for i, other := range others {
		if 1+i >= c.near {
			p.groups[other.node] = 1
		} else {
			p.groups[other.node] = 0
		}
	}
	p.groups[owner.node] = 0
	split := 0
	if c.near == c.processes {
		split = 2 // nobody is cut off
	}
	p.unreached = splitWorkers(r.platform.Workers(), split)
	victim := others[len(others)-1]
	wake := func() {}
	if c.freeze {
		time.AfterFunc(max(0, c.freezeAt), func() { victim.signal(syscall.SIGSTOP) })
		endFreeze := r.record.begin(fault{kind: "freeze", text: "SIGSTOP", node: victim.node})
		wake = func() {
			victim.signal(syscall.SIGCONT)
			endFreeze()
		}
		time.Sleep(max(0, -c.freezeAt))
	}
	end, _ := r.begin(p)
	cutAt := time.Now()
	if c.kill {
		time.Sleep(2 * time.Second)
		defer r.record.begin(fault{kind: "restart", text: "SIGKILL", node: victim.node})()
		victim.signal(syscall.SIGKILL)
		r.awaitExit(victim)
	}
	far := others[len(others)-1]
	if far == owner || c.kill || c.freeze {
		far = others[0]
	}
	for time.Since(cutAt) < partitionTime {
		for _, at := range []*process{owner, far} {
			l.jobs.Go(func() { l.send(at, 1, 100, "40ms", false) })
		}
		time.Sleep(250 * time.Millisecond)
	}
	end()
	wake()
	mendedAt := time.Now()
	l.jobs.Wait()
	l.settle(mendedAt.Add(finishTime))
	watch := contactTime + stopTime
	if c.near == c.processes {
		watch = leasesTime
	}
	time.Sleep(time.Until(mendedAt.Add(watch)))

	o := r.observe(mendedAt)
	all := o.check()
	if c.near == c.processes && !c.freeze {
		all = append(all, o.checkLapsed(cutAt)...)
	}
	t.Log(l.losses(o, owner, far, cutAt, mendedAt, p.unreached))
	r.judge(o, all)
}

// checkLapsed checks that no run has ended with its lease since a time.
func (o observations) checkLapsed(from time.Time) []failure {
	var all []failure
	for _, r := range o.runs {
		if r.How == "lapsed" && r.Ended.After(from) {
			all = append(all, failure{"LAPSED", r.job(), r.Task, r.Ended, fmt.Sprintf("ended with its lease: %v", r)})
		}
	}
	return all
}

// partitionLoad sends the jobs of a partition case.
type partitionLoad struct {
	*callers
	random *rand.Rand
}

// fillWorkers makes each worker run some tasks of several seconds and of unlimited length.
func (l *partitionLoad) fillWorkers(t *testing.T) {
	t.Helper()
	began := 0
	for _, batch := range []struct {
		millicores int // those of the first one leave room for two tasks of the others on each worker
		length     string
	}{{5000, "2500ms"}, {1500, "lasting"}, {1500, "6s"}, {1500, "4s"}, {1500, "5s"}} {
		limit := time.Now().Add(10 * time.Second)
		for !l.send(l.rig.processes[0], partitionWorkers, batch.millicores, batch.length, batch.length == "lasting").succeeded() {
			if time.Now().After(limit) {
				t.Fatal("no job was accepted for 10s")
			}
			time.Sleep(50 * time.Millisecond)
		}
		began += partitionWorkers
		for len(l.rig.platform.Runs()) < min(began, 3*partitionWorkers) {
			if time.Now().After(limit) {
				t.Fatalf("%d of %d tasks run after 10s", len(l.rig.platform.Runs()), began)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// send submits a job of one step to a process.
func (l *partitionLoad) send(at *process, tasks, millicores int, length string, lasting bool) call {
	l.rig.mu.Lock()
	random := rand.New(rand.NewPCG(l.random.Uint64(), 0))
	l.rig.mu.Unlock()
	j := &job{id: fmt.Sprintf("%016x", random.Uint64()), path: queuePath(0), steps: []int{tasks}, lasting: lasting}
	j.spec = length + " " + j.id
	estimate, _ := time.ParseDuration(length) // 0 for those of unlimited length
	body, err := json.Marshal(struct {
		Spec  string     `json:"spec"`
		Steps []stepJSON `json:"steps"`
	}{j.spec, []stepJSON{{Count: tasks, CPU: millicores, MemoryMB: 100, Estimate: estimate.Milliseconds(), Lasting: lasting}}})
	if err != nil {
		l.rig.t.Error(err)
	}
	j.body = string(body)
	return l.call(j, random, at, http.MethodPost, callTimeout)
}

// losses tells what the pool lost.
func (l *partitionLoad) losses(o observations, owner, far *process, cutAt, mendedAt time.Time, unreached [2]map[netip.AddrPort]bool) string {
	accepted := map[string]time.Time{}
	for _, j := range o.jobs {
		if at, found := j.acceptedAt(); found && j.calls[0].sent.After(cutAt) {
			if before, known := accepted[j.calls[0].node]; !known || at.Before(before) {
				accepted[j.calls[0].node] = at
			}
		}
	}
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.1fs", at.Sub(cutAt).Seconds())
	}
	text := fmt.Sprintf("mended after %s; submissions accepted after %s by the owner, %s by the other side", since(mendedAt), since(accepted[owner.node]), since(accepted[far.node]))
	for group, whose := range []string{"the other side", "the owner"} {
		lapsed, again := o.lapsedOn(unreached[group], cutAt)
		text += fmt.Sprintf("; %d runs lapsed on workers that only %s reached", lapsed, whose)
		if len(again) > 0 {
			text += fmt.Sprintf(", %d of their tasks ran again after %.1fs to %.1fs", len(again), again[0].Seconds(), again[len(again)-1].Seconds())
		}
	}
	lapsed, again := o.lapsedOn(nil, cutAt)
	text += fmt.Sprintf("; %d runs lapsed in all", lapsed)
	if len(again) > 0 {
		text += fmt.Sprintf(", %d of their tasks ran again after %.1fs to %.1fs", len(again), again[0].Seconds(), again[len(again)-1].Seconds())
	}
	return text
}

// lapsedOn counts the runs that ended with their leases on some workers, or on all if none are
// given, and returns how long after a time their tasks ran again.
func (o observations) lapsedOn(workers map[netip.AddrPort]bool, from time.Time) (lapsed int, again []time.Duration) {
	for _, r := range o.runs {
		worker, err := netip.ParseAddrPort(r.To)
		if r.How != "lapsed" || err != nil || workers != nil && !workers[worker] {
			continue
		}
		lapsed++
		next := slices.IndexFunc(o.runs, func(later run) bool { return later.Task == r.Task && !later.Started.Before(r.Ended) })
		if next >= 0 {
			again = append(again, o.runs[next].Started.Sub(from))
		}
	}
	slices.Sort(again)
	return lapsed, again
}
