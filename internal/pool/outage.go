package pool

import (
	"time"
)

// storeLost notes that the store does not answer.
func (o *Owner) storeLost(err error) {
	if o.storeDown.IsZero() {
		o.storeDown = time.Now()
		o.downSince.Store(o.storeDown.UnixMilli())
		o.log.WithError(err).Warn("store lost: jobs go on, new ones are refused")
	}
}

func (o *Owner) storeFound() {
	if !o.storeDown.IsZero() {
		o.log.WithField("ms", time.Since(o.storeDown).Milliseconds()).Info("store regained")
	}
	o.storeDown, o.asked = time.Time{}, time.Time{}
	o.downSince.Store(0)
}

// offer asks other processes to take the pool over while only this one has lost
// the store.
func (o *Owner) offer(now time.Time) {
	if o.storeDown.IsZero() || now.Sub(o.storeDown) < lostPatience || o.asking || now.Sub(o.asked) < lostAskPeriod || o.giveAway == nil {
		return
	}
	o.asking = true
	go func() {
		taken := o.giveAway(o.name)
		o.post(func() {
			o.asking = false
			o.asked = time.Now()
			if taken {
				o.depose("handed over: the store is lost here")
			}
		})
	}()
}

// storeGone reports whether the store is down and nobody else reaches it either.
func (o *Owner) storeGone() bool { return !o.storeDown.IsZero() && !o.asked.IsZero() }
