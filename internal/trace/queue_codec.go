package trace

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/sched"
)

// NewSink returns a sink that adds each step to log as an event.
func NewSink(log *event.Log) Sink {
	return func(pool string, step Step) {
		log.Add(event.DispatchStep, pool, 0, encodeStep(step))
	}
}

type stepWire struct {
	Kind      string         `json:"kind"`
	At        time.Time      `json:"at,omitzero"`
	Services  []serviceWire  `json:"services,omitempty"`
	Teams     []teamWire     `json:"teams,omitempty"`
	Workers   []workerWire   `json:"workers,omitempty"`
	Request   *requestWire   `json:"request,omitempty"`
	ID        string         `json:"id,omitempty"`
	Grant     *grantWire     `json:"grant,omitempty"`
	Number    uint64         `json:"number,omitempty"`
	Outcome   int            `json:"outcome,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	Decisions []decisionWire `json:"decisions,omitempty"`
}

type serviceWire struct {
	Name       string        `json:"name"`
	Weight     int           `json:"weight"`
	QueueLimit int           `json:"queue-limit"`
	RunTime    time.Duration `json:"run-time-ns"`
}

type teamWire struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
}

type workerWire struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
}

type requestWire struct {
	ID         string    `json:"id"`
	Entry      string    `json:"entry"`
	Service    string    `json:"service"`
	Team       string    `json:"team"`
	Urgency    int       `json:"urgency"`
	Deadline   time.Time `json:"deadline"`
	Avoid      []string  `json:"avoid,omitempty"`
	Repeatable bool      `json:"repeatable"`
}

type grantWire struct {
	ID      uint64    `json:"id"`
	Request string    `json:"request"`
	Entry   string    `json:"entry"`
	Service string    `json:"service"`
	Team    string    `json:"team"`
	Urgency int       `json:"urgency"`
	Worker  string    `json:"worker"`
	At      time.Time `json:"at"`
}

type decisionWire struct {
	Request    string        `json:"request"`
	Entry      string        `json:"entry"`
	Grant      *grantWire    `json:"grant,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"`
}

func encodeStep(s Step) string {
	w := stepWire{
		Kind:      string(s.Kind),
		At:        s.At,
		ID:        s.ID,
		Number:    s.Number,
		Outcome:   int(s.Outcome),
		Reason:    string(s.Reason),
		Decisions: decisionsToWire(s.Decisions),
	}
	for _, service := range s.Config.Services {
		w.Services = append(w.Services, serviceWire(service))
	}
	for _, team := range s.Config.Teams {
		w.Teams = append(w.Teams, teamWire(team))
	}
	for _, worker := range s.Workers {
		w.Workers = append(w.Workers, workerWire(worker))
	}
	if s.Kind == StepArrive {
		w.Request = requestToWire(s.Request)
	}
	if s.Kind == StepRestore {
		w.Grant = grantToWire(&s.Grant)
	}
	return encode(w)
}

func decodeStep(text string) (Step, error) {
	var w stepWire
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return Step{}, errors.Wrap(ErrMalformed, err.Error())
	}
	s := Step{
		Kind:      StepKind(w.Kind),
		At:        w.At,
		ID:        w.ID,
		Number:    w.Number,
		Outcome:   sched.Outcome(w.Outcome),
		Reason:    sched.Reason(w.Reason),
		Decisions: decisionsFromWire(w.Decisions),
	}
	for _, service := range w.Services {
		s.Config.Services = append(s.Config.Services, sched.ServiceShare(service))
	}
	for _, team := range w.Teams {
		s.Config.Teams = append(s.Config.Teams, sched.TeamQuota(team))
	}
	for _, worker := range w.Workers {
		s.Workers = append(s.Workers, sched.Worker(worker))
	}
	if w.Request != nil {
		s.Request = requestFromWire(*w.Request)
	}
	if w.Grant != nil {
		s.Grant = grantFromWire(*w.Grant)
	}
	return s, nil
}

func requestToWire(r sched.Request) *requestWire {
	return &requestWire{r.ID, r.Entry, r.Service, r.Team, int(r.Urgency), r.Deadline, r.Avoid, r.Repeatable}
}

func requestFromWire(w requestWire) sched.Request {
	return sched.Request{
		ID:         w.ID,
		Entry:      w.Entry,
		Service:    w.Service,
		Team:       w.Team,
		Urgency:    sched.Urgency(w.Urgency),
		Deadline:   w.Deadline,
		Avoid:      w.Avoid,
		Repeatable: w.Repeatable,
	}
}

func grantToWire(g *sched.Grant) *grantWire {
	return &grantWire{g.ID, g.Request, g.Entry, g.Service, g.Team, int(g.Urgency), g.Worker, g.At}
}

func grantFromWire(w grantWire) sched.Grant {
	return sched.Grant{
		ID:      w.ID,
		Request: w.Request,
		Entry:   w.Entry,
		Service: w.Service,
		Team:    w.Team,
		Urgency: sched.Urgency(w.Urgency),
		Worker:  w.Worker,
		At:      w.At,
	}
}

func decisionsToWire(decisions []sched.Decision) []decisionWire {
	var wires []decisionWire
	for _, d := range decisions {
		w := decisionWire{Request: d.Request, Entry: d.Entry}
		if d.Grant != nil {
			w.Grant = grantToWire(d.Grant)
		}
		if d.Refusal != nil {
			w.Reason, w.RetryAfter = string(d.Refusal.Reason), d.Refusal.RetryAfter
		}
		wires = append(wires, w)
	}
	return wires
}

func decisionsFromWire(wires []decisionWire) []sched.Decision {
	var decisions []sched.Decision
	for _, w := range wires {
		d := sched.Decision{Request: w.Request, Entry: w.Entry}
		if w.Grant != nil {
			g := grantFromWire(*w.Grant)
			d.Grant = &g
		} else {
			d.Refusal = &sched.Refusal{Reason: sched.Reason(w.Reason), RetryAfter: w.RetryAfter}
		}
		decisions = append(decisions, d)
	}
	return decisions
}

func encodeDecisions(decisions []sched.Decision) string {
	return encode(decisionsToWire(decisions))
}

// encode returns the JSON of a wire type, whose encoding can't fail.
func encode(wire any) string {
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return string(data)
}
