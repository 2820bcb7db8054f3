package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/conf"
	"github.com/papayarudder/papayarudder/internal/node"
	"github.com/papayarudder/papayarudder/internal/plat"
)

// serveCommand runs one process of the system until SIGTERM or SIGINT, then
// withdraws from the balancer, finishes the requests in flight and releases its
// lease.
type serveCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file; see check-settings --keys"`
}

func (c *serveCommand) run(ctx context.Context, _ io.Writer) error {
	settings, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	platform := plat.Dial(settings.PlatformAddr, settings.PlatformTimeout)
	n, err := node.New(settings, platform, newLogger(settings))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func newLogger(settings conf.Settings) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	if settings.LogFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger
}

// errSettings is returned for an invalid settings file.
var errSettings = errors.New("the settings have faults")

func loadSettings(path string) (conf.Settings, error) {
	settings, faults := conf.Load(path)
	if len(faults) == 0 {
		return settings, nil
	}
	text := ""
	for _, f := range faults {
		text += fmt.Sprintf("\n  %s", f)
	}
	return settings, errors.Newf("%w: %s:%s", errSettings, path, text)
}
