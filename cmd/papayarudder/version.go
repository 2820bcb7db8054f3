package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// version is the released version that this source is part of.
const version = "0.1.0-dev"

// versionCommand prints the version and the toolchain.
type versionCommand struct{}

func (c *versionCommand) run(_ context.Context, out io.Writer) error {
	toolchain := "unknown toolchain"
	if info, known := debug.ReadBuildInfo(); known {
		toolchain = info.GoVersion
	}
	_, err := fmt.Fprintf(out, "papayarudder %s (%s)\n", version, toolchain)
	return err
}
