package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/quota"
	"github.com/papayarudder/papayarudder/platform"
)

var (
	metricQuotaWrites    = metrics.NewCounter("papayarudder_quota_writes_total")
	metricQuotaConflicts = metrics.NewCounter("papayarudder_quota_conflicts_total")
	metricQuotaReads     = metrics.NewCounter("papayarudder_quota_reads_total")
	metricQuotaHints     = metrics.NewCounter("papayarudder_quota_hints_total")
	quotaHeldUp          atomic.Int64 // over all pools of the process
	_                    = metrics.NewGauge("papayarudder_quota_held_up_tasks", func() float64 { return float64(quotaHeldUp.Load()) })
)

const (
	quotaInterval   = 20 * time.Millisecond  // between looks at the demands, unless something has changed
	quotaPause      = 50                     // after a look, as a multiple of its duration
	quotaRetryDelay = 100 * time.Millisecond // after a call that failed
	quotaPollPeriod = 250 * time.Millisecond // between reads of a row while tasks wait for more; doubles while nothing changes
	quotaHintPeriod = time.Second            // between hints to the owners of all pools with an allotment
	maxUnchanged    = 2                      // that make it longer
	quotaNeedWindow = 2 * time.Second        // an allotment that was not needed for one to two of these is given back
	quotaIdleWrites = time.Second            // between writes for which nobody waits
	quotaBurst      = 6                      // urgent writes of a row that may follow each other at once
	quotaWriteRate  = 2                      // of them a second after that
	declareTime     = time.Second            // for the owners of other pools to tell what an organisation claims that was not limited before
	quotaIdleTime   = 10 * time.Second       // without a task, after which a pool keeps nothing
	unusedTime      = time.Second            // after which a pool whose tasks wait for workers, and not for the quota, asks for no more
	conflictDelay   = 4 * time.Millisecond   // longest delay after a conflict; doubles with each further one in a row
	maxConflicts    = 6                      // that make it longer
	maxQuotaRows    = 45                     // in a transaction; each is expected and written
	maxQuotaAmount  = 1 << 50                // stands for a capacity that is not known
)

// quotaAccount is an owner's account of an organisation with a quota.
type quotaAccount struct {
	*quota.Account
	name  string
	usage quota.Usage
	// unseen is the part of usage.Claimed that earlier owners may have started on workers that have not
	// answered.
	unseen jobs.Resources
	// needs holds the most that was needed in the present window and the one before.
	needs       [2]jobs.Resources
	windowSince time.Time
	unusedSince time.Time // since when tasks wait for workers and not for the quota, zero if none do
	modest      bool      // others wait for what the pool has no workers for
	usedAt      time.Time // when a task last needed any of it
	hinted      bool      // another pool waits: what is not needed now is given back
	readDue     bool
	readAt      time.Time
	unchanged   int // reads in a row that found nothing new
	hintedAllAt time.Time
	hintedAt    time.Time // when the owners of other pools were last given a hint
	wroteAt     time.Time
	budget      float64 // urgent writes that may be sent now
	budgetAt    time.Time
	declared    time.Time // nothing starts before
	blocked     bool
	settled     bool // nothing is due until something changes
}

// quotaPart is the state of a part of the table of quotas.
type quotaPart struct {
	accounts  []*quotaAccount // sorted by name
	busy      bool            // a call is under way
	retryAt   time.Time
	conflicts int  // transactions in a row that found other versions
	lastRead  bool // the last call was a read
}

// quotas is the state of an owner for the quotas of organisations. It is used only in the loop.
type quotas struct {
	accounts map[string]*quotaAccount // by organisation; none without a limit
	parts    map[string]*quotaPart
	dirty    bool // something has changed since the last look
	lookedAt time.Time
	// lookAfter is when the next look may follow.
	lookAfter time.Time
	heldUp    int64
}

func newQuotas() quotas {
	return quotas{accounts: map[string]*quotaAccount{}, parts: map[string]*quotaPart{}}
}

