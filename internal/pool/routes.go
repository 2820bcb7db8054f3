package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// A route, the address of a queue, may lead to another pool after a change of the
// configuration. Before the new pool accepts a job of the route, the route is closed at the
// last pool, as of a version of the configuration. From then on that pool accepts no job of
// the route from a process whose route to it was opened at that version or before, so that
// whether it has a job is certain.

// closure tells from which version on a route leads to another pool, and when it was opened
// here last.
type closure struct {
	version uint64 // 0 if the route was never closed
	stored  uint64 // as far as it is durable
	opening Opening
	waiters []closureWaiter
}

// Opening is that a route leads to a pool. It holds until the route is closed there, so that the
// pool's owner needs no other part of the store to accept jobs of the route.
type Opening struct {
	Version uint64   // of the configuration; 0 if the route is not known to be open
	Earlier []string // pools that may still have jobs of the route
}

type closureWaiter struct {
	version uint64
	reply   chan Verdict
}

// closureRow is the stored form of a [closure].
type closureRow struct {
	Route   string   `json:"route"`
	Version uint64   `json:"version"`
	Opened  uint64   `json:"opened,omitempty"`
	Earlier []string `json:"earlier,omitempty"`
}

// maxKey is the length of a key that the store takes.
const maxKey = 200

// RouteKey returns the key of a row about a route.
func RouteKey(route string) string {
	if len(route) <= maxKey {
		return route
	}
	sum := xxh3.HashString128(route)
	return fmt.Sprintf("%016x%016x", sum.Hi, sum.Lo)
}

// alwaysOpen is the version of a route for submissions that are not bound to one.
const alwaysOpen = math.MaxUint64

// CloseRoute closes a route as of a version. Accepted means that this is durable.
func (o *Owner) CloseRoute(ctx context.Context, route string, version uint64) Verdict {
	return o.ask(ctx, func(reply chan Verdict) {
		if !o.started || o.flushing {
			reply <- Unknown
			return
		}
		c := o.closureOf(route)
		if c.stored >= version {
			reply <- Accepted
			return
		}
		if c.version < version {
			c.version = version
			o.publishOpening(route, c)
			o.log.WithField("route", route).WithField("version", version).Info("route closed: it leads to another pool")
		}
		c.waiters = append(c.waiters, closureWaiter{version, reply})
		o.queueClosure(route)
	})
}

// CloseUnowned closes a route as of a version at a pool that has no owner, so that its next owner
// finds it closed. It fails if the pool is claimed meanwhile.
func CloseUnowned(ctx context.Context, store *platform.Store, name, route string, version uint64) error {
	keys := []platform.Row{{Table: TableOwner, Part: name, Key: keyOwner}, {Table: tableClosed, Part: name, Key: RouteKey(route)}}
	var closed platform.Row
	for i, key := range keys {
		row, err := store.ReadRow(ctx, key.Table, key.Part, key.Key)
		if err != nil {
			return errors.Wrapf(err, "close a route at pool %.60q", name)
		}
		keys[i].Version, closed = row.Version, row
	}
	var w closureRow
	if closed.Version > 0 {
		if err := json.Unmarshal(closed.Value, &w); err != nil {
			w = closureRow{} // the next owner would ignore it
		}
	}
	if w.Version >= version {
		return nil
	}
	w.Route, w.Version = route, version
	value, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "closed route")
	}
	write := platform.Row{Table: tableClosed, Part: name, Key: RouteKey(route), Value: value}
	_, _, err = store.Commit(ctx, platform.Transaction{Expect: keys, Write: []platform.Row{write}})
	return errors.Wrapf(err, "close a route at pool %.60q", name)
}

// closureOf returns what is known of a route, nothing at first.
func (o *Owner) closureOf(route string) *closure {
	c := o.closures[route]
	if c == nil {
		c = &closure{}
		o.closures[route] = c
	}
	return c
}

// queueClosure makes what is known of a route durable with the next transaction.
func (o *Owner) queueClosure(route string) {
	if !slices.Contains(o.closureQueue, route) {
		o.closureQueue = append(o.closureQueue, route)
	}
}

// Opening returns the last opening of a route, if the route has not been closed since. It may be
// outdated: [Owner.SubmitRouted] decides.
func (o *Owner) Opening(route string) (Opening, bool) {
	opening, known := o.openings.Load(route)
	if !known {
		return Opening{}, false
	}
	return opening.(Opening), true
}

