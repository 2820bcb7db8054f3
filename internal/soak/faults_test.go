package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// faults disturbs a deployment.
type faults struct {
	rig    *rig
	only   string // kinds, separated by commas; all if empty
	queues int
	until  time.Time
	group  sync.WaitGroup

	mu       sync.Mutex
	version  uint64
	extra    bool // the configuration has one more queue
	moved    bool // the last queue's jobs go to the first pool but one
	flapping flappingRoute
	timeout  int
	waves    int
	crashed  map[string]bool // tasks on workers that crashed right after a start
}

// kind is a kind of fault. It returns when the fault is over.
type kind struct {
	name   string
	weight int
	run    func(f *faults, random *rand.Rand)
}

var kinds = []kind{
	{"freeze", 14, func(f *faults, random *rand.Rand) { f.freeze(random, f.target(random)) }},
	{"freeze-two", 4, func(f *faults, random *rand.Rand) {
		other := rand.New(rand.NewPCG(random.Uint64(), 0))
		p, q := f.target(random), f.target(other)
		f.group.Go(func() { f.freeze(other, q) })
		f.freeze(random, p)
	}},
	{"kill", 8, func(f *faults, random *rand.Rand) { f.restart(random, f.target(random), syscall.SIGKILL) }},
	{"kill-two", 3, func(f *faults, random *rand.Rand) {
		other := rand.New(rand.NewPCG(random.Uint64(), 0))
		p, q := f.target(random), f.target(other)
		f.group.Go(func() { f.restart(other, q, syscall.SIGKILL) })
		f.restart(random, p, syscall.SIGKILL)
	}},
	{"term", 5, func(f *faults, random *rand.Rand) { f.restart(random, f.target(random), syscall.SIGTERM) }},
	{"cut-store", 8, func(f *faults, random *rand.Rand) {
		p := f.target(random)
		f.cut(random, fault{kind: "cut-store", text: "cut from the store", node: p.node}, []*link{p.store})
	}},
	{"late-store", 10, (*faults).lateStore},
	{"reset-store", 4, (*faults).resetStore},
	{"store", 4, (*faults).failStore},
	{"compact", 14, (*faults).compact},
	{"cut-workers", 8, (*faults).cutWorkers},
	{"late-workers", 8, (*faults).delayWorkers},
	{"late-peers", 6, (*faults).delayPeers},
	{"late-orders", 8, (*faults).delayOrders},
	{"silence", 3, (*faults).silence},
	{"entries", 4, (*faults).hideEntries},
	{"crash", 5, (*faults).crash},
	{"reborn", 6, (*faults).reborn},
	{"crash-at-start", 10, (*faults).crashAtStart},
	{"advice", 3, (*faults).failAdvice},
	{"cut-peers", 8, (*faults).cutPeers},
	{"cut-callers", 4, (*faults).cutCallers},
	{"config", 4, func(f *faults, random *rand.Rand) { f.configure(random, false) }},
	{"route", 1, func(f *faults, random *rand.Rand) { f.configure(random, true) }},
	{"takeover", 14, (*faults).takeOver},
	{"wave", 2, (*faults).wave},
	{"partition", 8, (*faults).partition},
}

// flappingRoute is the route of flappingQueue, which comes and goes.
type flappingRoute struct {
	present bool
	pool    int
	advised bool
	timeout int // in ms
}

const flappingQueue = 9

// enabled reports whether a list and the flags leave a kind of fault that is not drawn among others.
func enabled(only, name string) bool {
	named := func(list string) bool { return slices.Contains(strings.Split(list, ","), name) }
	return (only == "" || named(only)) && !named(*without)
}

// enabledKinds returns the kinds that a list and the flags leave.
func enabledKinds(only string) []kind {
	named := func(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }
	return slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool {
		return only != "" && !named(only, k.name) || named(*without, k.name)
	})
}

// run begins one fault after the other until the time is over, and waits for their ends.
func (f *faults) run(random *rand.Rand) {
	chosen := enabledKinds(f.only)
	total := 0
	for _, k := range chosen {
		total += k.weight
	}
	for total > 0 {
		pause := time.Duration(random.ExpFloat64() * float64(450*time.Millisecond))
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		pick := random.IntN(total)
		time.Sleep(min(pause, 2*time.Second))
		if !time.Now().Before(f.until) {
			break
		}
		at := 0
		for pick >= chosen[at].weight {
			pick -= chosen[at].weight
			at++
		}
		f.group.Go(func() { chosen[at].run(f, source) })
	}
	f.group.Wait()
}

