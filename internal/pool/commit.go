package pool

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
)

// Heartbeat is the row that the owner of a pool writes at least every half second while it reaches
// the store. A version that stays the same means that the owner is gone or cut off from the
// store.
type Heartbeat struct {
	Version uint64
	Members uint64 // version of the table of processes that the owner knew, 0 if it did not tell
}

// ReadHeartbeat reads the heartbeat of a pool's owner.
func ReadHeartbeat(ctx context.Context, store *platform.Store, name string) (Heartbeat, error) {
	r, err := store.ReadRow(ctx, tableLog, name, keyLog)
	if err != nil || r.Version == 0 {
		return Heartbeat{}, err
	}
	var w logRow
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return Heartbeat{}, errors.Wrapf(platform.ErrMalformed, "log row of %s: %v", name, err)
	}
	return Heartbeat{r.Version, w.Members}, nil
}

// Tables of a pool. All rows of a pool are in the part with its name.
const (
	TableOwner         = "own"       // who owns the pool; written only when that changes
	tableLog           = "log"       // one row, written by every transaction of the owner
	tableJob           = "job"       // jobs as submitted
	tableProgress      = "prog"      // progress of the jobs
	tableClosed        = "closed"    // routes that lead to other pools now
	tableCancelled     = "cancelled" // ids of jobs that were cancelled and are not known
	tableRegistrations = "crew"      // lifetimes of workers that may run tasks, in one row
	keyRegistrations   = "crew"
	keyOwner           = "owner" // in TableOwner
	keyLog             = "seq"   // in tableLog
)

const (
	commitTimeout     = 900 * time.Millisecond // for the answer to a transaction
	commitRetryDelay  = 100 * time.Millisecond // after a transaction that had no effect
	maxCommitRows     = 90                     // the store takes 100 entries
	maxCommitBytes    = 500_000                // of values; the store takes 1 MB in base64
	heartbeatPeriod   = 500 * time.Millisecond // maximum time between transactions
	minCommitInterval = 20 * time.Millisecond  // changes that arrive meanwhile share a transaction
	maxProgressDelay  = 30 * time.Millisecond  // for which progress is collected before it is written
)

