// Package scenario defines the scenarios of the testbed: a deployment of nodes and stand-ins, its load and the faults
// applied to it. A scenario is read from a TOML file. Commands call Load or Parse, which set defaults and check the whole
// file; the testbed only reads the result. The package holds no state. Servers are called boxes in the files.
package scenario

import (
	"slices"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Duration is a duration in a scenario file, written with its unit.
type Duration = tomlfile.Duration

// Scenario is the content of one scenario file.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`
	// Base names an embedded scenario whose settings are the defaults of this one. Its description and faults are not inherited.
	Base string `toml:"base"`
	Seed uint64 `toml:"seed"`
	// Length is the time during which requests arrive. The run ends when the last request has ended.
	Length    Duration      `toml:"length"`
	Sites     []string      `toml:"sites"`
	Nodes     Nodes         `toml:"nodes"`
	Planners  Planners      `toml:"planners"`
	Journal   Journal       `toml:"journal"`
	Peers     Peers         `toml:"peers"`
	Registry  Registry      `toml:"registry"`
	Lists     EndpointLists `toml:"lists"`
	Servers   []Servers     `toml:"boxes"`
	Types     []Type        `toml:"types"`
	Tenants   []Tenant      `toml:"tenants"`
	Load      Traffic       `toml:"load"`
	Clients   Clients       `toml:"clients"`
	Net       Net           `toml:"net"`
	Discovery Discovery     `toml:"discovery"`
	Rules     Rules         `toml:"rules"`
	Faults    []Fault       `toml:"faults"`
	// Operators are contents of the operator's file. Nodes start with the first one; each reload uses the next.
	Operators []string `toml:"operators"`
	// Pairings runs the scenario with each combination of client and server protocol, HTTP to HTTP first.
	Pairings bool `toml:"pairings"`
	// Baselines are the policies to compare with on the same schedule, unless the command specifies others.
	Baselines []string `toml:"baselines"`
}

// Nodes configures the processes under test, which are distributed over the sites round-robin.
type Nodes struct {
	Count       int      `toml:"count"`
	Cores       float64  `toml:"cores"` // CPU limit of each
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	CrashNotice Duration `toml:"notice"` // time in which the connection balancer detects a crashed node
}

// Planners configures the planners. Without planners each node decides without a plan.
type Planners struct {
	Count    int      `toml:"count"`
	Interval Duration `toml:"every"` // between plans
}

// Peers configures the replication of journals between nodes, if there are replicas. Each node is a separate machine.
type Peers struct {
	Replicas       int      `toml:"replicas"`     // of each journal, at other nodes
	SlowAfter      Duration `toml:"slow_after"`   // delay after which a slow replica is replaced
	RepairBytes    int      `toml:"repair_bytes"` // bytes per second that a node sends to others in repairs
	EarlierEntries int      `toml:"before"`       // unreplicated entries of an earlier run in the first node's journal
}

// Journal configures the nodes' journals of non-idempotent requests. If Durability is empty, nodes have no journals.
type Journal struct {
	Durability  string   `toml:"promise"`      // process, machine or machines
	WhenFailing string   `toml:"when_failing"` // deny or serve
	MaxWait     Duration `toml:"wait_most"`    // of a request for its record to be stored
}

// Registry configures a registry of ephemeral nodes that replaces discovery, if it has addresses.
type Registry struct {
	Addresses int      `toml:"addresses"`
	Session   Duration `toml:"session"` // session timeout of servers and nodes
}

// EndpointLists configures the endpoint list with which nodes start.
type EndpointLists struct {
	Start string   `toml:"start"` // known (discovery's current list), kept (the stored list) or none
	Age   Duration `toml:"age"`   // added to the age of a stored list
}

