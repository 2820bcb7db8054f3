package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/daemon"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/platform"
)

// daemonCommand runs one process of the system on the users' platform until
// SIGTERM, then hands over its pools and finishes the calls in progress.
type daemonCommand struct {
	Settings string `arg:"--settings,env:PAPAYARUDDER_CONFIG" placeholder:"FILE" help:"the platform's settings file"`
	Record   string `arg:"--record" placeholder:"FILE" help:"record every step of the pools' decisions, for replay"`

	LookAhead bool `arg:"--look-ahead" help:"reserve workers for large tasks that fit none, by when running tasks are expected to end"`
}

// memoryLimitShare is the share of the process's memory that is set as the soft
// limit of the Go runtime, which collects garbage more often close to it.
const memoryLimitShare = 0.6

func (c *daemonCommand) run(ctx context.Context, out io.Writer) error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB<<20) * memoryLimitShare))
	}
	logger, flush := logs.New(out, settings.Node, time.Now)
	defer flush()
	d := daemon.New(settings, logger)
	d.LookAhead = c.LookAhead
	if c.Record != "" {
		file, err := os.Create(c.Record)
		if err != nil {
			return errors.Wrap(err, "recording")
		}
		defer func() { _ = file.Close() }() // each event is written whole when it is added
		d.Recording = event.NewLog(settings.Node, 1, time.Now)
		d.Recording.RecordTo(file)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			changed, err := platform.LoadSettings(c.Settings)
			if err != nil {
				logger.WithError(err).Error("the changed settings are invalid; the previous ones remain in effect")
				continue
			}
			d.Reload(changed)
		}
	}()
	return d.Run(ctx)
}
