package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// The port of the accepting side identifies the kind of a connection when traffic is counted.
const (
	discoveryPort        = 18070 // discovery, for connections of nodes
	controlPort          = 18071 // control processes
	memberPort           = 18072 // nodes, for connections of other nodes
	regionLinkPort       = 18073 // forwarders between regions, whose connections can be cut
	discoveryControlPort = 18074 // discovery, for connections of control processes
	nodePort             = 18080 // nodes, for clients; a run has none
	reservationPort      = 18090 // listened on by the tool while it uses the network, so that runs never share one
	firstNetwork         = 2
	lastNetwork          = 15 // higher ones are used by package loopback
	maxMarkers           = 64 // only these servers change during a run, and nodes record changes of only these
	discoveryHost        = 251
	controlHost          = 252
	regionLinkHost       = 253
	nodesPerSubnet       = 240
)

// Layout assigns addresses, services, zones and file names to the parts of a run.
type Layout struct {
	Size    Size   `json:"size"`
	Network int    `json:"net"` // second number of all addresses: 127.Network.x.y
	Dir     string `json:"dir"`
}

func (l *Layout) address(x, y, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.Network, x, y, port)
}

func (l *Layout) nodeAddress(node, port int) string {
	return l.address(node/nodesPerSubnet, 1+node%nodesPerSubnet, port)
}
func (l *Layout) discoveryAddress(port int) string { return l.address(discoveryHost, 1, port) }
func (l *Layout) controlAddress(n int) string      { return l.address(controlHost, 1+n, controlPort) }

// regionLinkAddress returns the forwarder address at which a region reaches a control process of another region.
func (l *Layout) regionLinkAddress(region, n int) string {
	return l.address(regionLinkHost, 1+region*64+n, regionLinkPort)
}

// zone returns the zone of a node process. Processes are assigned to zones, zones and control processes to regions, and nodes to
// processes in rotation.
func (l *Layout) zone(worker int) int     { return worker % l.Size.Zones }
func (l *Layout) region(zone int) int     { return zone % l.Size.Regions }
func (l *Layout) controlRegion(n int) int { return n % l.Size.Regions }
func (l *Layout) workerOf(node int) int   { return node % l.Size.workers() }

// regionOf returns the region of a node.
func (l *Layout) regionOf(node int) int { return l.region(l.zone(l.workerOf(node))) }

// nodesOf returns the nodes of a process.
func (l *Layout) nodesOf(worker int) (nodes []int) {
	for n := worker; n < l.Size.Nodes; n += l.Size.workers() {
		nodes = append(nodes, n)
	}
	return nodes
}

// servicesOf returns the services that a node serves.
func (l *Layout) servicesOf(node int) (services []int) {
	perNode := l.servicesPerNode()
	for i := range perNode {
		services = append(services, (node*perNode+i)%l.Size.Services)
	}
	return services
}

func (l *Layout) servicesPerNode() int {
	if l.Size.ServicesPerNode == 0 || !planes[l.Size.Plane].Scoped() {
		return l.Size.Services
	}
	return l.Size.ServicesPerNode
}

// isServed reports whether a node receives a server's entry.
func (l *Layout) isServed(node, server int) bool {
	n := l.Size.Services
	return ((server-node*l.servicesPerNode())%n+n)%n < l.servicesPerNode()
}

// serversOf returns the number of servers that a node receives.
func (l *Layout) serversOf(node int) (count int) {
	for _, s := range l.servicesOf(node) {
		count += (l.Size.Servers - s + l.Size.Services - 1) / l.Size.Services
	}
	return count
}

// mustParseAddress parses an address of the layout.
func mustParseAddress(address string) netip.AddrPort { return netip.MustParseAddrPort(address) }

// controlAddressFrom returns the address at which a region reaches a control process: that of the process, or of a forwarder if the
// process is in another region and the run partitions regions.
func (l *Layout) controlAddressFrom(region, n int) string {
	if l.controlRegion(n) == region || l.Size.Event != RegionPartition {
		return l.controlAddress(n)
	}
	return l.regionLinkAddress(region, n)
}

