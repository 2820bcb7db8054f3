package pool

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/platform"
)

// Timeouts and limits of the calls to a worker.
const (
	defaultLease      = 4*time.Second + heartbeatPeriod // since the ownership was confirmed. Tasks run on for 4 s without renewal: enough for a takeover, and the longest delay after a crash
	defaultMaxLease   = 10 * time.Second                // the platform's usual limit of a lease
	busyHoldWait      = time.Second                     // maximum wait of a hold call while tasks run
	idleHoldWait      = 2 * time.Second                 // maximum wait otherwise, the platform's limit
	answerTimeout     = 700 * time.Millisecond          // for an answer, in addition to the requested wait
	orderTimeout      = 300 * time.Millisecond          // for the answer to an order; it is documented to take a few ms
	retryDelay        = 150 * time.Millisecond          // after a failed call
	maxClockDrift     = 0.03                            // fraction; a worker's clock may be 2% slow
	leaseMargin       = 150 * time.Millisecond          // for answers in transit
	orderQueueSize    = place.MaxStarting               // orders queued for one worker, a few times what one is given between two lists; 900 agents hold two queues each
	ackTimeout        = 120 * time.Millisecond          // for reported ends to become durable; doubles while a worker reports no others, as it then answers holds at once
	maxParallelOrders = 2                               // orders of each queue sent to one worker at the same time
	maxStartsInFlight = 128                             // starts of batch tasks that an owner sends at the same time; a process that handles thousands at once answers nothing else
	lateTolerance     = 50 * time.Millisecond           // a timeout that is handled later than this shows that this process was held up
	lateGrace         = 100 * time.Millisecond          // to read answers that arrived while this process was held up
	maxStartDelay     = 1500 * time.Millisecond         // from when a start is sent until its worker rejects it; an owner that is late by half a second sees the worker's clock that much behind
	maxWorkerLasting  = 32                              // of these, for each worker of the pool; a worker has 64 connections
	maxLastingStarts  = 256                             // starts of long-running tasks that an owner sends at the same time, which do not wait for others
	maxStartAge       = time.Second                     // a start that waited longer is not sent: what was known of its worker is out of date; half of the platform's shortest time for workers that leave
	maxLateCalls      = 2                               // calls in a row that time out late before the worker counts as silent
)

var metricLateCalls = metrics.NewCounter("papayarudder_worker_late_timeouts_total")

// order is a start, stop or pace order for a worker; exactly one of these fields is set.
type order struct {
	start *place.StartOrder
	stop  *place.StopOrder
	pace  *place.PaceOrder

	urgent   bool // a start that does not wait for others
	gang     bool // a start that is worth nothing without those of its gang
	lapses   int  // the agent's count when the order was queued
	queuedAt time.Time
}

// startKey names the start of an attempt at a worker.
type startKey struct {
	task    jobs.Task
	attempt int
}

func keyOfStart(s *place.StartOrder) startKey { return startKey{s.Task, s.Attempt} }

// pendingEnd is the end of an attempt that has been handled.
type pendingEnd struct {
	number uint64
	job    jobs.ID // whose progress it changed
}

// workerClient is the part of [platform.Worker] that agents use.
type workerClient interface {
	Hold(ctx context.Context, r platform.HoldRequest) (platform.Listing, error)
	Start(ctx context.Context, r platform.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, t jobs.Task, attempt int, token uint64) error
	Pace(ctx context.Context, t jobs.Task, attempt, percent int, token uint64) error
	Close()
}

