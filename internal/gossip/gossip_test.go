package gossip

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// fleet returns the view of entry-0 in a fleet of n processes.
func fleet(n int) *View {
	v := New("entry-0")
	for i := range n {
		v.Register(fmt.Sprintf("entry-%d", i), 10)
	}
	return v
}

// News about a process counts if it is newer than what is known, and no message can bring in
// a process that is not registered, or bring back a life that has ended.
func TestApply(t *testing.T) {
	type state struct{ alive, ready bool }
	const node = "entry-1"
	for _, tt := range []struct {
		name string
		in   []Update
		want state
	}{
		{"no news", nil, state{true, true}},
		{"failed", []Update{{node, 10, 0, true, true}}, state{false, false}},
		{"not ready", []Update{{node, 10, 1, false, false}}, state{true, false}},
		{"a failure that was refuted", []Update{{node, 10, 1, false, true}, {node, 10, 0, true, true}}, state{true, true}},
		{"the failure of an earlier life", []Update{{node, 9, 7, true, true}}, state{true, true}},
		{"an earlier life is ready again", []Update{{node, 10, 0, true, true}, {node, 9, 7, false, true}}, state{false, false}},
		{"failed, then the same state without", []Update{{node, 10, 3, true, true}, {node, 10, 3, false, true}}, state{false, false}},
		{"refuted", []Update{{node, 10, 3, true, true}, {node, 10, 4, false, true}}, state{true, true}},
		{"a life that is not registered", []Update{{node, 11, 0, true, true}}, state{true, true}},
		{"a number that nothing can follow", []Update{{node, 10, math.MaxUint64, true, true}}, state{true, true}},
		{"a process that is not registered", []Update{{"stranger", 10, 0, false, true}}, state{true, true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := fleet(3)
			for _, u := range tt.in {
				v.Apply([]Update{u})
			}
			if got := (state{v.Alive(node), v.Ready(node)}); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if n, _ := v.Len(); n != 3 || v.Alive("stranger") {
				t.Errorf("%d processes are registered, want 3", n)
			}
		})
	}
}

// A new life of a failed process counts as alive at once, whatever was said of the last one.
func TestNextLife(t *testing.T) {
	v := fleet(3)
	v.Fail("entry-1")
	v.Register("entry-1", 10)
	if v.Alive("entry-1") {
		t.Error("the row of the failed life brought it back")
	}
	v.Register("entry-1", 11)
	v.Apply([]Update{{"entry-1", 10, 5, true, true}})
	if !v.Alive("entry-1") {
		t.Error("the next life is not alive")
	}
}

// A process that is said to have failed learns so from whom it talks to, and refutes it.
func TestRefutation(t *testing.T) {
	x, y := New("x"), New("y")
	for _, v := range []*View{x, y} {
		v.Register("x", 1)
		v.Register("y", 2)
	}
	x.Fail("y")
	y.Apply(x.News("y"))
	x.Apply([]Update{y.SetReady(true)})
	if !x.Alive("y") {
		t.Error("y is still said to have failed")
	}
	if updates := y.News("x"); len(updates) > 0 && updates[0].Node == "x" && updates[0].Failed {
		t.Errorf("y tells x that x has failed: %v", updates)
	}
}

// Whoever has failed, each process is probed by another one in every period, and the failed
// ones from time to time.
func TestEveryProcessIsProbed(t *testing.T) {
	const n = 60
	for _, failedShare := range []int{0, 2, 3, 10} { // every so many
		failed := map[string]bool{}
		var views []*View
		for i := range n {
			name := fmt.Sprintf("entry-%d", i)
			if failedShare > 0 && i%failedShare == 0 {
				failed[name] = true
			}
		}
		for i := range n {
			v := New(fmt.Sprintf("entry-%d", i))
			for j := range n {
				v.Register(fmt.Sprintf("entry-%d", j), 1)
			}
			for node := range failed {
				v.Fail(node)
			}
			if !failed[v.self] {
				views = append(views, v)
			}
		}
		always, sometimes := map[string]int{}, map[string]bool{}
		for _, v := range views {
			neighbours, _ := v.Targets()
			for _, node := range neighbours {
				always[node]++
			}
			for range failedPeriod * n {
				_, other := v.Targets()
				sometimes[other] = true
			}
		}
		for i := range n {
			name := fmt.Sprintf("entry-%d", i)
			if !failed[name] && always[name] != nearTargets {
				t.Errorf("every %d failed: %s is probed by %d, want %d", failedShare, name, always[name], nearTargets)
			}
			if failed[name] && !sometimes[name] {
				t.Errorf("every %d failed: the failed %s is never probed", failedShare, name)
			}
		}
	}
}

// A message holds a bounded number of updates, and each is sent a bounded number of times,
// those sent least first.
func TestNewsIsBounded(t *testing.T) {
	v := fleet(300)
	for i := 1; i < 200; i++ {
		v.Fail(fmt.Sprintf("entry-%d", i))
	}
	sent := map[string]int{}
	for n := range 10_000 {
		updates := v.News("entry-250")
		if len(updates) == 0 {
			break
		}
		if len(updates) > maxNews || n == 9_999 {
			t.Fatalf("message %d has %d updates, want at most %d and an end", n, len(updates), maxNews)
		}
		for _, u := range updates {
			sent[u.Node]++
		}
	}
	counts := make([]int, 0, len(sent))
	for _, c := range sent {
		counts = append(counts, c)
	}
	if len(sent) != 199 || slices.Min(counts) < newsFactor*8 || slices.Max(counts) > newsFactor*9+1 {
		t.Errorf("%d updates were sent %d to %d times", len(sent), slices.Min(counts), slices.Max(counts))
	}
}

// Messages of other versions and broken ones must not end a process or spoil its view.
func FuzzApply(f *testing.F) {
	f.Add("entry-1", uint64(10), uint64(0), true, true)
	f.Add("entry-0", uint64(10), uint64(math.MaxUint64), true, false)
	f.Add("entry-0", uint64(10), uint64(1)<<62, true, false) // the highest number that counts
	f.Add("", uint64(0), uint64(0), false, false)
	f.Fuzz(func(t *testing.T, node string, incarnation, sequence uint64, failed, ready bool) {
		v := fleet(12)
		v.Apply([]Update{{node, incarnation, sequence, failed, ready}})
		own := v.SetReady(true)
		if own.Failed || !v.Alive("entry-0") {
			t.Fatalf("the process holds itself for failed: %+v", own)
		}
		// What it says next must count for the others, whatever they were told.
		other := New("entry-1")
		for i := range 12 {
			other.Register(fmt.Sprintf("entry-%d", i), 10)
		}
		other.Apply([]Update{{node, incarnation, sequence, failed, ready}})
		v.Apply(other.News("entry-0"))
		other.Apply([]Update{v.SetReady(true)})
		if !other.Alive("entry-0") {
			t.Fatal("the process can't refute its failure")
		}
		if n, alive := v.Len(); n != 12 || alive < 11 || alive > 12 {
			t.Fatalf("%d processes, %d alive", n, alive)
		}
	})
}
