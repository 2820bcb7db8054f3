package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarudder/papayarudder/pkg/caller"
)

// entryMetrics counts replies to callers and measures their duration.
type entryMetrics struct {
	answered *metrics.Counter
	retries  *metrics.Counter
	duration *metrics.Histogram
}

func newEntryMetrics() *entryMetrics {
	return &entryMetrics{
		answered: metrics.GetOrCreateCounter(`papayarudder_requests_total{outcome="answered"}`),
		retries:  metrics.GetOrCreateCounter(`papayarudder_request_retries_total`),
		duration: metrics.GetOrCreateHistogram(`papayarudder_request_duration_seconds`),
	}
}

func (m *entryMetrics) observe(result reply, took time.Duration) {
	m.duration.Update(took.Seconds())
	if result.answer != nil {
		m.answered.Inc()
	}
}

func (m *entryMetrics) refusal(r *caller.Refusal) {
	name := fmt.Sprintf(`papayarudder_requests_total{outcome=%q,reason=%q}`, r.Outcome, r.Reason)
	metrics.GetOrCreateCounter(name).Inc()
}
