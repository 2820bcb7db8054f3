package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/trace"
)

// replayCommand repeats recorded steps of dispatch queues and of placement and
// compares the decisions with the recorded ones. If they differ, the exit code
// is 1.
type replayCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"recordings, see the setting dispatch-file, and --record of daemon and experiment"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	for _, path := range c.Files {
		events, err := readRecording(path)
		if err != nil {
			return err
		}
		summary, err := trace.ReplayQueues(events)
		if err != nil {
			return errors.Wrap(err, path)
		}
		if summary.Pools > 0 {
			printQueueSummary(path, summary, out)
		}
		if err := replayPlacement(path, events, out); err != nil {
			return err
		}
	}
	return nil
}

func printQueueSummary(path string, summary trace.QueueSummary, out io.Writer) {
	fmt.Fprintf(out, "%s: %d steps of %d queues replayed to the same decisions: %d grants", path, summary.Steps, summary.Pools, summary.Grants)
	for _, reason := range slices.Sorted(maps.Keys(summary.Refusals)) {
		fmt.Fprintf(out, ", %d %s", summary.Refusals[reason], reason)
	}
	fmt.Fprintln(out)
}

func replayPlacement(path string, events []event.Event, out io.Writer) error {
	summary, err := trace.ReplayBoards(events, place.DefaultPolicy())
	if err != nil {
		return errors.Wrap(err, path)
	}
	if summary.Boards == 0 {
		return nil
	}
	fmt.Fprintf(out, "%s: %d steps of %d pools replayed to the same orders: %d starts, %d stops", path, summary.Steps, summary.Boards, summary.Starts, summary.Stops)
	for _, outcome := range slices.Sorted(maps.Keys(summary.Ended)) {
		fmt.Fprintf(out, ", %d %s", summary.Ended[outcome], outcome)
	}
	fmt.Fprintln(out)
	return nil
}
