package ticket

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/fleet"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// inForce returns the state of a fleet with four hosts in pool north, two of them
// draining. Ticket 10 set all its objects.
func inForce() *fleet.State {
	var hosts []fleet.Host
	for i := range 4 {
		spec := fleet.HostSpec{Name: fmt.Sprint("h", i), Pool: "north", Zone: "z", Rack: "r", Slots: 8, Connections: 64}
		spec.Addr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i))
		state := fleet.Serving
		if i < 2 {
			state = fleet.Draining
		}
		hosts = append(hosts, fleet.Host{Spec: spec, Pool: "north", State: state, Epoch: 3, TicketNumber: 10})
	}
	pools := []fleet.Pool{{Name: "north", AwayPercent: 50, TicketNumber: 10}, {Name: "south", TicketNumber: 10}}
	return fleet.NewStateFrom(7, pools, nil, nil, hosts)
}

func parse(t *testing.T, text string) Ticket {
	t.Helper()
	parsed, faults := Parse([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return parsed
}

func TestDecide(t *testing.T) {
	host := `{"name": "h3", "pool": "%s", "address": "10.0.0.1:%d", "zone": "z", "rack": "r"}`
	tests := []struct {
		name   string
		ticket string
		digest string
		want   Verdict
		field  string
	}{
		{"newer", `{"number": 11, "author": "a", "pools": [{"name": "south"}]}`, "", Accepted, ""},
		{"the same number, another object", `{"number": 10, "author": "a", "pools": [{"name": "west"}]}`, "", Accepted, ""},
		{"older than in force", `{"number": 9, "author": "a", "pools": [{"name": "south"}]}`, "", Superseded, ""},
		{"taken by other content", `{"number": 11, "author": "a", "pools": [{"name": "south"}]}`, "other", Conflict, ""},
		{"a budget below what is away", `{"number": 11, "author": "a", "pools": [{"name": "north", "away-percent": 49}]}`, "", Invalid, "pools[0].away-percent"},
		{"a host to an unknown pool", `{"number": 11, "author": "a", "hosts": [` + fmt.Sprintf(host, "west", 8003) + `]}`, "", Invalid, "hosts[0].pool"},
		{"an address of another host", `{"number": 11, "author": "a", "hosts": [` + fmt.Sprintf(host, "south", 8002) + `]}`, "", Invalid, "hosts[0].address"},
		{"a move", `{"number": 11, "author": "a", "hosts": [` + fmt.Sprintf(host, "south", 8003) + `]}`, "", Accepted, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Decide(parse(t, tt.ticket), inForce(), tt.digest, now)
			if d.Verdict != tt.want {
				t.Fatalf("%s (%s), want %s", d.Verdict, d.Reason, tt.want)
			}
			if tt.field != "" && (len(d.Faults) != 1 || d.Faults[0].Field != tt.field) {
				t.Errorf("faults %v, want one of %s", d.Faults, tt.field)
			}
		})
	}
}

// A ticket that assigns a host to another pool changes only its spec. The planner
// drains the host and changes its current pool.
func TestMoveKeepsPoolAndState(t *testing.T) {
	ticket := parse(t, `{"number": 11, "author": "a", "hosts": [
		{"name": "h0", "pool": "south", "address": "10.0.0.1:8000", "zone": "z", "rack": "r"}]}`)
	d := Decide(ticket, inForce(), "", now)
	h := d.Change.Hosts[0]
	if h.Pool != "north" || h.State != fleet.Draining || h.Epoch != 3 || h.Spec.Pool != "south" || h.TicketNumber != 11 {
		t.Errorf("got %+v", h)
	}
	effects := strings.Join(Effects(d.Change, inForce()), "\n")
	if !strings.Contains(effects, "host h0 is drained and moves from north to south") {
		t.Errorf("effects:\n%s", effects)
	}
}

// White space and the order of keys do not change the digest, a value does.
func TestDigest(t *testing.T) {
	one := parse(t, `{"number": 1, "author": "a", "pools": [{"name": "p", "away-percent": 5}]}`)
	same := parse(t, `{"pools":[{"away-percent":5,"name":"p"}],"author":"a","number":1}`)
	other := parse(t, `{"number": 1, "author": "a", "pools": [{"name": "p", "away-percent": 6}]}`)
	if one.Digest != same.Digest || one.Digest == other.Digest {
		t.Errorf("digests %s, %s, %s", one.Digest, same.Digest, other.Digest)
	}
	if d := Decide(same, inForce(), one.Digest, now); d.Verdict != Repeated {
		t.Errorf("the same ticket again is %s", d.Verdict)
	}
}
