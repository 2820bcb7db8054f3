package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Property: a task with nothing before it starts where Where says, and with look-ahead or without, asking changes
// no order.
func TestWhereIsWhatTheNextDecisionDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		on, workers, seed := rapid.Bool().Draw(t, "on"), rapid.IntRange(1, 10).Draw(t, "workers"), rapid.Uint64().Draw(t, "seed")
		asked, other := newAheadLoad(workers, on, 1, seed), newAheadLoad(workers, on, 1, seed)
		for range rapid.IntRange(1, 30).Draw(t, "jobs") {
			tasks, size := rapid.IntRange(1, 6).Draw(t, "tasks"), 500*rapid.IntRange(1, 9).Draw(t, "half-cores")
			question := newJob(0, batch(1, size))
			question.ID, question.Submitted, question.Slack, question.Target = "00000000ffffffff", asked.now, 0, 2200*time.Millisecond
			where := asked.Where(question, asked.now)
			j := asked.submit("any", tasks, size)
			other.submit("any", tasks, size)
			var first string
			asked.decide()
			other.decide()
			for _, s := range asked.orders.Starts {
				if s.Task == (jobs.Task{Job: j.ID}) {
					first = s.Worker[:len(s.Worker)-len("@1")]
				}
			}
			if len(asked.orders.Starts) != len(other.orders.Starts) {
				t.Fatalf("%d starts after a question, %d without", len(asked.orders.Starts), len(other.orders.Starts))
			}
			if len(where) != 1 || where[0].StepsAhead == 0 && where[0].Worker != first {
				t.Fatalf("%+v, but the first task of %d millicores started on %q", where, size, first)
			}
			asked.run(asked.orders.Starts)
			other.run(other.orders.Starts)
			for range rapid.IntRange(0, 20).Draw(t, "ticks") {
				asked.tick()
				other.tick()
			}
		}
	})
}

func TestWhereNamesWhatRulesOutAWorker(t *testing.T) {
	f := newTestBoard(0, 6)
	f.add(newJob(1, batch(1, 3000)))
	f.decide() // on w0
	draining := worker(1)
	draining.Draining = true
	f.SetWorker(draining)
	f.SetSilent(key(2), true)
	f.SetVacate(key(3), true)
	small := worker(4)
	small.Size.Millicores = 1000
	f.SetWorker(small)
	labelled := worker(5)
	labelled.Labels = nil
	f.SetWorker(labelled)
	step := batch(2, 2000)
	step.Label = "a"
	j := newJob(2, step)
	where := f.Where(j, f.now)
	if len(where) != 1 || where[0].Worker != "" || where[0].Class != "on-time" || where[0].Tasks != 2 {
		t.Fatalf("%+v", where)
	}
	want := []place.Obstacle{place.ObstacleNoCores, place.ObstacleDraining, place.ObstacleSilent, place.ObstacleVacated, place.ObstacleTooSmall, place.ObstacleLabel}
	for i, v := range where[0].Workers {
		if v.Obstacle != want[i] {
			t.Errorf("%s: %q, want %q", v.ID, v.Obstacle, want[i])
		}
	}
	if in := where[0].ExpectedStart.Sub(f.now); in != time.Second {
		t.Errorf("starts in %v, want the second that the task on w0 lasts", in)
	}
}

// In an overload jobs stand by, and those beyond the rate of their organisation go behind.
func TestWhereInAnOverload(t *testing.T) {
	f := newTestBoard(0, 4)
	f.SetShedding(true)
	f.SetOrganisations(map[string]place.Organisation{"a": {Weight: 15}, "b": {Weight: 15}})
	for i := range 40 {
		j := newJob(byte(1+i), batch(4, 1000))
		j.Organisation = "a"
		f.add(j)
	}
	f.decide()
	standby, excess, first := newJob(30, batch(4, 1000)), newJob(40, batch(4, 1000)), newJob(50, batch(4, 1000))
	first.Organisation = "b"
	f.add(first)
	for _, c := range []struct {
		job  jobs.Job
		want string
	}{{standby, "standby"}, {excess, "excess"}, {first, "on-time"}} {
		if where := f.Where(c.job, f.now); len(where) != 1 || where[0].Class != c.want {
			t.Errorf("job %s: %+v, want %s", c.job.ID, where, c.want)
		}
	}
}
