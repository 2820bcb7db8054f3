package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// A route may lead to another pool after a change of the configuration, while jobs that came
// by it are still in the last one. The store has a row for each route by which a job was ever
// submitted. It names the pool that accepts the route's jobs, since which version of the
// configuration, and earlier pools that may still have some. The process that owns the pool
// which is asked also asks the earlier ones; others need not know of them.

const (
	tableRoute         = "route" // one part for each route
	keyRoute           = "pools"
	routeMaxAge        = time.Second      // of what is known of a route, for callers that ask for a job
	pendingRouteMaxAge = 30 * time.Second // the same, for those that ask for a queue's length
	maxRoutes          = 10_000           // routes that are remembered
	routeTries         = 4                // for a route that others change at the same time
	callEachPool       = 800 * time.Millisecond
)

// routeRow tells which pools may have a route's jobs.
type routeRow struct {
	Pool    string   `json:"pool"`
	Version uint64   `json:"version"` // of the configuration as of which Pool accepts jobs
	Earlier []string `json:"earlier,omitempty"`
}

// others returns the pools other than name that may have jobs of the route.
func (r routeRow) others(name string) []string {
	var names []string
	for _, p := range append([]string{r.Pool}, r.Earlier...) {
		if p != "" && p != name {
			names = append(names, p)
		}
	}
	return names
}

// route is what this process knows of a route.
type route struct {
	lock  chan struct{} // holds an item while the route is read or changed
	known atomic.Pointer[knownRoute]
}

// knownRoute is a route's row as this process has read or written it.
type knownRoute struct {
	row     routeRow
	version uint64    // of the row, 0 if there is none
	readAt  time.Time // when the row was read or written last, zero if it has to be read
	err     error     // why reading it failed
	triedAt time.Time // when that began
}

// get returns what is known of the route, without waiting.
func (r *route) get() knownRoute {
	if k := r.known.Load(); k != nil {
		return *k
	}
	return knownRoute{}
}

// Errors about routes.
var (
	errStaleRoute    = errors.New("another process has a newer configuration, in which the route leads to another pool")
	errRouteContends = errors.New("other processes change the route at the same time")
	errPoolUnknown   = errors.New("a pool that may have the job gives no verdict")
)

// findRoute returns what this process knows of a route.
func (d *Daemon) findRoute(name string) *route {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[name]
	if r == nil {
		if len(d.routes) >= maxRoutes {
			clear(d.routes)
		}
		r = &route{lock: make(chan struct{}, 1)}
		d.routes[name] = r
	}
	return r
}

// withLock calls f while nobody else reads or changes the route.
func (r *route) withLock(ctx context.Context, f func() error) error {
	select {
	case r.lock <- struct{}{}:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	defer func() { <-r.lock }()
	return f()
}

// read reads the route's row from the store.
func (r *route) read(ctx context.Context, store *platform.Store, name string) error {
	callCtx, cancel := context.WithTimeout(ctx, callEachPool)
	defer cancel()
	began := time.Now()
	stored, err := store.ReadRow(callCtx, tableRoute, pool.RouteKey(name), keyRoute)
	if err != nil {
		if ctx.Err() == nil { // otherwise this caller gave up
			k := r.get()
			k.err, k.triedAt = err, began
			r.known.Store(&k)
		}
		return err
	}
	row := routeRow{}
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return errors.Wrapf(platform.ErrMalformed, "route %.60q: %v", name, err)
		}
	}
	r.known.Store(&knownRoute{row: row, version: stored.Version, readAt: began})
	return nil
}

// write replaces the route's row if it is still the one that was read. After an error it has
// to be read again.
func (r *route) write(ctx context.Context, store *platform.Store, name string, row routeRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "route")
	}
	ctx, cancel := context.WithTimeout(ctx, callEachPool)
	defer cancel()
	key := platform.Row{Table: tableRoute, Part: pool.RouteKey(name), Key: keyRoute}
	expected, written := key, key
	expected.Version, written.Value = r.get().version, value
	began := time.Now()
	version, _, err := store.Commit(ctx, platform.Transaction{Expect: []platform.Row{expected}, Write: []platform.Row{written}})
	if err != nil {
		k := r.get()
		k.readAt = time.Time{}
		r.known.Store(&k)
		return err
	}
	r.known.Store(&knownRoute{row: row, version: version, readAt: began})
	return nil
}

