package place_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"pgregory.net/rapid"
)

// load is a number of jobs and the pool that they are for.
type load struct {
	workers       int // of 16 cores
	shedding      bool
	guess         float64 // standard deviation of the logarithms of declared run times
	organisations map[string]place.Organisation
	calls         []*call
	until         time.Duration    // when to stop, 0 for when all jobs have ended
	record        func(place.Step) // what the board records, if set

	refusals          map[*call]time.Duration // after which the callers were to come back last
	refusedBesideRoom int                     // workers that had room for a job that was refused
}

// call is a job as its caller sees it.
type call struct {
	at           time.Duration // since the start of the load
	organisation string
	width, steps int

	done     time.Duration // when its last task ended, 0 before
	due      time.Duration // until when it is on time
	tries    int
	left     int
	longest  time.Duration     // chain of tasks
	runTimes [][]time.Duration // by step and index
}

// draw draws the run times of the tasks.
func (c *call) draw(estimate time.Duration) {
	random := rand.New(rand.NewPCG(uint64(c.at), uint64(c.width)))
	for range c.steps {
		var runTimes []time.Duration
		for range c.width {
			runTimes = append(runTimes, time.Duration(float64(estimate)*(0.85+0.3*random.Float64())))
		}
		c.runTimes = append(c.runTimes, runTimes)
		c.longest += slices.Max(runTimes)
	}
}

// Times that a job takes beside the runs of its tasks.
const (
	startDelay  = 40 * time.Millisecond  // from an order until the task runs
	noticeDelay = 60 * time.Millisecond  // from its end until the owner knows it
	answerDelay = 100 * time.Millisecond // from the owner's knowing of the last end until the caller knows
	maxTries    = 4
)

// turn adds the jobs of an organisation, 8 tasks wide, at a rate a second.
func (l *load) turn(organisation string, from, until time.Duration, rate float64) {
	for at := from; at < until; at += time.Duration(float64(time.Second) / rate) {
		l.calls = append(l.calls, &call{at: at, organisation: organisation, width: 8, steps: 1 + len(l.calls)%5/2})
	}
}

// play runs the load, 10 ms after 10 ms.
func (l *load) play(t *testing.T) *testBoard {
	t.Helper()
	f := newTestBoard(0, 0)
	f.Record = l.record
	l.refusals = map[*call]time.Duration{}
	size := jobs.Resources{Millicores: 16_000, MemoryMB: 64_000}
	for i := range l.workers {
		f.SetWorker(place.Worker{Key: key(i), ID: key(i), Size: size})
	}
	f.SetOrganisations(l.organisations)
	f.SetShedding(l.shedding)
	sends, byID := map[time.Duration][]*call{}, map[jobs.ID]*call{}
	const tick = 10 * time.Millisecond
	for _, c := range l.calls {
		sends[c.at.Truncate(tick)] = append(sends[c.at.Truncate(tick)], c)
	}
	ends := map[time.Duration]map[string][]place.Ended{}
	for now := time.Duration(0); len(sends)+len(ends) > 0; now += tick {
		if now == l.until && now > 0 {
			break
		}
		f.now = start.Add(now)
		for _, worker := range slices.Sorted(maps.Keys(ends[now])) {
			ended := ends[now][worker]
			f.Listed(worker, f.without(worker, ended), ended, f.now, f.now)
			for _, end := range ended {
				if c := byID[end.Task.Job]; c.left == 1 {
					c.done = now + answerDelay
				} else {
					c.left--
				}
			}
		}
		delete(ends, now)
		for _, c := range sends[now] {
			l.send(f, c, now, sends, byID)
		}
		delete(sends, now)
		for _, s := range f.decide() {
			at := (now + startDelay + byID[s.Task.Job].runTimes[s.Task.Step][s.Task.Index] + noticeDelay).Truncate(tick)
			if ends[at] == nil {
				ends[at] = map[string][]place.Ended{}
			}
			ends[at][s.Worker] = append(ends[at][s.Worker], place.Ended{Task: s.Task, Attempt: s.Attempt, Outcome: jobs.Done})
		}
	}
	return f
}

// without returns a worker's listing of its attempts but for those that have ended.
func (f *testBoard) without(worker string, ended []place.Ended) []place.Running {
	var running []place.Running
	for _, a := range f.Attempts(worker) {
		gone := false
		for _, end := range ended {
			gone = gone || end.Task == a.Task
		}
		if !gone {
			running = append(running, place.Running{Task: a.Task, Attempt: a.Number})
		}
	}
	return running
}

