package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// memoryJob returns a job of a number of equal steps and occurrences.
func memoryJob(n, steps, count, repetitions int, lasting bool) jobs.Job {
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%016x", n)), Spec: fmt.Sprintf("spec of job %d", n), Queue: "q", Pool: "p1", Submitted: time.Now(),
		Repetitions: repetitions, FirstAt: time.Now().Add(-time.Minute),
	}
	for range steps {
		j.Steps = append(j.Steps, jobs.Step{Count: count, Size: jobs.Resources{Millicores: 1, MemoryMB: 1}, Estimate: time.Second, LongRunning: lasting})
	}
	return j
}

// Guards against jobs that take more memory than is counted for them, before their attempts.
func TestJobsTakeWhatIsCounted(t *testing.T) {
	const n = 50
	used := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, tt := range []struct {
		name                      string
		steps, count, repetitions int
		lasting                   bool
	}{
		{"one task", 1, 1, 0, false},
		{"narrow", 3, 10, 0, false},
		{"64 steps", 64, 1, 0, false},
		{"wide", 32, 4096, 0, false},
		{"a schedule", 1, 1, 10_000, false},
		{"a schedule of wide steps", 4, 100, 300, false},
		{"long-running", 4, 100, 0, true},
	} {
		counted := int64(0)
		grow := func() int64 {
			board := place.NewBoard(place.DefaultPolicy(), 0)
			board.Waited = func(place.Wait) {}
			size := jobs.Resources{Millicores: 1 << 20, MemoryMB: 1 << 20}
			board.SetWorker(place.Worker{Key: "w@1", ID: "w", Size: size})
			board.SetWorker(place.Worker{Key: "x@1", ID: "x", Size: size})
			if !tt.lasting {
				board.SetStartLimit(0)
			}
			before := used()
			counted = 0
			for i := range n {
				j := memoryJob(i, tt.steps, tt.count, tt.repetitions, tt.lasting)
				counted += memoryOf(&j)
				board.Add(j, jobs.NewProgress(j), time.Now())
			}
			for len(board.Decide(time.Now()).Starts) > 0 {
			}
			grown := used() - before
			runtime.KeepAlive(board)
			return grown
		}
		// What earlier tests have left running allocates as well: the least of three counts.
		if grown := min(grow(), grow(), grow()); grown > counted {
			t.Errorf("%s: %d jobs take %d bytes each, counted are %d", tt.name, n, grown/n, counted/n)
		}
	}
}

// Guards against jobs that are accepted without bound, and against a refusal that outlasts what the
// jobs before took.
func TestJobsBeyondMemoryAreRefusedUntilOthersEnd(t *testing.T) {
	o, _ := newOwner(t)
	first, second := memoryJob(1, 4, 1000, 0, true), memoryJob(2, 4, 1000, 0, true)
	o.jobMemory = NewJobMemory(poolShare * (memoryOf(&first) + memoryOf(&second)/2))
	go o.Run()
	submit := func(j jobs.Job) (v Verdict, retry time.Duration) {
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			if v, retry = o.Submit(t.Context(), j); v != Unknown {
				break
			}
		}
		return v, retry
	}
	if v, _ := submit(first); v != Accepted {
		t.Fatalf("verdict %d on the first job, want %d", v, Accepted)
	}
	began := time.Now()
	if v, retry := submit(second); v != Overloaded || retry <= 0 || time.Since(began) > 500*time.Millisecond {
		t.Errorf("verdict %d on a job without room, to be retried after %v, in %v, want %d at once", v, retry, time.Since(began), Overloaded)
	}
	if v, _ := submit(first); v != Accepted {
		t.Errorf("verdict %d on the first job, sent again, want %d", v, Accepted)
	}
	if v := o.Cancel(t.Context(), first.ID); v != Accepted {
		t.Fatalf("verdict %d on the cancel, want %d", v, Accepted)
	}
	time.Sleep(2 * memoryRefresh)
	if v, _ := submit(second); v != Accepted {
		t.Errorf("verdict %d on the second job once the first has ended, want %d", v, Accepted)
	}
	o.Close()
	if o.jobMemory.sum != 0 {
		t.Errorf("%d bytes are counted after the ownership has ended, want 0", o.jobMemory.sum)
	}
}

// Guards against pools that are accepted one by one until their owners' memory is full, and against
// a pool without jobs that gets none because of the others.
func TestJobMemoryIsSharedByPools(t *testing.T) {
	m := NewJobMemory(800)
	pools := []*Owner{{}, {}, {}}
	for i, tt := range []struct {
		pool, bytes int
		want        bool
	}{
		{0, 60, true}, {0, 60, false}, {0, 40, true}, // a pool has 100
		{1, 100, true},                // all pools have 200
		{2, 10, true}, {2, 10, false}, // a pool without jobs gets one
	} {
		if have := m.reserve(pools[tt.pool], int64(tt.bytes)); have != tt.want {
			t.Errorf("%d: pool %d has room for %d bytes: %v, want %v", i, tt.pool, tt.bytes, have, tt.want)
		}
	}
	m.set(pools[1], 0)
	if !m.reserve(pools[2], 10) {
		t.Error("no room, though a pool has ended")
	}
}
