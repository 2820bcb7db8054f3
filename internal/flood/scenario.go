package flood

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/sched"
)

const (
	floodFrom = 20 * time.Second
	floodTo   = 30 * time.Second
	runLength = 60 * time.Second
)

// kinds returns the mean load of a pool: three services with three urgencies each,
// which together keep 60% of the slots busy.
func kinds() []Kind {
	var all []Kind
	for _, service := range []string{"label", "stock", "hamper"} {
		for _, u := range []sched.Urgency{sched.Low, sched.Normal, sched.Urgent} {
			all = append(all, Kind{
				Name:    service + "-" + u.String(),
				Service: service,
				Urgency: u,
				Team:    "team",
				Share:   0.6 / 9,
				MeanRun: 100 * time.Millisecond,
				Timeout: 5 * time.Second,
			})
		}
	}
	return all
}

// floodRate multiplies a kind's mean rate during the flood and lowers it to a
// twentieth afterwards.
func floodRate(times float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		switch {
		case since < floodFrom:
			return 1
		case since < floodTo:
			return times
		}
		return 0.05
	}
}

func baseScenario(name string) Scenario {
	return Scenario{Name: name, Workers: 9, SlotsPerWorker: 8, Entries: 8, Kinds: kinds(), Length: runLength, Seed: 1}
}

// Calm is the load without a flood.
func Calm() Scenario { return baseScenario("calm") }

// FloodOf returns the load with some kinds flooding at a multiple of their rate.
func FloodOf(name string, times float64, flooded func(k Kind) bool) Scenario {
	s := baseScenario(name)
	for i := range s.Kinds {
		if flooded(s.Kinds[i]) {
			s.Kinds[i].RateFactor = floodRate(times)
		}
	}
	return s
}

// Floods returns the floods that the users require and harder ones.
func Floods() []Scenario {
	service := func(name string) func(Kind) bool { return func(k Kind) bool { return k.Service == name } }
	urgency := func(u sched.Urgency) func(Kind) bool { return func(k Kind) bool { return k.Urgency == u } }
	failing := FloodOf("least urgent x20, 2 of 9 workers failing all", 20, urgency(sched.Low))
	failing.BrokenWorkers = func(since time.Duration) int {
		if since > floodFrom+2*time.Second && since < floodTo {
			return 2
		}
		return 0
	}
	short := FloodOf("label x5, run times declared 10 times too short", 5, service("label"))
	long := FloodOf("label x5, run times declared 10 times too long", 5, service("label"))
	for i := range short.Kinds {
		short.Kinds[i].Declared = 10 * time.Millisecond
		long.Kinds[i].Declared = time.Second
	}
	cancel := FloodOf("least urgent x20, all of it cancelled at once", 20, urgency(sched.Low))
	cancel.CancelAt = 25 * time.Second
	cancel.CancelKind = "label-low"
	return []Scenario{
		FloodOf("label x5", 5, service("label")),
		FloodOf("stock x5", 5, service("stock")),
		FloodOf("hamper x5", 5, service("hamper")),
		FloodOf("least urgent x20", 20, urgency(sched.Low)),
		FloodOf("most urgent x20", 20, urgency(sched.Urgent)),
		failing, short, long, cancel,
	}
}