// agent talks to one lifetime of a worker: it renews the leases of its tasks, reads
// its lists of running and ended tasks, and sends it orders.
type agent struct {
	key    string
	owner  *Owner
	worker workerClient
	ctx    context.Context
	cancel context.CancelFunc
	starts chan order // they may have to wait for a slot
	stops  chan order // stops and paces, which must not wait behind starts

	reads listReads

	mu             sync.Mutex
	workerClock    time.Duration // the worker's clock when it sent the answer that was read at clockAt
	clockAt        time.Time
	endStated      bool              // the stored registration may state when the leases end: none is granted
	leasesExpireAt time.Time         // all granted leases have expired by then, also those of earlier owners
	queuedStarts   map[startKey]bool // starts that wait to be sent; true if they must not be
	lapses         int               // how often all leases were found expired; starts queued before are void
	ackNumber      uint64            // ends up to this number may be acknowledged
	ackRaised      chan struct{}     // closed when ackNumber rises
	busy           bool              // it has tasks
	leaving        bool              // it gets no new tasks: it drains or is gone
	vacating       bool              // its host is wanted elsewhere: it gets no batch tasks
	answeredCallAt time.Time         // when the latest hold call that was answered was sent
	brokenAt       time.Time         // when a hold call under way last broke off: the worker may have crashed then
	failedCallAt   time.Time         // when the latest hold call that failed should have been answered
	firstFailureAt time.Time         // when a call first failed since the worker last answered one, zero if none did
	connsFailed    bool              // that call broke off or was refused, instead of having no answer

	entry         platform.WorkerEntry // used only in the owner's loop, like all fields below
	missingSince  time.Time            // when its entry disappeared, zero if it is present
	unreadable    bool                 // its entry became malformed, and has not been whole since
	handledEnd    uint64               // highest number of an end that has been handled
	unstored      []pendingEnd         // handled ends whose effect is not known to be durable, by number
	durableEnd    uint64               // highest number of an end whose effect is durable
	answered      bool                 // it has answered this owner
	endsCut       bool                 // it has not yet listed all the ends that it had when it first answered
	registered    bool                 // it is registered durably
	leaseEnd      time.Duration        // when its leases end, on the store's clock; 0 while they are renewed
	silent        bool                 // it does not answer
	knownBusy     bool                 // the value of busy that was set last
	orderedAt     time.Time            // when its host was ordered elsewhere though it had tasks, zero if it was not
	lifetimeEnded bool
	endCause      string    // why the lifetime counts as ended
	endedAt       time.Time // when that was found
	unlistedUntil time.Time // until when a later lifetime may run unlisted attempts of this one; zero if none does
}

func newAgent(ctx context.Context, o *Owner, e platform.WorkerEntry, w workerClient) *agent {
	ctx, cancel := context.WithCancel(ctx)
	a := &agent{
		key: lifetimeKey(e), owner: o, worker: w, ctx: ctx, cancel: cancel,
		starts: make(chan order, orderQueueSize), stops: make(chan order, orderQueueSize), ackRaised: make(chan struct{}), entry: e,
		endStated: o.statedEnds[lifetimeKey(e)] > 0, leasesExpireAt: o.earlierLeasesEnd(),
	}
	go a.hold(ctx)
	for range maxParallelOrders {
		go a.runOrders(ctx, a.starts)
		go a.runOrders(ctx, a.stops)
	}
	return a
}

// rack returns the rack of the worker, empty if it is not known.
func (a *agent) rack() string {
	if len(a.entry.Labels) > 1 {
		return a.entry.Labels[1]
	}
	return ""
}

// close stops the agent. Tasks at the worker run on until their lease ends.
func (a *agent) close() {
	a.cancel()
	a.mu.Lock()
	for key := range a.queuedStarts { // its starts are not taken from the queue any more
		delete(a.queuedStarts, key)
		a.owner.startsWaiting.Add(-1)
	}
	a.mu.Unlock()
	a.worker.Close()
}

// nextLease returns the end of a new lease on the worker's clock and records when the lease
// has expired for certain. It returns 0 if that clock is not known yet, or not whether this
// process still owns the pool.
func (a *agent) nextLease() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grantLease()
}

// grantLease is [agent.nextLease] with a.mu held.
func (a *agent) grantLease() time.Duration {
	base, owned := a.owner.status.leaseBase(time.Now())
	if a.clockAt.IsZero() || !owned || a.endStated {
		return 0
	}
	until := a.clock(base) + a.owner.lease
	remaining := time.Duration(float64(until-a.workerClock) * (1 + maxClockDrift))
	if by := a.clockAt.Add(remaining + leaseMargin); by.After(a.leasesExpireAt) {
		a.leasesExpireAt = by
	}
	return until
}

// stateEnd reports whether it may be stored when the leases of earlier owners end: this one has
// granted none. From then on it grants none until allowLeases.
func (a *agent) stateEnd() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endStated = a.endStated || a.clockAt.IsZero()
	return a.endStated
}

// allowLeases lets the agent grant leases: the stored registration states no end of them.
func (a *agent) allowLeases() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endStated = false
}

// leasesEnd returns when all leases granted until now have expired.
func (a *agent) leasesEnd() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leasesExpireAt
}

