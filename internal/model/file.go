package model

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/papayarudder/papayarudder/internal/conf"
)

// Key describes one key of a scenario file.
type Key struct {
	Section string // "pool NAME" is given as "pool"
	Name    string
	Default string // empty: the key is required
	Allowed string
	Help    string
}

// reader reads one section and collects its faults.
type reader struct {
	section *ini.Section
	kind    string
	used    map[string]bool
	faults  *[]conf.Fault
	keys    *[]Key
}

func newReader(section *ini.Section, kind string, faults *[]conf.Fault, keys *[]Key) *reader {
	return &reader{section, kind, map[string]bool{}, faults, keys}
}

// value returns the text of a key, or its default, and records the key as known.
func (r *reader) value(k Key) string {
	k.Section = r.kind
	r.used[k.Name] = true
	if r.keys != nil {
		*r.keys = append(*r.keys, k)
	}
	if text := strings.TrimSpace(r.section.Key(k.Name).String()); text != "" {
		return text
	}
	return k.Default
}

func (r *reader) fault(k Key, value string) {
	*r.faults = append(*r.faults, conf.Fault{Section: r.section.Name(), Key: k.Name, Value: value, Allowed: k.Allowed})
}

// bounded reads a value between low and high, both included.
func bounded[T cmp.Ordered](r *reader, k Key, low, high T, parse func(string) (T, error)) T {
	k.Allowed = fmt.Sprintf("%v to %v", low, high)
	text := r.value(k)
	value, err := parse(text)
	if err != nil || !(value >= low && value <= high) { // also rejects NaN
		r.fault(k, text)
	}
	return value
}

func (r *reader) duration(name, defaultValue, help string, low, high time.Duration) time.Duration {
	return bounded(r, Key{Name: name, Default: defaultValue, Help: help}, low, high, time.ParseDuration)
}

func (r *reader) number(name, defaultValue, help string, low, high float64) float64 {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return bounded(r, Key{Name: name, Default: defaultValue, Help: help}, low, high, parse)
}

func (r *reader) readInt(name, defaultValue, help string, low, high int) int {
	return bounded(r, Key{Name: name, Default: defaultValue, Help: help}, low, high, strconv.Atoi)
}

func (r *reader) readBool(name, help string) bool {
	k := Key{Name: name, Default: "false", Allowed: "true or false", Help: help}
	text := r.value(k)
	b, err := strconv.ParseBool(text)
	if err != nil {
		r.fault(k, text)
	}
	return b
}

func (r *reader) choice(name, defaultValue, help string, choices ...string) string {
	k := Key{Name: name, Default: defaultValue, Allowed: strings.Join(choices, ", "), Help: help}
	text := r.value(k)
	if !slices.Contains(choices, text) {
		r.fault(k, text)
	}
	return text
}

// reportUnknown reports the keys of the section that no reader has asked for.
func (r *reader) reportUnknown() {
	for _, k := range r.section.Keys() {
		if !r.used[k.Name()] {
			r.fault(Key{Name: k.Name(), Allowed: "no such key; known are " + strings.Join(sorted(r.used), ", ")}, k.Value())
		}
	}
}

func sorted(set map[string]bool) []string {
	var all []string
	for name := range set {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Load reads and checks a scenario file and returns all its faults. A scenario with
// faults must not be run.
func Load(path string) (Scenario, []conf.Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return Scenario{}, []conf.Fault{{Section: "file", Key: path, Allowed: "an INI file that can be read: " + err.Error()}}
	}
	s, faults := read(file, nil)
	s.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return s, faults
}

// Parse reads and checks a scenario.
func Parse(data []byte) (Scenario, []conf.Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return Scenario{}, []conf.Fault{{Section: "file", Allowed: "INI: " + err.Error()}}
	}
	return read(file, nil)
}

// Keys returns all keys of a scenario file.
func Keys() []Key {
	var keys []Key
	file := ini.Empty()
	for _, kind := range []string{"fleet", "prices", "goal", "pool x", "queue x", "fault x", "policy x"} {
		if _, err := file.NewSection(kind); err != nil {
			panic(err) // the names above are valid
		}
	}
	read(file, &keys)
	return keys
}

func read(file *ini.File, keys *[]Key) (Scenario, []conf.Fault) {
	var s Scenario
	var faults []conf.Fault
	s.Policies = []Policy{NewPolicy(DefaultPolicyName)}
	fixed := map[string]func(*reader){"fleet": s.readFleet, "prices": s.readPrices, "goal": s.readGoal}
	for _, kind := range []string{"fleet", "prices", "goal"} {
		r := newReader(file.Section(kind), kind, &faults, keys)
		fixed[kind](r)
		r.reportUnknown()
	}
	named := map[string]func(*reader, string){"pool": s.readPool, "queue": s.readQueue, "fault": s.readFault, "policy": s.readPolicy}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 || fixed[section.Name()] != nil {
			continue
		}
		kind, name, _ := strings.Cut(section.Name(), " ")
		if named[kind] == nil || name == "" {
			faults = append(faults, conf.Fault{Section: section.Name(), Allowed: "fleet, prices, goal, pool NAME, queue NAME, fault NAME or policy NAME"})
			continue
		}
		r := newReader(section, kind, &faults, keys)
		named[kind](r, name)
		r.reportUnknown()
	}
	return s, append(faults, s.checkConsistency()...)
}

