package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/plat"
)

const (
	maxRowBytes  = 32 << 10 // larger values are kept in the object store
	objectPrefix = "object:"
)

// moveLargeValues stores each value that is too large for a row as an object, and
// replaces it by a reference to the object.
func (s *Store) moveLargeValues(ctx context.Context, puts []plat.Put) error {
	for i, put := range puts {
		if len(put.Value) <= maxRowBytes {
			continue
		}
		sum := sha256.Sum256(put.Value)
		name := hex.EncodeToString(sum[:])
		if err := s.objects.Put(ctx, name, put.Value); err != nil {
			return errors.Wrapf(err, "store the object of %s", put.Key)
		}
		puts[i].Value = []byte(objectPrefix + name)
	}
	return nil
}

// readValue returns the value of a row. It reads it from the object store if the row
// holds a reference to an object.
func (s *Store) readValue(ctx context.Context, row plat.Row) ([]byte, error) {
	name, isObject := bytes.CutPrefix(row.Value, []byte(objectPrefix))
	if !isObject {
		return row.Value, nil
	}
	data, err := s.objects.Get(ctx, string(name))
	if err != nil {
		return nil, errors.Wrapf(err, "read the object of %s", row.Key)
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != string(name) {
		return nil, errors.Wrapf(fleet.ErrMalformed, "the object of %s has other content", row.Key)
	}
	return data, nil
}

func (s *Store) decodeChange(ctx context.Context, row plat.Row) (fleet.Change, error) {
	data, err := s.readValue(ctx, row)
	if err != nil {
		return fleet.Change{}, err
	}
	change, err := fleet.DecodeChange(data)
	return change, errors.Wrap(err, row.Key)
}
