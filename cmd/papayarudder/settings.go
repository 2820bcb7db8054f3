package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/conf"
)

// settingsCommand checks settings files and reports all errors of each file.
type settingsCommand struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"settings files"`
	Keys  bool     `arg:"--keys" help:"print all keys with their defaults and what is allowed"`
}

func (c *settingsCommand) run(_ context.Context, out io.Writer) error {
	if c.Keys {
		return printKeys(out)
	}
	if len(c.Files) == 0 {
		return errors.Wrap(errUsage, "name at least one settings file, or --keys")
	}
	var failed error
	for _, path := range c.Files {
		if _, err := loadSettings(path); err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		fmt.Fprintf(out, "%s: good\n", path)
	}
	return failed
}

func printKeys(out io.Writer) error {
	rows := [][]string{{"section", "key", "default", "allowed", "meaning"}}
	for _, k := range conf.Keys() {
		defaultValue := k.Default
		if defaultValue == "" && !k.Optional {
			defaultValue = "(required)"
		}
		rows = append(rows, []string{k.Section, k.Name, defaultValue, k.Allowed, k.Help})
	}
	return printTable(out, rows)
}
