package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

func refused(outcome caller.Outcome, reason caller.Reason, detail string, retryAfter time.Duration) reply {
	return reply{refusal: &caller.Refusal{
		Outcome:    outcome,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
		Status:     statusOf(outcome, reason),
	}}
}

// statusOf returns the HTTP status that fits a refusal best, for clients that do
// not read its outcome and reason.
func statusOf(outcome caller.Outcome, reason caller.Reason) int {
	switch reason {
	case caller.BadRequest, caller.BadKey, caller.KeyMissing, caller.KeyAhead:
		return http.StatusBadRequest
	case caller.UnknownService:
		return http.StatusNotFound
	case caller.WrongMethod:
		return http.StatusMethodNotAllowed
	case caller.TooLarge:
		return http.StatusRequestEntityTooLarge
	case caller.KeyRunning, caller.KeyAnswered, caller.KeyUncertain, caller.KeyExpired:
		return http.StatusConflict
	case caller.QueueFull, caller.EntryFull:
		return http.StatusTooManyRequests
	case caller.EndpointSilent:
		return http.StatusGatewayTimeout
	}
	if outcome == caller.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

var schedReasons = map[sched.Reason]caller.Reason{
	sched.QueueFull:    caller.QueueFull,
	sched.DeadlinePast: caller.DeadlinePast,
	sched.TooLate:      caller.CannotStart,
	sched.NoWorker:     caller.NoWorker,
	sched.Cancelled:    caller.CallerGone,
	sched.Stopping:     caller.NotReady,
}

func schedRefusal(r sched.Refusal) reply {
	return refused(caller.NotRun, schedReasons[r.Reason], "no slot was granted: "+string(r.Reason), r.RetryAfter)
}

// acquireRefusal returns the refusal for a wait that ended without a decision of
// the dispatcher.
func acquireRefusal(ctx context.Context, err error) reply {
	if errors.Is(ctx.Err(), context.Canceled) {
		return refused(caller.NotRun, caller.CallerGone, "the caller went away", 0)
	}
	if ctx.Err() != nil {
		return refused(caller.NotRun, caller.DeadlinePast, "the deadline passed before a slot was free", time.Second)
	}
	return refused(caller.NotRun, caller.NotReady, "no dispatcher can be reached: "+err.Error(), time.Second)
}

// lostRefusal returns the refusal for an attempt that may have run.
func lostRefusal(ctx context.Context, err error) reply {
	reason := caller.EndpointFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = caller.CallerGone
	case errors.Is(err, link.ErrSilent):
		reason = caller.EndpointSilent
	case errors.Is(err, link.ErrAttemptMismatch), errors.Is(err, link.ErrTruncated):
		reason = caller.AnswerBad
	case errors.Is(err, link.ErrTooLarge):
		reason = caller.AnswerTooLarge
	}
	return refused(caller.Unknown, reason, err.Error(), 0)
}
