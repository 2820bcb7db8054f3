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

// callTimeout bounds calls that a peer answers without waiting for anything.
const callTimeout = time.Second

// roster tracks the other members: their leases, their connections and which of
// them answer. It decides which member owns a pool or a key shard.
type roster struct {
	self         member.Info
	expected     int // number of members, from the settings
	log          *event.Log
	localHolding func(pool string) broker.MemberGrants
	changed      chan struct{} // receives an item when ownership may have changed

	mu           sync.Mutex
	watch        *member.Watch
	peers        map[string]*peer // by incarnation
	suspects     map[string]bool  // by incarnation; true if it does not answer
	leavingPeers map[string]bool  // by incarnation; they own nothing any more
	ready        bool             // whether this process is ready
	leaving      bool             // whether this process is leaving
}

// peer is a member with its connection.
type peer struct {
	info      member.Info
	wire      *wire.Peer
	suspected bool // whether it does not answer; set by [roster.livePeers]
}

// errSuspected replaces the result of a call to a suspected member, which is not
// made.
var errSuspected = errors.New("the member does not answer")

func newRoster(self member.Info, expected int, timing member.Timing, log *event.Log) *roster {
	return &roster{
		self:         self,
		expected:     expected,
		log:          log,
		changed:      make(chan struct{}, 1),
		watch:        member.NewWatch(timing),
		peers:        map[string]*peer{},
		suspects:     map[string]bool{},
		leavingPeers: map[string]bool{},
	}
}

// observe updates the members from a read of the lease rows.
func (r *roster) observe(infos []member.Info, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Observe(infos, now)
	changed := false
	live := map[string]bool{}
	for _, info := range r.watch.Live() {
		live[info.Incarnation] = true
		if info.Incarnation != r.self.Incarnation && r.updatePeer(info) {
			changed = true
		}
	}
	for incarnation, p := range r.peers {
		if !live[incarnation] {
			r.removePeer(incarnation, p)
			changed = true
		}
	}
	if changed {
		r.notifyChanged()
	}
}

// updatePeer adds or updates a live member, and reports whether this may change
// what it owns.
func (r *roster) updatePeer(info member.Info) (changed bool) {
	p, known := r.peers[info.Incarnation]
	if !known {
		report := func(alive bool) { r.suspect(info.Incarnation, !alive) }
		p = &peer{wire: wire.NewPeer(info.Peer, wire.DefaultTiming(), report)}
		r.peers[info.Incarnation] = p
		r.log.Add(event.MemberJoin, info.Name, info.Counter, string(info.State))
	}
	if known && info.Counter < p.info.Counter {
		return false // from an older read
	}
	changed = !known || p.info.State != info.State
	p.info = info
	return changed
}

// addReady adds a member that announces that it is ready.
func (r *roster) addReady(info member.Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.updatePeer(info) {
		r.notifyChanged()
	}
}

// announceJoin tells every member that this process is ready, and only then marks
// it as ready here: by then the previous owners have given up its share.
func (r *roster) announceJoin(ctx context.Context, info member.Info) {
	r.forEachPeer(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = p.wire.Call(ctx, "Member.Join", JoinArgs{Info: info}, &JoinReply{})
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
	r.notifyChanged()
}

func (r *roster) removePeer(incarnation string, p *peer) {
	kind := event.MemberLapse
	if p.info.State == member.Leaving {
		kind = event.MemberLeave
	}
	r.log.Add(kind, p.info.Name, p.info.Counter, "")
	p.wire.Close()
	delete(r.peers, incarnation)
	delete(r.suspects, incarnation)
	delete(r.leavingPeers, incarnation)
}

func (r *roster) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// suspect sets whether a member is suspected because it does not answer. A
// suspected member owns nothing.
func (r *roster) suspect(incarnation string, suspected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects[incarnation] == suspected {
		return
	}
	r.suspects[incarnation] = suspected
	r.notifyChanged()
}

// recordLeave marks a member as leaving, so that it owns nothing any more.
func (r *roster) recordLeave(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingPeers[incarnation] = true
	r.notifyChanged()
}

// suspected returns the incarnations of the members that do not answer.
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

// probe sends a heartbeat at once to members that another member can't reach, so
// that this process notices a failure without waiting for the next heartbeat.
func (r *roster) probe(incarnations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range incarnations {
		if p, known := r.peers[incarnation]; known && !r.suspects[incarnation] {
			p.wire.HeartbeatNow()
		}
	}
}

// candidates returns the members that may own pools and key shards.
func (r *roster) candidates() []member.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	var infos []member.Info
	if r.ready && !r.leaving {
		infos = append(infos, r.self)
	}
	for incarnation, p := range r.peers {
		if !r.suspects[incarnation] && !r.leavingPeers[incarnation] && p.info.State == member.Ready {
			infos = append(infos, p.info)
		}
	}
	return infos
}

