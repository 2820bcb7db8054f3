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

// errBroken is returned when a promise was broken.
var errBroken = errors.New("a promise was broken")

// watch looks at the pools and the time lines all the time, for a process that is
// replaced takes its time line along.
type watch struct {
	admins   []netip.AddrPort
	looks    int
	mostAway map[string]int
	budgets  map[string]int
	broken   []string
	events   map[eventID]event.Event
}

// eventID tells events apart that are read more than once.
type eventID struct {
	process string
	seq     uint64
	at      time.Time
}

func newWatch(admins []netip.AddrPort) *watch {
	return &watch{
		admins:   admins,
		mostAway: map[string]int{},
		budgets:  map[string]int{},
		events:   map[eventID]event.Event{},
	}
}

func (w *watch) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		addr := w.admins[i%len(w.admins)]
		w.look(ctx, addr)
		if i%lookEvents == 0 {
			w.lookAtEvents()
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.lookAtEvents()
}

// lookEvents is how many looks at pools come for one at the time lines.
const lookEvents = 25

func (w *watch) lookAtEvents() {
	for _, addr := range w.admins {
		part, err := admin.NewClient(addr, time.Second).Timeline(context.Background(), 0)
		if err != nil {
			continue
		}
		for _, e := range part {
			w.events[eventID{e.Process, e.Seq, e.At}] = e
		}
	}
}

func (w *watch) look(ctx context.Context, addr netip.AddrPort) {
	pools, err := admin.NewClient(addr, time.Second).Pools(ctx)
	if err != nil {
		return
	}
	w.looks++
	for _, p := range pools {
		w.mostAway[p.Name] = max(w.mostAway[p.Name], p.Away)
		w.budgets[p.Name] = p.Budget
		if p.Away > p.Budget {
			w.broken = append(w.broken, fmt.Sprintf("pool %s has %d hosts away, its budget is %d", p.Name, p.Away, p.Budget))
		}
	}
}

// tally is what came of one service's requests.
type tally struct {
	service string
	sent    int
	answers int
	notRun  int
	unknown int
	double  int
	wrong   int
	falsely int // told not-run, yet the endpoint ran it
	missing int // told answered, yet no endpoint ran it
	times   *hdrhistogram.Histogram
}

// check compares what callers were told with the endpoints' records, prints the
// table, and returns an error if a promise was broken.
func check(platform netip.AddrPort, results []result, watch *watch) error {
	records, err := fetch[[]stand.RecordWire](platform, "/records")
	if err != nil {
		return err
	}
	tallies := compare(results, records)
	broken := slices.Clone(watch.broken)
	for _, t := range tallies {
		broken = append(broken, t.broken()...)
	}
	peaks, err := fetch[[]stand.PeakWire](platform, "/peaks")
	if err != nil {
		return err
	}
	for _, p := range peaks {
		if p.Busy > p.Slots || p.Conns > 64 {
			broken = append(broken, fmt.Sprintf("worker %s had %d of %d slots and %d of 64 connections in use", p.Worker, p.Busy, p.Slots, p.Conns))
		}
	}
	broken = append(broken, checkMoves(watch, records)...)
	printTallies(tallies, watch, peaks)
	printReasons(results)
	if len(broken) > 0 {
		return errors.Wrap(errBroken, strings.Join(broken, "; "))
	}
	fmt.Println("no promise was broken")
	return nil
}

func compare(results []result, records []stand.RecordWire) []*tally {
	runs := map[string]int{} // by request
	byKey := map[string]int{}
	for _, r := range records {
		runs[r.Request]++
		byKey[r.Key]++
	}
	tallies := map[string]*tally{}
	for _, r := range results {
		t, known := tallies[r.service]
		if !known {
			t = &tally{service: r.service, times: hdrhistogram.New(1, 60_000_000, 3)}
			tallies[r.service] = t
		}
		t.count(r, runs[r.id], byKey[r.key])
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
		t.double++
	}
	switch r.outcome {
	case caller.Answered:
		t.answers++
		if !r.right {
			t.wrong++
		}
		if runs == 0 {
			t.missing++
		}
	case caller.NotRun:
		t.notRun++
		if runs > 0 {
			t.falsely++
		}
	default:
		t.unknown++
	}
}

func (t *tally) broken() []string {
	var broken []string
	note := func(count int, what string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d %s", t.service, count, what))
		}
	}
	note(t.double, "requests ran twice")
	note(t.wrong, "answers were wrong")
	note(t.falsely, "requests were called not-run and ran")
	note(t.missing, "requests were answered and never ran")
	return broken
}

// checkMoves compares the records of each moved host with the time line: after
// its move it may work for its new pool only.
func checkMoves(watch *watch, records []stand.RecordWire) []string {
	var broken []string
	for _, e := range event.Merge(slices.Collect(maps.Values(watch.events))) {
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
				broken = append(broken, fmt.Sprintf("host %s worked for %s after it had moved away", r.Worker, from))
			case r.Service == from:
				before++
			default:
				after++
			}
		}
		fmt.Printf("host %s moved from %s: %d requests before, %d for its new pool after\n", e.Object, from, before, after)
	}
	return broken
}

func printTallies(tallies []*tally, watch *watch, peaks []stand.PeakWire) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tsent\tanswered\tnot-run\tunknown\tdouble\twrong\tp50 ms\tp99 ms\taway/budget\t")
	for _, t := range tallies {
		away := fmt.Sprintf("%d/%d", watch.mostAway[t.service], watch.budgets[t.service])
		cells := []string{t.service, strconv.Itoa(t.sent), strconv.Itoa(t.answers), strconv.Itoa(t.notRun), strconv.Itoa(t.unknown)}
		cells = append(cells, strconv.Itoa(t.double), strconv.Itoa(t.wrong+t.falsely+t.missing), millis(t.times, 50), millis(t.times, 99), away)
		fmt.Fprintln(w, strings.Join(cells, "\t")+"\t")
	}
	_ = w.Flush()
	busy, conns := 0, 0
	for _, p := range peaks {
		busy = max(busy, p.Busy)
		conns = max(conns, p.Conns)
	}
	fmt.Printf("most in use on one worker: %d of 8 slots, %d of 64 connections; budgets looked at %d times\n", busy, conns, watch.looks)
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
