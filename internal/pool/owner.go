// Package pool runs the pools that a process owns: it makes their jobs durable,
// starts and stops tasks on their workers, and takes a pool over from another
// process without running anything twice.
//
// # Usage
//
//	own, err := pool.Claim(ctx, store, self, seen)
//	o := pool.New(ctx, own, settings)
//	o.SetWorkers(entries)
//	go o.Run()
//	verdict := o.Submit(ctx, job)
//
// All decisions are made in one loop, by a [place.Board]. The platform's store
// decides who owns a pool: every transaction of an owner is conditional on the
// ownership row, so that one who lost the pool changes nothing. Workers refuse
// orders with a token below the highest that they have seen.
package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// Metrics of pools.
var (
	metricCommit  = metrics.NewHistogram("papayarudder_commit_seconds")
	metricStarts  = metrics.NewCounter("papayarudder_task_starts_total")
	metricEnds    = metrics.NewCounter("papayarudder_task_ends_total")
	metricRefused = metrics.NewCounter("papayarudder_start_refusals_total")
	metricUnsure  = metrics.NewCounter("papayarudder_start_unknown_total")
	metricLapses  = metrics.NewCounter("papayarudder_worker_lapses_total")
)

// Times of an owner's loop.
const (
	tickTime      = 50 * time.Millisecond
	firstLook     = 600 * time.Millisecond  // for workers to answer a new owner
	missingTime   = 2500 * time.Millisecond // an entry that is gone this long is gone for good
	patience      = 1200 * time.Millisecond // of a submitter whose transaction has no answer
	summaryTime   = time.Second             // between lines on a pool's state
	attemptsBlock = 1000                    // attempt numbers of each owner
	postQueue     = 4096                    // events that wait for the loop
)

// Identity names the process that owns a pool.
type Identity struct {
	Node string
	Addr string // for calls between processes
	Life string // of the process; a restarted one has another
}

// Ownership is a row of [TableOwner].
type Ownership struct {
	Pool    string
	Token   uint64
	Owner   Identity
	Version uint64
}

// ownerRow is the stored form of an [Ownership].
type ownerRow struct {
	Token uint64 `json:"token"`
	Node  string `json:"node"`
	Addr  string `json:"addr"`
	Life  string `json:"life"`
}

// DecodeOwnership reads a row of [TableOwner].
func DecodeOwnership(r platform.Row) (Ownership, error) {
	var w ownerRow
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return Ownership{}, errors.Wrapf(platform.ErrMalformed, "owner of %s: %v", r.Part, err)
	}
	return Ownership{r.Part, w.Token, Identity{w.Node, w.Addr, w.Life}, r.Version}, nil
}

// Verdict is what became of a submission or a cancellation.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota
	Refused            // it has not run and never will
	Unknown            // nobody can tell yet
	Missing            // there is no such job
	Overloaded         // like Refused: too much waits already
)

// submission is a job on its way to being durable.
type submission struct {
	job     jobs.Job
	row     []byte
	came    time.Time
	waiters []chan Verdict
}

