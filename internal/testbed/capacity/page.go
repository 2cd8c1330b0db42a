package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Markers enclose the tables on the page; what stands between them is printed by the command alone.
const (
	Begin = "<!-- testbed capacity: begin -->"
	End   = "<!-- testbed capacity: end -->"
)

// row is a figure worked out.
type row struct {
	*Figure
	series  *Series
	slope   Slope
	target  float64 // size
	value   float64 // there
	command int     // number of the command that gave it
}

func (r *row) over() float64 {
	if r.Budget == 0 {
		return 0
	}
	return r.value / r.Budget
}

// page gathers what the tables share.
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
		if err := p.work(&target.Figures[i]); err != nil {
			return fmt.Errorf("%s, %s: %w", target.Figures[i].Role, target.Figures[i].What, err)
		}
	}
	for _, part := range []func(io.Writer){p.targets, p.overBudget, p.roles, p.events, p.paths, p.largest, p.given} {
		part(w)
	}
	return nil
}

// work extrapolates one figure.
func (p *page) work(f *Figure) error {
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
		return fmt.Errorf("the target has no size %q", s.By)
	}
	if f.Unit == "" {
		f.Unit = s.Unit
	}
	p.rows = append(p.rows, row{Figure: f, series: s, slope: slope, target: size, value: f.Times * slope.At(size), command: p.number(s.Command)})
	return nil
}

func (p *page) number(command string) int {
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
	over := slices.DeleteFunc(slices.Clone(p.rows), func(r row) bool { return r.over() <= 1 })
	slices.SortStableFunc(over, func(a, b row) int { return cmp.Compare(b.over(), a.over()) })
	table(w, "Over budget, worst first", "role", "what", "at the target", "budget", "times over", "carried today by", "first limit met")
	for _, r := range over {
		line(w, r.Role, r.What, amount(r.value, r.Unit), amount(r.Budget, r.Unit)+", "+r.BudgetIs, number(r.over()), r.Carries, r.Limit)
	}
	if len(over) == 0 {
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
				line(w, r.Kind, r.What, r.measured(), r.sloped(), amount(r.value, r.Unit), r.beyond(), r.budget(), r.Carries, r.Limit,
					fmt.Sprintf("(%d)", r.command))
			}
		}
	}
}

// measured are the smallest and the largest size with their values.
func (r *row) measured() string {
	first, last := r.series.Points[0], r.series.Points[len(r.series.Points)-1]
	text := fmt.Sprintf("%s at %s to %s at %s %s, %d sizes", amount(first.Value, r.series.Unit), number(first.Size), amount(last.Value, r.series.Unit),
		number(last.Size), r.series.By, len(r.series.Points))
	if r.series.Fixed != "" {
		text += "; " + r.series.Fixed
	}
	if !r.series.Exact {
		text += fmt.Sprintf("; beside other work, load %.0f on %d cores", r.series.Load, r.series.Cores)
	}
	return text
}

func (r *row) sloped() string {
	text := r.slope.Shape.String()
	if r.slope.Shape != Constant {
		text += ", " + amount(r.slope.Factor, r.series.Unit) + " x " + [...]string{Linear: "n", LogLinear: "n log n", Square: "n²"}[r.slope.Shape]
		if r.slope.Fixed > 0 {
			text += " and " + amount(r.slope.Fixed, r.series.Unit)
		}
	}
	text += fmt.Sprintf(" (%.2f)", r.slope.Residual)
	if r.slope.Unpredicted() {
		text += fmt.Sprintf("; the smaller sizes missed the largest by %+.0f%%", 100*r.slope.Missed)
	}
	return text
}

// beyond is how far the target is from the largest size that was measured.
func (r *row) beyond() string {
	if r.target <= r.slope.Largest {
		return "no"
	}
	return number(r.target/r.slope.Largest) + " times"
}

func (r *row) budget() string {
	if r.Budget == 0 {
		return "none stated"
	}
	return fmt.Sprintf("%s, %s; %s of it", amount(r.Budget, r.Unit), r.BudgetIs, number(r.over()))
}

