package place_test

import "testing"

// Guards against a decision with look-ahead that differs from that of a scan, keeps a long-running
// task from room, or panics: all of the random tests' events beside reservations.
func TestOrdersAreThoseOfAScanWithLookAhead(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(200) {
		s := newScanTest(seed)
		s.lookAhead, s.crashes, s.checkReserved = true, seed%2 == 0, true
		if err := s.run(300); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for what, n := range s.counts {
			counts[what] += n
		}
	}
	for _, what := range []string{"reservations made", "reservations used", "backfilled"} {
		if counts[what] == 0 {
			t.Errorf("no %s in any run, so that they show nothing", what)
		}
	}
	t.Log(counts)
}
