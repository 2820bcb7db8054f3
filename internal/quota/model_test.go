package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/quota"
)

var orders = flag.Int("quota.orders", 400, "random orders that the model of owners plays")

// fault is a mistake that an owner makes, so that the model has to find an overrun.
type fault int

const (
	noFault       fault = iota
	ignoresUnseen       // does not count what may run on workers that it has not heard from
	ignoresFence        // goes on with its old token after a later owner has written
	ignoresLoss         // takes a raise without an answer for written
)

// task is a running task, as it is in fact.
type task struct {
	pool    int
	size    jobs.Resources
	starter *owner
}

// call is a read or a write that is on its way, or an answer that is.
type call struct {
	owner   *owner
	write   []byte // nil for a read
	expect  uint64
	done    bool // has reached the store
	taken   bool // a write that has taken effect
	row     []byte
	version uint64
}

type owner struct {
	pool    int
	token   uint64
	account *quota.Account
	version uint64
	unseen  bool // tasks of an earlier owner may run that it does not know of
	// unseenRoom is the capacity of the workers that have not answered.
	unseenRoom jobs.Resources
	waiting    []jobs.Resources
	call       *call
	fault      fault
}

// model plays the owners of some pools that share the quota of one organisation.
type model struct {
	rng     *rand.Rand
	limits  []jobs.Resources // by version of the configuration, from 1 on
	row     []byte
	version uint64
	pools   []*owner
	former  []*owner // which have not noticed it yet
	tokens  uint64
	tasks   []*task
	late    []*call // without an answer; may yet reach the store
	fault   fault
	starts  int
}

func newModel(seed uint64, f fault) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), fault: f}
	m.changeLimit()
	for pool := range 2 + m.rng.IntN(4) {
		m.pools = append(m.pools, nil)
		m.takeOver(pool)
		m.pools[pool].unseen = false
	}
	return m
}

func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }

func (m *model) changeLimit() {
	limit := jobs.Resources{Millicores: 10 + m.rng.IntN(50), MemoryMB: m.rng.IntN(2) * (20 + m.rng.IntN(100))}
	m.limits = append(m.limits, limit)
}

func (m *model) takeOver(pool int) {
	if o := m.pools[pool]; o != nil {
		m.former = append(m.former, o)
	}
	m.tokens++
	o := &owner{pool: pool, token: m.tokens, account: quota.NewAccount(fmt.Sprint("pool-", pool), m.tokens), unseen: true, fault: m.fault}
	m.pools[pool] = o
	o.unseenRoom = m.unseenBy(o).Add(jobs.Resources{Millicores: m.rng.IntN(60), MemoryMB: m.rng.IntN(100)})
	m.configure(o, uint64(1+m.rng.IntN(len(m.limits))))
}

func (m *model) configure(o *owner, version uint64) {
	if version > o.version {
		o.version = version
		o.account.SetLimit(version, m.limits[version-1])
	}
}

// usage returns what an owner knows: its own tasks, and as many unseen ones as there may be.
func (m *model) usage(o *owner) (u quota.Usage, unseen jobs.Resources) {
	for _, t := range m.tasks {
		if t.starter == o {
			u.Claimed = u.Claimed.Add(t.size)
		}
	}
	if o.unseen && o.fault != ignoresUnseen {
		unseen = o.account.Inherited().Min(o.unseenRoom)
		u.Claimed = u.Claimed.Add(unseen)
	}
	u.Needed = u.Claimed
	for _, size := range o.waiting {
		u.Needed = u.Needed.Add(size)
		u.Unit = jobs.Resources{Millicores: max(u.Unit.Millicores, size.Millicores), MemoryMB: max(u.Unit.MemoryMB, size.MemoryMB)}
	}
	u.Recent = u.Needed
	return u, unseen
}

