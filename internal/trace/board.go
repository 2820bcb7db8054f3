package trace

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// RecordBoard makes a board write each of its steps to a time line. The board numbers
// its attempts from base+1; the first event records base as its epoch.
func RecordBoard(log *event.Log, pool string, base int, board *place.Board) {
	log.Add(event.PlacementStart, pool, uint64(base), "")
	board.Record = func(s place.Step) {
		if s.Kind == place.StepDecide && hasNoOrders(s.Orders) && !s.Flag {
			return // without orders, reservations and a plan, it changes nothing that the next decision would not change
		}
		text, err := encodeBoardStep(s)
		if err != nil {
			text = err.Error() // a replay reports it as malformed
		}
		log.Add(event.PlacementStep, pool, uint64(base), text)
	}
}

func hasNoOrders(o place.Orders) bool {
	return len(o.Starts)+len(o.Stops)+len(o.Paces)+len(o.Advice) == 0
}

// BoardSummary counts the boards, steps, orders and ended attempts of a recording.
type BoardSummary struct {
	Boards int
	Steps  int
	Starts int
	Stops  int
	Ended  map[jobs.Outcome]int
}

// ReplayBoards executes the recorded steps of boards and compares the orders that
// result with the recorded ones. It ignores other events.
func ReplayBoards(events []event.Event, policy place.Policy) (BoardSummary, error) {
	summary := BoardSummary{Ended: map[jobs.Outcome]int{}}
	boards := map[string]*place.Board{}
	for i, e := range events {
		name := fmt.Sprintf("%s/%s/%d", e.Process, e.Object, e.Epoch)
		switch e.Kind {
		case event.PlacementStart:
			boards[name] = place.NewBoard(policy, int(e.Epoch))
			summary.Boards++
			continue
		case event.PlacementStep:
		default:
			continue
		}
		s, err := decodeBoardStep(e.Cause)
		if err != nil {
			return summary, errors.Wrapf(err, "event %d", i+1)
		}
		board := boards[name]
		if board == nil {
			return summary, errors.Wrapf(ErrMalformed, "event %d, pool %s: placement step without a preceding placement start", i+1, e.Object)
		}
		orders, strays, err := board.Replay(s)
		if err != nil {
			return summary, errors.Wrapf(ErrMalformed, "event %d: %v", i+1, err)
		}
		if !equalOrders(orders, s.Orders) || len(strays)+len(s.UnexpectedStops) > 0 && !reflect.DeepEqual(strays, s.UnexpectedStops) {
			return summary, errors.Wrapf(ErrDiffers, "event %d, pool %s, %s at %s: got orders %+v and strays %+v, recorded orders %+v and strays %+v",
				i+1, e.Object, s.Kind, s.At.UTC().Format(time.RFC3339Nano), orders, strays, s.Orders, s.UnexpectedStops)
		}
		summary.add(s)
	}
	return summary, nil
}

func (s *BoardSummary) add(step place.Step) {
	s.Steps++
	s.Starts += len(step.Orders.Starts)
	s.Stops += len(step.Orders.Stops) + len(step.UnexpectedStops)
	for _, e := range step.Ended {
		s.Ended[e.Outcome]++
	}
}

// equalOrders compares orders. It treats nil and empty lists alike if there are no
// orders at all.
func equalOrders(x, y place.Orders) bool {
	return hasNoOrders(x) && hasNoOrders(y) || reflect.DeepEqual(x, y)
}

// boardStepWire is the JSON form of a [place.Step].
type boardStepWire struct {
	Kind     string           `json:"kind"`
	At       time.Time        `json:"at,omitzero"`
	Job      json.RawMessage  `json:"job,omitempty"`
	Progress json.RawMessage  `json:"progress,omitempty"`
	ID       string           `json:"id,omitempty"`
	State    string           `json:"state,omitempty"`
	Worker   *placeWorkerWire `json:"worker,omitempty"`
	Key      string           `json:"key,omitempty"`
	Task     string           `json:"task,omitempty"`
	Attempt  int              `json:"attempt,omitempty"`
	Flag     bool             `json:"flag,omitempty"`
	Limit    int              `json:"limit,omitempty"`
	Size     *sizeWire        `json:"size,omitempty"`

	Organisations map[string]organisationWire `json:"organisations,omitempty"`

	Running []runningWire     `json:"running,omitempty"`
	Ended   []endedWire       `json:"ended,omitempty"`
	Asked   time.Time         `json:"asked,omitzero"`
	Until   time.Time         `json:"until,omitzero"`
	Kept    time.Duration     `json:"kept-ns,omitempty"`
	Workers []string          `json:"workers,omitempty"`
	Tickets map[string]string `json:"tickets,omitempty"`
	Queues  map[string]bool   `json:"queues,omitempty"`
	Starts  []startWire       `json:"starts,omitempty"`
	Stops   []stopWire        `json:"stops,omitempty"`
	Paces   []paceWire        `json:"paces,omitempty"`
	Advice  []adviceWire      `json:"advice,omitempty"`
	Strays  []stopWire        `json:"strays,omitempty"`
}

