package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExperimentSession simulates and records a scenario, replays the recording,
// and checks that invalid scenario files are refused with all their errors.
func TestExperimentSession(t *testing.T) {
	recording := filepath.Join(t.TempDir(), "placements.jsonl")
	var session bytes.Buffer
	for _, args := range [][]string{
		{"experiment", "--seeds", "2", "--record", recording, "testdata/rack-lost.ini"},
		{"experiment", "--seeds", "1", "--json", "testdata/rack-lost.ini"},
		{"replay", recording},
		{"experiment", "--seeds", "0", "testdata/rack-lost.ini"},
		{"experiment", "testdata/none.ini"},
		{"experiment", "testdata/jobs.golden"},
	} {
		commandLine := bytes.ReplaceAll(joinArgs(args), []byte(recording), []byte("placements.jsonl"))
		session.WriteString("$ papayarudder " + string(commandLine) + "\n")
		var out, errOut bytes.Buffer
		code := run(t.Context(), args, &out, &errOut)
		text := append(out.Bytes(), errOut.Bytes()...)
		session.Write(bytes.ReplaceAll(text, []byte(recording), []byte("placements.jsonl")))
		session.WriteString("exit code " + string(rune('0'+code)) + "\n\n")
	}
	goldie.New(t).Assert(t, "experiment", session.Bytes())
	if info, err := os.Stat(recording); err != nil || info.Size() == 0 {
		t.Errorf("recording: %v, %v", info, err)
	}
}

func joinArgs(args []string) []byte {
	parts := make([][]byte, len(args))
	for i, a := range args {
		parts[i] = []byte(a)
	}
	return bytes.Join(parts, []byte(" "))
}
