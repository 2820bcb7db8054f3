package trace_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/internal/trace"
)

func readRecording(t *testing.T, name string) []event.Event {
	t.Helper()
	file, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	events, err := event.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// The recording is from a running entry whose pool of four slots received five times
// the mean load: of 191 requests, 111 were granted, 52 refused because the queue was
// full and 28 refused because their deadline passed.
func TestRecordedFloodReplays(t *testing.T) {
	summary, err := trace.ReplayQueues(readRecording(t, "flood-of-four-slots.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if summary.Grants != 111 || summary.Refusals[sched.QueueFull] != 52 || summary.Refusals[sched.DeadlinePast] != 28 {
		t.Errorf("replayed to %+v", summary)
	}
}

// A recording with an altered decision must be rejected.
func TestReplayRejectsAlteredDecision(t *testing.T) {
	events := readRecording(t, "flood-of-four-slots.jsonl")
	for i := range events {
		if strings.Contains(events[i].Cause, `"worker":"h1"`) {
			events[i].Cause = strings.ReplaceAll(events[i].Cause, `"worker":"h1"`, `"worker":"h2"`)
			break
		}
	}
	if _, err := trace.ReplayQueues(events); !errors.Is(err, trace.ErrDiffers) {
		t.Errorf("got %v, want ErrDiffers", err)
	}
}

func TestReplayOfMalformedStep(t *testing.T) {
	events := []event.Event{{Kind: event.DispatchStep, Object: "p", Cause: "{"}}
	if _, err := trace.ReplayQueues(events); !errors.Is(err, trace.ErrMalformed) {
		t.Errorf("got %v, want ErrMalformed", err)
	}
}