func (f *faults) begin(d fault) (end func()) { return f.rig.record.begin(d) }

// target returns a process, most often the owner of a pool.
func (f *faults) target(random *rand.Rand) *process {
	pool, other, owner := random.IntN(f.queues), random.IntN(len(f.rig.processes)), random.Float64() < 0.75
	if p := f.rig.owner(poolName(pool)); owner && p != nil {
		return p
	}
	return f.rig.processes[other]
}

func (f *faults) freeze(random *rand.Rand, p *process) {
	length := between(random, 300*time.Millisecond, 2*time.Second)
	if random.IntN(2) == 0 {
		length = between(random, 2*time.Second, 6*time.Second)
	}
	if !p.mu.TryLock() {
		return // another fault stops or freezes it
	}
	defer p.mu.Unlock()
	defer f.begin(fault{kind: "freeze", text: fmt.Sprint("SIGSTOP for ", length), node: p.node})()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
}

// takeOver freezes, kills or isolates the owner of a pool while its successors don't reach some
// of the workers and the owner's last calls are late, and keeps it from the store for a while
// after it has woken.
func (f *faults) takeOver(random *rand.Rand) {
	pool := poolName(random.IntN(f.queues))
	p := f.rig.owner(pool)
	if p == nil {
		return
	}
	unreached := f.someWorkers(random, p)
	var hidden []*link
	for _, other := range f.rig.processes {
		if other != p {
			for _, l := range unreached {
				hidden = append(hidden, f.rig.link(other.node, l.to, l.target))
			}
		}
	}
	by := delaying{between2(random, 0, 0.5), 300 * time.Millisecond, 6 * time.Second}
	way := direction(random.IntN(2))
	how, away, apart := random.IntN(4), between(random, 1200*time.Millisecond, 6*time.Second), between(random, 100*time.Millisecond, 3*time.Second)
	if !p.mu.TryLock() {
		return
	}
	defer f.begin(fault{kind: "takeover", text: "calls of the former owner are delivered late", node: p.node})()
	end := f.begin(fault{kind: "takeover", core: true, text: fmt.Sprintf("owner %s of %s %s for %v, then %v without the store; %d workers out of reach of the others (%s), %.2f of its calls late",
		p.node, pool, [...]string{"frozen", "frozen and cut", "cut", "killed"}[how], away, apart, len(unreached), [...]string{"calls", "answers"}[way], by.share)})
	workers, peers := f.rig.linksOf(p.node)
	for _, l := range workers {
		l.delay(calls, by)
	}
	time.Sleep(between(random, 10*time.Millisecond, 400*time.Millisecond))
	for _, l := range hidden {
		l.hold(way, true)
	}
	if how == 1 || how == 2 {
		for _, l := range append(peers, p.store) {
			l.hold(calls, true)
			l.hold(answers, true)
		}
	}
	switch how {
	case 0, 1:
		p.signal(syscall.SIGSTOP)
		time.Sleep(away)
		p.store.hold(calls, true)
		p.signal(syscall.SIGCONT)
		time.Sleep(apart)
	case 2:
		time.Sleep(away)
	case 3:
		p.signal(syscall.SIGKILL)
		f.rig.awaitExit(p)
		time.Sleep(away)
		if err := f.rig.start(p); err != nil {
			f.rig.t.Error(err)
		}
	}
	for _, l := range append(append(peers, hidden...), p.store) {
		l.hold(calls, false)
		l.hold(answers, false)
	}
	for _, l := range workers {
		l.delay(calls, delaying{})
	}
	end()
	p.mu.Unlock()
	time.Sleep(by.least + by.spread)
}

func (f *faults) restart(random *rand.Rand, p *process, signal syscall.Signal) {
	away := between(random, 50*time.Millisecond, 2*time.Second)
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	defer f.begin(fault{kind: "restart", text: fmt.Sprintf("%v, started again %v after its end", signal, away), node: p.node})()
	p.signal(signal)
	f.rig.awaitExit(p)
	time.Sleep(away)
	if err := f.rig.start(p); err != nil {
		f.rig.t.Error(err)
	}
}

