package pool

import (
	"time"
)

// storeLost records that the store does not answer.
func (o *Owner) storeLost(err error) {
	if o.storeDownSince.IsZero() {
		o.storeDownSince = time.Now()
		o.storeDownSinceMs.Store(o.storeDownSince.UnixMilli())
		o.log.WithError(err).Warn("store lost: running jobs continue, new ones are refused")
	}
}

// storeRegained records that the store answers again.
func (o *Owner) storeRegained() {
	if !o.storeDownSince.IsZero() {
		o.log.WithField("ms", time.Since(o.storeDownSince).Milliseconds()).Info("store regained")
	}
	o.storeDownSince, o.offerFailedAt = time.Time{}, time.Time{}
	o.storeDownSinceMs.Store(0)
}

// StoreLost reports whether the store does not answer this owner.
func (o *Owner) StoreLost() bool { return o.storeDownSinceMs.Load() != 0 }

// offerHandover asks other processes to take the pool over while this process can't
// reach the store, in case they can.
func (o *Owner) offerHandover(now time.Time) {
	if o.storeDownSince.IsZero() || now.Sub(o.storeDownSince) < handoverDelay || o.offering || now.Sub(o.offerFailedAt) < handoverPeriod || o.handOver == nil {
		return
	}
	o.offering = true
	go func() {
		taken := o.handOver(o.name)
		o.post(func() {
			o.offering = false
			o.offerFailedAt = time.Now()
			if taken {
				o.depose("handed over: the store is lost here")
			}
		})
	}()
}

// storeUnreachable reports whether the store is down and no other process reaches
// it either.
func (o *Owner) storeUnreachable() bool {
	return !o.storeDownSince.IsZero() && !o.offerFailedAt.IsZero()
}
