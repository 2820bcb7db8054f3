package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/model"
)

// experimentCommand simulates scenarios in virtual time under each of their
// policies and prints a table of the results.
type experimentCommand struct {
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"scenarios, see examples/experiments"`
	Seeds  int      `arg:"--seeds" default:"4" help:"how many seeds each policy is played with"`
	Record string   `arg:"--record" placeholder:"FILE" help:"record the first seed's placements of the first scenario's first policy, for replay"`
	JSON   bool     `arg:"--json" help:"print JSON, which cmd/chart draws"`
}

// errScenario is returned for an invalid scenario file.
var errScenario = errors.New("the scenario can't be played")

func (c *experimentCommand) run(ctx context.Context, out io.Writer) error {
	if c.Seeds < 1 {
		return errors.Wrapf(errUsage, "--seeds %d: at least 1", c.Seeds)
	}
	var reports []model.Report
	for _, path := range c.Files {
		s, faults := model.Load(path)
		for _, f := range faults {
			fmt.Fprintf(out, "%s: %s\n", path, f)
		}
		if len(faults) > 0 {
			return errors.Wrapf(errScenario, "%s: %d faults", path, len(faults))
		}
		if c.Record != "" && len(reports) == 0 {
			if err := c.record(s); err != nil {
				return err
			}
		}
		r, err := model.Experiment(ctx, s, c.Seeds)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if c.JSON {
		return model.EncodeReports(out, reports)
	}
	for i, r := range reports {
		if i > 0 {
			fmt.Fprintln(out)
		}
		if err := r.WriteTable(out); err != nil {
			return errors.Wrap(err, "table")
		}
	}
	return nil
}

// record simulates the scenario's first policy with seed 1 and writes the
// placement steps to the recording.
func (c *experimentCommand) record(s model.Scenario) error {
	file, err := os.Create(c.Record)
	if err != nil {
		return errors.Wrap(err, "recording")
	}
	out := bufio.NewWriter(file)
	model.Record(s, s.Policies[0], 1, out)
	return errors.Wrap(errors.CombineErrors(out.Flush(), file.Close()), "recording")
}