// extendLeases records that leases at the worker may last until a time.
func (a *agent) extendLeases(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leasesExpireAt = later(a.leasesExpireAt, until)
}

// expireLeases reports whether every granted lease has expired. If so, the starts that
// were queued until now are void: their tasks are about to be placed elsewhere.
func (a *agent) expireLeases(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.After(a.leasesExpireAt) {
		return false
	}
	a.lapses++
	return true
}

// leaseForStart returns the end of the lease that a start carries which is about to be sent. It
// is at most maxStartDelay ahead, since the worker rejects a start that comes after it.
// Renewals extend the lease of what has started.
//
// It returns an error if the start must not be sent any more: the worker does not answer, its
// leases expired while the start was queued, the start was withdrawn, or another process may
// own the pool.
func (a *agent) leaseForStart(o order) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	withdrawn := a.queuedStarts[keyOfStart(o.start)]
	a.unqueueStart(o.start)
	switch {
	case withdrawn:
		return 0, errWithdrawn
	case a.failedCallAt.After(a.answeredCallAt), a.lapses != o.lapses:
		return 0, errUnresponsive
	case !o.queuedAt.IsZero() && time.Since(o.queuedAt) > maxStartAge:
		return 0, errStale
	case a.leaving, a.vacating && !o.urgent:
		return 0, errLeaving
	case !a.owner.status.current(time.Now()):
		return 0, errOwnershipUnknown
	}
	return min(a.grantLease(), a.clock(time.Now())+maxStartDelay), nil
}

// unqueueStart records that a start no longer waits to be sent. a.mu is held.
func (a *agent) unqueueStart(s *place.StartOrder) {
	if _, queued := a.queuedStarts[keyOfStart(s)]; queued {
		delete(a.queuedStarts, keyOfStart(s))
		a.owner.startsWaiting.Add(-1)
	}
}

// withdrawStart keeps a start from being sent, if it is still queued.
func (a *agent) withdrawStart(s place.StopOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := startKey{s.Task, s.Attempt}
	if _, queued := a.queuedStarts[key]; queued {
		a.queuedStarts[key] = true
	}
}

// clock returns a lower bound of the worker's clock at a time, even if that clock is
// slow: a longer lease might outlast the time that a new owner waits for it. a.mu is held.
func (a *agent) clock(at time.Time) time.Duration {
	rate := 1 - maxClockDrift
	if at.Before(a.clockAt) {
		rate = 1 + maxClockDrift
	}
	return a.workerClock + time.Duration(float64(at.Sub(a.clockAt))*rate)
}

// setClock records a reading of the worker's clock from an answer that was read at a
// time. It ignores an answer that was read so late that an earlier reading tells more.
func (a *agent) setClock(clock time.Duration, readAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clockAt.IsZero() || clock >= a.clock(readAt) {
		a.workerClock, a.clockAt = clock, readAt
	}
}

func (a *agent) setAck(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if number > a.ackNumber {
		a.ackNumber = number
		close(a.ackRaised)
		a.ackRaised = make(chan struct{})
	}
}

// awaitAck waits until ends up to number may be acknowledged, for at most timeout.
func (a *agent) awaitAck(ctx context.Context, number uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		a.mu.Lock()
		ack, raised := a.ackNumber, a.ackRaised
		a.mu.Unlock()
		if ack >= number {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-raised:
		}
	}
}

// setLeaving sets which starts that are still queued must not be sent: all if the worker
// leaves, those of batch tasks if it is only to be vacated.
func (a *agent) setLeaving(leaving, vacating bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving, a.vacating = leaving, vacating
}

func (a *agent) setBusy(busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = busy
}