// setQuotas takes in the quotas of a version of the configuration. An organisation that it lacks
// keeps its quota until its jobs are gone.
func (o *Owner) setQuotas(organisations []platform.Organisation, version uint64, now time.Time) {
	known := map[string]bool{}
	for _, org := range o.organisations {
		known[org.Name] = true
	}
	for _, org := range organisations {
		a := o.quotas.accounts[org.Name]
		switch {
		case !quota.Limited(org.Quota) && a == nil:
			continue
		case !quota.Limited(org.Quota):
			o.removeQuotaAccount(a)
			o.board.SetAllotment(org.Name, jobs.Resources{Millicores: jobs.Unlimited, MemoryMB: jobs.Unlimited, Accelerators: jobs.Unlimited})
			continue
		case a == nil:
			a = o.addQuotaAccount(org.Name)
			if known[org.Name] { // it had no limit
				a.declared = now.Add(declareTime)
			}
		case a.Limit() != org.Quota:
			a.readDue = true
			o.log.WithFields(logrus.Fields{"organisation": org.Name, "quota": org.Quota, "before": a.Limit()}).Info("quota has changed")
		}
		a.SetLimit(version, org.Quota)
		o.applyAllotment(a, now)
	}
	o.quotas.dirty = true
}

func (o *Owner) addQuotaAccount(name string) *quotaAccount {
	a := &quotaAccount{Account: quota.NewAccount(o.name, o.token), name: name, budget: quotaBurst}
	o.quotas.accounts[name] = a
	part := quota.PartOf(name)
	if o.quotas.parts[part] == nil {
		o.quotas.parts[part] = &quotaPart{}
	}
	p := o.quotas.parts[part]
	i, _ := slices.BinarySearchFunc(p.accounts, name, func(a *quotaAccount, name string) int { return strings.Compare(a.name, name) })
	p.accounts = slices.Insert(p.accounts, i, a)
	return a
}

func (o *Owner) removeQuotaAccount(a *quotaAccount) {
	delete(o.quotas.accounts, a.name)
	p := o.quotas.parts[quota.PartOf(a.name)]
	p.accounts = slices.DeleteFunc(p.accounts, func(other *quotaAccount) bool { return other == a })
}

// quotaDemandChanged records that a job may need more of a quota than the last look has shown.
func (o *Owner) quotaDemandChanged(j jobs.Job) {
	if j.Organisation != "" && o.quotas.accounts[j.Organisation] != nil {
		o.quotas.dirty = true
	}
}

// GiveBack gives back what an organisation does not need of its allotment, since another pool
// waits for it.
func (o *Owner) GiveBack(organisation string) {
	o.post(func() {
		if a := o.quotas.accounts[organisation]; a != nil {
			a.hinted, a.readDue, a.settled = true, true, false
			o.quotas.dirty = true
		}
	})
}

// dealQuotas asks for what the tasks of organisations need, and gives back what they don't.
func (o *Owner) dealQuotas(now time.Time) {
	q := &o.quotas
	if len(q.accounts) == 0 || o.flushing || now.Before(q.lookAfter) || !q.dirty && now.Sub(q.lookedAt) < quotaInterval {
		return
	}
	q.dirty, q.lookedAt = false, now
	defer func() { q.lookAfter = now.Add(min(quotaPause*time.Since(now), tickPeriod)) }()
	demands := o.board.Demands()
	arriving := o.arrivingSizes()
	capacity := o.unseenCapacity()
	heldUp := 0
	for name, a := range q.accounts {
		heldUp += demands[name].HeldUp
		o.updateUsage(a, demands[name], arriving[name], capacity, now)
		if !a.settled {
			o.applyAllotment(a, now)
		}
	}
	quotaHeldUp.Add(int64(heldUp) - q.heldUp)
	q.heldUp = int64(heldUp)
	for part, p := range q.parts {
		if !p.busy && !now.Before(p.retryAt) {
			o.callQuotaPart(part, p, now)
		}
	}
}

// arrivingSizes returns what the jobs that are not durable yet need by organisation.
func (o *Owner) arrivingSizes() map[string]quota.Usage {
	sizes := map[string]quota.Usage{}
	for _, s := range o.pending {
		if s.job.Organisation == "" || s.progress != nil || o.quotas.accounts[s.job.Organisation] == nil {
			continue
		}
		u := sizes[s.job.Organisation]
		for i := range s.job.Steps {
			step := &s.job.Steps[i]
			if len(step.After) > 0 {
				continue
			}
			all := step.Size.Times(step.Count)
			u.Needed = u.Needed.Add(all)
			if step.Gang {
				u.Unit = u.Unit.Max(all)
			} else {
				u.Unit = u.Unit.Max(step.Size)
			}
		}
		sizes[s.job.Organisation] = u
	}
	return sizes
}

