package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/logs"
)

// Under load the lines about single tasks pushed out those that tell how a pool is, so that
// an incident could not be explained from the log.
func TestFrequentLinesPushOutNoOthers(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	logger, stop := logs.New(out, "h", time.Now)
	tasks := logs.NewFrequent(logger.WithField("pool", "p"))
	for range 20_000 {
		tasks.Info("task started", logs.Number("attempt", 1))
	}
	logger.Info("pool claimed")
	close(out.release)
	stop()
	lines := strings.Split(out.String(), "\n")
	if n := len(lines); n > 10_000 {
		t.Errorf("%d lines were kept, want a bounded number", n)
	}
	claimed := -1
	for i, line := range lines {
		if strings.Contains(line, "pool claimed") {
			claimed = i
		}
	}
	if claimed < 0 || claimed > 500 {
		t.Errorf("the line about the pool is number %d of %d, want one of the first", claimed, len(lines))
	}
}

// A frequent line has the fields that logrus would write.
func TestFrequentLineIsThatOfLogrus(t *testing.T) {
	write := func(tasks func(*logrus.Entry)) map[string]any {
		var out bytes.Buffer
		logger, stop := logs.New(&out, "h", func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC) })
		tasks(logger.WithFields(logrus.Fields{"pool": "p \"q\"", "token": uint64(7)}))
		stop()
		line := map[string]any{}
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatalf("%q: %v", out.String(), err)
		}
		return line
	}
	frequent := write(func(e *logrus.Entry) {
		logs.NewFrequent(e).Info("task ended", logs.Text("task", "a\n\xffb"), logs.Number("attempt", -3), logs.Flag("held", true), logs.Flag("cut", false))
	})
	usual := write(func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"task": "a\n\xffb", "attempt": -3, "held": true, "cut": false}).Info("task ended")
	})
	if frequent["time"] != "03:04:05.006" {
		t.Errorf("time %v, want 03:04:05.006", frequent["time"])
	}
	delete(frequent, "time")
	delete(usual, "time") // logrus takes the time itself
	for name, want := range usual {
		if frequent[name] != want {
			t.Errorf("%s is %v, want %v", name, frequent[name], want)
		}
	}
	if len(frequent) != len(usual) {
		t.Errorf("%d fields, want %d: %v", len(frequent), len(usual), frequent)
	}
}

// A logger that the package did not make gets the lines as well.
func TestFrequentLinesOfAnotherLogger(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logs.NewFrequent(logger.WithField("pool", "p")).Info("task started", logs.Text("task", "a"), logs.Number("attempt", 2), logs.Flag("held", true))
	for _, want := range []string{"task started", "pool=p", "task=a", "attempt=2", "held=true"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q lacks %q", out.String(), want)
		}
	}
}

func BenchmarkLine(b *testing.B) {
	b.Run("logrus", func(b *testing.B) {
		logger, stop := logs.New(&bytes.Buffer{}, "h", time.Now)
		defer stop()
		e := logger.WithFields(logrus.Fields{"pool": "p", "token": 1})
		for b.Loop() {
			e.WithFields(logrus.Fields{"task": "5c0e7a21d94b36f8.0.1.17", "attempt": 1, "worker": "i-ab3bcde6@1774685056169"}).Info("task started")
		}
	})
	b.Run("frequent", func(b *testing.B) {
		logger, stop := logs.New(&bytes.Buffer{}, "h", time.Now)
		defer stop()
		f := logs.NewFrequent(logger.WithFields(logrus.Fields{"pool": "p", "token": 1}))
		for b.Loop() {
			f.Info("task started", logs.Text("task", "5c0e7a21d94b36f8.0.1.17"), logs.Number("attempt", 1), logs.Text("worker", "i-ab3bcde6@1774685056169"))
		}
	})
}
