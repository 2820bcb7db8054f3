package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// aheadLoad plays jobs on a board in virtual time. Run times are drawn around a mean, of which the
// declared one is a multiple.
type aheadLoad struct {
	*testBoard
	rng      *rand.Rand
	declared float64 // multiple of the actual mean
	progress bool    // workers list it
	number   int
	ends     map[jobs.Task]time.Time
	starts   map[jobs.Task]place.StartOrder
	added    map[jobs.ID]time.Time
	waits    map[string][]time.Duration // by the job's spec, until the last task's start
	left     map[jobs.ID]int
	used     time.Duration // core time of all starts
	kept     time.Duration
}

const (
	loadTick   = 10 * time.Millisecond
	listPeriod = 250 * time.Millisecond
)

// percent returns the progress of an attempt.
func (l *aheadLoad) percent(a *place.Attempt) int {
	if !l.progress {
		return 0
	}
	whole := l.ends[a.Task].Sub(a.OrderedAt)
	return int(100 * l.now.Sub(a.OrderedAt) / max(1, whole))
}

func newAheadLoad(workers int, on bool, declared float64, seed uint64) *aheadLoad {
	l := &aheadLoad{
		testBoard: newTestBoard(0, workers), rng: rand.New(rand.NewPCG(seed, 2)), declared: declared,
		ends: map[jobs.Task]time.Time{}, starts: map[jobs.Task]place.StartOrder{}, added: map[jobs.ID]time.Time{}, waits: map[string][]time.Duration{}, left: map[jobs.ID]int{},
	}
	l.SetLookAhead(on)
	return l
}

// submit adds a job with a step of tasks that run for a second in the mean.
func (l *aheadLoad) submit(spec string, tasks, millicores int) jobs.Job {
	l.number++
	step := batch(tasks, millicores)
	step.Estimate = time.Duration(l.declared * float64(time.Second))
	j := newJob(0, step)
	j.ID, j.Spec, j.Submitted = jobs.ID(fmt.Sprintf("%016x", l.number)), spec, l.now
	j.Slack, j.Target = 0, 2200*time.Millisecond // whatever run time is declared
	l.add(j)
	l.added[j.ID], l.left[j.ID] = l.now, tasks
	return j
}

// tick ends what is due, decides, and starts what was ordered.
func (l *aheadLoad) tick() {
	l.now = l.now.Add(loadTick)
	ended := map[string][]place.Ended{}
	if l.progress && l.now.Sub(start)%listPeriod == 0 {
		for i := range l.workers {
			ended[key(i)] = nil
		}
	}
	for t, at := range l.ends {
		if !at.After(l.now) {
			s := l.starts[t]
			ended[s.Worker] = append(ended[s.Worker], place.Ended{Task: t, Attempt: s.Attempt, Outcome: jobs.Done})
			delete(l.ends, t)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(ended)) {
		ends := ended[key]
		if l.Idle(key) {
			continue // its lifetime has ended
		}
		slices.SortFunc(ends, func(x, y place.Ended) int { return cmpTask(x.Task, y.Task) })
		var running []place.Running
		for _, a := range l.Attempts(key) {
			if !slices.ContainsFunc(ends, func(e place.Ended) bool { return e.Task == a.Task }) {
				running = append(running, place.Running{Task: a.Task, Attempt: a.Number, Percent: l.percent(a)})
			}
		}
		l.Listed(key, running, ends, l.now.Add(-time.Millisecond), l.now)
	}
	l.place()
}

// place decides, starts what was ordered, and returns how much that is.
func (l *aheadLoad) place() int {
	starts := l.decide()
	l.run(starts)
	l.kept += l.TakeReservations().Kept
	return len(starts)
}

// run lets started tasks run.
func (l *aheadLoad) run(starts []place.StartOrder) {
	for _, s := range starts {
		l.starts[s.Task] = s
		runTime := time.Duration((0.5 + l.rng.Float64()) * float64(time.Second))
		l.ends[s.Task] = l.now.Add(runTime)
		j, _ := l.Job(s.Task.Job)
		l.used += runTime * time.Duration(j.Steps[0].Size.Millicores) / 1000
		if l.left[s.Task.Job]--; l.left[s.Task.Job] == 0 {
			l.waits[s.Spec] = append(l.waits[s.Spec], l.now.Sub(l.added[s.Task.Job]))
		}
	}
}

func cmpTask(x, y jobs.Task) int {
	if x.String() < y.String() {
		return -1
	}
	return 1
}

func p95(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return -1
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// loadResult is the outcome of playing a load with several seeds.
type loadResult struct {
	large, small time.Duration // p95 of the waits
	unstarted    int           // large jobs
	kept         float64       // share of the core time in use
}

// playLoad submits small tasks of a core without end, and now and then a large one.
func playLoad(on, progress bool, declared, load float64, large int) loadResult {
	const (
		workers, ticks = 32, 1650
		cores          = 4 * workers
		every, seeds   = 300, 8
	)
	var result loadResult
	var largeWaits, smallWaits []time.Duration
	kept, used := time.Duration(0), time.Duration(0)
	for seed := range uint64(seeds) {
		l := newAheadLoad(workers, on, declared, seed)
		l.progress = progress
		owed := 0.0
		for i := range ticks {
			for owed += load * cores * loadTick.Seconds(); owed >= 1; owed-- {
				l.submit("small", 1, 1000)
			}
			if i%every == every/2 && i < ticks-every/2 { // all have time to start
				l.submit("large", 1, large)
				result.unstarted++
			}
			l.tick()
		}
		largeWaits, smallWaits = append(largeWaits, l.waits["large"]...), append(smallWaits, l.waits["small"]...)
		kept, used = kept+l.kept, used+l.used
	}
	result.large, result.small = p95(largeWaits), p95(smallWaits)
	result.unstarted -= len(largeWaits)
	result.kept = kept.Seconds() / used.Seconds()
	return result
}

// Load: small tasks without end, slightly more than the pool can run, beside large ones that fill
// a worker or most of one. Declared run times are right, ten times too short or ten times too long, and
// workers list progress or not. Guards against large tasks that starve and against small ones that pay
// for it.
func TestLargeTasksBesideSmallOnesWithoutEnd(t *testing.T) {
	t.Parallel()
	const (
		bound     = 1500 * time.Millisecond // the longest run of a small task: a worker is empty by then
		gain      = 0.5                     // of the large tasks' wait, as workers list progress
		smallLoss = 1.1
		keptBound = 0.03
	)
	for _, large := range []int{3000, 4000} {
		off := playLoad(false, true, 1, 1.05, large)
		for _, tt := range []struct {
			declared float64
			progress bool
		}{{1, true}, {1, false}, {0.1, true}, {0.1, false}, {10, true}, {10, false}} {
			t.Run(fmt.Sprintf("%d/declared %v times/progress %v", large, tt.declared, tt.progress), func(t *testing.T) {
				on := playLoad(true, tt.progress, tt.declared, 1.05, large)
				t.Logf("without look-ahead %+v, with %+v", off, on)
				if on.unstarted > 0 || on.large > bound || on.large > off.large || tt.progress && float64(on.large) > gain*float64(off.large) {
					t.Errorf("large tasks wait %v (%d unstarted), want at most %v and %v times %v", on.large, on.unstarted, bound, gain, off.large)
				}
				if float64(on.small) > smallLoss*float64(off.small) {
					t.Errorf("small tasks wait %v, want at most %v times %v", on.small, smallLoss, off.small)
				}
				if on.kept > keptBound {
					t.Errorf("%.3f of the core time in use was kept free, want at most %v", on.kept, keptBound)
				}
			})
		}
	}
}
