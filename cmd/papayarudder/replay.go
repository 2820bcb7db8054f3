package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/trace"
)

// replayCommand carries out recorded dispatch steps anew and compares the
// decisions; a difference makes the exit code 1.
type replayCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"recordings, see the setting dispatch-file"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	for _, path := range c.Files {
		events, err := readRecording(path)
		if err != nil {
			return err
		}
		summary, err := trace.Replay(events)
		if err != nil {
			return errors.Wrap(err, path)
		}
		fmt.Fprintf(out, "%s: %d steps of %d queues replayed to the same decisions: %d grants", path, summary.Steps, summary.Pools, summary.Grants)
		for _, reason := range slices.Sorted(maps.Keys(summary.Refusals)) {
			fmt.Fprintf(out, ", %d %s", summary.Refusals[reason], reason)
		}
		fmt.Fprintln(out)
	}
	return nil
}
