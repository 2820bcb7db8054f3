package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// explainCommand prints the story of one job, worker or host from the logs of
// several processes, in the order of time.
type explainCommand struct {
	ID   string   `arg:"positional,required" help:"id of a job, a worker, a host or a pool"`
	Logs []string `arg:"positional,required" placeholder:"LOG" help:"log files of processes, - for standard input"`
}

// logLine is one line of a log that concerns what is to be explained.
type logLine struct {
	time   string
	host   string
	text   string
	fields string
}

// errNothing is returned if no line of the logs is about the id.
var errNothing = errors.New("the logs say nothing about it")

const maxLogLine = 1 << 20 // bytes

func (c *explainCommand) run(_ context.Context, out io.Writer) error {
	var story []logLine
	for _, path := range c.Logs {
		lines, err := c.read(path)
		if err != nil {
			return err
		}
		story = append(story, lines...)
	}
	if len(story) == 0 {
		return errors.Wrap(errNothing, c.ID)
	}
	slices.SortStableFunc(story, func(x, y logLine) int { return strings.Compare(x.time, y.time) })
	for _, l := range story {
		fmt.Fprintf(out, "%s  %-24s  %s  %s\n", l.time, l.host, l.text, l.fields)
	}
	return nil
}

func (c *explainCommand) read(path string) ([]logLine, error) {
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		defer func() { _ = opened.Close() }() // it was only read
		file = opened
	}
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, about := c.parse(scanner.Text()); about {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", path)
}

// parse reads a line, which may have other text before its JSON object, and
// reports whether it is about the id.
func (c *explainCommand) parse(line string) (logLine, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 || !strings.Contains(line, c.ID) {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
		return logLine{}, false // not a line of ours, or cut off
	}
	take := func(name string) string {
		value := fields[name]
		delete(fields, name)
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	}
	l := logLine{time: take("time"), host: take("host"), text: take("msg")}
	delete(fields, "level")
	var parts []string
	about := false
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fmt.Sprint(fields[name])
		if fields[name] == nil {
			continue
		}
		about = about || strings.HasPrefix(value, c.ID)
		parts = append(parts, name+"="+value)
	}
	l.fields = strings.Join(parts, " ")
	return l, about
}
