package model

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// Timing of a takeover, as in package pool.
const (
	claimTime     = 100 * time.Millisecond // from the end of an owner to the claim of the next one
	takeoverWait  = 600 * time.Millisecond // for workers to answer a new owner
	takeoverCheck = 10 * time.Millisecond  // between looks at whether they have
	ownerAttempts = 1_000_000              // attempt numbers of one owner
)

// startHandOvers spreads the hand-overs of a fault evenly over its time.
func (w *simulation) startHandOvers(f Fault) {
	for i := range f.Count {
		w.after(f.For*time.Duration(i)/time.Duration(f.Count), func() {
			for _, name := range w.poolNames {
				if f.Pool == "" || f.Pool == name {
					w.handOver(name)
				}
			}
		})
	}
}

// handOver ends a pool's owner, whose last act is to store the progress of its jobs, and starts
// another one. Without the store an owner can't be replaced.
func (w *simulation) handOver(name string) {
	last := w.pools[name]
	if last.ended || w.storeDown() {
		return
	}
	last.ended = true
	last.refuseQueued()
	stored := map[jobs.ID][]byte{}
	for _, c := range last.calls {
		data, state, err := last.board.EncodeProgress(c.job.ID)
		if err != nil {
			panic(err) // jobs of the model can always be encoded
		}
		if state.Final() {
			c.ended(w, state)
			continue
		}
		stored[c.job.ID] = data
	}
	if last.standsSince.IsZero() {
		last.standsSince = w.now
	}
	w.after(claimTime, func() { w.takeOver(last, stored) })
}

// takeOver starts a pool's next owner with what the last one has stored.
func (w *simulation) takeOver(last *owner, stored map[jobs.ID][]byte) {
	o := newOwner(w, last.name, last.token+1)
	o.started, o.standsSince, o.lasting, o.load = false, last.standsSince, last.lasting, last.load
	w.pools[o.name] = o
	o.prepare()
	for _, c := range last.calls {
		data, unfinished := stored[c.job.ID]
		if !unfinished {
			continue
		}
		p, err := jobs.DecodeProgress(c.job, data)
		if err != nil {
			panic(err) // EncodeProgress wrote it
		}
		o.calls = append(o.calls, c)
		o.board.Add(c.job, p, w.now)
		if c.cancelled {
			o.board.Cancel(c.job.ID, w.now)
		}
	}
	o.unseen = last.registrations(w.now)
	for _, h := range w.hosts {
		if h.worker != nil && h.pool == o.name {
			o.addWorker(h.worker)
		}
	}
	o.awaitWorkers(w.now.Add(takeoverWait))
}

// registrations returns until when workers may run tasks that an owner has not listed, for its
// successor: a worker that fell silent until its leases end, one that the owner has not heard of
// itself as long as its predecessor told it, and the others until the leases end that they had when
// the successor claimed the pool.
func (o *owner) registrations(claimed time.Time) map[string]time.Time {
	all := map[string]time.Time{}
	for key, until := range o.unseen {
		all[key] = until
	}
	for key, k := range o.workers {
		switch {
		case !k.answered:
		case k.silent:
			all[key] = k.heard.Add(leaseExpiry)
		default:
			all[key] = claimed.Add(takeoverWait + leaseExpiry)
		}
	}
	return all
}

// awaitWorkers starts placement once every registered worker has answered, or at the deadline.
// Inherited tasks wait longer if one has not.
func (o *owner) awaitWorkers(deadline time.Time) {
	if o.ended {
		return
	}
	now := o.simulation.now
	if len(o.unseen) > 0 && now.Before(deadline) {
		o.simulation.after(takeoverCheck, func() { o.awaitWorkers(deadline) })
		return
	}
	latest := time.Time{}
	for _, until := range o.unseen {
		if until.After(latest) {
			latest = until
		}
	}
	if now.Before(latest) {
		o.board.SetUnconfirmedUntil(latest)
	}
	o.started = true
	o.decideSoon()
}

// markSeen records that a worker runs no task any longer that its owner has not listed.
func (o *owner) markSeen(key string) {
	if _, unseen := o.unseen[key]; !unseen {
		return
	}
	delete(o.unseen, key)
	if len(o.unseen) == 0 && o.started {
		o.board.SetUnconfirmedUntil(time.Time{})
	}
}

// updateUnseen drops the workers whose leases have expired.
func (o *owner) updateUnseen() {
	for key, until := range o.unseen {
		if o.simulation.now.After(until) {
			o.markSeen(key)
		}
	}
}

// recordStart records how long none of the jobs that an earlier owner had accepted was started.
func (o *owner) recordStart(c *call) {
	if o.standsSince.IsZero() || c.acceptedBy == o.token {
		return
	}
	o.simulation.result.Standstills = append(o.simulation.result.Standstills, o.simulation.now.Sub(o.standsSince))
	o.standsSince = time.Time{}
}

// record writes the steps of an owner's board to the recording, if there is one.
func (o *owner) record() {
	if log := o.simulation.log; log != nil {
		trace.RecordBoard(log, o.name, o.token*ownerAttempts, o.board)
	}
}
