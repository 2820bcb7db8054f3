package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/broker"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/wire"
)

// callTimeout bounds a call to a peer that should answer at once.
const callTimeout = time.Second

// roster knows the other members: their leases, and which of them answer.
type roster struct {
	self      member.Info
	expected  int // members, from the settings
	log       *event.Log
	localHeld func(pool string) broker.Holding
	changed   chan struct{} // has an item when ownership may have changed

	mu       sync.Mutex
	watch    *member.Watch
	peers    map[string]*peer // by incarnation
	suspects map[string]bool  // incarnations that do not answer
	leavers  map[string]bool  // incarnations that take no more responsibility
	ready    bool             // this process
	leaving  bool             // this process
}

// peer is a member with its connection.
type peer struct {
	info      member.Info
	wire      *wire.Peer
	suspected bool // whether it did not answer of late; set by [roster.all]
}

// errSuspected stands for a call that was not made.
var errSuspected = errors.New("the member does not answer")

func newRoster(self member.Info, expected int, timing member.Timing, log *event.Log) *roster {
	return &roster{
		self:     self,
		expected: expected,
		log:      log,
		changed:  make(chan struct{}, 1),
		watch:    member.NewWatch(timing),
		peers:    map[string]*peer{},
		suspects: map[string]bool{},
		leavers:  map[string]bool{},
	}
}

// observe takes in what a read of the lease rows gave.
func (r *roster) observe(infos []member.Info, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Observe(infos, now)
	changed := false
	live := map[string]bool{}
	for _, info := range r.watch.Live() {
		live[info.Incarnation] = true
		if info.Incarnation != r.self.Incarnation && r.meet(info) {
			changed = true
		}
	}
	for incarnation, p := range r.peers {
		if !live[incarnation] {
			r.part(incarnation, p)
			changed = true
		}
	}
	if changed {
		r.notify()
	}
}

// meet notes what a live member says, and reports whether that may change what
// it is responsible for.
func (r *roster) meet(info member.Info) (changed bool) {
	p, known := r.peers[info.Incarnation]
	if !known {
		report := func(alive bool) { r.suspect(info.Incarnation, !alive) }
		p = &peer{wire: wire.NewPeer(info.Peer, wire.DefaultTiming(), report)}
		r.peers[info.Incarnation] = p
		r.log.Add(event.MemberJoin, info.Name, info.Counter, string(info.State))
	}
	if known && info.Counter < p.info.Counter {
		return false // from a read that was overtaken
	}
	changed = !known || p.info.State != info.State
	p.info = info
	return changed
}

// join takes in a member that says itself that it is ready.
func (r *roster) join(info member.Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meet(info) {
		r.notify()
	}
}