// unseenCapacity returns the capacity of the workers that may run tasks unseen by this owner. It
// is very large if it is not known.
func (o *Owner) unseenCapacity() jobs.Resources {
	unknown := jobs.Resources{Millicores: maxQuotaAmount, MemoryMB: maxQuotaAmount, Accelerators: maxQuotaAmount}
	if !o.started {
		return unknown
	}
	var sum jobs.Resources
	for key := range o.unseenUntil {
		entry, known := o.entries[lifetimeID(key)]
		if a := o.agents[key]; a != nil {
			entry, known = a.entry, true
		}
		if !known {
			return unknown
		}
		sum = sum.Add(entry.Size)
	}
	return sum
}

// updateUsage takes in what an organisation uses and needs now. What earlier owners may have
// started on workers that have not answered counts as claimed.
func (o *Owner) updateUsage(a *quotaAccount, d place.OrganisationDemand, arriving quota.Usage, capacity jobs.Resources, now time.Time) {
	unseen := capacity.Min(a.Inherited().Sub(d.Adopted)).Max(jobs.Resources{})
	u := quota.Usage{Claimed: d.Claimed.Add(unseen).Min(jobs.Resources{Millicores: maxQuotaAmount, MemoryMB: maxQuotaAmount, Accelerators: maxQuotaAmount})}
	u.Needed = u.Claimed.Add(d.Waiting).Add(arriving.Needed)
	u.Unit = d.Largest.Max(arriving.Unit)
	if d.HeldUp > 0 || d.Waiting == (jobs.Resources{}) {
		a.unusedSince = time.Time{}
	} else if a.unusedSince.IsZero() {
		a.unusedSince = now
	}
	u.Unused = !a.unusedSince.IsZero() && now.Sub(a.unusedSince) > unusedTime
	a.modest = u.Unused && (a.modest || a.OthersWait())
	if a.modest {
		u.Needed = u.Needed.Min(u.Claimed.Add(u.Unit))
	}
	if now.Sub(a.windowSince) >= quotaNeedWindow {
		a.needs = [2]jobs.Resources{{}, a.needs[0]}
		a.windowSince = now
	}
	a.needs[0] = a.needs[0].Max(u.Needed)
	u.Recent = a.needs[0].Max(a.needs[1])
	if a.hinted {
		u.Recent = u.Needed
	}
	if u.Needed != (jobs.Resources{}) {
		a.usedAt = now
	}
	u.Idle = a.hinted && u.Needed == (jobs.Resources{}) || now.Sub(a.usedAt) > quotaIdleTime
	if u == a.usage && unseen == a.unseen && a.settled {
		return
	}
	a.settled = false
	a.usage = u
	a.unseen, a.blocked = unseen, a.Blocked(u)
}

// applyAllotment tells the board what an organisation's tasks may claim.
func (o *Owner) applyAllotment(a *quotaAccount, now time.Time) {
	if o.quotas.accounts[a.name] != a {
		return // the limit was removed while a call was under way
	}
	a.settled = false
	allotment := a.Allotment(a.usage)
	limit := a.Limit()
	set := func(limit, unseen int, amount *int) {
		switch {
		case limit == 0:
		case now.Before(a.declared):
			*amount = 0
		default:
			*amount = max(0, *amount-unseen)
		}
	}
	set(limit.Millicores, a.unseen.Millicores, &allotment.Millicores)
	set(limit.MemoryMB, a.unseen.MemoryMB, &allotment.MemoryMB)
	set(limit.Accelerators, a.unseen.Accelerators, &allotment.Accelerators)
	o.board.SetAllotment(a.name, allotment)
}

// callQuotaPart sends the call that is due for a part: rows are read before they are written.
func (o *Owner) callQuotaPart(part string, p *quotaPart, now time.Time) {
	var reads, writes []*quotaAccount
	rows := map[*quotaAccount]quota.Row{}
	for _, a := range p.accounts {
		if a.settled {
			continue
		}
		polls := a.blocked && now.Sub(a.readAt) >= quotaPollPeriod<<a.unchanged
		if a.NeedsRead() || (a.readDue || polls) && now.Sub(a.readAt) >= quotaPollPeriod/5 {
			reads = append(reads, a)
			continue
		}
		row, due, urgent := a.Propose(a.usage)
		if due && (urgent && a.mayWrite(now) || now.Sub(a.wroteAt) >= quotaIdleWrites) && len(writes) < maxQuotaRows && o.mayDeclare(a) {
			rows[a] = row
			writes = append(writes, a)
		}
		if !a.readDue && (!due || !urgent) {
			a.hinted = false
		}
		if a.blocked && !due { // the row shows others what is wanted
			o.hintWhoHolds(a, now)
		}
		a.settled = !due && !a.blocked && !a.readDue && !a.Busy() && !now.Before(a.declared)
	}
	switch {
	case len(writes) > 0 && (p.lastRead || len(reads) == 0):
		p.busy, p.lastRead = true, false
		o.writeQuotas(part, p, writes, rows, now)
	case len(reads) > 0:
		p.busy, p.lastRead = true, true
		o.readQuotas(part, p, reads, now)
	}
}

