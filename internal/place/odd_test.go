package place_test

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Guards against sums that overflow: with the largest jobs that are valid, a pool's demand was
// negative, and a job that can't be done in time was not refused.
func TestLargestJobsOverflowNoSum(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	b := place.NewBoard(place.DefaultPolicy(), 0)
	b.SetWorker(place.Worker{Key: "w@1", ID: "w", Size: jobs.Resources{Millicores: 1}})
	largest := jobs.Job{Submitted: now, Slack: 1e300, Steps: make([]jobs.Step, 32)}
	for i := range largest.Steps {
		largest.Steps[i] = jobs.Step{Count: 4096, Size: jobs.Resources{Millicores: 1_000_000, MemoryMB: 1 << 24}, Estimate: 30 * 24 * time.Hour}
	}
	for _, id := range []jobs.ID{"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004"} {
		largest.ID = id
		largest.Slack = max(1, 1e301-largest.Slack) // with and without slack
		if err := largest.Validate(); err != nil {
			t.Fatal(err)
		}
		b.Add(largest, jobs.NewProgress(largest), now)
	}
	b.Decide(now)
	if l := b.Load(now.Add(time.Millisecond)); l.Density < 0 || l.Rate < 0 || l.Wanted < 0 {
		t.Errorf("load %+v", l)
	}
	next := jobs.Job{ID: "0000000000000009", Submitted: now, Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 1000}, Estimate: time.Second}}}
	if hopeless, _ := b.CannotFinishInTime(next, now); !hopeless {
		t.Error("a job that waits for years is not refused")
	}
}
