package jobs_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

func sample() jobs.Job {
	return jobs.Job{
		ID: "5c0e7a21d94b36f8", Spec: "spec", Queue: "q", Pool: "p", Route: "a.example/labels/", Submitted: time.UnixMilli(1_700_000_000_123),
		Repetitions: 2, FirstAt: time.UnixMilli(1_700_000_005_000), Every: time.Second,
		Priority: 1, MaxAttempts: 4, Slack: 1.6, Target: 600 * time.Millisecond,
		Steps: []jobs.Step{
			{Count: 3, Size: jobs.Resources{Millicores: 500, MemoryMB: 256, Accelerators: 1}, Estimate: time.Second, Label: "a", Rack: "r1", MaxPerWorker: 1},
			{Count: 20, After: []int{0}, Gang: true, RackLocal: true, Checkpoints: true, Speculative: true, LongRunning: true, BestEffort: true, MaxUnavailable: 1, Image: "i", Target: 50 * time.Millisecond},
		},
	}
}

func TestJobRoundTrip(t *testing.T) {
	want := sample()
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	have, err := jobs.Decode(data)
	if err != nil || !reflect.DeepEqual(have, want) {
		t.Errorf("decoded %+v, %v\nwant %+v", have, err, want)
	}
}

func TestProgressRoundTrip(t *testing.T) {
	j := sample()
	p := jobs.NewProgress(j)
	p.Begun = true
	done, failed := jobs.Task{Job: j.ID, Occurrence: 1, Index: 2}, jobs.Task{Job: j.ID, Index: 1}
	p.MarkDone(done)
	p.MarkFailed(failed, 7)
	p.MarkFailed(failed, 7) // reported twice
	p.MarkFailed(failed, 9)
	p.Save(failed, "saved")
	crashed := jobs.Task{Job: j.ID}
	p.MarkCrash(crashed, jobs.Crash{Worker: "w2@1", Attempt: 1002, Alone: true, Prompt: true})
	p.MarkCrash(crashed, jobs.Crash{Worker: "w1@1", Attempt: 1})
	p.MarkCrash(crashed, jobs.Crash{Worker: "w1@1", Attempt: 1, Settled: true})
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	have, err := jobs.DecodeProgress(j, data)
	if err != nil {
		t.Fatal(err)
	}
	if !have.Done(done) || have.Done(failed) || have.Failures(failed) != 2 || have.Checkpoint(failed) != "saved" || have.State() != jobs.Active {
		t.Errorf("decoded %s", data)
	}
	if want := []jobs.Crash{{"w1@1", 1, false, true, false}, {"w2@1", 1002, true, false, true}}; !reflect.DeepEqual(have.Crashes(crashed), want) {
		t.Errorf("crashes %+v, want %+v", have.Crashes(crashed), want)
	}
}

// Guards against rows of earlier versions, which lack the crashes, and against rows that
// outgrow the platform's table when a worker with many tasks of one job crashes.
func TestStoredCrashes(t *testing.T) {
	j := sample()
	p, err := jobs.DecodeProgress(j, []byte(`{"begun":true,"tries":[{"task":"5c0e7a21d94b36f8.0.0.1","failed":[7]}]}`))
	if err != nil || p.HasCrashes() || p.Failures(jobs.Task{Job: j.ID, Index: 1}) != 1 {
		t.Errorf("a row without crashes: %+v, %v", p, err)
	}
	j.Steps = []jobs.Step{{Count: jobs.MaxTasks}}
	p = jobs.NewProgress(j)
	for i := range jobs.MaxTasks {
		p.MarkCrash(jobs.Task{Job: j.ID, Index: i}, jobs.Crash{Worker: "i-462b1b21f2@1785551696737", Attempt: 123_001, Settled: true})
	}
	data, err := p.Encode()
	if err != nil || len(data) > 48_000 { // a row of 64 KiB in base64
		t.Errorf("%d bytes for a job with crashes under %d tasks, %v", len(data), jobs.MaxTasks, err)
	}
}

func TestInvalidJobsNameFieldAndValue(t *testing.T) {
	for _, tt := range []struct {
		change func(j *jobs.Job)
		want   string
	}{
		{func(j *jobs.Job) { j.ID = "xyz" }, "xyz"},
		{func(j *jobs.Job) { j.Spec = strings.Repeat("x", 4001) }, "spec: 4001"},
		{func(j *jobs.Job) { j.Steps = nil }, "steps: 0"},
		{func(j *jobs.Job) { j.Steps[0].Count = 0 }, "count: 0"},
		{func(j *jobs.Job) { j.Steps[0].Size.Millicores = -1 }, "cpu: -1"},
		{func(j *jobs.Job) { j.Steps[0].Size.MemoryMB = 1 << 30 }, "memory: 1073741824"},
		{func(j *jobs.Job) { j.Steps[1].After = []int{1} }, "after: 1"},
		{func(j *jobs.Job) { j.Repetitions = -1 }, "repetitions: -1"},
		{func(j *jobs.Job) { j.Every = -time.Second }, "interval: -1s"},
		{func(j *jobs.Job) { j.Every = math.MaxInt64 }, "interval: 2562047h"},
		{func(j *jobs.Job) { j.Repetitions, j.Every = 10_000, 24*time.Hour }, "interval: 24h"},
		{func(j *jobs.Job) { j.FirstAt = time.UnixMilli(math.MaxInt64) }, "first start: 292278994"},
		{func(j *jobs.Job) { j.FirstAt = time.UnixMilli(-1) }, "first start: 1969"},
		{func(j *jobs.Job) { j.Steps[0].Estimate = math.MaxInt64 }, "estimate: 2562047h"},
		{func(j *jobs.Job) { j.Steps[0].Target = math.MaxInt64 }, "target: 2562047h"},
		{func(j *jobs.Job) { j.Steps[0].Target = -1 }, "target: -1ns"},
		{func(j *jobs.Job) { j.Steps[0].Label = strings.Repeat("x", 201) }, "label: 201 bytes"},
		{func(j *jobs.Job) { j.Steps[0].Rack = strings.Repeat("x", 201) }, "rack: 201 bytes"},
		{func(j *jobs.Job) { j.Steps[0].Image = strings.Repeat("x", 201) }, "image: 201 bytes"},
		{func(j *jobs.Job) { j.Repetitions, j.Steps[0].Count = 10_000, 4096 }, "tasks: 41160000 in 20000 steps"},
		{func(j *jobs.Job) { j.Steps = slices.Repeat(j.Steps[:1], 64); j.Repetitions = 1000 }, "tasks: 192000 in 64000 steps"},
	} {
		j := sample()
		tt.change(&j)
		if err := j.Validate(); !errors.Is(err, jobs.ErrInvalid) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("error %v, want ErrInvalid with %q", err, tt.want)
		}
	}
}