// readRoute returns a route's row as it was at a time or later, or, with an error, what was known of it before. Callers that wait for each
// other share a read, also one that fails.
func (d *Daemon) readRoute(ctx context.Context, name string, at time.Time) (routeRow, error) {
	r := d.findRoute(name)
	if k := r.get(); !k.readAt.Before(at) {
		return k.row, nil
	}
	err := r.withLock(ctx, func() error {
		switch k := r.get(); {
		case !k.readAt.Before(at):
			return nil
		case !k.triedAt.Before(at):
			return k.err
		}
		return r.read(ctx, d.store, name)
	})
	return r.get().row, err
}

// openRoute makes a pool the one that accepts a route's jobs, if it is so according to the
// configuration of a version, and returns the route's row. The pool before is closed first.
// The pool has refused jobs of the route as opened at the version refused, 0 if it has not.
func (d *Daemon) openRoute(ctx context.Context, name, to string, version, refused uint64) (row routeRow, err error) {
	r := d.findRoute(name)
	open := func() bool {
		k := r.get()
		row = k.row
		return !k.readAt.IsZero() && k.row.Pool == to && k.row.Version > refused
	}
	if open() {
		return row, nil
	}
	err = r.withLock(ctx, func() error {
		if open() {
			return nil
		}
		if k := r.get(); k.row.Pool != to && k.row.Version >= version && time.Since(k.readAt) < routeMaxAge {
			return errors.WithStack(errStaleRoute)
		}
		for range routeTries {
			if err := r.read(ctx, d.store, name); err != nil {
				return err
			}
			last := r.get().row
			next := routeRow{Pool: to, Version: version, Earlier: last.others(to)}
			switch {
			case open():
				return nil
			case last.Version >= version || refused >= version:
				return errors.WithStack(errStaleRoute)
			case last.Pool != to && last.Pool != "":
				if err := d.closeRoute(ctx, last.Pool, name, version); err != nil {
					return err
				}
			}
			err := r.write(ctx, d.store, name, next)
			if err == nil {
				d.log.WithFields(logrus.Fields{"route": name, "pool": to, "version": version, "earlier": next.Earlier}).Info("route opened")
				row = next
				return nil
			}
			if !errors.Is(err, platform.ErrConflict) {
				return err
			}
		}
		return errors.WithStack(errRouteContends)
	})
	return row, err
}

// closeRoute makes a pool accept no more jobs of a route that was opened there at a version
// up to the given one.
func (d *Daemon) closeRoute(ctx context.Context, from, name string, version uint64) error {
	reply, err := d.askPool(ctx, from, version, "Peer.CloseRoute", CloseRouteArgs{from, name, version}, func(o *pool.Owner) Reply {
		return Reply{Verdict: o.CloseRoute(ctx, name, version)}
	})
	switch {
	case err != nil:
		return err
	case reply.Verdict == pool.Unknown:
		return errors.Wrapf(errPoolUnknown, "pool %.60q", from)
	case reply.Verdict == pool.Missing: // the pool was removed and has no owner; it may come back
		ctx, cancel := context.WithTimeout(ctx, callEachPool)
		defer cancel()
		return pool.CloseUnowned(ctx, d.store, from, name, version)
	}
	return nil
}

// askPool is askOnce for a pool that may have been removed from the configuration, which had it
// before the given version. One that has no owner either is claimed by nobody: it counts as one
// that has no job.
func (d *Daemon) askPool(ctx context.Context, name string, version uint64, method string, args any, local func(*pool.Owner) Reply) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callEachPool)
	defer cancel()
	reply, err := d.askOnce(ctx, name, method, args, local)
	if c := d.config.Load(); err != nil && c != nil && c.Version >= version && !slices.Contains(d.poolNames(), name) {
		d.mu.Lock()
		alive := d.ownerAlive(d.ownerships[name], time.Now())
		d.mu.Unlock()
		if !alive {
			return Reply{Verdict: pool.Missing}, nil
		}
	}
	return reply, err
}