func (s *Scenario) readFleet(r *reader) {
	s.Fleet = Fleet{
		Length:      r.duration("length", "34s", "of the load", time.Second, time.Hour),
		Lead:        r.duration("lead", "8s", "from the start of the system to the first job", 0, time.Hour),
		Finish:      r.duration("finish", "14s", "after the load, for what is left", 0, time.Hour),
		RackSize:    r.readInt("rack-size", "4", "hosts of a rack", 1, 1000),
		Millicores:  r.readInt("host-millicores", "32000", "processors of a host", 1, 1_000_000),
		MemoryMB:    r.readInt("host-memory-mb", "131072", "memory of a host", 1, 1<<30),
		Hop:         r.duration("hop", "1.4ms", "one way between two machines", 0, time.Second),
		Commit:      r.duration("commit", "14ms", "a transaction of the store, with its way there and back", 0, 10*time.Second),
		Move:        r.duration("move", "1500ms", "a host's change of pool", 0, time.Minute),
		Maintenance: r.duration("maintenance", "2s", "of a host", 0, time.Minute),
		Unanswered:  r.number("unanswered", "0", "share of starts without an answer", 0, 1),
	}
}

func (s *Scenario) readPrices(r *reader) {
	s.Prices = Prices{
		HostSecond: r.number("host-second", "0.078", "of a host in a pool, in units of worth", 0, 1e6),
		Move:       r.number("move", "0.089", "of a move, in units of worth", 0, 1e6),
	}
}

func (s *Scenario) readGoal(r *reader) {
	s.Goal = Goal{
		Day:     r.number("day", "0.35", "weight of the whole day", 0, 1),
		Windows: r.number("windows", "0.5", "weight of the two worst windows", 0, 1),
		Class:   r.number("class", "0.15", "weight of the queue that is served worst", 0, 1),
	}
}

func (s *Scenario) readPool(r *reader, name string) {
	s.Pools = append(s.Pools, Pool{
		Name:    name,
		Hosts:   r.readInt("hosts", "0", "that it has at first", 0, 100_000),
		Standby: r.readBool("standby", "its hosts are off and cost nothing"),
	})
}

func (s *Scenario) readQueue(r *reader, name string) {
	s.Queues = append(s.Queues, Queue{
		Name:           name,
		Pool:           r.value(Key{Name: "pool", Allowed: "the name of a pool", Help: "whose workers run its jobs"}),
		Rate:           r.number("rate", "0", "jobs a second in the mean", 0, 1e6),
		Turn:           r.readInt("turn", "0", "which of the turns is its own, from 0 on", 0, 1000),
		Turns:          r.readInt("turns", "0", "number of turns, 0 for a steady rate", 0, 1000),
		Span:           r.duration("turn-length", "5s", "of one turn", time.Millisecond, time.Hour),
		Peak:           r.number("peak", "4", "times the mean rate in its turn", 0, 1000),
		Rest:           r.number("rest", "0.05", "times the mean rate otherwise", 0, 1000),
		Steps:          r.number("steps", "1", "mean number of a job", 1, 64),
		Tasks:          r.number("tasks", "1", "mean number of a step", 1, 4096),
		Millicores:     r.number("millicores", "1000", "mean of a task", 1, 1e6),
		MemoryMB:       r.number("memory-mb", "100", "mean of a task", 0, 1<<24),
		RunTime:        r.duration("run-time", "1s", "mean of a task", time.Millisecond, time.Hour),
		Spread:         r.number("spread", "0.5", "standard deviation of the logarithms", 0, 3),
		Error:          r.number("estimate-error", "0.2", "the same of the declared run time", 0, 3),
		Checkpoint:     r.number("checkpoints", "0", "share of jobs that save their progress", 0, 1),
		Cancelled:      r.number("cancelled", "0", "share of jobs that are cancelled", 0, 1),
		Lasting:        r.readInt("lasting-jobs", "0", "jobs that last, 0 for batch jobs", 0, 1000),
		MaxUnavailable: r.readInt("max-unavailable", "1", "tasks of a lasting job that may be away", 0, 1000),
		MaxPerWorker:   r.readInt("per-worker", "2", "tasks of a lasting job on one worker", 1, 1000),
		Advice:         r.readBool("advice", "tasks need tickets of the advice service"),
		Priority:       r.readInt("priority", "0", "0 comes first", 0, 100),
		MaxAttempts:    r.readInt("max-attempts", "3", "of a task", 1, 100),
		Slack:          r.number("slack", "1.6", "objective in longest chains of work", 1, 100),
		Target:         r.duration("target", "600ms", "and this much more", 0, time.Hour),
		Worth:          r.number("worth", "1", "of a job of mean size on time", 0, 1e6),
		LateWorth:      r.number("late-worth", "0.07", "of one that is late", 0, 1e6),
	})
}

