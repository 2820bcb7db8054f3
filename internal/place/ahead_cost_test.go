package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// peakBoard returns a board at a load peak: full workers, and waiting steps of which every tenth is large.
func peakBoard(on bool, workers, waiting int) (*testBoard, []place.StartOrder) {
	f := newTestBoard(0, workers)
	f.SetLookAhead(on)
	number := 0
	add := func(step jobs.Step) {
		number++
		j := newJob(0, step)
		j.ID, j.Submitted = jobs.ID(fmt.Sprintf("%016x", number)), f.now
		f.add(j)
	}
	for range workers {
		add(batch(8, 500))
	}
	running := f.decide()
	f.now = f.now.Add(100 * time.Millisecond)
	for i := range waiting {
		if i%10 == 5 {
			add(batch(2, 3000))
		} else {
			add(batch(2, 500+i%7*100))
		}
	}
	f.decide()
	return f, running
}

// Load: a load peak with large steps, look-ahead on. Guards against decisions that cost the product of
// the waiting steps and the reservations, or look at all that runs.
func TestDecisionCostWithLookAhead(t *testing.T) {
	const (
		looks   = 4           // at each worker and each waiting step
		scanned = 2 * 32 * 10 // workers compared for a reservation, with what runs there
	)
	for _, tt := range []struct{ workers, waiting int }{{85, 300}, {8 * 85, 8 * 300}, {11000, 4000}} {
		f, running := peakBoard(true, tt.workers, tt.waiting)
		if len(f.Reservations()) == 0 {
			t.Fatalf("%d workers: nothing is reserved", tt.workers)
		}
		f.endAttempt(running[0], jobs.Done)
		before := f.Examined()
		f.decide()
		if have, want := f.Examined()-before, uint64(looks*(tt.workers+tt.waiting)+scanned); have > want {
			t.Errorf("%d workers, %d waiting steps: looked at %d for one end, want at most %d", tt.workers, tt.waiting, have, want)
		}
	}
}

// BenchmarkDecision measures a decision after ends on some workers at a load peak.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{700, 11000} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/look-ahead=%v", workers, on), func(b *testing.B) {
				const ends = 20
				f, running := peakBoard(on, workers, 3*workers)
				for b.Loop() {
					b.StopTimer()
					if len(running) < ends {
						f, running = peakBoard(on, workers, 3*workers)
					}
					for _, s := range running[:ends] {
						f.endAttempt(s, jobs.Done)
					}
					running = running[ends:]
					b.StartTimer()
					started := f.Decide(f.now).Starts
					b.StopTimer()
					for _, s := range started {
						f.Started(s.Worker, s.Task, s.Attempt, f.now)
					}
					running = append(running, started...)
					b.StartTimer()
				}
			})
		}
	}
}
