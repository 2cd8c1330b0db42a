// Package report says what a run of the testbed has shown: as a table for people, as JSON for programs, as a plot.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// Report is one run. Latencies are in ms, from the scheduled moment.
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
	WrittenOff        int                `json:"written_off"`
	Unanswered        int                `json:"unanswered"`
	Unreached         int                `json:"unreached"` // no node to send to
	DisconnectedEarly int                `json:"left_early,omitempty"`
	Tries             int                `json:"tries"`
	Rules             []audit.Rule       `json:"rules"`
	Latency           map[string]Latency `json:"latency_ms"`
	ByTenant          map[string]Part    `json:"by_tenant,omitempty"`
	BySite            map[string]Part    `json:"by_site"`
	Generator         Generator          `json:"generator"`
	Discovery         Discovery          `json:"discovery"`
	NodeUse           Use                `json:"nodes_use"`
	PlannerUse        Use                `json:"planners_use"`
	PlanBytes         int                `json:"plan_bytes"` // that planners sent to nodes
	Journal           *testbed.Journal   `json:"journal,omitempty"`
	Seconds           []audit.Second     `json:"seconds,omitempty"`
	BadClients        int                `json:"bad_clients"`
	Series            []Point            `json:"series"`
	Faults            []Fault            `json:"faults"`
	Baselines         []Report           `json:"baselines"`
}

// Latency of a traffic type: quantiles, and its service.
type Latency struct {
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
	Service float64 `json:"service"`
}

// Part is what one tenant or site got.
type Part struct {
	Service float64 `json:"service"`
	P99     float64 `json:"p99"`
}

// Generator is how the load generator itself did.
type Generator struct {
	LateMaxMS float64 `json:"late_max_ms"`
	LateShare float64 `json:"late_share"`
	Behind    bool    `json:"behind"`
	WorstBin  float64 `json:"worst_bin"` // the most by which 100 ms differed from the schedule, as a share
}

// Discovery is what the nodes asked of it.
type Discovery struct {
	Calls  int     `json:"calls"`
	Lines  float64 `json:"lines"`
	Turned int     `json:"turned_away"`
}

// Use is what the nodes used of the machine: their CPU time together, and the most memory of one.
type Use struct {
	CPUSeconds float64 `json:"cpu_s"`
	RSSMaxMB   float64 `json:"rss_max_mb"`
}

// Point is a span of the run, by when requests were asked for.
type Point struct {
	AtS      float64 `json:"at_s"`
	Service  float64 `json:"service"`
	Rejected int     `json:"denied"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
}

// Fault is where a trouble lay.
type Fault struct {
	Kind  string  `json:"kind"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// New sums a run up.
func New(s *scenario.Scenario, policy string, ops []load.Request, o *testbed.Outcome) Report {
	r := Report{Scenario: s.Name, Seed: s.Seed, Policy: policy, Nodes: s.Nodes.Count, Servers: len(s.ServerNames()), Offered: len(ops),
		Service: round(o.ServiceShare()), AnsweredInTarget: o.Outcomes[load.WithinObjective], Handled: o.Outcomes[load.Handled], Rejected: o.Outcomes[load.Rejected],
		WrittenOff: o.Outcomes[load.Failed], Unanswered: o.Outcomes[load.NoAnswer], Unreached: o.Outcomes[load.Unreached], DisconnectedEarly: o.Outcomes[load.DisconnectedEarly], Tries: o.Tries, Rules: o.Rules,
		Latency: map[string]Latency{}, ByTenant: map[string]Part{}, BySite: map[string]Part{},
		Generator:  Generator{millis(o.Lateness.Max), round(o.Lateness.LateShare), o.Lateness.IsBehind, round(o.Lateness.MaxBinError)},
		Discovery:  Discovery{o.DiscoveryCalls, math.Round(o.DiscoveryLines), o.RejectedCalls},
		NodeUse:    Use{round(o.NodeUsage.CPU.Seconds()), math.Round(o.NodeUsage.RSSMB)},
		PlannerUse: Use{round(o.PlannerUsage.CPU.Seconds()), math.Round(o.PlannerUsage.RSSMB)}, PlanBytes: o.PlanBytes,
		BadClients: o.BadClients, Faults: []Fault{}, Baselines: []Report{}}
	for _, t := range o.ByType {
		r.Latency[t.Name] = Latency{quantile(t.Latency, 50), quantile(t.Latency, 99), quantile(t.Latency, 99.9),
			float64(t.Latency.Max()) / 1000, ratio(t.EarnedRevenue, t.OfferedRevenue)}
	}
	for into, parts := range map[*map[string]Part][]load.Share{&r.ByTenant: o.ByTenant, &r.BySite: o.BySite} {
		for _, p := range parts {
			(*into)[p.Name] = Part{ratio(p.EarnedRevenue, p.OfferedRevenue), quantile(p.Latency, 99)}
		}
	}
	for i, p := range o.Series {
		r.Series = append(r.Series, Point{(time.Duration(i) * load.BinWidth).Seconds(), ratio(p.EarnedRevenue, p.OfferedRevenue), p.Rejected, p.Failed,
			quantile(p.Latency, 50), quantile(p.Latency, 99)})
	}
	for _, f := range s.Faults {
		r.Faults = append(r.Faults, Fault{f.Kind, f.At.Std().Seconds(), f.End().Seconds()})
	}
	if s.Journal.Promise != "" {
		r.Journal = &o.Journal
	}
	r.Seconds = o.Seconds
	return r
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1 // nothing was asked for, and nothing is owed
	}
	return round(a / b)
}