func (l *load) send(f *testBoard, c *call, now time.Duration, sends map[time.Duration][]*call, byID map[jobs.ID]*call) {
	step := jobs.Step{Count: c.width, Size: jobs.Resources{Millicores: 1500, MemoryMB: 500}, Estimate: 800 * time.Millisecond}
	j := jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", slices.Index(l.calls, c)+1)), Queue: "q", Pool: "p", Submitted: f.now, Slack: 1.6, Target: 600 * time.Millisecond, Organisation: c.organisation}
	guess := rand.New(rand.NewPCG(uint64(c.at), 7))
	for i := range c.steps {
		if i > 0 {
			step.After = []int{i - 1}
		}
		declared := step
		declared.Estimate = time.Duration(float64(step.Estimate) * math.Exp(l.guess*guess.NormFloat64()))
		j.Steps = append(j.Steps, declared)
	}
	if c.tries++; c.tries == 1 {
		c.draw(step.Estimate)
		c.due = j.Objective(0, c.longest).Sub(start)
	}
	if refused, after := f.CannotFinishInTime(j, f.now); refused {
		l.refusals[c] = after
		for i := range l.workers {
			if len(f.Attempts(key(i))) < 16_000/step.Size.Millicores {
				l.refusedBesideRoom++
			}
		}
		if at := (now + after).Truncate(10 * time.Millisecond); c.tries < maxTries {
			sends[at] = append(sends[at], c)
		}
		return
	}
	c.left = c.width * c.steps
	byID[j.ID] = c
	f.add(j)
}

// inTime returns how many jobs that match are on time, and how many there are.
func (l *load) inTime(match func(*call) bool) (inTime, all int) {
	for _, c := range l.calls {
		if !match(c) {
			continue
		}
		all++
		if c.done > 0 && c.done <= c.due {
			inTime++
		}
	}
	return inTime, all
}

func anyCall(*call) bool { return true }

func of(organisation string) func(*call) bool {
	return func(c *call) bool { return c.organisation == organisation }
}

// A queue's turn asks five times its mean for some seconds, more than twice what its pool can do. In
// order of urgency nearly all jobs were late together, long after the turn as well.
func TestJobsInTimeInATurn(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		declared string
		guess    float64
	}{{"exactly", 0}, {"by guess", 0.9}} {
		counts := map[bool]int{}
		for _, shedding := range []bool{false, true} {
			l := load{workers: 40, shedding: shedding, guess: tt.guess}
			l.turn("", 0, 2*time.Second, 16)
			l.turn("", 2*time.Second, 12*time.Second, 80)
			l.turn("", 12*time.Second, 16*time.Second, 16)
			l.play(t)
			n, all := l.inTime(anyCall)
			counts[shedding] = n
			t.Logf("run times declared %s, shedding %v: %d of %d jobs in time", tt.declared, shedding, n, all)
			if l.refusedBesideRoom > 0 {
				t.Errorf("jobs were refused while %d workers had room for a task", l.refusedBesideRoom)
			}
		}
		if counts[true]*2 < counts[false]*3 {
			t.Errorf("run times declared %s: %d jobs in time, want half more than the %d in order of urgency", tt.declared, counts[true], counts[false])
		}
	}
}

// Callers of a pool that has fallen far behind are refused, and come back one after the other.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	t.Parallel()
	l := load{workers: 4, shedding: true}
	l.turn("", 0, 10*time.Second, 80)
	l.play(t)
	distinct := map[time.Duration]bool{}
	for _, after := range l.refusals {
		distinct[after] = true
		if after < time.Second || after > 10*time.Second {
			t.Fatalf("a refused caller is to come back after %v, want 1 s to 10 s", after)
		}
	}
	t.Logf("%d refusals", len(l.refusals))
	if len(l.refusals) < 100 || len(distinct)*10 < len(l.refusals)*9 {
		t.Errorf("%d refusals with %d different times, want 100 or more, nearly all different", len(l.refusals), len(distinct))
	}
	if l.refusedBesideRoom > 0 {
		t.Errorf("jobs were refused while %d workers had room for a task", l.refusedBesideRoom)
	}
}