// mayDeclare reports whether it is known what an organisation may claim. Before the workers have
// answered, it may be more than a row can tell.
func (o *Owner) mayDeclare(a *quotaAccount) bool {
	return o.started || a.usage.Claimed.Min(a.Inherited()) == a.usage.Claimed && a.Inherited().Fits(a.Limit())
}

// mayWrite reports whether the budget of urgent writes allows one.
func (a *quotaAccount) mayWrite(now time.Time) bool {
	if !a.budgetAt.IsZero() {
		a.budget = min(quotaBurst, a.budget+now.Sub(a.budgetAt).Seconds()*quotaWriteRate)
	}
	a.budgetAt = now
	return a.budget >= 1
}

// hintWhoHolds tells the owners of the pools with more than their share that tasks of an organisation
// wait here, and now and then those of all pools with an allotment.
func (o *Owner) hintWhoHolds(a *quotaAccount, now time.Time) {
	if now.Sub(a.hintedAt) < quotaPollPeriod {
		return
	}
	a.hintedAt = now
	if now.Sub(a.hintedAllAt) >= quotaHintPeriod { // what the row says that others want may be old
		a.hintedAllAt = now
		o.hintOthers(a, func(_ string, other quota.Allotment) bool { return other.Size != (jobs.Resources{}) })
		return
	}
	holders := a.Holders(a.usage)
	o.hintOthers(a, func(name string, _ quota.Allotment) bool { return slices.Contains(holders, name) })
}

// hintOthers makes the owners of some other pools read the row of an organisation.
func (o *Owner) hintOthers(a *quotaAccount, concerns func(name string, other quota.Allotment) bool) {
	if o.hintQuota == nil {
		return
	}
	row, _ := a.Row()
	for name, other := range row.Pools {
		if name != o.name && concerns(name, other) {
			metricQuotaHints.Inc()
			go o.hintQuota(name, a.name)
		}
	}
}

// writeQuotas writes the rows of some organisations of a part in one transaction.
func (o *Owner) writeQuotas(part string, p *quotaPart, accounts []*quotaAccount, rows map[*quotaAccount]quota.Row, now time.Time) {
	var t platform.Transaction
	for _, a := range accounts {
		value, err := rows[a].Encode()
		if err != nil {
			o.log.WithField("organisation", a.name).WithError(err).Error("can't encode the quota of an organisation")
			p.busy = false
			return
		}
		_, version := a.Row()
		t.Expect = append(t.Expect, platform.Row{Table: quota.Table, Part: part, Key: a.name, Version: version})
		t.Write = append(t.Write, platform.Row{Table: quota.Table, Part: part, Key: a.name, Value: value})
	}
	for _, a := range accounts {
		a.Sent(rows[a])
		o.applyAllotment(a, now) // what is given back is not used from now on
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		version, found, err := o.store.Commit(ctx, t)
		o.post(func() { o.quotasWritten(p, accounts, version, found, err) })
	}()
}

// quotasWritten applies the result of a transaction of writeQuotas.
func (o *Owner) quotasWritten(p *quotaPart, accounts []*quotaAccount, version uint64, found []platform.Row, err error) {
	now := time.Now()
	p.busy = false
	o.quotas.dirty = true
	p.conflicts++
	if !errors.Is(err, platform.ErrConflict) {
		p.conflicts = 0
	} else if p.conflicts > 1 { // many owners write at the same time
		p.retryAt = now.Add(rand.N(conflictDelay << min(p.conflicts, maxConflicts)))
	}
	for _, a := range accounts {
		switch {
		case err == nil:
			before, _ := a.Row()
			a.Written(version)
			a.wroteAt, a.budget, a.hintedAt = now, a.budget-1, time.Time{}
			metricQuotaWrites.Inc()
			o.logQuota(a, before)
			if row, _ := a.Row(); !before.Pools[o.name].Size.Fits(row.Pools[o.name].Size) {
				o.hintOthers(a, func(_ string, other quota.Allotment) bool { return !other.Want.Fits(other.Size) })
			}
		case errors.Is(err, platform.ErrConflict):
			metricQuotaConflicts.Inc()
			i := slices.IndexFunc(found, func(r platform.Row) bool { return r.Key == a.name && r.Table == quota.Table })
			if i < 0 {
				a.NotDone()
			} else {
				o.quotaRead(a, found[i], now)
			}
		case errors.Is(err, platform.ErrNotDone):
			a.NotDone()
			p.retryAt = now.Add(quotaRetryDelay)
		default:
			a.Unanswered()
			p.retryAt = now.Add(quotaRetryDelay)
		}
		o.applyAllotment(a, now)
	}
}

