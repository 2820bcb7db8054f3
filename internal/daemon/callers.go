package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
	"github.com/papayarudder/papayarudder/platform"
)

const (
	defaultCallerTimeout = 3 * time.Second        // for callers that send no deadline
	maxCallerTimeout     = time.Minute            // a request is not held for longer, whatever the caller says; the platform's callers wait seconds
	answerMargin         = 150 * time.Millisecond // the answer is sent this long before the caller gives up
	ownerRetryDelay      = 40 * time.Millisecond  // between attempts to reach a pool's owner
	defaultMaxBodyBytes  = 256 << 10              // if the configuration sets no limit
)

var metricAnswers = func(kind string, status int) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`papayarudder_answer_seconds{kind="` + kind + `",status="` + strconv.Itoa(status) + `"}`)
}

// errOwnerUnreachable means that a pool's owner could not be called.
var errOwnerUnreachable = errors.New("the pool's owner can't be reached")

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.config.Load() == nil || d.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller answers one request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	kind, status := d.route(w, r, began)
	metricAnswers(kind, status).UpdateDuration(began)
}

// route answers a request and returns its kind and the status of the answer, which are
// labels of the answer metric.
func (d *Daemon) route(w http.ResponseWriter, r *http.Request, began time.Time) (kind string, status int) {
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(callerTimeout(r)))
	defer cancel()
	a := d.admit(ctx, r)
	switch {
	case a.config == nil:
		return "none", d.refuse(w, http.StatusServiceUnavailable, "no configuration yet")
	case !a.found:
		return "none", d.refuse(w, http.StatusNotFound, "no such queue")
	case a.cause != "":
		discardBody(w, r)
		return "none", d.refuseCaller(w, http.StatusUnauthorized, a.cause, a)
	}
	if a.rest == "" && r.Method == http.MethodGet {
		return "pending", d.servePending(ctx, w, a)
	}
	id, err := jobs.ParseID(a.rest)
	if err != nil {
		return "none", d.refuse(w, http.StatusBadRequest, err.Error())
	}
	switch r.Method {
	case http.MethodPost:
		return "submit", d.serveSubmit(ctx, w, r, a, id)
	case http.MethodGet:
		return "state", d.serveState(ctx, w, a, id)
	case http.MethodDelete:
		return "cancel", d.serveCancel(ctx, w, a, id)
	}
	return "none", d.refuse(w, http.StatusMethodNotAllowed, "no such method")
}

// findQueue returns the queue of a host whose prefix is the longest that matches the
// path, and the rest of the path.
func findQueue(queues []platform.Queue, host, path string) (platform.Queue, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	best := -1
	for i, q := range queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return platform.Queue{}, "", false
	}
	return queues[best], path[len(queues[best].Prefix):], true
}

// callerTimeout returns how long a request may take: the time that the caller waits,
// less a margin for the answer.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
	if err != nil || ms <= 0 {
		return defaultCallerTimeout - answerMargin
	}
	limit := min(jobs.Milliseconds(int64(ms)), maxCallerTimeout)
	return max(limit/2, limit-answerMargin)
}

// setRetryAfter sets the Retry-After header to at least the given time. Up to a second
// of jitter keeps callers from all retrying at once.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)+rand.IntN(2)))
}

func (d *Daemon) refuse(w http.ResponseWriter, status int, reason string) int {
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		setRetryAfter(w, time.Second)
	}
	http.Error(w, reason, status)
	return status
}

func (d *Daemon) writeJSON(w http.ResponseWriter, body []byte) int {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		d.log.WithError(err).Debug("writing an answer to a caller failed")
	}
	return http.StatusOK
}