// unseenBy returns what earlier owners of a pool have started without an owner's knowledge.
func (m *model) unseenBy(o *owner) (sum jobs.Resources) {
	for _, t := range m.tasks {
		if t.pool == o.pool && t.starter.token < o.token {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

// decide lets an owner send what is due.
func (m *model) decide(o *owner) {
	if o.call != nil {
		return
	}
	if o.account.NeedsRead() || o.account.Blocked(first(m.usage(o))) && m.chance(50) {
		o.call = &call{owner: o}
		return
	}
	row, due, _ := o.account.Propose(first(m.usage(o)))
	if !due {
		return
	}
	data, err := row.Encode()
	if err != nil {
		panic(err)
	}
	_, version := o.account.Row()
	o.account.Sent(row)
	o.call = &call{owner: o, write: data, expect: version}
}

func first[T, U any](x T, _ U) T { return x }

// reach lets a call reach the store.
func (m *model) reach(c *call) {
	c.done = true
	if c.write != nil && c.expect == m.version {
		m.version += uint64(1 + m.rng.IntN(3))
		m.row = c.write
		c.taken = true
	}
	c.row, c.version = m.row, m.version
}

// answer ends a call.
func (m *model) answer(c *call, lost bool) error {
	o := c.owner
	o.call = nil
	switch {
	case lost && c.write != nil && o.fault == ignoresLoss:
		o.account.Written(m.version)
	case lost:
		m.late = append(m.late, c)
		if c.write != nil {
			o.account.Unanswered()
		}
	case c.write != nil && c.taken:
		o.account.Written(c.version)
	default:
		row, err := decodeRow(c.row)
		if err != nil {
			return err
		}
		o.account.Learned(row, c.version)
		if o.fault == ignoresFence {
			o.account.ForgetFence()
		}
	}
	return nil
}

func decodeRow(data []byte) (quota.Row, error) {
	if data == nil {
		return quota.Row{}, nil
	}
	return quota.Decode(data)
}

// start starts the first waiting task of an owner if its allotment allows, and checks what
// runs then.
func (m *model) start(o *owner) error {
	if len(o.waiting) == 0 {
		return nil
	}
	u, unseen := m.usage(o)
	size := o.waiting[0]
	for _, later := range append(m.former, m.pools[o.pool]) {
		if later.pool == o.pool && later.token > o.token && !m.unseenBy(later).Add(size).Fits(later.unseenRoom) {
			return nil // no worker that has not answered the later owner has room
		}
	}
	if !u.Claimed.Sub(unseen).Add(size).Fits(o.account.Allotment(u).Sub(unseen)) {
		return nil
	}
	o.waiting = o.waiting[1:]
	m.tasks = append(m.tasks, &task{o.pool, size, o})
	m.starts++
	return m.check(size)
}

// check compares what runs with the highest quota that may be in force, after the start of a
// task. What the task has none of may exceed a quota that was lowered.
func (m *model) check(started jobs.Resources) error {
	oldest := uint64(len(m.limits))
	for _, o := range slices.Concat(m.pools, m.former) {
		oldest = min(oldest, o.version)
	}
	var allowed, running jobs.Resources
	for _, limit := range m.limits[oldest-1:] {
		allowed.Millicores = max(allowed.Millicores, limit.Millicores)
		if limit.MemoryMB == 0 || allowed.MemoryMB == jobs.Unlimited {
			allowed.MemoryMB = jobs.Unlimited
		} else {
			allowed.MemoryMB = max(allowed.MemoryMB, limit.MemoryMB)
		}
	}
	for _, t := range m.tasks {
		running = running.Add(t.size)
	}
	if started.MemoryMB == 0 {
		allowed.MemoryMB = jobs.Unlimited
	}
	if !running.Fits(allowed) {
		return fmt.Errorf("%+v run, allowed %+v", running, allowed)
	}
	return nil
}

// settle ends the doubt about a pool: its former owners have noticed, and all of its workers
// have listed their tasks or their leases have expired.
func (m *model) settle(pool int) {
	m.former = slices.DeleteFunc(m.former, func(o *owner) bool { return o.pool == pool })
	lapsed := m.chance(50)
	m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool { return t.pool == pool && t.starter != m.pools[pool] && lapsed })
	for _, t := range m.tasks {
		if t.pool == pool {
			t.starter = m.pools[pool]
		}
	}
	m.pools[pool].unseen = false
}

func (m *model) size() jobs.Resources {
	return jobs.Resources{Millicores: 1 + m.rng.IntN(8), MemoryMB: m.rng.IntN(10)}
}

// step plays one random event.
func (m *model) step() error {
	everyone := slices.Concat(m.pools, m.former)
	o := everyone[m.rng.IntN(len(everyone))]
	switch n := m.rng.IntN(100); {
	case n < 8:
		for range 1 + m.rng.IntN(8) {
			o.waiting = append(o.waiting, m.size())
		}
	case n < 10:
		o.waiting = nil
	case n < 30:
		m.decide(o)
	case n < 60:
		if o.call == nil {
			return nil
		}
		if !o.call.done && m.chance(85) {
			m.reach(o.call)
			return nil
		}
		return m.answer(o.call, !o.call.done || m.chance(10))
	case n < 64:
		if len(m.late) > 0 {
			m.reach(m.late[m.rng.IntN(len(m.late))]) // late, and perhaps again
		}
	case n < 84:
		for range len(o.waiting) {
			if err := m.start(o); err != nil {
				return err
			}
		}
	case n < 88:
		if len(m.tasks) > 0 {
			i := m.rng.IntN(len(m.tasks))
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	case n < 92:
		m.configure(o, min(o.version+1, uint64(len(m.limits))))
	case n < 93:
		if len(m.limits) < 6 && m.chance(30) {
			m.changeLimit()
		}
	case n < 96:
		m.takeOver(o.pool)
	default:
		m.settle(o.pool)
	}
	return nil
}

// calm ends all faults and doubts, and lets all owners act until nothing changes.
func (m *model) calm(demand func(pool int) []jobs.Resources, rounds int, each func()) error {
	for pool := range m.pools {
		m.settle(pool)
	}
	for range rounds {
		for pool, o := range m.pools {
			m.configure(o, uint64(len(m.limits)))
			o.waiting = demand(pool)
			for range 3 {
				if o.call == nil {
					m.decide(o)
				}
				if o.call != nil {
					if !o.call.done {
						m.reach(o.call)
					}
					if err := m.answer(o.call, false); err != nil {
						return err
					}
				}
			}
			if m.version > 0 { // as after a hint
				o.call = &call{owner: o}
				m.reach(o.call)
				if err := m.answer(o.call, false); err != nil {
					return err
				}
			}
			for range len(o.waiting) {
				if err := m.start(o); err != nil {
					return err
				}
			}
		}
		each()
	}
	return nil
}

func (m *model) claimed(pool int) (sum jobs.Resources) {
	for _, t := range m.tasks {
		if t.pool == pool {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

func play(seed uint64, f fault, steps int) (*model, error) {
	m := newModel(seed, f)
	for i := range steps {
		if err := m.step(); err != nil {
			return m, fmt.Errorf("seed %d, step %d: %w", seed, i, err)
		}
	}
	return m, nil
}

// Guards against tasks of an organisation that run beyond its quota in any order of lost, late
// and repeated writes, successions, and changes of the quota.
func TestNoOrderOverrunsAQuota(t *testing.T) {
	starts := 0
	for seed := range uint64(*orders) {
		m, err := play(seed, noFault, 1200)
		if err != nil {
			t.Fatal(err)
		}
		starts += m.starts
	}
	if starts < 10**orders {
		t.Errorf("%d starts in %d orders, so that they show little", starts, *orders)
	}
}

// Guards against a model that finds no overrun where there is one.
func TestModelFindsFaultsOfOwners(t *testing.T) {
	for name, f := range map[string]fault{"unseen tasks": ignoresUnseen, "old token": ignoresFence, "lost write": ignoresLoss} {
		found := false
		for seed := uint64(0); seed < 3000 && !found; seed++ {
			_, err := play(seed, f, 1200)
			found = err != nil
		}
		if !found {
			t.Errorf("%s: no overrun found", name)
		}
	}
}

// Guards against a quota that stays dealt to pools that do not need it: after any trouble, one
// pool alone uses all of it, and then another one.
func TestOnePoolUsesTheWholeQuotaAfterTrouble(t *testing.T) {
	unit := jobs.Resources{Millicores: 1}
	for seed := range uint64(*orders / 5) {
		m, err := play(seed, noFault, 600)
		if err != nil {
			t.Fatal(err)
		}
		limit := m.limits[len(m.limits)-1]
		for _, busy := range []int{0, 1} {
			m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool { return t.pool != busy })
			for _, o := range m.pools {
				o.waiting = nil
			}
			if err := m.calm(func(pool int) []jobs.Resources {
				if pool != busy {
					return nil
				}
				return slices.Repeat([]jobs.Resources{unit}, 300)
			}, 8, func() {}); err != nil {
				t.Fatal(err)
			}
			if used := m.claimed(busy).Millicores; used < limit.Millicores {
				t.Fatalf("seed %d: pool %d uses %d of %d: %s", seed, busy, used, limit.Millicores, m.row)
			}
			m.tasks = nil
		}
	}
}

// Guards against a pool whose tasks wait for ever because others take the whole quota again and
// again, small tasks and ones that need more than a fair share.
func TestEveryPoolGetsItsTurn(t *testing.T) {
	for seed := range uint64(*orders / 5) {
		m, err := play(seed, noFault, 600)
		if err != nil {
			t.Fatal(err)
		}
		m.tasks = nil
		limit := m.limits[len(m.limits)-1].Millicores
		size := jobs.Resources{Millicores: []int{1, limit, limit*2/3 + 1}[seed%3]}
		served := map[int]int{}
		if err := m.calm(func(int) []jobs.Resources {
			return slices.Repeat([]jobs.Resources{size}, 50)
		}, 60, func() {
			for pool := range m.pools {
				served[pool] += m.claimed(pool).Millicores
			}
			if m.chance(70) && len(m.tasks) > 0 { // the oldest ends
				m.tasks = m.tasks[min(len(m.tasks), 1+limit/20):]
			}
		}); err != nil {
			t.Fatal(err)
		}
		for pool := range m.pools {
			if served[pool] == 0 {
				t.Fatalf("seed %d: pool %d of %d never runs a task of %d, quota %d: %s", seed, pool, len(m.pools), size.Millicores, limit, m.row)
			}
		}
	}
}
