// Package scenario holds what the testbed runs: a deployment of stand-ins, its load and the faults applied to it, read from
// a TOML file. Commands call Load or Parse, which set defaults and check the whole file; the testbed only reads the result.
// The package is data and checks, without state of its own. Files call servers boxes.
package scenario

import (
	"slices"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Span is a duration in a file, with its unit.
type Span = tomlfile.Duration

// Scenario is the content of one file.
type Scenario struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	// Base is a scenario of Names whose settings hold where this one sets none; its faults do not.
	Base string `toml:"base"`
	Seed uint64 `toml:"seed"`
	// Length is how long requests arrive. The run ends when the last has ended.
	Length    Span          `toml:"length"`
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
	// Operators are operator's files. Nodes start with the first; each reload takes the next.
	Operators []string `toml:"operators"`
	// Pairings runs the scenario with each pair of protocols of clients and servers, HTTP to HTTP first.
	Pairings bool `toml:"pairings"`
	// Baselines are policies to compare with on the same schedule, unless the command names some.
	Baselines []string `toml:"baselines"`
}

// Nodes are the processes under test, distributed over the sites in turn.
type Nodes struct {
	Count       int     `toml:"count"`
	Cores       float64 `toml:"cores"` // that each may use
	MemoryMB    int     `toml:"memory_mb"`
	Sockets     int     `toml:"sockets"`
	CrashNotice Span    `toml:"notice"` // until the connection balancer notices that one has crashed
}

// Planners configures the planners; without any, each node decides by itself.
type Planners struct {
	Count    int  `toml:"count"`
	Interval Span `toml:"every"` // between two plans
}

// Peers configures the replication of journals between nodes, if there are replicas. Each node is a machine of its own.
type Peers struct {
	Replicas    int  `toml:"replicas"`     // of each journal, on other nodes
	SlowAfter   Span `toml:"slow_after"`   // until a slow replica is replaced by another
	RepairBytes int  `toml:"repair_bytes"` // per second that a node copies to others in repairs
	Before      int  `toml:"before"`       // entries of an earlier run in the first node's journal, without replicas
}

// Journal configures the nodes' journals of non-idempotent requests; without a promise there are nchanged.
type Journal struct {
	Promise     string `toml:"promise"`      // process, machine or machines
	WhenFailing string `toml:"when_failing"` // deny or serve
	MaxWait     Span   `toml:"wait_most"`
}

// Registry configures a registry of ephemeral nodes in the place of discovery, if it has addresses.
type Registry struct {
	Addresses int  `toml:"addresses"`
	Session   Span `toml:"session"` // of servers and nodes
}

// Lists configures which servers nodes know when they start.
type EndpointLists struct {
	Start string `toml:"start"` // known: discovery's present list; kept: their stored list; none
	Age   Span   `toml:"age"`   // added to the age of a stored list
}

// Servers configures the servers of one kind, distributed over the sites in turn.
type Servers struct {
	Kind              string  `toml:"kind"`
	Count             int     `toml:"count"`
	Cores             int     `toml:"cores"`
	Speed             float64 `toml:"speed"` // of a core; work is stated for speed 1
	Queue             int     `toml:"queue"` // requests that may wait
	Connections       int     `toml:"connections"`
	Handshake         Span    `toml:"handshake"`   // work for each new connection
	SlowStartCapacity float64 `toml:"cold_share"`  // of its capacity at the begin of slow start
	SlowStartDuration Span    `toml:"cold_for"`    // length of slow start
	CacheGain         float64 `toml:"key_gain"`    // share of work that is saved for a cached key
	CacheDuration     Span    `toml:"key_for"`     // how long a key is cached
	CacheSize         int     `toml:"keys"`        // cached keys at most
	FastCGI           bool    `toml:"fastcgi"`     // servers speak FastCGI, not HTTP
	RejectsExpired    bool    `toml:"drops"`       // requests whose timeout passed in the queue are rejected
	GroupSize         int     `toml:"group_size"`  // servers of a cell, which share idempotency keys; 0: all are one cell
	ErrorRate         float64 `toml:"error_rate"`  // share answered with 500 after their work
	PauseEvery        Span    `toml:"pause_every"` // interval of pauses of the process; 0: none
	PauseFor          Span    `toml:"pause_for"`
}

// Type is a traffic type.
type Type struct {
	Name                 string  `toml:"name"`
	Path                 string  `toml:"path"` // of its requests; by default the name, twice
	Share                float64 `toml:"share"`
	Work                 Span    `toml:"work"` // mean, on a core of speed 1
	WorkDistribution     string  `toml:"dist"` // constant, exp or lognormal
	VariationCoefficient float64 `toml:"cv"`   // of lognormal
	LatencyObjective     Span    `toml:"target"`
	AbandonTime          Span    `toml:"abandon"`
	Revenue              float64 `toml:"revenue"`
	Repeat               string  `toml:"repeat"` // retriable (idempotent), fingerprinted (with a key) or binding (non-idempotent)
	KeyScope             string  `toml:"group"`  // of a keyed type: all, zone or cell
	KeyRetention         Span    `toml:"window"` // for which servers drop repeats of a key
	// Sites and kinds of server that it may be sent to; left out, all.
	OnlySites []string `toml:"only_sites"`
	OnlyKinds []string `toml:"only_kinds"`
}

// Tenant is a group of clients with an allowance.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`     // of the traffic
	Allowance float64 `toml:"allowance"` // requests per second; those beyond have less revenue. 0: unlimited
}