// events lists each run with an event, by plane, event and size.
func (p *page) events(w io.Writer) {
	table(w, "Changes in force, and events", "plane", "phase", "nodes", "servers", "changes", "p50 ms", "p99 ms", "last node ms", "not taken", "killed nodes back: last ms", "command")
	for _, run := range p.Runs {
		for _, ph := range run.Phases {
			if ph.InForce == nil || run.Size.Event != ph.Name && !strings.Contains(run.Name, "-nodes-") {
				continue
			}
			back := ""
			if ph.Returned != nil {
				back = number(ph.Returned.Last)
				if ph.Returned.Missing > 0 {
					back += fmt.Sprintf("; %d not back", ph.Returned.Missing)
				}
			}
			line(w, run.Size.Plane, ph.Name, number(float64(run.Size.Nodes)), number(float64(run.Size.Servers)), number(float64(ph.InForce.Changes)),
				number(ph.InForce.P50), number(ph.InForce.P99), number(ph.InForce.Last), number(float64(ph.InForce.Missing)), back,
				fmt.Sprintf("(%d)", p.number(run.Command)))
		}
	}
}

func (p *page) paths(w io.Writer) {
	if len(p.Paths) == 0 {
		return
	}
	table(w, "Data path", "requests/s asked, got", "clients", "p99 direct", "p99 by the node", "added at p99", "budget", "node's CPU a request", "load before", "command")
	for _, path := range p.Paths {
		for i := 0; i+1 < len(path.Rows); i += 2 {
			direct, node := path.Rows[i], path.Rows[i+1]
			ms := func(ns float64) string { return amount(ns/1e6, "ms") }
			line(w, number(node.Rate)+", "+number(math.Round(node.PerSecond)), number(float64(node.Connections)), ms(float64(direct.P99)), ms(float64(node.P99)),
				ms(float64(node.P99-direct.P99)), "5.2 ms", amount(node.CPUMicroseconds/1000, "ms"), fmt.Sprintf("%.0f on %d cores", path.Machine.Load, path.Machine.Cores),
				fmt.Sprintf("(%d)", p.number(path.Command)))
		}
	}
}

// largest is the largest run of each plane.
func (p *page) largest(w io.Writer) {
	largest := map[string]Run{}
	for _, run := range p.Runs {
		if run.Size.Nodes > largest[run.Size.Plane].Size.Nodes {
			largest[run.Size.Plane] = run
		}
	}
	table(w, "Largest runs", "plane", "nodes", "servers", "processes", "memory in all", "nodes that knew all servers after the start", "command")
	for _, plane := range slices.Sorted(mapKeys(largest)) {
		run := largest[plane]
		start := run.Phases[0].InForce
		line(w, plane, number(float64(run.Size.Nodes)), number(float64(run.Size.Servers)), number(float64(run.Processes)), amount(run.Memory, "B"),
			fmt.Sprintf("%s, the last after %s ms", number(float64(start.Taken)), number(start.Last)), fmt.Sprintf("(%d)", p.number(run.Command)))
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

func (p *page) given(w io.Writer) {
	fmt.Fprint(w, "\n## Commands\n\nThat of the largest size of each series; the smaller ones are the same with half of it, and so on.\n\n")
	for i, c := range p.commands {
		fmt.Fprintf(w, "%d. `%s`\n", i+1, c)
	}
}

// number is short: three digits that say something.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return grouped(math.Round(v))
	case math.Abs(v) >= 10:
		return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
	case math.Abs(v) >= 0.0005:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.1e", v)
}

// grouped has its thousands set apart.
func grouped(v float64) string {
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

// amount is a number with its unit, in the step of it that reads well.
func amount(v float64, unit string) string {
	switch {
	case unit == "B" || unit == "B/s":
		for _, step := range []struct {
			from float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e4, "KB"}} {
			if v >= step.from {
				size := map[string]float64{"GB": 1e9, "MB": 1e6, "KB": 1e3}[step.name]
				return number(v/size) + " " + step.name + strings.TrimPrefix(unit, "B")
			}
		}
	case unit == "ms" && v >= 10_000:
		return number(v/1000) + " s"
	case unit == "ms" && v < 1 && v > 0:
		return number(v*1000) + " us"
	}
	if unit == "" {
		return number(v)
	}
	if strings.HasPrefix(unit, "/") {
		return number(v) + unit
	}
	return number(v) + " " + unit
}