// Servers configures the servers of one kind, which are distributed over the sites round-robin.
type Servers struct {
	Kind              string   `toml:"kind"`
	Count             int      `toml:"count"`
	Cores             int      `toml:"cores"`
	Speed             float64  `toml:"speed"` // of a core; Type.Work is the work at speed 1
	Queue             int      `toml:"queue"` // requests that can wait
	Connections       int      `toml:"connections"`
	Handshake         Duration `toml:"handshake"`   // work of each new connection
	SlowStartCapacity float64  `toml:"cold_share"`  // share of the capacity at the start of slow start
	SlowStartDuration Duration `toml:"cold_for"`    // duration of slow start
	CacheGain         float64  `toml:"key_gain"`    // share of the work that a cached key saves
	CacheDuration     Duration `toml:"key_for"`     // time for which a key is cached
	CacheSize         int      `toml:"keys"`        // maximum number of cached keys
	FastCGI           bool     `toml:"fastcgi"`     // servers speak FastCGI instead of HTTP
	RejectsExpired    bool     `toml:"drops"`       // requests whose timeout expired in the queue are rejected
	GroupSize         int      `toml:"group_size"`  // servers in a cell, which share idempotency keys; 0: all servers are one cell
	ErrorRate         float64  `toml:"error_rate"`  // share of requests answered with status 500 after their work
	PauseEvery        Duration `toml:"pause_every"` // interval between pauses of the process; 0: no pauses
	PauseFor          Duration `toml:"pause_for"`
}

// Type is a traffic type.
type Type struct {
	Name                 string   `toml:"name"`
	Path                 string   `toml:"path"` // of its requests; default: /NAME/NAME
	Share                float64  `toml:"share"`
	Work                 Duration `toml:"work"` // mean service time on a core of speed 1
	WorkDistribution     string   `toml:"dist"` // constant, exp or lognormal
	VariationCoefficient float64  `toml:"cv"`   // coefficient of variation of lognormal
	LatencyObjective     Duration `toml:"target"`
	AbandonTime          Duration `toml:"abandon"`
	Revenue              float64  `toml:"revenue"`
	Idempotency          string   `toml:"repeat"` // retriable (idempotent), fingerprinted (with a key) or binding (non-idempotent)
	KeyScope             string   `toml:"group"`  // scope of idempotency keys: all, zone or cell
	KeyRetention         Duration `toml:"window"` // time for which servers drop repeats of a key
	// Sites and kinds of servers that its requests may be sent to; absent: all.
	OnlySites []string `toml:"only_sites"`
	OnlyKinds []string `toml:"only_kinds"`
}

// Tenant is a group of clients with a rate allowance.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`     // of the traffic
	Allowance float64 `toml:"allowance"` // requests per second; requests beyond it earn less revenue. 0: unlimited
}

// Traffic configures the arrival of requests.
type Traffic struct {
	Rate           float64  `toml:"rate"`   // requests per second
	Shape          string   `toml:"shape"`  // constant, poisson, bursts, ramp or wave
	Swing          float64  `toml:"swing"`  // amplitude of bursts, ramp and wave as a share of the rate
	Period         Duration `toml:"period"` // of bursts and wave
	Keys           int      `toml:"keys"`   // number of distinct affinity keys; 0: requests have none
	Zipf           float64  `toml:"zipf"`   // exponent of the Zipf distribution of keys
	Skew           float64  `toml:"skew"`   // share of the traffic that goes to the first site before the rest is divided evenly
	Trace          string   `toml:"trace"`  // file with a recorded trace that replaces the drawn schedule
	OverageRevenue float64  `toml:"over"`   // share of its revenue that a request beyond its tenant's allowance earns
}

// Clients configures timeouts, retries and disconnects of clients.
type Clients struct {
	Retries        int      `toml:"retries"`
	Backoff        Duration `toml:"backoff"`
	TimeoutShare   float64  `toml:"gives_up"` // client's timeout as a share of the abandon time
	FastCGI        bool     `toml:"fastcgi"`  // clients speak FastCGI instead of HTTP
	DoublesBackoff bool     `toml:"doubling"` // each backoff is twice the previous one
	// DisconnectShare is the share of requests whose clients disconnect, after DisconnectAfter of the abandon time, and do
	// not retry. Half of these clients pipeline bytes after the request.
	DisconnectShare float64 `toml:"leaves"`
	DisconnectAfter float64 `toml:"leaves_at"`
}

// Net configures the latency of links to servers.
type Net struct {
	Cross Duration `toml:"cross"` // one way, between different sites
	Same  Duration `toml:"same"`  // one way, within a site
}

