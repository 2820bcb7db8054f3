package daemon

import (
	"fmt"
	"testing"
	"time"
)

// A process is in touch with others as long as most of those that it probes answer or refuse
// connections.
func TestInTouch(t *testing.T) {
	now := time.Now()
	answering, ended := &peer{probedAt: now, answered: true}, &peer{probedAt: now, refusedConnections: 3}
	silent, forgotten := &peer{probedAt: now}, &peer{probedAt: now.Add(-2 * probeMemory)}
	for _, tt := range []struct {
		name  string
		peers []*peer
		want  bool
	}{
		{"no other process", nil, true},
		{"all answer", []*peer{answering, answering}, true},
		{"one of three is silent", []*peer{answering, answering, silent}, true},
		{"all others have ended", []*peer{ended, ended, ended}, true},
		{"two of three are silent", []*peer{answering, silent, silent}, false},
		{"probes of long ago", []*peer{forgotten, forgotten, answering}, true},
	} {
		d := claimer(now)
		clear(d.peers)
		for i, p := range tt.peers {
			d.peers[fmt.Sprint(i)] = p
		}
		if have := d.inTouch(); have != tt.want {
			t.Errorf("%s: in touch %v, want %v", tt.name, have, tt.want)
		}
	}
}
