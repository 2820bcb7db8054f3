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
// ownership row, so that a former owner can't change anything. Workers refuse
// orders with a fencing token below the highest that they have seen.
package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/trace"
	"github.com/papayarudder/papayarudder/platform"
)

var (
	metricCommit         = metrics.NewHistogram("papayarudder_commit_seconds")
	metricStarts         = metrics.NewCounter("papayarudder_task_starts_total")
	metricEnds           = metrics.NewCounter("papayarudder_task_ends_total")
	metricRefused        = metrics.NewCounter("papayarudder_start_refusals_total")
	metricUnknown        = metrics.NewCounter("papayarudder_start_unknown_total")
	metricUnknownCancels = metrics.NewCounter("papayarudder_unknown_cancels_total")
	metricLapses         = metrics.NewCounter("papayarudder_worker_lapses_total")
	metricDecide         = metrics.NewHistogram("papayarudder_decision_seconds")
	metricLate           = metrics.NewHistogram("papayarudder_loop_lateness_seconds")
)

// Timeouts, periods and limits of an owner's loop.
const (
	tickPeriod       = 50 * time.Millisecond
	takeoverWait     = 600 * time.Millisecond  // for workers to answer a new owner
	missingTimeout   = 2500 * time.Millisecond // after which a missing worker entry counts as removed
	submitTimeout    = 1200 * time.Millisecond // after which a caller gets Unknown if its transaction has no answer
	summaryPeriod    = time.Second             // between log lines with the pool's state
	attemptsPerOwner = 1000                    // attempt numbers reserved for each owner
	postQueueSize    = 4096                    // functions queued for the loop
	drainTimeout     = 20 * time.Millisecond   // for queued functions between two scheduling steps
	decisionPause    = 4                       // after a decision, as a multiple of its duration: the rest of the owner's work comes first
	retiredEntryTime = 6 * time.Second         // the platform removes the entry of an ended worker after three heartbeats, 4.5 s
)

// Identity names the process that owns a pool.
type Identity struct {
	Node string
	Addr string // for calls from other processes
	Life string // identifies one run of the process; it changes at a restart
}

// Ownership is a decoded row of [TableOwner].
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

// maxToken is the highest fencing token. The numbers of attempts follow from it and stay below
// the largest whole number that every reader of JSON keeps.
const maxToken = 1 << 43

// DecodeOwnership decodes a row of [TableOwner].
func DecodeOwnership(r platform.Row) (Ownership, error) {
	var w ownerRow
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return Ownership{}, errors.Wrapf(platform.ErrMalformed, "owner of %s: %v", r.Part, err)
	}
	if w.Token == 0 || w.Token > maxToken {
		return Ownership{}, errors.Wrapf(platform.ErrMalformed, "owner of %s: token %d, allowed: 1 to %d", r.Part, w.Token, uint64(maxToken))
	}
	return Ownership{r.Part, w.Token, Identity{w.Node, w.Addr, w.Life}, r.Version}, nil
}

// Verdict is the result of a call.
type Verdict int

// Verdicts.
const (
	Accepted   Verdict = iota
	Refused            // it has not run and never will
	Unknown            // the outcome is not known yet
	Missing            // there is no such job or worker
	Overloaded         // like Refused, because the backlog is too long
	Closed             // the job's route leads to another pool
	Forbidden          // the job belongs to another organisation
	Outdated           // a later configuration than the caller's process has lacks the caller's organisation
)

// submission is a job that is not durable yet.
type submission struct {
	job        jobs.Job
	row        []byte
	progress   []byte // its stored progress if it was cancelled before, nil otherwise
	receivedAt time.Time
	waiters    []chan Verdict
}

