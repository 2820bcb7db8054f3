// Command redcheck reads the output of "go test -json" and decides whether the
// run is good: exactly the tests that are listed in KNOWN-RED.txt may fail.
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

// testID names a test.
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

// tally is what a run came to.
type tally struct {
	passed  map[testID]bool
	failed  map[testID]bool
	broken  map[string]bool // packages that failed as a whole
	skipped int
	output  map[testID][]string
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
	known := readList(string(list))
	t, err := readRun(in)
	if err != nil {
		return err
	}
	return t.report(known, out)
}

func readList(text string) map[testID]bool {
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

func readRun(in io.Reader) (*tally, error) {
	t := &tally{passed: map[testID]bool{}, failed: map[testID]bool{}, broken: map[string]bool{}, output: map[testID][]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e testEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "not a line of go test -json: %s", lines.Text())
		}
		t.add(e)
	}
	return t, errors.Wrap(lines.Err(), "read the run")
}

func (t *tally) add(e testEvent) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		if e.Package == "" {
			id.Package = e.ImportPath
		}
		t.output[id] = append(t.output[id], e.Output)
	case "pass":
		if e.Test != "" {
			t.passed[id] = true
		}
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "build-fail":
		t.broken[e.ImportPath] = true
	case "fail":
		if e.Test != "" {
			t.failed[id] = true
		} else {
			t.broken[e.Package] = true
		}
	}
}

// report prints the failures and returns an error unless all are known.
func (t *tally) report(known map[testID]bool, out io.Writer) error {
	unexpected := 0
	explained := map[string]bool{}
	for _, id := range sorted(t.failed) {
		explained[id.Package] = true
		if known[id] || t.onlyKnownBelow(id, known) {
			fmt.Fprintf(out, "known red: %s %s\n", id.Package, id.Name)
			continue
		}
		unexpected++
		fmt.Fprintf(out, "FAILED: %s %s\n%s", id.Package, id.Name, strings.Join(t.output[id], ""))
	}
	for name := range t.broken {
		if explained[name] {
			continue
		}
		unexpected++
		fmt.Fprintf(out, "FAILED: package %s\n%s", name, strings.Join(t.output[testID{name, ""}], ""))
	}
	for id := range known {
		if t.passed[id] {
			fmt.Fprintf(out, "listed as red, but passed: %s %s\n", id.Package, id.Name)
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", len(t.passed), len(t.failed), t.skipped)
	if unexpected > 0 {
		return errors.Newf("%d failures are not listed in KNOWN-RED.txt", unexpected)
	}
	if len(t.passed) == 0 {
		return errors.New("no test passed")
	}
	return nil
}

// onlyKnownBelow reports whether a test failed only because subtests did that
// are all known.
func (t *tally) onlyKnownBelow(id testID, known map[testID]bool) bool {
	below := 0
	for other := range t.failed {
		if other.Package != id.Package || !strings.HasPrefix(other.Name, id.Name+"/") {
			continue
		}
		if !known[other] {
			return false
		}
		below++
	}
	return below > 0
}

func sorted(ids map[testID]bool) []testID {
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
