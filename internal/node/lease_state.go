package node

import (
	"sync"
	"time"
)

// leaseState tracks whether this process's lease is valid, so that it may act on
// its configuration. A process whose lease may have lapsed is fenced, because the
// others may count it as gone. While the table service fails, promises of a
// majority of members extend the lease.
//
// A tenure is a period in which the lease was held without a gap. Changes made
// between two tenures are unknown here, so a process that renews a lapsed lease
// stays fenced until it has caught up with the table service.
type leaseState struct {
	duration time.Duration
	now      func() time.Time

	mu         sync.Mutex
	validUntil time.Time // end of the lease
	tenure     uint64
	caughtUp   uint64 // last tenure in which this process caught up
	tableDown  bool   // whether the last renewal in the table service failed
}

// recordRenewal records a successful renewal. The lease counts from the time when
// the renewal was sent.
func (l *leaseState) recordRenewal(sent time.Time) (wasDown, newTenure bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newTenure = sent.After(l.validUntil)
	if newTenure {
		l.tenure++
	}
	l.validUntil = sent.Add(l.duration)
	wasDown = l.tableDown
	l.tableDown = false
	return wasDown, newTenure
}

// currentTenure returns the number of the current or last tenure, 0 if no lease
// was ever held.
func (l *leaseState) currentTenure() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenure
}

// recordCaughtUp records that this process has read all changes from the table
// service, with reads that began in the given tenure.
func (l *leaseState) recordCaughtUp(tenure uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caughtUp = max(l.caughtUp, tenure)
}

// extend extends the lease after a majority promised, at the time sent or later,
// not to count this process as gone. It does not revive a lapsed lease.
func (l *leaseState) extend(sent time.Time) (extended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tenure == 0 || l.now().After(l.validUntil) {
		return false
	}
	l.validUntil = sent.Add(l.duration)
	return true
}

// recordStoreFailure records a failed renewal and reports whether it is the first
// one in a row.
func (l *leaseState) recordStoreFailure() (wasUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasUp = !l.tableDown
	l.tableDown = true
	return wasUp
}

// storeFailing reports whether the last renewal in the table service failed.
func (l *leaseState) storeFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tableDown
}

// holds reports whether the given tenure is still the current one and the lease
// stays valid for at least margin.
func (l *leaseState) holds(tenure uint64, margin time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return tenure > 0 && tenure == l.tenure && !l.now().Add(margin).After(l.validUntil)
}

// fenceReason returns why this process may send nothing to workers, empty if it
// may.
func (l *leaseState) fenceReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.tenure == 0:
		return "this process never held a lease"
	case l.caughtUp != l.tenure:
		return "this process's lease had lapsed and it has not caught up yet"
	case l.now().After(l.validUntil):
		return "this process's lease has lapsed"
	}
	return ""
}
