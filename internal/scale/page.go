package scale

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNoMarker is returned when a page lacks the begin or end marker of a table.
var ErrNoMarker = errors.New("marker not found in the page")

// Replace replaces the text between a table's markers in a page.
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

// SlopeTable returns the measured slopes as a Markdown table.
func SlopeTable(slopes []Slope, lines Lines) string {
	var b strings.Builder
	b.WriteString("| slope | sizes | measured | unit | fit | error |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		l := lines[s.Name]
		var points []string
		for _, p := range l.Points {
			points = append(points, formatFigure(p))
		}
		sizes := strings.Trim(strings.ReplaceAll(fmt.Sprint(s.Sizes), " ", " / "), "[]")
		fit := fmt.Sprintf("%s + %s a %s", formatFigure(l.Base), formatFigure(l.PerUnit), strings.TrimSuffix(firstWord(s.Per), "s"))
		fmt.Fprintf(&b, "| %s | %s %s | %s | %s | %s | %.0f%% |\n", s.Name, sizes, s.Per, strings.Join(points, " / "), s.Unit, fit, l.Error*100)
	}
	return b.String()
}

func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}

// RoleTable returns rows as a Markdown table.
func RoleTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | memory MB | wire KB/s | core % | reads/s, all | writes/s, all | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		what := r.What
		if r.Estimate {
			what += " (estimate)"
		}
		cells := []string{r.Role, what, formatCell(r.Memory / 1e6), formatCell(r.Wire / 1e3), formatCell(r.CPU * 100), formatCell(r.Reads), formatCell(r.Writes), r.Mechanism}
		fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | "))
	}
	return b.String()
}

// LimitTable returns a Markdown table that compares the total with the limits.
func LimitTable(total Row) string {
	var b strings.Builder
	b.WriteString("| limit | needed | allowed | used | verdict |\n| --- | --- | --- | --- | --- |\n")
	for _, l := range limits(total) {
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f%% | %s |\n", l.name, formatFigure(l.needed), formatFigure(l.allowed), 100*l.needed/l.allowed, l.verdict())
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
		{"processor time of a daemon for control, % of a core", total.CPU * 100, LimitCPUCores * 100},
		{"memory of a daemon, MB", total.Memory / 1e6, LimitMemoryBytes / 1e6},
		{"wire of a daemon for control, KB/s", total.Wire / 1e3, LimitWireBytesPerSecond / 1e3},
		{"table service reads, a second", total.Reads, LimitReadsPerSecond},
		{"table service writes, a second", total.Writes, LimitWritesPerSecond},
	}
}

// ExceededLimits describes the limits that the total exceeds.
func ExceededLimits(total Row) []string {
	var over []string
	for _, l := range limits(total) {
		if l.needed > l.allowed {
			over = append(over, fmt.Sprintf("%s: %s of %s", l.name, formatFigure(l.needed), formatFigure(l.allowed)))
		}
	}
	return over
}

// MomentTable returns the peak loads as a Markdown table.
func MomentTable(moments []Moment) string {
	var b strings.Builder
	b.WriteString("| worst moment | value | unit | limit | verdict | how |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, m := range moments {
		allowed, verdict := "", ""
		if m.Limit > 0 {
			allowed = formatFigure(m.Limit)
			verdict = limit{needed: m.Value, allowed: m.Limit}.verdict()
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", m.What, formatFigure(m.Value), m.Unit, allowed, verdict, m.Derivation)
	}
	return b.String()
}

func formatCell(value float64) string {
	if value == 0 {
		return ""
	}
	return formatFigure(value)
}

// formatFigure formats a value from 1 on without an exponent: one from 100 on as an
// integer, others with three significant digits.
func formatFigure(value float64) string {
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
