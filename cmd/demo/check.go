package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/pkg/caller"
)

// errPromiseBroken is returned if the system broke one of its promises to callers or
// exceeded a limit.
var errPromiseBroken = errors.New("a promise was broken")

// monitor polls the pools and the timelines while the load runs. The timelines
// are not left to the end because a process that is replaced loses its own.
type monitor struct {
	admins     []netip.AddrPort
	polls      int
	mostAway   map[string]int
	budgets    map[string]int
	violations []string
	events     map[eventID]event.Event
}

// eventID identifies an event, so that each is kept once although the timelines
// are read repeatedly.
type eventID struct {
	process string
	seq     uint64
	at      time.Time
}

func newMonitor(admins []netip.AddrPort) *monitor {
	return &monitor{
		admins:   admins,
		mostAway: map[string]int{},
		budgets:  map[string]int{},
		events:   map[eventID]event.Event{},
	}
}

func (m *monitor) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		addr := m.admins[i%len(m.admins)]
		m.pollPools(ctx, addr)
		if i%poolPollsPerTimelinePoll == 0 {
			m.pollTimelines()
		}
		time.Sleep(20 * time.Millisecond)
	}
	m.pollTimelines()
}

// poolPollsPerTimelinePoll is the number of pool polls for each timeline poll.
const poolPollsPerTimelinePoll = 25

func (m *monitor) pollTimelines() {
	for _, addr := range m.admins {
		timeline, err := admin.NewClient(addr, time.Second).Timeline(context.Background(), 0)
		if err != nil {
			continue
		}
		for _, e := range timeline {
			m.events[eventID{e.Process, e.Seq, e.At}] = e
		}
	}
}

func (m *monitor) pollPools(ctx context.Context, addr netip.AddrPort) {
	pools, err := admin.NewClient(addr, time.Second).Pools(ctx)
	if err != nil {
		return
	}
	m.polls++
	for _, p := range pools {
		m.mostAway[p.Name] = max(m.mostAway[p.Name], p.Away)
		m.budgets[p.Name] = p.Budget
		if p.Away > p.Budget {
			m.violations = append(m.violations, fmt.Sprintf("pool %s has %d hosts away, its budget is %d", p.Name, p.Away, p.Budget))
		}
	}
}

// tally counts the outcomes of one service's requests.
type tally struct {
	service     string
	sent        int
	answers     int
	notRun      int
	unknown     int
	duplicated  int
	wrong       int
	falseNotRun int // reported as not-run, but an endpoint ran it
	unrecorded  int // reported as answered, but no endpoint ran it
	times       *hdrhistogram.Histogram
}

// check compares the outcomes that callers received with the endpoints' records,
// prints the table, and returns an error if a promise was broken.
func check(platform netip.AddrPort, results []result, m *monitor) error {
	records, err := fetch[[]stand.RecordWire](platform, "/records")
	if err != nil {
		return err
	}
	tallies := compare(results, records)
	violations := slices.Clone(m.violations)
	for _, t := range tallies {
		violations = append(violations, t.violations()...)
	}
	peaks, err := fetch[[]stand.PeakWire](platform, "/peaks")
	if err != nil {
		return err
	}
	for _, p := range peaks {
		if p.Busy > p.Slots || p.Conns > 64 {
			violations = append(violations, fmt.Sprintf("worker %s had %d of %d slots and %d of 64 connections in use", p.Worker, p.Busy, p.Slots, p.Conns))
		}
	}
	violations = append(violations, checkMoves(m, records)...)
	printTallies(tallies, m, peaks)
	printReasons(results)
	if len(violations) > 0 {
		return errors.Wrap(errPromiseBroken, strings.Join(violations, "; "))
	}
	fmt.Println("no promise was broken")
	return nil
}

