package model

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrReports is returned for reports that are not valid.
var ErrReports = errors.New("invalid reports")

// reportWire is the JSON form of a report.
type reportWire struct {
	Scenario    string        `json:"scenario"`
	Seconds     float64       `json:"seconds"`
	Policies    []summaryWire `json:"policies"`
	Clairvoyant boundWire     `json:"clairvoyant"`
}

type boundWire struct {
	HostSeconds float64 `json:"host-seconds"`
	Moves       int     `json:"moves"`
}

type summaryWire struct {
	Policy      string  `json:"policy"`
	Seeds       int     `json:"seeds"`
	OnTime      float64 `json:"on-time"`
	Late        float64 `json:"late"`
	Lost        float64 `json:"lost"`
	Windows     float64 `json:"worst-windows"`
	Worst       float64 `json:"worst-queue"`
	Served      float64 `json:"served"`
	Hosts       float64 `json:"hosts"`
	HostSeconds float64 `json:"host-seconds"`
	Moves       float64 `json:"moves"`
	Refusals    float64 `json:"refusals"`
	Wasted      float64 `json:"wasted-core-seconds"`
	Missed      float64 `json:"missed-hosts"`
	Worth       float64 `json:"worth"`
	Deviation   float64 `json:"deviation"`
}

// EncodeReports writes reports as JSON.
func EncodeReports(out io.Writer, reports []Report) error {
	all := make([]reportWire, 0, len(reports))
	for _, r := range reports {
		w := reportWire{Scenario: r.Scenario, Seconds: r.Duration, Clairvoyant: boundWire(r.Bound)}
		for _, s := range r.Summaries {
			w.Policies = append(w.Policies, summaryWire(s))
		}
		all = append(all, w)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(all), "reports")
}

// DecodeReports reads the output of [EncodeReports].
func DecodeReports(in io.Reader) ([]Report, error) {
	var all []reportWire
	if err := json.NewDecoder(in).Decode(&all); err != nil {
		return nil, errors.Wrapf(ErrReports, "%v", err)
	}
	var reports []Report
	for _, w := range all {
		if len(w.Policies) == 0 || w.Seconds <= 0 {
			return nil, errors.Wrapf(ErrReports, "scenario %q: %d policies over %g s", w.Scenario, len(w.Policies), w.Seconds)
		}
		r := Report{Scenario: w.Scenario, Duration: w.Seconds, Bound: Bound(w.Clairvoyant)}
		for _, s := range w.Policies {
			r.Summaries = append(r.Summaries, Summary(s))
		}
		reports = append(reports, r)
	}
	return reports, nil
}
