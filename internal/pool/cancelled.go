package pool

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// A submission may be held up on its way and arrive after the caller has cancelled the job. So
// the id of an unknown job that is cancelled is stored before the cancel is acknowledged. A
// submission with such an id is accepted as a job that is cancelled already, if it comes from an
// organisation that has cancelled it.

// minCancelRetention is for how long the id of an unknown job that was cancelled is kept at
// least: longer than a process holds a submission, or a cut link holds its bytes.
const minCancelRetention = 2 * time.Minute

// maxQueuedRows limits how many cancelled ids, and how many closed routes, one transaction stores.
const maxQueuedRows = maxCommitRows / 4

// cancelledID is the id of a job that was cancelled while it was unknown.
type cancelledID struct {
	organisations []string  // whose submissions it cancels, all if there are none; empty for those by public routes
	queued        bool      // it is to be stored, or stored again
	storedAt      time.Time // when it was stored or loaded, zero if it isn't stored yet
	waiters       []chan Verdict
}

// cancels reports whether the id cancels the submissions of a caller. Those that belong to no
// organisation are cancelled by any.
func (c *cancelledID) cancels(from Caller) bool {
	return c != nil && (len(c.organisations) == 0 || from.Organisation == "" || slices.Contains(c.organisations, from.Organisation))
}

// covers reports whether the cancel of a caller changes nothing.
func (c *cancelledID) covers(from Caller) bool {
	return len(c.organisations) == 0 || from != Caller{} && slices.Contains(c.organisations, from.Organisation)
}

// add makes the id cancel the submissions of a caller's organisation as well, or all.
func (c *cancelledID) add(from Caller) {
	if from == (Caller{}) {
		c.organisations = nil
		return
	}
	c.organisations = append(c.organisations, from.Organisation)
}

// cancelledRow is the stored form of a [cancelledID].
type cancelledRow struct {
	Organisations []string `json:"organisations,omitempty"`
}

// cancelUnknown cancels a job that the pool does not have. The verdict is Missing as soon as
// that is durable.
func (o *Owner) cancelUnknown(id jobs.ID, from Caller, reply chan Verdict) {
	c := o.cancelledIDs[id]
	switch {
	case c == nil:
		metricUnknownCancels.Inc()
		o.log.WithField("job", id).Info("cancel of an unknown job")
		c = &cancelledID{}
		c.add(from)
		o.cancelledIDs[id] = c
		o.queueCancelled(id, c)
	case !c.covers(from):
		c.add(from)
		c.storedAt = time.Time{}
		o.queueCancelled(id, c)
	case !c.storedAt.IsZero():
		reply <- Missing
		return
	}
	c.waiters = append(c.waiters, reply)
}

func (o *Owner) queueCancelled(id jobs.ID, c *cancelledID) {
	if !c.queued {
		c.queued = true
		o.cancelledQueue = append(o.cancelledQueue, id)
	}
}

// addCancelledIDs moves queued ids into a transaction.
func (o *Owner) addCancelledIDs(c *commit) {
	n := min(len(o.cancelledQueue), maxQueuedRows)
	for _, id := range o.cancelledQueue[:n] {
		cancelled := o.cancelledIDs[id]
		cancelled.queued = false
		value, err := json.Marshal(cancelledRow{cancelled.organisations})
		if err != nil { // can't happen: it holds texts
			value = []byte("{}")
		}
		c.rows = append(c.rows, platform.Row{Table: tableCancelled, Part: o.name, Key: string(id), Value: value})
	}
	c.cancelled = o.cancelledQueue[:n:n]
	o.cancelledQueue = o.cancelledQueue[n:]
}

// requeueCancelled queues ids again after a transaction that had no effect.
func (o *Owner) requeueCancelled(ids []jobs.ID) {
	for _, id := range ids {
		o.queueCancelled(id, o.cancelledIDs[id])
	}
}

// cancelledStored handles that ids have become durable. One that is to be stored again is not
// durable for all that wait.
func (o *Owner) cancelledStored(ids []jobs.ID, now time.Time) {
	for _, id := range ids {
		c := o.cancelledIDs[id]
		if c.queued {
			continue
		}
		c.storedAt = now
		for _, w := range c.waiters {
			w <- Missing
		}
		c.waiters = nil
	}
}

// loadCancelledIDs takes in the stored ids.
func (o *Owner) loadCancelledIDs(rows []platform.Row, now time.Time) {
	for _, r := range rows {
		var w cancelledRow
		if err := json.Unmarshal(r.Value, &w); err != nil { // then it cancels the submissions of all
			o.log.WithField("job", r.Key).WithError(err).Error("decoding a cancelled id failed")
			w = cancelledRow{}
		}
		o.cancelledIDs[jobs.ID(r.Key)] = &cancelledID{organisations: w.Organisations, storedAt: now}
	}
}

// expireCancelled removes ids that have been stored for long enough.
func (o *Owner) expireCancelled(now time.Time) {
	kept := max(o.retention, minCancelRetention)
	for id, c := range o.cancelledIDs {
		if !c.storedAt.IsZero() && now.Sub(c.storedAt) > kept {
			delete(o.cancelledIDs, id)
			o.expiredCancelled = append(o.expiredCancelled, id)
		}
	}
}

// removeExpiredCancelled adds the removal of expired ids to a transaction. An id that was
// cancelled once more meanwhile stays.
func (o *Owner) removeExpiredCancelled(c *commit) {
	for len(o.expiredCancelled) > 0 && len(c.rows)+len(c.remove) < maxCommitRows {
		id := o.expiredCancelled[0]
		o.expiredCancelled = o.expiredCancelled[1:]
		if o.cancelledIDs[id] == nil {
			c.remove = append(c.remove, platform.Row{Table: tableCancelled, Part: o.name, Key: string(id)})
		}
	}
}

// cancelledProgress returns the progress of a job that was cancelled before it was submitted.
func cancelledProgress(j jobs.Job) *jobs.Progress {
	p := jobs.NewProgress(j)
	p.Final = jobs.Cancelled
	return p
}