// callContext returns the context of a call to the worker, which ends after timeout. A
// process that was stopped or is busy handles timers before it reads the answers that have
// arrived meanwhile. So the timeout waits for its turn among the goroutines with work to
// do, and if that took long, the call gets lateGrace more.
func callContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	deadline := time.Now().Add(timeout)
	expire := func() { cancel(context.DeadlineExceeded) }
	timer := time.AfterFunc(timeout, func() {
		runtime.Gosched()
		if time.Since(deadline) > lateTolerance {
			time.AfterFunc(lateGrace, expire)
			return
		}
		expire()
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// timedOutLate reports whether a call failed because its timeout was over, and returned
// late after its deadline. This process was held up then, and the failure says nothing
// about the worker.
func timedOutLate(err error, late time.Duration) bool {
	return late > lateTolerance && errors.Is(err, platform.ErrOutcomeUnknown)
}

// hold renews the worker's leases and reads its lists in a loop.
func (a *agent) hold(ctx context.Context) {
	immediate := true // the first call and retries after a failure do not wait
	lateCalls := 0    // calls in a row that timed out late
	lastEnd, ackWait := uint64(0), ackTimeout
	for ctx.Err() == nil {
		a.mu.Lock()
		ack, busy := a.ackNumber, a.busy
		a.mu.Unlock()
		o := platform.HoldRequest{Token: a.owner.token}
		if !a.isUnresponsive() {
			o.Until = a.nextLease() // not after a failure: the leases of a lost worker must expire
		}
		if !immediate {
			o.Ack = ack // a renewal that waits has its own connection, on which just this lifetime has answered
			o.Wait = idleHoldWait
			if busy {
				o.Wait = busyHoldWait
			}
			if o.Until == 0 { // the next one can extend the lease, and a start carries a short one
				o.Wait = min(o.Wait, heartbeatPeriod)
			}
		}
		requestedAt := time.Now()
		callCtx, cancel := callContext(ctx, o.Wait+answerTimeout)
		l, err := a.worker.Hold(callCtx, o)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			immediate = true
			if errors.Is(err, platform.ErrConnectionBroken) {
				a.setBroken(time.Now())
			}
			late := time.Since(requestedAt) - o.Wait - answerTimeout
			if timedOutLate(err, late) && lateCalls < maxLateCalls {
				lateCalls++
				metricLateCalls.Inc()
				continue
			}
			a.noteFailure(err, time.Now())
			a.callFailed(requestedAt.Add(o.Wait))
			a.owner.post(func() { a.owner.holdFailed(a, err, late) })
			sleep(ctx, retryDelay)
			continue
		}
		a.setClock(l.Clock, l.ReadAt)
		a.callAnswered(requestedAt)
		lateCalls = 0
		immediate = a.isUnresponsive() // to find out at once whether it answers again
		last := l.LastEnd()
		a.owner.post(func() { a.owner.handleListing(a, l, requestedAt) })
		if last > 0 {
			ackWait = nextAckWait(ackWait, last > lastEnd)
			lastEnd = last
			a.awaitAck(ctx, last, ackWait)
			if pause := time.Until(a.owner.holdPause.until(requestedAt)); pause > 0 {
				sleep(ctx, pause)
			}
		}
	}
}

// nextAckWait returns how long to wait until a worker's ends may be acknowledged. A worker
// with unacknowledged ends answers holds at once, with all of them: without longer waits a
// slow store or a busy owner would be asked to handle the same ends again and again.
func nextAckWait(last time.Duration, newEnds bool) time.Duration {
	if newEnds {
		return ackTimeout
	}
	return min(2*last, busyHoldWait)
}

// listReads lets calls at the same time share a read of a worker's lists that begins after them:
// hundreds of starts may be without an answer, and each list names all that runs there.
type listReads struct {
	mu            sync.Mutex
	current, next chan struct{} // closed at the end of the read under way, and of the one after it; nil if there is none
}

// do calls read, unless a call that begins later does, and returns at the end of that one.
func (r *listReads) do(ctx context.Context, read func()) {
	r.mu.Lock()
	if next := r.next; next != nil {
		r.mu.Unlock()
		wait(ctx, next)
		return
	}
	own, before := make(chan struct{}), r.current
	if before != nil {
		r.next = own
		r.mu.Unlock()
		wait(ctx, before)
		r.mu.Lock()
		r.next = nil
	}
	r.current = own
	r.mu.Unlock()
	read()
	r.mu.Lock()
	if r.current == own {
		r.current = nil
	}
	r.mu.Unlock()
	close(own)
}

func wait(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// readLists reads the worker's lists at once, even while a hold call is waiting. It is called
// when an order had no answer, and acknowledges nothing: the worker may have started again.
func (a *agent) readLists(ctx context.Context) {
	a.reads.do(ctx, func() { a.readListsOnce(ctx) })
}

func (a *agent) readListsOnce(ctx context.Context) {
	requestedAt := time.Now()
	callCtx, cancel := callContext(ctx, orderTimeout)
	defer cancel()
	l, err := a.worker.Hold(callCtx, platform.HoldRequest{Token: a.owner.token})
	if ctx.Err() != nil {
		return
	}
	late := time.Since(requestedAt) - orderTimeout
	if timedOutLate(err, late) {
		metricLateCalls.Inc()
		return // the next renewal shows whether the worker answers
	}
	if err != nil {
		a.noteFailure(err, time.Now())
		a.callFailed(requestedAt)
		a.owner.post(func() { a.owner.holdFailed(a, err, late) })
		return
	}
	a.callAnswered(requestedAt)
	a.owner.post(func() { a.owner.handleListing(a, l, requestedAt) })
}

// Reasons why an order was not sent.
var (
	errUnresponsive = errors.Wrap(platform.ErrNotDone, "the worker does not answer")
	errQueueFull    = errors.Wrap(platform.ErrNotDone, "the worker's order queue is full")
	errWithdrawn    = errors.Wrap(platform.ErrNotDone, "the attempt is not wanted any more")
	errStale        = errors.Wrap(platform.ErrNotDone, "the start waited too long")
	errLeaving      = errors.Wrap(platform.ErrNotDone, "the worker leaves")

	errOwnershipUnknown = errors.Wrap(platform.ErrNotDone, "another process may own the pool")
)

// isUnresponsive reports whether the worker has left a hold call unanswered and has
// not answered one that was sent later. The answer to an earlier call, such as a
// renewal that waited at the worker, does not show that it answers new calls. Starts
// are refused while the worker is unresponsive.
func (a *agent) isUnresponsive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failedCallAt.After(a.answeredCallAt)
}

// callAnswered records that a hold call sent at sentAt was answered.
func (a *agent) callAnswered(sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.After(a.answeredCallAt) {
		a.answeredCallAt = sentAt
	}
	if sentAt.After(a.firstFailureAt) {
		a.firstFailureAt, a.connsFailed = time.Time{}, false
	}
}

func (a *agent) setBroken(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.brokenAt = at
}

// lastBroken returns when a hold call under way last broke off, zero if none did.
func (a *agent) lastBroken() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.brokenAt
}

