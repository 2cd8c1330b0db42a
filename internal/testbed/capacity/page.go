package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Begin and End enclose the tables on the page. The text between them is the output of Print.
const (
	Begin = "<!-- testbed capacity: begin -->"
	End   = "<!-- testbed capacity: end -->"
)

// row is an extrapolated figure.
type row struct {
	*Figure
	series  *Series
	slope   Slope
	target  float64 // size in the source's dimension
	value   float64 // budgeted figure at the target size
	command int     // number, in the page's list, of the command that measured it
}

func (r *row) budgetRatio() float64 {
	if r.Budget == 0 {
		return 0
	}
	return r.value / r.Budget
}

// page is the state that the tables share.
type page struct {
	*Results
	target   *Target
	rows     []row
	commands []string
}

// Print writes the page's tables in Markdown.
func Print(w io.Writer, results *Results, target *Target) error {
	p := &page{Results: results, target: target}
	for i := range target.Figures {
		if err := p.extrapolate(&target.Figures[i]); err != nil {
			return fmt.Errorf("%s, %s: %w", target.Figures[i].Role, target.Figures[i].What, err)
		}
	}
	for _, part := range []func(io.Writer){p.targets, p.overBudget, p.roles, p.events, p.dataPaths, p.largestRuns, p.commandList} {
		part(w)
	}
	return nil
}

// extrapolate adds the row of a figure: it fits the source's points and evaluates the slope at the target size, times Times.
func (p *page) extrapolate(f *Figure) error {
	s, err := p.Series(f.Source)
	if err != nil {
		return err
	}
	slope, err := Fit(s.Points)
	if err != nil {
		return err
	}
	size, ok := p.target.Sizes[s.By]
	if !ok {
		return fmt.Errorf("target file has no size %q", s.By)
	}
	if f.Unit == "" {
		f.Unit = s.Unit
	}
	p.rows = append(p.rows, row{Figure: f, series: s, slope: slope, target: size, value: f.Times * slope.At(size), command: p.commandNumber(s.Command)})
	return nil
}

func (p *page) commandNumber(command string) int {
	i := slices.Index(p.commands, command)
	if i < 0 {
		p.commands = append(p.commands, command)
		i = len(p.commands) - 1
	}
	return i + 1
}

func table(w io.Writer, title string, columns ...string) {
	fmt.Fprintf(w, "\n## %s\n\n", title)
	line(w, columns...)
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", len(columns)))
}