// Owner runs one pool.
type Owner struct {
	name       string
	self       Identity
	token      uint64
	rowVersion uint64 // of the ownership row
	store      *platform.Store
	log        *logrus.Entry
	ctx        context.Context
	cancel     context.CancelFunc
	posts      chan func()
	ended      chan struct{}
	downSince  atomic.Int64 // Unix time in ms since when the store is down, 0 if it answers

	// Below belongs to the loop.
	board       *place.Board
	agents      map[string]*agent
	vacate      map[string]time.Time // worker ids that are wanted elsewhere, until
	queue       []*submission
	pending     map[jobs.ID]*submission
	cancels     map[jobs.ID][]chan Verdict
	inFlight    *commit
	seq         uint64
	logVersion  uint64
	dirtySince  time.Time
	commitAfter time.Time
	committedAt time.Time // when the last transaction took effect
	storeDown   time.Time // since when, zero if it answers
	asking      bool      // other processes are asked to take the pool over
	asked       time.Time // when that came to nothing, since the store was lost
	giveAway    func(name string) bool
	lease       time.Duration
	expired     []jobs.ID
	unseen      map[string]bool // lifetimes that may run something unseen
	doubtEnds   time.Time       // when their leases have run out
	loadedJobs  bool            // the stored jobs are on the board
	started     bool            // decisions are made
	summed      time.Time
	flushing    bool
	closed      bool
	deposed     bool
	queues      map[string]platform.Queue
	advise      func(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
	entries     map[string]platform.WorkerEntry // of this pool, by id
}

// Settings is what an owner needs besides its ownership.
type Settings struct {
	Self  Identity
	Store *platform.Store
	Log   *logrus.Entry
	Lease time.Duration // of what runs on workers, 0 for the default
	// GiveAway tries to make another process own the pool, after the store was
	// lost here. It reports whether one does.
	GiveAway func(name string) bool
	Advise   func(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

const acquireTime = 900 * time.Millisecond

// Claim makes a process the owner of a name, if its ownership is still as it was
// seen. It returns platform.ErrConflict if it is not, and platform.ErrUnknown if
// there was no answer: the ownership row then tells later who owns it.
func Claim(ctx context.Context, store *platform.Store, self Identity, seen Ownership) (Ownership, error) {
	token := seen.Token + 1
	value, err := json.Marshal(ownerRow{token, self.Node, self.Addr, self.Life})
	if err != nil {
		return Ownership{}, errors.Wrap(err, "owner row")
	}
	first, err := json.Marshal(logRow{token, 0})
	if err != nil {
		return Ownership{}, errors.Wrap(err, "log row")
	}
	callCtx, cancel := context.WithTimeout(ctx, acquireTime)
	defer cancel()
	version, _, err := store.Commit(callCtx, platform.Transaction{
		Expect: []platform.Row{{Table: TableOwner, Part: seen.Pool, Key: keyOwner, Version: seen.Version}},
		Write: []platform.Row{
			{Table: TableOwner, Part: seen.Pool, Key: keyOwner, Value: value},
			{Table: tableLog, Part: seen.Pool, Key: keyLog, Value: first},
		},
	})
	return Ownership{seen.Pool, token, self, version}, err
}

// New returns the owner of a pool that this process has claimed.
func New(ctx context.Context, own Ownership, s Settings) *Owner {
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Owner{
		name: own.Pool, self: s.Self, token: own.Token, rowVersion: own.Version, logVersion: own.Version,
		store: s.Store, log: s.Log.WithFields(logrus.Fields{"pool": own.Pool, "token": own.Token}), advise: s.Advise, giveAway: s.GiveAway, lease: s.Lease,
		ctx: ctx, cancel: cancel, posts: make(chan func(), postQueue), ended: make(chan struct{}),
		board:  place.NewBoard(place.DefaultPolicy(), int(own.Token-1)*attemptsBlock),
		agents: map[string]*agent{}, unseen: map[string]bool{}, vacate: map[string]time.Time{},
		pending: map[jobs.ID]*submission{}, cancels: map[jobs.ID][]chan Verdict{},
		queues: map[string]platform.Queue{}, entries: map[string]platform.WorkerEntry{},
	}
}

// Name returns the pool's name.
func (o *Owner) Name() string { return o.name }

// Token returns the fencing token of this ownership.
func (o *Owner) Token() uint64 { return o.token }

// Ended is closed when the ownership has ended.
func (o *Owner) Ended() <-chan struct{} { return o.ended }

// post hands an event to the loop. After the ownership has ended, events are
// dropped.
func (o *Owner) post(f func()) {
	select {
	case o.posts <- f:
	case <-o.ctx.Done():
	}
}

// Run loads the pool, takes over what runs, and then decides until ctx ends or
// the pool is lost.
func (o *Owner) Run() {
	defer close(o.ended)
	defer o.shut()
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	go o.load()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.posts:
			f()
		case <-ticker.C:
			o.tick(time.Now())
		}
		o.drainPosts()
		if o.deposed {
			return
		}
		o.step(time.Now())
	}
}

// drainPosts takes in all events that wait, so that one decision covers them.
func (o *Owner) drainPosts() {
	for range postQueue {
		select {
		case f := <-o.posts:
			f()
		default:
			return
		}
	}
}

// shut ends all that belongs to the ownership and answers those who wait.
func (o *Owner) shut() {
	o.cancel()
	for _, a := range o.agents {
		a.close()
	}
	for _, s := range o.pending {
		o.answer([]*submission{s}, Unknown)
	}
	for id := range o.cancels {
		o.answerCancel(id, Unknown)
	}
	o.log.Info("pool given up")
}

func (o *Owner) depose(cause string) {
	if !o.deposed {
		o.log.WithField("cause", cause).Info("pool lost to another owner")
	}
	o.deposed = true
}

const loadRetry = 200 * time.Millisecond

// load reads the pool's jobs until it has them.
func (o *Owner) load() {
	began := time.Now()
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, 3*time.Second)
		jobRows, _, err := o.store.ReadAll(ctx, tableJob, o.name)
		var progRows []platform.Row
		var crew platform.Row
		if err == nil {
			progRows, _, err = o.store.ReadAll(ctx, tableProg, o.name)
		}
		if err == nil {
			crew, err = o.store.ReadRow(ctx, tableCrew, o.name, keyCrew)
		}
		cancel()
		if err == nil {
			o.post(func() { o.loaded(jobRows, progRows, decodeCrew(crew.Value), began) })
			return
		}
		o.log.WithError(err).Warn("pool can't be loaded yet")
		pause(o.ctx, loadRetry)
	}
}

