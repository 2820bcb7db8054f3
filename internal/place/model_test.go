package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// These tests simulate the protocol between owners and workers with random faults:
// orders arrive late, twice or after their owner was replaced, answers are lost,
// workers crash or are partitioned while their tasks run on, owners are replaced at
// any time, and stored progress lags behind. They check the guarantees to callers:
// no task runs twice at the same time, is started after its success was
// acknowledged, or is started again after its last allowed failure.

const (
	modelLease   = 4 * time.Second
	modelWorkers = 3
)

// modelEnd is an ended attempt that a worker lists until it is acknowledged.
type modelEnd struct {
	number  uint64
	end     place.Ended
	expired bool // the lease expired before the end was acknowledged
}

// modelWorker is a simulated worker.
type modelWorker struct {
	generation   int // lifetime number
	partitioned  bool
	token        int // highest fencing token seen
	leaseUntil   time.Time
	running      map[jobs.Task]int
	highestEnded map[jobs.Task]int // highest attempt that ended or was stopped
	ends         []modelEnd
	lastEnd      uint64 // number of the newest end
}

// message is an order in flight, or a request for a listing.
type message struct {
	owner *modelOwner
	key   string
	start *place.StartOrder
	stop  *place.StopOrder
	until time.Time
	ack   uint64
	sent  time.Time
	room  jobs.Resources // capacity of the worker that the owner knew
}

// modelOwner is one ownership of the pool.
type modelOwner struct {
	*testBoard
	token       int
	appliedEnds map[string]uint64    // newest end applied, by worker lifetime
	durableEnds map[string]uint64    // newest end whose effect is stored
	leaseEnds   map[string]time.Time // latest lease expiry, by worker lifetime
	heard       map[string]bool      // whether the lifetime has answered
	unheard     map[string]bool      // workers used by earlier owners that have not answered
}

// simulation is the state of the simulated pool.
type simulation struct {
	t             *rapid.T
	now           time.Time
	workers       []*modelWorker
	owner         *modelOwner
	token         int
	messages      []message
	job           jobs.Job
	other         jobs.Job // has the same steps, and may be cancelled
	stored        map[jobs.ID][]byte
	capacities    []jobs.Resources // of the workers
	usedWorkers   map[string]bool
	lookAhead     bool
	doneAcked     map[jobs.Task]bool
	failuresAcked map[jobs.Task]int
}

func (w *simulation) key(i int) string { return fmt.Sprintf("w%d@%d", i, w.workers[i].generation) }

func newSimulation(t *rapid.T, copies bool, size int) *simulation {
	w := &simulation{t: t, now: start, stored: map[jobs.ID][]byte{}, usedWorkers: map[string]bool{}, doneAcked: map[jobs.Task]bool{}, failuresAcked: map[jobs.Task]int{}}
	for range modelWorkers {
		w.workers = append(w.workers, &modelWorker{running: map[jobs.Task]int{}, highestEnded: map[jobs.Task]int{}})
		w.capacities = append(w.capacities, worker(0).Size)
	}
	second := batch(1, size)
	second.After = []int{0}
	w.job = newJob(1, batch(3, size), second)
	for i := range w.job.Steps {
		w.job.Steps[i].Speculative = copies
	}
	w.other = newJob(2, w.job.Steps...)
	w.lookAhead = rapid.Bool().Draw(t, "look-ahead")
	w.replaceOwner()
	return w
}

// replaceOwner starts a new owner from the stored progress.
func (w *simulation) replaceOwner() {
	w.token++
	f := &testBoard{Board: place.NewBoard(place.DefaultPolicy(), (w.token-1)*1000), now: w.now}
	f.SetLookAhead(w.lookAhead)
	o := &modelOwner{
		testBoard: f, token: w.token, appliedEnds: map[string]uint64{}, durableEnds: map[string]uint64{},
		leaseEnds: map[string]time.Time{}, heard: map[string]bool{}, unheard: maps.Clone(w.usedWorkers),
	}
	for _, j := range []jobs.Job{w.job, w.other} {
		p := jobs.NewProgress(j)
		if data := w.stored[j.ID]; data != nil {
			var err error
			if p, err = jobs.DecodeProgress(j, data); err != nil {
				w.t.Fatal(err)
			}
		}
		f.Add(j, p, w.now)
	}
	w.owner = o
	o.SetUnconfirmedUntil(w.now.Add(modelLease))
	for i := range w.workers {
		w.discover(i)
	}
}

