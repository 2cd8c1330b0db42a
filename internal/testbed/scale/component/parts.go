// Package component measures parts of the control plane in isolation, without processes and sockets: the bytes of lists,
// files, reports and plans, and the CPU time and memory of processing them. It reaches sizes beyond those of runs with
// complete nodes.
package component

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Series is one figure at several sizes of one dimension; the other dimensions are fixed.
type Series struct {
	Name   string  `json:"name"`
	About  string  `json:"about"`
	By     string  `json:"by"` // the dimension that varies
	Fixed  string  `json:"fixed,omitempty"`
	Unit   string  `json:"unit"`
	Exact  bool    `json:"exact"` // the figure is counted; else it is CPU time or memory, which other load on the machine affects
	Points []Point `json:"points"`
}

// Point is the value of a figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Result is the result of a measurement. Its JSON encoding is a stored format.
type Result struct {
	Command string    `json:"command"`
	At      time.Time `json:"at"`
	Cores   int       `json:"cores"`
	Load    float64   `json:"load_before"`
	Parts   []Series  `json:"parts"`
}

// maxPointMS is the CPU time after which a series ends: the first size that takes longer is its last.
const maxPointMS = 6_000

// figure is a series with the function that measures it.
type figure struct {
	series  Series
	sizes   []int
	measure func(size int) (float64, error)
}

// Measure measures all series, or those with the given names.
func Measure(progress io.Writer, only ...string) ([]Series, error) {
	var all []Series
	figures := slices.Concat(files(), lists(), plans())
	// Memory comes first: garbage of other figures would distort it.
	slices.SortStableFunc(figures, func(a, b figure) int { return cmp.Compare(measurementOrder(&a), measurementOrder(&b)) })
	for _, f := range figures {
		if len(only) > 0 && !slices.Contains(only, f.series.Name) {
			continue
		}
		s := f.series
		for _, size := range f.sizes {
			before := cpuTime()
			value, err := f.measure(size)
			if err != nil {
				return nil, fmt.Errorf("measure %s at size %d: %w", s.Name, size, err)
			}
			s.Points = append(s.Points, Point{Size: float64(size), Value: value})
			if cpuTime()-before > maxPointMS {
				break
			}
		}
		fmt.Fprintf(progress, "%s: %v\n", s.Name, s.Points)
		all = append(all, s)
	}
	return all, nil
}

func measurementOrder(f *figure) int {
	if f.series.Unit == "B" && !f.series.Exact {
		return 0
	}
	return 1
}

// doublingSizes returns sizes from one to another, each twice the previous one.
func doublingSizes(from, to int) (sizes []int) {
	for n := from; n <= to; n *= 2 {
		sizes = append(sizes, n)
	}
	return sizes
}

// minCPUTime returns the lowest CPU time of some runs in milliseconds, including garbage collection. Other load on the machine
// affects CPU time little, but wall-clock time without bound.
func minCPUTime(runs int, run func()) float64 {
	least := math.Inf(1)
	for range runs {
		before := cpuTime()
		run()
		least = min(least, cpuTime()-before)
	}
	return least
}

// cpuTime returns the CPU time of this process so far in milliseconds.
func cpuTime() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // fails only for invalid arguments
	}
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e6
}

// retainedBytes returns the growth of the heap by a value that a function makes, in bytes.
func retainedBytes(create func() any) float64 {
	before := heapBytes()
	value := create()
	after := heapBytes()
	runtime.KeepAlive(value)
	return max(after-before, 0)
}

// heapBytes returns the heap in use after several collections, which also empty pools and run finalizers.
func heapBytes() float64 {
	const rounds = 4
	var m runtime.MemStats
	for range rounds {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