// rollOut restarts processes in turn, the next ones before the first are back, until the time is over.
func (f *faults) rollOut(random *rand.Rand) {
	for {
		time.Sleep(between(random, 500*time.Millisecond, 4*time.Second))
		if !time.Now().Before(f.until) {
			break
		}
		processes := slices.Clone(f.rig.processes)
		random.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
		gap := between(random, 200*time.Millisecond, 1500*time.Millisecond)
		var group sync.WaitGroup
		for _, p := range processes[:1+len(processes)/2] {
			source := rand.New(rand.NewPCG(random.Uint64(), 0))
			group.Go(func() { f.restart(source, p, syscall.SIGTERM) })
			time.Sleep(gap)
		}
		group.Wait()
	}
}

// flapRoute drops, restores, moves and changes the flapping route until the time is over. It is
// there in the end, so that callers can ask for their jobs.
func (f *faults) flapRoute(random *rand.Rand) {
	for ended := false; !ended; {
		ended = !time.Now().Before(f.until)
		v := flappingRoute{
			present: random.IntN(3) > 0 || ended,
			pool:    random.IntN(f.queues),
			advised: random.IntN(4) > 0,
			timeout: 3000 + random.IntN(2000),
		}
		f.mu.Lock()
		f.flapping = v
		f.version += 1 + random.Uint64N(5)
		end := f.begin(fault{kind: "config", text: fmt.Sprintf("configuration %d: flapping route %+v", f.version, v), mild: true})
		f.rig.platform.Configure(f.configuration())
		f.mu.Unlock()
		end()
		if !ended {
			time.Sleep(between(random, 300*time.Millisecond, 2*time.Second))
		}
	}
}

// cut holds back the data on links, in one direction or both, and delivers them after a while.
func (f *faults) cut(random *rand.Rand, d fault, links []*link) {
	length := between(random, 300*time.Millisecond, 5*time.Second)
	way := random.IntN(3)
	d.text += fmt.Sprintf(" for %v (%s)", length, [...]string{"calls", "answers", "both ways"}[way])
	defer f.begin(d)()
	for _, l := range links {
		l.hold(calls, way != 1)
		l.hold(answers, way != 0)
	}
	time.Sleep(length)
	for _, l := range links {
		l.hold(calls, false)
		l.hold(answers, false)
	}
}

func (f *faults) lateStore(random *rand.Rand) {
	affected := []*process{f.target(random)}
	d := fault{kind: "late-store", node: affected[0].node}
	if random.IntN(3) == 0 {
		affected, d.node, d.core = f.rig.processes, "", true
	}
	by := delaying{between2(random, 0.1, 0.5), time.Second, 5 * time.Second}
	way := direction(random.IntN(2))
	lossy := between2(random, 0, 0.3)
	length := between(random, time.Second, 4*time.Second)
	d.text = fmt.Sprintf("%.2f of the %s 1 to 6 s late, %.2f of the answers lost, for %v", by.share, [...]string{"calls", "answers"}[way], lossy, length)
	defer f.begin(d)()
	for _, p := range affected {
		p.store.delay(way, by)
		p.store.lose(lossy)
	}
	time.Sleep(length)
	for _, p := range affected {
		p.store.delay(way, delaying{})
		p.store.lose(0)
	}
	time.Sleep(by.least + by.spread) // until the last call was delivered
}

func between2(random *rand.Rand, least, most float64) float64 {
	return least + random.Float64()*(most-least)
}

func (f *faults) resetStore(random *rand.Rand) {
	p := f.target(random)
	defer f.begin(fault{kind: "reset-store", text: "connections to the store are reset", node: p.node})()
	for range 1 + random.IntN(8) {
		p.store.reset()
		time.Sleep(between(random, 5*time.Millisecond, 300*time.Millisecond))
	}
}

