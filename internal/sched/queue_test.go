package sched

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testQueue(slots int) *Queue {
	q := NewQueue(Config{Services: []ServiceShare{
		{Name: "label", Weight: 1, QueueLimit: 100, RunTime: 100 * time.Millisecond},
		{Name: "stock", Weight: 1, QueueLimit: 100, RunTime: 100 * time.Millisecond},
	}})
	q.SetWorkers([]Worker{{Name: "w1", Slots: slots}}, start)
	return q
}

func request(id, service string, u Urgency) Request {
	return Request{ID: id, Entry: "e1", Service: service, Team: "t", Urgency: u, Deadline: start.Add(time.Minute)}
}

func granted(decisions []Decision) []string {
	var ids []string
	for _, d := range decisions {
		if d.Grant != nil {
			ids = append(ids, d.Request)
		}
	}
	return ids
}

func TestFloodKeepsGuaranteeOfOtherServices(t *testing.T) {
	q := testQueue(4)
	var grants []uint64
	for i := range 50 {
		for _, d := range q.Arrive(request(string(rune('A'+i)), "label", Urgent), start) {
			grants = append(grants, d.Grant.ID)
		}
	}
	if len(grants) != 4 {
		t.Fatalf("granted %d of 4 slots", len(grants))
	}
	if got := granted(q.Arrive(request("other", "stock", Low), start)); len(got) != 0 {
		t.Fatalf("granted %v without a free slot", got)
	}
	got := granted(q.Release(grants[0], Succeeded, start.Add(time.Second)))
	if len(got) != 1 || got[0] != "other" {
		t.Errorf("the first free slot went to %v, want the service below its guarantee", got)
	}
}

func TestReleaseTwiceFreesOneSlot(t *testing.T) {
	q := testQueue(1)
	first := q.Arrive(request("a", "label", Normal), start)[0].Grant
	q.Release(first.ID, Succeeded, start)
	q.Release(first.ID, Succeeded, start)
	if got := len(granted(q.Arrive(request("b", "label", Normal), start))) + len(granted(q.Arrive(request("c", "label", Normal), start))); got != 1 {
		t.Errorf("%d grants on one slot", got)
	}
}
