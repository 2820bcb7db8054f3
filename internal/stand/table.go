// Package stand is a small stand-in of the platform for tests and the demo: a
// table service, an object store, a lagging list of hosts, and workers, each
// with switches for the ways in which it can fail.
//
// # Usage
//
// In a test, a [Table] serves as the platform's table directly:
//
//	table := stand.NewTable()
//	store := store.New(table.Adapter())
//	table.Set(stand.Faults{LoseAnswers: 1})
//
// As a process, [NewServer] offers the same over HTTP, with the switches at
// /switches and the workers' records at /records.
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

// Faults are the switches of the table service.
type Faults struct {
	Down        bool          // nothing is answered and nothing takes effect
	WritesDown  bool          // only reads are answered
	Slow        time.Duration // added to each answer
	LoseAnswers int           // commits whose answer is lost after taking effect
}

// Counts are what the table service has done.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Table is a table service in memory. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	rows   map[string]plat.Row
	next   uint64
	faults Faults
	counts Counts
}

// NewTable returns an empty table without faults.
func NewTable() *Table {
	return &Table{rows: map[string]plat.Row{}}
}

// Set turns the switches.
func (t *Table) Set(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns what was done so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Adapter returns the table as the system sees it.
func (t *Table) Adapter() plat.Table {
	return plat.Table{Read: t.read, Scan: t.scan, Commit: t.commit}
}

func (t *Table) read(ctx context.Context, keys []string) ([]plat.Row, error) {
	if err := t.admit(ctx, false); err != nil {
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
	if err := t.admit(ctx, false); err != nil {
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
	if err := t.admit(ctx, true); err != nil {
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
		t.next++
		t.rows[put.Key] = plat.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: t.next}
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

// admit applies the switches and counts the call.
func (t *Table) admit(ctx context.Context, write bool) error {
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
