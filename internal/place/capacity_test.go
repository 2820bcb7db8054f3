package place_test

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Guards against starts on a worker that is still full of what should not run there: an
// attempt of an earlier owner that is being stopped takes room until it is no longer listed.
func TestUnexpectedAttemptsTakeRoom(t *testing.T) {
	for _, tt := range []struct {
		name  string
		known bool // the job is on the board
	}{{"of a cancelled job", true}, {"of an unknown job", false}} {
		f := newTestBoard(1000, 1)
		cancelled, next := newJob(1, batch(1, 3000)), newJob(2, batch(1, 2000))
		if tt.known {
			p := jobs.NewProgress(cancelled)
			p.Final = jobs.Cancelled
			f.Add(cancelled, p, f.now)
		}
		f.add(next)
		list := func(running ...place.Running) int {
			f.now = f.now.Add(100 * time.Millisecond)
			return len(f.Listed(key(0), running, nil, f.now, f.now))
		}
		if stops := list(place.Running{Task: jobs.Task{Job: cancelled.ID}, Attempt: 7}); stops != 1 {
			t.Errorf("%s: %d stops, want 1", tt.name, stops)
		}
		if starts := f.decide(); len(starts) != 0 {
			t.Errorf("%s: started %v beside it", tt.name, starts)
		}
		list()
		if starts := f.decide(); len(starts) != 1 {
			t.Errorf("%s: %d starts once it is gone, want 1", tt.name, len(starts))
		}
	}
}

// Guards against starts on a worker whose capacity has shrunk below what runs there, and
// against leaving it unused when it grows again.
func TestWorkerThatShrinksAndGrows(t *testing.T) {
	f := newTestBoard(0, 1)
	f.add(newJob(1, batch(2, 1500)))
	running := f.decide()
	resize := func(millicores, memory int) {
		w := worker(0)
		w.Size = jobs.Resources{Millicores: millicores, MemoryMB: memory}
		f.SetWorker(w)
	}
	f.add(
		newJob(2, jobs.Step{Count: 1}), newJob(3, batch(1, 1000)),
		newJob(4, jobs.Step{Count: 1, Size: jobs.Resources{Millicores: 900, MemoryMB: 50}, BestEffort: true, LongRunning: true}),
	)
	for _, tt := range []struct {
		millicores, memory, want int
	}{{2000, 8000, 0}, {4000, 150, 0}, {0, 0, 0}, {3000, 200, 1}, {3900, 8000, 0}, {4000, 8000, 2}} {
		resize(tt.millicores, tt.memory)
		if starts := f.decide(); len(starts) != tt.want {
			t.Errorf("capacity %d, %d: %d starts beside %d tasks, want %d", tt.millicores, tt.memory, len(starts), len(running), tt.want)
		}
	}
}

// Guards against a start that is sent to a worker beyond its capacity since only the start of
// a long-running task, which does not wait to be sent, was to be withdrawn.
func TestStartsBeyondCapacityLeaveOutTheUrgentOnes(t *testing.T) {
	f := newTestBoard(0, 1)
	f.add(newJob(1, batch(1, 2000)))
	f.Decide(f.now) // waits to be sent
	f.now = f.now.Add(10 * time.Millisecond)
	l := lasting(1, 100)
	l.Size.Millicores = 2000
	f.add(newJob(2, l))
	f.Decide(f.now) // is sent at once
	w := worker(0)
	w.Size.Millicores = 2000
	f.SetWorker(w)
	for _, s := range f.StartsBeyondCapacity(key(0)) {
		if s.Task.Job == newJob(1).ID {
			return
		}
	}
	t.Error("the start that waits to be sent is not withdrawn")
}