// logRow is the stored form of the row in tableLog.
type logRow struct {
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`
	// Members is the version of the table of processes that the owner knows.
	Members uint64 `json:"members,omitempty"`
}

// commit is one transaction of an owner. Its write of the log row makes its outcome
// certain: each transaction expects the version that the one before it wrote, so
// they can only take effect in order.
type commit struct {
	seq              uint64
	rows             []platform.Row
	remove           []platform.Row
	submissions      []*submission
	cancelled        []jobs.ID         // of unknown jobs that are stored as cancelled
	closures         map[string]uint64 // versions of routes that are stored as closed
	confirmations    []chan Verdict
	states           map[jobs.ID]jobs.State // of the jobs in the progress rows
	registrations    []registration         // content of the registration row
	hasRegistrations bool                   // the registration row is written
	ends             map[*agent]uint64      // highest number of an end whose effect is included
	firstSent        time.Time
	unconfirmed      bool // an attempt to send it had no answer
}

// requeueWaiting puts submissions whose callers still wait back at the head of the
// queue. It drops the others, whose callers retry.
func (o *Owner) requeueWaiting(subs []*submission) {
	var kept []*submission
	for _, s := range subs {
		if len(s.waiters) > 0 {
			kept = append(kept, s)
		} else {
			delete(o.pending, s.job.ID)
		}
	}
	o.queue = append(kept, o.queue...)
}

// errDeposed means that another process owns the pool.
var errDeposed = errors.New("another process owns the pool")

// send sends a commit until it is known whether it took effect. It returns the new
// version of the log row, errDeposed, or an error that wraps [platform.ErrNotDone]
// if the commit has not taken effect and never will.
func (o *Owner) send(ctx context.Context, c *commit, version uint64) (uint64, error) {
	members := o.members()
	value, err := json.Marshal(logRow{o.token, c.seq, members})
	if err != nil {
		return 0, errors.Wrap(err, "log row")
	}
	for {
		t := platform.Transaction{
			Expect: []platform.Row{
				{Table: TableOwner, Part: o.name, Key: keyOwner, Version: o.rowVersion},
				{Table: tableLog, Part: o.name, Key: keyLog, Version: version},
			},
			Write:  append([]platform.Row{{Table: tableLog, Part: o.name, Key: keyLog, Value: value}}, c.rows...),
			Remove: c.remove,
		}
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		sentAt := time.Now()
		newVersion, rows, err := o.store.Commit(callCtx, t)
		cancel()
		switch {
		case err == nil:
			o.status.confirm(sentAt, members)
			return newVersion, nil
		case errors.Is(err, platform.ErrConflict):
			applied, current, err := o.readConflict(rows, c.seq)
			if err == nil {
				o.status.confirm(sentAt, 0) // it may show an earlier attempt
			}
			if err != nil || applied {
				return current, err
			}
			version = current // the expected version was outdated
			continue
		case errors.Is(err, platform.ErrNotDone) && !c.unconfirmed:
			return version, err
		case ctx.Err() != nil:
			return version, errors.Wrap(platform.ErrOutcomeUnknown, "stopping")
		case !c.unconfirmed:
			c.unconfirmed = true
			o.post(func() { o.storeLost(err) })
		}
		sleep(ctx, commitRetryDelay)
	}
}

// readConflict finds out from the rows returned with a conflict whether an earlier
// attempt to send the transaction took effect.
func (o *Owner) readConflict(rows []platform.Row, seq uint64) (applied bool, version uint64, err error) {
	for _, r := range rows {
		switch r.Table {
		case TableOwner:
			if r.Version != o.rowVersion {
				return false, 0, errors.WithStack(errDeposed)
			}
		case tableLog:
			var w logRow
			if err := json.Unmarshal(r.Value, &w); err != nil {
				return false, 0, errors.Wrapf(platform.ErrMalformed, "log row: %v", err)
			}
			if w.Token != o.token {
				return false, 0, errors.WithStack(errDeposed)
			}
			version = r.Version
			applied = w.Seq >= seq
		}
	}
	if version == 0 {
		return false, 0, errors.WithStack(errDeposed)
	}
	return applied, version, nil
}

// maybeCommit sends a transaction if changes are due to become durable and none is
// in flight.
func (o *Owner) maybeCommit(now time.Time) {
	if o.inFlight != nil || o.closed || now.Before(o.commitAfter) {
		return
	}
	ids, final := o.board.Dirty()
	if len(ids) > 0 && o.dirtySince.IsZero() {
		o.dirtySince = now
	}
	// Other processes read it as the owner's heartbeat.
	heartbeatDue := now.Sub(o.committedAt) > heartbeatPeriod || o.status.awaitsConfirmation() || len(o.confirmations) > 0
	due := heartbeatDue || len(o.queue) > 0 || len(o.cancelledQueue)+len(o.closureQueue) > 0 || o.registrationsDue() || final || o.flushing ||
		len(ids) > 0 && now.Sub(o.dirtySince) > maxProgressDelay || len(o.expired) > 0 || len(o.expiredCancelled) > 0
	if !due {
		return
	}
	c := o.buildCommit(ids)
	if len(c.rows) == 0 && len(c.remove) == 0 && !heartbeatDue {
		return
	}
	c.firstSent = now
	o.inFlight = c
	version := o.logVersion
	go func() {
		version, err := o.send(o.ctx, c, version)
		o.post(func() { o.handleCommitResult(c, version, err) })
	}()
}

// buildCommit collects the changes that fit into one transaction.
func (o *Owner) buildCommit(ids []jobs.ID) *commit {
	c := &commit{seq: o.seq + 1, states: map[jobs.ID]jobs.State{}, closures: map[string]uint64{}, confirmations: o.confirmations, ends: map[*agent]uint64{}}
	o.confirmations = nil
	size := 0
	if o.registrationsDue() {
		o.addRegistrations(c)
	}
	o.addClosures(c)
	o.addCancelledIDs(c)
	for len(o.queue) > 0 && len(c.rows) < maxCommitRows/2 && size < maxCommitBytes/2 {
		s := o.queue[0]
		o.queue = o.queue[1:]
		size += o.addSubmission(c, s)
	}
	o.dirtySince = time.Time{}
	for _, id := range ids {
		if len(c.rows) >= maxCommitRows || size > maxCommitBytes {
			o.dirtySince = time.Now() // the next transaction takes the rest
			break
		}
		data, state, err := o.board.EncodeProgress(id)
		if err != nil {
			o.board.WriteFailed(id) // its ends must not be acknowledged
			if !o.unstorable[id] {
				o.unstorable[id] = true
				o.log.WithField("job", id).WithError(err).Error("can't encode the progress of a job")
			}
			continue
		}
		delete(o.unstorable, id)
		c.states[id] = state
		c.rows = append(c.rows, platform.Row{Table: tableProgress, Part: o.name, Key: string(id), Value: data})
		size += len(data)
	}
	for a := range o.newEnds {
		if number := o.storedWith(a); number > 0 {
			c.ends[a] = number
		}
	}
	for len(o.expired) > 0 && len(c.rows)+len(c.remove) < maxCommitRows {
		id := string(o.expired[0])
		o.expired = o.expired[1:]
		c.remove = append(c.remove, platform.Row{Table: tableJob, Part: o.name, Key: id}, platform.Row{Table: tableProgress, Part: o.name, Key: id})
	}
	o.removeExpiredCancelled(c)
	return c
}

// addSubmission adds a submission to a transaction and returns the size of its rows.
func (o *Owner) addSubmission(c *commit, s *submission) (size int) {
	c.submissions = append(c.submissions, s)
	c.rows = append(c.rows, platform.Row{Table: tableJob, Part: o.name, Key: string(s.job.ID), Value: s.row})
	if s.progress != nil {
		c.rows = append(c.rows, platform.Row{Table: tableProgress, Part: o.name, Key: string(s.job.ID), Value: s.progress})
	}
	return len(s.row) + len(s.progress)
}

// storedWith returns the number up to which the effects of a worker's ends are durable
// once the transaction that was just built is.
func (o *Owner) storedWith(a *agent) uint64 {
	number := uint64(0)
	for _, e := range a.unstored {
		if o.board.IsDirty(e.job) {
			break
		}
		number = e.number
	}
	return number
}

// requeueUnconfirmed queues again what a transaction without effect was to show or store for
// callers that wait.
func (o *Owner) requeueUnconfirmed(c *commit) {
	o.requeueCancelled(c.cancelled)
	o.requeueClosures(c.closures)
	o.confirmations = append(c.confirmations, o.confirmations...)
}

// handleCommitResult applies the result of a transaction.
func (o *Owner) handleCommitResult(c *commit, version uint64, err error) {
	now := time.Now()
	o.inFlight = nil
	switch {
	case err == nil:
	case errors.Is(err, errDeposed):
		o.answerSubmissions(c.submissions, Unknown)
		o.depose("the store has a newer owner")
		return
	case errors.Is(err, platform.ErrNotDone):
		o.storeLost(err)
		o.logVersion = version
		o.commitAfter = now.Add(commitRetryDelay)
		if o.storeUnreachable() {
			o.answerSubmissions(c.submissions, Refused)
		}
		o.requeueWaiting(c.submissions)
		for id := range c.states {
			o.board.WriteFailed(id)
		}
		o.requeueUnconfirmed(c)
		for _, r := range c.remove {
			switch r.Table {
			case tableJob:
				o.expired = append(o.expired, jobs.ID(r.Key))
			case tableCancelled:
				o.expiredCancelled = append(o.expiredCancelled, jobs.ID(r.Key))
			}
		}
		return
	default:
		o.log.WithError(err).Error("transaction abandoned")
		o.requeueUnconfirmed(c)
		o.answerSubmissions(c.submissions, Unknown)
		return
	}
	o.storeRegained()
	o.committedAt = now
	o.commitAfter = c.firstSent.Add(minCommitInterval)
	o.seq, o.logVersion = c.seq, version
	metricCommit.UpdateDuration(c.firstSent)
	if c.hasRegistrations {
		o.markRegistered(c.registrations)
	}
	for _, s := range c.submissions {
		delete(o.pending, s.job.ID)
		p := jobs.NewProgress(s.job)
		if s.progress != nil {
			p = cancelledProgress(s.job)
		}
		o.board.Add(s.job, p, now)
		o.taskLog.Info("job accepted",
			logs.Text("job", string(s.job.ID)), logs.Text("queue", s.job.Queue), logs.Number("seq", int64(c.seq)),
			logs.Number("waited-ms", now.Sub(s.receivedAt).Milliseconds()),
			logs.Number("age-ms", now.Sub(s.job.Submitted).Milliseconds()), // since the process that the caller asked got it
			logs.Flag("cancelled", s.progress != nil))
	}
	o.answerSubmissions(c.submissions, Accepted)
	o.cancelledStored(c.cancelled, now)
	o.closuresStored(c.closures)
	answerConfirmed(c.confirmations)
	for id, state := range c.states {
		o.board.Written(id, state)
		o.stateStored(id, state)
	}
	for _, r := range c.remove {
		if r.Table == tableJob {
			delete(o.removing, jobs.ID(r.Key))
		}
	}
	for a, number := range c.ends {
		a.durableEnd = max(a.durableEnd, number)
		a.setAck(a.durableEnd)
		a.unstored = slices.DeleteFunc(a.unstored, func(e pendingEnd) bool { return e.number <= number })
		if len(a.unstored) == 0 {
			delete(o.newEnds, a)
		}
	}
}
