package flood

import (
	"fmt"
	"strings"
)

// Policies returns new instances of the project's policy, its ideal and the
// baselines for a scenario.
func Policies(s Scenario) []Policy {
	return []Policy{Dispatcher(s), Ideal(s), FirstCome(s), StaticShares(s), LeastOutstanding(s)}
}

// Isolation compares the kinds that do not flood with a run without a flood.
type Isolation struct {
	Goodput float64 // lowest ratio of any kind
	P99     float64 // highest ratio of any kind
}

// IsolationOf compares a run with the same policy's run without a flood, over the
// kinds that do not flood.
func IsolationOf(s Scenario, flooded, calm *Result) Isolation {
	isolation := Isolation{Goodput: 1}
	for _, k := range s.Kinds {
		if k.RateFactor != nil {
			continue
		}
		with, without := flooded.Classes[k.Name], calm.Classes[k.Name]
		isolation.Goodput = min(isolation.Goodput, with.Goodput()/without.Goodput())
		isolation.P99 = max(isolation.P99, float64(with.P99())/float64(without.P99()))
	}
	return isolation
}

// missed counts the requests of a run that were not answered in time.
func (r *Result) missed() int {
	count := 0
	for _, c := range r.Classes {
		count += c.Sent - c.Good
	}
	return count
}

// Table runs every scenario under every policy and returns a Markdown table: the
// isolation of the other kinds, the slot utilisation while requests waited, and the
// requests refused or late, also as a multiple of the ideal.
func Table(scenarios []Scenario) string {
	var b strings.Builder
	b.WriteString("| flood | policy | others' goodput | others' p99 | slots busy while work waits | refused or late | of the ideal's |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range scenarios {
		calm := map[string]*Result{}
		for _, p := range Policies(Calm()) {
			calm[p.Name] = Run(p, Calm())
		}
		ideal := Run(Ideal(s), s)
		for _, p := range Policies(s) {
			r := Run(p, s)
			isolation := IsolationOf(s, r, calm[p.Name])
			ratio := float64(r.missed()) / float64(max(1, ideal.missed()))
			fmt.Fprintf(&b, "| %s | %s | %.1f%% | x%.2f | %.1f%% | %d | x%.2f |\n",
				s.Name, p.Name, 100*isolation.Goodput, isolation.P99, 100*r.Utilisation(), r.missed(), ratio)
		}
	}
	return b.String()
}