// askOthers calls ask for each pool until one has the job or rejects the caller. The verdict is Missing if none has
// it, and Unknown if one can't be asked.
func askOthers(names []string, ask func(name string) (Reply, error)) Reply {
	result := Reply{Verdict: pool.Missing}
	for _, name := range names {
		reply, err := ask(name)
		switch {
		case err != nil:
			result.Verdict = pool.Unknown
		case reply.Verdict == pool.Accepted, reply.Verdict == pool.Forbidden, reply.Verdict == pool.Outdated:
			return reply
		case reply.Verdict != pool.Missing:
			result.Verdict = pool.Unknown
		}
	}
	return result
}

// submit submits a job at an owner in this process, for a caller that was asked by a process
// with the given version of the configuration. If an earlier pool of the route has the job, it
// stays there.
func (d *Daemon) submit(ctx context.Context, o *pool.Owner, j jobs.Job, version uint64) Reply {
	if d.rejects(caller{pool.Submitter(j), version}) {
		return Reply{Verdict: pool.Outdated}
	}
	if j.Route == "" || version == 0 { // from a process of a version without routes
		v, after := o.Submit(ctx, j)
		return Reply{Verdict: v, After: after}
	}
	refused := uint64(0)
	for range routeTries {
		row, err := d.openRouteAt(ctx, o, j.Route, version, refused)
		if err != nil {
			d.log.WithFields(logrus.Fields{"job": j.ID, "route": j.Route, "pool": o.Name(), "version": version}).WithError(err).Info("opening a route failed")
			return Reply{Verdict: pool.Unknown}
		}
		if reply := d.findEarlier(ctx, row, j); reply.Verdict != pool.Missing {
			if _, v := o.StateFor(ctx, j.ID, pool.Submitter(j)); v == pool.Accepted {
				return Reply{Verdict: v}
			}
			return reply
		}
		v, after := o.SubmitRouted(ctx, j, row.Version)
		if v != pool.Closed {
			return Reply{Verdict: v, After: after}
		}
		refused = row.Version
	}
	return Reply{Verdict: pool.Unknown}
}

// openRouteAt is openRoute for a pool whose owner is in this process. If the owner knows that the
// route leads to its pool, nothing is read: the route's row is in another part of the store, which
// may be away while the pool's is not.
func (d *Daemon) openRouteAt(ctx context.Context, o *pool.Owner, name string, version, refused uint64) (routeRow, error) {
	opening, open := o.Opening(name)
	open = open && opening.Version > refused
	known := routeRow{Pool: o.Name(), Version: opening.Version, Earlier: opening.Earlier}
	if open && len(known.Earlier) == 0 {
		return known, nil
	}
	row, err := d.openRoute(ctx, name, o.Name(), version, refused) // whose row may name fewer earlier pools
	switch {
	case err == nil:
		o.RecordOpening(name, pool.Opening{Version: row.Version, Earlier: row.Earlier})
	case open && !errors.Is(err, errStaleRoute):
		return known, nil
	}
	return row, err
}

// findEarlier asks the earlier pools of a job's route for the job, and removes those from the
// route's row that have no job of the route any more.
func (d *Daemon) findEarlier(ctx context.Context, row routeRow, j jobs.Job) Reply {
	var left []string
	from := pool.Submitter(j)
	reply := askOthers(row.Earlier, func(name string) (Reply, error) {
		reply, err := d.askPool(ctx, name, row.Version, "Peer.Find", RoutedArgs{Pool: name, Name: string(j.ID), Route: j.Route, Organisation: from.Organisation, PublicRoute: from.PublicRoute}, func(o *pool.Owner) Reply {
			v, holds := o.FindFor(ctx, j.ID, j.Route, from)
			return Reply{Verdict: v, Holds: holds}
		})
		if err != nil || reply.Verdict != pool.Missing || reply.Holds {
			left = append(left, name)
		}
		return reply, err
	})
	if reply.Verdict == pool.Missing && len(left) < len(row.Earlier) {
		d.forgetEarlier(ctx, j.Route, row, left)
	}
	return reply
}

