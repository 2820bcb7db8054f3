// Command redcheck reads the output of "go test -json" and decides whether the
// run passes: only the tests that are listed in KNOWN-RED.txt may fail.
//
// # Usage
//
//	go test -json ./... | redcheck KNOWN-RED.txt
//
// Entries of the list are paragraphs; the line "test: PACKAGE NAME" of each
// names its test. Listed tests that fail are printed, and so are listed tests
// that pass, which should be taken off the list.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// testID identifies a test by its package and name.
type testID struct {
	Package string
	Name    string
}

// testEvent is a line of "go test -json".
type testEvent struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// results holds the outcome of a test run.
type results struct {
	passed         map[testID]bool
	failed         map[testID]bool
	failedPackages map[string]bool // packages that failed to build or failed as a whole
	skipped        int
	output         map[testID][]string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: redcheck KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(listPath string, in io.Reader, out io.Writer) error {
	list, err := os.ReadFile(listPath)
	if err != nil {
		return errors.Wrap(err, "read the list")
	}
	known := parseKnown(string(list))
	r, err := readResults(in)
	if err != nil {
		return err
	}
	return r.report(known, out)
}

func parseKnown(text string) map[testID]bool {
	known := map[testID]bool{}
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, "test:")
		fields := strings.Fields(rest)
		if found && len(fields) == 2 {
			known[testID{fields[0], fields[1]}] = true
		}
	}
	return known
}

func readResults(in io.Reader) (*results, error) {
	r := &results{passed: map[testID]bool{}, failed: map[testID]bool{}, failedPackages: map[string]bool{}, output: map[testID][]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e testEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "not a line of go test -json: %s", lines.Text())
		}
		r.add(e)
	}
	return r, errors.Wrap(lines.Err(), "read the run")
}

func (r *results) add(e testEvent) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		if e.Package == "" {
			id.Package = e.ImportPath
		}
		r.output[id] = append(r.output[id], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed[id] = true
		}
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "build-fail":
		r.failedPackages[e.ImportPath] = true
	case "fail":
		if e.Test != "" {
			r.failed[id] = true
		} else {
			r.failedPackages[e.Package] = true
		}
	}
}

// report prints the failures and returns an error if one of them is not known or
// if no test passed.
func (r *results) report(known map[testID]bool, out io.Writer) error {
	unexpected := 0
	failedTestIn := map[string]bool{}
	for _, id := range sortedIDs(r.failed) {
		failedTestIn[id.Package] = true
		if known[id] || r.onlyKnownSubtestsFailed(id, known) {
			fmt.Fprintf(out, "known red: %s %s\n", id.Package, id.Name)
			continue
		}
		unexpected++
		fmt.Fprintf(out, "FAILED: %s %s\n%s", id.Package, id.Name, strings.Join(r.output[id], ""))
	}
	for name := range r.failedPackages {
		if failedTestIn[name] {
			continue
		}
		unexpected++
		fmt.Fprintf(out, "FAILED: package %s\n%s", name, strings.Join(r.output[testID{name, ""}], ""))
	}
	for id := range known {
		if r.passed[id] {
			fmt.Fprintf(out, "listed as red, but passed: %s %s\n", id.Package, id.Name)
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", len(r.passed), len(r.failed), r.skipped)
	if unexpected > 0 {
		return errors.Newf("%d failures are not listed in KNOWN-RED.txt", unexpected)
	}
	if len(r.passed) == 0 {
		return errors.New("no test passed")
	}
	return nil
}

// onlyKnownSubtestsFailed reports whether at least one subtest of the test failed
// and all failed subtests are known.
func (r *results) onlyKnownSubtestsFailed(id testID, known map[testID]bool) bool {
	failedSubtests := 0
	for other := range r.failed {
		if other.Package != id.Package || !strings.HasPrefix(other.Name, id.Name+"/") {
			continue
		}
		if !known[other] && !r.onlyKnownSubtestsFailed(other, known) {
			return false
		}
		failedSubtests++
	}
	return failedSubtests > 0
}

func sortedIDs(ids map[testID]bool) []testID {
	var all []testID
	for id := range ids {
		all = append(all, id)
	}
	slices.SortFunc(all, func(a, b testID) int {
		if order := strings.Compare(a.Package, b.Package); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}
