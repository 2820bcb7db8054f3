// Command capacity measures how the cost of each role grows with the size of the
// system, and writes the tables of docs/CAPACITY.md.
//
// # Usage
//
//	capacity --page docs/CAPACITY.md
//
// It prints each limit that the target size exceeds. The exit code is 0 even then,
// because the page discusses such limits.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/scale"
)

type arguments struct {
	Page string `arg:"--page" default:"docs/CAPACITY.md" help:"page whose tables are written"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args.Page); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	page := string(data)
	slopes := scale.Slopes()
	lines := scale.Measure(slopes)
	rows := scale.Rows(lines, scale.TwoYears())
	total := scale.Total(rows)
	tables := []struct{ name, text string }{
		{"slopes", scale.SlopeTable(slopes, lines)},
		{"roles", scale.RoleTable(append(rows, total))},
		{"limits", scale.LimitTable(total)},
		{"moments", scale.MomentTable(scale.Moments(lines, scale.TwoYears()))},
	}
	for _, t := range tables {
		if page, err = scale.Replace(page, t.name, t.text); err != nil {
			return err
		}
	}
	for _, exceeded := range scale.ExceededLimits(total) {
		fmt.Println("over its limit:", exceeded)
	}
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "write the page")
}
