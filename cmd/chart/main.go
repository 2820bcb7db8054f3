// Command chart draws the results of experiments. It is separate from papayarudder
// so that the processes of the system do not hold fonts in memory.
//
// # Usage
//
//	papayarudder experiment --json examples/experiments/zurich.ini | chart policies.svg
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/papayarudder/papayarudder/internal/chart"
	"github.com/papayarudder/papayarudder/internal/model"
)

func main() {
	var args struct {
		File string `arg:"positional,required" help:"to draw into, .svg, .png or .pdf"`
	}
	arg.MustParse(&args)
	reports, err := model.DecodeReports(os.Stdin)
	if err == nil {
		err = chart.Write(args.File, reports)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