// discover tells the owner about the current lifetime of a worker.
func (w *simulation) discover(i int) {
	k := w.key(i)
	if _, known := w.owner.heard[k]; known {
		return
	}
	w.owner.heard[k] = false
	for old := range w.owner.heard {
		if old != k && old[:2] == k[:2] {
			w.owner.WorkerCrashed(old, w.now)
			w.owner.RemoveWorker(old, w.now) // replaced by a later lifetime
			delete(w.owner.unheard, old)
		}
	}
	pw := worker(i)
	pw.Key, pw.Size, pw.Silent = k, w.capacities[i], true
	w.owner.SetWorker(pw)
	w.poll(i)
}

func (w *simulation) poll(i int) {
	k := w.key(i)
	until := time.Time{}
	if w.owner.heard[k] {
		until = w.now.Add(modelLease)
		w.owner.leaseEnds[k] = until
	}
	w.messages = append(w.messages, message{owner: w.owner, key: k, until: until, ack: w.owner.durableEnds[k], sent: w.now})
}

// decide expires leases and sends the orders that the owner decides.
func (w *simulation) decide() {
	o := w.owner
	o.now = w.now
	for k := range o.heard {
		if !o.leaseEnds[k].IsZero() && w.now.After(o.leaseEnds[k]) {
			o.SetSilent(k, true)
			o.SuspectCrash(k, time.Time{}, time.Time{}, w.now)
			o.ExpireLeases(k, w.now)
		}
	}
	w.checkPending()
	orders := o.Decide(w.now)
	w.checkPending()
	for _, s := range orders.Starts {
		if w.doneAcked[s.Task] {
			w.t.Fatalf("%s attempt %d ordered after it was done", s.Task, s.Attempt)
		}
		if w.failuresAcked[s.Task] >= w.job.Attempts() {
			w.t.Fatalf("%s attempt %d ordered after %d failures", s.Task, s.Attempt, w.failuresAcked[s.Task])
		}
		w.usedWorkers[s.Worker] = true
		until := w.now.Add(modelLease)
		o.leaseEnds[s.Worker] = until
		w.messages = append(w.messages, message{owner: o, key: s.Worker, start: &s, until: until, sent: w.now, room: w.capacities[s.Worker[1]-'0']})
	}
	for _, s := range orders.Stops {
		w.messages = append(w.messages, message{owner: o, key: s.Worker, stop: &s, sent: w.now})
	}
}

// checkPending fails if the owner's board has lost track of what it must look at.
func (w *simulation) checkPending() {
	if err := w.owner.CheckPending(); err != nil {
		w.t.Fatal(err)
	}
}

// deliver applies a message at its worker; the answer may be lost.
func (w *simulation) deliver(n int, answered bool) {
	m := w.messages[n]
	w.messages = slices.Delete(w.messages, n, n+1)
	i := slices.IndexFunc([]int{0, 1, 2}, func(i int) bool { return w.key(i) == m.key })
	if i < 0 { // that lifetime has ended
		if m.start != nil && m.owner == w.owner {
			w.owner.Refused(m.key, m.start.Task, m.start.Attempt, w.now)
		}
		return
	}
	mw := w.workers[i]
	if mw.partitioned && m.sent.Before(w.now) && !answered {
		w.loseAnswer(m)
		return
	}
	fenced := m.owner.token < mw.token
	if !fenced {
		mw.token = m.owner.token
		if m.until.After(mw.leaseUntil) {
			mw.leaseUntil = m.until
		}
		w.apply(i, m)
	}
	if !answered || mw.partitioned || m.owner != w.owner {
		w.loseAnswer(m)
		return
	}
	w.answer(i, mw, m)
}

