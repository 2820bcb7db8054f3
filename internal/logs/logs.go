// Package logs writes structured log lines to standard output without ever
// blocking the process: lines wait in a bounded queue, and lines that find it
// full are counted and left out.
//
// # Usage
//
//	logger, stop := logs.New(os.Stdout, "frontend-1", time.Now)
//	defer stop()
//	logger.WithFields(logrus.Fields{"job": id, "pool": pool}).Info("job accepted")
//
// Every line is one JSON object with time, level, host and msg. After lines were
// left out, one line says how many.
package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	queueLines   = 4096                   // lines that may wait, about 1 MB
	linesPerTick = 400                    // most lines written in a tick: 2,000 a second
	tick         = 200 * time.Millisecond // time between writes
)

// writer is the bounded queue before an output.
type writer struct {
	queue   chan []byte
	dropped atomic.Int64
}

// Write queues a line, or counts it if the queue is full.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// New returns a logger and a function that writes what is queued and ends it.
func New(out io.Writer, host string, now func() time.Time) (*logrus.Entry, func()) {
	w := &writer{queue: make(chan []byte, queueLines)}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				w.flush(out, now, queueLines)
				return
			case <-ticker.C:
				w.flush(out, now, linesPerTick)
			}
		}
	}()
	return logger.WithField("host", host), func() {
		close(done)
		<-ended
	}
}

// flush writes up to limit lines in one write. A failing output has nowhere to
// be reported to: its lines are counted as left out.
func (w *writer) flush(out io.Writer, now func() time.Time, limit int) {
	var batch []byte
	lines := int64(0)
	for range limit {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = append(batch, `{"level":"warning","msg":"log lines left out","lines":`...)
		batch = strconv.AppendInt(batch, dropped, 10)
		batch = append(batch, `,"time":"`...)
		batch = now().AppendFormat(batch, "15:04:05.000")
		batch = append(batch, "\"}\n"...)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.Add(lines)
	}
}
