package node

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
)

// loop is a supervised service that calls round at an interval. If round returns
// an error, the loop ends and the supervisor restarts it.
type loop struct {
	name     string
	interval time.Duration
	round    func(ctx context.Context) error
}

// Serve implements [suture.Service].
func (l loop) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		if err := l.round(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String returns the loop's name for the supervisor's log.
func (l loop) String() string { return l.name }

// service is a supervised service that runs until its context ends.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements [suture.Service].
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the service's name for the supervisor's log.
func (s service) String() string { return s.name }

var (
	_ suture.Service = loop{}
	_ suture.Service = service{}
)
