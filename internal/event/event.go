// Package event implements the time line: a log of typed events, one for each
// decision of a process.
//
// # Usage
//
// A [Log] keeps the newest events in a ring buffer and can also write them to a
// recording:
//
//	log := event.NewLog("entry-1", 4096, time.Now)
//	log.Add(event.HostDrain, "nissa-03", 7, "ticket 12")
//	recent := log.Since(0)
//
// [Merge] orders the events of several processes by time. The operators'
// interface, recordings and replays use the same JSON lines format.
package event

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	ProcessStart    Kind = "process-start"
	ProcessReady    Kind = "process-ready"
	ProcessStop     Kind = "process-stop"
	MemberJoin      Kind = "member-join"
	MemberLeave     Kind = "member-leave"
	MemberLapse     Kind = "member-lapse"
	LeaseLost       Kind = "lease-lost"
	LeaseRegained   Kind = "lease-regained"
	StoreDown       Kind = "store-down"
	StoreUp         Kind = "store-up"
	TicketDecided   Kind = "ticket-decided"
	ConfigInForce   Kind = "config-in-force"
	HostDrain       Kind = "host-drain"
	HostMove        Kind = "host-move"
	HostServe       Kind = "host-serve"
	HostLeaving     Kind = "host-leaving"
	HostEject       Kind = "host-eject"
	HostReadmit     Kind = "host-readmit"
	DispatchStart   Kind = "dispatch-start"
	DispatchRecover Kind = "dispatch-recover"
	DispatchStep    Kind = "dispatch-step"
	DispatchStop    Kind = "dispatch-stop"
	PlacementStart  Kind = "placement-start"
	PlacementStep   Kind = "placement-step"
	RequestRefused  Kind = "request-refused"
	RequestUnknown  Kind = "request-unknown"
	RequestRetry    Kind = "request-retry"
	AnswerDiscarded Kind = "answer-discarded"
	KeysTaken       Kind = "keys-taken"
)

// Event is one decision about an object. Epoch is the version, epoch or number that
// the decision applies to, or 0.
type Event struct {
	At      time.Time
	Process string
	Seq     uint64
	Kind    Kind
	Object  string
	Epoch   uint64
	Cause   string
}

// eventWire is the JSON form of an [Event].
type eventWire struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Seq     uint64    `json:"seq"`
	Kind    string    `json:"kind"`
	Object  string    `json:"object,omitempty"`
	Epoch   uint64    `json:"epoch,omitempty"`
	Cause   string    `json:"cause,omitempty"`
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		wire := eventWire{e.At, e.Process, e.Seq, string(e.Kind), e.Object, e.Epoch, e.Cause}
		if err := encoder.Encode(wire); err != nil {
			return errors.Wrap(err, "write events")
		}
	}
	return nil
}

const maxLineBytes = 16 << 20 // of one event

// Read reads events as JSON lines until the end of r.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var w eventWire
		if err := json.Unmarshal(lines.Bytes(), &w); err != nil {
			return nil, errors.Wrapf(err, "event line %d", len(events)+1)
		}
		events = append(events, Event{w.At, w.Process, w.Seq, Kind(w.Kind), w.Object, w.Epoch, w.Cause})
	}
	return events, errors.Wrap(lines.Err(), "read events")
}

// Merge returns the events of several processes as one time line, ordered by time,
// process and sequence number.
func Merge(timelines ...[]Event) []Event {
	all := slices.Concat(timelines...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if order := a.At.Compare(b.At); order != 0 {
			return order
		}
		if order := cmp.Compare(a.Process, b.Process); order != 0 {
			return order
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
	return all
}

// Log keeps the newest events of one process. It is safe for concurrent use.
type Log struct {
	process string
	now     func() time.Time

	mu        sync.Mutex
	seq       uint64 // of the newest event
	ring      []Event
	recording io.Writer // or nil
}

// NewLog returns a log that keeps the newest size events.
func NewLog(process string, size int, now func() time.Time) *Log {
	return &Log{process: process, now: now, ring: make([]Event, size)}
}

// RecordTo makes the log also write each new event to w as a JSON line. With a nil w
// it stops writing.
func (l *Log) RecordTo(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recording = w
}

// Add appends an event.
func (l *Log) Add(kind Kind, object string, epoch uint64, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e := Event{l.now(), l.process, l.seq, kind, object, epoch, cause}
	l.ring[l.seq%uint64(len(l.ring))] = e
	if l.recording != nil {
		_ = Write(l.recording, []Event{e})
	}
}

// Since returns the events that the log still holds after sequence number seq,
// oldest first.
func (l *Log) Since(seq uint64) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := seq + 1
	if size := uint64(len(l.ring)); l.seq > size && first <= l.seq-size {
		first = l.seq - size + 1
	}
	var events []Event
	for s := first; s <= l.seq; s++ {
		events = append(events, l.ring[s%uint64(len(l.ring))])
	}
	return events
}