// loaded puts the stored jobs on the board. Decisions begin when the workers
// have told what runs, or had their time to.
func (o *Owner) loaded(jobRows, progRows []platform.Row, crew []string, began time.Time) {
	now := time.Now()
	for _, key := range crew {
		o.unseen[key] = true
	}
	progress := map[string][]byte{}
	for _, r := range progRows {
		progress[r.Key] = r.Value
	}
	for _, r := range jobRows {
		j, err := jobs.Decode(r.Value)
		if err != nil {
			o.log.WithField("job", r.Key).WithError(err).Error("stored job can't be read")
			continue
		}
		p := jobs.NewProgress(j)
		if data, ok := progress[r.Key]; ok {
			if p, err = jobs.DecodeProgress(j, data); err != nil {
				o.log.WithField("job", r.Key).WithError(err).Error("stored progress can't be read")
				continue
			}
		}
		o.board.Add(j, p, now)
	}
	o.loadedJobs = true
	for _, e := range o.entries {
		o.addAgent(e)
	}
	o.log.WithFields(logrus.Fields{
		"jobs": len(jobRows), "workers": len(o.agents), "ms": now.Sub(began).Milliseconds(),
	}).Info("pool loaded")
	deadline := now.Add(firstLook)
	o.awaitWorkers(deadline)
}

// awaitWorkers begins decisions once every worker of the crew has answered, or at
// the deadline; then tasks that may run unseen wait until all leases have run out.
func (o *Owner) awaitWorkers(deadline time.Time) {
	now := time.Now()
	o.doubtEnds = now.Add(time.Duration(float64(o.lease)*(1+clockDrift)) + lapseMargin)
	o.awaitUnseen(now)
	if len(o.unseen) > 0 && now.Before(deadline) {
		time.AfterFunc(tickTime/5, func() { o.post(func() { o.awaitWorkers(deadline) }) })
		return
	}
	if len(o.unseen) > 0 {
		o.board.SetDoubt(o.doubtEnds)
	}
	o.started = true
	o.log.WithField("workers-unseen", len(o.unseen)).Info("pool taken over")
}

// step decides and sends what is to be sent.
func (o *Owner) step(now time.Time) {
	if o.started && !o.flushing {
		orders := o.board.Decide(now)
		for _, s := range orders.Stops {
			o.order(s.Worker, order{stop: &s})
		}
		for _, s := range orders.Starts {
			metricStarts.Inc()
			o.order(s.Worker, order{start: &s})
		}
		for _, p := range orders.Paces {
			o.order(p.Worker, order{pace: &p})
		}
		for _, q := range orders.Advice {
			o.askAdvice(q)
		}
		for _, a := range o.agents {
			a.setBusy(!o.board.Idle(a.key))
		}
	}
	if o.started {
		o.maybeCommit(now)
	}
}

// order hands an order to a worker's agent. An order that finds the queue full
// is as good as unanswered.
func (o *Owner) order(key string, what order) {
	a := o.agents[key]
	if a == nil {
		return
	}
	select {
	case a.orders <- what:
	default:
		if what.start != nil {
			o.board.Refused(key, what.start.Task, what.start.Attempt, time.Now())
		}
		if what.stop != nil {
			o.board.StopFailed(key, what.stop.Task, what.stop.Attempt)
		}
	}
}

// tick does what time alone brings about.
func (o *Owner) tick(now time.Time) {
	o.offer(now)
	if now.Sub(o.summed) > summaryTime {
		o.summed = now
		if s := o.board.Summary(now); s.Jobs > 0 {
			o.log.WithField("state", fmt.Sprintf("%+v", s)).Info("pool state")
		}
	}
	if o.started {
		o.awaitUnseen(now)
	}
	for _, s := range o.pending {
		if now.Sub(s.came) > patience {
			o.answer([]*submission{s}, Unknown) // it may still become durable
		}
	}
	for id, until := range o.vacate {
		if now.After(until) {
			delete(o.vacate, id)
			o.refresh(id)
		}
	}
	for _, a := range o.agents {
		gone := a.left || !a.missing.IsZero() && (now.Sub(a.missing) > missingTime || o.board.Idle(a.key))
		if a.silent && a.lapsed(now) || a.left {
			if !o.board.Idle(a.key) {
				metricLapses.Inc()
				o.log.WithFields(logrus.Fields{"worker": a.key, "left": a.left}).Info("worker lost: its tasks run elsewhere")
			}
			o.board.Lapse(a.key, now)
		}
		if gone && (a.left || a.silent) && o.board.Idle(a.key) {
			o.board.RemoveWorker(a.key, now)
			a.close()
			delete(o.agents, a.key)
		} else if gone {
			o.refreshAgent(a)
		}
	}
}

