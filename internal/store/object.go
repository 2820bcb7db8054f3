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
	maxRow       = 32 << 10 // bytes of a row's value
	objectPrefix = "object:"
)

// packAll moves the values that are too large for a row to the object store.
func (s *Store) packAll(ctx context.Context, puts []plat.Put) error {
	for i, put := range puts {
		if len(put.Value) <= maxRow {
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

// unpack returns a row's value, from the object store if it is there.
func (s *Store) unpack(ctx context.Context, row plat.Row) ([]byte, error) {
	name, packed := bytes.CutPrefix(row.Value, []byte(objectPrefix))
	if !packed {
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
	data, err := s.unpack(ctx, row)
	if err != nil {
		return fleet.Change{}, err
	}
	change, err := fleet.DecodeChange(data)
	return change, errors.Wrap(err, row.Key)
}
