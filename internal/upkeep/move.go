package upkeep

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// runMoves plans the moves that the pools need and carries them out.
func (k *Keeper) runMoves() {
	if c := k.Config(); c != nil {
		now := time.Now()
		k.PlanMoves(c.Pools, now)
		k.logSizes(now)
		k.moveLeavingHosts(now)
	}
}

// moveLeavingHosts requests that leaving hosts become empty and moves those that
// are.
func (k *Keeper) moveLeavingHosts(now time.Time) {
	leaving := k.Leaving(now)
	hosts := make([]platform.Host, len(leaving))
	for i, m := range leaving {
		hosts[i] = m.Host
	}
	vacated := k.vacateHosts(hosts)
	var ready []Move
	var names []string
	for _, m := range leaving {
		if state, known := vacated[m.Host.Name]; known && state.Left == 0 {
			m.Lifetime = state.Lifetime
			ready = append(ready, m)
			names = append(names, m.Host.Name)
		}
	}
	if !k.authorize(now, names) {
		return
	}
	var calls sync.WaitGroup
	for _, m := range ready {
		k.RemoveLeaving(m)
		calls.Go(func() { k.moveHost(m) })
	}
	calls.Wait()
}

// vacateHosts requests that hosts become empty, with one call for each pool. It returns
// the state of their workers by host, without those about which the owner of the pool has
// not answered or does not know.
func (k *Keeper) vacateHosts(hosts []platform.Host) map[string]pool.Vacated {
	vacated := map[string]pool.Vacated{}
	byPool := map[string][]platform.Host{}
	for _, h := range hosts {
		if k.view.standby[h.Pool] {
			vacated[h.Name] = pool.Vacated{}
			continue
		}
		byPool[h.Pool] = append(byPool[h.Pool], h)
	}
	var calls sync.WaitGroup
	for name, members := range byPool {
		calls.Go(func() {
			workers := make([]string, len(members))
			for i, h := range members {
				workers[i] = h.Worker
			}
			ctx, cancel := context.WithTimeout(k.ctx, k.orderTimeout())
			defer cancel()
			states, err := k.Vacate(ctx, name, workers)
			if err != nil {
				k.log.WithField("pool", name).WithError(err).Debug("the pool's owner did not vacate hosts")
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			for _, h := range members {
				if state, known := states[h.Worker]; known {
					vacated[h.Name] = state
				}
			}
		})
	}
	calls.Wait()
	return vacated
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
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, platform.ErrOutcomeUnknown):
		metricMoves.Inc()
		k.MoveOrdered(m, began)
	case errors.Is(err, platform.ErrHostUnavailable):
		k.MoveRefused(m, began)
	}
}
