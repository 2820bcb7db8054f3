// Package member knows which processes belong to the system. Each process
// keeps one lease row in the table service and renews it; the row also says
// which version of the configuration the process has in force, so that this
// acknowledgement costs no write of its own. What never changes of a process is
// in a second row, which others read once.
//
// # Usage
//
//	lease := member.NewLease(info, member.DefaultTiming())
//	err := lease.Renew(ctx, table, version, now)
//	watch := member.NewWatch(member.DefaultTiming())
//	infos, err := reader.Read(ctx) // of member.NewReader(table)
//	watch.Observe(infos, now)
//	live := watch.Live(now)
//
// # Clocks
//
// No two clocks are compared. The holder counts from when it sent the last
// renewal that took effect; an observer counts from when it first saw the row
// unchanged, and only while it could read the table without a gap. The
// observer's time is longer by a margin, so that a holder knows that its lease
// has lapsed before anyone else does.
//
// A holder that can't reach the table service may go on while a majority of
// members can't reach it either; see [Promises].
package member

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

// ErrReplaced is returned when another process has taken this one's name.
var ErrReplaced = errors.New("another process runs under this name")

// Timing sets the lease's times.
type Timing struct {
	Renew  time.Duration // between renewals
	Hold   time.Duration // how long the holder relies on a renewal
	Lapse  time.Duration // how long an observer waits before it counts on a lapse
	MaxGap time.Duration // longest time between two reads that count as unbroken
}

// DefaultTiming returns the timing of production.
func DefaultTiming() Timing {
	return Timing{
		Renew:  2 * time.Second,
		Hold:   6 * time.Second,
		Lapse:  8 * time.Second,
		MaxGap: 4 * time.Second,
	}
}

// State is what a member is ready for.
type State string

// The states of a member.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
	Left     State = "left"
)

// Info is what a member's rows say of its process.
type Info struct {
	Name        string
	Incarnation string // differs for each start of the process
	Zone        string
	Peer        netip.AddrPort // of the calls between processes
	Admin       netip.AddrPort
	State       State
	Version     uint64 // of the configuration in force there
	Counter     uint64 // raised by every renewal
	Row         uint64 // version of the lease row
}

// Lease is this process's own lease. It is not safe for concurrent use.
type Lease struct {
	info    Info
	timing  Timing
	row     uint64    // version of the row as last known
	renewed time.Time // when the last renewal that took effect was sent
}

// NewLease returns a lease that is not held yet.
func NewLease(info Info, timing Timing) *Lease {
	return &Lease{info: info, timing: timing}
}

// SetState changes what the next renewal says.
func (l *Lease) SetState(state State) { l.info.State = state }

// Info returns what the last renewal said.
func (l *Lease) Info() Info { return l.info }

// Renewed returns when the last renewal that took effect was sent.
func (l *Lease) Renewed() time.Time { return l.renewed }

// Renew writes the row. It returns [ErrReplaced] if another process has taken
// the name since this one held it.
func (l *Lease) Renew(ctx context.Context, table plat.Table, version uint64, now time.Time) error {
	if l.row == 0 {
		if err := l.adopt(ctx, table); err != nil {
			return err
		}
	}
	next := l.info
	next.Version = version
	next.Counter++
	key := leasePrefix + l.info.Name
	txn := plat.Txn{
		Checks: []plat.Check{{Key: key, Version: l.row}},
		Puts:   []plat.Put{{Key: key, Value: encodeLease(next)}},
	}
	if l.renewed.IsZero() {
		txn.Puts = append(txn.Puts, plat.Put{Key: placePrefix + l.info.Name, Value: encodePlace(next)})
	}
	commitErr := table.Commit(ctx, txn)
	if err := l.confirm(ctx, table, next, commitErr); err != nil {
		return err
	}
	l.info = next
	l.renewed = now
	return nil
}

// adopt takes over the row of an earlier process of the same name.
func (l *Lease) adopt(ctx context.Context, table plat.Table) error {
	rows, err := table.Read(ctx, []string{leasePrefix + l.info.Name})
	if err != nil {
		return errors.Wrap(err, "read own lease")
	}
	l.row = rows[0].Version
	return nil
}

// confirm reads the row back, for its version and to settle a lost answer.
func (l *Lease) confirm(ctx context.Context, table plat.Table, next Info, commitErr error) error {
	rows, err := table.Read(ctx, []string{leasePrefix + l.info.Name})
	if err != nil {
		return errors.Wrap(errors.CombineErrors(commitErr, err), "renew lease")
	}
	if rows[0].Version == 0 {
		l.row = 0
		return errors.Wrap(commitErr, "renew lease")
	}
	found, err := decodeLease(rows[0])
	if err != nil {
		return err
	}
	if found.Incarnation != l.info.Incarnation && !l.renewed.IsZero() {
		return errors.Wrapf(ErrReplaced, "name %s, incarnation %s", found.Name, found.Incarnation)
	}
	l.row = rows[0].Version
	if found.Incarnation != next.Incarnation || found.Counter != next.Counter {
		return errors.Wrap(errors.CombineErrors(commitErr, plat.ErrConflict), "renew lease")
	}
	return nil
}

