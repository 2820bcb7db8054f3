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
