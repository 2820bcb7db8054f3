package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// handOverAll hands all pools of this process over to other processes.
func (d *Daemon) handOverAll() {
	d.stopping.Store(true)
	d.mu.Lock()
	owners := make([]*pool.Owner, 0, len(d.owners))
	for _, o := range d.owners {
		owners = append(owners, o)
	}
	keeper := d.keeper
	d.mu.Unlock()
	var wg sync.WaitGroup
	if keeper != nil {
		wg.Go(func() {
			keeper.Stop()
			d.handOverPool(fleetName)
		})
	}
	for _, o := range owners {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
			defer cancel()
			o.Flush(ctx)
			d.handOverPool(o.Name())
			o.Close()
		})
	}
	wg.Wait()
}

// handOverPool asks the best-ranked candidates in turn to take over a pool and reports
// whether one did.
func (d *Daemon) handOverPool(name string) bool {
	now := time.Now()
	d.mu.Lock()
	own, o := d.ownerships[name], d.owners[name]
	storeLost := o != nil && o.StoreLost()
	if own.Owner != d.self {
		d.mu.Unlock()
		return false // it has another owner already
	}
	var candidates []candidate
	peers := map[string]*peer{}
	for _, p := range d.peers {
		if !p.alive(now) || !p.ready || storeLost && !d.voucher(p.node).reachesStore(now) {
			continue // an offer withdraws a promise, and a claim that gets no answer may take effect late
		}
		c := candidate{node: p.node, processor: p.processor}
		for _, other := range d.ownerships {
			if other.Owner.Node == p.node {
				c.owned++
			}
		}
		candidates = append(candidates, c)
		peers[p.node] = p
	}
	rank := rankCandidates(name, candidates)
	slices.SortStableFunc(rank, func(x, y int) int { // those that declined lately come last, the earliest first
		return d.declinedAt(candidates[x].node, now).Compare(d.declinedAt(candidates[y].node, now))
	})
	d.mu.Unlock()
	for tries, i := range rank {
		if tries == maxHandoverTries || time.Since(now) > handoverTimeout {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		taken, _ := d.offer(ctx, peers[candidates[i].node], TakeArgs{Pool: name, Token: own.Token})
		cancel()
		if taken {
			d.log.WithFields(logrus.Fields{"pool": name, "to": candidates[i].node}).Info("pool handed over")
			return true
		}
		d.recordDecline(candidates[i].node, time.Now())
	}
	d.log.WithField("pool", name).Warn("handover failed: no process took the pool over")
	return false
}

// recordDecline records that a process failed to take over a pool.
func (d *Daemon) recordDecline(node string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.declined, func(_ string, at time.Time) bool { return now.Sub(at) >= declineMemory })
	d.declined[node] = now
}

// declinedAt returns when a process last failed to take over a pool, zero if that was
// longer ago than declineMemory. The caller holds d.mu.
func (d *Daemon) declinedAt(node string, now time.Time) time.Time {
	if at := d.declined[node]; now.Sub(at) < declineMemory {
		return at
	}
	return time.Time{}
}

// declineMemory is for how long a process that failed to take over a pool is asked after the
// others.
const declineMemory = 10 * time.Second

// maxHandoverTries is how many processes are asked in turn to take over a pool. The store
// may turn away some processes, among them those that rank first, and serve the others.
const maxHandoverTries = 8
