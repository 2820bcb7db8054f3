// Package logs writes structured log lines without blocking the process. Lines wait in a
// bounded queue; while it is full, further lines are dropped and counted.
//
// # Usage
//
//	logger, stop := logs.New(os.Stdout, "frontend-1", time.Now)
//	defer stop()
//	logger.WithFields(logrus.Fields{"from": from, "pool": pool}).Info("pool claimed")
//
//	tasks := logs.NewFrequent(logger.WithField("pool", pool))
//	tasks.Info("task started", logs.Text("task", name), logs.Number("attempt", 1))
//
// Every line is a JSON object with time, level, host and msg. After lines were dropped, a
// line reports how many. Lines of a [Frequent] have a queue of their own, which is written
// after the other one: the lines about single tasks, thousands a second, never push out
// those that tell how the process is.
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

	timeFormat = "15:04:05.000"
)

// writer holds two bounded queues of log lines.
type writer struct {
	queue    chan []byte
	frequent chan []byte // of [Frequent], written with what the limit leaves
	now      func() time.Time
	dropped  atomic.Int64
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
	w := &writer{queue: make(chan []byte, maxQueuedLines), frequent: make(chan []byte, maxQueuedLines), now: now}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&formatter{logrus.JSONFormatter{TimestampFormat: timeFormat}, w})
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(flushPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				w.flush(out, 2*maxQueuedLines)
				return
			case <-ticker.C:
				w.flush(out, maxLinesPerTick)
			}
		}
	}()
	return logger.WithField("host", host), func() {
		close(done)
		<-ended
	}
}

// next takes the next line to be written.
func (w *writer) next() ([]byte, bool) {
	select {
	case line := <-w.queue:
		return line, true
	default:
	}
	select {
	case line := <-w.frequent:
		return line, true
	default:
		return nil, false
	}
}

// flush writes up to limit lines in one write. A write error can't be logged, so the lines
// of a failed write are counted as dropped.
func (w *writer) flush(out io.Writer, limit int) {
	var batch []byte
	lines := int64(0)
	for lines < int64(limit) {
		line, ok := w.next()
		if !ok {
			break
		}
		batch = append(batch, line...)
		lines++
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = append(batch, `{"level":"warning","msg":"log lines left out","lines":`...)
		batch = strconv.AppendInt(batch, dropped, 10)
		batch = append(batch, `,"time":"`...)
		batch = w.now().AppendFormat(batch, timeFormat)
		batch = append(batch, "\"}\n"...)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.Add(lines)
	}
}