func line(w io.Writer, cells ...string) { fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |") }

func (p *page) targets(w io.Writer) {
	table(w, "Target", "what", "target")
	for _, l := range p.target.About {
		line(w, l.What, l.Target)
	}
}

func (p *page) overBudget(w io.Writer) {
	exceeded := slices.DeleteFunc(slices.Clone(p.rows), func(r row) bool { return r.budgetRatio() <= 1 })
	slices.SortStableFunc(exceeded, func(a, b row) int { return cmp.Compare(b.budgetRatio(), a.budgetRatio()) })
	table(w, "Over budget, worst first", "role", "what", "at the target", "budget", "times over", "carried today by", "first limit met")
	for _, r := range exceeded {
		line(w, r.Role, r.What, formatAmount(r.value, r.Unit), formatAmount(r.Budget, r.Unit)+", "+r.BudgetIs, formatNumber(r.budgetRatio()), r.Carries, r.Limit)
	}
	if len(exceeded) == 0 {
		fmt.Fprintln(w, "\nNothing is.")
	}
}

func (p *page) roles(w io.Writer) {
	var roles []string
	for _, r := range p.rows {
		if !slices.Contains(roles, r.Role) {
			roles = append(roles, r.Role)
		}
	}
	for _, role := range roles {
		table(w, "Role: "+role, "kind", "what", "measured", "slope (residual)", "at the target", "extrapolated", "budget", "carried by", "first limit met", "command")
		for _, r := range p.rows {
			if r.Role == role {
				line(w, r.Kind, r.What, r.measuredCell(), r.slopeCell(), formatAmount(r.value, r.Unit), r.extrapolationCell(), r.budgetCell(), r.Carries, r.Limit,
					fmt.Sprintf("(%d)", r.command))
			}
		}
	}
}

// measuredCell returns the smallest and the largest size with their values.
func (r *row) measuredCell() string {
	first, last := r.series.Points[0], r.series.Points[len(r.series.Points)-1]
	text := fmt.Sprintf("%s at %s to %s at %s %s, %d sizes", formatAmount(first.Value, r.series.Unit), formatNumber(first.Size), formatAmount(last.Value, r.series.Unit),
		formatNumber(last.Size), r.series.By, len(r.series.Points))
	if r.series.Fixed != "" {
		text += "; " + r.series.Fixed
	}
	if !r.series.Exact {
		text += fmt.Sprintf("; beside other work, load %.0f on %d cores", r.series.Load, r.series.Cores)
	}
	return text
}

func (r *row) slopeCell() string {
	text := r.slope.Shape.String()
	if r.slope.Shape != Constant {
		text += ", " + formatAmount(r.slope.Factor, r.series.Unit) + " x " + [...]string{Linear: "n", LogLinear: "n log n", Square: "n²"}[r.slope.Shape]
		if r.slope.Fixed > 0 {
			text += " and " + formatAmount(r.slope.Fixed, r.series.Unit)
		}
	}
	text += fmt.Sprintf(" (%.2f)", r.slope.Residual)
	if r.slope.Unpredicted() {
		text += fmt.Sprintf("; the smaller sizes missed the largest by %+.0f%%", 100*r.slope.PredictionError)
	}
	return text
}

// extrapolationCell returns the ratio of the target size to the largest measured size.
func (r *row) extrapolationCell() string {
	if r.target <= r.slope.Largest {
		return "no"
	}
	return formatNumber(r.target/r.slope.Largest) + " times"
}

func (r *row) budgetCell() string {
	if r.Budget == 0 {
		return "none stated"
	}
	return fmt.Sprintf("%s, %s; %s of it", formatAmount(r.Budget, r.Unit), r.BudgetIs, formatNumber(r.budgetRatio()))
}

// events prints the latency of changes in the phase of each run's event and in all phases of runs that vary nodes, by plane, event
// and size.
func (p *page) events(w io.Writer) {
	table(w, "Changes in force, and events", "plane", "phase", "nodes", "servers", "changes", "p50 ms", "p99 ms", "last node ms", "not taken", "killed nodes back: last ms", "command")
	for _, run := range p.Runs {
		for _, ph := range run.Phases {
			if ph.ChangeLatency == nil || run.Size.Event != ph.Name && !strings.Contains(run.Name, "-nodes-") {
				continue
			}
			back := ""
			if ph.RestartLatency != nil {
				back = formatNumber(ph.RestartLatency.Last)
				if ph.RestartLatency.Missing > 0 {
					back += fmt.Sprintf("; %d not back", ph.RestartLatency.Missing)
				}
			}
			line(w, run.Size.Plane, ph.Name, formatNumber(float64(run.Size.Nodes)), formatNumber(float64(run.Size.Servers)), formatNumber(float64(ph.ChangeLatency.Changes)),
				formatNumber(ph.ChangeLatency.P50), formatNumber(ph.ChangeLatency.P99), formatNumber(ph.ChangeLatency.Last), formatNumber(float64(ph.ChangeLatency.Missing)), back,
				fmt.Sprintf("(%d)", p.commandNumber(run.Command)))
		}
	}
}

func (p *page) dataPaths(w io.Writer) {
	if len(p.Paths) == 0 {
		return
	}
	table(w, "Data path", "requests/s asked, got", "clients", "p99 direct", "p99 by the node", "added at p99", "budget", "node's CPU a request", "load before", "command")
	for _, path := range p.Paths {
		for i := 0; i+1 < len(path.Rows); i += 2 {
			direct, node := path.Rows[i], path.Rows[i+1]
			ms := func(ns float64) string { return formatAmount(ns/1e6, "ms") }
			line(w, formatNumber(node.Rate)+", "+formatNumber(math.Round(node.PerSecond)), formatNumber(float64(node.Connections)), ms(float64(direct.P99)), ms(float64(node.P99)),
				ms(float64(node.P99-direct.P99)), "5.2 ms", formatAmount(node.CPUMicroseconds/1000, "ms"), fmt.Sprintf("%.0f on %d cores", path.Machine.Load, path.Machine.Cores),
				fmt.Sprintf("(%d)", p.commandNumber(path.Command)))
		}
	}
}

// largestRuns prints the largest run of each plane.
func (p *page) largestRuns(w io.Writer) {
	largest := map[string]Run{}
	for _, run := range p.Runs {
		if run.Size.Nodes > largest[run.Size.Plane].Size.Nodes {
			largest[run.Size.Plane] = run
		}
	}
	table(w, "Largest runs", "plane", "nodes", "servers", "processes", "memory in all", "nodes that knew all servers after the start", "command")
	for _, plane := range slices.Sorted(mapKeys(largest)) {
		run := largest[plane]
		start := run.Phases[0].ChangeLatency
		line(w, plane, formatNumber(float64(run.Size.Nodes)), formatNumber(float64(run.Size.Servers)), formatNumber(float64(run.Processes)), formatAmount(run.Memory, "B"),
			fmt.Sprintf("%s, the last after %s ms", formatNumber(float64(start.Applied)), formatNumber(start.Last)), fmt.Sprintf("(%d)", p.commandNumber(run.Command)))
	}
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (p *page) commandList(w io.Writer) {
	fmt.Fprint(w, "\n## Commands\n\nThat of the largest size of each series; the smaller ones are the same with half of it, and so on.\n\n")
	for i, c := range p.commands {
		fmt.Fprintf(w, "%d. `%s`\n", i+1, c)
	}
}

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return groupThousands(math.Round(v))
	case math.Abs(v) >= 10:
		return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
	case math.Abs(v) >= 0.0005:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.1e", v)
}

// groupThousands formats a whole number with separators between thousands.
func groupThousands(v float64) string {
	digits := fmt.Sprintf("%.0f", math.Abs(v))
	var b strings.Builder
	if v < 0 {
		b.WriteByte('-')
	}
	for i, d := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(d)
	}
	return b.String()
}

// formatAmount formats a value with its unit, scaled to a prefix such as KB or GB.
func formatAmount(v float64, unit string) string {
	switch {
	case unit == "B" || unit == "B/s":
		for _, step := range []struct {
			from float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e4, "KB"}} {
			if v >= step.from {
				size := map[string]float64{"GB": 1e9, "MB": 1e6, "KB": 1e3}[step.name]
				return formatNumber(v/size) + " " + step.name + strings.TrimPrefix(unit, "B")
			}
		}
	case unit == "ms" && v >= 10_000:
		return formatNumber(v/1000) + " s"
	case unit == "ms" && v < 1 && v > 0:
		return formatNumber(v*1000) + " us"
	}
	if unit == "" {
		return formatNumber(v)
	}
	if strings.HasPrefix(unit, "/") {
		return formatNumber(v) + unit
	}
	return formatNumber(v) + " " + unit
}