func (d *Daemon) serveSubmit(ctx context.Context, w http.ResponseWriter, r *http.Request, a admission, id jobs.ID) int {
	limit := a.config.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var j jobs.Job
	err := intake.DecodeBody(r, limit, func(body []byte) (err error) {
		j, err = platform.DecodeJob(body)
		return err
	})
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return d.refuse(w, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, intake.ErrCrowded):
		setRetryAfter(w, intake.RetryAfter)
		return d.refuse(w, http.StatusServiceUnavailable, "too many unfinished requests; the job has not run")
	case errors.Is(err, intake.ErrCutOff):
		return d.refuse(w, http.StatusBadRequest, "the body can't be read")
	}
	a = d.admitAgain(a, r)
	switch {
	case !a.found:
		return d.refuse(w, http.StatusNotFound, "no such queue")
	case a.cause != "":
		return d.refuseCaller(w, http.StatusUnauthorized, a.cause, a)
	}
	c, q := a.config, a.queue
	if err == nil {
		j.ID, j.Queue, j.Pool, j.Route, j.Submitted = id, q.Name, q.Pool, q.Route(), time.Now()
		j.Organisation = a.caller.Organisation
		j.Priority, j.MaxAttempts, j.Slack, j.Target = q.Priority, q.MaxAttempts, q.Slack, q.Target
		j.Advised = q.Advice != nil
		err = j.Validate()
	}
	var data []byte
	if err == nil {
		data, err = j.Encode()
	}
	if err != nil {
		d.log.WithField("job", id).WithError(err).Info("job refused: invalid")
		return d.refuse(w, http.StatusBadRequest, err.Error())
	}
	reply := d.askOwner(ctx, q.Pool, "Peer.Submit", SubmitArgs{q.Pool, data, c.Version}, func(o *pool.Owner) Reply {
		return d.submit(ctx, o, j, c.Version)
	})
	switch reply.Verdict {
	case pool.Accepted:
		return d.writeJSON(w, []byte("{}"))
	case pool.Refused:
		setRetryAfter(w, reply.After)
		return d.refuse(w, http.StatusServiceUnavailable, "the job can't be stored now; it has not run")
	case pool.Overloaded:
		setRetryAfter(w, reply.After)
		return d.refuse(w, http.StatusTooManyRequests, "too much waits already; the job has not run")
	case pool.Forbidden, pool.Outdated:
		return d.refuseByOwner(ctx, w, a, reply.Verdict)
	case pool.Unknown, pool.Missing, pool.Closed:
	}
	d.log.WithFields(logrus.Fields{"job": id, "pool": q.Pool}).Info("no verdict on a job in time")
	return d.refuse(w, http.StatusGatewayTimeout, "not known whether the job was accepted; send it again")
}

func (d *Daemon) serveState(ctx context.Context, w http.ResponseWriter, a admission, id jobs.ID) int {
	q := a.queue
	reply := d.askOwner(ctx, q.Pool, "Peer.State", a.args(string(id)), func(o *pool.Owner) Reply {
		return d.state(ctx, o, id, q.Route(), a.caller)
	})
	switch reply.Verdict {
	case pool.Accepted:
		return d.writeJSON(w, platform.EncodeState(jobs.State(reply.State)))
	case pool.Missing:
		d.log.WithFields(logrus.Fields{"job": id, "pool": q.Pool, "token": reply.Token}).Info("state of an unknown job requested")
		return d.refuse(w, http.StatusGone, "no such job")
	case pool.Forbidden, pool.Outdated:
		return d.refuseByOwner(ctx, w, a, reply.Verdict)
	case pool.Refused, pool.Unknown, pool.Overloaded, pool.Closed:
	}
	return d.refuse(w, http.StatusGatewayTimeout, "the job's state is not known now")
}

func (d *Daemon) serveCancel(ctx context.Context, w http.ResponseWriter, a admission, id jobs.ID) int {
	q := a.queue
	began := time.Now()
	reply := d.askOwner(ctx, q.Pool, "Peer.Cancel", a.args(string(id)), func(o *pool.Owner) Reply {
		return d.cancelJob(ctx, o, id, q.Route(), a.caller)
	})
	log := d.log.WithFields(logrus.Fields{"job": id, "pool": q.Pool, "token": reply.Token, "ms": time.Since(began).Milliseconds()})
	switch reply.Verdict {
	case pool.Accepted:
		log.Info("cancel acknowledged")
		return d.writeJSON(w, []byte("{}"))
	case pool.Missing:
		log.Info("cancel acknowledged: no such job")
		return d.refuse(w, http.StatusGone, "no such job")
	case pool.Forbidden, pool.Outdated:
		return d.refuseByOwner(ctx, w, a, reply.Verdict)
	case pool.Refused, pool.Unknown, pool.Overloaded, pool.Closed:
	}
	return d.refuse(w, http.StatusGatewayTimeout, "not known whether the job was cancelled; send it again")
}

func (d *Daemon) servePending(ctx context.Context, w http.ResponseWriter, a admission) int {
	q := a.queue
	reply := d.askOwner(ctx, q.Pool, "Peer.Pending", a.args(q.Name), func(o *pool.Owner) Reply {
		return d.pendingJobs(ctx, o, q.Name, q.Route(), a.caller)
	})
	if reply.Verdict == pool.Outdated {
		return d.refuseByOwner(ctx, w, a, reply.Verdict)
	}
	if reply.Verdict != pool.Accepted {
		return d.refuse(w, http.StatusGatewayTimeout, "the queue's length is not known now")
	}
	return d.writeJSON(w, platform.EncodePending(reply.Count))
}

