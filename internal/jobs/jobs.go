// Package jobs holds the domain types of batch and lasting work: a job, its
// steps and tasks, what a task needs, and how far a job has come.
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
// A job has steps, a step has tasks that are alike, and a task is run by
// attempts, one after another. A job that repeats has one occurrence of all its
// tasks for each repetition.
package jobs

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a job. The platform's rows hold 64 KiB, which a job with its
// longest spec and all steps has to fit in.
const (
	MaxSpec        = 4000      // bytes
	MaxSteps       = 64        // steps of a job
	MaxTasks       = 4096      // tasks of one step
	MaxRepetitions = 10_000    // occurrences of a job
	maxMillicores  = 1_000_000 // of one task
	maxMemory      = 1 << 24   // MB of one task
)

// ErrInvalid is returned for a job that can't be accepted as it is.
var ErrInvalid = errors.New("the job is invalid")

// ID names a job: 16 hexadecimal digits, chosen by the caller.
type ID string

const idDigits = 16

// ParseID checks a job's id.
func ParseID(text string) (ID, error) {
	if len(text) != idDigits {
		return "", errors.Wrapf(ErrInvalid, "id %.40q: want %d hexadecimal digits", text, idDigits)
	}
	for _, c := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return "", errors.Wrapf(ErrInvalid, "id %.40q: want hexadecimal digits", text)
		}
	}
	return ID(text), nil
}

// Size is what a task needs, or a worker has.
type Size struct {
	Millicores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Millicores + o.Millicores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s without o.
func (s Size) Sub(o Size) Size {
	return Size{s.Millicores - o.Millicores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.Millicores <= room.Millicores && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Step is a number of tasks that are alike.
type Step struct {
	Count    int
	Size     Size
	Estimate time.Duration // rough run time of one task on a sound worker
	After    []int         // earlier steps that must be done first

	Gang        bool // all tasks run together or not at all
	RackLocal   bool // slower if they run on several racks
	Checkpoints bool // tasks save their progress
	Speculative bool // copies of a task may run in parallel
	Lasting     bool // tasks run until the job is cancelled
	Fills       bool // uses processor time that others leave, counts none itself

	Label          string        // that a worker must have
	Rack           string        // where the data is, empty for anywhere
	MaxPerWorker   int           // tasks of one occurrence on one worker, 0 for any
	MaxUnavailable int           // lasting tasks that may be away on our account
	Image          string        // tasks of one image behave alike
	Target         time.Duration // of a lasting task's own response times, 0 for none
}

// Claim returns what a task of the step takes of a worker's capacity.
func (s Step) Claim() Size {
	claim := s.Size
	if s.Fills {
		claim.Millicores = 0
	}
	return claim
}

// Job is what a caller submitted.
type Job struct {
	ID    ID
	Spec  string // handed to each task as it is
	Steps []Step

	Repetitions int           // 0 for a job that runs once, at once
	FirstAt     time.Time     // of the first occurrence
	Every       time.Duration // between occurrences

	Priority    int           // 0 comes first
	MaxAttempts int           // of one task that may fail, 0 for the default
	Slack       float64       // the objective is this multiple of the longest chain
	Target      time.Duration // and this much more

	Queue     string    // the queue it was submitted to
	Pool      string    // whose workers run it
	Submitted time.Time // when an entry host had read it
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int { return max(1, j.Repetitions) }

// Due returns when occurrence k may start.
func (j Job) Due(k int) time.Time {
	if j.Repetitions == 0 {
		return j.Submitted
	}
	return j.FirstAt.Add(time.Duration(k) * j.Every)
}

// DefaultAttempts is how often a task may fail where the queue does not say.
const DefaultAttempts = 3

// Attempts returns how often one of the job's tasks may fail.
func (j Job) Attempts() int {
	if j.MaxAttempts > 0 {
		return j.MaxAttempts
	}
	return DefaultAttempts
}

// Objective returns by when occurrence k should be complete, given the longest
// chain of run times.
func (j Job) Objective(k int, chain time.Duration) time.Time {
	slack := max(1, j.Slack)
	return j.Due(k).Add(time.Duration(slack*float64(chain)) + j.Target)
}

// Lasting reports whether the job has a step that runs until it is cancelled.
func (j Job) Lasting() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// Chain returns, for each step, the estimated time from its start to the end of
// the last step that depends on it.
func (j Job) Chain() []time.Duration {
	chain := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		chain[i] += j.Steps[i].Estimate
		for _, before := range j.Steps[i].After {
			chain[before] = max(chain[before], chain[i])
		}
	}
	return chain
}

// Validate returns the first fault of the job, wrapped in [ErrInvalid].
func (j Job) Validate() error {
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
	case j.Repetitions > 0 && j.Every < 0:
		return errors.Wrapf(ErrInvalid, "interval: %v, allowed: none below 0", j.Every)
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) validate(number int) error {
	fault := func(field string, value any, allowed string) error {
		return errors.Wrapf(ErrInvalid, "step %d: %s: %v, allowed: %s", number, field, value, allowed)
	}
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault("count", s.Count, "1 to "+strconv.Itoa(MaxTasks))
	case s.Size.Millicores < 0 || s.Size.Millicores > maxMillicores:
		return fault("cpu", s.Size.Millicores, "0 to "+strconv.Itoa(maxMillicores))
	case s.Size.MemoryMB < 0 || s.Size.MemoryMB > maxMemory:
		return fault("memory", s.Size.MemoryMB, "0 to "+strconv.Itoa(maxMemory))
	case s.Size.Accelerators < 0 || s.Size.Accelerators > maxMillicores:
		return fault("accelerators", s.Size.Accelerators, "0 to "+strconv.Itoa(maxMillicores))
	case s.Estimate < 0:
		return fault("estimate", s.Estimate, "none below 0")
	case s.MaxPerWorker < 0:
		return fault("most on one worker", s.MaxPerWorker, "none below 0")
	case s.MaxUnavailable < 0:
		return fault("most unavailable", s.MaxUnavailable, "none below 0")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fault("after", before, "numbers of earlier steps")
		}
	}
	return nil
}

// Task names one task.
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

// ParseTask reads a task's name.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, errors.Wrapf(ErrInvalid, "task %.60q: want four parts", name)
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

// Outcome says how an attempt ended.
type Outcome string

// The ways in which an attempt ends.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"  // by its own fault or the worker's
	Stopped Outcome = "stopped" // on our order
	Lapsed  Outcome = "lapsed"  // its lease ran out
	Broken  Outcome = "broken"  // another member of its gang ended
	Alone   Outcome = "alone"   // the rest of its gang did not come in time
)

// State is what a caller sees of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Active    State = "active"
	Complete  State = "complete"
	Aborted   State = "failed" // a task failed as often as it may
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Complete || s == Aborted || s == Cancelled }
