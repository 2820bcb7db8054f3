package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// call is one job of a caller, from its first send to its end.
type call struct {
	job    jobs.Job
	queue  Queue
	at     time.Duration // of its first send, after that of the first job
	sent   time.Time     // first
	took   [][]runTime   // of each task of each step
	chain  time.Duration // longest, on sound workers
	work   float64       // millicore seconds
	saves  bool
	poison bool
	tries  int

	accepted  bool
	cancels   bool // its caller is going to cancel it
	cancelled bool
	state     jobs.State // as its caller was shown it, empty while it goes on
	done      time.Time

	wanted, atWork float64 // task seconds of a lasting job
}

// runTime is how long a task runs on a sound worker.
type runTime time.Duration

const (
	tries     = 5                // sends of one job
	lateAfter = 3                // objectives, after which a job is worth nothing
	maxScale  = 4                // a job is worth at most so many times one of mean size
	uneven    = 0.15             // spread of the run times of one step's tasks
	hardest   = 24               // times the mean of anything
	seedLoad  = 0x9e3779b97f4a7c // separates the dice of the load from those of the world
)

// load draws all jobs of a scenario. They depend on the seed alone.
func (w *world) load(s *Scenario) {
	for i, q := range s.Queues {
		dice := rand.New(rand.NewPCG(w.result.Seed, seedLoad+uint64(i)))
		if q.Lasting > 0 {
			for n := range q.Lasting {
				w.plan(newCall(dice, q, i, n), -s.Fleet.Lead/2)
			}
			continue
		}
		n := 0
		for t := time.Duration(0); t < s.Fleet.Length; {
			rate := s.rate(q, t)
			if rate <= 0 {
				t += sampleTime
				continue
			}
			// Thinning by short steps: the rate is taken as steady within one.
			gap := time.Duration(dice.ExpFloat64() / rate * float64(time.Second))
			if gap > sampleTime {
				t += sampleTime
				continue
			}
			t += gap
			c := newCall(dice, q, i, n)
			if f, on := s.active(Poison, q.Name, t); on && dice.Float64() < f.Share {
				c.poison = true
			}
			n++
			w.plan(c, t)
		}
	}
}

// plan makes a job come at a time after the first one.
func (w *world) plan(c *call, at time.Duration) {
	c.at = at
	w.drawn = append(w.drawn, c)
	w.at(epoch.Add(at), func() { w.send(c) })
}

// newCall draws a job of a queue.
func newCall(dice *rand.Rand, q Queue, queue, number int) *call {
	c := &call{queue: q, saves: dice.Float64() < q.Checkpoint, cancels: dice.Float64() < q.Cancelled}
	bounded := func(mean float64) float64 { return min(vary(dice, mean, q.Spread), hardest*mean) }
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%08x%08x", queue, number)), Queue: q.Name, Pool: q.Pool,
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, Slack: q.Slack, Target: q.Target,
	}
	steps := max(1, int(math.Round(bounded(q.Steps))))
	for i := range steps {
		base := time.Duration(bounded(float64(q.RunTime)))
		step := jobs.Step{
			Count: max(1, int(math.Round(bounded(q.Tasks)))),
			Size: jobs.Resources{
				Millicores: max(100, int(bounded(q.Millicores))), MemoryMB: int(bounded(q.MemoryMB)),
			},
			Estimate:    time.Duration(vary(dice, float64(base), q.Error)).Truncate(time.Millisecond),
			Checkpoints: c.saves, LongRunning: q.Lasting > 0, MaxUnavailable: 0,
		}
		if step.LongRunning {
			step.MaxUnavailable, step.MaxPerWorker = q.MaxUnavailable, q.MaxPerWorker
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		longest := time.Duration(0)
		var took []runTime
		for range step.Count {
			d := time.Duration(vary(dice, float64(base), uneven))
			took = append(took, runTime(d))
			longest = max(longest, d)
			c.work += float64(step.Size.Millicores) * d.Seconds()
		}
		c.took = append(c.took, took)
		c.chain += longest
		j.Steps = append(j.Steps, step)
	}
	c.job = j
	return c
}

// run returns the attempt that an order starts.
func (c *call) run(s place.StartOrder) *run {
	step := &c.job.Steps[s.Task.Step]
	return &run{
		task: s.Task, number: s.Attempt, size: step.Claim(), took: time.Duration(c.took[s.Task.Step][s.Task.Index]),
		fails: c.poison && s.Task.Index == 0, lasting: step.LongRunning, saves: c.saves, done: restored(s.Checkpoint),
	}
}

// send sends a job to the owner of its pool.
func (w *world) send(c *call) {
	if c.tries == 0 {
		c.sent = w.now
		c.job.Submitted = w.now
		w.calls[c.job.ID] = c
		if c.cancels {
			w.after(c.chain/2, func() { w.cancel(c) })
		}
	}
	c.tries++
	o := w.pools[c.queue.Pool]
	w.after(w.scenario.Fleet.Hop, func() {
		if w.storeDown() {
			c.refused(w, time.Second)
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

// refused makes the caller come back, if it still wants to.
func (c *call) refused(w *world, after time.Duration) {
	w.result.Refusals++
	if c.tries < tries {
		w.after(after, func() { w.send(c) })
	}
}

func (w *world) cancel(c *call) {
	c.cancelled = true
	if c.accepted && w.pools[c.queue.Pool].board.Cancel(c.job.ID, w.now) {
		w.pools[c.queue.Pool].decideSoon()
	}
}

// cancelShare cancels a share of the jobs that are at hand.
func (w *world) cancelShare(f Fault) {
	for _, q := range w.scenario.Queues {
		if f.Queue != "" && f.Queue != q.Name || q.Lasting > 0 {
			continue
		}
		for _, c := range w.ordered(q.Name) {
			if c.state == "" && w.dice.Float64() < f.Share {
				w.cancel(c)
			}
		}
	}
}

// ended notes that the caller was shown the end of its job.
func (c *call) ended(w *world, s jobs.State) {
	if c.state == "" {
		c.state, c.done = s, w.now
	}
}

// sample counts how many tasks of a lasting job are at work.
func (c *call) sample(atWork int, d time.Duration) {
	if c.cancelled {
		return
	}
	c.wanted += float64(c.job.Steps[0].Count) * d.Seconds()
	c.atWork += float64(min(atWork, c.job.Steps[0].Count)) * d.Seconds()
}

// objective returns how long the job may take to be on time.
func (c *call) objective() time.Duration {
	return time.Duration(c.queue.Slack*float64(c.chain)) + c.queue.Target
}
