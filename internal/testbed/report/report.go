// Package report presents the outcome of a testbed run as text, JSON or plot, and compares two reports. New creates a Report,
// which is a plain value. Its JSON keys are a stored format.
package report

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// Report is the report of a run. Latencies are in ms, from the scheduled time of a request. Service is the earned share of the
// revenue that the requests offered.
type Report struct {
	Scenario          string             `json:"scenario"`
	Seed              uint64             `json:"seed"`
	Policy            string             `json:"policy"`
	Nodes             int                `json:"nodes"`
	Servers           int                `json:"boxes"`
	Offered           int                `json:"offered"`
	Service           float64            `json:"service"`
	AnsweredInTarget  int                `json:"answered_in_target"`
	Handled           int                `json:"handled"`
	Rejected          int                `json:"denied"`
	Failed            int                `json:"written_off"`
	Unanswered        int                `json:"unanswered"`
	Unreached         int                `json:"unreached"` // clients reached no node
	DisconnectedEarly int                `json:"left_early,omitempty"`
	Tries             int                `json:"tries"`
	Rules             []audit.Rule       `json:"rules"`
	Latency           map[string]Latency `json:"latency_ms"`
	ByTenant          map[string]Part    `json:"by_tenant,omitempty"`
	BySite            map[string]Part    `json:"by_site"`
	Generator         Generator          `json:"generator"`
	Discovery         Discovery          `json:"discovery"`
	NodeUsage         Usage              `json:"nodes_use"`
	PlannerUsage      Usage              `json:"planners_use"`
	PlanBytes         int                `json:"plan_bytes"` // sent by planners to nodes
	Journal           *testbed.Journal   `json:"journal,omitempty"`
	Seconds           []audit.Second     `json:"seconds,omitempty"`
	BadClients        int                `json:"bad_clients"`
	Series            []Point            `json:"series"`
	Faults            []Fault            `json:"faults"`
	Baselines         []Report           `json:"baselines"`
}

// Latency holds quantiles in ms of a traffic type and its share of revenue.
type Latency struct {
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
	Service float64 `json:"service"`
}

// Part is the share of revenue and the latency in ms of a tenant or site.
type Part struct {
	Service float64 `json:"service"`
	P99     float64 `json:"p99"`
}

// Generator is how late the load generator sent requests.
type Generator struct {
	LateMaxMS float64 `json:"late_max_ms"`
	LateShare float64 `json:"late_share"`
	IsBehind  bool    `json:"behind"`
	WorstBin  float64 `json:"worst_bin"` // largest relative error against the schedule in 100 ms
}

// Discovery is the load of all nodes on discovery. Lines is the cost of calls that were not rejected.
type Discovery struct {
	Calls         int     `json:"calls"`
	Lines         float64 `json:"lines"`
	RejectedCalls int     `json:"turned_away"`
}

// Usage is the CPU time of a group of processes together and the memory of its largest process.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	RSSMaxMB   float64 `json:"rss_max_mb"`
}

// Point is a bin of the run, by scheduled time.
type Point struct {
	AtS      float64 `json:"at_s"`
	Service  float64 `json:"service"`
	Rejected int     `json:"denied"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
}

// Fault is the kind of a fault and when it began and ended, since the start of the run.
type Fault struct {
	Kind  string  `json:"kind"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// New returns the report of a run.
func New(s *scenario.Scenario, policy string, requests []load.Request, o *testbed.Outcome) Report {
	r := Report{
		Scenario:          s.Name,
		Seed:              s.Seed,
		Policy:            policy,
		Nodes:             s.Nodes.Count,
		Servers:           len(s.ServerNames()),
		Offered:           len(requests),
		Service:           round(o.ServiceShare()),
		AnsweredInTarget:  o.Outcomes[load.WithinObjective],
		Handled:           o.Outcomes[load.Handled],
		Rejected:          o.Outcomes[load.Rejected],
		Failed:            o.Outcomes[load.Failed],
		Unanswered:        o.Outcomes[load.NoAnswer],
		Unreached:         o.Outcomes[load.Unreached],
		DisconnectedEarly: o.Outcomes[load.DisconnectedEarly],
		Tries:             o.Tries,
		Rules:             o.Rules,
		Latency:           map[string]Latency{},
		ByTenant:          map[string]Part{},
		BySite:            map[string]Part{},
		Generator:         Generator{millis(o.Lateness.Max), round(o.Lateness.LateShare), o.Lateness.IsBehind, round(o.Lateness.MaxBinError)},
		Discovery:         Discovery{o.DiscoveryCalls, math.Round(o.DiscoveryLines), o.RejectedCalls},
		NodeUsage:         Usage{round(o.NodeUsage.CPU.Seconds()), math.Round(o.NodeUsage.RSSMB)},
		PlannerUsage:      Usage{round(o.PlannerUsage.CPU.Seconds()), math.Round(o.PlannerUsage.RSSMB)},
		PlanBytes:         o.PlanBytes,
		BadClients:        o.BadClients,
		Faults:            []Fault{},
		Baselines:         []Report{},
	}
	for _, t := range o.ByType {
		r.Latency[t.Name] = Latency{quantile(t.Latency, 50), quantile(t.Latency, 99), quantile(t.Latency, 99.9),
			float64(t.Latency.Max()) / 1000, ratio(t.EarnedRevenue, t.OfferedRevenue)}
	}
	for target, parts := range map[*map[string]Part][]load.Share{&r.ByTenant: o.ByTenant, &r.BySite: o.BySite} {
		for _, p := range parts {
			(*target)[p.Name] = Part{ratio(p.EarnedRevenue, p.OfferedRevenue), quantile(p.Latency, 99)}
		}
	}
	for i, p := range o.Series {
		r.Series = append(r.Series, Point{(time.Duration(i) * load.BinWidth).Seconds(), ratio(p.EarnedRevenue, p.OfferedRevenue), p.Rejected, p.Failed,
			quantile(p.Latency, 50), quantile(p.Latency, 99)})
	}
	for _, f := range s.Faults {
		r.Faults = append(r.Faults, Fault{f.Kind, f.At.Std().Seconds(), f.End().Seconds()})
	}
	if s.Journal.Durability != "" {
		r.Journal = &o.Journal
	}
	r.Seconds = o.Seconds
	return r
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns a percentile in ms.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// round rounds to 4 decimals.
func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// ratio returns a/b, 1 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return round(a / b)
}

// Broken returns the number of rules that were violated.
func (r *Report) Broken() (n int) {
	for _, rule := range r.Rules {
		if rule.Violations > 0 {
			n++
		}
	}
	return n
}

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// Load reads a report that Save wrote.
func Load(path string) (r Report, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode report %s: %w", path, err)
	}
	if r.Scenario == "" {
		return r, fmt.Errorf("decode report %s: key scenario is missing", path)
	}
	return r, nil
}
