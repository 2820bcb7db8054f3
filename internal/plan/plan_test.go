package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool returns a fleet of ten hosts in pool p. If edit is set, it is called on
// each host before the state is built.
func pool(awayPercent int, edit func(i int, h *fleet.Host)) *fleet.State {
	var hosts []fleet.Host
	for i := range 10 {
		h := fleet.Host{Pool: "p", State: fleet.Serving, Epoch: 3, Since: now}
		h.Spec.Name = fmt.Sprintf("h%d", i)
		h.Spec.Pool = "p"
		if edit != nil {
			edit(i, &h)
		}
		hosts = append(hosts, h)
	}
	return fleet.NewStateFrom(7, []fleet.Pool{{Name: "p", AwayPercent: awayPercent}, {Name: "q"}}, nil, nil, hosts)
}

func toMove(n int) func(i int, h *fleet.Host) {
	return func(i int, h *fleet.Host) {
		if i < n {
			h.Spec.Pool = "q"
		}
	}
}

func draining(i int, h *fleet.Host) {
	if i == 0 {
		h.Spec.Pool = "q"
		h.State = fleet.Draining
		h.Epoch = 5
	}
}

func TestSteps(t *testing.T) {
	quiet := Evidence{LowestVersion: 7, Complete: true}
	tests := []struct {
		name     string
		state    *fleet.State
		evidence Evidence
		at       time.Time
		want     []event.Kind
	}{
		{"nothing due", pool(20, nil), quiet, now, nil},
		{"drains within the budget", pool(20, toMove(5)), quiet, now, []event.Kind{event.HostDrain, event.HostDrain}},
		{"no budget", pool(9, toMove(5)), quiet, now, nil},
		{"a failed host counts as away", pool(20, func(i int, h *fleet.Host) {
			toMove(5)(i, h)
			if i == 9 {
				h.State = fleet.Failed
			}
		}), quiet, now, []event.Kind{event.HostDrain}},
		{"drained", pool(10, draining), quiet, now, []event.Kind{event.HostMove}},
		{"an attempt in flight", pool(10, draining), Evidence{LowestVersion: 7, Complete: true, InFlight: map[string]int{"h0": 1}}, now, nil},
		{"a member has not received the drain", pool(10, draining), Evidence{LowestVersion: 4, Complete: true}, now, nil},
		{"a member did not answer", pool(10, draining), Evidence{LowestVersion: 7}, now, nil},
		{"withdrawn", pool(10, func(i int, h *fleet.Host) {
			draining(i, h)
			h.Spec.Pool = "p"
		}), Evidence{}, now, []event.Kind{event.HostServe}},
		{"a drain past its timeout returns the host to service", pool(10, draining), Evidence{}, now.Add(DrainTimeout + 1), []event.Kind{event.HostServe}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := Steps(tt.state, "p", nil, tt.evidence, tt.at)
			var got []event.Kind
			for _, s := range steps {
				got = append(got, s.Kind)
				if s.Host.Epoch != 8 {
					t.Errorf("epoch %d, want that of the next version", s.Host.Epoch)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLeavingHostsCountAsAway(t *testing.T) {
	leaving := map[string]bool{"h8": true, "h9": true}
	if steps := Steps(pool(20, toMove(5)), "p", leaving, Evidence{}, now); len(steps) != 0 {
		t.Errorf("%d steps beyond the budget", len(steps))
	}
}
