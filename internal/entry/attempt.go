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

// runAttempts makes attempts at a request until it is answered or may not be
// retried.
func (e *Entry) runAttempts(ctx context.Context, r *request) reply {
	e.countRequest()
	var last reply
	for r.attempts = 1; ; r.attempts++ {
		next := e.attempt(ctx, r)
		if r.attempts > 1 && next.refusal != nil && next.refusal.Outcome == caller.NotRun {
			// An earlier attempt ran or may have run, so not-run would be wrong.
			return last
		}
		last = next
		if !e.mayRetry(ctx, r, last) {
			return last
		}
		e.config.Log.Add(event.RequestRetry, r.ID, uint64(r.attempts), last.cause())
		e.metrics.retries.Inc()
	}
}

func (r reply) cause() string {
	if r.refusal != nil {
		return r.refusal.Error()
	}
	return http.StatusText(r.answer.Status)
}

func (e *Entry) mayRetry(ctx context.Context, r *request, last reply) bool {
	if !r.retryable() || r.attempts >= e.config.Limits.MaxAttempts || ctx.Err() != nil {
		return false
	}
	failed := last.answer != nil && last.answer.Status >= http.StatusInternalServerError
	lost := last.refusal != nil && last.refusal.Outcome == caller.Unknown
	return (failed || lost) && e.takeRetryToken()
}

func (e *Entry) countRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.addRequest()
}

func (e *Entry) takeRetryToken() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.take()
}

// attempt waits for a slot and sends the request once. If a grant can't be used,
// because the host was drained meanwhile or refused the connection, it waits for
// another slot. That does not count as an attempt.
func (e *Entry) attempt(ctx context.Context, r *request) reply {
	for unusable := 0; ; unusable++ {
		decision, err := e.config.Acquire(ctx, r.service.Pool, e.schedRequest(r))
		if err != nil {
			return acquireRefusal(ctx, err)
		}
		if decision.Refusal != nil {
			return schedRefusal(*decision.Refusal)
		}
		result := e.useGrant(ctx, r, *decision.Grant)
		if result.Outcome == link.Answered {
			return reply{answer: &result}
		}
		if result.Outcome == link.Lost {
			return lostRefusal(ctx, result.Err)
		}
		r.avoid = append(r.avoid, decision.Grant.Worker)
		if unusable+1 >= maxUnusableGrants || ctx.Err() != nil {
			return refused(caller.NotRun, caller.NoWorker, result.Err.Error(), time.Second)
		}
	}
}

// maxUnusableGrants is the number of unusable grants after which an attempt fails.
const maxUnusableGrants = 5

func (e *Entry) schedRequest(r *request) sched.Request {
	remaining := r.deadline.Sub(e.config.Now())
	run := min(r.service.RunTime, remaining/2)
	return sched.Request{
		ID:       e.nextAttemptID(),
		Entry:    e.config.Name,
		Service:  r.service.Name,
		Team:     r.Team,
		Urgency:  r.urgency,
		Deadline: r.deadline.Add(-run),
		Avoid:    r.avoid,

		Repeatable: r.retryable(),
	}
}

// useGrant sends the request to the granted worker and releases the slot.
func (e *Entry) useGrant(ctx context.Context, r *request, g sched.Grant) link.Result {
	l, err := e.startAttempt(g)
	if err != nil {
		e.config.Release(r.service.Pool, g, sched.Unused)
		return link.Result{Outcome: link.NotSent, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, e.attemptTimeout(r))
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
		Allowed:     func() error { return e.checkHost(g) },
	})
	e.endAttempt(g)
	e.recordLatency(r, result, e.config.Now().Sub(started))
	if errors.Is(result.Err, link.ErrAttemptMismatch) || errors.Is(result.Err, link.ErrTruncated) {
		e.config.Log.Add(event.AnswerDiscarded, r.ID, 0, g.Worker+": "+result.Err.Error())
	}
	e.config.Release(r.service.Pool, g, grantOutcome(result))
	return result
}

// attemptTimeout returns the timeout of one attempt. For work that can't be retried
// it is all the time to the deadline.
func (e *Entry) attemptTimeout(r *request) time.Duration {
	remaining := r.deadline.Sub(e.config.Now())
	if !r.retryable() {
		return remaining
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latencyOf(r.service).attemptTimeout(remaining)
}

func (e *Entry) recordLatency(r *request, result link.Result, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case result.Outcome == link.Answered:
		e.latencyOf(r.service).recordAnswer(took)
	case errors.Is(result.Err, link.ErrSilent):
		e.latencyOf(r.service).recordTimeout(took)
	}
}

func (e *Entry) latencyOf(service fleet.Service) *latencyEstimate {
	l, known := e.latencies[service.Name]
	if !known {
		l = newLatencyEstimate(service.RunTime)
		e.latencies[service.Name] = l
	}
	return l
}

// ErrHostNotServing is returned if no requests may be sent to the granted host.
var ErrHostNotServing = errors.New("the granted host takes no work")

// startAttempt checks that requests may be sent to the host, and counts the attempt.
// Both happen under the lock that [Entry.Status] takes, so that a status never
// misses an attempt that was checked against an older version.
func (e *Entry) startAttempt(g sched.Grant) (*link.Link, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkHost(g); err != nil {
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

// checkHost returns an error if no requests may be sent to the granted host now.
func (e *Entry) checkHost(g sched.Grant) error {
	if reason := e.config.FenceReason(); reason != "" {
		return errors.Wrap(ErrHostNotServing, reason)
	}
	state := e.config.State()
	host, known := state.Hosts[g.Worker]
	if !known || !host.TakesWork() || host.Pool != state.Services[g.Service].Pool {
		return errors.Wrapf(ErrHostNotServing, "%s is %s", g.Worker, host.State)
	}
	return nil
}

func (e *Entry) endAttempt(g sched.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.grants, g.ID)
	e.inFlight[g.Worker]--
	if e.inFlight[g.Worker] == 0 {
		delete(e.inFlight, g.Worker)
	}
}

// grantOutcome returns the outcome to release a grant with, which the dispatcher
// uses to judge the worker's health.
func grantOutcome(result link.Result) sched.Outcome {
	if result.Outcome == link.Answered && result.Status < http.StatusInternalServerError {
		return sched.Succeeded
	}
	if errors.IsAny(result.Err, link.ErrDeclined, ErrHostNotServing) {
		return sched.Unused
	}
	return sched.Failed
}
