package member

import (
	"testing"
	"time"
)

func TestPromises(t *testing.T) {
	const hold = 6 * time.Second
	later := start.Add(hold)
	tests := []struct {
		name  string
		setup func(p *Promises)
		gone  string
		at    time.Time
		want  bool
	}{
		{"nothing promised", func(*Promises) {}, "other", later, true},
		{"just started", func(*Promises) {}, "other", later.Add(-time.Second), false},
		{"itself, because it counts itself in its own majority", func(*Promises) {}, "self", later, false},
		{"promised", func(p *Promises) { p.Promise("other", true, later) }, "other", later.Add(hold - 1), false},
		{"promise expired", func(p *Promises) { p.Promise("other", true, later) }, "other", later.Add(hold), true},
		{"table service reachable, so no promise", func(p *Promises) { p.Promise("other", false, later) }, "other", later, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPromises("self", hold, start)
			tt.setup(p)
			if got := p.Agree(tt.gone, tt.at); got != tt.want {
				t.Errorf("Agree returned %v, want %v", got, tt.want)
			}
		})
	}
}

func TestNoPromiseAfterAgreement(t *testing.T) {
	p := NewPromises("self", time.Second, start)
	if !p.Agree("other", start.Add(time.Second)) {
		t.Fatal("Agree returned false without a promise")
	}
	if p.Promise("other", true, start.Add(time.Second)) {
		t.Error("Promise returned true for a member that is agreed to be gone")
	}
}
