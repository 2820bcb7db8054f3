package place_test

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// longestDecision is how long an owner's loop may stand still: after that it sends no order and
// renews no lease until the store has confirmed that it still owns the pool.
const longestDecision = 500 * time.Millisecond

// wideBoard returns a board with 9 workers that have room for thousands of small tasks each.
func wideBoard(base int) *testBoard {
	f := newTestBoard(base, 0)
	for i := range 9 {
		w := worker(i)
		w.Size = jobs.Resources{Millicores: 32_000, MemoryMB: 131_072}
		f.SetWorker(w)
	}
	f.workers = 9
	return f
}

// smallStep returns a step of tasks of which 8,000 take half of a wideBoard.
func smallStep(count int) jobs.Step {
	return jobs.Step{Count: count, Size: jobs.Resources{Millicores: 20, MemoryMB: 10}}
}

// processorTime returns the time that the goroutine's thread has run. Unlike the time of day it does
// not count other processes. The goroutine must be locked to its thread.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// decideWide makes decisions until one starts nothing, and returns what they started. It reports a
// decision that takes longer than longestDecision.
func decideWide(t *testing.T, f *testBoard, what string) []place.StartOrder {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var starts []place.StartOrder
	for {
		began := processorTime(t)
		o := f.Decide(f.now)
		if took := processorTime(t) - began; took > longestDecision {
			t.Errorf("%s: a decision took %v of processor time, want at most %v", what, took, longestDecision)
		}
		if len(o.Starts) == 0 {
			return starts
		}
		starts = append(starts, o.Starts...)
		f.now = f.now.Add(time.Millisecond)
		for _, s := range o.Starts {
			f.Started(s.Worker, s.Task, s.Attempt, f.now)
		}
	}
}

// listings returns what workers list that run the attempts, all of them available.
func listings(starts []place.StartOrder) map[string][]place.Running {
	running := map[string][]place.Running{}
	for _, s := range starts {
		running[s.Worker] = append(running[s.Worker], place.Running{Task: s.Task, Attempt: s.Attempt, Percent: 100})
	}
	return running
}

func addWide(f *testBoard, steps ...jobs.Step) jobs.Job {
	j := newJob(1, steps...)
	f.Add(j, jobs.NewProgress(j), f.now)
	return j
}

// Guards against decisions that go through all attempts of a job for each task and worker: one job
// of 8,000 long-running tasks kept its owner from renewing any lease (review/12).
func TestWideJobsAreDecidedInTime(t *testing.T) {
	t.Parallel()
	lasting := smallStep(1000)
	lasting.LongRunning = true
	gang := smallStep(jobs.MaxTasks)
	gang.Gang, gang.RackLocal = true, true
	limited := smallStep(jobs.MaxTasks)
	limited.MaxPerWorker = 1000
	targeted := lasting
	targeted.Target = 100 * time.Millisecond
	filling := lasting
	filling.BestEffort = true
	for _, tt := range []struct {
		name  string
		steps []jobs.Step
	}{
		{"long-running tasks", []jobs.Step{lasting, lasting, lasting, lasting, lasting, lasting, lasting, lasting}},
		{"serving and best-effort tasks", []jobs.Step{targeted, filling, targeted, filling}},
		{"a gang on one rack", []jobs.Step{gang}},
		{"at most 1,000 on a worker", []jobs.Step{limited, limited}},
	} {
		f := wideBoard(0)
		j := addWide(f, tt.steps...)
		want := 0
		for _, s := range tt.steps {
			want += s.Count
		}
		starts := decideWide(t, f, tt.name)
		if len(starts) != want {
			t.Errorf("%s: %d tasks started, want %d", tt.name, len(starts), want)
		}
		f.now = f.now.Add(time.Second)
		for w, running := range listings(starts) {
			f.Listed(w, running, nil, f.now, f.now)
		}
		f.SetVacate(key(0), true)
		decideWide(t, f, tt.name+", a worker is vacated")
		f.Cancel(j.ID, f.now)
		decideWide(t, f, tt.name+", cancelled")
	}
}
