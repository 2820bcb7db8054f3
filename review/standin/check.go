package main

import (
	"fmt"
	"sort"
)

// twice returns the breaches of rule TWICE, the first one of each work item: two runs of one work item at the same time, or a
// start after a run has ended done whose end was taken note of then or later.
func twice(runs []itemRun) []string {
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
	byItem := map[string][]itemRun{}
	found := map[string]bool{}
	var breaches []string
	for _, r := range runs {
		for _, before := range byItem[r.Item] {
			switch {
			case found[r.Item]:
				continue
			case before.Ended.IsZero() || before.Ended.After(r.Started):
				breaches = append(breaches, fmt.Sprintf("TWICE: %s: run %d on %s started while run %d was on %s", r.Item, r.Run, r.Worker, before.Run, before.Worker))
			case before.How == "done" && !before.Noted.IsZero():
				breaches = append(breaches, fmt.Sprintf("TWICE: %s: run %d on %s started %v after run %d had ended done on %s, which was taken note of",
					r.Item, r.Run, r.Worker, r.Started.Sub(before.Ended).Round(1e6), before.Run, before.Worker))
			default:
				continue
			}
			found[r.Item] = true
		}
		byItem[r.Item] = append(byItem[r.Item], r)
	}
	return breaches
}