// announceJoin tells every member that this process is ready, and only then
// takes responsibility: whoever had it has given it up by then.
func (r *roster) announceJoin(ctx context.Context, info member.Info) {
	r.each(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = p.wire.Call(ctx, "Member.Join", JoinArgs{Info: info}, &JoinReply{})
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
	r.notify()
}

func (r *roster) part(incarnation string, p *peer) {
	kind := event.MemberLapse
	if p.info.State == member.Leaving {
		kind = event.MemberLeave
	}
	r.log.Add(kind, p.info.Name, p.info.Counter, "")
	p.wire.Close()
	delete(r.peers, incarnation)
	delete(r.suspects, incarnation)
	delete(r.leavers, incarnation)
}

func (r *roster) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// suspect marks whether a member should be passed over because it does not
// answer.
func (r *roster) suspect(incarnation string, suspected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects[incarnation] == suspected {
		return
	}
	r.suspects[incarnation] = suspected
	r.notify()
}

// left notes that a member takes no more responsibility.
func (r *roster) left(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavers[incarnation] = true
	r.notify()
}

// suspected returns the members that do not answer.
func (r *roster) suspected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var incarnations []string
	for incarnation, suspected := range r.suspects {
		if suspected {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// check asks members for a sign of life at once, because another member gets
// none from them.
func (r *roster) check(incarnations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range incarnations {
		if p, known := r.peers[incarnation]; known && !r.suspects[incarnation] {
			p.wire.Poke()
		}
	}
}

// candidates returns the members that may be responsible for something.
func (r *roster) candidates() []member.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	var infos []member.Info
	if r.ready && !r.leaving {
		infos = append(infos, r.self)
	}
	for incarnation, p := range r.peers {
		if !r.suspects[incarnation] && !r.leavers[incarnation] && p.info.State == member.Ready {
			infos = append(infos, p.info)
		}
	}
	return infos
}

// owner returns the member responsible for an object and the connection to it,
// which is nil if it is this process.
func (r *roster) owner(object string) (member.Info, *wire.Peer, bool) {
	info, found := member.Owner(object, r.candidates())
	if !found || info.Incarnation == r.self.Incarnation {
		return info, nil, found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p, known := r.peers[info.Incarnation]
	if !known {
		return info, nil, false
	}
	return info, p.wire, true
}

// connection returns the connection to a live member.
func (r *roster) connection(incarnation string) (*wire.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, known := r.peers[incarnation]
	if !known {
		return nil, false
	}
	return p.wire, true
}

// leaseChecks makes a transaction conditional on some members not having renewed
// their leases.
func (r *roster) leaseChecks(incarnations []string) []plat.Check {
	r.mu.Lock()
	defer r.mu.Unlock()
	var checks []plat.Check
	for _, incarnation := range incarnations {
		if check, found := r.watch.LeaseCheck(incarnation); found {
			checks = append(checks, check)
		}
	}
	return checks
}

// doubtful returns the processes that may still act though they are not live.
func (r *roster) doubtful() (ripe, unripe []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch.Doubtful()
}

// settle notes that a majority counts a process as gone.
func (r *roster) settle(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Settle(incarnation)
}

// size returns how many members a majority is counted of: those that have not
// left, live or not, and no fewer than the settings name. A process that saw only
// itself before it lost the table service must not be a majority of one.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.expected, len(r.watch.Members()))
}

// gone reports whether a process has provably stopped relying on its lease.
func (r *roster) gone(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch.Gone(incarnation)
}

// all returns every other live member.
func (r *roster) all() []*peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		peers = append(peers, &peer{info: p.info, wire: p.wire, suspected: r.suspects[p.info.Incarnation]})
	}
	return peers
}

// each calls do for every other live member at once and waits for all.
func (r *roster) each(do func(p *peer)) {
	var wg sync.WaitGroup
	for _, p := range r.all() {
		wg.Go(func() { do(p) })
	}
	wg.Wait()
}

// announceLeave tells every member that this process takes no more
// responsibility.
func (r *roster) announceLeave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.each(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply LeaveReply
		_ = p.wire.Call(ctx, "Member.Leave", LeaveArgs{Incarnation: r.self.Incarnation}, &reply)
	})
}

// held asks every member, this one included, for its grants of a pool. One that
// does not answer is not waited for; its grants count as held.
func (r *roster) held(ctx context.Context, pool string) (holdings []broker.Holding, live []string) {
	var mu sync.Mutex
	holdings = append(holdings, r.localHeld(pool))
	live = append(live, r.self.Name)
	r.each(func(p *peer) {
		var reply HeldReply
		err := errSuspected
		if !p.suspected {
			err = p.wire.Call(ctx, "Member.Held", HeldArgs{Pool: pool}, &reply)
		}
		mu.Lock()
		defer mu.Unlock()
		live = append(live, p.info.Name)
		if err == nil {
			holdings = append(holdings, broker.Holding{Member: p.info.Name, Grants: reply.Grants, Given: reply.Given})
		}
	})
	return holdings, live
}

func (r *roster) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.wire.Close()
	}
}

// members returns the other live members as operators see them.
func (r *roster) members() []admin.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []admin.Member
	for incarnation, p := range r.peers {
		members = append(members, admin.Member{
			Name:    p.info.Name,
			Zone:    p.info.Zone,
			State:   string(p.info.State),
			Admin:   p.info.Admin.String(),
			Version: p.info.Version,
			Suspect: r.suspects[incarnation],
		})
	}
	slices.SortFunc(members, func(a, b admin.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
