package pool

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/place"
)

// waitKind is a kind of steps whose waits are reported together.
type waitKind struct{ large, wide bool }

// waitKinds are all kinds.
var waitKinds = []waitKind{{false, false}, {false, true}, {true, false}, {true, true}}

func (k waitKind) String() string { return k.size() + "-" + k.width() }

func (k waitKind) size() string {
	if k.large {
		return "large"
	}
	return "small"
}

func (k waitKind) width() string {
	if k.wide {
		return "wide"
	}
	return "narrow"
}

// maxLoggedWaits limits the waits of a kind in one line.
const maxLoggedWaits = 200

// stepWaits collects the waits of steps between two log lines, in ms.
type stepWaits struct{ first, last map[waitKind][]int64 }

func newStepWaits() stepWaits {
	return stepWaits{first: map[waitKind][]int64{}, last: map[waitKind][]int64{}}
}

func (s *stepWaits) add(w place.Wait) {
	k := waitKind{w.Large, w.Wide}
	histogram := func(which string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf(`papayarudder_step_wait_seconds{size=%q,width=%q,start=%q}`, k.size(), k.width(), which))
	}
	histogram("first").Update(w.First.Seconds())
	histogram("last").Update(w.Last.Seconds())
	if len(s.first[k]) < maxLoggedWaits {
		s.first[k], s.last[k] = append(s.first[k], w.First.Milliseconds()), append(s.last[k], w.Last.Milliseconds())
	}
}

// take returns the log fields of the waits since the last call, nil if there were none.
func (s *stepWaits) take() logrus.Fields {
	var fields logrus.Fields
	for _, k := range waitKinds {
		if len(s.first[k]) == 0 {
			continue
		}
		if fields == nil {
			fields = logrus.Fields{}
		}
		fields[k.String()+"-first-ms"], fields[k.String()+"-last-ms"] = s.first[k], s.last[k]
	}
	*s = newStepWaits()
	return fields
}

var (
	metricReservationsMade = metrics.NewCounter("papayarudder_reservations_made_total")
	metricReservationsUsed = metrics.NewCounter("papayarudder_reservations_used_total")
	metricBackfills        = metrics.NewCounter("papayarudder_backfills_total")
	metricKeptFree         = metrics.NewFloatCounter("papayarudder_reserved_core_seconds_total")
)

// reservationFields counts what became of reservations and returns it as log fields, nil if there
// were none.
func reservationFields(r place.Reservations) logrus.Fields {
	if r.Made+r.Used+r.Backfilled+len(r.GivenUp) == 0 && r.Kept == 0 {
		return nil
	}
	metricReservationsMade.Add(r.Made)
	metricReservationsUsed.Add(r.Used)
	metricBackfills.Add(r.Backfilled)
	metricKeptFree.Add(r.Kept.Seconds())
	fields := logrus.Fields{"made": r.Made, "used": r.Used, "backfilled": r.Backfilled, "kept-free-core-ms": r.Kept.Milliseconds()}
	for cause, n := range r.GivenUp {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayarudder_reservations_given_up_total{cause=%q}`, cause)).Add(n)
		fields["given-up-"+string(cause)] = n
	}
	return fields
}
