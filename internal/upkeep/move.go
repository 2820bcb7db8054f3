package upkeep

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/platform"
)

// runMoves plans the moves that the pools need and carries them out.
func (k *Keeper) runMoves() {
	if c := k.Config(); c != nil {
		now := time.Now()
		k.PlanMoves(c.Pools, now)
		k.moveLeavingHosts(now)
	}
}

// moveLeavingHosts requests that leaving hosts become empty and moves those that
// are.
func (k *Keeper) moveLeavingHosts(now time.Time) {
	var calls sync.WaitGroup
	var ready []Move
	var names []string
	for _, m := range k.Leaving(now) {
		calls.Go(func() {
			empty, lifetime := k.vacateHost(m.Host)
			if !empty {
				return
			}
			m.Lifetime = lifetime
			k.mu.Lock()
			defer k.mu.Unlock()
			ready = append(ready, m)
			names = append(names, m.Host.Name)
		})
	}
	calls.Wait()
	if !k.authorize(now, names) {
		return
	}
	for _, m := range ready {
		k.RemoveLeaving(m)
		calls.Go(func() { k.moveHost(m) })
	}
	calls.Wait()
}

// vacateHost requests that a host become empty. It reports whether nothing runs
// there, and returns the lifetime of its worker.
func (k *Keeper) vacateHost(h platform.Host) (bool, string) {
	if k.view.standby[h.Pool] {
		return true, ""
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTimeout())
	defer cancel()
	left, lifetime, err := k.Vacate(ctx, h.Pool, h.Worker)
	return err == nil && left == 0, lifetime
}

// retireWorker notifies a pool that the worker of a host has ended by an order, so
// that the pool need not wait for the worker's timeout.
func (k *Keeper) retireWorker(h platform.Host, lifetime string) {
	if lifetime == "" {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTimeout())
	defer cancel()
	k.Retire(ctx, h.Pool, lifetime)
}

// moveHost moves an empty host to another pool.
func (k *Keeper) moveHost(m Move) {
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTimeout())
	defer cancel()
	began := time.Now()
	err := k.Machines.Move(ctx, k.holder(), m.Host.Name, m.Pool)
	k.log.WithFields(logrus.Fields{
		"host": m.Host.Name, "from": m.Host.Pool, "to": m.Pool, "worker": m.Host.Worker,
		"ms": time.Since(began).Milliseconds(),
	}).WithError(err).Info("move ordered")
	if err == nil {
		k.retireWorker(m.Host, m.Lifetime)
	}
	if err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		metricMoves.Inc()
		k.mu.Lock()
		k.MoveOrdered(m, began)
		k.mu.Unlock()
	}
}