func (s *Scenario) readFault(r *reader, name string) {
	s.Faults = append(s.Faults, Fault{
		Name: name,
		Kind: FaultKind(r.choice("kind", "", "what happens", string(RackLost), string(Sick), string(Hang), string(Slow),
			string(Burst), string(Cancel), string(Poison), string(Wave), string(StoreDown), string(HandOver), string(RouteDropped))),
		At:     r.duration("at", "0s", "after the first job", 0, time.Hour),
		For:    r.duration("for", "5s", "how long", 0, time.Hour),
		Pool:   r.value(Key{Name: "pool", Allowed: "the name of a pool", Help: "where; empty for any"}),
		Queue:  r.value(Key{Name: "queue", Allowed: "the name of a queue", Help: "which jobs; empty for all"}),
		Share:  r.number("share", "0.1", "of what it concerns", 0, 1),
		Count:  r.readInt("count", "1", "of workers, hosts of a wave at once, or hand-overs", 1, 100_000),
		Factor: r.number("factor", "2", "of a burst, or of slow workers", 0, 1000),
	})
}

func (s *Scenario) readPolicy(r *reader, name string) {
	p := NewPolicy(name)
	p.Static = r.readBool("static", "hosts stay in their pools")
	p.LookAhead = r.readBool("look-ahead", "large tasks reserve workers")
	text := func(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }
	m := &p.Moves
	m.PresentShare = r.number("present-share", text(m.PresentShare), "of what runs and waits a pool is sized for", 0, 10)
	m.Margin = r.number("margin", text(m.Margin), "on what jobs need to make their objectives", 0, 10)
	m.RateShare = r.number("rate-share", text(m.RateShare), "of the work that arrives", 0, 10)
	m.Fill = r.number("fill", text(m.Fill), "share of a host that tasks fill", 0.1, 1)
	m.Floor = r.readInt("floor", strconv.Itoa(m.Floor), "hosts that a pool keeps", 0, 1000)
	m.Ready = r.readInt("ready", strconv.Itoa(m.Ready), "hosts beyond what is needed", 0, 1000)
	m.ReadyShare = r.number("ready-share", text(m.ReadyShare), "the same as a share of the fleet's hosts for each pool", 0, 1)
	m.Spare = r.readInt("spare", strconv.Itoa(m.Spare), "hosts more than needed before any is given away", 0, 1000)
	m.IdleTime = r.duration("idle-time", m.IdleTime.String(), "without work before a host is given away", 0, time.Hour)
	m.Settle = r.duration("settle", m.Settle.String(), "a host stays for so long at least", 0, time.Hour)
	m.Quiet = r.duration("quiet", m.Quiet.String(), "after a pool lacked hosts none is parked", 0, time.Hour)
	b := &p.Place
	b.StallTime = r.duration("stall-time", b.StallTime.String(), "a task that stands still is moved", time.Millisecond, time.Hour)
	b.QuarantineFailures = r.readInt("sick-after", strconv.Itoa(b.QuarantineFailures), "failures in a row", 1, 1000)
	b.QuarantineTime = r.duration("sick-time", b.QuarantineTime.String(), "a sick worker is set aside for so long", 0, time.Hour)
	b.ReserveShare = r.number("reserve-share", text(b.ReserveShare), "of a worker, above which a task may reserve one", 0, 1)
	if name == DefaultPolicyName {
		s.Policies[0] = p
		return
	}
	s.Policies = append(s.Policies, p)
}

// checkConsistency checks rules that involve more than one section or key.
func (s *Scenario) checkConsistency() []conf.Fault {
	var faults []conf.Fault
	pools, queues := map[string]bool{}, map[string]bool{}
	for _, p := range s.Pools {
		pools[p.Name] = true
	}
	for _, q := range s.Queues {
		queues[q.Name] = true
		if !pools[q.Pool] {
			faults = append(faults, conf.Fault{Section: "queue " + q.Name, Key: "pool", Value: q.Pool, Allowed: "the name of a pool"})
		}
		if q.Turns > 0 && q.Turn >= q.Turns {
			faults = append(faults, conf.Fault{Section: "queue " + q.Name, Key: "turn", Value: strconv.Itoa(q.Turn), Allowed: "below turns"})
		}
	}
	for _, f := range s.Faults {
		if f.Pool != "" && !pools[f.Pool] {
			faults = append(faults, conf.Fault{Section: "fault " + f.Name, Key: "pool", Value: f.Pool, Allowed: "the name of a pool"})
		}
		if f.Queue != "" && !queues[f.Queue] {
			faults = append(faults, conf.Fault{Section: "fault " + f.Name, Key: "queue", Value: f.Queue, Allowed: "the name of a queue"})
		}
	}
	if len(s.Pools) == 0 {
		faults = append(faults, conf.Fault{Section: "pool", Allowed: "at least one"})
	}
	if sum := s.Goal.Day + s.Goal.Windows + s.Goal.Class; sum < 0.999 || sum > 1.001 {
		faults = append(faults, conf.Fault{Section: "goal", Key: "day, windows, class", Value: fmt.Sprintf("%.3g in all", sum), Allowed: "1 in all"})
	}
	slices.SortStableFunc(s.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return faults
}