// controlsFor returns the addresses at which a region reaches the control processes, those of the region itself first.
func (l *Layout) controlsFor(region int) (addresses []string) {
	for _, isLocal := range []bool{true, false} {
		for n := range l.Size.Control {
			if (l.controlRegion(n) == region) == isLocal {
				addresses = append(addresses, l.controlAddressFrom(region, n))
			}
		}
	}
	return addresses
}

// markers returns the number of servers that change during a run. They have the lowest numbers.
func (l *Layout) markers() int { return min(maxMarkers, l.Size.Servers) }

func serverID(services, i int) string { return fmt.Sprintf("svc%04d-srv-%06d", i%services, i) }

func zoneName(l *Layout, zone int) string {
	return fmt.Sprintf("region-%d-zone-%d", l.region(zone), zone)
}

// reserveNetwork reserves a loopback network that no other run uses, until the returned listener is closed.
func reserveNetwork() (network int, reservation net.Listener, err error) {
	for n := firstNetwork; n <= lastNetwork; n++ {
		if reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, reservationPort)); err == nil {
			return n, reservation, nil
		}
	}
	return 0, nil, fmt.Errorf("reserve loopback network: all are in use: %v", err)
}

type object = map[string]any

func (l *Layout) configPath() string   { return filepath.Join(l.Dir, "node.json") }
func (l *Layout) operatorPath() string { return filepath.Join(l.Dir, "operator.toml") }
func (l *Layout) plannersPath(r int) string {
	return filepath.Join(l.Dir, fmt.Sprintf("planners-%d.toml", r))
}
func (l *Layout) snapshotDir(n int) string   { return filepath.Join(l.Dir, "lists", fmt.Sprint(n)) }
func (l *Layout) dataDir(n int) string       { return filepath.Join(l.Dir, "held", fmt.Sprint(n)) }
func (l *Layout) planPath(n int) string      { return filepath.Join(l.Dir, fmt.Sprintf("plan-%d.toml", n)) }
func (l *Layout) logPath(name string) string { return filepath.Join(l.Dir, name+".log") }

// write writes the files that all nodes share.
func (l *Layout) write() error {
	types := []object{}
	for _, t := range []struct {
		name, idempotency string
		target            int
	}{{"svc0000", "safe", 200}, {"svc0001", "keyed", 400}, {"svc0002", "unsafe", 800}} {
		types = append(types, object{"name": t.name, "targetTime": t.target, "abandonTime": 4 * t.target, "window": 2000, "revenue": 1,
			"keyScope": "all", "idempotency": t.idempotency})
	}
	tenants, zones := []object{}, []string{}
	for i := range l.Size.Tenants {
		tenants = append(tenants, object{"name": fmt.Sprintf("tenant-%06d", i), "allowancePerS": 8.5})
	}
	for z := range l.Size.Zones {
		zones = append(zones, zoneName(l, z))
	}
	text, err := json.Marshal(object{"name": "n", "listen": l.address(0, 1, nodePort), "discovery": l.discoveryAddress(discoveryPort),
		"limits": object{"memory_mb": 128, "sockets": 256},
		"settings": object{"groupSize": l.Size.Nodes, "granularity": 2, "discovery": "on_request", "overageRevenue": 0.3, "dcs": zones,
			"trafficTypes": types, "tenants": tenants, "limits": object{"connIdle": 5000, "connectTimeout": 100, "mostHops": 3},
			"rules": object{"askWithin": 2000, "stopSendingWithin": 500, "cold": 5000, "fallMultiple": 2, "startCapacity": 0.3}}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.configPath(), text, 0o644); err != nil {
		return err
	}
	return l.writeRoutes(0)
}

// writeRoutes writes the operator's file. The rate of the first route differs between revisions.
func (l *Layout) writeRoutes(revision int) error {
	if l.Size.Routes == 0 {
		return nil
	}
	var b strings.Builder
	for i := range l.Size.Routes {
		rate := 100 + i%50
		if i == 0 {
			rate += revision
		}
		fmt.Fprintf(&b, "[[routes]]\nname = \"route-%05d\"\ntype = \"svc000%d\"\npath = \"/svc000%d/p%05d/**\"\nrate = %d\nat_once = 40\n\n",
			i, i%3, i%3, i, rate)
	}
	next := l.operatorPath() + ".new"
	if err := os.WriteFile(next, []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(next, l.operatorPath())
}
