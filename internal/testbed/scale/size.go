// Package scale runs the control plane of a fleet at full size on one machine. Hollow nodes, which are complete nodes without
// clients and servers, share processes; control processes run one to a process; all connections are real TCP connections on
// loopback. A run measures bytes, messages, CPU and memory of each role when idle, under changes and during events.
//
// Run coordinates the processes of a run. It starts each one from the same binary by WorkerCommand, sends it orders on
// standard input and receives its announcements on standard output.
package scale

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"
)

// Size is the size and shape of a run.
type Size struct {
	Nodes           int           `json:"nodes"`
	Servers         int           `json:"servers"`
	Services        int           `json:"services"`
	ServicesPerNode int           `json:"serves,omitempty"` // services of a node, on planes that send a node only its services; 0: all
	Routes          int           `json:"routes"`
	Tenants         int           `json:"tenants"`
	Regions         int           `json:"regions"`
	Zones           int           `json:"zones"`              // sum over all regions
	Control         int           `json:"control"`            // control processes
	Churn           float64       `json:"churn"`              // changed servers per second, at most
	Restarts        float64       `json:"restarts,omitempty"` // node processes killed and started again per second
	Plane           string        `json:"plane"`
	Event           string        `json:"event"`
	PhaseDuration   time.Duration `json:"for_ns"` // duration of each phase
	Seed            uint64        `json:"seed"`
	Membership      bool          `json:"membership"`
	Snapshots       bool          `json:"snapshots"`
}

// Limits of a size and estimates of its memory. The estimates are slightly above measured figures; the memory of each run is
// monitored as well.
const (
	maxProcesses    = 200
	maxNodes        = 60_000 // addresses of a loopback network that are reserved for nodes
	maxServers      = 400_000
	nodesPerProcess = 40
	maxRestarts     = 10  // per second: a restart takes some tenths of a second, and restarts are sequential
	memoryShare     = 0.5 // of the machine's memory
	processBytes    = 12 << 20
	nodeBytes       = 350 << 10
	serverBytes     = 1_500 // of a server at a node or a control process, with the garbage collector's overhead
	routeBytes      = 3_000
	tenantBytes     = 500
	subscriberBytes = 600 << 10 // of a node that follows control processes, in addition to its second copy of servers
	membershipBytes = 7 << 20   // of a node with membership, mostly connection buffers
	memberBytes     = 700       // of each other member at a node
	connectionBytes = 64e3      // of a connection between a control process and a node
)

// Check returns an error of one line if a size is invalid on any machine.
func (s *Size) Check() error {
	for _, f := range []struct {
		name  string
		value int
		min   int
		max   int
	}{
		{"nodes", s.Nodes, 1, maxNodes}, {"servers", s.Servers, 1, maxServers}, {"services", s.Services, 1, maxServers}, {"serves", s.ServicesPerNode, 0, s.Services},
		{"routes", s.Routes, 0, 1_000_000}, {"tenants", s.Tenants, 0, 1_000_000}, {"regions", s.Regions, 1, 16},
		{"zones", s.Zones, s.Regions, 64}, {"control", s.Control, 1, 64},
	} {
		if f.value < f.min || f.value > f.max {
			return fmt.Errorf("--%s %d: want %d to %d", f.name, f.value, f.min, f.max)
		}
	}
	if s.Churn < 0 || s.Churn > 1000 {
		return fmt.Errorf("--churn %g: want 0 to 1000 per second", s.Churn)
	}
	if s.Restarts < 0 || s.Restarts > maxRestarts {
		return fmt.Errorf("--restarts %g: want 0 to %d processes per second", s.Restarts, maxRestarts)
	}
	if s.PhaseDuration < time.Second || s.PhaseDuration > time.Hour {
		return fmt.Errorf("--for %s: want 1s to 1h", s.PhaseDuration)
	}
	if _, ok := planes[s.Plane]; !ok {
		return fmt.Errorf("--plane %s: want one of %s", s.Plane, strings.Join(Planes(), ", "))
	}
	if err := s.checkEvent(); err != nil {
		return err
	}
	return planes[s.Plane].Check(s)
}

// workers returns the number of node processes: the same in each zone, and at least two, so that one process can stand for a
// rack.
func (s *Size) workers() int {
	each := max((s.Nodes+s.Zones*nodesPerProcess-1)/(s.Zones*nodesPerProcess), 2)
	return min(each*s.Zones, max(s.Nodes, s.Zones))
}

// Processes returns the number of processes that a size needs.
func (s *Size) Processes() int {
	n := 1 + s.workers() + 1 // the tool and the discovery process
	if s.controls() {
		n += s.Control
	}
	if s.Event == RegionPartition {
		n++
	}
	return n
}

func (s *Size) controls() bool { return planes[s.Plane].Controls() }

// Memory estimates the memory of a size in bytes.
func (s *Size) Memory() float64 {
	n := float64(s.Nodes)
	servers := float64(s.Servers) // at a node
	if s.ServicesPerNode > 0 && planes[s.Plane].Scoped() {
		servers *= float64(s.ServicesPerNode) / float64(s.Services)
	}
	state := servers*serverBytes + float64(s.Routes)*routeBytes + float64(s.Tenants)*tenantBytes
	sum := float64(s.Processes())*processBytes + n*(nodeBytes+state)
	if s.Membership {
		sum += n*membershipBytes + n*n*memberBytes
	}
	if s.controls() {
		sum += n * (subscriberBytes + servers*serverBytes)
		connections := n * float64(s.Control) // each node connects to all control processes
		if planes[s.Plane].Scoped() {
			connections = n // each node follows one control process
		}
		sum += connections*connectionBytes + float64(s.Control)*(n+serverBytes)*float64(s.Servers)
	}
	return sum
}

// Fits returns an error if a size needs more than half of the machine's memory or too many processes.
func (s *Size) Fits(memory float64) error {
	if n := s.Processes(); n > maxProcesses {
		return fmt.Errorf("size needs %d processes: at most %d are allowed", n, maxProcesses)
	}
	if need := s.Memory(); need > memoryShare*memory {
		return fmt.Errorf("size needs about %.1f GB of memory: half of this machine's memory is %.1f GB", need/1e9, memoryShare*memory/1e9)
	}
	return nil
}

// Machine describes the machine of a run.
type Machine struct {
	Cores  int     `json:"cores"`
	Memory float64 `json:"memory_bytes"`
	Load   float64 `json:"load_before"` // load average of the last minute before the run
	Go     string  `json:"go"`
}

// ThisMachine describes the machine that the tool runs on.
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
		return m, fmt.Errorf("read /proc/meminfo: MemTotal is missing")
	}
	load, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(load), &m.Load)
	}
	return m, nil
}