func FuzzParseTask(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("5c0e7a21d94b36f8..1.")
	f.Fuzz(func(t *testing.T, name string) {
		task, err := jobs.ParseTask(name)
		if err != nil {
			return
		}
		again, err := jobs.ParseTask(task.String())
		if err != nil || again != task {
			t.Errorf("%q became %v, then %v, %v", name, task, again, err)
		}
	})
}

// Guards against a job whose progress the store does not take: the transactions of its pool
// fail then. Checkpoints are left out as far as they do not fit, failures never.
func TestLongProgressFitsIntoARow(t *testing.T) {
	j := sample()
	j.Steps[0].Count = 4000
	p := jobs.NewProgress(j)
	for i := range 3000 {
		task := jobs.Task{Job: j.ID, Index: i}
		p.Save(task, "0123456789abcdef")
		if i < 300 {
			p.MarkFailed(task, i)
		}
	}
	p.Save(jobs.Task{Job: j.ID, Index: 3500}, strings.Repeat("\x00", jobs.MaxSpec))
	data, err := p.Encode()
	if err != nil || len(data) > jobs.MaxRow {
		t.Fatalf("%d bytes, error %v, want up to %d", len(data), err, jobs.MaxRow)
	}
	have, err := jobs.DecodeProgress(j, data)
	if err != nil {
		t.Fatal(err)
	}
	kept := 0
	for i := range 3000 {
		task := jobs.Task{Job: j.ID, Index: i}
		if want := p.Failures(task); have.Failures(task) != want {
			t.Errorf("%v: %d failures, want %d", task, have.Failures(task), want)
		}
		if have.Checkpoint(task) != "" {
			kept++
		}
	}
	if kept < 300 {
		t.Errorf("%d checkpoints kept of 3000, want 300", kept)
	}
}

// Guards against a row that outgrows the platform's table because workers are lost again and
// again, and against records of such losses that push out those which give a deadly task up.
func TestStoredCrashesAreLimited(t *testing.T) {
	j := sample()
	j.Repetitions, j.Steps = 0, []jobs.Step{{Count: jobs.MaxTasks}}
	p := jobs.NewProgress(j)
	crash := func(i, attempt int, prompt bool) {
		p.MarkCrash(jobs.Task{Job: j.ID, Index: i}, jobs.Crash{
			Worker: fmt.Sprintf("i-462b1b21f2@178555169%04d", attempt), Attempt: 123_000 + attempt, Settled: true, Prompt: prompt,
		})
	}
	for attempt := range 9 {
		for i := range jobs.MaxTasks {
			crash(i, attempt, false)
		}
	}
	for attempt := 9; attempt < 12; attempt++ {
		for i := range 30 {
			crash(i, attempt, true)
		}
	}
	data, err := p.Encode()
	if err != nil || len(data) > 48_000 { // a row of 64 KiB in base64
		t.Errorf("%d bytes, %v", len(data), err)
	}
	for attempt := 12; attempt < 16; attempt++ {
		crash(0, attempt, false)
	}
	prompt, latest := 0, 0
	for _, c := range p.Crashes(jobs.Task{Job: j.ID}) {
		latest = c.Attempt
		if c.Prompt {
			prompt++
		}
	}
	if prompt != 3 || latest != 123_015 {
		t.Errorf("%d prompt crashes kept, the latest crash of attempt %d; want 3 and 123015", prompt, latest)
	}
}

// Guards against a job with more long-running tasks, which all run at the same time, than the memory of
// its owner holds; and against one that an earlier version has accepted and that is lost at an update.
func TestLongRunningTasksAreLimitedWhenSubmitted(t *testing.T) {
	j := sample()
	j.Repetitions = 0
	j.Steps = nil
	for range jobs.MaxLasting / jobs.MaxTasks {
		j.Steps = append(j.Steps, jobs.Step{Count: jobs.MaxTasks, LongRunning: true})
	}
	if err := j.Validate(); err != nil {
		t.Errorf("%d long-running tasks: %v", jobs.MaxLasting, err)
	}
	j.Steps = append(j.Steps, jobs.Step{Count: 1, LongRunning: true}, jobs.Step{Count: jobs.MaxTasks})
	want := fmt.Sprintf("%d long-running", jobs.MaxLasting+1)
	if err := j.Validate(); !errors.Is(err, jobs.ErrInvalid) || !strings.Contains(err.Error(), want) {
		t.Errorf("%d long-running tasks: %v, want an error that names %q", jobs.MaxLasting+1, err, want)
	}
	data, err := j.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Decode(data); err != nil {
		t.Errorf("a stored job with %d long-running tasks: %v", jobs.MaxLasting+1, err)
	}
}
