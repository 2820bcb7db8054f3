// Package store keeps the fleet's state in the platform's table service.
//
// # Rows
//
// The row "head" holds the version in force. Every change is one transaction
// that is conditional on head, raises it by one, writes "change/VERSION" with
// the whole change, and writes the current row of each object it touches
// ("pool/NAME", "service/NAME", "team/NAME", "host/NAME"). A ticket's record is
// "ticket/NUMBER". As every change checks head, changes are totally ordered and
// whatever was checked against the state at head holds in the transaction.
//
// # Usage
//
//	s := store.New(platform.Table, platform.Objects)
//	state, err := s.Load(ctx)           // whole, at start
//	changes, err := s.Changes(ctx, state.Version, 100)
//	err = s.Commit(ctx, change, nil)    // [ErrStale] if head moved on
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

// Errors of the store.
var (
	ErrStale   = errors.New("the state moved on")
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

	changesKept = 20_000
	settleTries = 4
	settlePause = 50 * time.Millisecond
)

// Store reads and writes the fleet's state.
type Store struct {
	table   plat.Table
	objects plat.Objects
}

// New returns a store over a table service, with an object store for what is too
// large for a row.
func New(table plat.Table, objects plat.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the version in force.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	version, _, err := s.head(ctx)
	return version, err
}

func (s *Store) head(ctx context.Context) (version, row uint64, err error) {
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
// returns [ErrTrimmed] if they are not kept any more.
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

// Load reads the whole state. Rows may be newer than the head that was read
// before them; the changes since then are applied over them, and as each change
// carries whole objects the result is the state at the last of them.
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
	return fleet.Load(version, pools, services, teams, hosts), nil
}

func serviceFromWire(w fleet.ServiceWire) (fleet.Service, error) {
	service, faults := fleet.ServiceFromWire(w, w.Name)
	if len(faults) > 0 {
		return service, errors.Wrap(fleet.ErrMalformed, faults[0].String())
	}
	return service, nil
}

// scanRows reads all rows below prefix into objects.
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

// Commit puts a change in force as the version after the one in force. It
// returns [ErrStale] if that is no longer the change's predecessor, and
// [plat.ErrUncertain] if the platform could not be asked what became of it.
func (s *Store) Commit(ctx context.Context, change fleet.Change, record *TicketRecord) error {
	head, row, err := s.head(ctx)
	if err != nil {
		return err
	}
	if head+1 != change.Version {
		return errors.Wrapf(ErrStale, "head is %d, the change is %d", head, change.Version)
	}
	change.OpID = uuid.NewString()
	txn := transaction(change, row, record)
	if err := s.packAll(ctx, txn.Puts); err != nil {
		return err
	}
	return s.settle(ctx, txn, change)
}

// settle commits the transaction and, when the answer is lost, reads back
// whether it took effect. Sending it again is safe: its check on head lets it
// take effect once.
func (s *Store) settle(ctx context.Context, txn plat.Txn, change fleet.Change) error {
	sent := false
	for try := 0; ; try++ {
		err := s.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, plat.ErrConflict) && !sent {
			return errors.Wrapf(ErrStale, "version %d", change.Version)
		}
		sent = true
		settled, mine := s.readBack(ctx, change)
		if settled && mine {
			return nil
		}
		if settled {
			return errors.Wrapf(ErrStale, "version %d is another change", change.Version)
		}
		if try == settleTries {
			return errors.Wrap(plat.ErrUncertain, err.Error())
		}
		pause(ctx, settlePause<<try)
	}
}

// readBack tells whether the change's version is taken, and if by this change.
func (s *Store) readBack(ctx context.Context, change fleet.Change) (settled, mine bool) {
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

func transaction(change fleet.Change, headRow uint64, record *TicketRecord) plat.Txn {
	txn := plat.Txn{Checks: []plat.Check{{Key: headKey, Version: headRow}}}
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
