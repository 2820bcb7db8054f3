package pool

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	// maxPause is how long this process may stand still. Other processes claim the pool of an
	// owner that reaches them only after a longer silence, see peerTimeout in package daemon.
	maxPause = 500 * time.Millisecond
	// maxConfirmAge is how long ago the ownership may have been confirmed last for orders and
	// answers: two heartbeats, and the timeout of a transaction after which the store counts as lost.
	maxConfirmAge = 2*heartbeatPeriod + commitTimeout
)

var metricPauses = metrics.NewCounter("papayarudder_owner_pauses_total")

// ownershipStatus records when this process was last known to own its pool. Leases count
// from that time, so that none outlasts what a later owner waits for, whenever it is granted.
//
// An answer of the store confirms the ownership. While the store can't be reached, the
// ownership is presumed to last until the time up to which no other process can have claimed
// the pool, as long as this one runs without a pause.
type ownershipStatus struct {
	notClaimedUntil func(members uint64, pausedAt time.Time) time.Time // nil if there are no other processes
	bootTime        func() time.Duration                               // since the host started, including the time that it was suspended
	wallTime        func() time.Time                                   // counts suspensions too, and is set at times
	paused          func(time.Duration)                                // called when a pause is found, nil for nothing

	mu            sync.Mutex
	confirmedAt   time.Time // when the latest request was sent whose answer confirmed the ownership
	members       uint64    // version of the table of processes in the latest transaction that took effect
	presumedUntil time.Time // until when the ownership is presumed without the store
	runningAt     time.Time // when this process was last seen to run, zero before the owner's loop runs
	runningBoot   time.Duration
	runningWall   time.Time
	pausedAt      time.Time // when a pause was found, zero if the ownership was confirmed since
	lastPausedAt  time.Time // when a pause was last found
}

func newOwnershipStatus(claimedAt time.Time, notClaimedUntil func(members uint64, pausedAt time.Time) time.Time) *ownershipStatus {
	return &ownershipStatus{notClaimedUntil: notClaimedUntil, bootTime: bootTime, wallTime: wallTime, confirmedAt: claimedAt}
}

// bootTime returns the time since the host started. Unlike the monotonic clock it counts the
// time that the host was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // not on Linux 2.6.39 or later; suspensions are not noticed
	}
	return time.Duration(t.Nano())
}

// wallTime returns the time of day, without a reading of the monotonic clock.
func wallTime() time.Time { return time.Now().Round(0) }

// confirm records an answer of the store that shows the ownership, to a request sent at sentAt, and
// the version of the table of processes in it.
func (s *ownershipStatus) confirm(sentAt time.Time, members uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = max(s.members, members)
	if sentAt.Before(s.pausedAt) {
		return // the pool may have been claimed during the pause
	}
	s.pausedAt = time.Time{}
	if sentAt.After(s.confirmedAt) {
		s.confirmedAt = sentAt
	}
}

// recordRunning records that the owner's loop runs, and whether the store is lost.
func (s *ownershipStatus) recordRunning(now time.Time, storeLost bool) {
	var presumed time.Time
	if storeLost {
		presumed = s.presume(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findPause(now)
	s.runningAt, s.runningBoot, s.runningWall = now, s.bootTime(), s.wallTime()
	if s.pausedAt.IsZero() && presumed.After(s.presumedUntil) {
		s.presumedUntil = presumed
	}
}

// MaxPresumption is for how long an ownership may be presumed without the store. After that a process
// may claim the pool that the owner never heard of.
const MaxPresumption = time.Hour

// presume returns until when the ownership lasts at least, as far as other processes tell.
func (s *ownershipStatus) presume(now time.Time) time.Time {
	if s.notClaimedUntil == nil {
		return now
	}
	s.mu.Lock()
	members, pausedAt, limit := s.members, s.lastPausedAt, s.confirmedAt.Add(MaxPresumption)
	s.mu.Unlock()
	if limit.Before(now) {
		now = limit
	}
	if until := s.notClaimedUntil(members, pausedAt); until.Before(now) {
		return until
	}
	return now
}

// findPause checks for how long this process has stood still. It reads the boot clock only if
// the wall clock shows more time than the monotonic clock. s.mu is held.
func (s *ownershipStatus) findPause(now time.Time) {
	if s.runningAt.IsZero() {
		return
	}
	pause, wall := now.Sub(s.runningAt), s.wallTime()
	boot := s.runningBoot + pause
	if pause <= maxPause && wall.Sub(s.runningWall) > maxPause {
		boot = s.bootTime()
		pause = boot - s.runningBoot // unless the wall clock was set
	}
	if pause <= maxPause {
		s.runningAt, s.runningBoot, s.runningWall = now, boot, wall
		return
	}
	s.pausedAt, s.lastPausedAt = now, now
	s.runningAt, s.runningBoot, s.runningWall = now, s.bootTime(), wall
	metricPauses.Inc()
	if s.paused != nil {
		s.paused(pause)
	}
}

// leaseBase returns the last time at which this process is known to have owned the pool. It
// returns false after a pause, until the store confirms the ownership.
func (s *ownershipStatus) leaseBase(now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findPause(now)
	if !s.pausedAt.IsZero() {
		return time.Time{}, false
	}
	if s.presumedUntil.After(s.confirmedAt) {
		return s.presumedUntil, true
	}
	return s.confirmedAt, true
}

// current reports whether the ownership is known to have lasted until shortly before now.
func (s *ownershipStatus) current(now time.Time) bool {
	base, known := s.leaseBase(now)
	return known && now.Sub(base) <= maxConfirmAge
}

// ConfirmedAt returns when the latest request was sent whose answer confirmed the ownership, and
// when a pause of the process was last found, zero if none was.
func (o *Owner) ConfirmedAt() (confirmedAt, pausedAt time.Time) {
	o.status.mu.Lock()
	defer o.status.mu.Unlock()
	return o.status.confirmedAt, o.status.lastPausedAt
}

// awaitsConfirmation reports whether the store has not confirmed the ownership since a pause.
func (s *ownershipStatus) awaitsConfirmation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pausedAt.IsZero()
}
