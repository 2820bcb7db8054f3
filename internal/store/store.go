// Package store reads and writes the fleet's state in the platform's table service.
//
// # Rows
//
// The row "head" holds the current version. Every change is one transaction. It
// is conditional on head, raises it by one, writes the whole change to
// "change/VERSION", and writes the current row of each object that it changes
// ("pool/NAME", "service/NAME", "team/NAME", "host/NAME"). The record of a
// ticket is in "ticket/NUMBER". As every change checks head, changes are totally
// ordered, and what was checked against the state at head still holds in the
// transaction.
//
// # Usage
//
//	s := store.New(platform.Table, platform.Objects)
//	state, err := s.Load(ctx)           // the whole state, at start
//	changes, err := s.Changes(ctx, state.Version, 100)
//	err = s.Commit(ctx, change, nil)    // [ErrStale] if head has changed
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/plat"
)

// Errors that the store returns.
var (
	ErrStale   = errors.New("the state has changed since it was read")
	ErrTrimmed = errors.New("the change is no longer kept")
)

const (
	headKey       = "head"
	changePrefix  = "change/"
	poolPrefix    = "pool/"
	servicePrefix = "service/"
	teamPrefix    = "team/"
	hostPrefix    = "host/"
	ticketPrefix  = "ticket/"

	changesKept   = 20_000 // older changes are deleted
	commitRetries = 4
	commitBackoff = 50 * time.Millisecond // doubles with each retry
)

// Store reads and writes the fleet's state.
type Store struct {
	table   plat.Table
	objects plat.Objects
}

// New returns a store on top of a table service. Values that are too large for a
// row are kept in the object store.
func New(table plat.Table, objects plat.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the current version.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	version, _, err := s.head(ctx)
	return version, err
}

func (s *Store) head(ctx context.Context) (version, rowVersion uint64, err error) {
	rows, err := s.table.Read(ctx, []string{headKey})
	if err != nil {
		return 0, 0, errors.Wrap(err, "read head")
	}
	if rows[0].Version == 0 {
		return 0, 0, nil
	}
	version, err = strconv.ParseUint(string(rows[0].Value), 10, 64)
	return version, rows[0].Version, errors.Wrap(err, "read head")
}

