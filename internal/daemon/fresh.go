package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/papayarudder/papayarudder/platform"
)

const (
	maxStandstill      = 500 * time.Millisecond // for which a process may stand still and take its configuration for the newest
	refreshPeriod      = 500 * time.Millisecond // between reads of the configuration that callers ask for
	failedRefreshDelay = 2 * time.Second        // after one that failed, as the store may be away
	refreshTimeout     = 300 * time.Millisecond // for which callers wait for the store
	maxFeedAge         = 2 * (feedWait + feedAnswerMargin)
)

// freshness records as of when this process is known to have the newest configuration.
type freshness struct {
	mu          sync.Mutex
	asOf        time.Time // when the latest request was sent whose answer had all changes of the configuration
	runningAt   time.Time // when this process was last seen to run, zero before
	runningWall time.Time // the same by the wall clock, which goes on while a host is suspended
	pausedAt    time.Time // when this process was last found to have stood still
	nextRead    time.Time // when the configuration may be read for callers next

	reads singleflight.Group
}

// confirm records that the answer to a request sent at a time had all changes, which are in
// force.
func (f *freshness) confirm(sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sentAt.After(f.asOf) {
		f.asOf = sentAt
	}
}

// noteRunning records that this process runs, and reports whether it has stood still since it last
// knew the newest configuration.
func (f *freshness) noteRunning(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wall := now.Round(0)
	// A wall clock that was set forward looks like a pause, and costs one read.
	if !f.runningAt.IsZero() && max(now.Sub(f.runningAt), wall.Sub(f.runningWall)) > maxStandstill {
		f.pausedAt = now
	}
	f.runningAt, f.runningWall = now, wall
	return f.pausedAt.After(f.asOf)
}

// age returns how long ago this process is known to have had the newest configuration.
func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.asOf)
}

// beginRead reports whether a read is due, and then records that it begins.
func (f *freshness) beginRead(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.nextRead) {
		return false
	}
	f.nextRead = now.Add(refreshPeriod)
	return true
}

// readFailed records that a read failed.
func (f *freshness) readFailed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextRead = now.Add(failedRefreshDelay)
}

// configMayBeStale reports whether this process knows of a newer configuration, or has not
// heard from the store for longer than it holds a feed.
func (d *Daemon) configMayBeStale(now time.Time) bool {
	d.mu.Lock()
	behind := !d.configFetch.behindSince.IsZero()
	d.mu.Unlock()
	return behind || d.fresh.age(now) > maxFeedAge
}

// refreshConfig reads the configuration from the store, unless that was done shortly before, and
// returns the one in force. Callers that wait share a read.
func (d *Daemon) refreshConfig(ctx context.Context) *configuration {
	done := d.fresh.reads.DoChan("", func() (any, error) {
		began := time.Now()
		if !d.fresh.beginRead(began) {
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		defer cancel()
		row, err := d.store.ReadRow(ctx, platform.TableOperator, "", platform.KeyConfig)
		if err != nil {
			d.fresh.readFailed(time.Now())
			return nil, errors.Wrap(err, "read the configuration for a caller")
		}
		if row.Version > 0 {
			d.applyConfig(row.Value, "store, for a caller")
		}
		d.fresh.confirm(began)
		return nil, nil
	})
	select {
	case result := <-done:
		if result.Err != nil {
			d.log.WithError(result.Err).Debug("the configuration may not be the newest")
		}
	case <-ctx.Done():
	}
	return d.config.Load()
}
