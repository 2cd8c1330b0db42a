package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/scale"
	"fernvane/internal/testbed/scale/component"
)

// Path is the result of a measurement of the data path. Its JSON encoding is a stored format.
type Path struct {
	Command string             `json:"command"`
	At      time.Time          `json:"at"`
	Machine scale.Machine      `json:"machine"`
	Rows    []testbed.BenchRow `json:"rows"`
}

// Run is a run of hollow nodes with the name of its file.
type Run struct {
	Name string // without extension: PLANE-DIMENSION-SIZE or PLANE-EVENT-SIZE
	scale.Result
}

// Results are all results of a folder.
type Results struct {
	Runs  []Run
	Parts []component.Result
	Paths []Path
}

// Save writes a result as JSON in the form in which it is committed.
func Save(path string, result any) error {
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// LoadResults reads all results of a folder.
func LoadResults(dir string) (*Results, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("read results: %s has no .json files", dir)
	}
	all := &Results{}
	for _, path := range paths {
		if err := all.read(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	slices.SortFunc(all.Runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.family(), b.family()), cmp.Compare(a.Size.Nodes, b.Size.Nodes), cmp.Compare(a.Name, b.Name))
	})
	return all, nil
}

// read adds the result of one file. Its keys determine its kind.
func (r *Results) read(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var kind struct{ Phases, Parts, Rows json.RawMessage }
	if err := json.Unmarshal(text, &kind); err != nil {
		return err
	}
	switch {
	case kind.Phases != nil:
		run := Run{Name: strings.TrimSuffix(filepath.Base(path), ".json")}
		err = json.Unmarshal(text, &run.Result)
		r.Runs = append(r.Runs, run)
	case kind.Parts != nil:
		var p component.Result
		err = json.Unmarshal(text, &p)
		r.Parts = append(r.Parts, p)
	case kind.Rows != nil:
		var p Path
		err = json.Unmarshal(text, &p)
		r.Paths = append(r.Paths, p)
	default:
		err = fmt.Errorf("unknown kind of result: want key phases, parts or rows")
	}
	return err
}

// Series is a figure at several sizes, with its source.
type Series struct {
	By      string // dimension
	Fixed   string
	Unit    string
	Exact   bool
	Points  []Point
	Command string  // of the run with the largest size
	Load    float64 // load average of the machine before the measurement; of several runs, the highest
	Cores   int     // of the machine of Command
}

// Series returns the series that the source of a row of the target file names: `parts NAME` or
// `scale PLANE-DIMENSION PHASE ROLE FIELD`, where ROLE may also be in_force, the latency of the phase's changes, or handed, the
// inputs of policies per change that a node applied.
func (r *Results) Series(source string) (*Series, error) {
	words := strings.Fields(source)
	switch {
	case len(words) == 2 && words[0] == "parts":
		return r.partSeries(words[1])
	case len(words) == 5 && words[0] == "scale":
		return r.scaleSeries(words[1], words[2], words[3], words[4])
	}
	return nil, fmt.Errorf("source %q: want `parts NAME` or `scale PLANE-DIMENSION PHASE ROLE FIELD`", source)
}

func (r *Results) partSeries(name string) (*Series, error) {
	for _, p := range r.Parts {
		for _, s := range p.Parts {
			if s.Name != name {
				continue
			}
			series := &Series{By: s.By, Fixed: s.Fixed, Unit: s.Unit, Exact: s.Exact, Command: p.Command, Load: p.Load, Cores: p.Cores}
			for _, at := range s.Points {
				series.Points = append(series.Points, Point(at))
			}
			return series, nil
		}
	}
	return nil, fmt.Errorf("no measured part %q", name)
}

var runNames = regexp.MustCompile(`^([a-z]+)-([a-z-]+)-([0-9]+)$`)

// family returns PLANE-DIMENSION of the run's name, "" if the name has another form.
func (r *Run) family() string {
	m := runNames.FindStringSubmatch(r.Name)
	if m == nil {
		return ""
	}
	return m[1] + "-" + m[2]
}

