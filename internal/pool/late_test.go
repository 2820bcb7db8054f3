package pool

import (
	"context"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Guards against callers who are told that nothing is known of their jobs, and who may not send
// them again, though the jobs only wait behind a transaction without an answer.
func TestJobsBehindATransactionWithoutAnAnswerAreRefused(t *testing.T) {
	t.Parallel()
	c := newCancelPool(t)
	submit := func(id jobs.ID, verdict chan<- Verdict) {
		j := jobs.Job{ID: id, Spec: "20ms", Queue: "q", Pool: "p1", Submitted: time.Now(), Steps: []jobs.Step{{Count: 1, Size: jobs.Resources{Millicores: 100}}}}
		v, _ := c.owner.Submit(t.Context(), j)
		verdict <- v
	}
	before, sent, waits := make(chan Verdict, 1), make(chan Verdict, 1), make(chan Verdict, 1)
	submit("0000000000000003", before) // so that the next transaction is not a heartbeat
	if v := <-before; v != Accepted {
		t.Fatalf("verdict %v, want %v", v, Accepted)
	}
	c.platform.Store.Fail(mimic.Silent)
	go submit("0000000000000001", sent)
	time.Sleep(3 * tickPeriod) // until it is in a transaction
	go submit("0000000000000002", waits)
	if v := <-sent; v != Unknown {
		t.Errorf("job in the transaction: verdict %v, want %v", v, Unknown)
	}
	if v := <-waits; v != Refused {
		t.Errorf("job behind it: verdict %v, want %v", v, Refused)
	}
	c.platform.Store.Fail(mimic.Healthy)
	for id, want := range map[jobs.ID]Verdict{"0000000000000001": Accepted, "0000000000000002": Missing} {
		v := c.ask(func(ctx context.Context) Verdict {
			_, v := c.owner.State(ctx, id)
			return v
		})
		if v != want {
			t.Errorf("job %s, once the store answers: verdict %v, want %v", id, v, want)
		}
	}
}
