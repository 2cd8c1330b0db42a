package scale

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"fernvane/internal/proxy"
)

// Plane is a mechanism that carries changes of servers to nodes. Everything else of a run, the hollow nodes, the events,
// what is counted and how, is the same for all of them.
type Plane interface {
	// Controls reports whether there are control processes between discovery's side and the nodes.
	Controls() bool
	// Scoped reports whether a node is sent its own services alone.
	Scoped() bool
	// Check tells in one line why a size cannot be played.
	Check(s *Size) error
	// Prepare writes the files that control processes and nodes read, before any of them starts.
	Prepare(l *Layout) error
	// Control runs the n-th control process until the context ends. It returns when the process cannot go on.
	Control(ctx context.Context, l *Layout, n int) error
	// Source is where changes are made: discovery's side, or a part of the plane itself that takes them. Control processes
	// are starting beside it; it is there once all servers are listed.
	Source(l *Layout) (Source, error)
	// Configure has a node take part, by the configuration that it has loaded.
	Configure(l *Layout, node int, cfg *proxy.Config) error
}

// Source is where servers change. It lives in the process of discovery's side.
type Source interface {
	// Change has one of the servers drain or serve again; it returns when the change was made.
	Change(server int, draining bool) (time.Time, error)
	// Away takes the source out of reach, or brings it back.
	SetDown(away bool) error
	// Close ends it.
	Close()
}

var planes = map[string]Plane{"discovery": discoveryPlane{}, "planners": plannersPlane{}, "distribution": distributionPlane{}}

// Planes are the names of those that can be played.
func Planes() []string { return slices.Sorted(maps.Keys(planes)) }

// discoveryPlane has each node watch discovery by itself.
type discoveryPlane struct{}

func (discoveryPlane) Scoped() bool   { return false }
func (discoveryPlane) Controls() bool { return false }

func (discoveryPlane) Check(s *Size) error {
	if s.Event == ControlKilled || s.Event == RegionPartition {
		return fmt.Errorf("--event %s: plane %s has no control processes", s.Event, s.Plane)
	}
	return nil
}

func (discoveryPlane) Prepare(*Layout) error                       { return nil }
func (discoveryPlane) Control(context.Context, *Layout, int) error { return nil }
func (discoveryPlane) Source(l *Layout) (Source, error)            { return newStandin(l) }
func (discoveryPlane) Configure(*Layout, int, *proxy.Config) error { return nil }

// plannersPlane has planners watch discovery, and nodes follow the planners.
type plannersPlane struct{ discoveryPlane }

func (plannersPlane) Controls() bool    { return true }
func (plannersPlane) Check(*Size) error { return nil }

func (plannersPlane) Prepare(l *Layout) error {
	for region := range l.Size.Regions {
		var quoted []string
		for _, a := range l.controlsFor(region) {
			quoted = append(quoted, fmt.Sprintf("%q", a))
		}
		text := fmt.Sprintf("planners = [%s]\nplaintext = true\n", strings.Join(quoted, ", "))
		if err := os.WriteFile(l.plannersPath(region), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for n := range l.Size.Control {
		text := fmt.Sprintf("name = \"p%d\"\nlisten = %q\ndiscovery = %q\nplaintext = true\n", n, l.controlAddress(n), l.discoveryAddress(ownerPort))
		if err := os.WriteFile(l.planPath(n), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// reachable waits for an address to be listened at.
func waitListening(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s is not listened at: %w", address, ctx.Err())
}