// Discovery configures the discovery stand-in.
type Discovery struct {
	Notice         Duration `toml:"notice"`        // time in which it detects an announced drain or exit
	SilentNotice   Duration `toml:"silent_notice"` // time in which it detects a crash
	Add            Duration `toml:"add"`           // time in which it detects a start
	Spread         Duration `toml:"spread"`        // time over which the notifications of a change are spread
	LinesPerSecond float64  `toml:"lines_per_s"`   // capacity; each entry of a response is one line
	CallLines      float64  `toml:"call_lines"`    // cost of a call in addition to its entries, in lines
	Timeout        Duration `toml:"timeout"`       // calls that would take longer are rejected
}

// Rules configures the limits that the audit checks and nodes comply with.
type Rules struct {
	DrainGrace             Duration `toml:"drain_grace"`   // time after the notification of a drain or removal in which attempts may still be sent
	DrainClose             Duration `toml:"drain_close"`   // time within which idle connections to a draining server must be closed; 0: no limit
	OverloadFactor         float64  `toml:"fall_multiple"` // multiple of its current capacity at which a server in slow start is overloaded
	OverloadWindow         Duration `toml:"fall_window"`   // over which its load is measured
	MaxAttempts            int      `toml:"most_hops"`     // of a try of a client
	RequestEndpointsWithin Duration `toml:"ask_within"`    // bounds the pause between a node's requests for the endpoint list
	AllowsHedging          bool     `toml:"copies"`        // hedged requests are allowed
	Slack                  Duration `toml:"slack"`         // added to each time limit but Type.KeyRetention, to allow for scheduling delays
}

// Fault is a fault that is applied at a given time. FaultKinds defines the meaning of Size and Share for each kind.
type Fault struct {
	Kind    string   `toml:"kind"`
	At      Duration `toml:"at"`
	For     Duration `toml:"for"`
	Servers []string `toml:"boxes"` // names, KIND-NUMBER; numbers start at 0
	Share   float64  `toml:"share"` // of the servers or nodes, if none is named, or of requests or traffic
	Nodes   []int    `toml:"nodes"`
	// Planners are numbers of planners; empty: all.
	Planners []int `toml:"planners"`
	// Half selects the nodes that a fault of planners affects: even (0) or odd (1) numbers.
	Half int     `toml:"half"`
	Site string  `toml:"site"`
	Size float64 `toml:"size"` // in the unit of the kind
	// When delays the fault until the Nth frame of this kind, one of FrameKinds, from or to the first of Nodes. The fault is
	// applied before the frame is forwarded.
	When string `toml:"when"`
	Nth  int    `toml:"nth"`
}

// FrameKinds lists the kinds of frames between nodes that Fault.When may name.
var FrameKinds = []string{"beat", "news", "ask", "tell", "offer", "have", "batch", "ack"}

// End returns when the fault ends.
func (f Fault) End() time.Duration { return f.At.Std() + f.For.Std() }

// Scale multiplies the length of the scenario and the times of its faults.
func (s *Scenario) Scale(factor float64) {
	scale := func(d *Duration) { *d = Duration(float64(*d) * factor) }
	scale(&s.Length)
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].For)
	}
}

// WithDiscovery returns the scenario with discovery instead of the registry, with the same load and without the
// registry's faults.
func (s *Scenario) WithDiscovery() *Scenario {
	changed := s.without(registry)
	changed.Registry = Registry{}
	return changed
}

// WithStartLists returns the scenario with the given value of Lists.Start.
func (s *Scenario) WithStartLists(start string) *Scenario {
	changed := *s
	changed.Lists = EndpointLists{Start: start}
	return &changed
}

// WithoutPlanners returns the scenario without planners and their faults, with the same load.
func (s *Scenario) WithoutPlanners() *Scenario {
	changed := s.without(planners)
	changed.Planners = Planners{}
	return changed
}

// without returns the scenario without the faults of one target.
func (s *Scenario) without(removed target) *Scenario {
	changed := *s
	changed.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool {
		kind, _ := KindOf(f.Kind)
		return kind.target == removed
	})
	return &changed
}

// WithFastCGI returns the scenario with clients and servers that speak FastCGI, or HTTP if the argument is false.
func (s *Scenario) WithFastCGI(clients, servers bool) *Scenario {
	changed := *s
	changed.Clients.FastCGI = clients
	changed.Servers = slices.Clone(s.Servers)
	for i := range changed.Servers {
		changed.Servers[i].FastCGI = servers
	}
	return &changed
}