// askOwner calls the owner of a pool in this or another process and retries until there
// is a verdict or ctx ends. Retries are safe, because jobs are identified by their id.
func (d *Daemon) askOwner(ctx context.Context, name, method string, args any, local func(*pool.Owner) Reply) Reply {
	lost := false // a call without an answer may still be carried out
	for ctx.Err() == nil {
		reply, err := d.askOnce(ctx, name, method, args, local)
		switch {
		case err != nil:
			lost = lost || errors.Is(err, wire.ErrLost)
		case lost && (reply.Verdict == pool.Refused || reply.Verdict == pool.Overloaded || reply.Verdict == pool.Outdated):
			return Reply{Verdict: pool.Unknown, Token: reply.Token}
		case reply.Verdict != pool.Unknown:
			return reply
		}
		sleep(ctx, ownerRetryDelay)
	}
	return Reply{Verdict: pool.Unknown}
}

// askOnce calls local with the pool's owner if it runs in this process, and otherwise
// the RPC method of the process that owns the pool.
func (d *Daemon) askOnce(ctx context.Context, name, method string, args any, local func(*pool.Owner) Reply) (Reply, error) {
	d.mu.Lock()
	o := d.owners[name]
	own := d.ownerships[name]
	p := d.peers[own.Owner.Node]
	d.mu.Unlock()
	if o != nil && local != nil {
		reply := local(o)
		reply.Token = o.Token()
		return reply, nil
	}
	if p == nil {
		return Reply{}, errOwnerUnreachable
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var reply Reply
	if err := p.link.Call(callCtx, method, args, &reply); err != nil {
		return Reply{}, err
	}
	if !reply.Owner {
		return Reply{}, errOwnerUnreachable
	}
	return reply, nil
}

// vacate asks a pool's owner to drain workers. It returns the state of each that the pool
// has.
func (d *Daemon) vacate(ctx context.Context, name string, workers []string) (map[string]pool.Vacated, error) {
	reply, err := d.askOnce(ctx, name, "Peer.VacateAll", VacateArgs{name, workers}, func(o *pool.Owner) Reply {
		vacated, v := o.Vacate(ctx, workers)
		return Reply{Verdict: v, Vacated: vacated}
	})
	if errors.Is(err, wire.ErrRefused) {
		return d.vacateEach(ctx, name, workers)
	}
	if err == nil && reply.Verdict != pool.Accepted {
		err = errOwnerUnreachable
	}
	return reply.Vacated, err
}

// vacateEach is vacate for an owner of a version that takes one worker a call.
func (d *Daemon) vacateEach(ctx context.Context, name string, workers []string) (map[string]pool.Vacated, error) {
	vacated := map[string]pool.Vacated{}
	for _, worker := range workers {
		reply, err := d.askOnce(ctx, name, "Peer.Vacate", JobArgs{name, worker}, nil)
		if err != nil {
			return vacated, err
		}
		if reply.Verdict == pool.Accepted {
			vacated[worker] = pool.Vacated{Left: reply.Count, Lifetime: reply.Lifetime}
		}
	}
	return vacated, nil
}

// retire tells a pool's owner that a worker's lifetime has ended because its host was
// moved or maintained.
func (d *Daemon) retire(ctx context.Context, name, lifetime string) {
	_, err := d.askOnce(ctx, name, "Peer.Retire", JobArgs{name, lifetime}, func(o *pool.Owner) Reply {
		o.Retire(lifetime)
		return Reply{Owner: true}
	})
	if err != nil { // the owner will notice that the worker does not answer
		d.log.WithFields(logrus.Fields{"pool": name, "worker": lifetime}).WithError(err).Info("telling the pool owner that a worker has ended failed")
	}
}

// load asks a pool's owner for the demand and the capacity of the pool.
func (d *Daemon) load(ctx context.Context, name string, arriving int) (place.Load, error) {
	reply, err := d.askOnce(ctx, name, "Peer.Load", LoadArgs{Pool: name, Arriving: arriving}, func(o *pool.Owner) Reply {
		l, v := o.Load(ctx, arriving)
		return Reply{Verdict: v, Load: l}
	})
	if err == nil && reply.Verdict != pool.Accepted {
		err = errOwnerUnreachable
	}
	return reply.Load, err
}
