package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// call is a job from the caller's side, from its first submission to its end.
type call struct {
	job          jobs.Job
	queue        Queue
	at           time.Duration // of its first submission, since the start of the load
	sent         time.Time     // first submission
	runTimes     [][]runTime   // of each task of each step
	criticalPath time.Duration // longest run time of the steps in sequence, on healthy workers
	work         float64       // millicore seconds
	saves        bool
	poison       bool
	tries        int

	accepted   bool
	acceptedBy int  // token of the owner
	willCancel bool // its caller will cancel it
	cancelled  bool
	state      jobs.State // final state as shown to the caller, empty until then
	done       time.Time

	dueSeconds, servedSeconds float64 // task seconds of a lasting job
}

// runTime is how long a task runs on a healthy worker.
type runTime time.Duration

const (
	tries             = 5                // submissions of one job
	maxLateObjectives = 3                // multiple of its objective after which a job is worth nothing
	maxWorthFactor    = 4                // highest worth of a job, relative to one of mean size
	taskSpread        = 0.15             // spread of run times among the tasks of a step
	maxDrawFactor     = 24               // highest drawn value, as a multiple of the mean
	loadSeedBase      = 0x9e3779b97f4a7c // separates random numbers of the load from those of the simulation
)

// load draws all jobs of a scenario, which depend only on the scenario and the seed.
func (w *simulation) load(s *Scenario) {
	for i, q := range s.Queues {
		random := rand.New(rand.NewPCG(w.result.Seed, loadSeedBase+uint64(i)))
		if q.Lasting > 0 {
			for n := range q.Lasting {
				w.plan(newCall(random, q, i, n), -s.Fleet.Lead/2)
			}
			continue
		}
		n := 0
		for t := time.Duration(0); t < s.Fleet.Length; {
			rate := s.rate(q, t)
			if rate <= 0 {
				t += sampleInterval
				continue
			}
			// The rate is taken as constant within each short step.
			gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if gap > sampleInterval {
				t += sampleInterval
				continue
			}
			t += gap
			c := newCall(random, q, i, n)
			if f, on := s.active(Poison, q.Name, t); on && random.Float64() < f.Share {
				c.poison = true
			}
			n++
			w.plan(c, t)
		}
	}
}

// plan schedules the first submission of a job, at a time since the start of the load.
func (w *simulation) plan(c *call, at time.Duration) {
	c.at = at
	w.allCalls = append(w.allCalls, c)
	w.at(epoch.Add(at), func() { w.send(c) })
}

// newCall draws a job of a queue.
func newCall(random *rand.Rand, q Queue, queue, number int) *call {
	c := &call{queue: q, saves: random.Float64() < q.Checkpoint, willCancel: random.Float64() < q.Cancelled}
	bounded := func(mean float64) float64 { return min(logNormal(random, mean, q.Spread), maxDrawFactor*mean) }
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%08x%08x", queue, number)), Queue: q.Name, Pool: q.Pool,
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, Slack: q.Slack, Target: q.Target, Advised: q.Advice,
	}
	steps := max(1, int(math.Round(bounded(q.Steps))))
	for i := range steps {
		base := time.Duration(bounded(float64(q.RunTime)))
		step := jobs.Step{
			Count: max(1, int(math.Round(bounded(q.Tasks)))),
			Size: jobs.Resources{
				Millicores: max(100, int(bounded(q.Millicores))), MemoryMB: int(bounded(q.MemoryMB)),
			},
			Estimate:    time.Duration(logNormal(random, float64(base), q.Error)).Truncate(time.Millisecond),
			Checkpoints: c.saves, LongRunning: q.Lasting > 0, MaxUnavailable: 0,
		}
		if step.LongRunning {
			step.MaxUnavailable, step.MaxPerWorker = q.MaxUnavailable, q.MaxPerWorker
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		longest := time.Duration(0)
		var runTimes []runTime
		for range step.Count {
			d := time.Duration(logNormal(random, float64(base), taskSpread))
			runTimes = append(runTimes, runTime(d))
			longest = max(longest, d)
			c.work += float64(float64(step.Size.Millicores) * d.Seconds())
		}
		c.runTimes = append(c.runTimes, runTimes)
		c.criticalPath += longest
		j.Steps = append(j.Steps, step)
	}
	c.job = j
	return c
}

// run returns the attempt for a start order.
func (c *call) run(s place.StartOrder) *run {
	step := &c.job.Steps[s.Task.Step]
	return &run{
		task: s.Task, number: s.Attempt, size: step.Claim(), duration: time.Duration(c.runTimes[s.Task.Step][s.Task.Index]),
		fails: c.poison && s.Task.Index == 0, lasting: step.LongRunning, saves: c.saves, done: restoredShare(s.Checkpoint),
	}
}

// send submits a job to the owner of its pool.
func (w *simulation) send(c *call) {
	if c.tries == 0 {
		c.sent = w.now
		c.job.Submitted = w.now
		w.calls[c.job.ID] = c
		if c.willCancel {
			w.after(c.criticalPath/2, func() { w.cancel(c) })
		}
	}
	c.tries++
	o := w.pools[c.queue.Pool]
	w.after(w.scenario.Fleet.Hop, func() {
		if _, dropped := w.scenario.active(RouteDropped, c.queue.Name, w.since()); dropped || w.storeDown() {
			c.refused(w, time.Second)
			return
		}
		if o.ended {
			c.refused(w, claimTime)
			return
		}
		if hopeless, after := o.board.CannotFinishInTime(c.job, w.now); hopeless {
			c.refused(w, after)
			return
		}
		o.queue = append(o.queue, c)
		o.commitSoon()
	})
}

// refused counts a refusal and resubmits the job later, unless its tries are used up.
func (c *call) refused(w *simulation, after time.Duration) {
	w.result.Refusals++
	if c.tries < tries {
		w.after(after, func() { w.send(c) })
	}
}

func (w *simulation) cancel(c *call) {
	c.cancelled = true
	if c.accepted && w.pools[c.queue.Pool].board.Cancel(c.job.ID, w.now) {
		w.pools[c.queue.Pool].decideSoon()
	}
}

// cancelShare cancels a share of the unfinished jobs.
func (w *simulation) cancelShare(f Fault) {
	for _, q := range w.scenario.Queues {
		if f.Queue != "" && f.Queue != q.Name || q.Lasting > 0 {
			continue
		}
		for _, c := range w.callsOf(q.Name) {
			if c.state == "" && w.random.Float64() < f.Share {
				w.cancel(c)
			}
		}
	}
}

// ended records that the caller has seen the final state of its job.
func (c *call) ended(w *simulation, s jobs.State) {
	if c.state == "" {
		c.state, c.done = s, w.now
	}
}

// sample adds the due and the served task seconds of a lasting job.
func (c *call) sample(working int, d time.Duration) {
	if c.cancelled {
		return
	}
	c.dueSeconds += float64(float64(c.job.Steps[0].Count) * d.Seconds())
	c.servedSeconds += float64(float64(min(working, c.job.Steps[0].Count)) * d.Seconds())
}

// objective returns the longest time in which the job is on time.
func (c *call) objective() time.Duration {
	return time.Duration(c.queue.Slack*float64(c.criticalPath)) + c.queue.Target
}
