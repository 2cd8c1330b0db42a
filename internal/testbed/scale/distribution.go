package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/distribution/control"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/proxy"
)

const (
	startTimeout        = 2 * time.Second
	maxControlAddresses = 8    // in a node's configuration
	maxServicesPerNode  = 1000 // limit of the distribution client's configuration
	changesPerWrite     = 1000
	writeRetryInterval  = 200 * time.Millisecond
	maxWriteTime        = 15 * time.Second // of a write, including the attempts at all control processes
	maxInitialWriteTime = 2 * time.Minute  // until all servers are written at the start
)

// distributionPlane has control processes store all servers as keyed entries and send each node the entries of its services.
// The first control process of each region is its root; roots follow each other, the others follow the root of their region.
type distributionPlane struct{}

func (distributionPlane) Controls() bool { return true }
func (distributionPlane) Scoped() bool   { return true }

func (distributionPlane) Check(s *Size) error {
	switch {
	case s.Event == DiscoveryDown:
		return errors.New("--event discovery-away: plane distribution has no discovery: changes are written at a control process, which --event control-killed kills")
	case s.Control < s.Regions:
		return fmt.Errorf("--control %d: each of %d regions needs a root", s.Control, s.Regions)
	case s.Services > maxServicesPerNode && (s.ServicesPerNode == 0 || s.ServicesPerNode > maxServicesPerNode):
		return fmt.Errorf("--serves %d: at most %d services per node are allowed on this plane", s.ServicesPerNode, maxServicesPerNode)
	}
	return nil
}

func (l *Layout) controlPath(n int) string {
	return filepath.Join(l.Dir, fmt.Sprintf("control-%d.toml", n))
}

// upstreams returns the upstreams of a control process, the preferred one first, and its setting follow.
func (l *Layout) upstreams(n int) (addresses []string, follow string) {
	region := l.controlRegion(n)
	if n >= l.Size.Regions {
		addresses = append(addresses, l.controlAddressFrom(region, region))
	}
	for root := range l.Size.Regions {
		if root != region {
			addresses = append(addresses, l.controlAddressFrom(region, root))
		}
	}
	if n < l.Size.Regions {
		return addresses, "all"
	}
	return addresses, "one"
}

func (distributionPlane) Prepare(l *Layout) error {
	for n := range l.Size.Control {
		upstreams, follow := l.upstreams(n)
		quoted := ""
		for i, u := range upstreams {
			if i > 0 {
				quoted += ", "
			}
			quoted += fmt.Sprintf("%q", u)
		}
		text := fmt.Sprintf("name = \"c%d\"\nregion = \"region-%d\"\nlisten = %q\ndisk = %q\nupstreams = [%s]\nfollow = %q\nplaintext = true\n",
			n, l.controlRegion(n), l.controlAddress(n), filepath.Join(l.Dir, fmt.Sprintf("control-%d.db", n)), quoted, follow)
		if err := os.WriteFile(l.controlPath(n), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (distributionPlane) Control(ctx context.Context, l *Layout, n int) error {
	cfg, err := control.Load(l.controlPath(n))
	if err != nil {
		return err
	}
	return control.Run(ctx, cfg, zerolog.New(os.Stderr).With().Timestamp().Logger())
}

func (distributionPlane) Configure(l *Layout, node int, cfg *proxy.Config) error {
	dir := filepath.Join(l.Dir, "entries", fmt.Sprint(node))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	cfg.Snapshot = nil // the distribution client stores the node's entries on disk
	c := &client.Config{Region: fmt.Sprint("region-", l.regionOf(node)), Zone: zoneName(l, l.zone(l.workerOf(node))), Directory: dir,
		StartTimeout: tomlfile.Duration(startTimeout), Plaintext: true}
	for _, s := range l.servicesOf(node) {
		c.Services = append(c.Services, serviceName(s))
	}
	for _, n := range l.preferred(node) {
		at := l.controlAddressFrom(l.regionOf(node), n)
		c.Control, c.Addresses = append(c.Control, at), append(c.Addresses, mustParseAddress(at))
	}
	cfg.Distribution = c
	return nil
}

// preferred returns the control processes in a node's configuration, by preference: the relays of its region, rotated by
// node, then the root of its region, then other roots and relays.
func (l *Layout) preferred(node int) (controls []int) {
	region := l.regionOf(node)
	var relays, others []int
	for n := range l.Size.Control {
		switch {
		case l.controlRegion(n) == region && n >= l.Size.Regions:
			relays = append(relays, n)
		case n != region:
			others = append(others, n)
		}
	}
	for i := range relays {
		controls = append(controls, relays[(i+node/l.Size.workers())%len(relays)])
	}
	controls = append(append(controls, region), others...)
	return controls[:min(len(controls), maxControlAddresses)]
}

func serviceName(service int) string { return fmt.Sprintf("svc%04d", service) }

// writer is a Source that writes changes at a control process. It fails over to another one when the connection is lost.
type writer struct {
	layout  *Layout
	config  *client.Config
	session *client.Session
}

func (distributionPlane) Source(l *Layout) (Source, error) {
	w := &writer{layout: l, config: &client.Config{Name: "writer", Plaintext: true}}
	for n := range min(l.Size.Control, maxControlAddresses) {
		at := l.controlAddress(n)
		w.config.Control, w.config.Addresses = append(w.config.Control, at), append(w.config.Addresses, mustParseAddress(at))
	}
	deadline := time.Now().Add(maxInitialWriteTime)
	for first := 0; first < l.Size.Servers; first += changesPerWrite {
		var changes []distribution.Change
		for i := first; i < min(first+changesPerWrite, l.Size.Servers); i++ {
			c, err := w.server(i, incarnation.Up)
			if err != nil {
				return nil, err
			}
			changes = append(changes, c)
		}
		if _, err := w.write(changes, deadline); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *writer) server(i int, condition incarnation.Condition) (distribution.Change, error) {
	e := (&standin{layout: w.layout}).entry(i, "")
	v, err := value.EncodeServer(incarnation.Entry{ID: e.ID, StartedUnixMS: e.StartedAt.UnixMilli(), Condition: condition, Address: e.Addresses[0], Zone: e.Site,
		MachineKind: e.MachineKind, Cell: e.Cell, Weight: 1})
	key := distribution.Key{Service: serviceName(i % w.layout.Size.Services), Kind: distribution.KindServer, Name: e.ID}
	return distribution.Change{Key: key, Value: v}, err
}

// write retries until a control process has acknowledged the changes or the deadline has passed. It returns the time at which
// the last attempt began.
func (w *writer) write(changes []distribution.Change, deadline time.Time) (began time.Time, err error) {
	for {
		began = time.Now()
		if w.session == nil {
			w.session, err = client.Open(context.Background(), w.config)
		}
		if w.session != nil {
			if _, err = w.session.Write(changes); err == nil {
				return began, nil
			}
			w.session.Close()
			w.session = nil
		}
		if time.Now().After(deadline) {
			return began, err
		}
		time.Sleep(writeRetryInterval)
	}
}

func (w *writer) Change(server int, draining bool) (time.Time, error) {
	condition := incarnation.Up
	if draining {
		condition = incarnation.Draining
	}
	c, err := w.server(server, condition)
	if err != nil {
		return time.Time{}, err
	}
	return w.write([]distribution.Change{c}, time.Now().Add(maxWriteTime))
}

func (w *writer) SetDown(bool) error { return errors.ErrUnsupported }

func (w *writer) Close() {
	if w.session != nil {
		w.session.Close()
	}
}