// The demand of a refused job is counted once, however often its caller comes back.
func TestRefusalsDoNotCountAsDemand(t *testing.T) {
	f := newTestBoard(0, 1)
	f.SetShedding(true)
	for i := range 20 {
		f.add(newJob(byte(1+i), batch(8, 1000)))
	}
	f.decide()
	before := f.Load(f.now)
	refused := 0
	for range 50 {
		if no, _ := f.CannotFinishInTime(newJob(99, batch(8, 1000)), f.now); no {
			refused++
		}
	}
	after := f.Load(f.now)
	if refused != 50 || after.Rate != before.Rate || after.Density != before.Density || after.Wanted != before.Wanted {
		t.Errorf("%d refusals: demand %+v, before %+v", refused, after, before)
	}
}

// Organisations that all ask for more than their part of a full pool get room by their weights.
func TestSharesFollowWeights(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		l := load{workers: 10, shedding: true, until: 5 * time.Second, organisations: map[string]place.Organisation{}}
		for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(rt, "organisations")] {
			l.organisations[name] = place.Organisation{Weight: rapid.IntRange(20, 60).Draw(rt, "weight")}
			l.turn(name, time.Duration(rapid.IntRange(0, 500).Draw(rt, "from"))*time.Millisecond, 6*time.Second, 18)
		}
		usedShares := l.play(t).UsedShares()
		most := 0.0
		for _, used := range usedShares {
			most = max(most, used)
		}
		const second = 10 * 15_000.0 // what the pool does in a second, in millicore seconds
		for name, o := range l.organisations {
			if behind := (most - usedShares[name]) * float64(o.Weight); behind > second {
				rt.Fatalf("%s is behind its share by %v millicore seconds, want at most a second of the pool: %v by weights %v", name, behind, usedShares, l.organisations)
			}
		}
	})
}

// One organisation sends ten times its weight. Before, all organisations paid for it.
func TestOrganisationBeyondItsWeight(t *testing.T) {
	const weight = 8
	play := func(rate float64, shedding bool) *load {
		l := &load{workers: 40, shedding: shedding, organisations: map[string]place.Organisation{}}
		for _, name := range []string{"a", "b", "c", "d"} {
			l.organisations[name] = place.Organisation{Weight: weight}
		}
		l.turn("b", 0, 10*time.Second, 4)
		l.turn("c", 70*time.Millisecond, 10*time.Second, 3)
		l.turn("d", 130*time.Millisecond, 10*time.Second, 5)
		l.turn("a", 3*time.Second, 8*time.Second, rate)
		l.play(t)
		return l
	}
	calm, flood, without := play(weight, true), play(10*weight, true), play(10*weight, false)
	for _, name := range []string{"b", "c", "d"} {
		want, all := calm.inTime(of(name))
		have, _ := flood.inTime(of(name))
		before, _ := without.inTime(of(name))
		t.Logf("%s: of %d jobs %d in time, %d in calm, %d without shares", name, all, have, want, before)
		if have*100 < want*99 {
			t.Errorf("%s: %d of %d jobs in time beside the flood, want within 1%% of %d", name, have, all, want)
		}
		if before*10 > want*8 {
			t.Errorf("%s: %d jobs in time without shares, so that the load shows nothing", name, before)
		}
	}
	mine, _ := flood.inTime(of("a"))
	t.Logf("a: %d jobs in time", mine)
	if mine < 5*weight*9/10 {
		t.Errorf("a: %d jobs in time, want nearly the %d to which it is entitled", mine, 5*weight)
	}
}

// An organisation that has slept gets its share at once, though others have filled the pool.
func TestSleepingOrganisationReturns(t *testing.T) {
	t.Parallel()
	play := func(shedding bool) (early, all int) {
		l := load{workers: 40, shedding: shedding, organisations: map[string]place.Organisation{"busy": {Weight: 100}, "sleeper": {Weight: 100}}}
		l.turn("busy", 0, 10*time.Second, 60)
		l.turn("sleeper", 6*time.Second, 8*time.Second, 10)
		l.play(t)
		return l.inTime(of("sleeper"))
	}
	have, all := play(true)
	before, _ := play(false)
	t.Logf("%d of %d jobs in time, %d without shares", have, all, before)
	if have*10 < all*9 || before >= have {
		t.Errorf("%d of the sleeper's %d jobs in time (%d without shares), want nine tenths: they are a third of what the pool can do", have, all, before)
	}
}

// Jobs three times as wide as the others must not be starved: the largest tenth of a kind is served at least half
// as often as the whole.
func TestWideJobsAreServedInATurn(t *testing.T) {
	l := load{workers: 40, shedding: true}
	l.turn("", 0, 8*time.Second, 60)
	for i, c := range l.calls {
		if i%10 == 3 {
			c.width = 24
		}
	}
	l.play(t)
	wide, wides := l.inTime(func(c *call) bool { return c.width == 24 })
	n, all := l.inTime(anyCall)
	t.Logf("%d of %d wide jobs in time, %d of all %d", wide, wides, n, all)
	if wide*all*2 < n*wides {
		t.Errorf("%d of %d wide jobs in time, want half the share of all: %d of %d", wide, wides, n, all)
	}
}

