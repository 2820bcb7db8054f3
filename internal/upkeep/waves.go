package upkeep

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform"
)

// openNewWaves loads waves that are not known yet.
func (k *Keeper) openNewWaves() {
	for _, w := range k.Waves() {
		if k.plans[w.Number] == nil {
			k.loadWave(w)
		}
	}
}

// loadWave opens a wave with the progress that an earlier holder stored. If the
// store does not answer, the next loop tries again.
func (k *Keeper) loadWave(w platform.Wave) {
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	r, err := k.Store.ReadRow(ctx, tableWave, k.Own.Pool, strconv.Itoa(w.Number))
	if err != nil {
		k.log.WithField("wave", w.Number).WithError(err).Info("can't read the progress of a wave yet")
		return
	}
	var row waveRow
	if r.Version > 0 {
		if err := json.Unmarshal(r.Value, &row); err != nil {
			k.log.WithField("wave", w.Number).WithError(err).Error("can't decode the stored progress of a wave")
		}
	}
	now := time.Now()
	k.OpenWave(w, k.waveBegan(w, row, now))
	p := k.plans[w.Number]
	k.log.WithFields(logrus.Fields{
		"wave": w.Number, "begun": len(row.Begun), "left-ms": p.openedAt.Add(w.Duration).Sub(now).Milliseconds(),
	}).Info("wave opened")
	if r.Version == 0 {
		k.writeStatus(w.Number, false)
		return
	}
	p.done = row.Complete
	for _, name := range row.Begun {
		if hp := p.hosts[name]; hp != nil {
			hp.begun = true
		}
	}
}

// waveBegan returns when a wave began: by the time until which an earlier holder had for it, or when this
// process heard of it.
func (k *Keeper) waveBegan(w platform.Wave, row waveRow, now time.Time) time.Time {
	began := now
	if !w.ReceivedAt.IsZero() {
		began = w.ReceivedAt
	}
	if row.EndMS == 0 {
		return began
	}
	_, clock := k.Store.Clock()
	stored := now.Add(jobs.Milliseconds(row.EndMS) - clock - w.Duration)
	if stored.Before(began) {
		return stored
	}
	return began
}

// runWaves carries out the actions that are due for the waves.
func (k *Keeper) runWaves() {
	for number, p := range k.plans {
		if p.done {
			continue
		}
		now := time.Now()
		actions, complete := k.PlanWave(number, now)
		if complete {
			p.done = k.writeStatus(p.wave.Number, true)
			continue
		}
		var hosts []string
		var leaving []platform.Host
		for _, a := range actions {
			if a.Maintain {
				hosts = append(hosts, a.Host.Name)
			} else {
				leaving = append(leaving, a.Host)
			}
		}
		allowed := k.authorize(now, hosts)
		var tasks sync.WaitGroup
		tasks.Go(func() { k.vacateForWave(number, leaving) })
		for _, a := range actions {
			if a.Maintain && allowed {
				tasks.Go(func() { k.maintain(p, a) })
			}
		}
		tasks.Wait()
	}
}

// vacateForWave requests that hosts of a wave become empty.
func (k *Keeper) vacateForWave(number int, hosts []platform.Host) {
	vacated := k.vacateHosts(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range hosts {
		state, known := vacated[h.Name]
		if !known {
			state.Left = -1
		}
		k.VacateRequested(number, h.Name, state.Left, state.Lifetime, time.Now())
	}
}

// maintain orders the maintenance of a host.
func (k *Keeper) maintain(p *wavePlan, a Action) {
	ctx, cancel := context.WithTimeout(k.ctx, k.orderTimeout())
	defer cancel()
	hp := p.hosts[a.Host.Name]
	now := time.Now()
	k.mu.Lock()
	k.MaintenanceOrdered(p.wave.Number, a.Host.Name, now)
	k.mu.Unlock()
	metricOrders.Inc()
	err := k.Machines.Maintain(ctx, k.holder(), a.Host.Name, p.wave.Number)
	k.log.WithFields(logrus.Fields{
		"wave": p.wave.Number, "host": a.Host.Name, "pool": a.Host.Pool, "worker": a.Host.Worker,
		"ms": time.Since(now).Milliseconds(),
	}).WithError(err).Info("maintenance ordered")
	if err == nil {
		k.retireWorker(a.Host, hp.lifetime)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.MaintenanceBegun(p.wave.Number, a.Host.Name, now)
	case errors.Is(err, platform.ErrHostUnavailable):
		k.MaintenanceRefused(p.wave.Number, a.Host.Name, now)
	case errors.Is(err, platform.ErrNotInWave):
		hp.begun = true // the host does not belong to the wave: nothing is left to do
	}
}

// writeStatus writes the status of a wave for the operator and reports whether it was
// stored. The row is in another part than that of the ownership, on which one transaction
// can't depend: the ownership is confirmed right before.
func (k *Keeper) writeStatus(number int, complete bool) bool {
	now := time.Now()
	if err := k.renew(now); err != nil || time.Since(now) > k.orderWindow() {
		return false
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	_, _, err := k.Store.Commit(ctx, platform.Transaction{Write: []platform.Row{{
		Table: platform.TableStatus, Key: platform.PrefixWave + strconv.Itoa(number), Value: platform.EncodeWaveStatus(complete),
	}}})
	k.log.WithFields(logrus.Fields{"wave": number, "complete": complete}).WithError(err).Info("wave status written")
	return err == nil
}