func (f *faults) failStore(random *rand.Rand) {
	affected := f.rig.processes
	d := fault{kind: "store", core: true}
	if random.IntN(2) == 0 {
		affected = []*process{f.target(random)}
		d = fault{kind: "store", node: affected[0].node}
	}
	way := storeFailure(1 + random.IntN(4))
	length := between(random, 300*time.Millisecond, 4*time.Second)
	d.text = fmt.Sprintf("the store is %s for %v", [...]string{"healthy", "busy", "refusing", "silent", "slow"}[way], length)
	defer f.begin(d)()
	for _, p := range affected {
		p.failure.Store(int32(way))
	}
	time.Sleep(length)
	for _, p := range affected {
		p.failure.Store(int32(healthy))
	}
}

// compact drops the store's history, at times while a process is behind.
func (f *faults) compact(random *rand.Rand) {
	behind := random.IntN(3) > 0
	p := f.target(random)
	if !behind {
		defer f.begin(fault{kind: "compact", text: "the store drops its history", mild: true})()
		f.rig.platform.Store.Forget()
		return
	}
	length := between(random, 100*time.Millisecond, 1500*time.Millisecond)
	defer f.begin(fault{kind: "compact", text: fmt.Sprintf("answers of the store held back for %v, then the store drops its history", length), node: p.node})()
	p.store.hold(answers, true)
	time.Sleep(length)
	f.rig.platform.Store.Forget()
	p.store.hold(answers, false)
}

// someWorkers returns some of a process's links to workers.
func (f *faults) someWorkers(random *rand.Rand, p *process) []*link {
	links, _ := f.rig.linksOf(p.node)
	slices.SortFunc(links, func(x, y *link) int { return strings.Compare(x.to, y.to) })
	if random.IntN(3) == 0 {
		return links
	}
	share := between2(random, 0.1, 0.5)
	return slices.DeleteFunc(links, func(*link) bool { return random.Float64() > share })
}

func (f *faults) cutWorkers(random *rand.Rand) {
	p := f.target(random)
	links := f.someWorkers(random, p)
	f.cut(random, fault{kind: "cut-workers", text: fmt.Sprintf("cut from %d workers", len(links)), node: p.node}, links)
}

// delayWorkers makes a process's calls to workers late. Those that got no answer are delivered
// after newer ones.
func (f *faults) delayWorkers(random *rand.Rand) {
	p := f.target(random)
	f.late(random, fault{kind: "late-workers", node: p.node}, f.someWorkers(random, p))
}

// delayPeers makes the calls between a process and the others late.
func (f *faults) delayPeers(random *rand.Rand) {
	p := f.target(random)
	_, links := f.rig.linksOf(p.node)
	slices.SortFunc(links, func(x, y *link) int { return strings.Compare(x.name, y.name) })
	f.late(random, fault{kind: "late-peers", node: p.node}, links)
}

// late makes some of the calls on links late for a while, and some lose their answers.
func (f *faults) late(random *rand.Rand, d fault, links []*link) {
	by := delaying{between2(random, 0.1, 0.6), 400 * time.Millisecond, 6 * time.Second}
	lossy := between2(random, 0, 0.3)
	length := between(random, 500*time.Millisecond, 4*time.Second)
	d.text = fmt.Sprintf("%.2f of the calls on %d links 0.4 to 6.4 s late, %.2f of the answers lost, for %v", by.share, len(links), lossy, length)
	defer f.begin(d)()
	for _, l := range links {
		l.delay(calls, by)
		l.lose(lossy)
	}
	time.Sleep(length)
	for _, l := range links {
		l.delay(calls, delaying{})
		l.lose(0)
	}
	time.Sleep(by.least + by.spread)
}

// delayOrders makes workers carry out orders late, without an answer.
func (f *faults) delayOrders(random *rand.Rand) {
	by := delaying{between2(random, 0.05, 0.4), 2 * time.Second, 10 * time.Second}
	length := between(random, 300*time.Millisecond, 3*time.Second)
	end := f.begin(fault{kind: "late-orders", text: fmt.Sprintf("workers carry out %.2f of the orders 2 to 12 s late, for %v", by.share, length)})
	f.rig.setLateness(by)
	time.Sleep(length)
	f.rig.setLateness(delaying{})
	time.AfterFunc(by.least+by.spread, end)
}

func (r *rig) setLateness(by delaying) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateness = by
}

