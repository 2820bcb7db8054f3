package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/link"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/sched"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

const (
	maxIDBytes         = 128
	bodyReadTimeout    = 10 * time.Second // for a request's body
	answerWriteTimeout = 10 * time.Second // for an answer to the caller
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Handler returns the handler of the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(caller.PathServices+"{service}", e.serve)
	mux.HandleFunc("/", func(w http.ResponseWriter, hr *http.Request) {
		detail := fmt.Sprintf("no such path: %s; requests go to %sNAME", hr.URL.Path, caller.PathServices)
		e.writeRefusal(w, "", refused(caller.NotRun, caller.UnknownService, detail, 0).refusal)
	})
	return mux
}

func (e *Entry) serve(w http.ResponseWriter, hr *http.Request) {
	started := e.config.Now()
	id, result := e.handle(w, hr, started)
	e.metrics.observe(result, e.config.Now().Sub(started))
	if e.quiescing.Load() {
		w.Header().Set("Connection", "close")
	}
	// Without a deadline, a caller that stops reading would keep the answer in memory.
	_ = http.NewResponseController(w).SetWriteDeadline(e.config.Now().Add(answerWriteTimeout))
	if result.refusal != nil {
		e.writeRefusal(w, id, result.refusal)
		return
	}
	writeAnswer(w, id, result.answer)
}

// handle parses, admits and executes a request. The request counts as in progress
// from before its body is read.
func (e *Entry) handle(w http.ResponseWriter, hr *http.Request, started time.Time) (id string, result reply) {
	r, refusal := e.parse(w, hr, started)
	if refusal != nil {
		return r.ID, reply{refusal: refusal}
	}
	if reason := e.admit(); reason != "" {
		return r.ID, refused(caller.NotRun, reason, "this entry takes no more requests now", time.Second)
	}
	defer e.finish()
	if refusal := e.readBody(w, hr, r); refusal != nil {
		return r.ID, reply{refusal: refusal}
	}
	return r.ID, e.run(hr.Context(), r)
}

// parse checks everything of a request except its body.
func (e *Entry) parse(w http.ResponseWriter, hr *http.Request, now time.Time) (*request, *caller.Refusal) {
	r := &request{Request: caller.Request{
		Service:     hr.PathValue("service"),
		ID:          hr.Header.Get(caller.HeaderRequestID),
		Key:         hr.Header.Get(caller.HeaderKey),
		Team:        hr.Header.Get(caller.HeaderTeam),
		ContentType: hr.Header.Get("Content-Type"),
	}}
	if r.ID == "" {
		r.ID = newRequestID()
	}
	if len(r.ID) > maxIDBytes || !printable(r.ID) {
		r.ID = newRequestID()
		return r, badField(caller.HeaderRequestID, "of up to 128 printable ASCII characters without spaces")
	}
	if hr.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return r, refused(caller.NotRun, caller.WrongMethod, "method "+hr.Method+" is not allowed: use POST", 0).refusal
	}
	if reason := e.config.FenceReason(); reason != "" {
		return r, refused(caller.NotRun, caller.NotReady, reason, time.Second).refusal
	}
	if refusal := r.resolve(e.config.State(), hr); refusal != nil {
		return r, refusal
	}
	return r, r.parseTimeout(hr.Header.Get(caller.HeaderTimeout), now)
}

// resolve checks the request's service, urgency, team and key against the fleet's
// state.
func (r *request) resolve(state *fleet.State, hr *http.Request) *caller.Refusal {
	service, known := state.Services[r.Service]
	if !known {
		return refused(caller.NotRun, caller.UnknownService, fmt.Sprintf("service %q is not known", r.Service), 0).refusal
	}
	r.service = service
	urgency, valid := sched.ParseUrgency(hr.Header.Get(caller.HeaderUrgency))
	if !valid {
		return badField(caller.HeaderUrgency, "low, normal or urgent; got "+strconv.Quote(hr.Header.Get(caller.HeaderUrgency)))
	}
	r.urgency = urgency
	if r.Team == "" {
		r.Team = fleet.DefaultTeamName
	}
	if _, known := state.Teams[r.Team]; !known && r.Team != fleet.DefaultTeamName {
		return badField(caller.HeaderTeam, "a team that a ticket declared; got "+strconv.Quote(r.Team))
	}
	return r.parseKey()
}

