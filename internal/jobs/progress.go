package jobs

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Tries holds the failed attempts and the checkpoint of an unfinished task.
type Tries struct {
	Failed     []int  // numbers of the attempts that failed
	Checkpoint string // newest known checkpoint, empty for none
}

// Crash is the crash of a worker while an attempt of a task had just been started there.
type Crash struct {
	Worker  string // key of the worker's lifetime
	Attempt int
	Alone   bool // no other attempt there can have caused it
	Settled bool // the lifetime is known to have ended; before, the worker may only be unreachable
	Prompt  bool // the worker's connections failed right after the attempt was ordered, not later and not after a silence
}

// Progress holds which tasks of a job are done, and the failures and checkpoints of
// the others, as reported by workers.
type Progress struct {
	Final State // empty while the job is not final
	Begun bool  // a task has started

	job     Job
	done    doneTasks
	tries   map[Task]Tries
	crashes map[Task][]Crash // of each task in the order of its attempts
}

// NewProgress returns the progress of a job of which no task has run.
func NewProgress(j Job) *Progress {
	j.Spec = "" // it is not needed, and a job that has ended drops it
	return &Progress{job: j, done: newDoneTasks(j), tries: map[Task]Tries{}, crashes: map[Task][]Crash{}}
}

// Has reports whether the job has this task.
func (p *Progress) Has(t Task) bool {
	return t.Occurrence < p.job.Occurrences() && t.Step < len(p.job.Steps) && t.Index < p.job.Steps[t.Step].Count
}

// Done reports whether a task is done.
func (p *Progress) Done(t Task) bool { return p.done.has(t) }

// StepDone reports whether all tasks of a step are done.
func (p *Progress) StepDone(occurrence, step int) bool { return p.done.leftOf(occurrence, step) == 0 }

// Left returns the number of tasks of a step that are not done.
func (p *Progress) Left(occurrence, step int) int { return p.done.leftOf(occurrence, step) }

// Ready reports whether all dependencies of a step are done.
func (p *Progress) Ready(occurrence, step int) bool {
	for _, dependency := range p.job.Steps[step].After {
		if !p.StepDone(occurrence, dependency) {
			return false
		}
	}
	return true
}

// Tries returns the failed attempts and the checkpoint of a task.
func (p *Progress) Tries(t Task) Tries { return p.tries[t] }

// MarkDone records that a task is done, and for a gang, that all its tasks are.
func (p *Progress) MarkDone(t Task) {
	if p.job.Steps[t.Step].Gang {
		for i := range p.job.Steps[t.Step].Count {
			member := Task{t.Job, t.Occurrence, t.Step, i}
			p.done.add(member)
			delete(p.tries, member)
			delete(p.crashes, member)
		}
		return
	}
	p.done.add(t)
	delete(p.tries, t)
	delete(p.crashes, t)
}

// MarkFailed records a failed attempt and returns the number of failed attempts. An
// attempt counts once even if it is reported twice, since a worker lists an end until
// it is acknowledged. The attempts of a gang fail together and are counted at its
// first task.
func (p *Progress) MarkFailed(t Task, attempt int) int {
	t = p.gangTask(t)
	tries := p.tries[t]
	if !slices.Contains(tries.Failed, attempt) {
		tries.Failed = append(slices.Clone(tries.Failed), attempt)
		p.tries[t] = tries
	}
	return len(tries.Failed)
}

// Failures returns the number of failed attempts of a task, or of its gang.
func (p *Progress) Failures(t Task) int { return len(p.tries[p.gangTask(t)].Failed) }

