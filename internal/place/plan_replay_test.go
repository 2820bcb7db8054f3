package place_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/place"
)

// A recording leaves out decisions without orders that are not flagged. The others have the same
// orders in a replay, though a plan depends on when the ones before it were made.
func TestPlansReplay(t *testing.T) {
	for workers := 1; workers <= 10; workers++ {
		var steps []place.Step
		skipped := 0
		l := load{workers: workers, shedding: true, organisations: map[string]place.Organisation{"busy": {Weight: 10}, "other": {Weight: 5}}}
		l.turn("busy", 0, 4*time.Second, float64(workers)*1.3)
		l.turn("other", time.Second, 5*time.Second, float64(workers)*0.4)
		l.turn("", 2*time.Second, 4*time.Second, float64(workers)*0.3)
		l.record = func(s place.Step) {
			o := s.Orders
			if s.Kind == place.StepDecide && !s.Flag && len(o.Starts)+len(o.Stops)+len(o.Paces)+len(o.Advice) == 0 {
				skipped++
				return
			}
			steps = append(steps, s)
		}
		l.play(t)
		if skipped == 0 {
			t.Errorf("%d workers: the recording has all decisions", workers)
		}
		again := place.NewBoard(place.DefaultPolicy(), 0)
		for i, s := range steps {
			if orders, _, err := again.Replay(s); err != nil || !reflect.DeepEqual(orders, s.Orders) {
				t.Errorf("%d workers, step %d of %d: %+v, replayed to %+v, %v", workers, i, len(steps), s, orders, err)
				break
			}
		}
	}
}
