package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Text writes the report as tables and lines for people.
func (r *Report) Text(w io.Writer) {
	if r.Generator.IsBehind {
		fmt.Fprintf(w, "NOT VALID: generator fell behind by up to %.0f ms, %.1f%% of the requests started late\n\n",
			r.Generator.LateMaxMS, 100*r.Generator.LateShare)
	}
	fmt.Fprintf(w, "scenario %s, seed %d: %d nodes, %d servers, %d requests\n\n", r.Scenario, r.Seed, r.Nodes, r.Servers, r.Offered)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tservice\tin target\thandled\trejected\tfailed\tunanswered\tunreached\ttries\trules broken\t")
	for _, x := range append([]Report{*r}, r.Baselines...) {
		fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", x.Policy, x.Service, x.AnsweredInTarget, x.Handled, x.Rejected, x.Failed,
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
	r.writeShares(w)
	r.writeRules(w)
	r.writeUsage(w)
}

// writeShares writes the service of tenants and sites.
func (r *Report) writeShares(w io.Writer) {
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
}

// writeRules writes the verdict on each rule.
func (r *Report) writeRules(w io.Writer) {
	fmt.Fprintf(w, "\n\nrules\n")
	for _, rule := range r.Rules {
		if rule.Violations == 0 {
			fmt.Fprintf(w, "  kept    %s: %s\n", rule.Name, rule.Description)
		} else {
			fmt.Fprintf(w, "  BROKEN  %s: %s; %d times, first: %s\n", rule.Name, rule.Description, rule.Violations, rule.FirstViolation)
		}
	}
}

// writeUsage writes the lateness of the generator and the resource usage of the processes.
func (r *Report) writeUsage(w io.Writer) {
	fmt.Fprintf(w, "\ngenerator: at most %.1f ms late, %.2f%% of the requests late", r.Generator.LateMaxMS, 100*r.Generator.LateShare)
	fmt.Fprintf(w, "; intervals of 100 ms differ from the schedule by at most %.2f%%", 100*r.Generator.WorstBin)
	fmt.Fprintf(w, "\ndiscovery: %d calls, %.0f lines, %d rejected", r.Discovery.Calls, r.Discovery.Lines, r.Discovery.RejectedCalls)
	fmt.Fprintf(w, "\nnodes: %.2f s of CPU together, at most %.0f MB each", r.NodeUsage.CPUSeconds, r.NodeUsage.RSSMaxMB)
	if r.PlannerUsage.CPUSeconds > 0 {
		fmt.Fprintf(w, "\nplanners: %.2f s of CPU together, at most %.0f MB each, %d bytes sent to nodes", r.PlannerUsage.CPUSeconds, r.PlannerUsage.RSSMaxMB, r.PlanBytes)
	}
	if j := r.Journal; j != nil {
		fmt.Fprintf(w, "\njournals: %d entries, %d executions, %d possibly sent, %d of them not settled by execution records, %d records in gaps", j.Entries, j.Ran,
			j.PossiblySent, j.Open, j.Gaps)
		if j.PeerBytes > 0 || j.Losses > 0 {
			fmt.Fprintf(w, "\nmachines: %d lost with their disks, in %d rounds until all was replicated again; %d journals expected to be lost, %d of their executions lost; %d bytes between nodes",
				j.Losses, j.Cycles, j.AnnouncedLost, j.Lost, j.PeerBytes)
		}
	}
	if r.BadClients > 0 {
		fmt.Fprintf(w, "\nbad clients: %d", r.BadClients)
	}
	fmt.Fprintln(w)
}

// Table writes a row with the counts of tries and attempts for each second.
func (r *Report) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\ttries\tfirst attempts\tretries\texecuted\twasted\thandled\trejected\tfailed\tunanswered\tbusiest node\t")
	for i, s := range r.Seconds {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", i, s.Tries, s.First, s.Retries, s.Ran, s.Wasted, s.Handled, s.Rejected, s.Failed, s.Unanswered, s.Busiest)
	}
	t.Flush()
}

// brokenNames returns the names of violated rules, "none" if there are none.
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
