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

// explainCommand prints the log lines about one job, worker, host or pool from
// the logs of several processes, ordered by time.
type explainCommand struct {
	ID   string   `arg:"positional,required" help:"id of a job, a worker, a host or a pool"`
	Logs []string `arg:"positional,required" placeholder:"LOG" help:"log files of processes, - for standard input"`
}

// logLine is one parsed log line about the requested ID.
type logLine struct {
	time   string
	host   string
	text   string
	fields string
}

// errNoLogLines is returned if no log line is about the requested ID.
var errNoLogLines = errors.New("the logs say nothing about it")

const maxLogLine = 1 << 20 // bytes

func (c *explainCommand) run(_ context.Context, out io.Writer) error {
	var matches []logLine
	for _, path := range c.Logs {
		lines, err := c.read(path)
		if err != nil {
			return err
		}
		matches = append(matches, lines...)
	}
	if len(matches) == 0 {
		return errors.Wrap(errNoLogLines, c.ID)
	}
	slices.SortStableFunc(matches, func(x, y logLine) int { return strings.Compare(x.time, y.time) })
	for _, l := range matches {
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
		defer func() { _ = opened.Close() }() // the file is only read
		file = opened
	}
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, found := c.parse(scanner.Text()); found {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", path)
}

// parse parses a log line, which may have other text before its JSON object,
// and reports whether one of its fields begins with the requested ID.
func (c *explainCommand) parse(line string) (logLine, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 || !strings.Contains(line, c.ID) {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
		return logLine{}, false // not one of the system's log lines, or truncated
	}
	remove := func(name string) string {
		value := fields[name]
		delete(fields, name)
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	}
	l := logLine{time: remove("time"), host: remove("host"), text: remove("msg")}
	delete(fields, "level")
	var parts []string
	found := false
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fmt.Sprint(fields[name])
		if fields[name] == nil {
			continue
		}
		found = found || strings.HasPrefix(value, c.ID)
		parts = append(parts, name+"="+value)
	}
	l.fields = strings.Join(parts, " ")
	return l, found
}