// noteFailure records how calls to the worker began to fail. A process that has crashed breaks
// its connections off and refuses new ones. A host that is dark or cut off answers nothing, and
// connections that break later say nothing about when, and why, the worker was lost.
func (a *agent) noteFailure(err error, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstFailureAt.IsZero() && !isLifetimeOver(err) {
		a.firstFailureAt, a.connsFailed = at, errors.IsAny(err, platform.ErrConnectionBroken, platform.ErrConnectionRefused)
	}
}

// connectionsFailed returns when connections to the worker broke off or were refused, zero if
// it answers or had fallen silent before.
func (a *agent) connectionsFailed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.connsFailed {
		return time.Time{}
	}
	return a.firstFailureAt
}

// callFailed records that a hold call failed that should have been answered by dueAt.
func (a *agent) callFailed(dueAt time.Time) {
	if now := time.Now(); now.Before(dueAt) {
		dueAt = now
	}
	a.mu.Lock()
	if dueAt.After(a.failedCallAt) {
		a.failedCallAt = dueAt
	}
	a.mu.Unlock()
	if a.isUnresponsive() {
		a.rejectQueuedStarts()
	}
}

// enqueue queues an order. It does not accept a start for an unresponsive worker, which
// would wait behind orders that get no answer.
func (a *agent) enqueue(o order) error {
	a.mu.Lock() // a start queued before callFailed takes effect is rejected by it
	defer a.mu.Unlock()
	if o.start != nil && a.failedCallAt.After(a.answeredCallAt) {
		return errUnresponsive
	}
	o.lapses, o.queuedAt = a.lapses, time.Now()
	if o.urgent {
		a.owner.lastingStarts.Add(1)
		go func() {
			defer a.owner.lastingStarts.Add(-1)
			a.execute(a.ctx, o)
		}()
		return nil
	}
	queue := a.starts
	if o.start == nil {
		queue = a.stops
	}
	select {
	case queue <- o:
	default:
		if !o.gang {
			return errQueueFull
		}
		go a.queueLater(o)
	}
	if o.start != nil {
		if a.queuedStarts == nil {
			a.queuedStarts = map[startKey]bool{}
		}
		a.queuedStarts[keyOfStart(o.start)] = false
		a.owner.startsWaiting.Add(1)
	}
	return nil
}

