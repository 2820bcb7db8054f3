package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// StepKind identifies the Board method that a step called.
type StepKind string

// The kinds of steps.
const (
	StepAdd             StepKind = "add"
	StepAdvised         StepKind = "advised"
	StepAdviceFailed    StepKind = "advice-failed"
	StepAllotment       StepKind = "allotment"
	StepShedding        StepKind = "shedding"
	StepSetAdvised      StepKind = "queues-with-advice"
	StepCancel          StepKind = "cancel"
	StepCrashed         StepKind = "crashed"
	StepDecide          StepKind = "decide"
	StepTicketRejected  StepKind = "ticket-rejected"
	StepUnconfirmed     StepKind = "doubt"
	StepExpire          StepKind = "expire"
	StepGrowth          StepKind = "growth"
	StepLapse           StepKind = "lapse"
	StepLeft            StepKind = "left"
	StepLookAhead       StepKind = "look-ahead"
	StepLifetimeEnded   StepKind = "lifetime-ended"
	StepListed          StepKind = "listed"
	StepListedInPart    StepKind = "listed-in-part"
	StepOrganisations   StepKind = "organisations"
	StepRefused         StepKind = "refused"
	StepRemoveWorker    StepKind = "remove-worker"
	StepSilent          StepKind = "silent"
	StepSuspend         StepKind = "suspend"
	StepStartLimit      StepKind = "start-limit"
	StepLastingLimit    StepKind = "lasting-start-limit"
	StepAttemptLimit    StepKind = "attempt-limit"
	StepStarted         StepKind = "started"
	StepSuspectCrash    StepKind = "suspect-crash"
	StepStopAnswered    StepKind = "stop-answered"
	StepStopFailed      StepKind = "stop-failed"
	StepStartUnanswered StepKind = "unsure"
	StepVacate          StepKind = "vacate"
	StepWorker          StepKind = "worker"
	StepWritten         StepKind = "written"
	StepMoveUnlisted    StepKind = "move-unlisted"
	StepProgress        StepKind = "gathered"
	StepWriteFailed     StepKind = "unwritten"
)

// Step is a recorded Board call that affects scheduling, with its arguments and
// result. Only the fields that its kind uses are set.
type Step struct {
	Kind     StepKind
	At       time.Time
	Job      jobs.Job
	Progress []byte // stored form
	ID       jobs.ID
	State    jobs.State
	Worker   Worker
	Key      string // of a worker
	Task     jobs.Task
	Attempt  int
	Flag     bool // of a decision: it made or held reservations, or planned for an overload
	Running  []Running
	Ended    []Ended
	Asked    time.Time
	Until    time.Time
	Kept     time.Duration
	Workers  []string // ids that a request for advice named, or the key of a later lifetime
	Tickets  map[string]string
	Queues   map[string]bool
	Limit    int
	Size     jobs.Resources

	Organisations map[string]Organisation

	Orders          Orders      // result of Decide
	UnexpectedStops []StopOrder // result of Listed
}

// adviceOrder returns the request that a step about advice answers.
func (s Step) adviceOrder() AdviceOrder {
	return AdviceOrder{Job: s.ID, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Workers: s.Workers}
}

// recordStep passes a step to Record, if set.
func (b *Board) recordStep(s Step) {
	if b.Record != nil {
		b.Record(s)
	}
}

// recordAdd records a job with its progress, also if none of its tasks has run yet.
func (b *Board) recordAdd(j jobs.Job, p *jobs.Progress, now time.Time) {
	if b.Record == nil {
		return
	}
	data, err := p.Encode()
	if err != nil {
		return // can't happen: the progress is new or was decoded from this form
	}
	b.Record(Step{Kind: StepAdd, Job: j, Progress: data, At: now})
}

// Replay repeats a recorded call and returns its orders. It returns an error if the
// recorded progress of a job can't be decoded, which means the record is damaged.
func (b *Board) Replay(s Step) (Orders, []StopOrder, error) {
	switch s.Kind {
	case StepAdd:
		p, err := jobs.DecodeProgress(s.Job, s.Progress)
		if err != nil {
			return Orders{}, nil, err
		}
		b.Add(s.Job, p, s.At)
	case StepAdvised:
		b.Advised(s.adviceOrder(), s.Tickets, s.Until, s.At)
	case StepAdviceFailed:
		b.AdviceFailed(s.adviceOrder(), s.At)
	case StepSetAdvised:
		b.SetAdvised(s.Queues)
	case StepAllotment:
		b.SetAllotment(s.Key, s.Size)
	case StepOrganisations:
		b.SetOrganisations(s.Organisations)
	case StepCancel:
		b.Cancel(s.ID, s.At)
	case StepCrashed:
		b.WorkerCrashed(s.Key, s.At)
	case StepDecide:
		return b.Decide(s.At), nil, nil
	case StepUnconfirmed:
		b.SetUnconfirmedUntil(s.Until)
	case StepExpire:
		b.Expire(s.Kept, s.At)
	case StepGrowth:
		b.SetGrowth(s.Limit, s.At)
	case StepShedding:
		b.SetShedding(s.Flag)
	case StepLapse:
		b.ExpireLeases(s.Key, s.At)
	case StepLookAhead:
		b.SetLookAhead(s.Flag)
	case StepLeft:
		b.WorkerLeft(s.Key)
	case StepLifetimeEnded:
		b.LifetimeEnded(s.Key, s.At)
	case StepMoveUnlisted:
		if len(s.Workers) == 1 {
			b.MoveUnlisted(s.Key, s.Workers[0], s.At)
		}
	case StepListed:
		return Orders{}, b.Listed(s.Key, s.Running, s.Ended, s.Asked, s.At), nil
	case StepListedInPart:
		return Orders{}, b.ListedInPart(s.Key, s.Running, s.Ended, s.Asked, s.At), nil
	case StepRefused:
		b.Refused(s.Key, s.Task, s.Attempt, s.At)
	case StepTicketRejected:
		b.TicketRejected(s.Key, s.Task, s.Attempt, s.At)
	case StepRemoveWorker:
		b.RemoveWorker(s.Key, s.At)
	case StepSuspend:
		b.Suspend(s.ID, s.Until)
	case StepSilent:
		b.SetSilent(s.Key, s.Flag)
	case StepStartLimit:
		b.SetStartLimit(s.Limit)
	case StepLastingLimit:
		b.SetLastingStartLimit(s.Limit)
	case StepAttemptLimit:
		b.SetAttemptLimit(s.Limit)
	case StepStarted:
		b.Started(s.Key, s.Task, s.Attempt, s.At)
	case StepSuspectCrash:
		b.SuspectCrash(s.Key, s.Until, s.Asked, s.At)
	case StepStopAnswered:
		b.StopAnswered(s.Key, s.Task, s.Attempt, s.At)
	case StepStopFailed:
		b.StopFailed(s.Key, s.Task, s.Attempt)
	case StepStartUnanswered:
		b.StartUnanswered(s.Key, s.Task, s.Attempt)
	case StepVacate:
		b.SetVacate(s.Key, s.Flag)
	case StepWorker:
		b.SetWorker(s.Worker)
	case StepWritten:
		b.Written(s.ID, s.State)
	case StepProgress:
		if _, _, err := b.EncodeProgress(s.ID); err != nil {
			return Orders{}, nil, err
		}
	case StepWriteFailed:
		b.WriteFailed(s.ID)
	}
	return Orders{}, nil, nil
}
