package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/papayarudder/papayarudder/internal/creds"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

const (
	feedWait         = 4 * time.Second        // how long the store may hold a feed request open; bounds the time lost to a silent connection
	shortFeedWait    = time.Second            // of the operator's table, for its lookouts
	lookouts         = 2                      // processes that find out early that a change was missed; the others hear of it from them
	feedAnswerMargin = 700 * time.Millisecond // time for the answer after feedWait
	readTimeout      = 2 * time.Second        // for reading a whole table
	watchRetryDelay  = 150 * time.Millisecond // after the first failure; doubles with each further one
	// Service must resume within two seconds of the store's return.
	maxWatchRetryDelay = 600 * time.Millisecond

	batchPause = 150 * time.Millisecond // between polls of the tables of workers and processes, since many rows often change together

	workersLinger = 10 * time.Second // for which the workers are followed after they were last needed
	workersWait   = time.Second      // for reading the workers before a claim
)

// configuration is the active configuration and its encoded form.
type configuration struct {
	platform.Config
	raw  []byte
	keys *creds.Index // nil if there are no organisations
}

func newConfiguration(c platform.Config, raw []byte) *configuration {
	active := &configuration{Config: c, raw: slices.Clone(raw)}
	if len(c.Organisations) > 0 {
		active.keys = creds.NewIndex(c.Organisations)
	}
	return active
}

// watch returns a service that follows a table. It calls read for the whole table, then
// apply for the rows that changed together. After any failure it reads the whole table
// again, since changes may have been missed.
func (d *Daemon) watch(table string, read func(ctx context.Context) (uint64, error), apply func([]platform.Row)) serviceFunc {
	return func(ctx context.Context) error {
		o := outage{log: d.log.WithField("table", table)}
		for ctx.Err() == nil {
			readCtx, cancel := context.WithTimeout(ctx, readTimeout)
			version, err := read(readCtx)
			cancel()
			if err == nil {
				o.recordSuccess(time.Now())
			}
			for err == nil {
				version, err = d.pollFeed(ctx, table, version, apply)
				if err == nil {
					o.answeredAt = time.Now()
				}
				if table == platform.TableWorkers || table == tableMember {
					sleep(ctx, batchPause)
				}
			}
			if ctx.Err() == nil {
				if !errors.Is(err, platform.ErrCompacted) { // which is an answer
					d.recordStoreFailure()
				}
				sleep(ctx, o.recordFailure(err, time.Now()))
			}
		}
		return ctx.Err()
	}
}

// eachRow adapts a function for one row to watch.
func eachRow(apply func(platform.Row)) func([]platform.Row) {
	return func(rows []platform.Row) {
		for _, r := range rows {
			apply(r)
		}
	}
}

// outage tracks the time in which a table can't be read. It logs the start and the end
// of an outage instead of every failed try.
type outage struct {
	log        *logrus.Entry
	since      time.Time // zero outside an outage
	tries      int
	answeredAt time.Time // when the store last answered, zero before the first time
}

// recordFailure counts a failed try and returns how long to wait before the next one.
func (o *outage) recordFailure(err error, now time.Time) time.Duration {
	if o.since.IsZero() {
		o.since = now
		log := o.log.WithError(err)
		if !o.answeredAt.IsZero() { // long before: this process was stopped or cut off
			log = log.WithField("answered-ms", now.Sub(o.answeredAt).Milliseconds())
		}
		log.Info("table lost: reading the whole table again")
	}
	o.tries++
	return min(watchRetryDelay<<(o.tries-1), maxWatchRetryDelay)
}

// recordSuccess ends the outage, if there is one.
func (o *outage) recordSuccess(now time.Time) {
	if !o.since.IsZero() {
		o.log.WithFields(logrus.Fields{"ms": now.Sub(o.since).Milliseconds(), "tries": o.tries}).Info("table regained")
	}
	o.since, o.tries, o.answeredAt = time.Time{}, 0, now
}

