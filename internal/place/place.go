// Package place schedules the tasks of one pool: it decides where and when they run.
// It does no I/O and reads no clock. Its input is jobs, workers, the listings of the
// workers and the time; its output is orders.
//
// # Usage
//
//	board := place.NewBoard(place.DefaultPolicy(), firstAttempt)
//	board.SetWorker(place.Worker{Key: "i-7@1", ID: "i-7", Size: size})
//	board.Add(job, jobs.NewProgress(job), now)
//	for _, s := range board.Decide(now).Starts {
//		// send s to its worker, then call board.Started, board.StartUnanswered or board.Refused
//	}
//
// The caller reports the result of a start order with Started, StartUnanswered or Refused,
// that of a stop order with StopAnswered or StopFailed, the listing of a worker with
// Listed, and the expiry of a worker's leases with ExpireLeases. It reports that a worker may
// have crashed with SuspectCrash, and how its lifetime ended with WorkerCrashed or WorkerLeft,
// before it removes the worker. Dirty returns the jobs
// whose progress has changed and is yet to be written to storage.
//
// An attempt is held from its start order until it is known to have ended. A task
// with an attempt that may still be running is not started again, unless its step
// allows copies.
package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Policy holds the scheduling parameters.
type Policy struct {
	StallTime           time.Duration // a batch task whose percentage does not change for this long is moved
	RetryDelay          time.Duration // initial backoff before a long-running task is restarted; doubles each time
	MaxRetryDelay       time.Duration
	ProbationTime       time.Duration // after a failure, how long a worker gets one batch task at a time
	QuarantineFailures  int           // consecutive failures after which a worker is quarantined
	QuarantineTime      time.Duration // how long a worker is quarantined before it is tried again
	ReserveShare        float64       // share of the largest worker; a waiting task larger than this may reserve a worker
	MaxQuarantinedShare float64       // share of the pool's workers that may be quarantined
	StartTimeout        time.Duration // a long-running task that is not available after this long is restarted
	CrashWindow         time.Duration // a crash puts attempts under suspicion that have not run this long
	BlameWindow         time.Duration // a task may be given up for a worker whose connections failed this soon after the order
	TrialTime           time.Duration // after the start of a task that may crash its worker, how long no other starts there
	UnavailableAfter    time.Duration // a long-running task that is not available for this long counts as unavailable
	StopTime            time.Duration // within which a stopped attempt ends; until then its worker may list it
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		StallTime:           1500 * time.Millisecond, // between two listings with the same percentage
		RetryDelay:          100 * time.Millisecond,
		MaxRetryDelay:       2 * time.Second, // the platform requires a long-running task to be restarted within 3 s
		ProbationTime:       2 * time.Second,
		QuarantineFailures:  2,
		QuarantineTime:      3 * time.Second,
		ReserveShare:        0.25,
		MaxQuarantinedShare: 0.5,
		StartTimeout:        4 * time.Second,
		CrashWindow:         time.Second,             // plays show 6 to 10 ms; answers of a busy worker or owner come later
		BlameWindow:         250 * time.Millisecond,  // plays show 20 to 30 ms from the start; a busy owner sends it and notices the crash later
		TrialTime:           150 * time.Millisecond,  // plays show 6 to 10 ms, and 20 ms more until the owner notices
		UnavailableAfter:    4500 * time.Millisecond, // the platform's notice_ms
		StopTime:            400 * time.Millisecond,  // the platform's longest stop_ms
	}
}

// Phase is the state of an attempt as far as the owner knows it.
type Phase int

// The phases of an attempt.
const (
	Starting    Phase = iota // start ordered, no answer yet
	Unconfirmed              // the start got no answer; a stop is ordered to rule out that it runs
	Live                     // confirmed by the worker
	Stopping                 // a stop was ordered
)

// Attempt is one run of a task, held from its start order until it is known to have
// ended.
type Attempt struct {
	Task        jobs.Task
	Number      int
	Worker      string // key of the worker lifetime it was ordered at
	Phase       Phase
	OrderedAt   time.Time // when the start was ordered
	ConfirmedAt time.Time // when the worker first confirmed it
	StopAckedAt time.Time // when the worker acknowledged a stop, zero before

	Percent          int
	PercentChangedAt time.Time // when Percent last changed, or when it started
	AvailableSince   time.Time // since when a long-running task has been available, zero if it is not
	Load             int       // tail latency in ms of a task with a target
	Pace             int       // percent of full speed that it may use
	Checkpoint       string

	entry         *jobEntry
	step          *jobs.Step
	worker        *worker
	shownAt       time.Time // when the newest listing that shows it was requested
	firstPercent  int       // when this owner first knew of it
	listing       uint64    // number of the last listing that was applied and shows it
	stopRequested bool      // a stop order is due
	reschedule    bool      // its task may be queued again without a backoff
	stalled       bool      // stopped because its percentage did not change
	awaitsListing bool      // its start was not answered; the next listing shows whether it runs
	adopted       bool      // an earlier owner started it
	stoppedUntil  time.Time // an earlier owner may have stopped it: until then its worker may list it though it is about to end

	copyable  bool       // a copy of its task may be started
	slow      *slowIndex // that holds it, nil if none does
	overdueAt time.Time  // by which slow sorts it
	heapIndex int        // its place in slow
}

