// Package plat is the one place that knows the platform: its table service,
// object store, list of hosts and host actions. Each is a concrete type of
// function fields, so that another wire format, or a fake in a test, replaces
// just the functions.
//
// # Usage
//
//	p := plat.Dial(settings.Platform, timeout)
//	rows, err := p.Table.Read(ctx, []string{"head"})
//	err = p.Table.Commit(ctx, plat.Txn{
//		Checks: []plat.Check{{Key: "head", Version: rows[0].Version}},
//		Puts:   []plat.Put{{Key: "head", Value: []byte("7")}},
//	})
//
// Commit returns [ErrConflict] when a check failed and nothing was written,
// and [ErrUncertain] when the answer was lost: the transaction may have taken
// effect, so the caller settles it by reading back.
package plat

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's services.
var (
	ErrConflict    = errors.New("a row changed since it was read")
	ErrUncertain   = errors.New("the answer was lost and the write may have taken effect")
	ErrUnavailable = errors.New("the platform did not answer")
	ErrNotFound    = errors.New("no such object")
)

// Row is a row of the table service. Version is 0 for a row that is not there
// and is raised by every write.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Check makes a transaction conditional on a row's version.
type Check struct {
	Key     string
	Version uint64
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction: all of it takes effect, or nothing.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Table is the transactional table service.
type Table struct {
	// Read returns the rows of keys, in their order.
	Read func(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and come
	// after the key after, in the order of keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction.
	Commit func(ctx context.Context, txn Txn) error
}

// Objects is the object store.
type Objects struct {
	Put func(ctx context.Context, name string, data []byte) error
	Get func(ctx context.Context, name string) ([]byte, error)
}

// Hosts is the platform's list of hosts, which lags, and what can be asked of one.
type Hosts struct {
	// Leaving returns the names of the hosts that are leaving.
	Leaving func(ctx context.Context) ([]string, error)
	Reboot  func(ctx context.Context, host string, addr netip.AddrPort) error
}

// Platform is all that the platform offers.
type Platform struct {
	Table   Table
	Objects Objects
	Hosts   Hosts
}

const scanPage = 500 // rows

// ScanAll returns all rows whose keys start with prefix.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