// lifetimeKey names one lifetime of a worker.
func lifetimeKey(e platform.WorkerEntry) string { return fmt.Sprintf("%s@%d", e.ID, e.Born) }

// SetWorkers tells which workers the pool has. Entries that are gone are left
// out of it.
func (o *Owner) SetWorkers(entries []platform.WorkerEntry) {
	o.post(func() {
		now := time.Now()
		next := make(map[string]platform.WorkerEntry, len(entries))
		for _, e := range entries {
			next[e.ID] = e
		}
		for id, e := range o.entries {
			if _, there := next[id]; !there {
				if a := o.agents[lifetimeKey(e)]; a != nil && a.missing.IsZero() {
					a.missing = now
				}
			}
		}
		o.entries = next
		if !o.loadedJobs {
			return // what a worker lists means nothing before the jobs are known
		}
		for _, e := range entries {
			o.addAgent(e)
		}
	})
}

// addAgent makes an agent for a worker, or tells it what has changed.
func (o *Owner) addAgent(e platform.WorkerEntry) {
	key := lifetimeKey(e)
	for _, a := range o.agents {
		if a.entry.ID == e.ID && a.key != key && !a.left {
			o.lifetimeOver(a, "it has started anew")
		}
	}
	a := o.agents[key]
	if a == nil {
		a = newAgent(o.ctx, o, e)
		o.agents[key] = a
	}
	a.entry = e
	a.missing = time.Time{}
	o.refreshAgent(a)
}

func (o *Owner) refresh(id string) {
	for _, a := range o.agents {
		if a.entry.ID == id {
			o.refreshAgent(a)
		}
	}
}

// refreshAgent tells the board what is known of a worker.
func (o *Owner) refreshAgent(a *agent) {
	rack := ""
	if len(a.entry.Labels) > 1 {
		rack = a.entry.Labels[1]
	}
	_, vacate := o.vacate[a.entry.ID]
	gone := !a.missing.IsZero() && time.Since(a.missing) > missingTime
	o.board.SetWorker(place.Worker{
		Key: a.key, ID: a.entry.ID, Rack: rack, Labels: a.entry.Labels, Size: a.entry.Size,
		Draining: a.entry.Draining || gone || a.left, Silent: a.silent || !a.heard || !a.enlisted, Vacate: vacate,
	})
}

func (o *Owner) lifetimeOver(a *agent, cause string) {
	if a.left {
		return
	}
	a.left = true
	o.log.WithFields(logrus.Fields{"worker": a.key, "cause": cause}).Info("worker's lifetime has ended")
	o.refreshAgent(a)
	a.cancel()
}

