package model

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Summary holds the mean results of a policy over several seeds.
type Summary struct {
	Policy      string
	Seeds       int
	OnTime      float64 // share of the jobs
	Late        float64
	Lost        float64
	Windows     float64 // share of the two worst windows
	Worst       float64 // share of the queue that is served worst
	Served      float64 // weighted by the goal
	Hosts       float64 // mean number of hosts in pools
	HostSeconds float64
	Moves       float64
	Refusals    float64
	Wasted      float64 // core seconds
	Missed      float64 // hosts that waves did not maintain in time
	Worth       float64 // after prices
	Deviation   float64 // standard deviation of the worth over the seeds
}

// Summarize averages the results of one policy.
func Summarize(results []*Result) Summary {
	n := float64(len(results))
	s := Summary{Policy: results[0].Policy, Seeds: len(results)}
	square := 0.0
	for _, r := range results {
		jobs := max(1, float64(r.All.Jobs))
		s.OnTime += float64(r.All.OnTime) / jobs / n
		s.Late += float64(r.All.Late) / jobs / n
		s.Lost += float64(r.All.Lost) / jobs / n
		s.Windows += r.worstWindows() / n
		s.Worst += r.worstQueue() / n
		s.Served += r.Served() / n
		s.HostSeconds += r.HostSeconds / n
		s.Moves += float64(r.Moves) / n
		s.Refusals += float64(r.Refusals) / n
		s.Wasted += r.Wasted / n
		s.Missed += float64(r.Missed) / n
		s.Worth += r.Worth() / n
		square += r.Worth() * r.Worth() / n
	}
	s.Deviation = math.Sqrt(max(0, square-float64(s.Worth*s.Worth)))
	return s
}

// Report holds the results of an experiment: several policies over the same seeds.
type Report struct {
	Scenario  string
	Duration  float64 // seconds that hosts are paid for
	Summaries []Summary
	Bound     Bound // mean over the seeds
}

// Experiment runs every policy of a scenario with the seeds from 1 on. If ctx ends
// first, it waits for the runs in progress and returns the error of ctx.
func Experiment(ctx context.Context, s Scenario, seeds int) (Report, error) {
	total := s.Fleet.Lead + s.Fleet.Length + s.Fleet.Finish
	r := Report{Scenario: s.Name, Duration: total.Seconds()}
	all := runAll(ctx, s, seeds)
	if ctx.Err() != nil {
		return Report{}, errors.Wrapf(ctx.Err(), "scenario %s", s.Name)
	}
	for _, results := range all {
		summary := Summarize(results)
		summary.Hosts = summary.HostSeconds / r.Duration
		r.Summaries = append(r.Summaries, summary)
	}
	moves := 0
	for seed := range seeds {
		b := Clairvoyant(s, uint64(seed+1))
		r.Bound.HostSeconds += b.HostSeconds / float64(seeds)
		moves += b.Moves
	}
	r.Bound.Moves = moves / max(1, seeds)
	return r, nil
}

// runAll runs all policies with all seeds, one run per processor at a time, and
// returns the results of each policy. It starts no run after ctx has ended.
func runAll(ctx context.Context, s Scenario, seeds int) [][]*Result {
	all := make([][]*Result, len(s.Policies))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for i, p := range s.Policies {
		all[i] = make([]*Result, seeds)
		for seed := range seeds {
			slots <- struct{}{}
			if ctx.Err() != nil {
				runs.Wait()
				return all
			}
			runs.Go(func() {
				all[i][seed] = Run(s, p, uint64(seed+1))
				<-slots
			})
		}
	}
	runs.Wait()
	return all
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, %d seeds\n\n", r.Scenario, r.Summaries[0].Seeds)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\ton time\tlate\tlost\tworst windows\tworst queue\thosts\tmoves\trefusals\twasted core-s\tmissed\tworth\t+-\t")
	for _, s := range r.Summaries {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.3f\t\n",
			s.Policy, s.OnTime, s.Late, s.Lost, s.Windows, s.Worst, s.Hosts, s.Moves, s.Refusals, s.Wasted, s.Missed, s.Worth, s.Deviation)
	}
	fmt.Fprintf(t, "%s\t\t\t\t\t\t%.1f\t%d\t\t\t\t\t\t\n", "clairvoyant plan needs", r.Bound.HostSeconds/r.Duration, r.Bound.Moves)
	return t.Flush()
}
