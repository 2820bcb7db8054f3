package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
)

// whereCommand tells where a job would go now, without submitting it.
type whereCommand struct {
	remote
	Queue   string `arg:"--queue" help:"name of the queue to which the job of FILE would be submitted"`
	Workers bool   `arg:"--workers" help:"list each worker"`
	Job     string `arg:"positional,required" placeholder:"FILE|ID" help:"with --queue a job as JSON, otherwise the id of a submitted one"`
}

func (c *whereCommand) run(ctx context.Context, out io.Writer) error {
	where, err := c.ask(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, where)
	}
	for _, s := range where.Steps {
		fmt.Fprintf(out, "step %d, %d tasks of %d millicores and %d MB, %s, in pool %s: %s\n", s.Step, s.Tasks, s.Millicores, s.MemoryMB, s.Class, where.Pool, outcome(s))
		fmt.Fprintf(out, "  before it: %d waiting steps, %d millicores\n", s.StepsAhead, s.MillicoresAhead)
		fmt.Fprintf(out, "  workers: %s\n", countObstacles(s.Workers))
		if c.Workers {
			if err := printWorkers(out, s.Workers); err != nil {
				return err
			}
		}
	}
	if len(where.Steps) == 0 {
		fmt.Fprintln(out, "no step is left")
	}
	return nil
}

func (c *whereCommand) ask(ctx context.Context) (admin.WhereWire, error) {
	if c.Queue == "" {
		return c.client().WhereJob(ctx, c.Job)
	}
	data, err := os.ReadFile(c.Job)
	if err != nil {
		return admin.WhereWire{}, errors.Wrap(err, "read job")
	}
	return c.client().Where(ctx, c.Queue, data)
}

// outcome tells where a step's first task would start, and when.
func outcome(s admin.WhereStepWire) string {
	switch {
	case s.Blocked != "":
		return "does not start: " + s.Blocked
	case s.Worker != "":
		return "starts now on " + s.Worker
	case s.StartInMS == nil:
		return "waits: no worker will have room"
	case s.ErrorMS == 0:
		return fmt.Sprintf("waits, start expected in %d ms", *s.StartInMS)
	}
	return fmt.Sprintf("waits, start expected in %d ms, at most %d ms later for 95%% of tasks", *s.StartInMS, s.ErrorMS)
}

// countObstacles tells how many workers each obstacle rules out.
func countObstacles(workers []admin.WhereWorkerWire) string {
	counts := map[string]int{}
	for _, w := range workers {
		counts[obstacleText(w)]++
	}
	var parts []string
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[text], text))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func obstacleText(w admin.WhereWorkerWire) string {
	if w.Obstacle == "" {
		return "can start it"
	}
	return w.Obstacle
}

func printWorkers(out io.Writer, workers []admin.WhereWorkerWire) error {
	rows := [][]string{{"worker", "free-millicores", "free-memory-mb", "verdict", "start-in-ms"}}
	for _, w := range workers {
		start := "-"
		if w.StartInMS != nil {
			start = fmt.Sprint(*w.StartInMS)
		}
		rows = append(rows, []string{w.ID, fmt.Sprint(w.FreeMillicores), fmt.Sprint(w.FreeMemoryMB), obstacleText(w), start})
	}
	return printTable(out, rows)
}
