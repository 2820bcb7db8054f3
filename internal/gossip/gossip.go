// Package gossip keeps a process's view of which other processes run, at a cost in
// messages that does not depend on how many there are.
//
// The processes form a ring, ordered by a hash of their names. In each period a process
// probes the next two on the ring and one at a distance of a power of two; probes and
// their answers carry news. A process that fails a probe stays a target until it answers or
// is reported as failed, and each failed process is probed now and then by the one before
// it, so that the two halves of a healed partition find each other. A fleet with no more
// than [maxNeighbours] others is probed as a whole.
//
// The view is a hint: that a process has failed is reported by whoever probed it, and may
// be wrong. What must not be done while the process runs is decided on evidence of one's own.
//
// # Usage
//
//	v := gossip.New("entry-1")
//	v.Register("entry-2", rowVersion) // for each row of the member table
//	for _, node := range v.Targets() {
//		// send a probe with v.News(node), and v.Apply the news of the answer
//	}
//	v.Fail("entry-2") // no answer, and none to others either
//	if v.Alive("entry-2") { ... }
//
// The order of news about a process is that of its lives, which the store numbers, and
// within a life that of the numbers that the process itself gives to its states. It
// refutes a report of its failure with a higher one. This follows SWIM (Das, Gupta and
// Motivala, DSN 2002), without its state of suspicion.
package gossip

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	maxNeighbours = 8       // with no more others than this, all are probed in each period
	nearTargets   = 2       // next processes on the ring that are probed in each period
	failedPeriod  = 4       // in periods, between probes of failed processes
	maxNews       = 48      // updates in a message, when many processes fail at once
	newsFactor    = 2       // an update is sent this many times the logarithm of the number of processes
	maxSequence   = 1 << 62 // highest number of a state; a failure must have a lower one, or it could not be refuted
)

// Update is the state of one process, as it said itself or as one that probed it reports.
type Update struct {
	Node        string
	Incarnation uint64 // numbers the lives of the node's processes; the version of the member row
	Sequence    uint64 // numbers the states that the process itself has given
	Failed      bool   // as another process reports; comes after the same state without it
	Ready       bool   // it can own pools
}

// after reports whether u is newer than v, which is about the same node.
func (u Update) after(v Update) bool {
	if c := cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Sequence, v.Sequence)); c != 0 {
		return c > 0
	}
	return u.Failed && !v.Failed
}

// member is what a view holds about a process.
type member struct {
	Update
	hash uint64
	sent int  // how often this state was sent
	news bool // it is still sent
}

// View is what one process knows about the others. Its methods must not be called
// concurrently.
type View struct {
	self    string
	members map[string]*member
	ring    []*member // by hash, with the process itself
	news    []*member
	alive   int // members that have not failed, with the process itself
	period  int
	finger  int // counts the distant targets
}

// New returns the view of a process that knows only itself.
func New(self string) *View {
	v := &View{self: self, members: map[string]*member{}}
	v.Register(self, 0)
	return v
}

// Register adds a process, or its next life, from its entry in the store. Until there is
// news it counts as alive and ready.
func (v *View) Register(node string, incarnation uint64) {
	u := Update{Node: node, Incarnation: incarnation, Ready: true}
	m := v.members[node]
	switch {
	case m == nil:
		m = &member{Update: u, hash: xxh3.HashString(node)}
		v.members[node] = m
		at, _ := slices.BinarySearchFunc(v.ring, m, compareOnRing)
		v.ring = slices.Insert(v.ring, at, m)
		v.alive++
	case node == v.self:
		m.Incarnation = max(m.Incarnation, incarnation)
	case u.after(m.Update):
		v.set(m, u)
	}
}

func compareOnRing(x, y *member) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.Node, y.Node))
}

// set changes the state of a member.
func (v *View) set(m *member, u Update) {
	switch {
	case u.Failed && !m.Failed:
		v.alive--
	case !u.Failed && m.Failed:
		v.alive++
	}
	m.Update = u
}

// spread makes the state of a member news.
func (v *View) spread(m *member) {
	m.sent = 0
	if !m.news {
		m.news = true
		v.news = append(v.news, m)
	}
}

// SetReady records and spreads whether the process itself is ready. It returns its state.
func (v *View) SetReady(ready bool) Update {
	m := v.members[v.self]
	if m.Ready != ready {
		m.Ready = ready
		m.Sequence++
		v.spread(m)
	}
	return m.Update
}

