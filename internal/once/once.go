// Package once decides whether the work of an idempotency key may run. It is
// the state of a key's owner and is pure: time goes in with each call.
//
// # Usage
//
//	r := once.NewRegistry(once.DefaultWindow())
//	verdict := r.Begin(key, "entry-1", now)
//	if verdict == once.Go {
//		// run it, then
//		r.End(key, once.Answered, now)
//	}
//
// Keys are UUIDv7, which carry the time of their birth. A registry remembers
// a key for as long as the key is accepted, so that a key it does not know has
// not been run under it.
package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ErrNotUUIDv7 is returned for a key of another kind.
var ErrNotUUIDv7 = errors.New("not a UUIDv7")

// Key identifies one piece of non-idempotent work.
type Key struct {
	id uuid.UUID
}

// ParseKey reads a key in its usual text form.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || len(text) != 36 {
		return Key{}, errors.WithStack(ErrNotUUIDv7)
	}
	return Key{id}, nil
}

// String returns the key in its usual text form.
func (k Key) String() string { return k.id.String() }

// Born returns when the key was made, by its maker's clock.
func (k Key) Born() time.Time {
	seconds, nanoseconds := k.id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// Window is the time in which a key is accepted.
type Window struct {
	Age  time.Duration // oldest key that is accepted
	Skew time.Duration // how far a caller's clock may be ahead
}

// DefaultWindow returns the window of production.
func DefaultWindow() Window {
	return Window{Age: 15 * time.Minute, Skew: 5 * time.Second}
}

// Verdict says whether work may run.
type Verdict int

// The verdicts. Only Go lets the work run. Running, Ended and Uncertain mean
// that it may have run; Future that it has not.
const (
	Go        Verdict = iota
	Running           // another request with the key is in progress
	Ended             // a request with the key was answered
	Uncertain         // a request with the key may have run
	Expired           // the key is too old to be remembered
	Future            // the key's birth lies ahead, so nobody accepted it
)

// Outcome is how the work of a key ended.
type Outcome int

// The outcomes of a key's work.
const (
	Answered Outcome = iota
	NotRun
	Unknown
)

type record struct {
	entry   string
	verdict Verdict // what a further request with the key gets
}

// Registry remembers the keys of one shard. It is not safe for concurrent use.
type Registry struct {
	window Window
	keys   map[Key]record
	// Keys born before horizon that are not known may have been run by a
	// member that is lost.
	horizon time.Time
}

// NewRegistry returns a registry for a shard that nobody owned before.
func NewRegistry(window Window) *Registry {
	return &Registry{window: window, keys: map[Key]record{}}
}

// Begin asks to run the work of a key. If the verdict is Go, the work counts as
// running from now on.
func (r *Registry) Begin(key Key, entry string, now time.Time) Verdict {
	if known, found := r.keys[key]; found {
		return known.verdict
	}
	born := key.Born()
	if born.After(now.Add(r.window.Skew)) {
		return Future
	}
	if born.Before(now.Add(-r.window.Age)) {
		return Expired
	}
	if born.Before(r.horizon) {
		return Uncertain
	}
	r.keys[key] = record{entry: entry, verdict: Running}
	return Go
}

// End tells how the work of a key ended. Work that did not run may be begun
// again.
func (r *Registry) End(key Key, outcome Outcome) {
	known, found := r.keys[key]
	if !found {
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

// Restore takes in a key that a member reports as begun.
func (r *Registry) Restore(key Key, entry string, verdict Verdict) {
	r.keys[key] = record{entry: entry, verdict: verdict}
}

// Lose makes every key that is not known and was born up to now uncertain,
// because a member that may have run it is gone.
func (r *Registry) Lose(now time.Time) {
	horizon := now.Add(r.window.Skew)
	if horizon.After(r.horizon) {
		r.horizon = horizon
	}
}

// LoseEntry makes the running keys of an entry that is gone uncertain.
func (r *Registry) LoseEntry(entry string) {
	for key, known := range r.keys {
		if known.entry == entry && known.verdict == Running {
			r.End(key, Unknown)
		}
	}
}

// Trim forgets the keys that would be refused as expired. Running ones are
// kept.
func (r *Registry) Trim(now time.Time) {
	for key, known := range r.keys {
		if known.verdict != Running && key.Born().Before(now.Add(-r.window.Age)) {
			delete(r.keys, key)
		}
	}
}

// Len returns how many keys are remembered.
func (r *Registry) Len() int { return len(r.keys) }
