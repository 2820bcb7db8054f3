package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/event"
)

// timelineCommand merges the timelines of all processes that are members
// according to the one that is asked, and recordings.
type timelineCommand struct {
	remote
	Files  []string `arg:"positional" placeholder:"FILE" help:"recordings to merge in"`
	Object string   `arg:"--object" help:"only events about this object"`
}

func (c *timelineCommand) run(ctx context.Context, out io.Writer) error {
	timelines, err := c.fetchTimelines(ctx)
	if err != nil {
		return err
	}
	for _, path := range c.Files {
		timeline, err := readRecording(path)
		if err != nil {
			return err
		}
		timelines = append(timelines, timeline)
	}
	events := event.Merge(timelines...)
	if c.Object != "" {
		events = filterByObject(events, c.Object)
	}
	if c.JSON {
		return event.Write(out, events)
	}
	for _, e := range events {
		at := e.At.UTC().Format("2006-01-02T15:04:05.000000Z")
		fmt.Fprintf(out, "%s  %-16s %-18s %-24s %6d  %s\n", at, e.Process, e.Kind, e.Object, e.Epoch, e.Cause)
	}
	return nil
}

// fetchTimelines returns the timeline of every live process. A process that does
// not answer is named on standard error and left out.
func (c *timelineCommand) fetchTimelines(ctx context.Context) ([][]event.Event, error) {
	members, err := c.client().Members(ctx)
	if err != nil {
		return nil, err
	}
	var timelines [][]event.Event
	for _, m := range members {
		addr, err := netip.ParseAddrPort(m.Admin)
		if err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
		timeline, err := admin.NewClient(addr, c.Timeout).Timeline(ctx, 0)
		if err != nil {
			fmt.Fprintf(os.Stderr, "warning: no timeline from %s: %v\n", m.Name, err)
			continue
		}
		timelines = append(timelines, timeline)
	}
	return timelines, nil
}

func readRecording(path string) ([]event.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open recording")
	}
	defer file.Close()
	events, err := event.Read(file)
	return events, errors.Wrap(err, path)
}

func filterByObject(events []event.Event, object string) []event.Event {
	var kept []event.Event
	for _, e := range events {
		if e.Object == object {
			kept = append(kept, e)
		}
	}
	return kept
}
