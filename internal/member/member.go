// Package member tracks which processes belong to the system. Each process
// keeps one lease row in the table service and renews it. The row also contains
// the version of the configuration that the process has in force, so that this
// acknowledgement needs no separate write. Fields that never change during the
// life of a process are in a second row, which others read once.
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
// Clocks of different processes are never compared. The holder measures from when
// it sent the last renewal that took effect. An observer measures from when it
// first read the row in its present form, and only while it reads the table
// without a gap. The observer's timeout is longer by a margin, so that a holder
// knows that its lease has lapsed before any observer does.
//
// A holder that can't reach the table service may continue while a majority of
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

// ErrReplaced is returned when another process has started under the same name.
var ErrReplaced = errors.New("another process runs under this name")

// Timing holds the durations of leases.
type Timing struct {
	RenewInterval time.Duration // interval between renewals
	HoldTimeout   time.Duration // how long the holder relies on a renewal
	LapseTimeout  time.Duration // how long a row must stay unchanged before an observer counts the lease as lapsed
	MaxReadGap    time.Duration // longest interval between two reads that count as uninterrupted
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval: 2 * time.Second,
		HoldTimeout:   6 * time.Second,
		LapseTimeout:  8 * time.Second,
		MaxReadGap:    4 * time.Second,
	}
}

// State is a member's state in its life cycle.
type State string

// The states of a member.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
	Left     State = "left"
)

// Info is the content of a member's rows.
type Info struct {
	Name        string
	Incarnation string // unique for each start of the process
	Zone        string
	Peer        netip.AddrPort // address for calls between processes
	Admin       netip.AddrPort
	State       State
	Version     uint64 // of the configuration in force at the member
	Counter     uint64 // increased by every renewal
	Row         uint64 // version of the lease row
}

// Lease is this process's own lease. It is not safe for concurrent use.
type Lease struct {
	info       Info
	timing     Timing
	rowVersion uint64    // last known version of the lease row, 0 if unknown or missing
	renewedAt  time.Time // when the last renewal that took effect was sent
}

// NewLease returns a lease that is not held yet.
func NewLease(info Info, timing Timing) *Lease {
	return &Lease{info: info, timing: timing}
}

// SetState sets the state that the next renewal writes.
func (l *Lease) SetState(state State) { l.info.State = state }

// Info returns the content of the last renewal, with the state that was set
// since.
func (l *Lease) Info() Info { return l.info }

// Renewed returns when the last renewal that took effect was sent.
func (l *Lease) Renewed() time.Time { return l.renewedAt }

// Renew writes the lease row. It returns [ErrReplaced] if another process has
// taken the name since this one last renewed.
func (l *Lease) Renew(ctx context.Context, table plat.Table, version uint64, now time.Time) error {
	if l.rowVersion == 0 {
		if err := l.readRowVersion(ctx, table); err != nil {
			return err
		}
	}
	next := l.info
	next.Version = version
	next.Counter++
	key := leasePrefix + l.info.Name
	txn := plat.Txn{
		Checks: []plat.Check{{Key: key, Version: l.rowVersion}},
		Puts:   []plat.Put{{Key: key, Value: encodeLease(next)}},
	}
	if l.renewedAt.IsZero() {
		txn.Puts = append(txn.Puts, plat.Put{Key: processPrefix + l.info.Name, Value: encodeProcess(next)})
	}
	commitErr := table.Commit(ctx, txn)
	if err := l.confirm(ctx, table, next, commitErr); err != nil {
		return err
	}
	l.info = next
	l.renewedAt = now
	return nil
}

// readRowVersion reads the version of the lease row, which an earlier process
// of the same name may have written.
func (l *Lease) readRowVersion(ctx context.Context, table plat.Table) error {
	rows, err := table.Read(ctx, []string{leasePrefix + l.info.Name})
	if err != nil {
		return errors.Wrap(err, "read own lease")
	}
	l.rowVersion = rows[0].Version
	return nil
}

// confirm reads the row back to get its version, and to find out whether a
// commit without an answer took effect.
func (l *Lease) confirm(ctx context.Context, table plat.Table, next Info, commitErr error) error {
	rows, err := table.Read(ctx, []string{leasePrefix + l.info.Name})
	if err != nil {
		return errors.Wrap(errors.CombineErrors(commitErr, err), "renew lease")
	}
	if rows[0].Version == 0 {
		l.rowVersion = 0
		return errors.Wrap(commitErr, "renew lease")
	}
	found, err := decodeLease(rows[0])
	if err != nil {
		return err
	}
	if found.Incarnation != l.info.Incarnation && !l.renewedAt.IsZero() {
		return errors.Wrapf(ErrReplaced, "name %s, incarnation %s", found.Name, found.Incarnation)
	}
	l.rowVersion = rows[0].Version
	if found.Incarnation != next.Incarnation || found.Counter != next.Counter {
		return errors.Wrap(errors.CombineErrors(commitErr, plat.ErrConflict), "renew lease")
	}
	return nil
}

