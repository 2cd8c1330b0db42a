// Package component measures what the parts of the control side cost by themselves, without a process or a socket: the bytes
// of lists, files, reports and plans, and the time and memory that taking them in needs, at sizes that no run of whole
// nodes reaches.
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

// Series is one figure at several sizes, all else being fixed.
type Series struct {
	Name   string  `json:"name"`
	About  string  `json:"about"`
	By     string  `json:"by"` // the dimension that grows
	Fixed  string  `json:"fixed,omitempty"`
	Unit   string  `json:"unit"`
	Exact  bool    `json:"exact"` // counted; else processor time or memory, beside whatever ran on the machine
	Points []Point `json:"points"`
}

// Point is a figure at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Result is what a measurement of parts leaves behind.
type Result struct {
	Command string    `json:"command"`
	At      time.Time `json:"at"`
	Cores   int       `json:"cores"`
	Load    float64   `json:"load_before"`
	Parts   []Series  `json:"parts"`
}

// longestPoint is the processor time that one size may take, in milliseconds: the sizes of a series end with the first one
// beyond it.
const maxPointMS = 6_000

// figure is a series while it is measured.
type figure struct {
	series  Series
	sizes   []int
	measure func(size int) (float64, error)
}

// Measure measures all parts, or those whose names are given.
func Measure(progress io.Writer, only ...string) ([]Series, error) {
	var all []Series
	figures := slices.Concat(files(), lists(), plans())
	// Memory first: what other figures leave to the collector would be in the way of it.
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
				return nil, fmt.Errorf("%s at %d: %w", s.Name, size, err)
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

// doubled are sizes from one to another, each twice the one before.
func doublingSizes(from, to int) (sizes []int) {
	for n := from; n <= to; n *= 2 {
		sizes = append(sizes, n)
	}
	return sizes
}

// timed is the least processor time of some runs in milliseconds, the collector's included. What else runs on the machine
// adds little to it, and to the clock's time without bound.
func minCPUTime(runs int, run func()) float64 {
	least := math.Inf(1)
	for range runs {
		before := cpuTime()
		run()
		least = min(least, cpuTime()-before)
	}
	return least
}

// spent is the processor time of this process so far.
func cpuTime() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // it fails for what is no process only
	}
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e6
}

// held is what making something leaves in memory, in bytes.
func retainedBytes(make func() any) float64 {
	before := heapBytes()
	kept := make()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// heap is what is in use, once what was put aside for a while or waits to be finalized has gone as well.
func heapBytes() float64 {
	const rounds = 4
	var m runtime.MemStats
	for range rounds {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
