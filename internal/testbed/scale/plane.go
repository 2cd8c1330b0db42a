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

// Plane is a mechanism that distributes changes of servers to nodes. Hollow nodes, events and measurements of a run are the
// same for all planes.
type Plane interface {
	// Controls reports whether there are control processes between the source of changes and the nodes.
	Controls() bool
	// Scoped reports whether a node receives only the services that it serves.
	Scoped() bool
	// Check returns an error of one line if the plane does not support a size.
	Check(s *Size) error
	// Prepare writes the files of control processes and nodes before any of them starts.
	Prepare(l *Layout) error
	// Control runs the n-th control process until the context ends or the process fails.
	Control(ctx context.Context, l *Layout, n int) error
	// Source starts the source of changes of the discovery process and returns when the source lists all servers. Control
	// processes start concurrently.
	Source(l *Layout) (Source, error)
	// Configure adds the plane's settings to the configuration that a node has loaded.
	Configure(l *Layout, node int, cfg *proxy.Config) error
}

// Source changes servers. It runs in the discovery process: as the stand-in of discovery, or as a writer at the plane's
// control processes.
type Source interface {
	// Change sets a server to draining or serving and returns the time from which the change's latency counts: just before
	// it was made, or before the attempt to write it that succeeded.
	Change(server int, draining bool) (time.Time, error)
	// SetDown makes the source unreachable, or reachable again.
	SetDown(isDown bool) error
	// Close closes the source's connections.
	Close()
}

var planes = map[string]Plane{"discovery": discoveryPlane{}, "planners": plannersPlane{}, "distribution": distributionPlane{}}

// Planes returns the names of all planes in order.
func Planes() []string { return slices.Sorted(maps.Keys(planes)) }

// discoveryPlane has each node watch discovery directly.
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

// plannersPlane has planners watch discovery, and nodes receive plans from the planners.
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
		text := fmt.Sprintf("name = \"p%d\"\nlisten = %q\ndiscovery = %q\nplaintext = true\n", n, l.controlAddress(n), l.discoveryAddress(discoveryControlPort))
		if err := os.WriteFile(l.planPath(n), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// waitListening waits until an address accepts connections.
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
	return fmt.Errorf("wait for listener at %s: %w", address, ctx.Err())
}
