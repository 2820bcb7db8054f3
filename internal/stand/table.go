// Package stand is a small fake of the platform for tests and the demo: a table
// service, an object store, a list of hosts, and workers. Faults can be injected
// into the table service and the workers.
//
// # Usage
//
// In a test, a [Table] serves as the platform's table directly:
//
//	table := stand.NewTable()
//	store := store.New(table.Adapter())
//	table.Set(stand.Faults{LoseAnswers: 1})
//
// [NewServer] offers the same over HTTP, for use as a separate process. Faults are
// set at /switches, and /records returns the records of the workers.
package stand

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

// Faults are the injected faults of the table service.
type Faults struct {
	Down        bool          // all calls fail without effect
	WritesDown  bool          // commits fail without effect
	Slow        time.Duration // added to the duration of each call
	LoseAnswers int           // number of next commits that take effect but report an uncertain result
}

// Counts are the numbers of calls to the table service, including failed ones.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Table is an in-memory table service. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	rows        map[string]plat.Row
	lastVersion uint64
	faults      Faults
	counts      Counts
}

// NewTable returns an empty table without faults.
func NewTable() *Table {
	return &Table{rows: map[string]plat.Row{}}
}

// Set replaces the injected faults.
func (t *Table) Set(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns the numbers of calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Adapter returns the table behind the interface that the system uses.
func (t *Table) Adapter() plat.Table {
	return plat.Table{Read: t.read, Scan: t.scan, Commit: t.commit}
}

func (t *Table) read(ctx context.Context, keys []string) ([]plat.Row, error) {
	if err := t.applyFaults(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]plat.Row, 0, len(keys))
	for _, key := range keys {
		row, found := t.rows[key]
		if !found {
			row.Key = key
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if err := t.applyFaults(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []plat.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b plat.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *Table) commit(ctx context.Context, txn plat.Txn) error {
	if err := t.applyFaults(ctx, true); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return errors.Wrap(plat.ErrConflict, check.Key)
		}
	}
	for _, put := range txn.Puts {
		t.lastVersion++
		t.rows[put.Key] = plat.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: t.lastVersion}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return errors.Wrap(plat.ErrUncertain, "the stand-in lost the answer")
	}
	return nil
}

// applyFaults counts a call and delays or fails it as the injected faults say.
func (t *Table) applyFaults(ctx context.Context, write bool) error {
	t.mu.Lock()
	faults := t.faults
	if write {
		t.counts.Writes++
	} else {
		t.counts.Reads++
	}
	t.mu.Unlock()
	if faults.Slow > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(faults.Slow):
		}
	}
	if ctx.Err() != nil || faults.Down || write && faults.WritesDown {
		kind := plat.ErrUnavailable
		if write {
			kind = plat.ErrUncertain
		}
		return errors.Wrap(kind, "the stand-in is down")
	}
	return nil
}
