package trace

import (
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// Errors returned by [ReplayQueues] and [ReplayBoards].
var (
	ErrDiffers   = errors.New("the replay differs from the recording")
	ErrMalformed = errors.New("malformed step")
)

// QueueSummary counts the queues, steps and decisions of a recording.
type QueueSummary struct {
	Pools    int
	Steps    int
	Grants   int
	Refusals map[sched.Reason]int
}

// ReplayQueues executes the recorded steps of the queue of each pool and compares the
// decisions that result with the recorded ones. It ignores other events.
func ReplayQueues(events []event.Event) (QueueSummary, error) {
	summary := QueueSummary{Refusals: map[sched.Reason]int{}}
	queues := map[string]*sched.Queue{}
	for i, e := range events {
		if e.Kind != event.DispatchStep {
			continue
		}
		step, err := decodeStep(e.Cause)
		if err != nil {
			return summary, errors.Wrapf(err, "event %d", i+1)
		}
		q, known := queues[e.Process+"/"+e.Object]
		if !known || step.Kind == StepSkipGrants {
			// A new dispatcher starts with an empty queue and skips grant IDs first.
			q = sched.NewQueue(sched.Config{})
			queues[e.Process+"/"+e.Object] = q
		}
		got := execute(q, step)
		if len(got)+len(step.Decisions) > 0 && !reflect.DeepEqual(got, step.Decisions) {
			return summary, errors.Wrapf(ErrDiffers, "event %d, pool %s, %s: got %s, recorded %s",
				i+1, e.Object, step.Kind, encodeDecisions(got), encodeDecisions(step.Decisions))
		}
		summary.add(got)
	}
	summary.Pools = len(queues)
	return summary, nil
}

func (s *QueueSummary) add(decisions []sched.Decision) {
	s.Steps++
	for _, d := range decisions {
		if d.Grant != nil {
			s.Grants++
		} else {
			s.Refusals[d.Refusal.Reason]++
		}
	}
}

func execute(q *sched.Queue, step Step) []sched.Decision {
	switch step.Kind {
	case StepConfigure:
		q.SetConfig(step.Config)
	case StepSetWorkers:
		return q.SetWorkers(step.Workers, step.At)
	case StepArrive:
		return q.Arrive(step.Request, step.At)
	case StepCancel:
		return q.Cancel(step.ID, step.At)
	case StepRelease:
		return q.Release(step.Number, step.Outcome, step.At)
	case StepRestore:
		q.Restore(step.Grant)
	case StepSkipGrants:
		q.SkipGrantIDs(step.Number)
	case StepTick:
		return q.Tick(step.At)
	case StepRefuse:
		return q.RefuseAll(step.Reason)
	}
	return nil
}
