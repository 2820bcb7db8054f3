package node

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
)

// loop is a supervised service that carries out rounds. A round that returns an
// error ends the loop and lets the supervisor start it anew.
type loop struct {
	name  string
	every time.Duration
	round func(ctx context.Context) error
}

// Serve is part of [suture.Service].
func (l loop) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.every)
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

// String names the loop in the supervisor's reports.
func (l loop) String() string { return l.name }

// service is a supervised service that runs until its context ends.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve is part of [suture.Service].
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's reports.
func (s service) String() string { return s.name }

var (
	_ suture.Service = loop{}
	_ suture.Service = service{}
)