// forgetEarlier replaces the earlier pools of a route, unless its row has changed.
func (d *Daemon) forgetEarlier(ctx context.Context, name string, seen routeRow, left []string) {
	r := d.findRoute(name)
	err := r.withLock(ctx, func() error {
		k := r.get()
		if k.row.Pool != seen.Pool || k.row.Version != seen.Version || !slices.Equal(k.row.Earlier, seen.Earlier) || k.readAt.IsZero() {
			return nil
		}
		return r.write(ctx, d.store, name, routeRow{seen.Pool, seen.Version, left})
	})
	if err != nil { // the next submission tries again
		d.log.WithField("route", name).WithError(err).Info("removing earlier pools of a route failed")
	}
}

// state returns the state of a job that is at an owner in this process, or at another pool of
// its route.
func (d *Daemon) state(ctx context.Context, o *pool.Owner, id jobs.ID, name string, from caller) Reply {
	if d.rejects(from) {
		return Reply{Verdict: pool.Outdated}
	}
	s, v := o.StateFor(ctx, id, from.Caller)
	if v != pool.Missing || name == "" {
		return Reply{Verdict: v, State: string(s)}
	}
	row, err := d.readRoute(ctx, name, time.Now().Add(-routeMaxAge))
	if err != nil {
		return Reply{Verdict: pool.Unknown}
	}
	return askOthers(row.others(o.Name()), func(other string) (Reply, error) {
		return d.askPool(ctx, other, row.Version, "Peer.State", from.args(other, string(id)), func(o *pool.Owner) Reply {
			return d.state(ctx, o, id, "", from)
		})
	})
}

// cancelJob cancels a job that is at an owner in this process, or at another pool of its
// route. A job that none of them has is cancelled at each, in case its submission is still on
// its way.
func (d *Daemon) cancelJob(ctx context.Context, o *pool.Owner, id jobs.ID, name string, from caller) Reply {
	if d.rejects(from) {
		return Reply{Verdict: pool.Outdated}
	}
	v := o.CancelFor(ctx, id, from.Caller)
	if v != pool.Missing || name == "" {
		return Reply{Verdict: v}
	}
	row, err := d.readRoute(ctx, name, time.Now())
	if err == nil && row.Pool == "" && from.version > 0 { // the next pool has to ask this one
		row, err = d.openRoute(ctx, name, o.Name(), from.version, 0)
	}
	if err != nil {
		return Reply{Verdict: pool.Unknown}
	}
	return askOthers(row.others(o.Name()), func(other string) (Reply, error) {
		return d.askPool(ctx, other, row.Version, "Peer.Cancel", from.args(other, string(id)), func(o *pool.Owner) Reply {
			return d.cancelJob(ctx, o, id, "", from)
		})
	})
}

// pendingJobs returns how many jobs of a queue have not started, at an owner in this process
// and at the other pools of the queue's route.
func (d *Daemon) pendingJobs(ctx context.Context, o *pool.Owner, queue, name string, from caller) Reply {
	if d.rejects(from) {
		return Reply{Verdict: pool.Outdated}
	}
	n, v := o.Pending(ctx, queue)
	if v != pool.Accepted || name == "" {
		return Reply{Verdict: v, Count: n}
	}
	row, err := d.readRoute(ctx, name, time.Now().Add(-pendingRouteMaxAge))
	if err != nil {
		d.log.WithField("route", name).WithError(err).Debug("a queue's length is that by what was known of its route before")
	}
	for _, other := range row.others(o.Name()) {
		reply, err := d.askPool(ctx, other, row.Version, "Peer.Pending", from.args(other, queue), func(o *pool.Owner) Reply {
			return d.pendingJobs(ctx, o, queue, "", from)
		})
		if err != nil || reply.Verdict == pool.Unknown {
			return Reply{Verdict: pool.Unknown}
		}
		n += reply.Count
	}
	return Reply{Verdict: pool.Accepted, Count: n}
}