// Apply applies news and returns the nodes whose state changed. It ignores updates about
// processes that are not registered, and refutes that the process itself has failed.
func (v *View) Apply(news []Update) (changed []string) {
	for _, u := range news {
		m := v.members[u.Node]
		if m == nil || u.Sequence > maxSequence || u.Failed && u.Sequence == maxSequence || u.Incarnation > m.Incarnation {
			continue // a life that is not registered yet: its row is on the way
		}
		if u.Node == v.self {
			if u.Incarnation == m.Incarnation && u.Failed && u.Sequence >= m.Sequence {
				m.Sequence = u.Sequence + 1
				v.spread(m)
			}
			continue
		}
		if !u.after(m.Update) {
			continue
		}
		v.set(m, u)
		v.spread(m)
		changed = append(changed, u.Node)
	}
	return changed
}

// Fail reports that a process has failed, unless that is known. It returns whether it was
// not.
func (v *View) Fail(node string) bool {
	m := v.members[node]
	if m == nil || m.Failed || node == v.self {
		return false
	}
	u := m.Update
	u.Failed = true
	v.set(m, u)
	v.spread(m)
	return true
}

// News returns the updates to send to a process, those that were sent least first. If the
// process counts as failed, the first one tells it so.
func (v *View) News(to string) []Update {
	var updates []Update
	if m := v.members[to]; m != nil && m.Failed {
		updates = append(updates, m.Update)
	}
	limit := newsFactor * bits.Len(uint(len(v.ring)))
	slices.SortStableFunc(v.news, func(x, y *member) int { return cmp.Compare(x.sent, y.sent) })
	for _, m := range v.news {
		if len(updates) == maxNews {
			break
		}
		if m.Node == to {
			continue // it knows, or the first update tells it
		}
		updates = append(updates, m.Update)
		m.sent++
	}
	v.news = slices.DeleteFunc(v.news, func(m *member) bool {
		m.news = m.sent < limit
		return !m.news
	})
	return updates
}

// All returns the state of every process.
func (v *View) All() []Update {
	updates := make([]Update, 0, len(v.ring))
	for _, m := range v.ring {
		updates = append(updates, m.Update)
	}
	return updates
}

// Targets begins a period. It returns the nodes that this process probes in every period
// now, and one that it probes in this one, which is empty if there is none.
func (v *View) Targets() (neighbours []string, other string) {
	v.period++
	if v.Whole() {
		for _, m := range v.ring {
			if m.Node != v.self {
				neighbours = append(neighbours, m.Node)
			}
		}
		return neighbours, ""
	}
	others := v.alive - 1
	distance := 0 // of the distant target among those that are alive
	if distances := bits.Len(uint(others)) - bits.Len(nearTargets); distances > 0 {
		distance = nearTargets << (1 + v.finger%distances)
	}
	var failed []string // before the next process that is alive
	at, seen := v.position(), 0
	for i := 1; i < len(v.ring) && (len(neighbours) < nearTargets || seen < distance); i++ {
		m := v.ring[(at+i)%len(v.ring)]
		if m.Failed {
			if seen == 0 {
				failed = append(failed, m.Node)
			}
			continue
		}
		seen++
		if seen <= nearTargets {
			neighbours = append(neighbours, m.Node)
		}
		if seen == distance {
			other = m.Node
		}
	}
	if v.period%failedPeriod == 0 && len(failed) > 0 {
		return neighbours, failed[v.period/failedPeriod%len(failed)]
	}
	v.finger++
	return neighbours, other
}

// position returns where on the ring the process itself is.
func (v *View) position() int {
	at, _ := slices.BinarySearchFunc(v.ring, v.members[v.self], compareOnRing)
	return at
}

// Distant returns a process that is alive and changes with every call, for an exchange of
// the whole state or an indirect probe. It is empty if there is none.
func (v *View) Distant(n int) string {
	at := v.position()
	for i := range v.ring {
		m := v.ring[(at+1+(n*(nearTargets+1)+i)%len(v.ring))%len(v.ring)]
		if !m.Failed && m.Node != v.self {
			return m.Node
		}
	}
	return ""
}

// Alive reports whether a process is not known to have failed.
func (v *View) Alive(node string) bool {
	m := v.members[node]
	return m != nil && !m.Failed
}

// Ready reports whether a process is alive and can own pools.
func (v *View) Ready(node string) bool {
	m := v.members[node]
	return m != nil && !m.Failed && m.Ready
}

// Whole reports whether all processes are probed in every period.
func (v *View) Whole() bool { return len(v.ring) <= maxNeighbours+1 }

// Len returns how many processes are registered and how many of them are alive, with the
// process itself.
func (v *View) Len() (registered, alive int) { return len(v.ring), v.alive }
