package daemon

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/pool"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// Guards against a pool that is offered to the same few processes again and again, while others
// could take it over: the store may turn away the ones that rank first.
func TestHandoverTurnsToOtherProcesses(t *testing.T) {
	const processes = 20
	d := claimer(time.Now())
	clear(d.peers)
	d.ownerships["p0"] = pool.Ownership{Pool: "p0", Token: 1, Owner: d.self}
	asked := make([]atomic.Int64, processes)
	for i := range processes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				asked[i].Add(1)
				_ = c.Close()
			}
		}()
		node := fmt.Sprintf("n%02d", i)
		link := wire.NewPeer(listener.Addr().(*net.TCPAddr).AddrPort(), wire.DefaultTiming(), nil)
		defer link.Close()
		d.peers[node] = &peer{node: node, life: node, answeredAt: time.Now().Add(time.Hour), ready: true, link: link}
	}
	for range processes/maxHandoverTries + 1 {
		d.handOverPool("p0")
	}
	for i := range asked {
		if asked[i].Load() == 0 {
			t.Errorf("process %d of %d was not asked to take the pool over", i, processes)
		}
	}
}

// A process that had lost a pool while it was slow handed it over, and the pool changed hands
// once more in the middle of a load peak.
func TestPoolOfAnotherOwnerIsNotHandedOver(t *testing.T) {
	d := claimer(time.Now())
	if d.handOverPool("p0") {
		t.Error("a pool of another process was handed over")
	}
	for _, tt := range []struct {
		name  string
		token uint64
		want  bool
	}{
		{"the present owner's offer", 1, true},
		{"the offer of a later owner than is known here", 2, true},
		{"the offer of an earlier owner", 0, false},
	} {
		if have := d.accepts(TakeArgs{Pool: "p0", Token: tt.token}); have != tt.want {
			t.Errorf("%s: accepted %v, want %v", tt.name, have, tt.want)
		}
	}
}
