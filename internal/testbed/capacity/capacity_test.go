package capacity

import (
	"bytes"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFit checks that each shape is recognized from points that follow it, exactly or within a few percent, and that its
// extrapolation is within a tenth.
func TestFit(t *testing.T) {
	sizes := []float64{64, 128, 256, 512, 1024, 2048, 4096}
	noise := []float64{1.02, 0.98, 1.03, 0.97, 1.01, 0.99, 1.02}
	for name, c := range map[string]struct {
		of    func(n float64) float64
		shape Shape
		far   float64 // value at size 100,000
	}{
		"constant":                 {func(float64) float64 { return 7 }, Constant, 7},
		"linear":                   {func(n float64) float64 { return 3 * n }, Linear, 3e5},
		"linear with a fixed part": {func(n float64) float64 { return 1000 + 5*n }, Linear, 501_000},
		"n log n":                  {func(n float64) float64 { return n * math.Log2(n) }, LogLinear, 1e5 * math.Log2(1e5)},
		"square":                   {func(n float64) float64 { return 10 + n*n }, Square, 1e10},
	} {
		t.Run(name, func(t *testing.T) {
			var exact, noisy []Point
			for i, n := range sizes {
				exact, noisy = append(exact, Point{n, c.of(n)}), append(noisy, Point{n, c.of(n) * noise[i]})
			}
			for kind, points := range map[string][]Point{"exact": exact, "noisy": noisy} {
				s, err := Fit(points)
				if err != nil || s.Shape != c.shape || math.Abs(s.At(1e5)/c.far-1) > 0.1 || s.Unpredicted() {
					t.Errorf("%s points: got slope %+v, error %v, %g at 1e5; want shape %v and %g", kind, s, err, s.At(1e5), c.shape, c.far)
				}
			}
		})
	}
}

// TestFitReportsPredictionError checks the prediction error of a size that the smaller sizes do not predict.
func TestFitReportsPredictionError(t *testing.T) {
	s, err := Fit([]Point{{64, 64}, {128, 128}, {256, 256}, {512, 512}, {1024, 4096}})
	if err != nil || !s.Unpredicted() || math.Abs(s.PredictionError+0.75) > 0.01 {
		t.Errorf("got slope %+v, error %v, want prediction error -0.75", s, err)
	}
	if _, err := Fit([]Point{{1, 1}, {2, 2}}); !errors.Is(err, errFewPoints) {
		t.Errorf("two points: got error %v, want errFewPoints", err)
	}
}

// TestPage checks that the tables of docs/CAPACITY.md are the output of Print for the committed results.
func TestPage(t *testing.T) {
	const docs = "../../../docs"
	r, err := LoadResults(filepath.Join(docs, "capacity"))
	if err != nil {
		t.Fatal(err)
	}
	target, err := LoadTarget(filepath.Join(docs, "capacity", "target.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := Print(&want, r, target); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, begun := strings.Cut(string(page), Begin+"\n")
	got, _, ended := strings.Cut(rest, End)
	if !begun || !ended {
		t.Fatalf("page lacks the markers %s and %s", Begin, End)
	}
	if got == want.String() {
		return
	}
	lines := strings.Split(want.String(), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(lines) || line != lines[i] {
			t.Fatalf("page differs from the output of `testbed capacity` in line %d of the tables: got %q", i+1, line)
		}
	}
	t.Fatal("page ends before the output of `testbed capacity`")
}

// TestTargetFaults checks the errors of invalid target files.
func TestTargetFaults(t *testing.T) {
	valid := "[sizes]\nnodes = 10.0\n\n[[figures]]\nrole = \"node\"\nkind = \"CPU\"\nwhat = \"w\"\nsource = \"parts x\"\ncarries = \"c\"\nlimit = \"l\"\n"
	for name, c := range map[string]struct{ text, want string }{
		"valid":                 {valid, ""},
		"no figures":            {"[sizes]\nnodes = 10.0\n", "no figures: want at least one"},
		"unknown kind":          {strings.Replace(valid, `"CPU"`, `"x"`, 1), `target.toml:6: kind "x"`},
		"budget without reason": {valid + "budget = 3.0\n", "budget without budget_is"},
		"unknown key":           {valid + "colour = 3\n", "colour"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "target.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			_, err := LoadTarget(path)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error: got %v, want text %q", err, c.want)
			}
		})
	}
}
