package stand

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

// Objects is an in-memory object store. It is safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// Adapter returns the object store behind the interface that the system uses.
func (o *Objects) Adapter() plat.Objects {
	return plat.Objects{Put: o.put, Get: o.get}
}

func (o *Objects) put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = data
	return nil
}

func (o *Objects) get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, found := o.objects[name]
	if !found {
		return nil, errors.Wrap(plat.ErrNotFound, name)
	}
	return data, nil
}

// NoHosts returns a list of hosts of which none is leaving.
func NoHosts() plat.Hosts {
	return plat.Hosts{Leaving: func(context.Context) ([]string, error) { return nil, nil }}
}