// gangTask returns the task at which failures and checkpoints are kept: the first one
// of a gang, otherwise t itself.
func (p *Progress) gangTask(t Task) Task {
	if p.job.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// Save records a task's newest checkpoint. A checkpoint of any task of a gang is valid
// for the whole gang and is kept at its first task.
func (p *Progress) Save(t Task, checkpoint string) {
	if checkpoint == "" || p.Done(t) {
		return
	}
	t = p.gangTask(t)
	tries := p.tries[t]
	tries.Checkpoint = checkpoint
	p.tries[t] = tries
}

// Checkpoint returns the newest checkpoint of a task or its gang, empty if there is
// none.
func (p *Progress) Checkpoint(t Task) string { return p.tries[p.gangTask(t)].Checkpoint }

const (
	// maxCrashes limits the recorded crashes of a job. A record takes about 120 bytes, and a
	// row of the platform's table holds 64 KiB in base64. The room for further prompt ones is
	// for a deadly task of a job of which many tasks have lost their workers.
	maxCrashes        = 256
	maxPromptCrashes  = 96
	maxCrashesPerTask = 4
)

// MarkCrash records a crash under a task, or updates the record of the same worker. Unlike
// failures, crashes of a gang are kept at the task whose worker crashed. It reports whether
// the records have changed. It has no effect on a task that is done. Where no further record
// fits, the crash replaces the oldest of the task, preferably one that is not prompt; a task
// without one gets none.
func (p *Progress) MarkCrash(t Task, c Crash) bool {
	crashes := p.crashes[t]
	limit := maxCrashes
	if c.Prompt {
		limit += maxPromptCrashes
	}
	full := len(crashes) >= maxCrashesPerTask || p.countCrashes() >= limit
	if p.Done(t) || len(crashes) == 0 && full {
		return false
	}
	i := slices.IndexFunc(crashes, func(known Crash) bool { return known.Worker == c.Worker })
	if i >= 0 && crashes[i] == c {
		return false
	}
	crashes = slices.Clone(crashes)
	switch {
	case i >= 0:
		crashes[i] = c
	case full:
		crashes[max(0, slices.IndexFunc(crashes, func(known Crash) bool { return !known.Prompt }))] = c
	default:
		crashes = append(crashes, c)
	}
	slices.SortFunc(crashes, func(x, y Crash) int {
		return cmp.Or(cmp.Compare(x.Attempt, y.Attempt), cmp.Compare(x.Worker, y.Worker))
	})
	p.crashes[t] = crashes
	return true
}

func (p *Progress) countCrashes() int {
	n := 0
	for _, crashes := range p.crashes {
		n += len(crashes)
	}
	return n
}

// DropCrash removes the record of a worker's crash under a task. It reports whether there
// was one.
func (p *Progress) DropCrash(t Task, worker string) bool {
	crashes := p.crashes[t]
	rest := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return c.Worker == worker })
	if len(rest) == len(crashes) {
		return false
	}
	p.crashes[t] = rest
	if len(rest) == 0 {
		delete(p.crashes, t)
	}
	return true
}

// DropCrashes removes all crash records of a task. It reports whether there were any.
func (p *Progress) DropCrashes(t Task) bool {
	known := len(p.crashes[t]) > 0
	delete(p.crashes, t)
	return known
}

// Crashes returns the recorded crashes of a task in the order of its attempts. The caller
// must not change them.
func (p *Progress) Crashes(t Task) []Crash { return p.crashes[t] }

// Crashed returns the tasks with recorded crashes, in no particular order.
func (p *Progress) Crashed() iter.Seq[Task] { return maps.Keys(p.crashes) }

// CountCrashed returns the number of tasks with recorded crashes.
func (p *Progress) CountCrashed() int { return len(p.crashes) }

// HasCrashes reports whether any task has recorded crashes.
func (p *Progress) HasCrashes() bool { return len(p.crashes) > 0 }

// AllDone reports whether every task of every occurrence is done.
func (p *Progress) AllDone() bool { return p.done.left == 0 }

// State returns the state of the job.
func (p *Progress) State() State {
	switch {
	case p.Final != "":
		return p.Final
	case p.Begun:
		return Active
	}
	return Queued
}
