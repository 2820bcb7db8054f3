package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// runTries tries the request until it has an answer or may not be tried again.
func (e *Entry) runTries(ctx context.Context, r *request) end {
	e.countFirstTry()
	var last end
	for r.tries = 1; ; r.tries++ {
		next := e.try(ctx, r)
		if r.tries > 1 && next.refusal != nil && next.refusal.Outcome == caller.NotRun {
			// An earlier try ran or may have run, so the request is not not-run.
			return last
		}
		last = next
		if !e.mayRetry(ctx, r, last) {
			return last
		}
		e.config.Log.Add(event.RequestRetry, r.ID, uint64(r.tries), last.cause())
		e.metrics.retries.Inc()
	}
}

func (n end) cause() string {
	if n.refusal != nil {
		return n.refusal.Error()
	}
	return http.StatusText(n.answer.Status)
}

func (e *Entry) mayRetry(ctx context.Context, r *request, last end) bool {
	if !r.retryable() || r.tries >= e.config.Limits.MaxTries || ctx.Err() != nil {
		return false
	}
	failed := last.answer != nil && last.answer.Status >= http.StatusInternalServerError
	lost := last.refusal != nil && last.refusal.Outcome == caller.Unknown
	return (failed || lost) && e.takeRetry()
}

func (e *Entry) countFirstTry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.firstTry()
}

func (e *Entry) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.take()
}

// try waits for a slot and sends the request once. A grant that can't be used,
// because the host was drained meanwhile or did not take the connection, costs
// nothing but another wait.
func (e *Entry) try(ctx context.Context, r *request) end {
	for unsent := 0; ; unsent++ {
		decision, err := e.config.Acquire(ctx, r.service.Pool, e.schedRequest(r))
		if err != nil {
			return acquireRefusal(ctx, err)
		}
		if decision.Refusal != nil {
			return schedRefusal(*decision.Refusal)
		}
		result := e.useGrant(ctx, r, *decision.Grant)
		if result.Outcome == link.Answered {
			return end{answer: &result}
		}
		if result.Outcome == link.Lost {
			return lostRefusal(ctx, result.Err)
		}
		r.avoid = append(r.avoid, decision.Grant.Worker)
		if unsent+1 >= maxUnsent || ctx.Err() != nil {
			return refused(caller.NotRun, caller.NoWorker, result.Err.Error(), time.Second)
		}
	}
}

// maxUnsent bounds the grants that one try may find unusable.
const maxUnsent = 5

func (e *Entry) schedRequest(r *request) sched.Request {
	remaining := r.deadline.Sub(e.config.Now())
	run := min(r.service.RunTime, remaining/2)
	return sched.Request{
		ID:       e.nextAttempt(),
		Entry:    e.config.Name,
		Service:  r.service.Name,
		Team:     r.Team,
		Urgency:  r.urgency,
		Deadline: r.deadline.Add(-run),
		Avoid:    r.avoid,

		Repeatable: r.retryable(),
	}
}

// useGrant sends the request to the granted worker and gives the slot back.
func (e *Entry) useGrant(ctx context.Context, r *request, g sched.Grant) link.Result {
	l, err := e.startTry(g)
	if err != nil {
		e.config.Release(r.service.Pool, g, sched.Unused)
		return link.Result{Outcome: link.NotSent, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, e.tryLimit(r))
	defer cancel()
	started := e.config.Now()
	result := l.Do(ctx, link.Request{
		ID:          r.ID,
		Attempt:     g.Request,
		Key:         r.Key,
		Service:     r.service.Name,
		Team:        r.Team,
		Urgency:     r.urgency.String(),
		ContentType: r.ContentType,
		Body:        r.Body,
		Allowed:     func() error { return e.mayWork(g) },
	})
	e.endTry(g)
	e.learnPace(r, result, e.config.Now().Sub(started))
	if errors.Is(result.Err, link.ErrCrossed) || errors.Is(result.Err, link.ErrTruncated) {
		e.config.Log.Add(event.AnswerDiscarded, r.ID, 0, g.Worker+": "+result.Err.Error())
	}
	e.config.Release(r.service.Pool, g, health(result))
	return result
}

// tryLimit returns how long one try may take. Work that can't be tried again may
// take all the time that is left.
func (e *Entry) tryLimit(r *request) time.Duration {
	left := r.deadline.Sub(e.config.Now())
	if !r.retryable() {
		return left
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paceOf(r.service).limit(left)
}

func (e *Entry) learnPace(r *request, result link.Result, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case result.Outcome == link.Answered:
		e.paceOf(r.service).answered(took)
	case errors.Is(result.Err, link.ErrSilent):
		e.paceOf(r.service).gaveUp(took)
	}
}

func (e *Entry) paceOf(service fleet.Service) *pace {
	p, known := e.paces[service.Name]
	if !known {
		p = newPace(service.RunTime)
		e.paces[service.Name] = p
	}
	return p
}

// ErrHostNotServing means that a granted host may not be sent to.
var ErrHostNotServing = errors.New("the granted host takes no work")

// startTry checks under the lock of [Entry.Status] that the host may be sent
// to, and counts the try.
func (e *Entry) startTry(g sched.Grant) (*link.Link, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.mayWork(g); err != nil {
		return nil, err
	}
	e.inFlight[g.Worker]++
	e.grants[g.ID] = g
	host := e.config.State().Hosts[g.Worker]
	l, known := e.links[host.Spec.Addr]
	if !known {
		l = link.New(host.Spec.Addr, e.config.Limits.Link)
		e.links[host.Spec.Addr] = l
	}
	return l, nil
}

// mayWork reports why a granted host may not be sent to now.
func (e *Entry) mayWork(g sched.Grant) error {
	if why := e.config.Fenced(); why != "" {
		return errors.Wrap(ErrHostNotServing, why)
	}
	state := e.config.State()
	host, known := state.Hosts[g.Worker]
	if !known || !host.TakesWork() || host.Pool != state.Services[g.Service].Pool {
		return errors.Wrapf(ErrHostNotServing, "%s is %s", g.Worker, host.State)
	}
	return nil
}

func (e *Entry) endTry(g sched.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.grants, g.ID)
	e.inFlight[g.Worker]--
	if e.inFlight[g.Worker] == 0 {
		delete(e.inFlight, g.Worker)
	}
}

// health is what a result says of the worker.
func health(result link.Result) sched.Outcome {
	if result.Outcome == link.Answered && result.Status < http.StatusInternalServerError {
		return sched.Succeeded
	}
	if errors.IsAny(result.Err, link.ErrDeclined, ErrHostNotServing) {
		return sched.Unused
	}
	return sched.Failed
}
