package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Compare writes two reports side by side, with a warning if they do not have the same schedule.
func Compare(w io.Writer, a, b *Report) {
	if a.Scenario != b.Scenario || a.Seed != b.Seed || a.Offered != b.Offered {
		fmt.Fprintf(w, "NOT THE SAME SCHEDULE: %s, seed %d, %d requests against %s, seed %d, %d requests\n\n",
			a.Scenario, a.Seed, a.Offered, b.Scenario, b.Seed, b.Offered)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, x, y float64, form string) {
		fmt.Fprintf(t, "%s\t"+form+"\t"+form+"\t%+"+form[1:]+"\t\n", name, x, y, y-x)
	}
	fmt.Fprintln(t, "figure\tA\tB\tB - A\t")
	row("service", a.Service, b.Service, "%.4f")
	for _, f := range []struct {
		name string
		x    int
		y    int
	}{{"in target", a.AnsweredInTarget, b.AnsweredInTarget}, {"handled", a.Handled, b.Handled}, {"rejected", a.Rejected, b.Rejected},
		{"failed", a.Failed, b.Failed}, {"unanswered", a.Unanswered, b.Unanswered}, {"unreached", a.Unreached, b.Unreached}, {"tries", a.Tries, b.Tries}} {
		row(f.name, float64(f.x), float64(f.y), "%.0f")
	}
	for _, name := range sorted(a.Latency) {
		x, y := a.Latency[name], b.Latency[name]
		row(name+" service", x.Service, y.Service, "%.4f")
		row(name+" p50 ms", x.P50, y.P50, "%.1f")
		row(name+" p99 ms", x.P99, y.P99, "%.1f")
		row(name+" p99.9 ms", x.P999, y.P999, "%.1f")
	}
	row("worst point", a.worst(), b.worst(), "%.4f")
	row("nodes' CPU s", a.NodeUsage.CPUSeconds, b.NodeUsage.CPUSeconds, "%.2f")
	t.Flush()
	fmt.Fprintf(w, "\nrules broken: A %s, B %s\n", a.brokenNames(), b.brokenNames())
	for i, r := range []*Report{a, b} {
		if r.Generator.IsBehind {
			fmt.Fprintf(w, "NOT VALID: generator fell behind in report %c\n", 'A'+i)
		}
	}
}

// worst returns the lowest mean service over a second, which may begin at each point of the series.
func (r *Report) worst() float64 {
	least := 1.0
	const pointsPerSecond = 4
	for i := 0; i+pointsPerSecond <= len(r.Series); i++ {
		sum := 0.0
		for _, p := range r.Series[i : i+pointsPerSecond] {
			sum += p.Service / pointsPerSecond
		}
		least = min(least, sum)
	}
	return least
}
