package pool

import (
	"context"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

const (
	labelsRoute = "a.example/labels/"
	openRoute   = "a.example/open/"
)

// submitAs submits a job of an organisation, or of nobody by a public route.
func (c *cancelPool) submitAs(id jobs.ID, from Caller) Verdict {
	c.t.Helper()
	j := jobs.Job{ID: id, Spec: "lasting", Queue: "q", Pool: "p1", Route: labelsRoute, Submitted: time.Now(), Organisation: from.Organisation, Steps: []jobs.Step{{Count: 1, LongRunning: true}}}
	if from.PublicRoute != "" {
		j.Route = from.PublicRoute
	}
	return c.ask(func(ctx context.Context) Verdict {
		v, _ := c.owner.Submit(ctx, j)
		return v
	})
}

func (c *cancelPool) cancelAs(id jobs.ID, from Caller) Verdict {
	c.t.Helper()
	return c.ask(func(ctx context.Context) Verdict { return c.owner.CancelFor(ctx, id, from) })
}

// Guards against an organisation, or a caller without a key, that cancels the next job of another
// organisation by its id, and against cancels that are forgotten at the next owner.
func TestCancelOfAnUnknownJobHoldsForItsOrganisation(t *testing.T) {
	t.Parallel()
	north, south, public, operator := Caller{Organisation: "north"}, Caller{Organisation: "south"}, Caller{PublicRoute: openRoute}, Caller{}
	for _, tt := range []struct {
		name      string
		cancels   []Caller
		submitter Caller
		cancelled bool
	}{
		{"own", []Caller{north}, north, true},
		{"another's", []Caller{south}, north, false},
		{"both", []Caller{south, north}, north, true},
		{"by a public route", []Caller{public}, north, false},
		{"by an operator", []Caller{south, operator}, north, true},
		{"a public queue's", []Caller{public}, public, true},
	} {
		for _, replaced := range []bool{false, true} {
			c := newCancelPool(t)
			const id = jobs.ID("0000000000000001")
			verdicts := make(chan Verdict, len(tt.cancels))
			for _, from := range tt.cancels { // the later ones while the first is being stored
				go func() { verdicts <- c.cancelAs(id, from) }()
			}
			for range tt.cancels {
				if v := <-verdicts; v != Missing {
					t.Errorf("%s: cancel: verdict %v, want %v", tt.name, v, Missing)
				}
			}
			if replaced {
				c.replace()
			}
			if v := c.submitAs(id, tt.submitter); v != Accepted {
				t.Errorf("%s: submission: verdict %v, want %v", tt.name, v, Accepted)
			}
			if s, _ := c.owner.State(t.Context(), id); (s == jobs.Cancelled) != tt.cancelled {
				t.Errorf("%s, owner replaced %v: state %q, cancelled %v", tt.name, replaced, s, tt.cancelled)
			}
		}
	}
}

// Guards against callers of a public queue that see or cancel the jobs of organisations.
func TestWhoMayAccessAJob(t *testing.T) {
	t.Parallel()
	c := newCancelPool(t)
	const owned, open = jobs.ID("0000000000000001"), jobs.ID("0000000000000002")
	c.submitAs(owned, Caller{Organisation: "north"})
	c.submitAs(open, Caller{PublicRoute: openRoute})
	for _, tt := range []struct {
		id   jobs.ID
		from Caller
		want Verdict
	}{
		{owned, Caller{Organisation: "south"}, Forbidden},
		{owned, Caller{PublicRoute: openRoute}, Forbidden},
		{owned, Caller{PublicRoute: labelsRoute}, Accepted}, // the queue is public by now
		{owned, Caller{Organisation: "north"}, Accepted},
		{owned, Caller{}, Accepted},
		{open, Caller{Organisation: "south"}, Accepted},
		{open, Caller{PublicRoute: openRoute}, Accepted},
	} {
		if v := c.ask(func(ctx context.Context) Verdict { _, v := c.owner.StateFor(ctx, tt.id, tt.from); return v }); v != tt.want {
			t.Errorf("state of %s for %+v: verdict %v, want %v", tt.id, tt.from, v, tt.want)
		}
		if v, _ := c.owner.FindFor(t.Context(), tt.id, labelsRoute, tt.from); v != tt.want {
			t.Errorf("search for %s for %+v: verdict %v, want %v", tt.id, tt.from, v, tt.want)
		}
		if tt.from != (Caller{}) {
			if v := c.submitAs(tt.id, tt.from); v != tt.want {
				t.Errorf("submission of %s by %+v: verdict %v, want %v", tt.id, tt.from, v, tt.want)
			}
		}
		if tt.want == Forbidden {
			if v := c.cancelAs(tt.id, tt.from); v != tt.want {
				t.Errorf("cancel of %s by %+v: verdict %v, want %v", tt.id, tt.from, v, tt.want)
			}
		}
	}
}
