// Package once decides whether the request of an idempotency key may run. It
// holds the state of the keys' owner; the time is passed with each call.
//
// # Usage
//
//	r := once.NewRegistry(once.DefaultWindow())
//	verdict := r.Begin(key, holder, now)
//	if verdict == once.Proceed {
//		// run it, then
//		r.End(key, holder, once.Answered)
//	}
//
// Keys are UUIDv7, which contain their creation time. A registry stores a key for
// as long as the key is accepted, so an unknown key has not run under this
// registry.
package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ErrNotUUIDv7 is returned for a key that is not a UUIDv7.
var ErrNotUUIDv7 = errors.New("not a UUIDv7")

// Key is an idempotency key. It identifies one request that must not run twice.
type Key struct {
	id uuid.UUID
}

// ParseKey parses a key in the 36-character text form.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || len(text) != 36 {
		return Key{}, errors.WithStack(ErrNotUUIDv7)
	}
	return Key{id}, nil
}

// String returns the key in the 36-character text form.
func (k Key) String() string { return k.id.String() }

// CreatedAt returns the creation time in the key, by its creator's clock.
func (k Key) CreatedAt() time.Time {
	seconds, nanoseconds := k.id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// Window limits the creation times of accepted keys.
type Window struct {
	MaxAge  time.Duration // oldest accepted key
	MaxSkew time.Duration // largest expected difference between two clocks of callers and hosts
}

// DefaultWindow returns the window used in production.
func DefaultWindow() Window {
	return Window{MaxAge: 15 * time.Minute, MaxSkew: 2 * time.Second}
}

// Verdict says whether a request may run.
type Verdict int

// The verdicts. Only Proceed lets the request run. Running, Ended and Uncertain mean
// that the key may have run; Future means that it has not.
const (
	Proceed   Verdict = iota
	Running           // another request with the key is in progress
	Ended             // a request with the key was answered
	Uncertain         // a request with the key may have run
	Expired           // the key is older than the window, so its record may be gone
	Future            // the key was created in the future, so no owner can have accepted it
)

// Outcome is how the request of a key ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	NotRun
	Unknown
)

type record struct {
	holder  Holder
	verdict Verdict // returned for another request with the key
}

// Holder identifies the one request that may run under a key. Attempt differs
// for every request of an entry.
type Holder struct {
	Entry   string
	Attempt string
}

// Registry stores the keys of one shard. It is not safe for concurrent use.
type Registry struct {
	window Window
	keys   map[Key]record
	// Unknown keys created before horizon may have run under an owner whose
	// records are lost.
	horizon time.Time
}

// NewRegistry returns an empty registry, as for a shard without a previous
// owner.
func NewRegistry(window Window) *Registry {
	return &Registry{window: window, keys: map[Key]record{}}
}

// Begin asks to run the request of a key. With the verdict Proceed, the key counts
// as running from now on. A holder that did not get the answer may ask again.
func (r *Registry) Begin(key Key, holder Holder, now time.Time) Verdict {
	if known, found := r.keys[key]; found {
		if known.verdict == Running && known.holder == holder {
			return Proceed
		}
		return known.verdict
	}
	createdAt := key.CreatedAt()
	if createdAt.After(now.Add(r.window.MaxSkew)) {
		return Future
	}
	if createdAt.Before(now.Add(-r.window.MaxAge)) {
		return Expired
	}
	if createdAt.Before(r.horizon) {
		return Uncertain
	}
	r.keys[key] = record{holder: holder, verdict: Running}
	return Proceed
}

// End records how the request of a key ended. A request that did not run may
// begin again. Only the key's holder can end it.
func (r *Registry) End(key Key, holder Holder, outcome Outcome) {
	known, found := r.keys[key]
	if !found || known.holder != holder {
		return
	}
	switch outcome {
	case NotRun:
		delete(r.keys, key)
		return
	case Answered:
		known.verdict = Ended
	case Unknown:
		known.verdict = Uncertain
	}
	r.keys[key] = known
}

// Known is a registry's record of one key.
type Known struct {
	Key     string
	Holder  Holder
	Verdict Verdict
}

// Snapshot returns all records, for the shard's next owner.
func (r *Registry) Snapshot() []Known {
	entries := make([]Known, 0, len(r.keys))
	for key, known := range r.keys {
		entries = append(entries, Known{key.String(), known.holder, known.verdict})
	}
	return entries
}

// Horizon returns the time before which unknown keys are uncertain.
func (r *Registry) Horizon() time.Time { return r.horizon }

// Restore adds the records and the horizon of the shard's previous owner. If a
// key is invalid, it returns an error and adds nothing.
func (r *Registry) Restore(entries []Known, horizon time.Time) error {
	keys := make([]Key, 0, len(entries))
	for _, known := range entries {
		key, err := ParseKey(known.Key)
		if err != nil {
			return errors.Wrap(err, known.Key)
		}
		keys = append(keys, key)
	}
	for i, known := range entries {
		r.keys[keys[i]] = record{holder: known.Holder, verdict: known.Verdict}
	}
	if horizon.After(r.horizon) {
		r.horizon = horizon
	}
	return nil
}

// MarkUncertain makes every unknown key created up to now uncertain, because the records
// of a previous owner that may have run it are lost.
func (r *Registry) MarkUncertain(now time.Time) {
	horizon := now.Add(r.window.MaxSkew)
	if horizon.After(r.horizon) {
		r.horizon = horizon
	}
}

// RemoveExpired deletes the keys that Begin would refuse as expired anyway.
func (r *Registry) RemoveExpired(now time.Time) {
	for key := range r.keys {
		if key.CreatedAt().Before(now.Add(-r.window.MaxAge)) {
			delete(r.keys, key)
		}
	}
}

// Len returns the number of stored keys.
func (r *Registry) Len() int { return len(r.keys) }