// Leave marks the row as left.
func (l *Lease) Leave(ctx context.Context, table plat.Table, now time.Time) error {
	l.info.State = Left
	return l.Renew(ctx, table, l.info.Version, now)
}

// sighting is when an observer first saw a row as it is now.
type sighting struct {
	info  Info
	since time.Time
}

// Watch judges from successive reads which members are live. It is pure: time
// goes in with each call.
type Watch struct {
	timing  Timing
	seen    map[string]sighting  // by name
	missing map[string]time.Time // incarnations without a row, since when
	settled map[string]bool      // incarnations that a majority counts as gone
	last    time.Time            // of the last read that succeeded
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(timing Timing) *Watch {
	return &Watch{
		timing:  timing,
		seen:    map[string]sighting{},
		missing: map[string]time.Time{},
		settled: map[string]bool{},
	}
}

// Observe takes in what one read of the lease rows gave. After a gap in the
// reads nothing is held against a row that did not change meanwhile: the table
// may have been down for its holder too.
func (w *Watch) Observe(infos []Info, now time.Time) {
	gap := now.Sub(w.last) > w.timing.MaxGap
	w.last = now
	next := map[string]sighting{}
	for _, info := range infos {
		s, known := w.seen[info.Name]
		if !known || s.info != info || gap {
			s = sighting{info: info, since: now}
		}
		if known && w.seen[info.Name].info != info {
			delete(w.settled, info.Incarnation)
		}
		next[info.Name] = s
	}
	for name, s := range w.seen {
		if s.info.State != Left && next[name].info.Incarnation != s.info.Incarnation {
			w.missing[s.info.Incarnation] = now
		}
	}
	w.seen = next
	if gap {
		for incarnation := range w.missing {
			w.missing[incarnation] = now
		}
	}
}

// Members returns every member that has not left, live or not, by name.
func (w *Watch) Members() []Info {
	return w.filter(func(s sighting) bool { return s.info.State != Left })
}

// Live returns the members whose lease is not known to have lapsed, by name.
func (w *Watch) Live() []Info {
	return w.filter(func(s sighting) bool { return s.info.State != Left && !w.lapsed(s.since) })
}

// Doubtful returns the processes that may still act though they are not live:
// ripe ones have been silent long enough that a majority may count them as gone.
func (w *Watch) Doubtful() (ripe, unripe []string) {
	sort := func(incarnation string, since time.Time) {
		switch {
		case w.settled[incarnation]:
		case w.lapsed(since):
			ripe = append(ripe, incarnation)
		default:
			unripe = append(unripe, incarnation)
		}
	}
	for _, s := range w.seen {
		if s.info.State != Left && w.lapsed(s.since) {
			sort(s.info.Incarnation, s.since)
		}
	}
	for incarnation, since := range w.missing {
		sort(incarnation, since)
	}
	slices.Sort(ripe)
	slices.Sort(unripe)
	return ripe, unripe
}

// Settle notes that a majority counts a process as gone.
func (w *Watch) Settle(incarnation string) {
	w.settled[incarnation] = true
	delete(w.missing, incarnation)
}

// Gone reports whether a process has provably stopped acting: it left, or a
// majority counts it as gone. One that was never seen is looked for as long as a
// lapse takes. It is asked anew after each read.
func (w *Watch) Gone(incarnation string) bool {
	if w.settled[incarnation] {
		return true
	}
	for _, s := range w.seen {
		if s.info.Incarnation == incarnation {
			return s.info.State == Left
		}
	}
	if _, known := w.missing[incarnation]; !known {
		w.missing[incarnation] = w.last
	}
	return false
}

// LeaseCheck makes a transaction conditional on a process not having renewed
// its lease since it was last observed. It reports false if the process has no
// row any more, and so can't renew it.
func (w *Watch) LeaseCheck(incarnation string) (plat.Check, bool) {
	for _, s := range w.seen {
		if s.info.Incarnation == incarnation {
			return plat.Check{Key: leasePrefix + s.info.Name, Version: s.info.Row}, true
		}
	}
	return plat.Check{}, false
}

func (w *Watch) lapsed(since time.Time) bool {
	return w.last.Sub(since) >= w.timing.Lapse
}

func (w *Watch) filter(keep func(sighting) bool) []Info {
	var infos []Info
	for _, s := range w.seen {
		if keep(s) {
			infos = append(infos, s.info)
		}
	}
	slices.SortFunc(infos, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return infos
}