type placeWorkerWire struct {
	Key          string   `json:"key"`
	ID           string   `json:"id"`
	Rack         string   `json:"rack,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Millicores   int      `json:"millicores"`
	MemoryMB     int      `json:"memory-mb"`
	Accelerators int      `json:"accelerators,omitempty"`
	Draining     bool     `json:"draining,omitempty"`
	Silent       bool     `json:"silent,omitempty"`
	Vacate       bool     `json:"vacate,omitempty"`
	Closed       bool     `json:"closed,omitempty"`
}

// sizeWire is the JSON form of [jobs.Resources].
type sizeWire struct {
	Millicores   int `json:"millicores"`
	MemoryMB     int `json:"memory-mb"`
	Accelerators int `json:"accelerators"`
}

type organisationWire struct {
	Weight int `json:"weight"`
}

type runningWire struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Percent    int    `json:"percent"`
	Load       int    `json:"load,omitempty"`
}

type endedWire struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Outcome    string `json:"outcome"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

type startWire struct {
	Worker     string `json:"worker"`
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

type stopWire struct {
	Worker  string `json:"worker"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Cause   string `json:"cause"`
	Settle  bool   `json:"settle,omitempty"`
}

type paceWire struct {
	Worker  string `json:"worker"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Percent int    `json:"percent"`
}

type adviceWire struct {
	Job        string   `json:"job"`
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Queue      string   `json:"queue"`
	Workers    []string `json:"workers"`
}

func encodeBoardStep(s place.Step) (string, error) {
	w := boardStepWire{
		Kind: string(s.Kind), At: stripMonotonic(s.At), Progress: s.Progress, ID: string(s.ID), State: string(s.State), Key: s.Key,
		Attempt: s.Attempt, Flag: s.Flag, Limit: s.Limit, Asked: stripMonotonic(s.Asked), Until: stripMonotonic(s.Until), Kept: s.Kept, Workers: s.Workers, Tickets: s.Tickets, Queues: s.Queues,
	}
	if s.Task != (jobs.Task{}) {
		w.Task = formatTask(s.Task)
	}
	if s.Kind == place.StepAdd {
		job, err := s.Job.Encode()
		if err != nil {
			return "", errors.Wrap(err, "job")
		}
		w.Job = job
	}
	if s.Kind == place.StepWorker {
		p := s.Worker
		w.Worker = &placeWorkerWire{
			p.Key, p.ID, p.Rack, p.Labels, p.Size.Millicores, p.Size.MemoryMB, p.Size.Accelerators, p.Draining, p.Silent, p.Vacate, p.Closed,
		}
	}
	if s.Kind == place.StepAllotment {
		w.Size = &sizeWire{s.Size.Millicores, s.Size.MemoryMB, s.Size.Accelerators}
	}
	for name, o := range s.Organisations {
		if w.Organisations == nil {
			w.Organisations = map[string]organisationWire{}
		}
		w.Organisations[name] = organisationWire{o.Weight}
	}
	for _, r := range s.Running {
		w.Running = append(w.Running, runningWire{formatTask(r.Task), r.Attempt, r.Checkpoint, r.Percent, r.Load})
	}
	for _, e := range s.Ended {
		w.Ended = append(w.Ended, endedWire{formatTask(e.Task), e.Attempt, string(e.Outcome), e.Checkpoint})
	}
	for _, o := range s.Orders.Starts {
		w.Starts = append(w.Starts, startWire{o.Worker, formatTask(o.Task), o.Attempt, o.Spec, o.Checkpoint, o.Ticket})
	}
	w.Stops, w.Strays = stopsToWire(s.Orders.Stops), stopsToWire(s.UnexpectedStops)
	for _, o := range s.Orders.Paces {
		w.Paces = append(w.Paces, paceWire{o.Worker, formatTask(o.Task), o.Attempt, o.Percent})
	}
	for _, o := range s.Orders.Advice {
		w.Advice = append(w.Advice, adviceWire{string(o.Job), o.Occurrence, o.Step, o.Queue, o.Workers})
	}
	text, err := json.Marshal(w)
	return string(text), errors.Wrap(err, "step")
}

func stopsToWire(stops []place.StopOrder) []stopWire {
	var wires []stopWire
	for _, o := range stops {
		wires = append(wires, stopWire{o.Worker, formatTask(o.Task), o.Attempt, o.Cause, o.Unconfirmed})
	}
	return wires
}

// formatTask returns the name of a task. A task without a job, as in steps about
// advice, is written as its occurrence and step number.
func formatTask(t jobs.Task) string {
	if t.Job == "" {
		return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
	}
	return t.String()
}

// taskParser parses names of tasks and collects the errors.
type taskParser struct{ err error }

func (r *taskParser) parse(text string) jobs.Task {
	if text == "" {
		return jobs.Task{}
	}
	var t jobs.Task
	if n, err := fmt.Sscanf(text, "%d.%d", &t.Occurrence, &t.Step); err == nil && n == 2 && len(text) < len("0000000000000000") {
		return t
	}
	t, err := jobs.ParseTask(text)
	r.err = errors.CombineErrors(r.err, err)
	return t
}

func decodeBoardStep(text string) (place.Step, error) {
	var w boardStepWire
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return place.Step{}, errors.Wrapf(ErrMalformed, "%v: %.60q", err, text)
	}
	var r taskParser
	s := place.Step{
		Kind: place.StepKind(w.Kind), At: w.At, Progress: w.Progress, ID: jobs.ID(w.ID), State: jobs.State(w.State), Key: w.Key,
		Task: r.parse(w.Task), Attempt: w.Attempt, Flag: w.Flag, Limit: w.Limit, Asked: w.Asked, Until: w.Until, Kept: w.Kept, Workers: w.Workers, Tickets: w.Tickets, Queues: w.Queues,
	}
	if s.Kind == place.StepAdd {
		var err error
		if s.Job, err = jobs.Decode(w.Job); err != nil {
			return place.Step{}, errors.Wrapf(ErrMalformed, "decode job: %v", err)
		}
	}
	if p := w.Worker; p != nil {
		s.Worker = place.Worker{
			Key: p.Key, ID: p.ID, Rack: p.Rack, Labels: p.Labels, Size: jobs.Resources{Millicores: p.Millicores, MemoryMB: p.MemoryMB, Accelerators: p.Accelerators},
			Draining: p.Draining, Silent: p.Silent, Vacate: p.Vacate, Closed: p.Closed,
		}
	}
	if z := w.Size; z != nil {
		s.Size = jobs.Resources{Millicores: z.Millicores, MemoryMB: z.MemoryMB, Accelerators: z.Accelerators}
	}
	if w.Organisations != nil {
		s.Organisations = map[string]place.Organisation{}
	}
	for name, o := range w.Organisations {
		s.Organisations[name] = place.Organisation{Weight: o.Weight}
	}
	for _, o := range w.Running {
		s.Running = append(s.Running, place.Running{Task: r.parse(o.Task), Attempt: o.Attempt, Checkpoint: o.Checkpoint, Percent: o.Percent, Load: o.Load})
	}
	for _, o := range w.Ended {
		s.Ended = append(s.Ended, place.Ended{Task: r.parse(o.Task), Attempt: o.Attempt, Outcome: jobs.Outcome(o.Outcome), Checkpoint: o.Checkpoint})
	}
	for _, o := range w.Starts {
		s.Orders.Starts = append(s.Orders.Starts, place.StartOrder{
			Worker: o.Worker, Task: r.parse(o.Task), Attempt: o.Attempt, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	}
	s.Orders.Stops, s.UnexpectedStops = r.stops(w.Stops), r.stops(w.Strays)
	for _, o := range w.Paces {
		s.Orders.Paces = append(s.Orders.Paces, place.PaceOrder{Worker: o.Worker, Task: r.parse(o.Task), Attempt: o.Attempt, Percent: o.Percent})
	}
	for _, o := range w.Advice {
		s.Orders.Advice = append(s.Orders.Advice, place.AdviceOrder{Job: jobs.ID(o.Job), Occurrence: o.Occurrence, Step: o.Step, Queue: o.Queue, Workers: o.Workers})
	}
	if r.err != nil {
		return place.Step{}, errors.Wrapf(ErrMalformed, "%v", r.err)
	}
	return s, nil
}

func (r *taskParser) stops(wires []stopWire) []place.StopOrder {
	var orders []place.StopOrder
	for _, o := range wires {
		orders = append(orders, place.StopOrder{Worker: o.Worker, Task: r.parse(o.Task), Attempt: o.Attempt, Cause: o.Cause, Unconfirmed: o.Settle})
	}
	return orders
}