// pickWorkers returns one to three workers.
func (f *faults) pickWorkers(random *rand.Rand) []*mimic.Worker {
	all := f.rig.platform.Workers()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+random.IntN(3))]
}

func names(workers []*mimic.Worker) string {
	var all []string
	for _, w := range workers {
		all = append(all, w.ID)
	}
	return strings.Join(all, " ")
}

func (f *faults) silence(random *rand.Rand) {
	workers := f.pickWorkers(random)
	length := between(random, 300*time.Millisecond, 5*time.Second)
	defer f.begin(fault{kind: "silence", text: fmt.Sprintf("%s answer nothing for %v", names(workers), length)})()
	for _, w := range workers {
		w.Silence(true)
	}
	time.Sleep(length)
	for _, w := range workers {
		w.Silence(false)
	}
}

func (f *faults) hideEntries(random *rand.Rand) {
	workers := f.pickWorkers(random)
	length := between(random, 200*time.Millisecond, 3*time.Second)
	defer f.begin(fault{kind: "entries", text: fmt.Sprintf("entries of %s vanish for %v", names(workers), length)})()
	for _, w := range workers {
		w.Hide()
	}
	time.Sleep(length)
	for _, w := range workers {
		if slices.Contains(f.rig.platform.Workers(), w) {
			w.Show()
		}
	}
}

// crash crashes workers, which start again under their ids.
func (f *faults) crash(random *rand.Rand) {
	workers := f.pickWorkers(random)
	away := between(random, 100*time.Millisecond, 3*time.Second)
	defer f.begin(fault{kind: "crash", text: fmt.Sprintf("%s crash, started again after %v", names(workers), away)})()
	for _, w := range workers {
		w.Crash()
	}
	time.Sleep(away)
	for _, w := range workers {
		w.Restart()
	}
}

// crashAtStart crashes a worker that has just begun a task, most often one of a queue with
// advice. No task is there at two such crashes: that would show it as one that crashes its workers.
func (f *faults) crashAtStart(random *rand.Rand) {
	anyQueue := random.IntN(4) == 0
	delay, away := between(random, 0, 400*time.Millisecond), between(random, 100*time.Millisecond, 3*time.Second)
	for limit := time.Now().Add(2 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		w := f.justBegun(anyQueue)
		if w == nil {
			continue
		}
		time.Sleep(delay)
		if !f.mayCrash(w) {
			continue
		}
		defer f.begin(fault{kind: "crash-at-start", text: fmt.Sprintf("%s crashes %v after the start of a task, started again after %v", w.ID, delay, away)})()
		w.Crash()
		time.Sleep(away)
		w.Restart()
		return
	}
}

// justBegun returns a worker on which a task began a moment ago.
func (f *faults) justBegun(anyQueue bool) *mimic.Worker {
	for _, w := range f.rig.platform.Workers() {
		if slices.ContainsFunc(w.Running(), func(r mimic.Run) bool {
			return time.Since(r.Started) < 50*time.Millisecond && (anyQueue || strings.HasSuffix(r.Spec, advisedSpec))
		}) {
			return w
		}
	}
	return nil
}

// mayCrash reports whether a worker runs tasks of which none was at such a crash before, and
// remembers them.
func (f *faults) mayCrash(w *mimic.Worker) bool {
	runs := w.Running()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(runs) == 0 || slices.ContainsFunc(runs, func(r mimic.Run) bool { return f.crashed[r.Task] }) {
		return false
	}
	if f.crashed == nil {
		f.crashed = map[string]bool{}
	}
	for _, r := range runs {
		f.crashed[r.Task] = true
	}
	return true
}

func (f *faults) failAdvice(random *rand.Rand) {
	length := between(random, 300*time.Millisecond, 3*time.Second)
	defer f.begin(fault{kind: "advice", text: fmt.Sprintf("the advice service answers 503 for %v", length)})()
	f.rig.platform.FailAdvice(true)
	time.Sleep(length)
	f.rig.platform.FailAdvice(false)
}

