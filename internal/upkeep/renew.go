package upkeep

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// waveRow is the stored form of a wave's progress.
type waveRow struct {
	Begun    []string `json:"begun"`
	Complete bool     `json:"complete,omitempty"`
	EndMS    int64    `json:"end-ms,omitempty"` // by when the wave is to be complete, on the store's clock; 0 from a version without this field
}

// Progress returns the hosts of a wave whose maintenance has begun, as last stored
// by a holder, and whether the wave is complete.
func Progress(ctx context.Context, store *platform.Store, fleet string, wave int) ([]string, bool, error) {
	r, err := store.ReadRow(ctx, tableWave, fleet, strconv.Itoa(wave))
	if err != nil || r.Version == 0 {
		return nil, false, err
	}
	var row waveRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return nil, false, errors.Wrapf(platform.ErrMalformed, "wave %d: %v", wave, err)
	}
	slices.Sort(row.Begun)
	return row.Begun, row.Complete, nil
}

// renew confirms that this process still holds the fleet. It stores the progress of
// the waves and which hosts were ordered recently or are about to be, each with the
// time by which its order has been sent.
func (k *Keeper) renew(now time.Time, hosts ...string) error {
	by := now.Add(k.orderWindow())
	for _, h := range hosts {
		k.orderSentBy[h] = by
	}
	intents := intentRow{By: map[string]int64{}}
	earliest, clock := k.Store.Clock()
	for h, by := range k.orderSentBy {
		if now.After(by.Add(k.orderSeparation())) {
			delete(k.orderSentBy, h)
			continue
		}
		intents.By[h] = (clock + by.Sub(now)).Milliseconds()
	}
	data, err := json.Marshal(intents)
	if err != nil {
		return errors.Wrap(err, "intent row")
	}
	t := platform.Transaction{
		Write: []platform.Row{{Table: tableIntent, Part: k.Own.Pool, Key: keyIntent, Value: data}},
	}
	due := k.plansToStore()
	for _, p := range due {
		end := earliest + p.openedAt.Add(p.wave.Duration).Sub(now)
		row := waveRow{Complete: p.done, EndMS: max(1, end.Milliseconds())}
		for name, hp := range p.hosts {
			if hp.begun {
				row.Begun = append(row.Begun, name)
			}
		}
		data, err := json.Marshal(row)
		if err != nil {
			return errors.Wrap(err, "wave row")
		}
		t.Write = append(t.Write, platform.Row{Table: tableWave, Part: k.Own.Pool, Key: strconv.Itoa(p.wave.Number), Value: data})
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	err = k.commitRenewal(ctx, t)
	switch {
	case err == nil:
		k.failingSince = time.Time{}
		k.renewDuration = time.Since(now)
		for _, p := range due {
			p.storedAt, p.settled = now, p.done
		}
	case k.failingSince.IsZero():
		k.failingSince = now
	}
	return err
}

// commitRenewal commits a renewal. Each one expects the version of the intent row that the one
// before it wrote, so that a renewal that was not answered can't take effect after a later one,
// and undo it.
func (k *Keeper) commitRenewal(ctx context.Context, t platform.Transaction) error {
	for {
		t.Expect = []platform.Row{
			{Table: pool.TableOwner, Part: k.Own.Pool, Key: keyOwner, Version: k.Own.Version},
			{Table: tableIntent, Part: k.Own.Pool, Key: keyIntent, Version: k.intentVersion},
		}
		version, rows, err := k.Store.Commit(ctx, t)
		if err == nil {
			k.intentVersion = version
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		seen := k.intentVersion
		for _, r := range rows {
			switch {
			case r.Table == pool.TableOwner && r.Version != k.Own.Version:
				return err
			case r.Table == tableIntent:
				k.intentVersion = r.Version
			}
		}
		if k.intentVersion == seen {
			return err
		}
	}
}

// maxStoredWaves is how many waves a renewal stores; a transaction takes 100 entries.
const maxStoredWaves = 90

// plansToStore returns the waves of which the next renewal stores the progress: those that are
// not stored as done, and of more than a transaction takes those that were stored longest ago.
func (k *Keeper) plansToStore() []*wavePlan {
	var due []*wavePlan
	for _, p := range k.plans {
		if !p.settled {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(x, y *wavePlan) int {
		return cmp.Or(x.storedAt.Compare(y.storedAt), cmp.Compare(x.wave.Number, y.wave.Number))
	})
	return due[:min(maxStoredWaves, len(due))]
}

// HeartbeatVersion returns the version of a row that the holder of the fleet writes about once
// a second while it reaches the store. A version that stays the same means that the
// holder is gone or cut off from the store.
func HeartbeatVersion(ctx context.Context, store *platform.Store, name string) (uint64, error) {
	r, err := store.ReadRow(ctx, tableIntent, name, keyIntent)
	return r.Version, err
}

// intentRow is the stored form of the hosts that a holder has ordered recently or
// is about to order: the time by which each order has been sent, in milliseconds on
// the store's clock.
type intentRow struct {
	By map[string]int64 `json:"by"`
}

// readIntents reads the hosts that the previous holder may have ordered last, and
// blocks orders for them. The previous holder can't add any, as its transactions
// fail since this holder's claim.
func (k *Keeper) readIntents() error {
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	r, err := k.Store.ReadRow(ctx, tableIntent, k.Own.Pool, keyIntent)
	if err != nil || r.Version == 0 {
		return err
	}
	k.intentVersion = r.Version
	var row intentRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return errors.Wrap(platform.ErrMalformed, "intent row")
	}
	now := time.Now()
	clock, _ := k.Store.Clock()
	for h, by := range row.By {
		sent := now.Add(min(jobs.Milliseconds(by)-clock, k.leaseShare(orderLeaseShare))) // the latest that an order may be sent
		k.orderSentBy[h] = sent
		k.blockedUntil[h] = sent.Add(k.orderSeparation())
		k.view.foreign[h] = sent.Add(k.orderTimeout())
	}
	return nil
}

// orderSeparation is the minimum time between orders of two holders for the same
// host.
func (k *Keeper) orderSeparation() time.Duration { return k.leaseShare(1) + leaseSlack }

// orderWindow is how long after it was recorded an order may be sent. It depends on
// how fast the store is, so that the next holder need not wait for long.
func (k *Keeper) orderWindow() time.Duration {
	return min(k.leaseShare(orderLeaseShare), max(minOrderWindow, orderWindowFactor*k.renewDuration))
}

// authorize confirms that this process holds the fleet and records the orders that
// follow for the next holder. The orders must be sent right after.
func (k *Keeper) authorize(now time.Time, hosts []string) bool {
	if len(hosts) == 0 {
		return false
	}
	window, succeeding := k.orderWindow(), k.failingSince.IsZero()
	if err := k.renew(now, hosts...); err != nil {
		if succeeding { // log once per outage, not for each order
			k.log.WithError(err).WithField("hosts", len(hosts)).Info("orders for hosts not sent")
		}
		return false
	}
	k.sendBy = now.Add(window)
	return time.Now().Before(k.sendBy)
}
