package pool

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/papayarudder/papayarudder/platform"
)

// A pool stores the lifetimes of workers on which its owner may have started
// tasks. A lifetime is registered durably before its first task. A later owner
// therefore knows every worker that may run tasks that it has not seen in a list,
// even if the worker's entry is missing after an outage of the store.
//
// An owner also stores when the leases of workers end that have not answered it, and when it hands
// its pool over, of those that do not answer any more. So the next owner waits for the rest of
// a lease only, however often the pool changes hands. No lease is granted to a worker while the
// stored registration states such an end.

// registration is a line of the stored registration row.
type registration struct {
	key string // of the lifetime
	// leaseEnd is when the last lease there ends, on the store's clock; 0 if
	// the owner keeps renewing the leases.
	leaseEnd time.Duration
}

func encodeRegistrations(registrations []registration) []byte {
	lines := make([]string, len(registrations))
	for i, r := range registrations {
		lines[i] = r.key
		if r.leaseEnd > 0 {
			lines[i] += " " + strconv.FormatInt(r.leaseEnd.Milliseconds(), 10)
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

// decodeRegistrations decodes the stored registrations. A lifetime with a malformed end of
// its lease counts as one without: it is waited for as long as a lease may last.
func decodeRegistrations(data []byte) []registration {
	var registrations []registration
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		r := registration{key: fields[0]}
		if len(fields) == 2 {
			if ms, err := strconv.ParseInt(fields[1], 10, 64); err == nil && ms > 0 && ms <= maxLeaseEnd.Milliseconds() {
				r.leaseEnd = time.Duration(ms) * time.Millisecond
			}
		}
		registrations = append(registrations, r)
	}
	return registrations
}

// maxLeaseEnd is the latest end of a lease that is believed, on the store's clock, which
// starts at 0 with the store.
const maxLeaseEnd = 100 * 365 * 24 * time.Hour

// registrationsDue reports whether the registrations have to be stored: a worker that
// answers is not registered yet, or the stored ones differ from the current ones. A new
// owner waits for every registered lifetime, so one that has ended must be removed, or it
// would delay all jobs.
func (o *Owner) registrationsDue() bool {
	if o.registrationsStale {
		o.registrationsStale = false
		o.registrationsDiffer = o.hasUnregistered() || !slices.Equal(o.registrations, o.collectRegistrations())
	}
	return o.registrationsDiffer
}

// hasUnregistered reports whether a worker that answers is not registered yet.
func (o *Owner) hasUnregistered() bool {
	for _, a := range o.agents {
		if a.answered && !a.lifetimeEnded && !a.registered {
			return true
		}
	}
	return false
}

// collectRegistrations returns the lifetimes that have answered this owner or are
// registered, and those that have attempts or may run tasks unseen by this owner, sorted by key.
// Lifetimes that have ended are left out, as they have no agent any more.
func (o *Owner) collectRegistrations() []registration {
	registrations := make([]registration, 0, len(o.agents)+len(o.unseenUntil))
	for key, a := range o.agents {
		if _, unseen := o.unseenUntil[key]; a.answered || a.registered || unseen || !o.board.Idle(key) {
			end := a.leaseEnd
			if unseen && !a.answered {
				end = o.unseenLeaseEnd(key, a)
			}
			registrations = append(registrations, registration{key, end})
		}
	}
	for key := range o.unseenUntil {
		if o.agents[key] == nil {
			registrations = append(registrations, registration{key, o.unseenLeaseEnd(key, nil)})
		}
	}
	slices.SortFunc(registrations, func(x, y registration) int { return strings.Compare(x.key, y.key) })
	return registrations
}

// unseenLeaseEnd returns when the leases of a lifetime end that has not answered this owner, on the
// store's clock, or 0 if that is not to be stated. a is its agent, nil if it has none. It stays
// the same until the lifetime answers, or the registrations would be stored again and again.
func (o *Owner) unseenLeaseEnd(key string, a *agent) time.Duration {
	end, stated := o.statedEnds[key]
	_, clock := o.store.Clock()
	if !stated && (o.started || o.flushing) && clock > 0 { // most workers answer right after a takeover
		end = clock + time.Until(o.unseenUntil[key])
		o.statedEnds[key] = end
	}
	if end == 0 || a == nil {
		return end
	}
	if a.lifetimeEnded || !a.stateEnd() {
		return 0
	}
	a.registered = false // nothing starts there until the registration states no end
	return end
}

// endLeases stops renewing the leases of workers that do not answer or have started again, and records
// when they end.
func (o *Owner) endLeases(now time.Time) {
	o.registrationsStale = true
	_, clock := o.store.Clock()
	for _, a := range o.agents {
		if a.answered && (a.silent || !a.unlistedUntil.IsZero()) && clock > 0 {
			a.cancel()
			a.mu.Lock()
			a.leaseEnd = clock + later(a.leasesExpireAt, a.unlistedUntil).Sub(now)
			a.mu.Unlock()
		}
	}
}

// addRegistrations adds the registration row to a transaction.
func (o *Owner) addRegistrations(c *commit) {
	c.registrations, c.hasRegistrations = o.collectRegistrations(), true
	row := platform.Row{Table: tableRegistrations, Part: o.name, Key: keyRegistrations, Value: encodeRegistrations(c.registrations)}
	if len(c.registrations) == 0 {
		c.remove = append(c.remove, row)
		return
	}
	c.rows = append(c.rows, row)
}

// markRegistered allows tasks on the workers whose registration has become durable.
func (o *Owner) markRegistered(registrations []registration) {
	o.registrations, o.registrationsStale = registrations, true
	for _, r := range registrations {
		if a := o.agents[r.key]; a != nil && !a.registered && r.leaseEnd == 0 {
			a.registered = true
			a.allowLeases()
			o.syncAgent(a)
		}
	}
}

// setUnseen records which lifetimes registered by an earlier owner may run tasks
// unseen by this one, and until when.
func (o *Owner) setUnseen(registrations []registration, now time.Time) {
	o.registrations, o.registrationsStale = registrations, true
	clock, _ := o.store.Clock()
	for _, r := range registrations {
		until := o.earlierLeasesEnd()
		if r.leaseEnd > 0 {
			o.statedEnds[r.key] = r.leaseEnd
			until = now.Add(r.leaseEnd - clock)
			if longest := o.claimedAt.Add(takeoverWait + o.longestLease()); until.After(longest) {
				until = longest
			}
		}
		o.unseenUntil[r.key] = until
	}
}

// unconfirmedMargin is how long before its end the time is extended for which tasks wait that
// may run unseen. The leases of a worker that answers end later and later.
const unconfirmedMargin = 2 * time.Second

// extendUnconfirmed lets tasks that may run unseen wait until a time, if they wait no longer
// than unconfirmedMargin otherwise.
func (o *Owner) extendUnconfirmed(until, now time.Time) {
	if until.After(o.unconfirmedUntil) && now.After(o.unconfirmedUntil.Add(-unconfirmedMargin)) {
		o.setUnconfirmed(until)
	}
}

// setUnconfirmed lets tasks that may run unseen wait until a time.
func (o *Owner) setUnconfirmed(until time.Time) {
	o.unconfirmedUntil = until
	o.board.SetUnconfirmedUntil(until)
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// maxLeaseTime is the longest time that leases granted until now may last.
func (o *Owner) maxLeaseTime() time.Duration {
	return time.Duration(float64(o.lease)*(1+maxClockDrift)) + leaseMargin
}

// longestLease is the longest time that a lease may last which was meant for an earlier
// lifetime of its worker. The worker's clock has started anew, so that only the platform's
// limit shortens the lease.
func (o *Owner) longestLease() time.Duration {
	return time.Duration(float64(o.maxLease)*(1+maxClockDrift)) + leaseMargin
}

// earlierLeasesEnd returns when all leases of earlier owners have expired. Their leases
// count from before this owner's claim; takeoverWait is for one of a version that presumed its
// ownership until it heard of the claim.
func (o *Owner) earlierLeasesEnd() time.Time {
	return o.claimedAt.Add(takeoverWait + o.maxLeaseTime())
}

// updateUnseen removes workers that can't run unseen tasks any longer, and lets the
// tasks that waited for them start once none is left.
func (o *Owner) updateUnseen(now time.Time) {
	if len(o.unseenUntil) == 0 {
		return
	}
	for key, until := range o.unseenUntil {
		id := lifetimeID(key)
		seen := slices.ContainsFunc(o.lifetimes[id], func(a *agent) bool {
			if a.key == key {
				return a.answered && !a.endsCut || a.lifetimeEnded && a.unlistedUntil.IsZero()
			}
			return a.answered && !a.endsCut // a list of a later lifetime shows that this one has ended, and which of its starts that one carried out
		})
		if a := o.agents[key]; a != nil && a.answered { // it may hold ends that it has not listed
			until = later(until, a.leasesEnd())
		}
		if !seen && !now.After(until) {
			o.extendUnconfirmed(until, now)
			continue
		}
		delete(o.unseenUntil, key)
		delete(o.statedEnds, key)
		o.registrationsStale = true
		if o.agents[key] == nil {
			o.reportCrash(key, "an earlier owner suspected it, and its leases have expired")
		}
	}
	if len(o.unseenUntil) == 0 {
		o.log.Info("no worker can run unseen tasks any longer")
		o.setUnconfirmed(time.Time{})
	}
}
