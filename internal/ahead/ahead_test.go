package ahead_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/ahead"
	"github.com/papayarudder/papayarudder/internal/jobs"
)

var now = time.Unix(1_700_000_000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func cores(n int) jobs.Resources { return jobs.Resources{Millicores: 1000 * n, MemoryMB: 100 * n} }

func TestEnd(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  ahead.Run
		want time.Duration // from now
	}{
		{"nothing known", ahead.Run{Since: now.Add(-ms(400))}, ms(600)},
		{"declared", ahead.Run{Since: now.Add(-ms(400)), Estimate: ms(900)}, ms(500)},
		{"tasks of the step took longer than declared", ahead.Run{Since: now.Add(-ms(400)), Estimate: ms(500), Typical: ms(1500)}, ms(1100)},
		{"a slow worker", ahead.Run{Since: now.Add(-ms(400)), Percent: 20, ListedAt: now.Add(-ms(200)), Estimate: ms(500)}, ms(600)},
		{"too little progress to go by", ahead.Run{Since: now.Add(-ms(400)), Percent: 5, ListedAt: now.Add(-ms(200)), Estimate: ms(900)}, ms(500)},
		{"after a takeover, without progress since", ahead.Run{Since: now, FirstPercent: 75, Percent: 75, ListedAt: now, Estimate: ms(1000)}, ms(250)},
		{"after a takeover, with progress since", ahead.Run{Since: now.Add(-ms(100)), FirstPercent: 60, Percent: 80, ListedAt: now}, ms(100)},
		{"overdue", ahead.Run{Since: now.Add(-ms(3000)), Estimate: ms(1000)}, ms(1500)},
		{"just overdue", ahead.Run{Since: now.Add(-ms(10)), Estimate: ms(5)}, ms(50)},
	} {
		if have := tt.run.End(now).Sub(now); have != tt.want {
			t.Errorf("%s: ends in %v, want %v", tt.name, have, tt.want)
		}
	}
}

func TestReserve(t *testing.T) {
	runs := []ahead.Run{
		{Claim: cores(2), Since: now, Estimate: ms(300)},
		{Claim: cores(1), Since: now, Estimate: ms(100)},
		{Claim: cores(4), Since: now, Estimate: ms(900)},
	}
	timeline := ahead.NewTimeline(cores(1), runs, now)
	r, ok := ahead.Reserve(timeline, cores(3), now)
	if want := (ahead.Reservation{Claim: cores(3), Start: now.Add(ms(300)), Spare: cores(1)}); !ok || r != want {
		t.Fatalf("reserved %+v, %v, want %+v", r, ok, want)
	}
	for _, tt := range []struct {
		claim jobs.Resources
		end   time.Duration
		want  bool
	}{
		{cores(1), ms(5000), true}, // beside the claim
		{cores(2), ms(300), true},  // ends before
		{cores(2), ms(301), false},
	} {
		if have := r.Admits(tt.claim, now.Add(tt.end)); have != tt.want {
			t.Errorf("admits %v for %v: %v, want %v", tt.claim, tt.end, have, tt.want)
		}
	}
	if _, ok := ahead.Reserve(timeline, cores(9), now); ok {
		t.Error("reserved room that the worker does not have")
	}
}

// A task that a reservation admits and that ends when expected must not delay its start.
func TestAdmittedTasksDelayNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runs []ahead.Run
		for range rapid.IntRange(0, 6).Draw(t, "runs") {
			runs = append(runs, ahead.Run{Claim: cores(rapid.IntRange(1, 4).Draw(t, "cores")), Since: now, Estimate: ms(rapid.IntRange(1, 1000).Draw(t, "ms"))})
		}
		free := cores(rapid.IntRange(0, 4).Draw(t, "free"))
		r, ok := ahead.Reserve(ahead.NewTimeline(free, runs, now), cores(rapid.IntRange(1, 12).Draw(t, "claim")), now)
		if !ok {
			t.Skip("never fits")
		}
		other := ahead.Run{Claim: cores(rapid.IntRange(1, 4).Draw(t, "other")), Since: now, Estimate: ms(rapid.IntRange(1, 1500).Draw(t, "other-ms"))}
		if !other.Claim.Fits(free) || !r.Admits(other.Claim, other.End(now)) {
			t.Skip("does not start")
		}
		later, ok := ahead.Reserve(ahead.NewTimeline(free.Sub(other.Claim), append(runs, other), now), r.Claim, now)
		if !ok || later.Start.After(r.Start) {
			t.Fatalf("starts at %v instead of %v after a task of %v ms", later.Start.Sub(now), r.Start.Sub(now), other.Estimate.Milliseconds())
		}
	})
}

func TestQuantileFollowsItsStream(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, share := range []float64{0.5, 0.95} {
		q := ahead.NewQuantile(share, 1)
		for _, scale := range []float64{10, 0.1} {
			for range 2000 {
				q.Add(scale * random.Float64())
			}
			below := 0
			for range 2000 {
				sample := scale * random.Float64()
				if sample <= q.Value() {
					below++
				}
				q.Add(sample)
			}
			if have := float64(below) / 2000; math.Abs(have-share) > 0.02 {
				t.Errorf("%v of samples up to %v are below the estimate, want %v", have, scale, share)
			}
		}
	}
}
