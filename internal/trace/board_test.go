package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/model"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/trace"
)

const rackLostRecording = "rack-lost-beside-a-sick-worker.jsonl"

// The recording is from a run of the model: a rack of two workers is unreachable for
// 3 s, a worker of the other rack fails all its tasks for 2 s, and one start in twenty
// gets no answer. 142 tasks succeed.
func TestRecordedPlacementsReplay(t *testing.T) {
	summary, err := trace.ReplayBoards(readRecording(t, rackLostRecording), place.DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	if summary.Boards != 1 || summary.Starts != 171 || summary.Ended[jobs.Done] != 142 || summary.Ended[jobs.Failed] != 2 {
		t.Errorf("replayed to %+v", summary)
	}
}

// A recording whose decisions were altered, or which is damaged, must be rejected.
func TestReplayBoardsRejectsAlteredRecordings(t *testing.T) {
	for _, tt := range []struct {
		name   string
		damage func(events []event.Event) []event.Event
		want   error
	}{
		{"another worker", func(events []event.Event) []event.Event {
			for i := range events {
				if strings.Contains(events[i].Cause, `"starts":[{"worker":"i-1@1"`) {
					events[i].Cause = strings.Replace(events[i].Cause, `"starts":[{"worker":"i-1@1"`, `"starts":[{"worker":"i-2@1"`, 1)
					break
				}
			}
			return events
		}, trace.ErrDiffers},
		{"no placement start", func(events []event.Event) []event.Event { return events[1:] }, trace.ErrMalformed},
		{"invalid JSON", func(events []event.Event) []event.Event { events[5].Cause = "{"; return events }, trace.ErrMalformed},
		{"invalid task name", func(events []event.Event) []event.Event {
			for i := range events {
				if strings.Contains(events[i].Cause, `"kind":"started"`) {
					events[i].Cause = strings.Replace(events[i].Cause, `"task":"0`, `"task":"x`, 1)
					break
				}
			}
			return events
		}, trace.ErrMalformed},
	} {
		if _, err := trace.ReplayBoards(tt.damage(readRecording(t, rackLostRecording)), place.DefaultPolicy()); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Recordings of the example scenarios must replay to the same orders, since decisions
// depend only on the calls of the board.
func TestExamplesReplay(t *testing.T) {
	for _, name := range []string{"sick-workers-in-a-flood", "wave-in-a-flood", "cancelled-and-hopeless"} {
		s, faults := model.Load("../../examples/experiments/" + name + ".ini")
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		s.Fleet.Length /= 3 // keeps the test short
		for _, lookAhead := range []bool{false, true} {
			s.Policies[0].LookAhead = lookAhead
			var recording bytes.Buffer
			model.Record(s, s.Policies[0], 1, &recording)
			events, err := event.Read(&recording)
			if err != nil {
				t.Fatal(err)
			}
			if summary, err := trace.ReplayBoards(events, place.DefaultPolicy()); err != nil || summary.Starts == 0 {
				t.Errorf("%s, look-ahead %v: %+v, %v", name, lookAhead, summary, err)
			}
		}
	}
}