// RecordOpening records that the store's row of a route names this pool.
func (o *Owner) RecordOpening(route string, opening Opening) {
	if known, ok := o.Opening(route); ok && known.Version == opening.Version && slices.Equal(known.Earlier, opening.Earlier) {
		return
	}
	o.post(func() {
		c := o.closureOf(route)
		if c.opening.Version > opening.Version || !o.started || o.flushing {
			return
		}
		c.opening = opening
		o.publishOpening(route, c)
		o.queueClosure(route)
	})
}

// publishOpening makes a route's opening known to [Owner.Opening], unless the route is closed.
func (o *Owner) publishOpening(route string, c *closure) {
	if c.opening.Version > c.version {
		o.openings.Store(route, c.opening)
	} else {
		o.openings.Delete(route)
	}
}

// routeClosed reports whether a route that was opened at a version has been closed since.
func (o *Owner) routeClosed(route string, opened uint64) bool {
	c := o.closures[route]
	return c != nil && opened <= c.version
}

// Find reports whether the pool has a job: Accepted also if the job was cancelled here while
// it was unknown. Missing is certain, and holds for as long as the job's route is closed.
// With Missing, holds reports whether the pool may have any job of the route.
func (o *Owner) Find(ctx context.Context, id jobs.ID, route string) (v Verdict, holds bool) {
	return o.FindFor(ctx, id, route, Caller{})
}

// FindFor is [Owner.Find] for a caller that is checked. Forbidden means that the job belongs to an
// organisation that is not the caller's.
func (o *Owner) FindFor(ctx context.Context, id jobs.ID, route string, from Caller) (v Verdict, holds bool) {
	v = o.ask(ctx, func(reply chan Verdict) {
		c := o.cancelledIDs[id]
		switch {
		case o.started && !o.mayAccess(id, from):
			reply <- Forbidden
		case !o.started, o.flushing, o.pending[id] != nil, o.undecoded[id], c.cancels(from) && c.storedAt.IsZero():
			reply <- Unknown
		case c.cancels(from), o.board.Known(id):
			reply <- Accepted
		default:
			holds = len(o.cancelledIDs)+len(o.pending) > 0 || o.board.HasJobsOf(route)
			o.confirmations = append(o.confirmations, reply)
		}
	})
	return v, v == Missing && holds
}

// addClosures moves queued closures into a transaction.
func (o *Owner) addClosures(c *commit) {
	for len(o.closureQueue) > 0 && len(c.closures) < maxQueuedRows {
		route := o.closureQueue[0]
		o.closureQueue = o.closureQueue[1:]
		known := o.closures[route]
		version := known.version
		value, err := json.Marshal(closureRow{route, version, known.opening.Version, known.opening.Earlier})
		if err != nil { // can't happen: it holds a text and a number
			o.log.WithField("route", route).WithError(err).Error("can't encode a closed route")
			continue
		}
		c.closures[route] = version
		c.rows = append(c.rows, platform.Row{Table: tableClosed, Part: o.name, Key: RouteKey(route), Value: value})
	}
}

// closuresStored handles that closures have become durable.
func (o *Owner) closuresStored(versions map[string]uint64) {
	for route, version := range versions {
		c := o.closures[route]
		c.stored = version
		c.waiters = slices.DeleteFunc(c.waiters, func(w closureWaiter) bool {
			if w.version > version {
				return false
			}
			w.reply <- Accepted
			return true
		})
	}
}

// requeueClosures queues closures again after a transaction that had no effect.
func (o *Owner) requeueClosures(versions map[string]uint64) {
	for route := range versions {
		o.queueClosure(route)
	}
}

// loadClosures takes in the stored closures.
func (o *Owner) loadClosures(rows []platform.Row) {
	for _, r := range rows {
		var w closureRow
		if err := json.Unmarshal(r.Value, &w); err != nil {
			o.log.WithField("route", r.Key).WithError(err).Error("can't decode a closed route")
			continue
		}
		c := &closure{version: w.Version, stored: w.Version, opening: Opening{w.Opened, w.Earlier}}
		o.closures[w.Route] = c
		o.publishOpening(w.Route, c)
	}
}

// answerConfirmed answers calls that waited for a transaction to show that this process owns
// the pool.
func answerConfirmed(waiters []chan Verdict) {
	for _, w := range waiters {
		w <- Missing
	}
}

// SubmitRouted is Submit for a job whose route was opened at a version of the configuration.
// Closed means that the route has been closed since, and the job was not accepted.
func (o *Owner) SubmitRouted(ctx context.Context, j jobs.Job, opened uint64) (Verdict, time.Duration) {
	return o.submit(ctx, j, opened)
}
