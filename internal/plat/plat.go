// Package plat is the client of the platform: of its table service, object store,
// list of hosts and host actions. Each is a struct of functions, so that another
// wire format or a test fake only has to supply other functions. All
// knowledge of the protocol of the platform is in this package.
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
// Commit returns [ErrConflict] if a check failed and nothing was written, and
// [ErrUncertain] if the reply was lost. The transaction may then have taken effect,
// and the caller has to read back whether it did.
package plat

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Errors that the services of the platform return.
var (
	ErrConflict    = errors.New("a row changed since it was read")
	ErrUncertain   = errors.New("the answer was lost and the write may have taken effect")
	ErrUnavailable = errors.New("the platform did not answer")
	ErrNotFound    = errors.New("no such object")
)

// Row is a row of the table service. Version is 0 for a row that does not exist, and
// every write raises it.
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

// Put sets the value of a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is an atomic transaction. It takes effect only if all its checks hold.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Table is the transactional table service.
type Table struct {
	// Read returns one row for each key, in the order of keys.
	Read func(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns up to limit rows in the order of their keys. The keys start
	// with prefix and come after the key after.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction.
	Commit func(ctx context.Context, txn Txn) error
}

// Objects is the object store.
type Objects struct {
	Put func(ctx context.Context, name string, data []byte) error
	Get func(ctx context.Context, name string) ([]byte, error)
}

// Hosts is the platform's list of hosts and the actions on a host. The list may lag
// behind the state of the hosts.
type Hosts struct {
	// Leaving returns the names of the hosts that are leaving.
	Leaving func(ctx context.Context) ([]string, error)
	Reboot  func(ctx context.Context, host string, addr netip.AddrPort) error
}

// Platform groups the services of the platform.
type Platform struct {
	Table   Table
	Objects Objects
	Hosts   Hosts
}

const scanPageRows = 500

// ScanAll returns all rows whose keys start with prefix.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := t.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