// Changes returns up to limit changes after version since, oldest first. It
// returns [ErrTrimmed] if one of them has been deleted.
func (s *Store) Changes(ctx context.Context, since uint64, limit int) ([]fleet.Change, error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	var keys []string
	for v := since + 1; v <= head && len(keys) < limit; v++ {
		keys = append(keys, changeKey(v))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := s.table.Read(ctx, keys)
	if err != nil {
		return nil, errors.Wrap(err, "read changes")
	}
	changes := make([]fleet.Change, 0, len(rows))
	for _, row := range rows {
		if row.Version == 0 {
			return nil, errors.Wrap(ErrTrimmed, row.Key)
		}
		change, err := s.decodeChange(ctx, row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Load reads the whole state. It reads head first, so rows may be newer than that
// version. It then applies all changes since. As each change holds whole objects,
// the result is the state at the last of these changes.
func (s *Store) Load(ctx context.Context) (*fleet.State, error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	state, err := s.scan(ctx, head)
	if err != nil {
		return nil, err
	}
	changes, err := s.Changes(ctx, head, changesKept)
	if err != nil {
		return nil, err
	}
	for _, change := range changes {
		if state, err = state.Apply(change); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func (s *Store) scan(ctx context.Context, version uint64) (*fleet.State, error) {
	var pools []fleet.Pool
	var services []fleet.Service
	var teams []fleet.Team
	var hosts []fleet.Host
	err := errors.CombineErrors(
		scanRows(ctx, s.table, poolPrefix, &pools, func(w fleet.PoolWire) (fleet.Pool, error) {
			return fleet.PoolFromWire(w), nil
		}),
		scanRows(ctx, s.table, servicePrefix, &services, serviceFromWire),
	)
	err = errors.CombineErrors(err, scanRows(ctx, s.table, teamPrefix, &teams, func(w fleet.TeamWire) (fleet.Team, error) {
		return fleet.TeamFromWire(w), nil
	}))
	err = errors.CombineErrors(err, scanRows(ctx, s.table, hostPrefix, &hosts, fleet.HostFromWire))
	if err != nil {
		return nil, err
	}
	return fleet.NewStateFrom(version, pools, services, teams, hosts), nil
}

func serviceFromWire(w fleet.ServiceWire) (fleet.Service, error) {
	service, faults := fleet.ServiceFromWire(w, w.Name)
	if len(faults) > 0 {
		return service, errors.Wrap(fleet.ErrMalformed, faults[0].String())
	}
	return service, nil
}

// scanRows decodes all rows whose keys start with prefix and appends them to objects.
func scanRows[W, T any](ctx context.Context, table plat.Table, prefix string, objects *[]T, fromWire func(W) (T, error)) error {
	rows, err := plat.ScanAll(ctx, table, prefix)
	if err != nil {
		return errors.Wrapf(err, "scan %s", prefix)
	}
	for _, row := range rows {
		var w W
		if err := json.Unmarshal(row.Value, &w); err != nil {
			return errors.Wrap(err, row.Key)
		}
		object, err := fromWire(w)
		if err != nil {
			return errors.Wrap(err, row.Key)
		}
		*objects = append(*objects, object)
	}
	return nil
}

// Commit writes a change, with the record of its ticket unless record is nil. It
// returns [ErrStale] if the change does not directly follow the current version, and
// [plat.ErrUncertain] if it could not find out whether the change took effect.
func (s *Store) Commit(ctx context.Context, change fleet.Change, record *TicketRecord) error {
	head, rowVersion, err := s.head(ctx)
	if err != nil {
		return err
	}
	if head+1 != change.Version {
		return errors.Wrapf(ErrStale, "head is at version %d, the change has version %d", head, change.Version)
	}
	change.OpID = uuid.NewString()
	txn := transaction(change, rowVersion, record)
	if err := s.moveLargeValues(ctx, txn.Puts); err != nil {
		return err
	}
	return s.commitAndConfirm(ctx, txn, change)
}

// commitAndConfirm commits the transaction. If the reply is lost, it reads back
// whether the transaction took effect, and sends it again if not. Sending it again
// is safe: because of its check on head it can take effect only once.
func (s *Store) commitAndConfirm(ctx context.Context, txn plat.Txn, change fleet.Change) error {
	unconfirmed := false
	for attempt := 0; ; attempt++ {
		err := s.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, plat.ErrConflict) && !unconfirmed {
			return errors.Wrapf(ErrStale, "version %d", change.Version)
		}
		unconfirmed = true
		taken, ours := s.readBack(ctx, change)
		if taken && ours {
			return nil
		}
		if taken {
			return errors.Wrapf(ErrStale, "version %d is taken by another change", change.Version)
		}
		if attempt == commitRetries {
			return errors.Wrap(plat.ErrUncertain, err.Error())
		}
		pause(ctx, commitBackoff<<attempt)
	}
}

// readBack reports whether the version of the change is taken, and whether it is
// taken by this very change.
func (s *Store) readBack(ctx context.Context, change fleet.Change) (taken, ours bool) {
	rows, err := s.table.Read(ctx, []string{changeKey(change.Version)})
	if err != nil || rows[0].Version == 0 {
		return false, false
	}
	written, err := s.decodeChange(ctx, rows[0])
	return err == nil, err == nil && written.OpID == change.OpID
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func transaction(change fleet.Change, headRowVersion uint64, record *TicketRecord) plat.Txn {
	txn := plat.Txn{Checks: []plat.Check{{Key: headKey, Version: headRowVersion}}}
	put := func(key string, value []byte) {
		txn.Puts = append(txn.Puts, plat.Put{Key: key, Value: value})
	}
	put(headKey, []byte(strconv.FormatUint(change.Version, 10)))
	put(changeKey(change.Version), fleet.EncodeChange(change))
	for _, p := range change.Pools {
		put(poolPrefix+p.Name, fleet.EncodePool(p))
	}
	for _, v := range change.Services {
		put(servicePrefix+v.Name, fleet.EncodeService(v))
	}
	for _, t := range change.Teams {
		put(teamPrefix+t.Name, fleet.EncodeTeam(t))
	}
	for _, h := range change.Hosts {
		put(hostPrefix+h.Spec.Name, fleet.EncodeHost(h))
	}
	if record != nil {
		txn.Checks = append(txn.Checks, plat.Check{Key: ticketKey(record.Number), Version: 0})
		put(ticketKey(record.Number), encodeTicket(*record))
	}
	if change.Version > changesKept {
		txn.Deletes = append(txn.Deletes, changeKey(change.Version-changesKept))
	}
	return txn
}

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

func ticketKey(number uint64) string {
	return fmt.Sprintf("%s%020d", ticketPrefix, number)
}