// Broken counts the rules that were broken.
func (r *Report) Broken() (n int) {
	for _, rule := range r.Rules {
		if rule.Violations > 0 {
			n++
		}
	}
	return n
}

// Text writes a report for people.
func (r *Report) Text(w io.Writer) {
	if r.Generator.Behind {
		fmt.Fprintf(w, "NOT VALID: the generator fell behind by up to %.0f ms, %.1f%% of the operations began late\n\n",
			r.Generator.LateMaxMS, 100*r.Generator.LateShare)
	}
	fmt.Fprintf(w, "scenario %s, seed %d: %d nodes, %d boxes, %d operations\n\n", r.Scenario, r.Seed, r.Nodes, r.Servers, r.Offered)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tservice\tin target\thandled\tdenied\twritten off\tunanswered\tunreached\ttries\trules broken\t")
	for _, x := range append([]Report{*r}, r.Baselines...) {
		fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", x.Policy, x.Service, x.AnsweredInTarget, x.Handled, x.Rejected, x.WrittenOff,
			x.Unanswered, x.Unreached, x.Tries, x.brokenNames())
	}
	t.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(t, "type\tservice\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, name := range sorted(r.Latency) {
		l := r.Latency[name]
		fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, l.Service, l.P50, l.P99, l.P999, l.Max)
	}
	t.Flush()
	for _, by := range []struct {
		what  string
		parts map[string]Part
	}{{"tenant", r.ByTenant}, {"site", r.BySite}} {
		line := []string{}
		for _, name := range sorted(by.parts) {
			line = append(line, fmt.Sprintf("%s %.4f", name, by.parts[name].Service))
		}
		if len(line) > 0 {
			fmt.Fprintf(w, "\nservice by %s: %s", by.what, strings.Join(line, ", "))
		}
	}
	fmt.Fprintf(w, "\n\nrules\n")
	for _, rule := range r.Rules {
		if rule.Violations == 0 {
			fmt.Fprintf(w, "  kept    %s: %s\n", rule.Name, rule.Description)
		} else {
			fmt.Fprintf(w, "  BROKEN  %s: %s; %d times, first: %s\n", rule.Name, rule.Description, rule.Violations, rule.FirstViolation)
		}
	}
	fmt.Fprintf(w, "\ngenerator: at most %.1f ms late, %.2f%% of the operations late", r.Generator.LateMaxMS, 100*r.Generator.LateShare)
	fmt.Fprintf(w, "; 100 ms differ by %.2f%% at most", 100*r.Generator.WorstBin)
	fmt.Fprintf(w, "\ndiscovery: %d calls, %.0f lines, %d turned away", r.Discovery.Calls, r.Discovery.Lines, r.Discovery.Turned)
	fmt.Fprintf(w, "\nnodes: %.2f s of CPU together, at most %.0f MB each", r.NodeUse.CPUSeconds, r.NodeUse.RSSMaxMB)
	if r.PlannerUse.CPUSeconds > 0 {
		fmt.Fprintf(w, "\nplanners: %.2f s of CPU together, at most %.0f MB each, %d bytes sent to nodes", r.PlannerUse.CPUSeconds, r.PlannerUse.RSSMaxMB, r.PlanBytes)
	}
	if j := r.Journal; j != nil {
		fmt.Fprintf(w, "\njournals: %d entries, %d dockets, %d possibly sent, %d of them not settled by dockets, %d words in gaps", j.Entries, j.Ran,
			j.PossiblySent, j.Open, j.Gaps)
		if j.PeerBytes > 0 || j.Losses > 0 {
			fmt.Fprintf(w, "\nmachines: %d lost with their disks, %d times all was whole again; %d journals told to be lost, %d dockets of theirs are; %d bytes between nodes",
				j.Losses, j.Cycles, j.AnnouncedLost, j.Lost, j.PeerBytes)
		}
	}
	if r.BadClients > 0 {
		fmt.Fprintf(w, "\nbad clients: %d", r.BadClients)
	}
	fmt.Fprintln(w)
}

// Table writes second by second where tries and attempts went.
func (r *Report) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\ttries\tfirst hops\tfurther\tbegun\tin vain\thandled\tdenied\twritten off\tlost\tbusiest node\t")
	for i, s := range r.Seconds {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", i, s.Tries, s.First, s.Retries, s.Ran, s.Wasted, s.Handled, s.Rejected, s.Failed, s.Unanswered, s.Busiest)
	}
	t.Flush()
}

func (r *Report) brokenNames() string {
	var names []string
	for _, rule := range r.Rules {
		if rule.Violations > 0 {
			names = append(names, rule.Name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ",")
}

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// Load reads what Save has written.
func Load(path string) (r Report, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("%s: no report: %w", path, err)
	}
	if r.Scenario == "" {
		return r, fmt.Errorf("%s: no report: it names no scenario", path)
	}
	return r, nil
}
