package flood

import (
	"testing"
	"time"
)

// A run depends only on the scenario and its seed.
func TestRunsRepeat(t *testing.T) {
	s := Floods()[0]
	s.Length = 25 * time.Second
	first, second := Run(Dispatcher(s), s), Run(Dispatcher(s), s)
	for name, c := range first.Classes {
		if d := second.Classes[name]; c.Good != d.Good || c.Refused != d.Refused || c.P99() != d.P99() {
			t.Errorf("%s differs: %+v and %+v", name, c, d)
		}
	}
}

// The users' targets for the kinds that do not flood, relative to a run without a
// flood.
const (
	targetGoodput = 0.99
	targetP99     = 1.2
)

func TestOthersKeepTheirShareInAFlood(t *testing.T) {
	calm := Run(Dispatcher(Calm()), Calm())
	for _, s := range Floods() {
		t.Run(s.Name, func(t *testing.T) {
			isolation := IsolationOf(s, Run(Dispatcher(s), s), calm)
			if isolation.Goodput < targetGoodput || isolation.P99 > targetP99 {
				t.Errorf("kept %.1f%% of the goodput, p99 x%.2f; want at least 99%% and at most x%.1f", 100*isolation.Goodput, isolation.P99, targetP99)
			}
		})
	}
}