func (w *simulation) apply(i int, m message) {
	mw := w.workers[i]
	switch {
	case m.start != nil:
		t, n := m.start.Task, m.start.Attempt
		if mw.running[t] == n || n <= mw.highestEnded[t] || mw.running[t] != 0 || m.until.Before(w.now) {
			return
		}
		copies := w.job.Steps[t.Step].Speculative
		for j, other := range w.workers {
			if other.running[t] != 0 && !copies {
				w.t.Fatalf("%s attempt %d started while %d runs on worker %d", t, n, other.running[t], j)
			}
		}
		if w.doneAcked[t] && !copies { // the order of a copy may arrive late
			w.t.Fatalf("%s attempt %d started after it was done", t, n)
		}
		if !copies && w.failuresAcked[t] >= w.job.Attempts() {
			w.t.Fatalf("%s attempt %d started after %d failures", t, n, w.failuresAcked[t])
		}
		mw.running[t] = n
		if used := w.used(mw); m.room == w.capacities[i] && !used.Fits(m.room) {
			w.t.Fatalf("%s attempt %d on worker %d: %+v in use, capacity %+v", t, n, i, used, m.room)
		}
	case m.stop != nil:
		t, n := m.stop.Task, m.stop.Attempt
		mw.highestEnded[t] = max(mw.highestEnded[t], n)
		if mw.running[t] == n {
			w.finish(mw, t, jobs.Stopped)
		}
	default:
		mw.ends = slices.DeleteFunc(mw.ends, func(e modelEnd) bool {
			if e.number > m.ack {
				return false
			}
			switch {
			case e.expired:
			case e.end.Outcome == jobs.Done:
				w.doneAcked[e.end.Task] = true
			case e.end.Outcome == jobs.Failed:
				w.failuresAcked[e.end.Task]++
			}
			return true
		})
	}
}

// used returns what the tasks on a worker claim.
func (w *simulation) used(mw *modelWorker) jobs.Resources {
	var used jobs.Resources
	for t := range mw.running {
		used = used.Add(w.job.Steps[t.Step].Claim())
	}
	return used
}

// resize changes the capacity of a worker, which the owner learns at once.
func (w *simulation) resize(i, millicores int) {
	w.capacities[i].Millicores = millicores
	pw := worker(i)
	pw.Key, pw.Size, pw.Silent = w.key(i), w.capacities[i], true // until it answers
	w.owner.SetWorker(pw)
}

func (w *simulation) finish(mw *modelWorker, t jobs.Task, how jobs.Outcome) {
	mw.lastEnd++
	mw.ends = append(mw.ends, modelEnd{number: mw.lastEnd, end: place.Ended{Task: t, Attempt: mw.running[t], Outcome: how}})
	mw.highestEnded[t] = max(mw.highestEnded[t], mw.running[t])
	delete(mw.running, t)
}

// loseAnswer tells the owner that a message got no answer.
func (w *simulation) loseAnswer(m message) {
	if m.owner != w.owner {
		return
	}
	switch {
	case m.start != nil:
		w.owner.StartUnanswered(m.key, m.start.Task, m.start.Attempt)
	case m.stop != nil:
		w.owner.StopFailed(m.key, m.stop.Task, m.stop.Attempt)
	default:
		w.owner.SetSilent(m.key, true)
	}
}

// answer tells the owner the result of an order, or the listing.
func (w *simulation) answer(i int, mw *modelWorker, m message) {
	o := w.owner
	switch {
	case m.start != nil && mw.running[m.start.Task] == m.start.Attempt:
		o.Started(m.key, m.start.Task, m.start.Attempt, w.now)
	case m.start != nil && mw.highestEnded[m.start.Task] >= m.start.Attempt:
		o.StartUnanswered(m.key, m.start.Task, m.start.Attempt) // it has already ended; the listing has the outcome
	case m.start != nil:
		o.Refused(m.key, m.start.Task, m.start.Attempt, w.now)
	case m.stop != nil:
		o.StopAnswered(m.key, m.stop.Task, m.stop.Attempt, w.now)
	default:
		var running []place.Running
		for t, n := range mw.running {
			running = append(running, place.Running{Task: t, Attempt: n, Percent: int(w.now.Sub(start) / time.Millisecond)})
		}
		var ended []place.Ended
		for _, e := range mw.ends {
			if e.number > o.appliedEnds[m.key] {
				ended = append(ended, e.end)
				o.appliedEnds[m.key] = e.number
			}
		}
		o.heard[m.key] = true
		delete(o.unheard, m.key)
		if len(o.unheard) == 0 {
			o.SetUnconfirmedUntil(time.Time{})
		}
		pw := worker(i)
		pw.Key, pw.Size = m.key, w.capacities[i]
		o.SetWorker(pw)
		for _, s := range o.Listed(m.key, running, ended, m.sent, w.now) {
			w.messages = append(w.messages, message{owner: o, key: s.Worker, stop: &s, sent: w.now})
		}
	}
}