// Traffic configures how requests arrive.
type Traffic struct {
	Rate           float64 `toml:"rate"`   // requests per second
	Shape          string  `toml:"shape"`  // constant, poisson, bursts, ramp or wave
	Swing          float64 `toml:"swing"`  // share of the rate by which bursts, ramp and wave differ from it
	Period         Span    `toml:"period"` // of bursts and wave
	Keys           int     `toml:"keys"`   // distinct ones; 0: requests carry none
	Zipf           float64 `toml:"zipf"`   // exponent of the keys' popularity
	Skew           float64 `toml:"skew"`   // share of the traffic that the first site has beyond its even part
	Trace          string  `toml:"trace"`  // file of a recorded trace in the place of drawn requests
	OverageRevenue float64 `toml:"over"`   // share of its revenue that a request beyond its tenant's allowance has
}

// Clients configures clients that retry and give up.
type Clients struct {
	Retries        int     `toml:"retries"`
	Backoff        Span    `toml:"backoff"`
	TimeoutShare   float64 `toml:"gives_up"` // share of the abandon time that is the client's timeout
	FastCGI        bool    `toml:"fastcgi"`  // clients speak FastCGI, not HTTP
	DoublesBackoff bool    `toml:"doubling"` // each backoff is twice the one before
	// Leaves is the share of requests whose clients disconnect, after LeavesAt of the abandon time, and do not retry.
	// Half of them have sent bytes behind their request.
	DisconnectShare float64 `toml:"leaves"`
	DisconnectAfter float64 `toml:"leaves_at"`
}

// Net configures the latency between sites.
type Net struct {
	Cross Span `toml:"cross"` // one way, between two sites
	Same  Span `toml:"same"`
}

// Discovery configures the stand-in of discovery.
type Discovery struct {
	Notice       Span    `toml:"notice"`        // until it knows of an announced drain or end
	SilentNotice Span    `toml:"silent_notice"` // until it notices a crash
	Add          Span    `toml:"add"`           // until it knows of a start
	Spread       Span    `toml:"spread"`        // over which the notifications of a change are spread
	LinesPerS    float64 `toml:"lines_per_s"`
	CallLines    float64 `toml:"call_lines"`
	Timeout      Span    `toml:"timeout"`
}

// Rules configures the limits that the audit checks and nodes keep.
type Rules struct {
	DrainGrace     Span    `toml:"drain_grace"`
	DrainClose     Span    `toml:"drain_close"` // until idle connections to a draining server must be closed; 0: not required
	OverloadFactor float64 `toml:"fall_multiple"`
	OverloadWindow Span    `toml:"fall_window"`
	MaxAttempts    int     `toml:"most_hops"`
	AskWithin      Span    `toml:"ask_within"`
	AllowsHedging  bool    `toml:"copies"` // hedged requests are allowed
	Slack          Span    `toml:"slack"`  // added to each limit, for scheduling delay of the machine
}

// Fault is a fault that is applied at a given time. FaultKinds says what Size and Share mean.
type Fault struct {
	Kind    string   `toml:"kind"`
	At      Span     `toml:"at"`
	For     Span     `toml:"for"`
	Servers []string `toml:"boxes"` // names: kind-number, from 0
	Share   float64  `toml:"share"` // of the servers or nodes in the place of names, or of requests or traffic
	Nodes   []int    `toml:"nodes"`
	// Planners are numbers of planners; none: all.
	Planners []int `toml:"planners"`
	// Half is which nodes a fault of planners concerns: those with even (0) or odd (1) numbers.
	Half int     `toml:"half"`
	Site string  `toml:"site"`
	Size float64 `toml:"size"` // in the unit of the kind
	// When delays a fault until the Nth frame of this kind, one of FrameKinds, from or to the first of its nodes. The fault
	// is applied before the frame is forwarded.
	When string `toml:"when"`
	Nth  int    `toml:"nth"`
}

// FrameKinds are the frames between nodes that When may name.
var FrameKinds = []string{"beat", "news", "ask", "tell", "offer", "have", "batch", "ack"}

// End returns when the fault ends.
func (f Fault) End() time.Duration { return f.At.Std() + f.For.Std() }

// Scale multiplies the length of the scenario and the times of its faults.
func (s *Scenario) Scale(by float64) {
	scale := func(d *Span) { *d = Span(float64(*d) * by) }
	scale(&s.Length)
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].For)
	}
}

// WithDiscovery returns the scenario with discovery in the place of the registry, on the same load and without the
// registry's faults.
func (s *Scenario) WithDiscovery() *Scenario {
	changed := s.without(registry)
	changed.Registry = Registry{}
	return changed
}

// WithStartLists returns the scenario with another Lists.Start.
func (s *Scenario) WithStartLists(start string) *Scenario {
	changed := *s
	changed.Lists = EndpointLists{Start: start}
	return &changed
}

// WithoutPlanners returns the scenario without planners and their faults, on the same load.
func (s *Scenario) WithoutPlanners() *Scenario {
	changed := s.without(planners)
	changed.Planners = Planners{}
	return changed
}

// without returns the scenario without the faults of a target.
func (s *Scenario) without(removed target) *Scenario {
	changed := *s
	changed.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool {
		k, _ := KindOf(f.Kind)
		return k.target == removed
	})
	return &changed
}

// WithFastCGI returns the scenario with clients and servers that speak FastCGI, or HTTP.
func (s *Scenario) WithFastCGI(clients, servers bool) *Scenario {
	changed := *s
	changed.Clients.FastCGI = clients
	changed.Servers = slices.Clone(s.Servers)
	for i := range changed.Servers {
		changed.Servers[i].FastCGI = servers
	}
	return &changed
}
