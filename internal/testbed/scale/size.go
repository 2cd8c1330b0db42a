// Package scale plays the control side of a fleet at full size on one machine: hollow nodes, which are nodes as they ship
// without clients and servers, many to a process, under real control processes and on real loopback connections. It
// measures what each role pays at rest, for changes and in events.
package scale

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"
)

// Size is what is played.
type Size struct {
	Nodes           int           `json:"nodes"`
	Servers         int           `json:"servers"`
	Services        int           `json:"services"`
	ServicesPerNode int           `json:"serves,omitempty"` // services of a node, where the plane sends it no others; 0: all
	Routes          int           `json:"routes"`
	Tenants         int           `json:"tenants"`
	Regions         int           `json:"regions"`
	Zones           int           `json:"zones"`              // in all regions together
	Control         int           `json:"control"`            // control processes
	Churn           float64       `json:"churn"`              // changed servers a second
	Restarts        float64       `json:"restarts,omitempty"` // processes of nodes killed and started again, a second
	Plane           string        `json:"plane"`
	Event           string        `json:"event"`
	PhaseDuration   time.Duration `json:"for_ns"` // each phase
	Seed            uint64        `json:"seed"`
	Membership      bool          `json:"membership"`
	Snapshots       bool          `json:"snapshots"`
}

// Bounds and estimates. What a node holds is estimated a little above what runs have measured; each run is watched as well.
const (
	maxProcesses    = 200
	maxNodes        = 60_000 // addresses that a net has for them
	maxServers      = 400_000
	nodesPerProcess = 40
	maxRestarts     = 10  // a second: one takes some tenths of a second, and the next waits for it
	memoryShare     = 0.5 // of the machine's
	processBytes    = 12 << 20
	nodeBytes       = 350 << 10
	serverBytes     = 1_500 // of a server at a node or a control process, collector's slack included
	routeBytes      = 3_000
	tenantBytes     = 500
	subscriberBytes = 600 << 10 // of a node under control processes, beside what it holds of servers once more
	membershipBytes = 7 << 20   // of a node in a tier, whose connections have buffers
	memberBytes     = 700       // of another one that it knows
	connectionBytes = 64e3      // of a control process's connection to a node
)

// Check tells in one line what is wrong with a size, without a look at the machine.
func (s *Size) Check() error {
	for _, f := range []struct {
		name  string
		value int
		least int
		top   int
	}{
		{"nodes", s.Nodes, 1, maxNodes}, {"servers", s.Servers, 1, maxServers}, {"services", s.Services, 1, maxServers}, {"serves", s.ServicesPerNode, 0, s.Services},
		{"routes", s.Routes, 0, 1_000_000}, {"tenants", s.Tenants, 0, 1_000_000}, {"regions", s.Regions, 1, 16},
		{"zones", s.Zones, s.Regions, 64}, {"control", s.Control, 1, 64},
	} {
		if f.value < f.least || f.value > f.top {
			return fmt.Errorf("--%s %d: from %d to %d", f.name, f.value, f.least, f.top)
		}
	}
	if s.Churn < 0 || s.Churn > 1000 {
		return fmt.Errorf("--churn %g: from 0 to 1000 a second", s.Churn)
	}
	if s.Restarts < 0 || s.Restarts > maxRestarts {
		return fmt.Errorf("--restarts %g: from 0 to %d processes a second", s.Restarts, maxRestarts)
	}
	if s.PhaseDuration < time.Second || s.PhaseDuration > time.Hour {
		return fmt.Errorf("--for %s: from 1s to 1h", s.PhaseDuration)
	}
	if _, ok := planes[s.Plane]; !ok {
		return fmt.Errorf("--plane %s: one of %s", s.Plane, strings.Join(Planes(), ", "))
	}
	if err := s.checkEvent(); err != nil {
		return err
	}
	return planes[s.Plane].Check(s)
}

// workers is how many processes share the nodes: as many in each zone, two at least, so that one is a rack.
func (s *Size) workers() int {
	each := max((s.Nodes+s.Zones*nodesPerProcess-1)/(s.Zones*nodesPerProcess), 2)
	return min(each*s.Zones, max(s.Nodes, s.Zones))
}

// Processes is how many processes a size takes.
func (s *Size) Processes() int {
	n := 1 + s.workers() + 1 // the tool, and discovery's side
	if s.controls() {
		n += s.Control
	}
	if s.Event == RegionPartition {
		n++
	}
	return n
}

func (s *Size) controls() bool { return planes[s.Plane].Controls() }

// Memory estimates what a size takes, in bytes.
func (s *Size) Memory() float64 {
	n := float64(s.Nodes)
	servers := float64(s.Servers) // that a node holds
	if s.ServicesPerNode > 0 && planes[s.Plane].Scoped() {
		servers *= float64(s.ServicesPerNode) / float64(s.Services)
	}
	held := servers*serverBytes + float64(s.Routes)*routeBytes + float64(s.Tenants)*tenantBytes
	sum := float64(s.Processes())*processBytes + n*(nodeBytes+held)
	if s.Membership {
		sum += n*membershipBytes + n*n*memberBytes
	}
	if s.controls() {
		sum += n * (subscriberBytes + servers*serverBytes)
		links := n * float64(s.Control)
		if planes[s.Plane].Scoped() {
			links = n // each node follows one control process
		}
		sum += links*connectionBytes + float64(s.Control)*(n+serverBytes)*float64(s.Servers)
	}
	return sum
}

// Fits refuses a size that takes more than half of the machine's memory or too many processes.
func (s *Size) Fits(memory float64) error {
	if n := s.Processes(); n > maxProcesses {
		return fmt.Errorf("%d processes are needed: %d at most", n, maxProcesses)
	}
	if need := s.Memory(); need > memoryShare*memory {
		return fmt.Errorf("about %.1f GB of memory are needed: half of this machine's are %.1f", need/1e9, memoryShare*memory/1e9)
	}
	return nil
}

// Machine is where a run was made.
type Machine struct {
	Cores  int     `json:"cores"`
	Memory float64 `json:"memory_bytes"`
	Load   float64 `json:"load_before"` // of the last minute: what ran beside
	Go     string  `json:"go"`
}

// ThisMachine looks at the one that the tool runs on.
func ThisMachine() (Machine, error) {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return m, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb float64
		if n, _ := fmt.Sscanf(lines.Text(), "MemTotal: %f kB", &kb); n == 1 {
			m.Memory = kb * 1024
		}
	}
	if m.Memory == 0 {
		return m, fmt.Errorf("/proc/meminfo tells no total")
	}
	load, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(load), &m.Load)
	}
	return m, nil
}
