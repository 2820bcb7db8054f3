package daemon

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	speedPeriod    = 100 * time.Millisecond // between measurements
	speedSamples   = 5                      // measurements that count: some are interrupted, not all of half a second
	speedRounds    = 8_000                  // of the computation, some 20 us
	minSpeedSample = time.Microsecond       // a clock that shows less does not measure processor time
	minSpeedChange = 0.6                    // a host that has this share of its speed or more counts as unchanged
)

// speedometer measures how fast a host is now, as a share of the fastest that it has been, by
// the time that a fixed computation takes. The platform states how much processor time a host
// gets; a host that has become slow still gets it, and does less with it.
type speedometer struct {
	measuredAt time.Time
	samples    [speedSamples]time.Duration
	count      int
	fastest    time.Duration // shortest median of the samples so far
}

// due reports whether to measure now, and records that it is done.
func (s *speedometer) due(now time.Time) bool {
	if now.Sub(s.measuredAt) < speedPeriod {
		return false
	}
	s.measuredAt = now
	return true
}

// record takes in the time of a computation.
func (s *speedometer) record(took time.Duration) {
	s.samples[s.count%speedSamples] = took
	s.count++
	if s.count < speedSamples {
		return
	}
	sorted := s.samples
	slices.Sort(sorted[:])
	if median := sorted[speedSamples/2]; s.fastest == 0 || median < s.fastest {
		s.fastest = median
	}
}

// share returns the speed as a share of the highest one, 1 if it is not known.
func (s *speedometer) share() float64 {
	if s.count < speedSamples || s.fastest < minSpeedSample {
		return 1
	}
	best := slices.Min(s.samples[:])
	if share := float64(s.fastest) / float64(max(best, 1)); share < minSpeedChange {
		return share
	}
	return 1
}

// computed keeps the compiler from leaving the computation out.
var computed atomic.Uint64

// timeComputation returns how long a fixed computation takes.
func timeComputation() time.Duration {
	began := time.Now()
	x := uint64(88172645463325252)
	for range speedRounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	computed.Store(x)
	return time.Since(began)
}

// measureSpeed measures the speed of the host if that is due.
func (d *Daemon) measureSpeed(now time.Time) {
	d.mu.Lock()
	due := d.speed.due(now)
	d.mu.Unlock()
	if !due {
		return
	}
	took := timeComputation()
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.speed.share()
	d.speed.record(took)
	if share := d.speed.share(); share != before && (share == 1 || before == 1) {
		d.log.WithField("share", share).Info("the speed of the host has changed")
	}
}

// processor returns the processor time that this host gets in a second, in cores of the
// speed that they have had. The caller holds d.mu.
func (d *Daemon) processor() float64 { return d.settings.Limits.Processor * d.speed.share() }
