package quota

import "github.com/papayarudder/papayarudder/internal/jobs"

// Usage is what the tasks of an organisation use and need in a pool.
type Usage struct {
	Claimed jobs.Resources // by attempts that run or may run
	Needed  jobs.Resources // Claimed, and what the waiting tasks claim
	Recent  jobs.Resources // the most that was needed for some time, at least Needed
	Unit    jobs.Resources // what the largest waiting task or gang claims
	Unused  bool           // tasks wait for workers and not for the quota, for some time
	Idle    bool           // there was no task for some time
}

// Account is what the owner of a pool knows of the quota of one organisation.
type Account struct {
	pool    string
	token   uint64
	version uint64         // of the configuration
	limit   jobs.Resources // as of it

	row        Row
	rowVersion uint64 // in the store
	known      bool   // the row has been read
	stale      bool   // a write had no answer, so that the row has to be read
	sent       *Row   // on its way
	// unresolved holds the least allotment that was sent on the condition that the row has
	// rowVersion, without an answer. It may take effect yet.
	unresolved *jobs.Resources
	inherited  jobs.Resources // the allotment when this owner first read the row
}

// NewAccount returns the account of a pool whose owner has a fencing token.
func NewAccount(pool string, token uint64) *Account { return &Account{pool: pool, token: token} }

// SetLimit sets the quota as of a version of the configuration. It ignores an older version.
func (a *Account) SetLimit(version uint64, limit jobs.Resources) {
	if version >= a.version {
		a.version, a.limit = version, limit
	}
}

// Limit returns the quota that is in force as far as the owner knows.
func (a *Account) Limit() jobs.Resources {
	if a.row.Version > a.version {
		return a.row.Limit
	}
	return a.limit
}

// Row returns the row as last known, and its version in the store, 0 if there is none.
func (a *Account) Row() (Row, uint64) { return a.row, a.rowVersion }

// Inherited returns the allotment that the pool had before this owner wrote it: what its earlier
// owners have started claims no more. Amounts that were not limited then are very large.
func (a *Account) Inherited() jobs.Resources { return a.inherited }

// Fenced reports whether a later owner has written the allotment.
func (a *Account) Fenced() bool { return a.row.Pools[a.pool].Token > a.token }

// Busy reports whether a write is on its way.
func (a *Account) Busy() bool { return a.sent != nil }

// NeedsRead reports whether the row has to be read before anything can be decided.
func (a *Account) NeedsRead() bool { return a.sent == nil && (!a.known || a.stale) }

// Learned records the row as it was read, or as a write that failed has found it. An answer
// that is older than what is known is ignored.
func (a *Account) Learned(row Row, version uint64) {
	a.sent = nil
	if version < a.rowVersion {
		return
	}
	if own := row.Pools[a.pool]; own.Token < a.token {
		size := vectorOf(own.Size)
		for i := range size {
			if own.Token > 0 && (vectorOf(row.Limit)[i] == 0 || own.Version < row.Since[i]) {
				size[i] = maxAmount
			}
		}
		a.inherited = a.inherited.Max(size.resources())
	}
	if version != a.rowVersion {
		a.unresolved = nil
	}
	a.row, a.rowVersion, a.known, a.stale = row, version, true, false
}

// Sent records that a row is sent, to be written if its version is still the known one. What it
// gives back must not be used from now on.
func (a *Account) Sent(row Row) { a.sent = &row }

// Written records that the row that was sent has taken effect.
func (a *Account) Written(version uint64) {
	if a.sent == nil {
		return
	}
	a.row, a.rowVersion = *a.sent, version
	a.sent, a.unresolved, a.stale = nil, nil, false
}

// Unanswered records that it is not known whether what was sent has taken effect or will.
func (a *Account) Unanswered() {
	if a.sent != nil {
		size := a.held()
		a.unresolved = &size
	}
	a.sent, a.stale = nil, true
}

// NotDone records that what was sent has not taken effect and never will.
func (a *Account) NotDone() { a.sent = nil }