// store stores the owner's progress.
func (w *simulation) store() {
	o := w.owner
	ids, _ := o.Dirty()
	for _, id := range ids {
		data, state, err := o.EncodeProgress(id)
		if err != nil {
			w.t.Fatal(err)
		}
		w.stored[id] = data
		o.Written(id, state)
	}
	for k, n := range o.appliedEnds {
		o.durableEnds[k] = n
	}
}

func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, mw := range w.workers {
		if w.now.Before(mw.leaseUntil) {
			continue
		}
		for t := range maps.Clone(mw.running) {
			w.finish(mw, t, jobs.Lapsed)
		}
		for i := range mw.ends {
			mw.ends[i].expired = true
		}
	}
}

// maxMessageDelay is how long a message may be in flight.
const maxMessageDelay = 12 * time.Second

// round advances the time, in which the owner polls all workers, decides and
// gives its orders, of which some get lost, unanswered or late.
func (w *simulation) round(draw func(n int, what string) int) {
	w.advance(time.Duration(1+draw(400, "ms")) * time.Millisecond)
	for i := range w.workers {
		w.poll(i)
	}
	w.decide()
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return w.now.Sub(m.sent) > maxMessageDelay })
	w.advance(time.Millisecond)
	for n := 0; n < len(w.messages); {
		switch draw(10, "fate") {
		case 0:
			n++ // delivered later
		case 1:
			w.loseAnswer(w.messages[n]) // the message may still arrive
			n++
		case 2:
			w.deliver(n, false)
		default:
			w.deliver(n, true)
		}
	}
}

func TestRandomFaults(t *testing.T) { runRandomFaults(t, false, 1000) }

// With copies, attempts of a task may run in parallel, but none is ordered after a
// success was acknowledged, nor after the last allowed failure.
func TestRandomFaultsWithCopies(t *testing.T) { runRandomFaults(t, true, 1000) }

// Guards against starts beyond a worker's capacity, which may change while tasks run: of
// two tasks on one worker, not even one that is being stopped may be forgotten.
func TestRandomFaultsWithinCapacity(t *testing.T) { runRandomFaults(t, false, 2500) }

// As before, with copies: those of a task that is done are being stopped.
func TestRandomFaultsWithCopiesWithinCapacity(t *testing.T) { runRandomFaults(t, true, 2500) }

func runRandomFaults(t *testing.T, copies bool, size int) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, copies, size)
		pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		end := func(*rapid.T) {
			mw := w.workers[pick(modelWorkers, "worker")]
			tasks := slices.SortedFunc(maps.Keys(mw.running), func(x, y jobs.Task) int { return x.Index - y.Index })
			if len(tasks) > 0 {
				how := jobs.Done
				if pick(3, "fails") == 0 {
					how = jobs.Failed
				}
				w.finish(mw, tasks[pick(len(tasks), "task")], how)
			}
		}
		turn := func(*rapid.T) { w.round(pick) }
		store := func(*rapid.T) { w.store() }
		t.Repeat(map[string]func(*rapid.T){
			"turn": turn, "turn 2": turn, "turn 3": turn, "turn 4": turn, "turn 5": turn,
			"end": end, "end 2": end, "store": store, "store 2": store,
			"pass":    func(*rapid.T) { w.advance(time.Duration(1+pick(5000, "ms")) * time.Millisecond) },
			"replace": func(*rapid.T) { w.replaceOwner() },
			"cut":     func(*rapid.T) { mw := w.workers[pick(modelWorkers, "worker")]; mw.partitioned = !mw.partitioned },
			"cancel":  func(*rapid.T) { w.owner.Cancel(w.other.ID, w.now) },
			"resize": func(*rapid.T) {
				w.resize(pick(modelWorkers, "worker"), []int{0, 1000, 2500, 4000, 5000}[pick(5, "capacity")])
			},
			"crash": func(*rapid.T) {
				i := pick(modelWorkers, "worker")
				born := w.workers[i].generation + 1
				w.workers[i] = &modelWorker{generation: born, running: map[jobs.Task]int{}, highestEnded: map[jobs.Task]int{}}
				w.discover(i)
			},
		})
	})
}
