// Package ahead estimates when running tasks end, and keeps room on a worker for a task
// that is too large for the room that is free now. It does no I/O and reads no clock.
//
// # Usage
//
//	timeline := ahead.NewTimeline(free, runs, now)
//	if r, ok := ahead.Reserve(timeline, claim, now); ok {
//		// r.Start is when the worker is expected to have room for the claim
//		if r.Admits(other, end) {
//			// a task that claims other and ends at end does not delay it
//		}
//	}
//
// A [Timeline] stands for one worker at one moment, and a [Reservation] belongs to the timeline
// from which it was made. The caller makes both anew when a task of the worker has started or
// ended. Several reservations on different workers don't affect each other.
package ahead

import (
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// release is room that comes free when a run ends.
type release struct {
	at    time.Time
	claim jobs.Resources
}

// Timeline is the room that is free on a worker now and that is expected to come free.
type Timeline struct {
	free     jobs.Resources
	releases []release // earliest first
}

// NewTimeline returns the timeline of a worker with free room and batch tasks that run. Claims of
// tasks that do not end are in neither.
func NewTimeline(free jobs.Resources, runs []Run, now time.Time) Timeline {
	t := Timeline{free: free, releases: make([]release, len(runs))}
	for i, r := range runs {
		t.releases[i] = release{r.End(now), r.Claim}
	}
	slices.SortStableFunc(t.releases, func(x, y release) int { return x.at.Compare(y.at) })
	return t
}

// FitsAt returns when a claim is expected to fit, and whether it ever does.
func (t Timeline) FitsAt(claim jobs.Resources, now time.Time) (time.Time, bool) {
	free, at := t.free, now
	for _, r := range t.releases {
		if claim.Fits(free) {
			break
		}
		free, at = free.Add(r.claim), r.at
	}
	return at, claim.Fits(free)
}

// FreeAt returns the room that is expected to be free at a time.
func (t Timeline) FreeAt(at time.Time) jobs.Resources {
	free := t.free
	for _, r := range t.releases {
		if r.at.After(at) {
			break
		}
		free = free.Add(r.claim)
	}
	return free
}

// Reservation keeps room on a worker for a task.
type Reservation struct {
	Claim jobs.Resources
	Start time.Time      // when the claim is expected to fit
	Spare jobs.Resources // what is free then beside the claim
}

// Reserve returns a reservation for a claim, and whether the claim ever fits.
func Reserve(t Timeline, claim jobs.Resources, now time.Time) (Reservation, bool) {
	start, ok := t.FitsAt(claim, now)
	if !ok {
		return Reservation{}, false
	}
	return Reservation{Claim: claim, Start: start, Spare: t.FreeAt(start).Sub(claim)}, true
}

// Admits reports whether a task that starts now and ends at a time leaves the reservation's
// start where it is: it ends before, or has room beside the claim.
func (r Reservation) Admits(claim jobs.Resources, end time.Time) bool {
	return !end.After(r.Start) || claim.Fits(r.Spare)
}