// listed takes in a worker's lists.
func (o *Owner) listed(a *agent, l platform.Listing, asked time.Time) {
	if a.left {
		return
	}
	now := time.Now()
	if !a.heard || a.silent {
		a.heard, a.silent = true, false
		o.refreshAgent(a)
	}
	running := make([]place.Running, 0, len(l.Running))
	for _, r := range l.Running {
		running = append(running, place.Running(r))
	}
	var fresh []place.Ended
	sort.Slice(l.Ended, func(i, j int) bool { return l.Ended[i].Number < l.Ended[j].Number })
	for _, e := range l.Ended {
		if e.Number <= a.seen {
			continue
		}
		a.seen = e.Number
		metricEnds.Inc()
		o.log.WithFields(logrus.Fields{
			"task": e.Task.String(), "attempt": e.Attempt, "worker": a.key, "outcome": e.Outcome, "end": e.Number,
		}).Info("task ended")
		fresh = append(fresh, place.Ended{Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	for _, stray := range o.board.Listed(a.key, running, fresh, asked, now) {
		if o.started {
			o.order(a.key, order{stop: &stray})
		}
	}
	if len(fresh) > 0 && o.dirtySince.IsZero() {
		o.dirtySince = now
	}
}

func (o *Owner) holdFailed(a *agent, err error) {
	if errors.Is(err, platform.ErrDeposed) {
		o.depose("a worker has seen a higher token")
		return
	}
	if ended(err) {
		o.lifetimeOver(a, "another lifetime answers")
		return
	}
	if !a.silent {
		a.silent = true
		o.log.WithField("worker", a.key).WithError(err).Info("worker does not answer")
		o.refreshAgent(a)
	}
}

func (o *Owner) startAnswered(a *agent, s place.StartOrder, err error) {
	now := time.Now()
	fields := logrus.Fields{"task": s.Task.String(), "attempt": s.Attempt, "worker": a.key}
	switch {
	case err == nil:
		o.board.Started(a.key, s.Task, s.Attempt, now)
		o.log.WithFields(fields).Info("task started")
	case errors.Is(err, platform.ErrDeposed):
		o.depose("a worker has seen a higher token")
	case ended(err):
		o.lifetimeOver(a, "another lifetime answers")
	case errors.Is(err, platform.ErrUnknown):
		metricUnsure.Inc()
		o.log.WithFields(fields).WithError(err).Info("no answer to a start; stopping the attempt to settle it")
		o.board.Unsure(a.key, s.Task, s.Attempt)
	default:
		metricRefused.Inc()
		o.log.WithFields(fields).WithError(err).Info("start refused")
		o.board.Refused(a.key, s.Task, s.Attempt, now)
	}
}

func (o *Owner) stopAnswered(a *agent, s place.StopOrder, err error) {
	switch {
	case err == nil:
		o.log.WithFields(logrus.Fields{"task": s.Task.String(), "attempt": s.Attempt, "worker": a.key, "cause": s.Cause}).Info("task stopped")
		o.board.StopAnswered(a.key, s.Task, s.Attempt, time.Now())
	case errors.Is(err, platform.ErrDeposed):
		o.depose("a worker has seen a higher token")
	case ended(err):
		o.lifetimeOver(a, "another lifetime answers")
	default:
		o.board.StopFailed(a.key, s.Task, s.Attempt)
	}
}

func (o *Owner) paceAnswered(a *agent, p place.PaceOrder, err error) {
	if err != nil {
		o.log.WithFields(logrus.Fields{"task": p.Task.String(), "worker": a.key, "percent": p.Percent}).
			WithError(err).Info("pace not taken")
	}
}

// storeLost notes that the store does not answer.
func (o *Owner) storeLost(err error) {
	if o.storeDown.IsZero() {
		o.storeDown = time.Now()
		o.downSince.Store(o.storeDown.UnixMilli())
		o.log.WithError(err).Warn("store lost: jobs go on, new ones are refused")
	}
}

func (o *Owner) storeFound() {
	if !o.storeDown.IsZero() {
		o.log.WithField("ms", time.Since(o.storeDown).Milliseconds()).Info("store regained")
	}
	o.storeDown, o.asked = time.Time{}, time.Time{}
	o.downSince.Store(0)
}

const (
	lostPatience  = 250 * time.Millisecond // without the store before others are asked to take over
	lostAskPeriod = time.Second            // between such questions
)

// offer asks other processes to take the pool over while only this one has lost
// the store.
func (o *Owner) offer(now time.Time) {
	if o.storeDown.IsZero() || now.Sub(o.storeDown) < lostPatience || o.asking || now.Sub(o.asked) < lostAskPeriod || o.giveAway == nil {
		return
	}
	o.asking = true
	go func() {
		taken := o.giveAway(o.name)
		o.post(func() {
			o.asking = false
			o.asked = time.Now()
			if taken {
				o.depose("handed over: the store is lost here")
			}
		})
	}()
}

// storeGone reports whether the store is down and nobody else reaches it either.
func (o *Owner) storeGone() bool { return !o.storeDown.IsZero() && !o.asked.IsZero() }

func (o *Owner) askAdvice(q place.AdviceOrder) {
	if o.advise == nil {
		return
	}
	step := fmt.Sprintf("%s.%d.%d", q.Job, q.Occurrence, q.Step)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, adviceTime)
		defer cancel()
		asked := time.Now()
		tickets, validity, err := o.advise(ctx, step, q.Workers)
		if err != nil {
			o.log.WithField("step", step).WithError(err).Info("no advice")
			pause(o.ctx, retryPause)
		}
		o.post(func() { o.board.Advised(q.Job, q.Occurrence, q.Step, tickets, asked.Add(validity)) })
	}()
}

const adviceTime = 5 * time.Second // a full queue of other calls may be served before