// owner returns the member that owns an object and the connection to it, which is
// nil if the owner is this process. It reports whether there is such a member.
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

// unconfirmed returns the processes that are not live but may still act. The
// expired ones have been silent for so long that a majority may count them as
// gone.
func (r *roster) unconfirmed() (expired, pending []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch.Unconfirmed()
}

// confirmGone records that a majority counts a process as gone.
func (r *roster) confirmGone(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.ConfirmGone(incarnation)
}

// electorate returns the number of members of which a majority is needed: those
// that have not left, live or not, but at least the number in the settings. A
// process that saw only itself before it lost the table service must not be a
// majority of one.
func (r *roster) electorate() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.expected, len(r.watch.Members()))
}

// gone reports whether a process has certainly stopped relying on its lease.
func (r *roster) gone(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch.Gone(incarnation)
}

// livePeers returns every other live member.
func (r *roster) livePeers() []*peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		peers = append(peers, &peer{info: p.info, wire: p.wire, suspected: r.suspects[p.info.Incarnation]})
	}
	return peers
}

// forEachPeer calls do concurrently for every other live member and waits for all
// calls.
func (r *roster) forEachPeer(do func(p *peer)) {
	var wg sync.WaitGroup
	for _, p := range r.livePeers() {
		wg.Go(func() { do(p) })
	}
	wg.Wait()
}

// announceLeave marks this process as leaving, so that it owns nothing any more,
// and tells every member.
func (r *roster) announceLeave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.forEachPeer(func(p *peer) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply LeaveReply
		_ = p.wire.Call(ctx, "Member.Leave", LeaveArgs{Incarnation: r.self.Incarnation}, &reply)
	})
}

// collectHoldings asks every member, this one included, for its grants of a pool.
// It does not call suspected members, but sends them a heartbeat at once to learn
// whether they answer again or have ended. A member that is in live but has no holding
// did not answer, and its grants count as held.
func (r *roster) collectHoldings(ctx context.Context, pool string) (holdings []broker.MemberGrants, live []string) {
	var mu sync.Mutex
	holdings = append(holdings, r.localHolding(pool))
	live = append(live, r.self.Name)
	r.forEachPeer(func(p *peer) {
		var reply HeldReply
		err := errSuspected
		if p.suspected {
			p.wire.HeartbeatNow()
		} else {
			err = p.wire.Call(ctx, "Member.Held", HeldArgs{Pool: pool}, &reply)
		}
		mu.Lock()
		defer mu.Unlock()
		live = append(live, p.info.Name)
		switch {
		case err == nil:
			holdings = append(holdings, broker.MemberGrants{Member: p.info.Name, Grants: reply.Grants, RecentlyIssued: reply.Given})
		case p.wire.Refused():
			holdings = append(holdings, broker.MemberGrants{Member: p.info.Name, Ended: true})
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

// members returns the other live members, by name, for the operators' interface.
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