// pollFeed waits for one answer of a table's feed, applies its rows and returns the
// version up to which the table is now known.
func (d *Daemon) pollFeed(ctx context.Context, table string, after uint64, apply func([]platform.Row)) (uint64, error) {
	wait := feedWait
	if table == platform.TableOperator && d.isLookout(time.Now()) {
		wait = shortFeedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedAnswerMargin)
	defer cancel()
	began := time.Now()
	page, err := d.store.Feed(ctx, table, after, wait)
	if err != nil {
		return after, err
	}
	d.recordStoreAnswer()
	if len(page.Rows) == 0 {
		sleep(ctx, batchPause-time.Since(began)) // in case the store does not wait for a change
	}
	apply(page.Rows)
	if table == platform.TableOperator {
		d.fresh.confirm(began)
	}
	return max(after, page.Version), nil
}

// isLookout reports whether this process is one of the few that ask the store for changes of
// the operator's table more often. A connection that has gone silent delays a change by as long
// as the store may hold a request open, and all processes begin theirs at the same moment, when
// the last change was answered.
func (d *Daemon) isLookout(now time.Time) bool {
	order := func(node string) uint64 { return xxh3.HashString("lookout/" + node) }
	self, before := order(d.self.Node), 0
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		if p.alive(now) && order(p.node) < self {
			before++
		}
	}
	return before < lookouts
}

func (d *Daemon) recordStoreAnswer() {
	d.storeAnsweredAt.Store(time.Now().UnixMilli())
	d.storeFailing.Store(false)
}

func (d *Daemon) recordStoreFailure() { d.storeFailing.Store(true) }

// storeReachable reports whether the store has answered recently, and answered last. An
// idle feed answers every feedWait.
func (d *Daemon) storeReachable() bool {
	return !d.storeFailing.Load() && time.Since(time.UnixMilli(d.storeAnsweredAt.Load())) < feedWait+2*feedAnswerMargin
}

func (d *Daemon) readOperator(ctx context.Context) (uint64, error) {
	began := time.Now()
	rows, version, err := d.store.ReadAll(ctx, platform.TableOperator, "")
	if err != nil {
		return 0, err
	}
	d.recordStoreAnswer()
	for _, r := range rows {
		d.applyOperatorRow(r)
	}
	d.fresh.confirm(began)
	return version, nil
}

// applyOperatorRow applies a row of the operator's table: the configuration or a
// maintenance wave.
func (d *Daemon) applyOperatorRow(r platform.Row) {
	switch {
	case r.Deleted:
	case r.Key == platform.KeyConfig:
		d.applyConfig(r.Value, "store")
	case strings.HasPrefix(r.Key, platform.PrefixWave):
		w, err := platform.DecodeWave(r)
		if err != nil {
			d.log.WithError(err).Error("decoding a maintenance wave failed")
			return
		}
		d.mu.Lock()
		if w.ReceivedAt = d.waves[w.Number].ReceivedAt; w.ReceivedAt.IsZero() {
			w.ReceivedAt = time.Now()
		}
		d.waves[w.Number] = w
		d.mu.Unlock()
		d.log.WithFields(logrus.Fields{"wave": w.Number, "hosts": len(w.Hosts), "within-s": w.Duration.Seconds(), "at-once": w.MaxUnavailable}).Info("maintenance wave received")
	}
}

// applyConfig activates a configuration unless the active one is as new.
func (d *Daemon) applyConfig(raw []byte, from string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		d.log.WithError(err).Error("decoding the configuration failed; the previous one stays in force")
		return
	}
	old := d.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	active := newConfiguration(c, raw)
	d.mu.Lock()
	old = d.config.Load()
	if old != nil && old.Version >= c.Version {
		d.mu.Unlock()
		return
	}
	d.config.Store(active)
	d.configFetch.applied(c.Version)
	owners := make([]*pool.Owner, 0, len(d.owners))
	for _, o := range d.owners {
		owners = append(owners, o)
	}
	d.mu.Unlock()
	for _, o := range owners {
		o.SetQueues(c.Queues)
		o.SetOrganisations(c.Organisations, c.Version)
	}
	d.log.WithFields(logrus.Fields{"version": c.Version, "queues": len(c.Queues), "pools": len(c.Pools), "from": from}).Info("configuration in force")
}

// followWorkers follows the workers' table while this process needs it: most processes own
// no pool, and the table changes hundreds of times a second in a large fleet.
func (d *Daemon) followWorkers(ctx context.Context) error {
	follow := d.watch(platform.TableWorkers, d.readWorkers, d.applyWorkerRows)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.workersSignal:
		}
		followCtx, cancel := context.WithCancel(ctx)
		go func() {
			_ = every(followCtx, time.Second, func() { // ends with followCtx
				if d.dropWorkers(time.Now()) {
					cancel()
				}
			})
		}()
		_ = follow(followCtx) // ends with followCtx, too
		cancel()
	}
	return ctx.Err()
}

