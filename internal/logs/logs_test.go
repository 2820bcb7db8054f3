package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/logs"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(data []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(data)
}

// An output that blocks neither blocks the process nor costs it more than a
// bounded queue; what was left out is counted.
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
		t.Error("what was left out is not told")
	}
	if n := strings.Count(text, "\n"); n > 10_000 {
		t.Errorf("%d lines were kept, want a bounded number", n)
	}
}