func (r *request) parseKey() *caller.Refusal {
	if r.Key == "" && r.service.Idempotent {
		return nil
	}
	if r.Key == "" {
		detail := "service " + r.Service + " is not idempotent, so each request needs a UUIDv7 of its own"
		refusal := refused(caller.NotRun, caller.KeyMissing, detail, 0).refusal
		refusal.Field = caller.HeaderKey
		return refusal
	}
	key, err := once.ParseKey(r.Key)
	if err != nil {
		refusal := refused(caller.NotRun, caller.BadKey, strconv.Quote(r.Key)+" is not a UUIDv7", 0).refusal
		refusal.Field = caller.HeaderKey
		return refusal
	}
	r.key = key
	r.hasKey = true
	return nil
}

func (r *request) parseTimeout(text string, now time.Time) *caller.Refusal {
	timeout := r.service.Timeout
	if text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil {
			return badField(caller.HeaderTimeout, "a duration such as 1500ms; got "+strconv.Quote(text))
		}
		if requested <= 0 {
			return refused(caller.NotRun, caller.DeadlinePast, "the deadline is past: "+text, 0).refusal
		}
		timeout = min(timeout, requested)
	}
	r.Timeout = timeout
	r.deadline = now.Add(timeout)
	return nil
}

// readBody reads the whole body within the request's deadline. If the entry stops
// before, the request is refused, which is safe because none of it has run.
func (e *Entry) readBody(w http.ResponseWriter, hr *http.Request, r *request) *caller.Refusal {
	limit := e.config.Limits.MaxRequest
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(e.earlier(r.deadline, bodyReadTimeout))
	unregister := context.AfterFunc(e.stopped, func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	defer unregister()
	body, err := intake.ReadBody(hr, limit)
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return refused(caller.NotRun, caller.TooLarge, fmt.Sprintf("the body is over %d bytes", limit), 0).refusal
	case errors.Is(err, intake.ErrCrowded):
		return refused(caller.NotRun, caller.EntryFull, "too many unfinished requests", intake.RetryAfter).refusal
	case err != nil:
		return refused(caller.NotRun, caller.BadRequest, "the body did not arrive whole: "+err.Error(), 0).refusal
	}
	_ = connection.SetReadDeadline(time.Time{})
	r.Body = body
	return nil
}

// earlier returns the earlier of deadline and limit from now.
func (e *Entry) earlier(deadline time.Time, limit time.Duration) time.Time {
	if other := e.config.Now().Add(limit); other.Before(deadline) {
		return other
	}
	return deadline
}

func badField(field, expected string) *caller.Refusal {
	refusal := refused(caller.NotRun, caller.BadRequest, field+" must be "+expected, 0).refusal
	refusal.Field = field
	return refusal
}

func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func (e *Entry) writeRefusal(w http.ResponseWriter, id string, refusal *caller.Refusal) {
	kind := event.RequestRefused
	if refusal.Outcome == caller.Unknown {
		kind = event.RequestUnknown
	}
	e.config.Log.Add(kind, id, 0, string(refusal.Reason)+": "+refusal.Detail)
	e.metrics.refusal(refusal)
	refusal.RequestID = id
	body := caller.EncodeRefusal(refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(caller.HeaderOutcome, string(refusal.Outcome))
	if id != "" {
		header.Set(caller.HeaderRequestID, id)
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(body)
}

func writeAnswer(w http.ResponseWriter, id string, answer *link.Result) {
	header := w.Header()
	for name, values := range answer.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	header.Set(caller.HeaderRequestID, id)
	header.Set(caller.HeaderOutcome, string(caller.Answered))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
