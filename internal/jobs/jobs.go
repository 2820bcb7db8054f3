// Package jobs defines batch and long-running jobs: their steps and tasks, the
// resources that a task needs, and the progress of a job.
//
// # Usage
//
//	job := jobs.Job{ID: "5c0e7a21d94b36f8", Queue: "labels", Steps: steps}
//	if err := job.Validate(); err != nil {
//		return err // names the field and its value
//	}
//	progress := jobs.NewProgress(job)
//	progress.End(jobs.Task{Job: job.ID, Step: 0, Index: 3}, jobs.Done, "")
//
// A job has steps, a step has identical tasks, and a task is run by one or more
// attempts. A repeating job runs all its tasks once per occurrence.
package jobs

import (
	"bytes"
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a job. Whatever a caller sends within them fits into the rows of the
// platform's store and into the memory of a process, and overflows no sum of durations.
const (
	MaxSpec        = 4000                // bytes
	MaxSteps       = 64                  // steps of a job
	MaxTasks       = 4096                // tasks of one step
	MaxRepetitions = 10_000              // occurrences of a job
	MaxLasting     = 1 << 14             // long-running tasks of all steps and occurrences, which run at the same time
	maxMillicores  = 1_000_000           // of one task
	maxMemory      = 1 << 24             // MB of one task
	maxName        = 200                 // bytes of a label, a rack or an image, as of a key of the store
	maxEstimate    = 30 * 24 * time.Hour // run time of one task
	maxTarget      = 366 * 24 * time.Hour
	maxSchedule    = 10 * maxTarget      // from the first occurrence to the last one
	maxObjective   = 2 * maxSchedule     // from when an occurrence is due
	maxStart       = 253_402_300_799_999 // end of the year 9999, Unix time in ms
	maxAllTasks    = 1 << 17             // tasks of all steps and occurrences; each takes 3 bits while it waits
	maxAllSteps    = 10_000              // steps of all occurrences

	// MaxRow is the longest stored form of a job, and of its progress, in bytes: row_bytes
	// in the platform's settings.
	MaxRow = 64 << 10
)

// ErrInvalid is returned for an invalid job, job id or task name.
var ErrInvalid = errors.New("the job is invalid")

// ID identifies a job. It is 16 hexadecimal digits, set by the caller.
type ID string

const idLength = 16

// ParseID returns text as a job id, or an error if it is not one.
func ParseID(text string) (ID, error) {
	if len(text) != idLength {
		return "", errors.Wrapf(ErrInvalid, "id %.40q: want %d hexadecimal digits", text, idLength)
	}
	for _, c := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return "", errors.Wrapf(ErrInvalid, "id %.40q: want hexadecimal digits", text)
		}
	}
	return ID(text), nil
}

