package flood

import (
	"fmt"
	"strings"
)

// Policies returns the project's policy, its bound and the baselines, anew for a
// scenario.
func Policies(s Scenario) []Policy {
	return []Policy{Dispatcher(s), Ideal(s), FirstCome(s), StaticShares(s), LeastOutstanding(s)}
}

// Kept is what the work that does not flood kept of its run without a flood.
type Kept struct {
	Goodput float64 // the least part of any kind
	P99     float64 // the largest factor of any kind
}

// KeptOf compares a run with the same policy's run without a flood, over the
// kinds whose rate the flood left alone.
func KeptOf(s Scenario, flooded, calm *Result) Kept {
	kept := Kept{Goodput: 1}
	for _, k := range s.Kinds {
		if k.Times != nil {
			continue
		}
		with, without := flooded.Classes[k.Name], calm.Classes[k.Name]
		kept.Goodput = min(kept.Goodput, with.Goodput()/without.Goodput())
		kept.P99 = max(kept.P99, float64(with.P99())/float64(without.P99()))
	}
	return kept
}

// missed counts the requests of a run that were not answered in time.
func (r *Result) missed() int {
	count := 0
	for _, c := range r.Classes {
		count += c.Sent - c.Good
	}
	return count
}

// Table runs every flood under every policy and renders in Markdown what the
// other work kept, how busy the slots were while work waited, and how many
// requests were refused or late, against the ideal.
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
			kept := KeptOf(s, r, calm[p.Name])
			part := float64(r.missed()) / float64(max(1, ideal.missed()))
			fmt.Fprintf(&b, "| %s | %s | %.1f%% | x%.2f | %.1f%% | %d | x%.2f |\n",
				s.Name, p.Name, 100*kept.Goodput, kept.P99, 100*r.Utilisation(), r.missed(), part)
		}
	}
	return b.String()
}
