// Package creds finds out to which organisation a caller's key belongs.
//
// Keys are looked up by a keyed digest, HMAC-SHA-256 with a random secret of the index, so
// that the time of a look-up tells nothing about the keys that exist. The index holds no key.
//
// # Usage
//
//	index := creds.NewIndex(config.Organisations)
//	organisation, known := index.Organisation(r.Header.Get(platform.KeyHeader))
//
// An index does not change. A new one is built for each version of the configuration.
package creds

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"sync"

	"github.com/papayarudder/papayarudder/platform"
)

const secretBytes = 32

type digest [sha256.Size]byte

// Index maps keys to the names of their organisations. It is safe for concurrent use.
type Index struct {
	organisations map[digest]string
	hashers       sync.Pool
}

// hasher computes digests in buffers of its own, so that a look-up does not allocate.
type hasher struct {
	mac hash.Hash
	key [platform.MaxKeyBytes]byte
	sum digest
}

// NewIndex returns an index of the keys of organisations.
func NewIndex(organisations []platform.Organisation) *Index {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never returns an error
	x := &Index{organisations: map[digest]string{}}
	x.hashers.New = func() any { return &hasher{mac: hmac.New(sha256.New, secret)} }
	for _, o := range organisations {
		for _, key := range o.Keys {
			if sum, ok := x.digest(key); ok {
				x.organisations[sum] = o.Name
			}
		}
	}
	return x
}

// Organisation returns the name of the organisation to which a key belongs, and whether the
// key is known.
func (x *Index) Organisation(key string) (name string, known bool) {
	sum, ok := x.digest(key)
	if !ok {
		return "", false
	}
	name, known = x.organisations[sum]
	return name, known
}

// digest returns the keyed digest of a key, and false if no configuration may hold the key.
func (x *Index) digest(key string) (digest, bool) {
	if key == "" || len(key) > platform.MaxKeyBytes {
		return digest{}, false
	}
	h := x.hashers.Get().(*hasher)
	defer x.hashers.Put(h)
	h.mac.Reset()
	_, _ = h.mac.Write(h.key[:copy(h.key[:], key)]) // never returns an error
	h.mac.Sum(h.sum[:0])
	return h.sum, true
}