// queueLater queues a start once there is room: the members of a gang wait for each other at the
// worker, so that none may be given back while the others are sent.
func (a *agent) queueLater(o order) {
	select {
	case a.starts <- o:
	case <-a.ctx.Done():
	}
}

// rejectQueuedStarts rejects the queued starts, so that they can be placed
// elsewhere at once. Otherwise they would wait until every start before them has
// timed out.
func (a *agent) rejectQueuedStarts() {
	for _, s := range a.takeQueuedStarts() {
		a.owner.post(func() { a.owner.startAnswered(a, s, errUnresponsive) })
	}
}

// takeQueuedStarts removes the starts that wait to be sent, and returns them.
func (a *agent) takeQueuedStarts() []place.StartOrder {
	var starts []place.StartOrder
	for range len(a.starts) {
		select {
		case o := <-a.starts:
			a.mu.Lock()
			a.unqueueStart(o.start)
			a.mu.Unlock()
			starts = append(starts, *o.start)
		default:
			return starts
		}
	}
	return starts
}

// runOrders sends the orders of a queue until ctx ends.
func (a *agent) runOrders(ctx context.Context, queue <-chan order) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-queue:
			if o.start == nil {
				a.execute(ctx, o)
				continue
			}
			select {
			case <-ctx.Done():
				return
			case a.owner.startSlots <- struct{}{}:
			}
			a.execute(ctx, o)
			<-a.owner.startSlots
		}
	}
}

func (a *agent) execute(ctx context.Context, o order) {
	if o.start == nil && !a.owner.status.current(time.Now()) {
		a.rejectOrder(ctx, o)
		return
	}
	callCtx, cancel := callContext(ctx, orderTimeout)
	defer cancel()
	switch {
	case o.start != nil:
		s := *o.start
		until, err := a.leaseForStart(o)
		if err != nil {
			a.owner.post(func() { a.owner.startAnswered(a, s, err) })
			return
		}
		sentAt := time.Now()
		a.owner.startsSent.Add(1)
		_, err = a.worker.Start(callCtx, platform.StartRequest{
			Task: s.Task, Attempt: s.Attempt, Spec: s.Spec, Until: until,
			Token: a.owner.token, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		})
		if timedOutLate(err, time.Since(sentAt)-orderTimeout) {
			a.readLists(ctx) // the attempt may run
		} else if errors.IsAny(err, platform.ErrOutcomeUnknown, platform.ErrConnectionRefused) {
			a.noteFailure(err, time.Now())
		}
		a.owner.post(func() {
			if o.urgent {
				a.owner.recordLastingStart(a, err)
			}
			a.owner.startAnswered(a, s, err)
		})
		if errors.Is(err, platform.ErrOutcomeUnknown) {
			a.readLists(ctx) // to find out whether the worker still answers
		}
	case o.stop != nil:
		s := *o.stop
		err := a.worker.Stop(callCtx, s.Task, s.Attempt, a.owner.token)
		answered := time.Now()
		if err != nil && ctx.Err() == nil {
			sleep(ctx, retryDelay)
		}
		a.owner.post(func() { a.owner.stopAnswered(a, s, answered, err) })
		if err == nil && s.Unconfirmed {
			a.readLists(ctx)
		}
	case o.pace != nil:
		err := a.worker.Pace(callCtx, o.pace.Task, o.pace.Attempt, o.pace.Percent, a.owner.token)
		a.owner.post(func() { a.owner.paceAnswered(a, *o.pace, err) })
	}
}

// rejectOrder does not send a stop or a pace order, as another process may own the pool.
func (a *agent) rejectOrder(ctx context.Context, o order) {
	sleep(ctx, retryDelay) // a stop is ordered again at once
	if o.stop != nil {
		a.owner.post(func() { a.owner.stopAnswered(a, *o.stop, time.Now(), errOwnershipUnknown) })
		return
	}
	a.owner.post(func() { a.owner.paceAnswered(a, *o.pace, errOwnershipUnknown) })
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// isLifetimeOver reports whether err means that the worker's lifetime has ended.
func isLifetimeOver(err error) bool { return errors.Is(err, platform.ErrLifetimeMismatch) }