// reborn crashes workers while an owner is frozen; they are back, under their ids, when it wakes.
func (f *faults) reborn(random *rand.Rand) {
	p := f.target(random)
	all := f.rig.platform.Workers()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:len(all)/3]
	frozen := between(random, 150*time.Millisecond, 2*time.Second)
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	defer f.begin(fault{kind: "reborn", text: fmt.Sprintf("SIGSTOP for %v, meanwhile %s crash and start again", frozen, names(all)), node: p.node})()
	p.signal(syscall.SIGSTOP)
	for _, w := range all {
		w.Crash()
	}
	time.Sleep(frozen)
	for _, w := range all {
		w.Restart()
	}
	p.signal(syscall.SIGCONT)
}

func (f *faults) cutPeers(random *rand.Rand) {
	p := f.target(random)
	other := f.rig.processes[random.IntN(len(f.rig.processes))]
	all := random.IntN(3) == 0
	_, links := f.rig.linksOf(p.node)
	links = slices.DeleteFunc(links, func(l *link) bool { return !all && l.from != other.node && l.to != other.node })
	d := fault{kind: "cut-peers", text: "cut from all processes", node: p.node}
	if !all {
		d.text, d.peer = "cut from "+other.node, other.node
	}
	f.cut(random, d, links)
}

func (f *faults) cutCallers(random *rand.Rand) {
	p := f.target(random)
	f.cut(random, fault{kind: "cut-callers", text: "cut from its callers", node: p.node}, []*link{p.callers})
}

func (f *faults) wave(random *rand.Rand) {
	f.mu.Lock()
	f.waves++
	number := f.waves
	f.mu.Unlock()
	hosts := f.rig.hosts()
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), 2+random.IntN(4))]
	defer f.begin(fault{kind: "wave", text: fmt.Sprintf("maintenance wave %d of %s", number, strings.Join(hosts, " ")), mild: true})()
	f.rig.platform.Wave(number, hosts, 20*time.Second, 2)
}

func (r *rig) hosts() []string {
	total := 0
	for _, n := range r.platform.Pools() {
		total += n
	}
	var all []string
	for i := range total {
		all = append(all, fmt.Sprintf("m-%d", i))
	}
	return all
}

func poolName(number int) string { return fmt.Sprintf("p%d", number) }

// configure writes a changed configuration. The last queue's jobs go to another pool if
// reroute is true.
func (f *faults) configure(random *rand.Rand, reroute bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reroute {
		f.moved = !f.moved
	} else {
		f.extra = !f.extra
		f.timeout = 3000 + random.IntN(2000)
	}
	f.version += 1 + random.Uint64N(5)
	defer f.begin(fault{kind: "config", text: fmt.Sprintf("configuration %d: rerouted %v, extra queue %v", f.version, f.moved, f.extra), mild: true})()
	f.rig.platform.Configure(f.configuration())
}

func (f *faults) configuration() string {
	var routes, services []string
	route := func(name, prefix, pool string, timeout, target int, advised bool) {
		advice, public := "", ""
		if isPublic(prefix) {
			public = `,"public":true`
		}
		if advised {
			advice = fmt.Sprintf(`,"advice":{"decision_ms":%d,"period_ms":%d,"validity_ms":%d}`,
				mimic.AdviceTime.Milliseconds(), mimic.AdviceWorkerTime.Milliseconds(), mimic.AdviceValidity.Milliseconds())
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"service":%q,"timeout_ms":%d,"target_duration_ms":%d,"priority":1,"max_attempts":3,"slack_factor":2%s}`,
			name, callersHost, prefix, pool, timeout, target, advice+public))
	}
	for i := range f.queues {
		pool := poolName(i)
		if i == f.queues-1 && f.moved {
			pool = poolName(i - 1)
		}
		route(fmt.Sprint("queue", i), queuePath(i), pool, f.timeout, 20_000, advised(i))
		services = append(services, fmt.Sprintf(`{"name":%q,"enforces_capacity":true}`, poolName(i)))
	}
	if f.extra {
		route("extra", "/extra/", poolName(0), f.timeout, 600, false)
	}
	if v := f.flapping; v.present {
		route("flapping", queuePath(flappingQueue), poolName(v.pool), v.timeout, 20_000, v.advised)
	}
	services = append(services, `{"name":"spare","standby":true}`)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"tenants":%s,"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		f.version, strings.Join(routes, ","), strings.Join(services, ","), f.rig.tenants())
}