// logQuota logs a change of a pool's allotment.
func (o *Owner) logQuota(a *quotaAccount, before quota.Row) {
	row, _ := a.Row()
	last, next := before.Pools[o.name], row.Pools[o.name]
	message := "quota taken over"
	switch {
	case next.Size != last.Size && last.Size.Fits(next.Size):
		message = "quota raised"
	case next.Size != last.Size:
		message = "quota given back"
	case next.Token == last.Token:
		message = "quota asked for"
	}
	o.log.WithFields(logrus.Fields{
		"organisation": a.name, "allotment": next.Size, "before": last.Size, "want": next.Want, "dealt": row.Sum(), "quota": row.Limit, "version": row.Version,
	}).Info(message)
}

// quotaRead applies a row as it stands in the store.
func (o *Owner) quotaRead(a *quotaAccount, r platform.Row, now time.Time) {
	a.readAt, a.readDue = now, false
	if _, before := a.Row(); r.Version == before {
		a.unchanged = min(a.unchanged+1, maxUnchanged)
	} else {
		a.unchanged = 0
	}
	var row quota.Row
	if r.Version > 0 {
		var err error
		if row, err = quota.Decode(r.Value); err != nil {
			o.log.WithField("organisation", a.name).WithError(err).Error("can't decode the quota of an organisation")
			a.Unanswered()
			return
		}
	}
	a.Learned(row, r.Version)
}

// wholePart is the number of rows above which all of a part are read in one call.
const wholePart = 2

// readQuotas reads the rows of some organisations of a part.
func (o *Owner) readQuotas(part string, p *quotaPart, accounts []*quotaAccount, now time.Time) {
	for _, a := range accounts {
		a.readAt = now
	}
	metricQuotaReads.Inc()
	names := make([]string, len(accounts))
	for i, a := range accounts {
		names[i] = a.name
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		rows := map[string]platform.Row{}
		var err error
		if len(names) > wholePart {
			var all []platform.Row
			all, _, err = o.store.ReadAll(ctx, quota.Table, part)
			for _, r := range all {
				rows[r.Key] = r
			}
		} else {
			for _, name := range names {
				var r platform.Row
				if r, err = o.store.ReadRow(ctx, quota.Table, part, name); err != nil {
					break
				}
				rows[name] = r
			}
		}
		o.post(func() { o.quotasRead(p, accounts, rows, err) })
	}()
}

// quotasRead applies the result of readQuotas.
func (o *Owner) quotasRead(p *quotaPart, accounts []*quotaAccount, rows map[string]platform.Row, err error) {
	now := time.Now()
	p.busy = false
	o.quotas.dirty = true
	if err != nil {
		p.retryAt = now.Add(quotaRetryDelay)
		o.log.WithError(err).Info("can't read the quotas of organisations")
		return
	}
	for _, a := range accounts {
		o.quotaRead(a, rows[a.name], now)
		o.applyAllotment(a, now)
	}
	for name, r := range rows {
		o.keepRemoved(name, r, now)
	}
}

// keepRemoved keeps the quota of an organisation that was removed from the configuration, if the
// pool has an allotment and thus may have jobs of it.
func (o *Owner) keepRemoved(name string, r platform.Row, now time.Time) {
	configured := slices.ContainsFunc(o.organisations, func(org platform.Organisation) bool { return org.Name == name })
	if configured || o.quotas.accounts[name] != nil || r.Version == 0 {
		return
	}
	row, err := quota.Decode(r.Value)
	if err != nil || row.Pools[o.name].Size == (jobs.Resources{}) {
		return
	}
	a := o.addQuotaAccount(name)
	a.SetLimit(row.Version, row.Limit)
	a.Learned(row, r.Version)
	o.applyAllotment(a, now)
}

// endQuotas takes the pool out of the process's metrics.
func (o *Owner) endQuotas() {
	quotaHeldUp.Add(-o.quotas.heldUp)
	o.quotas.heldUp = 0
}
