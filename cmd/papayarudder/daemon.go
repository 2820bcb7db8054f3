package main

import (
	"context"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
)

// daemonCommand runs one process of the system on the users' platform until
// SIGTERM; then it hands its pools over and finishes what callers wait for.
type daemonCommand struct {
	Settings string `arg:"--settings,env:PAPAYARUDDER_CONFIG" placeholder:"FILE" help:"the platform's settings file"`
}

// memoryShare is the share of the process's memory at which the collector works
// harder.
const memoryShare = 0.6

func (c *daemonCommand) run(ctx context.Context, out io.Writer) error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB<<20) * memoryShare))
	}
	logger, flush := logs.New(out, settings.Node, time.Now)
	defer flush()
	return daemon.New(settings, logger).Run(ctx)
}