// Allotment returns what the tasks may claim. It is 0 where the sum of the allotments exceeds
// the quota, and while a lowered quota is not in the row yet.
func (a *Account) Allotment(u Usage) jobs.Resources {
	limit, held, sum := vectorOf(a.Limit()), vectorOf(a.held()), vectorOf(a.row.Sum())
	var allotment vector
	for i := range allotment {
		switch {
		case limit[i] == 0:
			allotment[i] = jobs.Unlimited
		case a.lowered(i) || sum[i] > limit[i] || a.row.undeclared(i):
		default:
			allotment[i] = held[i]
			if a.othersWait(i) {
				target, _ := a.target(i, u)
				allotment[i] = min(held[i], target)
			}
		}
	}
	return allotment.resources()
}

// held returns the part of the allotment that the owner may use.
func (a *Account) held() jobs.Resources {
	own := a.row.Pools[a.pool]
	if !a.known || own.Token != a.token {
		return jobs.Resources{}
	}
	size := own.Size
	if a.sent != nil {
		size = size.Min(a.sent.Pools[a.pool].Size)
	}
	if a.unresolved != nil {
		size = size.Min(*a.unresolved)
	}
	return size
}

// lowered reports whether the configuration has a lower limit than the row, whose other
// allotments may have been raised under the higher one.
func (a *Account) lowered(i int) bool {
	before, now := vectorOf(a.row.Limit)[i], vectorOf(a.limit)[i]
	return a.rowVersion > 0 && a.version > a.row.Version && now > 0 && (before == 0 || now < before)
}

// Blocked reports whether tasks wait for a larger allotment and the pool has not the whole quota.
func (a *Account) Blocked(u Usage) bool {
	limit, needed := vectorOf(a.Limit()), vectorOf(u.Needed)
	for i, allotted := range vectorOf(a.Allotment(u)) {
		if limit[i] > 0 && needed[i] > allotted && allotted < limit[i] {
			return true
		}
	}
	return false
}

// OthersWait reports whether another pool has less than it wants, as far as is known.
func (a *Account) OthersWait() bool { return a.othersWait(0) || a.othersWait(1) || a.othersWait(2) }

// othersWait reports whether another pool has less than it wants.
func (a *Account) othersWait(i int) bool {
	for pool, o := range a.row.Pools {
		if pool != a.pool && vectorOf(o.Want)[i] > vectorOf(o.Size)[i] {
			return true
		}
	}
	return false
}

// Holders returns the pools that have more than their share of what this pool waits for.
func (a *Account) Holders(u Usage) []string {
	limit, needed, allotted := vectorOf(a.Limit()), vectorOf(u.Needed), vectorOf(a.Allotment(u))
	var holders []string
	for pool, o := range a.row.Pools {
		for i, size := range vectorOf(o.Size) {
			if pool == a.pool || limit[i] == 0 || size == 0 || needed[i] <= allotted[i] {
				continue
			}
			if own := share(limit[i], a.demands(i, u), pool, a.row.Turn); size > own+own/8 {
				holders = append(holders, pool)
				break
			}
		}
	}
	return holders
}

// demands returns what all pools want of a resource.
func (a *Account) demands(i int, u Usage) []demand {
	limit := vectorOf(a.Limit())[i]
	need := min(vectorOf(u.Recent)[i], limit)
	demands := []demand{{a.pool, need, min(vectorOf(u.Unit)[i], need)}}
	for pool, o := range a.row.Pools {
		if pool != a.pool {
			demands = append(demands, demand{pool, min(vectorOf(o.Want)[i], limit), vectorOf(o.Unit)[i]})
		}
	}
	return demands
}

// An owner asks for half as much more as it needs, and for at least a part of the quota, as long
// as no other pool needs it: demands that come and go then cause few writes.
const (
	reserveShare = 2 // of the need, as a divisor
	minReserve   = 4 // of an even part of the quota, as a divisor
	minPools     = 4 // for which the quota is divided evenly
)

