package scale

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNoMarker is returned for a page without a table's marks.
var ErrNoMarker = errors.New("the page has no such marks")

// Replace puts text between the marks of a table of a page.
func Replace(page, table, text string) (string, error) {
	begin := fmt.Sprintf("<!-- begin %s -->\n", table)
	end := fmt.Sprintf("<!-- end %s -->", table)
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", errors.Wrap(ErrNoMarker, begin)
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", errors.Wrap(ErrNoMarker, end)
	}
	return before + begin + text + end + after, nil
}

// SlopeTable renders the measured slopes in Markdown.
func SlopeTable(slopes []Slope, lines Lines) string {
	var b strings.Builder
	b.WriteString("| slope | sizes | measured | unit | fit | error |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		l := lines[s.Name]
		var points []string
		for _, p := range l.Points {
			points = append(points, figure(p))
		}
		sizes := strings.Trim(strings.ReplaceAll(fmt.Sprint(s.Sizes), " ", " / "), "[]")
		fit := fmt.Sprintf("%s + %s a %s", figure(l.Base), figure(l.Each), strings.TrimSuffix(firstWord(s.Per), "s"))
		fmt.Fprintf(&b, "| %s | %s %s | %s | %s | %s | %.0f%% |\n", s.Name, sizes, s.Per, strings.Join(points, " / "), s.Unit, fit, l.Error*100)
	}
	return b.String()
}

func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}

// RoleTable renders the rows and their total in Markdown.
func RoleTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | memory MB | wire KB/s | core % | reads/s, all | writes/s, all | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		what := r.What
		if r.Estimate {
			what += " (estimate)"
		}
		cells := []string{r.Role, what, cell(r.Memory / 1e6), cell(r.Wire / 1e3), cell(r.CPU * 100), cell(r.Reads), cell(r.Writes), r.Mechanism}
		fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | "))
	}
	return b.String()
}

// LimitTable compares the total with the limits.
func LimitTable(total Row) string {
	var b strings.Builder
	b.WriteString("| limit | needed | allowed | used | verdict |\n| --- | --- | --- | --- | --- |\n")
	for _, l := range limits(total) {
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f%% | %s |\n", l.name, figure(l.needed), figure(l.allowed), 100*l.needed/l.allowed, l.verdict())
	}
	return b.String()
}

type limit struct {
	name    string
	needed  float64
	allowed float64
}

func (l limit) verdict() string {
	if l.needed > l.allowed {
		return "**over**"
	}
	return "within"
}

func limits(total Row) []limit {
	return []limit{
		{"processor time of a daemon for control, % of a core", total.CPU * 100, LimitCPU * 100},
		{"memory of a daemon, MB", total.Memory / 1e6, LimitMemory / 1e6},
		{"wire of a daemon for control, KB/s", total.Wire / 1e3, LimitWire / 1e3},
		{"table service reads, a second", total.Reads, LimitReads},
		{"table service writes, a second", total.Writes, LimitWrites},
	}
}

// ExceededLimits returns the limits that the total is over.
func ExceededLimits(total Row) []string {
	var over []string
	for _, l := range limits(total) {
		if l.needed > l.allowed {
			over = append(over, fmt.Sprintf("%s: %s of %s", l.name, figure(l.needed), figure(l.allowed)))
		}
	}
	return over
}

// MomentTable renders the worst moments in Markdown.
func MomentTable(moments []Moment) string {
	var b strings.Builder
	b.WriteString("| worst moment | value | unit | limit | verdict | how |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, m := range moments {
		allowed, verdict := "", ""
		if m.Limit > 0 {
			allowed = figure(m.Limit)
			verdict = limit{needed: m.Value, allowed: m.Limit}.verdict()
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", m.What, figure(m.Value), m.Unit, allowed, verdict, m.How)
	}
	return b.String()
}

func cell(value float64) string {
	if value == 0 {
		return ""
	}
	return figure(value)
}

// figure prints three significant digits without an exponent.
func figure(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 100 || value <= -100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10 || value <= -10:
		return fmt.Sprintf("%.1f", value)
	case value >= 1 || value <= -1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
