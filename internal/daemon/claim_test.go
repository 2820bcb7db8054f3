package daemon

import (
	"slices"
	"testing"
)

// A pool goes to the process with the most processor time for each pool that it would own:
// owners on the smallest hosts fell behind while larger ones were idle (inc-57a4).
func TestPoolsGoToTheMostProcessorTime(t *testing.T) {
	for _, tt := range []struct {
		name string
		in   []candidate
		want []string // best first
	}{
		{"largest first", []candidate{{"a", 0, 0.192}, {"b", 0, 0.8}, {"c", 0, 0.4}}, []string{"b", "c", "a"}},
		{"an owner with more left than an idle process", []candidate{{"a", 0, 0.192}, {"b", 1, 0.8}}, []string{"b", "a"}},
		{"an owner with less left than an idle process", []candidate{{"a", 0, 0.5}, {"b", 1, 0.8}}, []string{"a", "b"}},
		{"unknown counts as the least known", []candidate{{"a", 1, 0.4}, {"b", 0, 0}, {"c", 0, 0.8}}, []string{"c", "b", "a"}},
		{"none known: fewest pools first", []candidate{{"a", 2, 0}, {"b", 0, 0}, {"c", 1, 0}}, []string{"b", "c", "a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reversed := slices.Clone(tt.in)
			slices.Reverse(reversed)
			for _, in := range [][]candidate{tt.in, reversed} { // all processes must agree, whatever their order
				var got []string
				for _, i := range rankCandidates("p1", in) {
					got = append(got, in[i].node)
				}
				if !slices.Equal(got, tt.want) {
					t.Errorf("%v ranks %v, want %v", in, got, tt.want)
				}
			}
		})
	}
}

// Equal candidates rank in an order that differs from pool to pool, so that pools spread.
func TestEqualCandidatesShareThePools(t *testing.T) {
	in := []candidate{{"a", 0, 0.4}, {"b", 0, 0.4}, {"c", 0, 0.4}}
	first := map[string]bool{}
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
		first[in[rankCandidates(name, in)[0]].node] = true
	}
	if len(first) != 3 {
		t.Errorf("first for eight pools: %v, want each of three processes for some pool", first)
	}
}