// dimension returns the size of a run in a dimension, which has the name of a flag.
func dimension(s *scale.Size, name string) (float64, bool) {
	v, ok := map[string]float64{"nodes": float64(s.Nodes), "servers": float64(s.Servers), "services": float64(s.Services),
		"routes": float64(s.Routes), "tenants": float64(s.Tenants), "churn": s.Churn, "restarts": s.Restarts, "control": float64(s.Control)}[name]
	return v, ok
}

func (r *Results) scaleSeries(family, phase, role, field string) (*Series, error) {
	s := &Series{}
	for i := range r.Runs {
		run := &r.Runs[i]
		if run.family() != family {
			continue
		}
		_, s.By, _ = strings.Cut(family, "-")
		size, ok := dimension(&run.Size, s.By)
		if !ok {
			return nil, fmt.Errorf("%s: unknown dimension %q", family, s.By)
		}
		value, unit, exact, err := phaseFigure(run, phase, role, field)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", run.Name, err)
		}
		s.Unit, s.Exact = unit, exact
		s.Points = append(s.Points, Point{Size: size, Value: value})
		if len(s.Points) == 1 || size >= slices.MaxFunc(s.Points, func(a, b Point) int { return cmpFloat(a.Size, b.Size) }).Size {
			s.Command, s.Cores = run.Command, run.Machine.Cores
		}
		s.Load = max(s.Load, run.Machine.Load)
		s.Fixed = fixedDimensions(&run.Size, s.By)
	}
	if len(s.Points) == 0 {
		return nil, fmt.Errorf("no run named %s-SIZE", family)
	}
	slices.SortFunc(s.Points, func(a, b Point) int { return cmpFloat(a.Size, b.Size) })
	return s, nil
}

// fixedDimensions returns the sizes of a run in the other dimensions.
func fixedDimensions(s *scale.Size, by string) string {
	var words []string
	for _, name := range []string{"nodes", "servers", "routes", "tenants"} {
		if v, _ := dimension(s, name); name != by {
			words = append(words, strconv.FormatFloat(v, 'f', -1, 64)+" "+name)
		}
	}
	return strings.Join(words, ", ")
}

// phaseFigure returns a figure of a run's phase. A figure of a role is the mean of its members.
func phaseFigure(run *Run, phase, role, field string) (value float64, unit string, exact bool, err error) {
	i := slices.IndexFunc(run.Phases, func(p scale.Phase) bool { return p.Name == phase })
	if i < 0 {
		return 0, "", false, fmt.Errorf("run has no phase %s", phase)
	}
	p := &run.Phases[i]
	switch role {
	case "in_force":
		if p.ChangeLatency == nil {
			return 0, "", false, fmt.Errorf("phase %s has no changes", phase)
		}
		v, ok := map[string]float64{"p50": p.ChangeLatency.P50, "p99": p.ChangeLatency.P99, "last": p.ChangeLatency.Last}[field]
		return v, "ms", false, checkField(ok, field)
	case "handed":
		if p.ChangeLatency == nil || p.ChangeLatency.Applied == 0 {
			return 0, "", false, fmt.Errorf("phase %s has no changes", phase)
		}
		v, ok := map[string]int{"elements": p.Deliveries.Elements, "lists": p.Deliveries.Lists}[field]
		return float64(v) / float64(p.ChangeLatency.Applied), "", true, checkField(ok, field)
	}
	o, ok := p.Roles[role]
	if !ok {
		return 0, "", false, fmt.Errorf("run has no role %s", role)
	}
	n := float64(max(o.Members, 1))
	v, ok := map[string]struct {
		value float64
		unit  string
		exact bool
	}{"bytes_in": {o.BytesIn, "B/s", true}, "bytes_out": {o.BytesOut, "B/s", true}, "bytes": {o.BytesIn + o.BytesOut, "B/s", true},
		"messages_in": {o.MessagesIn, "/s", true}, "messages_out": {o.MessagesOut, "/s", true}, "messages": {o.MessagesIn + o.MessagesOut, "/s", true},
		"cpu": {o.CPU, "cores", false}, "memory": {o.Memory, "B", false},
		"bytes_each": {(o.BytesIn + o.BytesOut) * p.Seconds, "B", true}}[field]
	return v.value / n, v.unit, v.exact, checkField(ok, field)
}

func checkField(ok bool, field string) error {
	if !ok {
		return fmt.Errorf("unknown field %s", field)
	}
	return nil
}
