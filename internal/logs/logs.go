// Package logs writes structured log lines without blocking the process. Lines wait in a
// bounded queue; while it is full, further lines are dropped and counted.
//
// # Usage
//
//	logger, stop := logs.New(os.Stdout, "frontend-1", time.Now)
//	defer stop()
//	logger.WithFields(logrus.Fields{"job": id, "pool": pool}).Info("job accepted")
//
// Every line is a JSON object with time, level, host and msg. After lines were dropped, a
// line reports how many.
package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxQueuedLines  = 4096                   // about 1 MB
	maxLinesPerTick = 400                    // 2,000 a second
	flushPeriod     = 200 * time.Millisecond // between writes to the output
)

// writer is a bounded queue of log lines.
type writer struct {
	queue   chan []byte
	dropped atomic.Int64
}

// Write queues a line, or drops and counts it if the queue is full. It never fails. An
// empty line is one that the formatter has dropped.
func (w *writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// formatter formats lines as JSON. While the queue is full it drops and counts them
// instead: under load a process has better use for the time.
type formatter struct {
	json logrus.JSONFormatter
	w    *writer
}

// Format implements [logrus.Formatter].
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if len(f.w.queue) == cap(f.w.queue) {
		f.w.dropped.Add(1)
		return nil, nil
	}
	return f.json.Format(e)
}

// New returns a logger that adds host to every line, and a function that writes the
// queued lines and stops the logger.
func New(out io.Writer, host string, now func() time.Time) (*logrus.Entry, func()) {
	w := &writer{queue: make(chan []byte, maxQueuedLines)}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&formatter{logrus.JSONFormatter{TimestampFormat: "15:04:05.000"}, w})
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(flushPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				w.flush(out, now, maxQueuedLines)
				return
			case <-ticker.C:
				w.flush(out, now, maxLinesPerTick)
			}
		}
	}()
	return logger.WithField("host", host), func() {
		close(done)
		<-ended
	}
}

// flush writes up to limit lines in one write. A write error can't be logged, so the lines
// of a failed write are counted as dropped.
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