// Owner runs one pool.
type Owner struct {
	name             string
	self             Identity
	token            uint64
	rowVersion       uint64 // version of the ownership row
	store            *platform.Store
	log              *logrus.Entry
	taskLog          *logs.Frequent // for lines about single tasks and jobs
	ctx              context.Context
	cancel           context.CancelFunc
	posts            chan func()
	calls            chan func() // of callers, which come before posts
	ended            chan struct{}
	startSlots       chan struct{} // one item for each start of a batch task in flight
	startsWaiting    atomic.Int64  // starts of batch tasks that wait to be sent
	startsSent       atomic.Int64  // starts sent so far
	lastingStarts    atomic.Int64  // starts of long-running tasks that are being sent
	storeDownSinceMs atomic.Int64  // Unix time in ms, 0 while the store answers
	status           *ownershipStatus
	openings         sync.Map // of routes that lead to the pool: [Opening] by route

	// The fields below are used only in the loop.
	board            *place.Board
	agents           map[string]*agent    // by lifetime
	lifetimes        map[string][]*agent  // by worker id
	mayBeLost        map[*agent]bool      // agents that are silent or ended or lack an entry, and some that were
	examined         uint64               // how many agents ticks and retirements have looked at
	newEnds          map[*agent]bool      // agents with handled ends that are not acknowledged yet
	vacateUntil      map[string]time.Time // workers to vacate, by id, and until when
	queue            []*submission
	pending          map[jobs.ID]*submission
	cancels          map[jobs.ID][]chan Verdict
	cancelledIDs     map[jobs.ID]*cancelledID // of jobs that were unknown when they were cancelled
	cancelledQueue   []jobs.ID                // those to be stored
	closures         map[string]*closure      // of routes that lead to other pools now
	closureQueue     []string                 // those to be stored
	confirmations    []chan Verdict           // calls that are answered Missing once a transaction shows that this process owns the pool
	inFlight         *commit
	seq              uint64    // of the last transaction that took effect
	logVersion       uint64    // version of the log row
	dirtySince       time.Time // since when progress waits to be stored, zero if none does
	commitAfter      time.Time // no transaction is sent before
	committedAt      time.Time // when the last transaction took effect
	storeDownSince   time.Time // zero while the store answers
	decideAfter      time.Time // no decision is made before
	decideTimer      *time.Timer
	offering         bool      // an offer to hand the pool over is under way
	offerFailedAt    time.Time // when the last offer failed, zero if none did since the store went down
	handOver         func(name string) bool
	members          func() uint64
	lease            time.Duration
	maxLease         time.Duration // of a worker, whatever lease it is granted
	retention        time.Duration
	expired          []jobs.ID        // jobs whose rows are to be removed
	removing         map[jobs.ID]bool // those, and jobs whose rows are being removed
	expiredCancelled []jobs.ID        // cancelled ids to be removed
	suspensions      *Suspensions
	unstorable       map[jobs.ID]bool // jobs whose progress can't be encoded
	registrations    []registration   // as stored
	// registrationsStale means that something changed on which registrationsDue depends.
	registrationsStale  bool
	registrationsDiffer bool
	retiredAt           map[string]time.Time     // lifetimes ended by an order for their host, and when
	unseenUntil         map[string]time.Time     // lifetimes that have not answered and may run tasks, and until when
	statedEnds          map[string]time.Duration // of these, when their leases end, on the store's clock, as it was stored last or is to be
	unconfirmedUntil    time.Time                // until when tasks that may run on them wait
	undecoded           map[jobs.ID]bool         // stored jobs that can't be decoded: nothing is known of them
	jobsLoaded          bool                     // the stored jobs are on the board
	started             bool                     // scheduling has started
	claimedAt           time.Time
	summarizedAt        time.Time
	loop                loopStats
	stepWaits           stepWaits
	startRate           startRate
	lastingWindow       startWindow
	holdPause           holdPause
	overloaded          bool // as logged last
	flushing            bool
	closed              bool
	deposed             bool
	panicked            bool // read by others once the ownership has ended
	queues              map[string]platform.Queue
	hasTargets          bool // a queue of the pool has a target duration
	organisations       []platform.Organisation
	// organisationsVersion is the version of the configuration that organisations are from.
	organisationsVersion uint64
	quotas               quotas
	hintQuota            func(name, organisation string)
	jobMemory            *JobMemory
	memoryAt             time.Time                       // when the owner's part of it was last computed
	refused              map[string]map[RefusalCause]int // calls, by organisation
	advise               func(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
	entries              map[string]platform.WorkerEntry // of this pool, by id
}

// Settings configures an owner.
type Settings struct {
	Self Identity
	// ClaimSentAt is when the claim was sent, zero for now. Leases count from there.
	ClaimSentAt time.Time
	Store       *platform.Store
	Log         *logrus.Entry
	Lease       time.Duration // of tasks on workers, 0 for the default
	MaxLease    time.Duration // to which workers shorten longer leases, 0 for the default
	// Retention is how long ended jobs are kept, so that their callers can ask for
	// their states; 0 keeps them for ever.
	Retention time.Duration
	// LookAhead makes placement reserve workers for large tasks that fit none.
	LookAhead bool
	// Recording records every scheduling step, nil for none.
	Recording *event.Log
	// HandOver offers the pool to other processes after this one has lost the
	// store. It reports whether one of them took it over.
	HandOver func(name string) bool
	// NotClaimedUntil returns until when no other process can have claimed the pool, given the
	// version of the table of processes up to which the store is known to show that this one
	// knew them, and when a pause of this one was last found; nil if there are no others.
	NotClaimedUntil func(members uint64, pausedAt time.Time) time.Time
	// Members returns the version of the table of processes that this process knows, nil for 0.
	Members func() uint64
	// Suspensions holds the jobs that this process suspends, nil for one of the ownership's own.
	Suspensions *Suspensions
	// JobMemory bounds the memory of the jobs of this process, nil for no bound.
	JobMemory *JobMemory
	// Looked, if set, receives each job that a decision looks at.
	Looked func(jobs.ID)
	Advise func(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
	// HintQuota tells the owner of a pool that tasks of an organisation wait elsewhere for what it
	// does not need of its allotment, nil if there are no others.
	HintQuota func(name, organisation string)
}

const claimTimeout = 900 * time.Millisecond

// Conditions are what a claim depends on besides the ownership, and what it tells of this process.
type Conditions struct {
	LogVersion uint64 // of the former owner's heartbeat, 0 for any
	Members    uint64 // version of the table of processes that this process knows
}

// Claim makes this process the owner of a pool if its ownership is still as seen.
// It returns platform.ErrConflict if it is not, and platform.ErrOutcomeUnknown if there
// was no answer; then the ownership row shows later who owns the pool.
func Claim(ctx context.Context, store *platform.Store, self Identity, seen Ownership, c Conditions) (Ownership, error) {
	token := seen.Token + 1
	value, err := json.Marshal(ownerRow{token, self.Node, self.Addr, self.Life})
	if err != nil {
		return Ownership{}, errors.Wrap(err, "owner row")
	}
	first, err := json.Marshal(logRow{token, 0, c.Members})
	if err != nil {
		return Ownership{}, errors.Wrap(err, "log row")
	}
	expect := []platform.Row{{Table: TableOwner, Part: seen.Pool, Key: keyOwner, Version: seen.Version}}
	if c.LogVersion > 0 {
		expect = append(expect, platform.Row{Table: tableLog, Part: seen.Pool, Key: keyLog, Version: c.LogVersion})
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, _, err := store.Commit(callCtx, platform.Transaction{
		Expect: expect,
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
	if s.MaxLease == 0 {
		s.MaxLease = defaultMaxLease
	}
	claimedAt := time.Now()
	if s.Members == nil {
		s.Members = func() uint64 { return 0 }
	}
	if s.Suspensions == nil {
		s.Suspensions = NewSuspensions()
	}
	if s.JobMemory == nil {
		s.JobMemory = NewJobMemory(math.MaxInt64)
	}
	if s.ClaimSentAt.IsZero() {
		s.ClaimSentAt = claimedAt
	}
	ctx, cancel := context.WithCancel(ctx)
	base := int(own.Token-1) * attemptsPerOwner
	board := place.NewBoard(place.DefaultPolicy(), base)
	if s.Recording != nil {
		trace.RecordBoard(s.Recording, own.Pool, base, board)
	}
	board.SetLookAhead(s.LookAhead)
	board.SetAttemptLimit(s.JobMemory.attempts)
	o := &Owner{
		lastingWindow: newStartWindow(maxLastingStarts),
		name:          own.Pool, self: s.Self, token: own.Token, rowVersion: own.Version, logVersion: own.Version,
		store: s.Store, log: s.Log.WithFields(logrus.Fields{"pool": own.Pool, "token": own.Token}), advise: s.Advise, handOver: s.HandOver, lease: s.Lease, maxLease: s.MaxLease, retention: s.Retention,
		ctx: ctx, cancel: cancel, posts: make(chan func(), postQueueSize), calls: make(chan func(), postQueueSize), ended: make(chan struct{}),
		startSlots: make(chan struct{}, maxStartsInFlight),
		board:      board,
		agents:     map[string]*agent{}, lifetimes: map[string][]*agent{}, mayBeLost: map[*agent]bool{}, newEnds: map[*agent]bool{}, unseenUntil: map[string]time.Time{}, statedEnds: map[string]time.Duration{}, retiredAt: map[string]time.Time{}, vacateUntil: map[string]time.Time{},
		pending: map[jobs.ID]*submission{}, cancels: map[jobs.ID][]chan Verdict{}, cancelledIDs: map[jobs.ID]*cancelledID{}, refused: map[string]map[RefusalCause]int{}, closures: map[string]*closure{}, removing: map[jobs.ID]bool{}, suspensions: s.Suspensions, unstorable: map[jobs.ID]bool{}, undecoded: map[jobs.ID]bool{},
		stepWaits: newStepWaits(),
		queues:    map[string]platform.Queue{}, entries: map[string]platform.WorkerEntry{},
		decideTimer: time.NewTimer(tickPeriod), claimedAt: claimedAt, status: newOwnershipStatus(s.ClaimSentAt, s.NotClaimedUntil), members: s.Members,
		quotas: newQuotas(), hintQuota: s.HintQuota, jobMemory: s.JobMemory,
	}
	o.taskLog = logs.NewFrequent(o.log)
	o.board.Missing, o.board.Looked, o.board.Waited = o.logMissing, s.Looked, o.stepWaits.add
	o.status.paused = func(pause time.Duration) {
		o.log.WithField("ms", pause.Milliseconds()).Info("process was paused: leases, orders and answers wait until the store confirms the ownership")
	}
	return o
}

// Name returns the pool's name.
func (o *Owner) Name() string { return o.name }

// ClaimedAt returns when this process became the owner.
func (o *Owner) ClaimedAt() time.Time { return o.claimedAt }

// Token returns the fencing token of this ownership.
func (o *Owner) Token() uint64 { return o.token }

// Ended returns a channel that is closed when the ownership has ended.
func (o *Owner) Ended() <-chan struct{} { return o.ended }

// post queues a function for the loop. It drops the function once the ownership has
// ended.
func (o *Owner) post(f func()) {
	select {
	case o.posts <- f:
	case <-o.ctx.Done():
	}
}

// Run loads the pool, takes over its running tasks and schedules jobs until ctx
// ends or another process owns the pool. A panic of the loop ends the ownership only.
func (o *Owner) Run() {
	defer close(o.ended)
	defer o.jobMemory.set(o, 0)
	defer o.shutDown()
	defer o.contain()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	o.status.recordRunning(time.Now(), false)
	go o.load()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.calls:
			f()
		case f := <-o.posts:
			f()
		case <-ticker.C:
			o.tick(time.Now())
		case <-o.decideTimer.C:
		}
		o.drainPosts(time.Now())
		if o.deposed || o.ctx.Err() != nil {
			return
		}
		o.dispatch(time.Now())
	}
}

// drainPosts runs the functions that are queued now, so that one scheduling step covers
// them, calls first. It stops after drainTimeout: what is handled must become durable and
// be acknowledged, or workers report it again and keep the queue full.
func (o *Owner) drainPosts(now time.Time) {
	o.drainCalls()
	for range len(o.posts) {
		if time.Since(now) > drainTimeout {
			return
		}
		(<-o.posts)()
		o.drainCalls()
	}
}

func (o *Owner) drainCalls() {
	for range len(o.calls) {
		(<-o.calls)()
	}
}

// shutDown stops the agents and answers all waiting callers.
func (o *Owner) shutDown() {
	o.cancel()
	for _, a := range o.agents {
		a.close()
	}
	for _, s := range o.pending {
		o.answerSubmissions([]*submission{s}, Unknown)
	}
	for id := range o.cancels {
		o.answerCancels(id, Unknown)
	}
	o.endQuotas()
	o.log.Info("pool ownership ended")
}

func (o *Owner) depose(cause string) {
	if !o.deposed {
		o.log.WithField("cause", cause).Info("pool lost to another owner")
	}
	o.deposed = true
}

// dispatch runs a scheduling step, hands its orders to the agents and commits
// changes.
func (o *Owner) dispatch(now time.Time) {
	if len(o.unseenUntil) > 0 {
		o.quotas.dirty, o.quotas.lookAfter = true, time.Time{}
		o.dealQuotas(now) // what may run unseen grows as tasks that were seen end
	}
	if o.started && !o.flushing && !now.Before(o.decideAfter) && o.status.current(now) {
		o.board.SetStartLimit(max(0, o.startRate.queueLimit()-int(o.startsWaiting.Load())))
		lasting := min(o.lastingWindow.limit(now), maxWorkerLasting*len(o.agents))
		o.board.SetLastingStartLimit(max(0, lasting-int(o.lastingStarts.Load())))
		orders := o.board.Decide(now)
		took := time.Since(now)
		o.loop.recordDecision(took)
		o.decideAfter = now.Add(took + min(decisionPause*took, tickPeriod))
		for _, s := range orders.Stops {
			o.sendOrder(s.Worker, order{stop: &s})
		}
		for _, s := range orders.Starts {
			metricStarts.Inc()
			o.sendOrder(s.Worker, order{start: &s, urgent: o.board.IsLongRunning(s.Task), gang: o.board.IsGang(s.Task)})
			o.updateBusy(o.agents[s.Worker])
		}
		for _, s := range o.board.UnwantedStarts() {
			if a := o.agents[s.Worker]; a != nil {
				a.withdrawStart(s)
			}
		}
		for _, p := range orders.Paces {
			o.sendOrder(p.Worker, order{pace: &p})
		}
		for _, q := range orders.Advice {
			o.askAdvice(q)
		}
	} else if now.Before(o.decideAfter) {
		o.decideTimer.Reset(o.decideAfter.Sub(now))
	}
	o.dealQuotas(now)
	if o.started {
		o.maybeCommit(now)
	}
}

// updateBusy tells an agent whether its worker has tasks.
func (o *Owner) updateBusy(a *agent) {
	if a == nil {
		return
	}
	if busy := !o.board.Idle(a.key); busy != a.knownBusy {
		a.knownBusy = busy
		a.setBusy(busy)
	}
}

// sendOrder hands an order to a worker's agent. If the agent does not accept it, a
// start counts as refused, a stop as failed, and a pace is dropped.
func (o *Owner) sendOrder(key string, ord order) {
	a := o.agents[key]
	if a == nil {
		return
	}
	err := a.enqueue(ord)
	if err == nil {
		return
	}
	if ord.start != nil {
		o.startAnswered(a, *ord.start, err)
	}
	if ord.stop != nil {
		o.board.StopFailed(key, ord.stop.Task, ord.stop.Attempt)
	}
}

// tick does what depends on time alone.
func (o *Owner) tick(now time.Time) {
	o.status.recordRunning(now, !o.storeDownSince.IsZero())
	o.holdPause.update(o.loop.recordTick(now))
	o.startRate.update(o.startsSent.Load(), now)
	o.offerHandover(now)
	o.noteOverload(now)
	o.refreshMemory(now)
	if now.Sub(o.summarizedAt) > summaryPeriod {
		o.summarizedAt = now
		if s := o.board.Summary(now); s.Jobs > 0 {
			o.log.WithFields(o.loop.fields()).WithField("hold-pause-ms", o.holdPause.pause.Load()/int64(time.Millisecond)).WithField("state", fmt.Sprintf("%+v", s)).Info("pool state")
		}
		if waits := o.stepWaits.take(); waits != nil {
			o.log.WithFields(waits).Info("step waits")
		}
		if fields := reservationFields(o.board.TakeReservations()); fields != nil {
			o.log.WithFields(fields).Info("reservations")
		}
		o.loop.reset()
		if o.retention > 0 {
			o.expireJobs(now)
		}
		o.expireCancelled(now)
	}
	if o.started {
		o.updateUnseen(now)
	}
	o.answerLateSubmissions(now)
	o.restoreRetired(now)
	for id, until := range o.vacateUntil {
		if now.After(until) {
			delete(o.vacateUntil, id)
			o.syncWorker(id)
		}
	}
	o.removeLostWorkers(now)
}

// expireJobs removes the jobs that ended longer ago than the retention time.
func (o *Owner) expireJobs(now time.Time) {
	for _, id := range o.board.Expire(o.retention, now) {
		o.expired = append(o.expired, id)
		o.removing[id] = true
	}
}

// removeLostWorkers reschedules the tasks of workers whose leases have expired or
// whose lifetimes have ended, and removes workers that are gone.
func (o *Owner) removeLostWorkers(now time.Time) {
	for _, key := range o.board.TakeIdleChanges() {
		o.examined++
		o.updateBusy(o.agents[key])
	}
	for a := range o.mayBeLost {
		o.removeIfLost(a, now)
	}
}

// removeIfLost does for one worker what removeLostWorkers does for all.
func (o *Owner) removeIfLost(a *agent, now time.Time) {
	o.examined++
	if o.agents[a.key] != a || !a.silent && a.missingSince.IsZero() && !a.lifetimeEnded {
		delete(o.mayBeLost, a)
		return
	}
	gone := a.lifetimeEnded || !a.missingSince.IsZero() && (now.Sub(a.missingSince) > missingTimeout || o.board.Idle(a.key))
	switch {
	case a.lifetimeEnded && now.Before(a.unlistedUntil):
		o.logLost(a, now, true)
		o.board.LifetimeEnded(a.key, now)
	case a.lifetimeEnded || a.silent && a.expireLeases(now):
		if !o.board.Idle(a.key) {
			metricLapses.Inc()
			o.log.WithFields(logrus.Fields{"worker": a.key, "left": a.lifetimeEnded}).Info("worker lost: its tasks are rescheduled")
			o.logLost(a, now, false)
		}
		if !a.lifetimeEnded {
			o.suspectCrash(a, now)
		}
		o.board.ExpireLeases(a.key, now)
	}
	if gone && (a.lifetimeEnded || a.silent) && o.board.Idle(a.key) {
		if !a.lifetimeEnded {
			o.settleCrash(a, "it does not answer, and its entry is gone")
		}
		o.board.RemoveWorker(a.key, now)
		o.removeAgent(a)
	} else if gone {
		o.syncAgent(a)
	}
}

const (
	handoverDelay  = 250 * time.Millisecond // without the store before others are asked to take over
	handoverPeriod = time.Second            // between offers to other processes
)

func (o *Owner) askAdvice(q place.AdviceOrder) {
	if o.advise == nil {
		return
	}
	step := fmt.Sprintf("%s.%d.%d", q.Job, q.Occurrence, q.Step)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
		defer cancel()
		requestedAt := time.Now()
		tickets, validity, err := o.advise(ctx, step, q.Workers)
		if err != nil {
			o.log.WithFields(logrus.Fields{"step": step, "workers": len(q.Workers)}).WithError(err).Info("advice request failed")
			o.post(func() { o.board.AdviceFailed(q, time.Now()) })
			return
		}
		o.post(func() { o.board.Advised(q, tickets, requestedAt.Add(validity), time.Now()) })
	}()
}

const adviceTimeout = 5 * time.Second // the call may wait behind a full queue of other calls
