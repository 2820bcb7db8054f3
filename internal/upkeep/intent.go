package upkeep

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// waveRow is the stored form of a wave's progress.
type waveRow struct {
	Begun    []string `json:"begun"`
	Complete bool     `json:"complete,omitempty"`
}

// Progress returns which hosts of a wave have begun their maintenance, as a
// holder last wrote it, and whether the wave is complete.
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

// renew makes sure that this process still holds the fleet.
// It writes which hosts were ordered lately, with those that are about to be.
func (k *Keeper) renew(now time.Time, hosts ...string) error {
	for _, h := range hosts {
		k.ordered[h] = now
	}
	intents := intentRow{}
	for h, at := range k.ordered {
		if now.Sub(at) > 2*k.part(1) {
			delete(k.ordered, h)
			continue
		}
		intents.Hosts = append(intents.Hosts, h)
	}
	slices.Sort(intents.Hosts)
	data, err := json.Marshal(intents)
	if err != nil {
		return errors.Wrap(err, "intent row")
	}
	var row waveRow
	t := platform.Transaction{
		Expect: []platform.Row{{Table: pool.TableOwner, Part: k.Own.Pool, Key: keyOwner, Version: k.Own.Version}},
		Write:  []platform.Row{{Table: tableIntent, Part: k.Own.Pool, Key: keyIntent, Value: data}},
	}
	for number, p := range k.plans {
		row = waveRow{Complete: p.done}
		for name, hp := range p.hosts {
			if hp.begun {
				row.Begun = append(row.Begun, name)
			}
		}
		data, err := json.Marshal(row)
		if err != nil {
			return errors.Wrap(err, "wave row")
		}
		t.Write = append(t.Write, platform.Row{Table: tableWave, Part: k.Own.Pool, Key: strconv.Itoa(number), Value: data})
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	_, _, err = k.Store.Commit(ctx, t)
	switch {
	case err == nil:
		k.failing = time.Time{}
	case k.failing.IsZero():
		k.failing = now
	}
	return err
}

// Beat returns the version of the row that the holder of the fleet writes about
// once a second while it reaches the store.
func Beat(ctx context.Context, store *platform.Store, name string) (uint64, error) {
	r, err := store.ReadRow(ctx, tableIntent, name, keyIntent)
	return r.Version, err
}

// intentRow is the stored form of the hosts that a holder has ordered lately or
// is about to order.
type intentRow struct {
	Hosts []string `json:"hosts"`
}

// readIntents reads which hosts the holder before may have ordered last. The
// claim of this holder keeps it from adding to them.
func (k *Keeper) readIntents() error {
	ctx, cancel := context.WithTimeout(k.ctx, callTime)
	defer cancel()
	r, err := k.Store.ReadRow(ctx, tableIntent, k.Own.Pool, keyIntent)
	if err != nil || r.Version == 0 {
		return err
	}
	var row intentRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return errors.Wrap(platform.ErrMalformed, "intent row")
	}
	for _, h := range row.Hosts {
		k.blocked[h] = true
		k.ordered[h] = k.began
	}
	return nil
}

// mayOrder reports whether a host is free for an order of this holder.
func (k *Keeper) mayOrder(host string, now time.Time) bool {
	return !k.blocked[host] || now.Sub(k.began) > k.part(1)+leaseSlack
}

// authorize makes sure that this process holds the fleet and that a later holder
// knows of the orders that follow at once.
func (k *Keeper) authorize(now time.Time, hosts []string) bool {
	if len(hosts) == 0 {
		return false
	}
	if err := k.renew(now, hosts...); err != nil {
		k.log.WithError(err).Info("orders for hosts not made")
		return false
	}
	return time.Since(now) < k.part(orderShare)
}