func (a *Attempt) stepKey() stepKey { return stepKey{a.Task.Occurrence, a.Task.Step} }

// Listed reports whether a listing of its worker's lifetime has shown the attempt.
func (a *Attempt) Listed() bool { return !a.shownAt.IsZero() }

// Worker is one lifetime of a host that runs tasks.
type Worker struct {
	Key    string // of this lifetime
	ID     string
	Rack   string
	Labels []string
	Size   jobs.Resources

	Draining bool // is leaving
	Silent   bool // does not answer
	Vacate   bool // its host is needed elsewhere: no new tasks, long-running ones move
	Closed   bool // gets no new tasks; those that it has stay
}

// worker is a Worker with its attempts and scheduling state.
type worker struct {
	Worker
	used     jobs.Resources
	attempts map[jobs.Task]*Attempt
	// unexpected is the part of used for listed attempts that should not run here.
	unexpected       jobs.Resources
	unexpectedClaims map[*organisation]jobs.Resources // of those attempts, nil if there are none
	lasting          int                              // attempts of long-running tasks
	lastingUsed      jobs.Resources                   // what these claim
	filling          int                              // attempts of best-effort tasks
	targeted         int                              // attempts of tasks with a target
	fillingTargeted  int                              // attempts of best-effort tasks with a target
	promised         int                              // long-running tasks about to move here
	promisedClaims   jobs.Resources                   // of those; part of used
	health           health
	starting         int      // attempts whose start order has no answer yet
	trial            *Attempt // latest start of a task with recorded crashes
	reserved         bool     // by the current decision, for a task that does not fit yet

	failedAt    time.Time // when its connections broke off or were refused, zero if they hold or it fell silent before
	busyAtLoss  bool      // it had attempts then, and was not leaving
	lostInPair  bool      // another busy worker was lost at the same time
	commonCause bool      // so many were, or one without a task to blame, that no task is to blame
	aliveUntil  time.Time // it is known to have run until then, zero if it has not been found dead
	suspectedAt time.Time // when it was first suspected to have crashed under a task, zero if it was not
	rackLostAt  time.Time // when another worker of its rack was, if at about the same time
	pausedUntil time.Time // after it refused a start
	listedAt    time.Time // when its newest listing was requested
	silentSince time.Time // since when it has not answered, zero if it does
	pacedAt     time.Time // when the pace of its best-effort tasks last changed
	idleSince   time.Time // when it was first seen without attempts, zero if it has any
}

func (w *worker) free() jobs.Resources { return w.Size.Sub(w.used) }

// setPhase sets the phase of an attempt at its worker.
func (a *Attempt) setPhase(p Phase) {
	if a.Phase == Starting {
		a.worker.starting--
	}
	if a.Phase = p; p == Starting {
		a.worker.starting++
	}
}

// lastingClaims returns what the long-running tasks claim that are at the worker or about to
// move there.
func (w *worker) lastingClaims() jobs.Resources { return w.promisedClaims.Add(w.lastingUsed) }

// batchAttempts returns the number of attempts of batch tasks.
func (w *worker) batchAttempts() int { return len(w.attempts) - w.lasting }

// count adds n to the numbers of attempts of a step's kind.
func (w *worker) count(s *jobs.Step, n int) {
	if s.LongRunning {
		w.lasting += n
		w.lastingUsed = w.lastingUsed.Add(s.Claim().Times(n))
	}
	if s.BestEffort {
		w.filling += n
	}
	if s.Target > 0 {
		w.targeted += n
	}
	if s.BestEffort && s.Target > 0 {
		w.fillingTargeted += n
	}
}

// interfering returns the number of attempts that a task of a step would slow down, or that would
// slow it down.
func (w *worker) interfering(s *jobs.Step) int {
	switch {
	case s.BestEffort && s.Target > 0:
		return w.targeted + w.filling - w.fillingTargeted
	case s.BestEffort:
		return w.targeted
	case s.Target > 0:
		return w.filling
	}
	return 0
}

// acceptsTasks reports whether the worker may get new tasks.
func (w *worker) acceptsTasks() bool { return !w.Draining && !w.Silent && !w.Vacate && !w.Closed }

// isLeaving reports whether its long-running tasks are to move elsewhere.
func (w *worker) isLeaving() bool { return w.Draining || w.Vacate }

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StartOrder is an order to start an attempt.
type StartOrder struct {
	Worker     string
	Task       jobs.Task
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string
}

// StopOrder is an order to stop an attempt.
type StopOrder struct {
	Worker      string
	Task        jobs.Task
	Attempt     int
	Cause       string
	Unconfirmed bool // the start got no answer; the task waits until a listing shows that it does not run
}

// PaceOrder sets the percentage of full speed that an attempt may use.
type PaceOrder struct {
	Worker  string
	Task    jobs.Task
	Attempt int
	Percent int
}

// AdviceOrder is a request for advice on which of some workers may run a step.
type AdviceOrder struct {
	Job        jobs.ID
	Occurrence int
	Step       int
	Queue      string
	Workers    []string // ids
}

// Orders holds the orders of one decision.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Advice []AdviceOrder
}