// needWorkers makes this process follow the workers for some time. The caller holds d.mu.
func (d *Daemon) needWorkers(now time.Time) {
	d.workersUntil = now.Add(workersLinger)
	select {
	case d.workersSignal <- struct{}{}:
	default:
	}
}

// dropWorkers forgets the workers if they are not needed any more, and reports whether it
// did.
func (d *Daemon) dropWorkers(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.owners) > 0 || len(d.claiming) > 0 || now.Before(d.workersUntil) {
		return false
	}
	d.workers, d.oddEntries, d.workersRead = map[string]platform.WorkerEntry{}, map[string]oddEntry{}, false
	select {
	case <-d.workersSignal: // of a need that has passed
	default:
	}
	return true
}

// awaitWorkers waits until the workers are known.
func (d *Daemon) awaitWorkers(ctx context.Context) error {
	const pollPeriod = 5 * time.Millisecond
	for began := time.Now(); time.Since(began) < workersWait && ctx.Err() == nil; sleep(ctx, pollPeriod) {
		d.mu.Lock()
		d.needWorkers(time.Now())
		known := d.workersRead
		d.mu.Unlock()
		if known {
			return nil
		}
	}
	return errors.WithStack(errWorkersUnknown)
}

func (d *Daemon) readWorkers(ctx context.Context) (uint64, error) {
	rows, version, err := d.store.ReadAll(ctx, platform.TableWorkers, "")
	if err != nil {
		return 0, err
	}
	d.recordStoreAnswer()
	entries := make([]platform.WorkerEntry, len(rows))
	faults := make([]error, len(rows))
	for i, r := range rows {
		entries[i], faults[i] = platform.DecodeWorker(r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.oddEntries
	d.oddEntries = map[string]oddEntry{}
	workers := map[string]platform.WorkerEntry{}
	for i, r := range rows {
		known, ok := d.workers[r.Key]
		if !ok {
			known = last[r.Key].last
		}
		e, err := entries[i], faults[i]
		if err == nil {
			err = checkPool(e, known)
		}
		if err != nil {
			d.recordOddEntry(r.Key, known, last[r.Key].fault, err)
			continue
		}
		workers[e.ID] = e
	}
	d.workers = workers
	d.workersRead = true
	for _, o := range d.owners {
		d.updateWorkers(o)
	}
	return version, nil
}

// oddEntry is a worker's entry that can't be decoded.
type oddEntry struct {
	last  platform.WorkerEntry // that could be, zero if there was none
	fault string               // as logged
}

// maxOddEntries is how many malformed entries are told apart. Further ones are counted only.
const maxOddEntries = 1000

var metricOddEntries = metrics.NewCounter("papayarudder_malformed_entries_total")

// checkPool compares an entry with the last one of the worker. A worker is one life of a
// host, and stays in its pool: an entry that says otherwise comes from another writer.
func checkPool(e, known platform.WorkerEntry) error {
	if known.Born == e.Born && known.Pool != e.Pool {
		return errors.Wrapf(platform.ErrMalformed, "worker %.60q: pool %.60q, was %.60q in the same lifetime", e.ID, e.Pool, known.Pool)
	}
	return nil
}

// recordOddEntry records an entry that can't be decoded. A fault is logged once, however
// often the entry is written or read. The caller holds d.mu.
func (d *Daemon) recordOddEntry(key string, last platform.WorkerEntry, logged string, err error) {
	metricOddEntries.Inc()
	if last.ID == "" && len(d.oddEntries) >= maxOddEntries {
		return
	}
	d.oddEntries[key] = oddEntry{last, err.Error()}
	if err.Error() != logged {
		d.log.WithError(err).Info("decoding a worker entry failed")
	}
}

// applyWorkerRows applies changes of workers' entries, then tells the owners of the pools
// that the workers left or joined, each once. A malformed entry removes the worker that it
// replaced.
func (d *Daemon) applyWorkerRows(rows []platform.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := map[string]bool{}
	for _, r := range rows {
		odd := d.oddEntries[r.Key]
		known, ok := d.workers[r.Key]
		if !ok {
			known = odd.last
		}
		if known.ID != "" {
			changed[known.Pool] = true
		}
		delete(d.workers, r.Key)
		delete(d.oddEntries, r.Key)
		if r.Deleted {
			continue
		}
		e, err := platform.DecodeWorker(r)
		if err == nil {
			err = checkPool(e, known)
		}
		if err != nil {
			d.recordOddEntry(r.Key, known, odd.fault, err)
			continue
		}
		d.workers[r.Key] = e
		changed[e.Pool] = true
	}
	for name, o := range d.owners {
		if changed[name] {
			d.updateWorkers(o)
		}
	}
}

// updateWorkers passes its pool's workers to an owner in this process. While the owner is
// still taking in earlier ones, it is passed the latest ones afterwards. The caller holds
// d.mu.
func (d *Daemon) updateWorkers(o *pool.Owner) {
	_, updating := d.outdated[o]
	d.outdated[o] = true
	if !updating {
		go d.sendLatestWorkers(o)
	}
}

// sendLatestWorkers passes workers to an owner until it has the latest ones. One goroutine
// does so for each owner, as an owner must not get older ones after them.
func (d *Daemon) sendLatestWorkers(o *pool.Owner) {
	for {
		d.mu.Lock()
		if !d.outdated[o] {
			delete(d.outdated, o)
			d.mu.Unlock()
			return
		}
		d.outdated[o] = false
		entries := d.poolWorkers(o.Name())
		var unreadable []string
		for id, odd := range d.oddEntries {
			if odd.last.Pool == o.Name() {
				unreadable = append(unreadable, id)
			}
		}
		d.mu.Unlock()
		d.sendWorkers(o, entries)
		if len(unreadable) > 0 {
			o.SetUnreadable(unreadable)
		}
	}
}

// poolWorkers returns the workers of a pool. The caller holds d.mu.
func (d *Daemon) poolWorkers(name string) []platform.WorkerEntry {
	var entries []platform.WorkerEntry
	for _, e := range d.workers {
		if e.Pool == name {
			entries = append(entries, e)
		}
	}
	return entries
}

func (d *Daemon) readOwners(ctx context.Context) (uint64, error) {
	page, err := d.store.Read(ctx, pool.TableOwner, "", "")
	if err != nil {
		return 0, err
	}
	parts, err := d.store.Parts(ctx, pool.TableOwner)
	if err != nil {
		return 0, err
	}
	for _, name := range parts {
		rows, _, err := d.store.ReadAll(ctx, pool.TableOwner, name)
		if err != nil {
			return 0, err
		}
		for _, r := range rows {
			d.applyOwnerRow(r)
		}
	}
	d.recordStoreAnswer()
	d.mu.Lock()
	d.ownersRead = true
	d.mu.Unlock()
	return page.Version, nil
}

func (d *Daemon) applyOwnerRow(r platform.Row) {
	own, err := pool.DecodeOwnership(r)
	if err != nil {
		d.log.WithError(err).Error("decoding a pool ownership failed")
		return
	}
	d.applyOwnership(own)
}

// applyOwnership records who owns a pool, unless an ownership with the same or a higher
// token is known. It closes an owner in this process that was superseded.
func (d *Daemon) applyOwnership(own pool.Ownership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ownerships[own.Pool].Token >= own.Token {
		return
	}
	d.ownerships[own.Pool] = own
	delete(d.vacantSince, own.Pool)
	delete(d.heartbeats, own.Pool) // of the owner before
	if o := d.owners[own.Pool]; o != nil && o.Token() < own.Token {
		go o.Close()
	}
}

func (d *Daemon) readMembers(ctx context.Context) (uint64, error) {
	rows, version, err := d.store.ReadAll(ctx, tableMember, "")
	if err != nil {
		return 0, err
	}
	d.recordStoreAnswer()
	for _, r := range rows {
		d.applyMemberRow(r)
	}
	d.mu.Lock()
	d.membersRead = true
	d.mu.Unlock()
	return version, nil
}

// Errors of claims.
var (
	errCannotClaim    = errors.New("a claim is in progress, or the process is stopping")
	errWorkersUnknown = errors.New("the workers can't be read")
	errOwnerRuns      = errors.New("the owner writes, or may not know this process")
)