// target returns the amount that the pool should have, and its share if it is larger than the
// fair one.
func (a *Account) target(i int, u Usage) (target int, beyondFair bool) {
	limit := vectorOf(a.Limit())[i]
	need := min(vectorOf(u.Recent)[i], limit)
	spare := limit
	demands := a.demands(i, u)
	for pool, o := range a.row.Pools {
		if pool != a.pool {
			spare -= max(vectorOf(o.Want)[i], vectorOf(o.Size)[i])
		}
	}
	level := fairLevel(limit, demands)
	own := share(limit, demands, a.pool, a.row.Turn)
	ample := need + need/reserveShare
	if !u.Idle {
		ample = max(ample, limit/max(minPools, len(demands))/minReserve)
	}
	return max(own, min(ample, spare)), own > level
}

// Propose returns the row with what the pool should have by its usage. It reports whether the
// row is to be written, and whether at once: much changes for a pool that waits, or nothing starts
// before.
func (a *Account) Propose(u Usage) (row Row, due, urgent bool) {
	if a.NeedsRead() || a.Busy() || a.Fenced() {
		return Row{}, false, false
	}
	row = a.row.clone()
	before, exists := a.row.Pools[a.pool]
	limit := vectorOf(a.Limit())
	if a.version > row.Version && a.limit != row.Limit {
		row.setLimit(a.version, a.limit)
	}
	over, held := a.sumExceeds(limit), vectorOf(a.held())
	var size, want, unit vector
	for i := range size {
		if limit[i] == 0 {
			continue
		}
		current, claimed := vectorOf(before.Size)[i], vectorOf(u.Claimed)[i]
		recent, needed := vectorOf(u.Recent)[i], vectorOf(u.Needed)[i]
		others := vectorOf(a.row.Sum())[i] - current
		target, beyondFair := a.target(i, u)
		free := max(0, limit[i]-others)
		size[i] = min(target, free)
		if before.Version < row.Version && others+current > limit[i] {
			shrunk := int(float64(current) * float64(limit[i]) / float64(others+current))
			size[i] = min(target, max(free, shrunk))
		}
		if a.version < a.row.Version {
			size[i] = min(size[i], current)
		}
		size[i] = max(size[i], claimed)
		want[i], unit[i] = min(recent, limit[i]), min(vectorOf(u.Unit)[i], recent, limit[i])
		waits := a.othersWait(i)
		if beyondFair && (claimed >= unit[i] || u.Unused && current >= unit[i]) && row.Turn != a.pool {
			row.Turn = a.pool
			due = due || waits
		}
		outdated := vectorOf(before.Want)[i] > want[i]+want[i]/4
		raises := size[i] > held[i] && needed > held[i]
		switch {
		case claimed > current, a.lowered(i), exists && before.Version < row.Since[i] && a.version >= row.Since[i]:
			due, urgent = true, true
		case raises && (size[i] >= needed || isLarge(size[i]-held[i], held[i])):
			due, urgent = true, true
		case size[i] < current && (over[i] || waits && isLarge(current-size[i], current)):
			due, urgent = true, true
		case needed > size[i] && vectorOf(before.Want)[i] <= current:
			due, urgent = true, true // the row does not show that the pool waits
		case raises, size[i] < current && waits, size[i] < current/2, outdated && waits, outdated && vectorOf(before.Want)[i] > current:
			due = true
		case needed > size[i] && (vectorOf(before.Want)[i] < want[i]-want[i]/4 || vectorOf(before.Unit)[i] != unit[i]):
			due = true
		}
	}
	if exists && before.Token < a.token {
		due, urgent = true, true
	}
	row.Pools[a.pool] = Allotment{a.token, max(a.version, before.Version), size.resources(), want.resources(), unit.resources()}
	return row, due, urgent
}

// isLarge reports whether a change of an amount is worth a write of its own.
func isLarge(change, amount int) bool { return change >= amount/8 }

// sumExceeds reports for each resource whether the sum of the allotments exceeds a limit.
func (a *Account) sumExceeds(limit vector) [3]bool {
	var over [3]bool
	for i, sum := range vectorOf(a.row.Sum()) {
		over[i] = limit[i] > 0 && sum > limit[i]
	}
	return over
}