// Resources is the resources that a task needs or a worker has.
type Resources struct {
	Millicores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of two sizes.
func (s Resources) Add(o Resources) Resources {
	return Resources{s.Millicores + o.Millicores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s without o.
func (s Resources) Sub(o Resources) Resources {
	return Resources{s.Millicores - o.Millicores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the size of n of the same size.
func (s Resources) Times(n int) Resources {
	return Resources{s.Millicores * n, s.MemoryMB * n, s.Accelerators * n}
}

// Min returns the smaller amount of each resource.
func (s Resources) Min(o Resources) Resources {
	return Resources{min(s.Millicores, o.Millicores), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

// Max returns the larger amount of each resource.
func (s Resources) Max(o Resources) Resources {
	return Resources{max(s.Millicores, o.Millicores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Unlimited is a limit that no claim reaches.
const Unlimited = math.MaxInt

// Fits reports whether s fits into capacity.
func (s Resources) Fits(capacity Resources) bool {
	return s.Millicores <= capacity.Millicores && s.MemoryMB <= capacity.MemoryMB && s.Accelerators <= capacity.Accelerators
}

// Count returns how many times s fits into capacity, [Unlimited] if s is nothing.
func (s Resources) Count(capacity Resources) int {
	n := Unlimited
	fit := func(size, capacity int) {
		switch {
		case size > 0:
			n = min(n, max(0, capacity)/size)
		case capacity < 0:
			n = 0
		}
	}
	fit(s.Millicores, capacity.Millicores)
	fit(s.MemoryMB, capacity.MemoryMB)
	fit(s.Accelerators, capacity.Accelerators)
	return n
}

// Step is a number of identical tasks.
type Step struct {
	Count    int
	Size     Resources
	Estimate time.Duration // approximate run time of one task on a healthy worker
	After    []int         // earlier steps that must be done first

	Gang        bool // all tasks run together or not at all
	RackLocal   bool // tasks run slower if spread over several racks
	Checkpoints bool // tasks save their progress
	Speculative bool // copies of a task may run in parallel
	LongRunning bool // long-running: tasks run until the job is cancelled
	BestEffort  bool // best-effort: tasks use processor time that others leave and claim none

	Label          string        // label that a worker must have, empty for any
	Rack           string        // rack of the data, empty for any
	MaxPerWorker   int           // limit of tasks of one occurrence on one worker, 0 for none
	MaxUnavailable int           // limit of long-running tasks that may be unavailable while the scheduler moves them, 0 for none
	Image          string        // tasks with the same image behave alike
	Target         time.Duration // target response time of a long-running task, 0 for none
}

// Claim returns the resources that a task of the step claims on a worker.
func (s Step) Claim() Resources {
	claim := s.Size
	if s.BestEffort {
		claim.Millicores = 0
	}
	return claim
}

// Job is a job as submitted by a caller.
type Job struct {
	ID    ID
	Spec  string // passed to each task unchanged
	Steps []Step

	Repetitions int           // 0 for a job that runs once, immediately
	FirstAt     time.Time     // start of the first occurrence
	Every       time.Duration // interval between occurrences

	Priority    int           // lower values are scheduled first
	MaxAttempts int           // failed attempts of a task that fail the job, 0 for the default
	Slack       float64       // the objective is this multiple of the critical path
	Target      time.Duration // plus this duration

	Queue     string    // the queue it was submitted to
	Pool      string    // the pool whose workers run it
	Route     string    // the address by which it was submitted, empty from a version without this field
	Submitted time.Time // when an entry host received it

	Advised      bool   // its queue had advice when it was submitted
	Organisation string // whose key its caller sent, empty on a public queue or where there are no organisations
}

// Milliseconds returns a number of milliseconds as a duration. One that overflows becomes
// the longest one, which no field of a job may have.
func Milliseconds(ms int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	switch {
	case ms > limit:
		return math.MaxInt64
	case ms < -limit:
		return math.MinInt64
	}
	return time.Duration(ms) * time.Millisecond
}

// Occurrences returns the number of times that the steps run.
func (j Job) Occurrences() int { return max(1, j.Repetitions) }

// Due returns the earliest start of occurrence k.
func (j Job) Due(k int) time.Time {
	if j.Repetitions == 0 {
		return j.Submitted
	}
	return j.FirstAt.Add(time.Duration(k) * j.Every)
}

// DefaultAttempts is the number of failed attempts of a task that fail its job, if the
// queue does not set one.
const DefaultAttempts = 3

// Attempts returns the number of failed attempts of a task that fail the job.
func (j Job) Attempts() int {
	if j.MaxAttempts > 0 {
		return j.MaxAttempts
	}
	return DefaultAttempts
}

// Objective returns the time by which occurrence k should be complete, given the
// duration of the critical path.
func (j Job) Objective(k int, criticalPath time.Duration) time.Time {
	slack := max(1, j.Slack)
	return j.Due(k).Add(time.Duration(min(slack*float64(criticalPath), float64(maxObjective))) + j.Target)
}

// LongRunning reports whether the job has a long-running step.
func (j Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// CriticalPaths returns, for each step, the estimated time from its start to the end of
// the last step that depends on it.
func (j Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += j.Steps[i].Estimate
		for _, dependency := range j.Steps[i].After {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths
}

// Validate returns an error that wraps [ErrInvalid] for the first invalid field of a submission.
func (j Job) Validate() error {
	if err := j.validate(); err != nil {
		return err
	}
	lasting := 0
	for _, s := range j.Steps {
		if s.LongRunning {
			lasting += s.Count * j.Occurrences()
		}
	}
	if lasting > MaxLasting {
		return errors.Wrapf(ErrInvalid, "tasks: %d long-running ones in all occurrences, allowed: up to %d", lasting, MaxLasting)
	}
	return nil
}

// validate is [Job.Validate] for a job that may have been accepted by an earlier version.
func (j Job) validate() error {
	if _, err := ParseID(string(j.ID)); err != nil {
		return err
	}
	switch {
	case len(j.Spec) > MaxSpec:
		return errors.Wrapf(ErrInvalid, "spec: %d bytes, allowed: up to %d", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errors.Wrapf(ErrInvalid, "steps: %d, allowed: 1 to %d", len(j.Steps), MaxSteps)
	case j.Repetitions < 0 || j.Repetitions > MaxRepetitions:
		return errors.Wrapf(ErrInvalid, "repetitions: %d, allowed: 0 to %d", j.Repetitions, MaxRepetitions)
	case j.Repetitions > 0 && (j.Every < 0 || j.Every > maxSchedule/time.Duration(j.Repetitions)):
		return errors.Wrapf(ErrInvalid, "interval: %v, allowed: 0 to %v for %d repetitions", j.Every, maxSchedule/time.Duration(j.Repetitions), j.Repetitions)
	case j.Repetitions > 0 && (j.FirstAt.UnixMilli() < 0 || j.FirstAt.UnixMilli() > maxStart):
		return errors.Wrapf(ErrInvalid, "first start: %v, allowed: the years 1970 to 9999", j.FirstAt.UTC())
	case j.Target < 0 || j.Target > maxTarget:
		return errors.Wrapf(ErrInvalid, "target: %v, allowed: 0 to %v", j.Target, maxTarget)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count * j.Occurrences()
	}
	if steps := len(j.Steps) * j.Occurrences(); tasks > maxAllTasks || steps > maxAllSteps {
		return errors.Wrapf(ErrInvalid, "tasks: %d in %d steps of all occurrences, allowed: up to %d in %d", tasks, steps, maxAllTasks, maxAllSteps)
	}
	return nil
}

func (s Step) validate(number int) error {
	invalid := func(field string, value any, allowed string) error {
		return errors.Wrapf(ErrInvalid, "step %d: %s: %v, allowed: %s", number, field, value, allowed)
	}
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return invalid("count", s.Count, "1 to "+strconv.Itoa(MaxTasks))
	case s.Size.Millicores < 0 || s.Size.Millicores > maxMillicores:
		return invalid("cpu", s.Size.Millicores, "0 to "+strconv.Itoa(maxMillicores))
	case s.Size.MemoryMB < 0 || s.Size.MemoryMB > maxMemory:
		return invalid("memory", s.Size.MemoryMB, "0 to "+strconv.Itoa(maxMemory))
	case s.Size.Accelerators < 0 || s.Size.Accelerators > maxMillicores:
		return invalid("accelerators", s.Size.Accelerators, "0 to "+strconv.Itoa(maxMillicores))
	case s.Estimate < 0 || s.Estimate > maxEstimate:
		return invalid("estimate", s.Estimate, "0 to "+maxEstimate.String())
	case s.Target < 0 || s.Target > maxTarget:
		return invalid("target", s.Target, "0 to "+maxTarget.String())
	case s.MaxPerWorker < 0:
		return invalid("most on one worker", s.MaxPerWorker, "none below 0")
	case s.MaxUnavailable < 0:
		return invalid("most unavailable", s.MaxUnavailable, "none below 0")
	}
	for _, name := range []struct{ field, value string }{{"label", s.Label}, {"rack", s.Rack}, {"image", s.Image}} {
		if len(name.value) > maxName {
			return invalid(name.field, strconv.Itoa(len(name.value))+" bytes", "up to "+strconv.Itoa(maxName))
		}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return invalid("after", dependency, "numbers of earlier steps")
		}
	}
	return nil
}

// Task identifies a task.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as workers list it.
func (t Task) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	for _, n := range [3]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Compare compares tasks by their names, like [strings.Compare].
func (t Task) Compare(o Task) int {
	return cmp.Or(
		cmp.Compare(t.Job, o.Job),
		compareDigits(t.Occurrence, o.Occurrence),
		compareDigits(t.Step, o.Step),
		compareDigits(t.Index, o.Index),
	)
}

// compareDigits compares the decimal forms of two numbers that are not negative.
func compareDigits(x, y int) int {
	if x == y {
		return 0
	}
	var xDigits, yDigits [20]byte
	return bytes.Compare(strconv.AppendInt(xDigits[:0], int64(x), 10), strconv.AppendInt(yDigits[:0], int64(y), 10))
}

// ParseTask parses a task's name as returned by String.
func ParseTask(name string) (Task, error) {
	if strings.Count(name, ".") != 3 {
		return Task{}, errors.Wrapf(ErrInvalid, "task %.60q: want four parts", name)
	}
	var parts [4]string // an owner parses thousands a second; strings.Split would allocate
	rest := name
	for i := range parts {
		parts[i], rest, _ = strings.Cut(rest, ".")
	}
	id, err := ParseID(parts[0])
	if err != nil {
		return Task{}, err
	}
	t := Task{Job: id}
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Task{}, errors.Wrapf(ErrInvalid, "task %.60q: part %d is no number", name, i+1)
		}
		*field = n
	}
	return t, nil
}

// Outcome is the way in which an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"  // because of the task or the worker
	Stopped Outcome = "stopped" // by a stop order
	Lapsed  Outcome = "lapsed"  // its lease expired
	Broken  Outcome = "broken"  // another task of its gang ended
	Alone   Outcome = "alone"   // the rest of its gang did not start in time
)

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Active    State = "active"
	Complete  State = "complete"
	Aborted   State = "failed" // a task used up its attempts, or crashes its workers
	Cancelled State = "cancelled"
)

// Final reports whether the state can't change any more.
func (s State) Final() bool { return s == Complete || s == Aborted || s == Cancelled }