// Leave writes the state [Left].
func (l *Lease) Leave(ctx context.Context, table plat.Table, now time.Time) error {
	l.info.State = Left
	return l.Renew(ctx, table, l.info.Version, now)
}

// observation is a row and when an observer first read it in this form.
type observation struct {
	info  Info
	since time.Time
}

// Watch decides from successive reads which members are live. It has no clock;
// the time is passed with each call.
type Watch struct {
	timing        Timing
	observed      map[string]observation // by name
	missing       map[string]time.Time   // incarnations whose row is gone, and since when
	confirmedGone map[string]bool        // incarnations that a majority counts as gone
	lastRead      time.Time              // time of the last successful read
}

// NewWatch returns a watch without observations.
func NewWatch(timing Timing) *Watch {
	return &Watch{
		timing:        timing,
		observed:      map[string]observation{},
		missing:       map[string]time.Time{},
		confirmedGone: map[string]bool{},
	}
}

// Observe records one read of the lease rows. After a gap in the reads, the
// lapse timeout of every row starts again: the table service may have been down
// for the holders too, so an unchanged row does not mean that its holder has
// stopped.
func (w *Watch) Observe(infos []Info, now time.Time) {
	gap := now.Sub(w.lastRead) > w.timing.MaxReadGap
	w.lastRead = now
	next := map[string]observation{}
	for _, info := range infos {
		s, known := w.observed[info.Name]
		if !known || s.info != info || gap {
			s = observation{info: info, since: now}
		}
		if known && w.observed[info.Name].info != info {
			delete(w.confirmedGone, info.Incarnation)
		}
		next[info.Name] = s
	}
	for name, s := range w.observed {
		if s.info.State != Left && next[name].info.Incarnation != s.info.Incarnation {
			w.missing[s.info.Incarnation] = now
		}
	}
	w.observed = next
	if gap {
		for incarnation := range w.missing {
			w.missing[incarnation] = now
		}
	}
}

// Members returns all members that have not left, live or not, ordered by name.
func (w *Watch) Members() []Info {
	return w.filter(func(s observation) bool { return s.info.State != Left })
}

// Live returns the members whose lease is not known to have lapsed, ordered by
// name.
func (w *Watch) Live() []Info {
	return w.filter(func(s observation) bool { return s.info.State != Left && !w.lapsed(s.since) })
}

// Unconfirmed returns the incarnations that are not live but may still act. A
// majority may count those in lapsed as gone; those in pending have not been
// silent for long enough.
func (w *Watch) Unconfirmed() (lapsed, pending []string) {
	classify := func(incarnation string, since time.Time) {
		switch {
		case w.confirmedGone[incarnation]:
		case w.lapsed(since):
			lapsed = append(lapsed, incarnation)
		default:
			pending = append(pending, incarnation)
		}
	}
	for _, s := range w.observed {
		if s.info.State != Left && w.lapsed(s.since) {
			classify(s.info.Incarnation, s.since)
		}
	}
	for incarnation, since := range w.missing {
		classify(incarnation, since)
	}
	slices.Sort(lapsed)
	slices.Sort(pending)
	return lapsed, pending
}

// ConfirmGone records that a majority counts an incarnation as gone.
func (w *Watch) ConfirmGone(incarnation string) {
	w.confirmedGone[incarnation] = true
	delete(w.missing, incarnation)
}

// Gone reports whether an incarnation has provably stopped acting: it has left,
// or a majority counts it as gone. An incarnation that was never observed
// counts as missing from the last read on, and must be missing for the lapse
// timeout before a majority may count it as gone. Call Gone again after each
// read.
func (w *Watch) Gone(incarnation string) bool {
	if w.confirmedGone[incarnation] {
		return true
	}
	for _, s := range w.observed {
		if s.info.Incarnation == incarnation {
			return s.info.State == Left
		}
	}
	if _, known := w.missing[incarnation]; !known {
		w.missing[incarnation] = w.lastRead
	}
	return false
}

// LeaseCheck returns a check that makes a transaction fail if the process has
// renewed its lease since the last read. It returns false if the process has no
// row, because it can't renew without one.
func (w *Watch) LeaseCheck(incarnation string) (plat.Check, bool) {
	for _, s := range w.observed {
		if s.info.Incarnation == incarnation {
			return plat.Check{Key: leasePrefix + s.info.Name, Version: s.info.Row}, true
		}
	}
	return plat.Check{}, false
}

func (w *Watch) lapsed(since time.Time) bool {
	return w.lastRead.Sub(since) >= w.timing.LapseTimeout
}

func (w *Watch) filter(keep func(observation) bool) []Info {
	var infos []Info
	for _, s := range w.observed {
		if keep(s) {
			infos = append(infos, s.info)
		}
	}
	slices.SortFunc(infos, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return infos
}
