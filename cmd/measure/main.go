// Command measure runs the measurements of docs/MEASURES.md and writes their
// tables.
//
// # Usage
//
//	measure --page docs/MEASURES.md delay floods
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/delay"
	"github.com/papayarudder/papayarudder/internal/flood"
	"github.com/papayarudder/papayarudder/internal/scale"
)

type arguments struct {
	Page   string   `arg:"--page" default:"docs/MEASURES.md" help:"page whose tables are written"`
	Tables []string `arg:"positional" help:"delay, floods; all if none is named"`
}

// table is one table of the page and the measurement that produces it.
type table struct {
	name    string
	measure func() (string, error)
}

func tables() []table {
	return []table{
		{"delay", delay.Table},
		{"floods", func() (string, error) { return flood.Table(flood.Floods()), nil }},
	}
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	data, err := os.ReadFile(args.Page)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	page := string(data)
	for _, t := range tables() {
		if len(args.Tables) > 0 && !slices.Contains(args.Tables, t.name) {
			continue
		}
		text, err := t.measure()
		if err != nil {
			return errors.Wrap(err, t.name)
		}
		if page, err = scale.Replace(page, t.name, text); err != nil {
			return err
		}
	}
	return errors.Wrap(os.WriteFile(args.Page, []byte(page), 0o644), "write the page")
}