// The less urgent queue of a pool stands by before the more urgent one.
func TestUrgentJobsGoFirstInAnOverload(t *testing.T) {
	f := newTestBoard(0, 4) // 16 cores
	f.SetShedding(true)
	for i := range 100 {
		j := newJob(byte(1+i), batch(4, 1000))
		j.Priority = i % 2
		f.add(j)
	}
	for range 20 {
		for _, s := range f.decide() {
			if j, _ := f.Job(s.Task.Job); j.Priority > 0 {
				t.Fatalf("%s of the less urgent queue was started before the others", s.Task)
			}
		}
		for i := range 4 {
			for _, a := range f.Attempts(key(i)) {
				f.endAttempt(place.StartOrder{Worker: a.Worker, Task: a.Task, Attempt: a.Number}, jobs.Done)
			}
		}
		if f.now.Sub(start) > time.Second {
			return // the rest is late
		}
	}
}

// In a turn a plan looks at each job, step, worker and organisation a few times.
func TestPlanCost(t *testing.T) {
	const workers, waiting, organisations = 350, 2000, 230
	f := newTestBoard(0, workers)
	f.SetShedding(true)
	weights := map[string]place.Organisation{}
	for i := range organisations {
		weights[fmt.Sprint(i)] = place.Organisation{Weight: 5}
	}
	f.SetOrganisations(weights)
	for i := range waiting {
		j := newJob(0, batch(8, 1000))
		j.ID, j.Organisation = jobs.ID(fmt.Sprintf("%016x", i+1)), fmt.Sprint(i%organisations)
		f.add(j)
	}
	f.decide()
	f.now = f.now.Add(time.Second / 2)
	before := f.Examined()
	f.decide()
	if f.Summary(f.now).Standby == 0 {
		t.Error("no job stands by, so that the load shows nothing")
	}
	if have, want := f.Examined()-before, uint64(8*(workers+waiting+organisations)); have > want {
		t.Errorf("%d looks, want at most %d", have, want)
	}
}

// A job that came while the pool was overloaded does not stand by once it has room, nor once
// nobody sheds any more.
func TestNothingStandsByWithRoom(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newTestBoard(0, 4)
		f.SetShedding(true)
		f.SetOrganisations(map[string]place.Organisation{"a": {Weight: 1000}, "b": {Weight: 1000}})
		for i := range 40 {
			j := newJob(byte(1+i), batch(4, 1000))
			j.Organisation = "a"
			f.add(j)
		}
		starts := f.decide()
		if f.Summary(f.now).Standby == 0 {
			t.Fatal("no job stands by, so that the load shows nothing")
		}
		for i := range 39 {
			f.Cancel(newJob(byte(2+i)).ID, f.now)
		}
		for _, s := range starts {
			f.endAttempt(s, jobs.Done)
		}
		f.now = f.now.Add(110 * time.Millisecond)
		f.decide()
		step := batch(1, 1000)
		step.Label = "none" // it waits beside room
		j := newJob(100, step)
		j.Organisation, j.Submitted = "a", f.now
		f.add(j)
		if off {
			f.SetShedding(false)
		}
		f.now = f.now.Add(110 * time.Millisecond)
		f.decide()
		if where := f.Where(j, f.now); where[0].Class != "on-time" {
			t.Errorf("shedding off %v: class %q, want on-time", off, where[0].Class)
		}
	}
}

// Jobs without an organisation do not keep all room of a full pool from those with one.
func TestJobsWithoutOrganisationShare(t *testing.T) {
	l := load{workers: 40, shedding: true, organisations: map[string]place.Organisation{"a": {Weight: 100}, "b": {Weight: 100}}}
	l.turn("", 0, 10*time.Second, 60)
	l.turn("a", 0, 10*time.Second, 4)
	l.turn("b", 0, 10*time.Second, 4)
	l.play(t)
	for _, name := range []string{"", "a", "b"} {
		in, all := l.inTime(of(name))
		t.Logf("%q: %d of %d in time", name, in, all)
	}
	in, all := l.inTime(of("a"))
	if in*10 < all*5 {
		t.Errorf("%d of %d jobs of an organisation with a small demand are in time", in, all)
	}
}