func compare(results []result, records []stand.RecordWire) []*tally {
	runs := map[string]int{} // by request ID
	runsByKey := map[string]int{}
	for _, r := range records {
		runs[r.Request]++
		runsByKey[r.Key]++
	}
	tallies := map[string]*tally{}
	for _, r := range results {
		t, known := tallies[r.service]
		if !known {
			t = &tally{service: r.service, times: hdrhistogram.New(1, 60_000_000, 3)}
			tallies[r.service] = t
		}
		t.count(r, runs[r.id], runsByKey[r.key])
	}
	sorted := make([]*tally, 0, len(tallies))
	for _, t := range tallies {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *tally) int { return cmp.Compare(a.service, b.service) })
	return sorted
}

func (t *tally) count(r result, runs, keyRuns int) {
	t.sent++
	_ = t.times.RecordValue(r.took.Microseconds())
	if keyRuns > 1 {
		t.duplicated++
	}
	switch r.outcome {
	case caller.Answered:
		t.answers++
		if !r.correct {
			t.wrong++
		}
		if runs == 0 {
			t.unrecorded++
		}
	case caller.NotRun:
		t.notRun++
		if runs > 0 {
			t.falseNotRun++
		}
	default:
		t.unknown++
	}
}

func (t *tally) violations() []string {
	var violations []string
	add := func(count int, violation string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d %s", t.service, count, violation))
		}
	}
	add(t.duplicated, "requests ran twice")
	add(t.wrong, "answers were wrong")
	add(t.falseNotRun, "requests were reported as not-run, but ran")
	add(t.unrecorded, "requests were answered, but never ran")
	return violations
}

// checkMoves compares the records of each moved host with the timeline: after its
// move, a host may run requests of its new pool only.
func checkMoves(m *monitor, records []stand.RecordWire) []string {
	var violations []string
	for _, e := range event.Merge(slices.Collect(maps.Values(m.events))) {
		if e.Kind != event.HostMove {
			continue
		}
		from := strings.TrimPrefix(e.Cause, "moved from ")
		before, after := 0, 0
		for _, r := range records {
			if r.Worker != e.Object {
				continue
			}
			switch {
			case r.Service == from && r.End.After(e.At):
				violations = append(violations, fmt.Sprintf("host %s ran a request of %s after it had moved away", r.Worker, from))
			case r.Service == from:
				before++
			default:
				after++
			}
		}
		fmt.Printf("host %s moved from %s: %d requests before, %d for its new pool after\n", e.Object, from, before, after)
	}
	return violations
}

func printTallies(tallies []*tally, m *monitor, peaks []stand.PeakWire) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tsent\tanswered\tnot-run\tunknown\tdouble\twrong\tp50 ms\tp99 ms\taway/budget\t")
	for _, t := range tallies {
		away := fmt.Sprintf("%d/%d", m.mostAway[t.service], m.budgets[t.service])
		cells := []string{t.service, strconv.Itoa(t.sent), strconv.Itoa(t.answers), strconv.Itoa(t.notRun), strconv.Itoa(t.unknown)}
		cells = append(cells, strconv.Itoa(t.duplicated), strconv.Itoa(t.wrong+t.falseNotRun+t.unrecorded), millis(t.times, 50), millis(t.times, 99), away)
		fmt.Fprintln(w, strings.Join(cells, "\t")+"\t")
	}
	_ = w.Flush()
	busy, conns := 0, 0
	for _, p := range peaks {
		busy = max(busy, p.Busy)
		conns = max(conns, p.Conns)
	}
	fmt.Printf("most in use on one worker: %d of 8 slots, %d of 64 connections; budgets looked at %d times\n", busy, conns, m.polls)
}

func printReasons(results []result) {
	reasons := map[string]int{}
	for _, r := range results {
		if r.outcome != caller.Answered {
			reasons[string(r.outcome)+" "+string(r.reason)]++
		}
	}
	for reason, count := range reasons {
		fmt.Printf("%s: %d\n", reason, count)
	}
}

func millis(times *hdrhistogram.Histogram, quantile float64) string {
	return fmt.Sprintf("%.1f", float64(times.ValueAtQuantile(quantile))/1000)
}

func fetch[T any](addr netip.AddrPort, path string) (T, error) {
	var value T
	response, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return value, errors.Wrap(err, path)
	}
	defer response.Body.Close()
	return value, errors.Wrap(json.NewDecoder(response.Body).Decode(&value), path)
}
