package trace

import (
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// Errors of a replay.
var (
	ErrDiffers   = errors.New("the replay decided otherwise")
	ErrMalformed = errors.New("malformed step")
)

// Summary counts what a record holds.
type Summary struct {
	Pools    int
	Steps    int
	Grants   int
	Refusals map[sched.Reason]int
}

// Replay carries out the steps of a record anew, pool by pool, and compares the
// decisions. Other events are passed over.
func Replay(events []event.Event) (Summary, error) {
	summary := Summary{Refusals: map[sched.Reason]int{}}
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
		if !known || step.Kind == Skip {
			// A desk begins by skipping numbers.
			q = sched.NewQueue(sched.Config{})
			queues[e.Process+"/"+e.Object] = q
		}
		got := carryOut(q, step)
		if len(got)+len(step.Decisions) > 0 && !reflect.DeepEqual(got, step.Decisions) {
			return summary, errors.Wrapf(ErrDiffers, "event %d, pool %s, %s: got %s, recorded %s",
				i+1, e.Object, step.Kind, encodeDecisions(got), encodeDecisions(step.Decisions))
		}
		summary.add(got)
	}
	summary.Pools = len(queues)
	return summary, nil
}

func (s *Summary) add(decisions []sched.Decision) {
	s.Steps++
	for _, d := range decisions {
		if d.Grant != nil {
			s.Grants++
		} else {
			s.Refusals[d.Refusal.Reason]++
		}
	}
}

func carryOut(q *sched.Queue, step Step) []sched.Decision {
	switch step.Kind {
	case Configure:
		q.SetConfig(step.Config)
	case Workers:
		return q.SetWorkers(step.Workers, step.At)
	case Arrive:
		return q.Arrive(step.Request, step.At)
	case Cancel:
		return q.Cancel(step.ID, step.At)
	case Release:
		return q.Release(step.Number, step.Outcome, step.At)
	case Restore:
		q.Restore(step.Grant)
	case Skip:
		q.SkipGrantIDs(step.Number)
	case Tick:
		return q.Tick(step.At)
	case Refuse:
		return q.RefuseAll(step.Reason)
	}
	return nil
}
