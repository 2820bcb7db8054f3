package daemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/platform"
)

// refusalCause says why a call was refused for its key.
type refusalCause string

const (
	causeKeyMissing        refusalCause = "key-missing"
	causeKeyUnknown        refusalCause = "key-unknown"
	causeOtherOrganisation refusalCause = "other-organisation"
)

var refusalReasons = map[refusalCause]string{
	causeKeyMissing:        "the header " + platform.KeyHeader + " has no key, and this queue needs one",
	causeKeyUnknown:        "the key belongs to no organisation",
	causeOtherOrganisation: "the job belongs to another organisation",
}

var metricCallsRefused = func(cause refusalCause) *metrics.Counter {
	return metrics.GetOrCreateCounter(`papayarudder_calls_refused_total{cause="` + string(cause) + `"}`)
}

// caller tells on whose behalf a call is made.
type caller struct {
	pool.Caller
	version uint64 // of the configuration of the process that checked its key, 0 if that is not known
}

// args returns the arguments of a call about a pool whatever the route.
func (c caller) args(name, id string) RoutedArgs {
	return RoutedArgs{Pool: name, Name: id, Version: c.version, Organisation: c.Organisation, PublicRoute: c.PublicRoute}
}

// rejects reports whether this process has a later configuration than the one that checked the
// caller's key, and the organisation is not in it any more.
func (d *Daemon) rejects(c caller) bool {
	config := d.config.Load()
	return c.Organisation != "" && config != nil && config.Version > c.version && c.version > 0 &&
		!slices.ContainsFunc(config.Organisations, func(o platform.Organisation) bool { return o.Name == c.Organisation })
}

// checkKey returns the organisation of a caller's key, empty if the queue needs none, or the
// cause for which the call is refused.
func (c *configuration) checkKey(r *http.Request, q platform.Queue) (organisation string, cause refusalCause) {
	if q.Public || c.keys == nil {
		return "", ""
	}
	key := r.Header.Get(platform.KeyHeader)
	if key == "" {
		return "", causeKeyMissing
	}
	organisation, known := c.keys.Organisation(key)
	if !known {
		return "", causeKeyUnknown
	}
	return organisation, ""
}

// admission is what the configuration says of a call.
type admission struct {
	config *configuration
	queue  platform.Queue
	rest   string // of the path
	found  bool   // there is such a queue
	caller caller
	cause  refusalCause // empty if the call is admitted
}

// args returns the arguments of a call about a job or a queue.
func (a admission) args(name string) RoutedArgs {
	args := a.caller.args(a.queue.Pool, name)
	args.Route = a.queue.Route()
	return args
}

func (c *configuration) admit(r *http.Request) admission {
	a := admission{config: c}
	a.queue, a.rest, a.found = findQueue(c.Queues, r.Host, r.URL.Path)
	if a.found {
		a.caller.Organisation, a.cause = c.checkKey(r, a.queue)
		a.caller.version = c.Version
		if a.queue.Public && c.keys != nil {
			a.caller.PublicRoute = a.queue.Route()
		}
	}
	return a
}

// admit decides a call by the configuration in force. What a newer one may allow is refused only
// once the store was asked for one. The configuration of the result is nil if there is none yet.
func (d *Daemon) admit(ctx context.Context, r *http.Request) admission {
	c := d.config.Load()
	if c == nil {
		return admission{}
	}
	if c.keys == nil {
		return c.admit(r)
	}
	if d.fresh.noteRunning(time.Now()) {
		c = d.refreshConfig(ctx)
	} else {
		c = d.config.Load() // another call may have refreshed it since
	}
	a := c.admit(r)
	if a.cause == causeKeyUnknown || (!a.found || a.cause != "") && d.configMayBeStale(time.Now()) {
		a = d.refreshConfig(ctx).admit(r)
	}
	return a
}

// admitAgain decides a call anew whose body has come: that may have taken long, and a key may
// have been removed meanwhile.
func (d *Daemon) admitAgain(a admission, r *http.Request) admission {
	if c := d.config.Load(); c != a.config && c.keys != nil {
		return c.admit(r)
	}
	return a
}

const (
	bodyGrace      = 50 * time.Millisecond // for which the body of a refused call is awaited
	maxRefusedBody = 64 << 10              // bytes of such a body that are read
)

// discardBody reads the rest of a refused call's body, so that the connection can stay open. It
// is closed after the answer if the body is long or does not come.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" { // a body that the caller waits to send is not asked for
		return
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyGrace)); err == nil {
		if _, err := io.CopyN(io.Discard, r.Body, maxRefusedBody+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{}) // an error ends the connection, as a deadline does
			return
		}
	}
	w.Header().Set("Connection", "close")
}

// refuseCaller refuses a call for its key.
func (d *Daemon) refuseCaller(w http.ResponseWriter, status int, cause refusalCause, a admission) int {
	metricCallsRefused(cause).Inc()
	id, _ := jobs.ParseID(a.rest) // empty if the call names none
	d.refusals.Info("call refused for its key", logs.Text("cause", string(cause)), logs.Text("queue", a.queue.Name),
		logs.Text("job", string(id)), logs.Text("organisation", a.caller.Organisation))
	return d.refuse(w, status, refusalReasons[cause])
}

// refuseByOwner answers a call that a pool's owner rejected for its caller.
func (d *Daemon) refuseByOwner(ctx context.Context, w http.ResponseWriter, a admission, v pool.Verdict) int {
	if v == pool.Outdated {
		d.refreshConfig(ctx)
		return d.refuseCaller(w, http.StatusUnauthorized, causeKeyUnknown, a)
	}
	return d.refuseCaller(w, http.StatusForbidden, causeOtherOrganisation, a)
}
