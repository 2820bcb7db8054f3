package jobs

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// stepRow is the stored form of a [Step].
type stepRow struct {
	Count          int    `json:"count"`
	Millicores     int    `json:"cpu,omitempty"`
	MemoryMB       int    `json:"memory,omitempty"`
	Accelerators   int    `json:"accelerators,omitempty"`
	EstimateMS     int64  `json:"estimate-ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	RackLocal      bool   `json:"rack-local,omitempty"`
	Checkpoints    bool   `json:"checkpoints,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
	Lasting        bool   `json:"lasting,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	Label          string `json:"label,omitempty"`
	Rack           string `json:"rack,omitempty"`
	MaxPerWorker   int    `json:"max-per-worker,omitempty"`
	MaxUnavailable int    `json:"max-unavailable,omitempty"`
	Image          string `json:"image,omitempty"`
	TargetMS       int64  `json:"target-ms,omitempty"`
}

// jobRow is the stored form of a [Job].
type jobRow struct {
	ID          string    `json:"id"`
	Spec        string    `json:"spec"`
	Steps       []stepRow `json:"steps"`
	Repetitions int       `json:"repetitions,omitempty"`
	FirstMS     int64     `json:"first-ms,omitempty"`
	EveryMS     int64     `json:"every-ms,omitempty"`
	Priority    int       `json:"priority,omitempty"`
	MaxAttempts int       `json:"max-attempts,omitempty"`
	Slack       float64   `json:"slack,omitempty"`
	TargetMS    int64     `json:"target-ms,omitempty"`
	Queue       string    `json:"queue"`
	Pool        string    `json:"pool"`
	Route       string    `json:"route,omitempty"`
	SubmittedMS int64     `json:"submitted-ms"`

	Organisation string `json:"organisation,omitempty"`
	Advised      bool   `json:"advised,omitempty"`
}

// Encode returns the stored form of a job. The error wraps [ErrInvalid] if it does not fit
// into a row.
func (j Job) Encode() ([]byte, error) {
	row := jobRow{
		ID: string(j.ID), Spec: j.Spec, Repetitions: j.Repetitions, EveryMS: j.Every.Milliseconds(),
		Priority: j.Priority, MaxAttempts: j.MaxAttempts, Slack: j.Slack, TargetMS: j.Target.Milliseconds(),
		Queue: j.Queue, Pool: j.Pool, Route: j.Route, SubmittedMS: j.Submitted.UnixMilli(), Organisation: j.Organisation, Advised: j.Advised,
	}
	if j.Repetitions > 0 {
		row.FirstMS = j.FirstAt.UnixMilli()
	}
	for _, s := range j.Steps {
		row.Steps = append(row.Steps, stepRow{
			s.Count, s.Size.Millicores, s.Size.MemoryMB, s.Size.Accelerators, s.Estimate.Milliseconds(), s.After,
			s.Gang, s.RackLocal, s.Checkpoints, s.Speculative, s.LongRunning, s.BestEffort,
			s.Label, s.Rack, s.MaxPerWorker, s.MaxUnavailable, s.Image, s.Target.Milliseconds(),
		})
	}
	data, err := json.Marshal(row)
	if len(data) > MaxRow {
		return nil, errors.Wrapf(ErrInvalid, "stored form: %d bytes, allowed: up to %d", len(data), MaxRow)
	}
	return data, errors.Wrap(err, "encode job")
}

// Decode decodes the stored form of a job and validates it, but for limits of submissions.
func Decode(data []byte) (Job, error) {
	j, err := DecodeUnvalidated(data)
	if err != nil {
		return Job{}, err
	}
	return j, j.validate()
}

// DecodeUnvalidated decodes a job that an operator submits. It has the stored form, but fields
// may be missing, and it is not validated.
func DecodeUnvalidated(data []byte) (Job, error) {
	if err := CheckObjects(data); err != nil {
		return Job{}, err
	}
	var row jobRow
	if err := json.Unmarshal(data, &row); err != nil {
		return Job{}, errors.Wrapf(ErrInvalid, "%.*s", maxErrorText, err.Error())
	}
	j := Job{
		ID: ID(row.ID), Spec: row.Spec, Repetitions: row.Repetitions,
		Every:    Milliseconds(row.EveryMS),
		Priority: row.Priority, MaxAttempts: row.MaxAttempts, Slack: row.Slack,
		Target: Milliseconds(row.TargetMS),
		Queue:  row.Queue, Pool: row.Pool, Route: row.Route, Submitted: time.UnixMilli(row.SubmittedMS), Organisation: row.Organisation, Advised: row.Advised,
	}
	if row.Repetitions > 0 {
		j.FirstAt = time.UnixMilli(row.FirstMS)
	}
	for _, s := range row.Steps {
		j.Steps = append(j.Steps, Step{
			Count: s.Count, Size: Resources{s.Millicores, s.MemoryMB, s.Accelerators},
			Estimate: Milliseconds(s.EstimateMS), After: s.After,
			Gang: s.Gang, RackLocal: s.RackLocal, Checkpoints: s.Checkpoints, Speculative: s.Speculative,
			LongRunning: s.Lasting, BestEffort: s.Fills, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker,
			MaxUnavailable: s.MaxUnavailable, Image: s.Image, Target: Milliseconds(s.TargetMS),
		})
	}
	return j, nil
}

// progressRow is the stored form of a [Progress].
type progressRow struct {
	State string    `json:"state,omitempty"`
	Begun bool      `json:"begun,omitempty"`
	Done  []string  `json:"done,omitempty"` // encoded bitset of each step of each occurrence
	Tries []taskRow `json:"tries,omitempty"`
}

// taskRow is the stored form of [Tries] and of the crashes under a task.
type taskRow struct {
	Task       string     `json:"task"`
	Failed     []int      `json:"failed,omitempty"`
	Checkpoint string     `json:"checkpoint,omitempty"`
	Crashes    []crashRow `json:"crashes,omitempty"`
}

// crashRow is the stored form of a [Crash].
type crashRow struct {
	Worker  string `json:"worker"`
	Attempt int    `json:"attempt"`
	Alone   bool   `json:"alone,omitempty"`
	Settled bool   `json:"settled,omitempty"`
	Prompt  bool   `json:"prompt,omitempty"` // versions that did not store it counted every crash
}

// Encode returns the stored form of the progress. Checkpoints that do not fit into a row are
// left out, the longest first. It returns an error if the rest does not fit either.
func (p *Progress) Encode() ([]byte, error) {
	row := progressRow{State: string(p.Final), Begun: p.Begun}
	if p.Final == "" {
		row.Done = p.done.encode()
		for t, tries := range p.tries {
			row.Tries = append(row.Tries, taskRow{t.String(), tries.Failed, tries.Checkpoint, encodeCrashes(p.crashes[t])})
		}
		for t, crashes := range p.crashes {
			if _, known := p.tries[t]; !known {
				row.Tries = append(row.Tries, taskRow{Task: t.String(), Crashes: encodeCrashes(crashes)})
			}
		}
	}
	data, err := json.Marshal(row)
	if excess := len(data) - MaxRow; excess > 0 {
		row.dropCheckpoints(excess)
		data, err = json.Marshal(row)
	}
	if len(data) > MaxRow {
		return nil, errors.Newf("progress of job %s: %d bytes, allowed: up to %d", p.job.ID, len(data), MaxRow)
	}
	return data, errors.Wrap(err, "encode progress")
}

func encodeCrashes(crashes []Crash) []crashRow {
	var rows []crashRow
	for _, c := range crashes {
		rows = append(rows, crashRow(c))
	}
	return rows
}

// holdsOnlyCheckpoint reports whether nothing is left without the checkpoint.
func (r taskRow) holdsOnlyCheckpoint() bool { return len(r.Failed)+len(r.Crashes) == 0 }

// dropCheckpoints drops checkpoints that take at least a number of bytes, or all.
func (r *progressRow) dropCheckpoints(excess int) {
	slices.SortFunc(r.Tries, func(x, y taskRow) int {
		return cmp.Or(cmp.Compare(len(y.Checkpoint), len(x.Checkpoint)), strings.Compare(x.Task, y.Task))
	})
	for i := range r.Tries {
		if excess <= 0 {
			break
		}
		t := &r.Tries[i]
		excess -= len(t.Checkpoint)
		if t.holdsOnlyCheckpoint() {
			excess -= len(t.Task) + len(`{"task":"","checkpoint":""}`)
		}
		t.Checkpoint = ""
	}
	r.Tries = slices.DeleteFunc(r.Tries, func(t taskRow) bool { return t.Checkpoint == "" && t.holdsOnlyCheckpoint() })
}

// DecodeProgress decodes the stored form of a job's progress.
func DecodeProgress(j Job, data []byte) (*Progress, error) {
	var row progressRow
	if err := json.Unmarshal(data, &row); err != nil {
		return nil, errors.Wrapf(err, "stored progress of job %s", j.ID)
	}
	p := NewProgress(j)
	p.Final = State(row.State)
	p.Begun = row.Begun
	if p.Final != "" && !p.Final.Final() {
		return nil, errors.Newf("stored progress of job %s: state %.40q", j.ID, row.State)
	}
	if len(row.Done) > len(p.done.counts) {
		return nil, errors.Newf("stored progress of job %s: %d steps, the job has %d", j.ID, len(row.Done), len(p.done.counts))
	}
	for i, text := range row.Done {
		if err := p.done.decode(i, text); err != nil {
			return nil, errors.Wrapf(err, "stored progress of job %s", j.ID)
		}
	}
	for _, r := range row.Tries {
		t, err := ParseTask(r.Task)
		if err != nil {
			return nil, errors.Wrapf(err, "stored progress of job %s", j.ID)
		}
		if !p.Has(t) || t.Job != j.ID {
			continue // it would be stored again and again
		}
		if len(r.Failed) > 0 || r.Checkpoint != "" {
			p.tries[t] = Tries{Failed: r.Failed, Checkpoint: r.Checkpoint}
		}
		for _, c := range r.Crashes {
			p.crashes[t] = append(p.crashes[t], Crash(c))
		}
	}
	return p, nil
}

const (
	maxObjects   = 4 * (1 + MaxSteps) // in the JSON form of a job, with room for fields of later versions
	stepsDepth   = 2                  // of the list of steps
	maxErrorText = 200                // characters of an error of encoding/json, which quotes numbers of any length
)

// CheckObjects returns an [ErrInvalid] if the JSON form of a job has far more objects, or elements
// of its list of steps, than steps are allowed. Each would take many times its own size when it is
// decoded, an element of another type than an object too.
func CheckObjects(data []byte) error {
	if bytes.Count(data, []byte("{"))+bytes.Count(data, []byte(",")) <= maxObjects {
		return nil
	}
	objects, elements, depth, quoted := 0, 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '"':
			quoted = !quoted
		case quoted && c == '\\':
			i++
		case quoted:
		case c == '{':
			objects++
			depth++
		case c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ',' && depth <= stepsDepth:
			elements++
		}
	}
	if most := max(objects, elements); most > maxObjects {
		return errors.Wrapf(ErrInvalid, "steps: %d objects or elements, allowed: up to %d steps", most, MaxSteps)
	}
	return nil
}
