package member

import "time"

// Promises are the promises that one member has made to others: while it can't
// reach the table service either, it promises for a limited time not to agree
// that they are gone. A member that gets such promises from a majority may
// continue without the table service: counting it as gone needs the agreement of
// a majority too, and any two majorities have a member in common.
//
// Promises are kept in memory only. After a start, a process therefore agrees to
// nothing until every promise of its earlier run has expired. Promises are not
// safe for concurrent use; the time is passed with each call.
type Promises struct {
	self          string // own incarnation, which counts itself in its own majority
	hold          time.Duration
	startedAt     time.Time
	promisedUntil map[string]time.Time // by incarnation
	gone          map[string]bool      // incarnations that this member has agreed are gone
}

// NewPromises returns the promises of a process that starts now.
func NewPromises(self string, hold time.Duration, now time.Time) *Promises {
	return &Promises{self: self, hold: hold, startedAt: now, promisedUntil: map[string]time.Time{}, gone: map[string]bool{}}
}

// Promise makes a promise to a member and reports whether it did. storeDown
// says whether the table service fails for this process too. A member that this
// process has agreed is gone gets no further promise.
func (p *Promises) Promise(to string, storeDown bool, now time.Time) bool {
	if !storeDown || p.gone[to] {
		return false
	}
	p.promisedUntil[to] = now.Add(p.hold)
	return true
}

// Agree reports whether this process agrees that a member is gone.
func (p *Promises) Agree(gone string, now time.Time) bool {
	if gone == p.self || now.Before(p.startedAt.Add(p.hold)) || now.Before(p.promisedUntil[gone]) {
		return false
	}
	delete(p.promisedUntil, gone)
	p.gone[gone] = true
	return true
}

// Majority reports whether count is more than half of total.
func Majority(count, total int) bool { return 2*count > total }
