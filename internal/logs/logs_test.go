package logs_test

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/logs"
)

// blocked is an output whose writes block until release is closed.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(data []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(data)
}

// A blocked output does not block the process and keeps no more than a bounded queue of
// lines. The number of dropped lines is logged.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	logger, stop := logs.New(out, "h", time.Now)
	began := time.Now()
	for range 20_000 {
		logger.Info("line")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("20,000 lines took %v", took)
	}
	close(out.release)
	stop()
	text := out.String()
	if !strings.Contains(text, "log lines left out") {
		t.Error("the number of dropped lines is not logged")
	}
	if n := strings.Count(text, "\n"); n > 10_000 {
		t.Errorf("%d lines were kept, want a bounded number", n)
	}
}

// formatted counts how often a value of it is formatted.
type formatted struct{ times *atomic.Int64 }

// MarshalJSON implements json.Marshaler.
func (f formatted) MarshalJSON() ([]byte, error) {
	f.times.Add(1)
	return []byte("0"), nil
}

// Lines that are dropped cost no formatting: an owner in a turn spent its processor time on
// lines of which nine in ten were never written.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	logger, stop := logs.New(out, "h", time.Now)
	var times atomic.Int64
	for range 20_000 {
		logger.WithField("value", formatted{&times}).Info("line")
	}
	if times.Load() > 10_000 {
		t.Errorf("%d of 20,000 lines were formatted, want a bounded number", times.Load())
	}
	close(out.release)
	stop()
}
