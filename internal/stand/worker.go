package stand

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/link"
)

// Mode is the fault that is injected into a worker.
type Mode string

// The modes of a worker.
const (
	Well        Mode = ""
	FailAll     Mode = "fail-all"     // answers 500 without running the work
	Silent      Mode = "silent"       // runs the work and sends no answer
	DieMidBody  Mode = "die-mid-body" // closes the connection after half of the answer
	TooLong     Mode = "too-long"     // declares a longer body than it sends
	TooShort    Mode = "too-short"    // declares a shorter body than it sends
	Crossed     Mode = "crossed"      // labels the answer with the attempt of the previous request
	Decline     Mode = "decline"      // answers that it did not run the work
	CloseAtOnce Mode = "close"        // runs the work and closes the connection without an answer
)

// Record describes one request whose work a worker started.
type Record struct {
	Worker  string
	Service string
	Request string
	Attempt string
	Key     string
	Start   time.Time
	End     time.Time // zero while it runs
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	Name  string
	Addr  netip.AddrPort
	Slots int
}

// Worker is an endpoint that runs work of a given duration: a body that starts
// with "work 100ms\n" occupies a slot for 100 ms. The answer names the request
// and repeats the body.
type Worker struct {
	config   WorkerConfig
	slots    chan struct{}
	server   *http.Server
	listener net.Listener

	mu              sync.Mutex
	mode            Mode
	delay           time.Duration
	previousAttempt string // attempt of the previous request
	records         []*Record
	conns           int
	maxConns        int
	maxBusy         int
	busy            int
}

// NewWorker returns a worker that does not listen yet.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{config: config, slots: make(chan struct{}, config.Slots)}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: w.countConns}
	return w
}

// Listen starts the worker and returns its address.
func (w *Worker) Listen() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", w.config.Addr.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "worker %s", w.config.Name)
	}
	w.listener = listener
	go func() { _ = w.server.Serve(listener) }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Addr returns the address that the worker listens on.
func (w *Worker) Addr() netip.AddrPort { return w.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the worker and closes its connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
	_ = w.server.Close()
}

// Set sets the injected fault, and a delay that is added to the work time.
func (w *Worker) Set(mode Mode, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
	w.delay = delay
}

// Records returns a record of each request whose work the worker started.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := make([]Record, 0, len(w.records))
	for _, r := range w.records {
		records = append(records, *r)
	}
	return records
}

// Peaks returns the most requests, including those that wait for a slot, and the
// most connections at the same time.
func (w *Worker) Peaks() (busy, conns int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxBusy, w.maxConns
}

func (w *Worker) countConns(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		w.maxConns = max(w.maxConns, w.conns)
	case http.StateClosed, http.StateHijacked:
		w.conns--
	}
}

func (w *Worker) serve(rw http.ResponseWriter, hr *http.Request) {
	w.mu.Lock()
	mode, delay := w.mode, w.delay
	w.mu.Unlock()
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	attempt := hr.Header.Get(link.HeaderAttempt)
	if mode == FailAll || mode == Decline {
		w.refuse(rw, attempt, mode)
		return
	}
	record := w.begin(hr)
	w.work(body, delay)
	w.finish(record)
	w.answer(rw, hr, attempt, mode, body)
}

func (w *Worker) refuse(rw http.ResponseWriter, attempt string, mode Mode) {
	rw.Header().Set(link.HeaderAttempt, attempt)
	if mode == Decline {
		rw.Header().Set(link.HeaderOutcome, "not-run")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusInternalServerError)
}

func (w *Worker) begin(hr *http.Request) *Record {
	record := &Record{
		Worker:  w.config.Name,
		Service: hr.URL.Path[len("/run/"):],
		Request: hr.Header.Get(link.HeaderRequestID),
		Attempt: hr.Header.Get(link.HeaderAttempt),
		Key:     hr.Header.Get(link.HeaderKey),
		Start:   time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, record)
	return record
}

func (w *Worker) work(body []byte, delay time.Duration) {
	w.mu.Lock()
	w.busy++
	w.maxBusy = max(w.maxBusy, w.busy)
	w.mu.Unlock()
	w.slots <- struct{}{}
	time.Sleep(workTime(body) + delay)
	<-w.slots
}

func (w *Worker) finish(record *Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	record.End = time.Now()
}

// workTime returns the duration in the first line of a body, or 0 if it has none.
func workTime(body []byte) time.Duration {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	text, found := bytes.CutPrefix(line, []byte("work "))
	if !found {
		return 0
	}
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return 0
	}
	return d
}

// Answer returns the body of a worker's answer to a request.
func Answer(service, request string, body []byte) []byte {
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %s %s\n", service, request, hex.EncodeToString(sum[:]))
	return append([]byte(head), body...)
}

func (w *Worker) answer(rw http.ResponseWriter, hr *http.Request, attempt string, mode Mode, body []byte) {
	service := hr.URL.Path[len("/run/"):]
	answer := Answer(service, hr.Header.Get(link.HeaderRequestID), body)
	w.mu.Lock()
	previous := w.previousAttempt
	w.previousAttempt = attempt
	w.mu.Unlock()
	if mode == Well || mode == Crossed && previous == "" {
		writeCorrect(rw, attempt, answer)
		return
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	writeFaulty(conn, mode, attempt, previous, answer)
}

func writeCorrect(rw http.ResponseWriter, attempt string, answer []byte) {
	sum := sha256.Sum256(answer)
	rw.Header().Set(link.HeaderAttempt, attempt)
	rw.Header().Set(link.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = rw.Write(answer)
}

// silentDuration is how long a worker keeps a connection on which it sends nothing
// more.
const silentDuration = time.Minute

func writeFaulty(conn net.Conn, mode Mode, attempt, previous string, answer []byte) {
	declared, sent := len(answer), answer
	switch mode {
	case CloseAtOnce:
		return
	case Silent:
		time.Sleep(silentDuration)
		return
	case DieMidBody:
		sent = answer[:len(answer)/2]
	case TooLong:
		declared += 10
	case TooShort:
		declared -= 10
	case Crossed:
		attempt = previous
	}
	head := "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
	_, _ = fmt.Fprintf(conn, head, link.HeaderAttempt, attempt, declared)
	_, _ = conn.Write(sent)
	if mode == TooLong {
		time.Sleep(silentDuration)
	}
}
