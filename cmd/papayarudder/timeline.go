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

// timelineCommand merges the time lines of all processes that the asked one
// knows of, and of recordings.
type timelineCommand struct {
	remote
	Files  []string `arg:"positional" placeholder:"FILE" help:"recordings to merge in"`
	Object string   `arg:"--object" help:"only events about this object"`
}

func (c *timelineCommand) run(ctx context.Context, out io.Writer) error {
	parts, err := c.remoteParts(ctx)
	if err != nil {
		return err
	}
	for _, path := range c.Files {
		part, err := readRecording(path)
		if err != nil {
			return err
		}
		parts = append(parts, part)
	}
	events := event.Merge(parts...)
	if c.Object != "" {
		events = about(events, c.Object)
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

// remoteParts asks every live process. One that does not answer is named on
// standard error; the rest is printed all the same.
func (c *timelineCommand) remoteParts(ctx context.Context) ([][]event.Event, error) {
	members, err := c.client().Members(ctx)
	if err != nil {
		return nil, err
	}
	var parts [][]event.Event
	for _, m := range members {
		addr, err := netip.ParseAddrPort(m.Admin)
		if err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
		part, err := admin.NewClient(addr, c.Timeout).Timeline(ctx, 0)
		if err != nil {
			fmt.Fprintf(os.Stderr, "warning: no time line from %s: %v\n", m.Name, err)
			continue
		}
		parts = append(parts, part)
	}
	return parts, nil
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

func about(events []event.Event, object string) []event.Event {
	var kept []event.Event
	for _, e := range events {
		if e.Object == object {
			kept = append(kept, e)
		}
	}
	return kept
}
