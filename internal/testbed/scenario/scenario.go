// Package scenario is what the testbed plays: a deployment of stand-ins, its load, and the troubles that come to it, read
// from a TOML file. It is data and checks only.
package scenario

import (
	"slices"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Span is a duration as files write it.
type Span = tomlfile.Duration

// Scenario is one file.
type Scenario struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	// Base is a scenario of Names that this one starts from; its faults are not taken over.
	Base string `toml:"base"`
	Seed uint64 `toml:"seed"`
	// Length is how long requests arrive. What they leave open is waited for beyond it.
	Length    Span      `toml:"length"`
	Sites     []string  `toml:"sites"`
	Nodes     Nodes     `toml:"nodes"`
	Planners  Planners  `toml:"planners"`
	Journal   Journal   `toml:"journal"`
	Peers     Peers     `toml:"peers"`
	Registry  Registry  `toml:"registry"`
	Lists     Lists     `toml:"lists"`
	Servers   []Servers `toml:"boxes"`
	Types     []Type    `toml:"types"`
	Tenants   []Tenant  `toml:"tenants"`
	Load      Traffic   `toml:"load"`
	Clients   Clients   `toml:"clients"`
	Net       Net       `toml:"net"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Faults    []Fault   `toml:"faults"`
	// Operators are texts of operator's files. The nodes start under the first; each reload takes the next.
	Operators []string `toml:"operators"`
	// Pairings has the scenario played in each pairing of protocols of clients and servers, HTTP to HTTP first.
	Pairings bool `toml:"pairings"`
	// Baselines are played beside the node on the same schedule where the command does not say.
	Baselines []string `toml:"baselines"`
}

// Nodes are the processes under test, dealt out over the sites in turn.
type Nodes struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"` // each may use at a time
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Notice   Span    `toml:"notice"` // until the connection balancer finds out that one has died
}

// Planners are the upper level; without any each node decides by itself.
type Planners struct {
	Count int  `toml:"count"`
	Every Span `toml:"every"` // between two plans
}

// Peers have nodes know each other and hold replicas of each other's journals, where there are any replicas. Each node is a
// machine of its own.
type Peers struct {
	Replicas    int  `toml:"replicas"`     // how many others hold what a node keeps
	SlowAfter   Span `toml:"slow_after"`   // until another holder is taken in the place of a slow one
	RepairBytes int  `toml:"repair_bytes"` // a second that a node copies to others
	Before      int  `toml:"before"`       // entries of an earlier life that the first node begins with, held by nobody else
}

// Journal of non-idempotent requests that each node keeps; without a promise it keeps none.
type Journal struct {
	Promise     string `toml:"promise"`      // process, machine or machines
	WhenFailing string `toml:"when_failing"` // deny or serve
	MaxWait     Span   `toml:"wait_most"`
}

// Registry of ephemeral nodes in place of discovery, if it has addresses.
type Registry struct {
	Addresses int  `toml:"addresses"`
	Session   Span `toml:"session"` // of servers and nodes
}

// Lists are what nodes that start again know of the servers.
type Lists struct {
	Start string `toml:"start"` // known: the list as discovery has it, handed to them; kept: their own, from disk; none
	Age   Span   `toml:"age"`   // by which a kept list looks older than it is
}

// Servers are servers of one kind, dealt out over the sites in turn.
type Servers struct {
	Kind        string  `toml:"kind"`
	Count       int     `toml:"count"`
	Cores       int     `toml:"cores"`
	Speed       float64 `toml:"speed"` // of a core; work is stated for speed 1
	Queue       int     `toml:"queue"` // requests that may wait
	Connections int     `toml:"connections"`
	Handshake   Span    `toml:"handshake"`   // work for each new connection
	ColdShare   float64 `toml:"cold_share"`  // of its capacity right after a start
	ColdFor     Span    `toml:"cold_for"`    // until it is warm
	KeyGain     float64 `toml:"key_gain"`    // share of work that is saved for a key met lately
	KeyFor      Span    `toml:"key_for"`     // how long a key is remembered
	Keys        int     `toml:"keys"`        // how many are
	FastCGI     bool    `toml:"fastcgi"`     // it speaks FastCGI; else HTTP
	Drops       bool    `toml:"drops"`       // what is over before its turn is rejected
	GroupSize   int     `toml:"group_size"`  // servers that share what they know of fingerprints; 0: all of a kind
	ErrorRate   float64 `toml:"error_rate"`  // share answered with 500 after their work
	PauseEvery  Span    `toml:"pause_every"` // a pause of the process comes so often, 0: never
	PauseFor    Span    `toml:"pause_for"`
}

// Type is a traffic type.
type Type struct {
	Name    string  `toml:"name"`
	Path    string  `toml:"path"` // of its requests; by default the name, twice
	Share   float64 `toml:"share"`
	Work    Span    `toml:"work"` // mean, on a core of speed 1
	Dist    string  `toml:"dist"` // constant, exp or lognormal
	CV      float64 `toml:"cv"`   // of lognormal
	Target  Span    `toml:"target"`
	Abandon Span    `toml:"abandon"`
	Revenue float64 `toml:"revenue"`
	Repeat  string  `toml:"repeat"` // retriable, keyed or non-idempotent
	Group   string  `toml:"group"`  // of a keyed type: all, zone or cell
	Window  Span    `toml:"window"` // in which repeats are dropped there
	// Where it may be sent, and nowhere else; left out, anywhere.
	OnlySites []string `toml:"only_sites"`
	OnlyKinds []string `toml:"only_kinds"`
}

// Tenant is a member group.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`     // of the traffic
	Allowance float64 `toml:"allowance"` // requests a second; what is beyond is worth little. 0: no bound
}

// Traffic is how requests arrive.
type Traffic struct {
	Rate   float64 `toml:"rate"`   // a second
	Shape  string  `toml:"shape"`  // constant, poisson, bursts, ramp or wave
	Swing  float64 `toml:"swing"`  // share of the rate that bursts, ramp and wave add and take
	Period Span    `toml:"period"` // of bursts and wave
	Keys   int     `toml:"keys"`   // distinct ones; 0: requests carry none
	Zipf   float64 `toml:"zipf"`   // exponent of their popularity
	Skew   float64 `toml:"skew"`   // share of the traffic that the first site has beyond its part
	Trace  string  `toml:"trace"`  // a recorded trace in place of all this
	Over   float64 `toml:"over"`   // worth of a request beyond its tenant's allowance, as a share
}

// Clients are the usual ones.
type Clients struct {
	Retries  int     `toml:"retries"`
	Backoff  Span    `toml:"backoff"`
	GivesUp  float64 `toml:"gives_up"` // after this share of the abandon time
	FastCGI  bool    `toml:"fastcgi"`  // they speak FastCGI; else HTTP
	Exponent bool    `toml:"doubling"` // each wait is twice the one before
	// Leaves is the share of requests whose clients leave before their time is up, after LeavesAt of the abandon time;
	// half of them have sent on behind their request. They come once.
	Leaves   float64 `toml:"leaves"`
	LeavesAt float64 `toml:"leaves_at"`
}

// Net is the network between the sites.
type Net struct {
	Cross Span `toml:"cross"` // one way between two sites
	Same  Span `toml:"same"`
}

// Discovery is the service that lists servers.
type Discovery struct {
	Notice       Span    `toml:"notice"`        // until it knows of a drain or an end that was told to it
	SilentNotice Span    `toml:"silent_notice"` // of a death that nobody told
	Add          Span    `toml:"add"`           // of a start
	Spread       Span    `toml:"spread"`        // over which watchers hear of a change
	LinesPerS    float64 `toml:"lines_per_s"`
	CallLines    float64 `toml:"call_lines"`
	Timeout      Span    `toml:"timeout"`
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace   Span    `toml:"drain_grace"`
	DrainClose   Span    `toml:"drain_close"` // in which idle connections to a draining server are closed; 0: not asked for
	FallMultiple float64 `toml:"fall_multiple"`
	FallWindow   Span    `toml:"fall_window"`
	MaxAttempts  int     `toml:"most_hops"`
	AskWithin    Span    `toml:"ask_within"`
	Copies       bool    `toml:"copies"` // a hedged request may be out while the first is
	Slack        Span    `toml:"slack"`  // added to each time limit, for what the machine is late
}

// Fault is a trouble that comes at a stated time.
type Fault struct {
	Kind    string   `toml:"kind"`
	At      Span     `toml:"at"`
	For     Span     `toml:"for"`
	Servers []string `toml:"boxes"` // names: kind-number, counting from 0
	Share   float64  `toml:"share"` // of the servers or nodes in place of names, or of connections or traffic
	Nodes   []int    `toml:"nodes"`
	// Planners are named by their numbers; none: all.
	Planners []int `toml:"planners"`
	// Half of the nodes that a fault is for: those with even (0) or odd (1) numbers.
	Half int     `toml:"half"`
	Site string  `toml:"site"`
	Size float64 `toml:"size"` // how many times slower, or what share of the fleet or traffic remains
	// When has a fault wait, from its time on, until the Nth frame of a kind passes to or from the first of its nodes, and
	// come before it does: one of Steps.
	When string `toml:"when"`
	Nth  int    `toml:"nth"`
}

// Steps are frames between nodes at which a fault may come.
var Steps = []string{"beat", "news", "ask", "tell", "offer", "have", "batch", "ack"}

// End is when the fault is over.
func (f Fault) End() time.Duration { return f.At.Std() + f.For.Std() }

// Scale makes the scenario so many times as long, with its faults at the same parts of it.
func (s *Scenario) Scale(by float64) {
	scale := func(d *Span) { *d = Span(float64(*d) * by) }
	scale(&s.Length)
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].For)
	}
}

// Discovered is the scenario with discovery in place of the registry, on the same load and with the same troubles.
func (s *Scenario) Discovered() *Scenario {
	one := s.without(registry)
	one.Registry = Registry{}
	return one
}

// Started is the scenario with nodes that start with other lists.
func (s *Scenario) Started(with string) *Scenario {
	one := *s
	one.Lists = Lists{Start: with}
	return &one
}

// Single is the scenario with each node deciding by itself, on the same load and with the same troubles.
func (s *Scenario) Single() *Scenario {
	one := s.without(planners)
	one.Planners = Planners{}
	return one
}

// without leaves out the troubles of what the scenario is to be played without.
func (s *Scenario) without(on target) *Scenario {
	one := *s
	one.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool {
		k, _ := KindOf(f.Kind)
		return k.on == on
	})
	return &one
}

// Paired is the scenario with clients and servers that speak FastCGI, or HTTP.
func (s *Scenario) Paired(clients, boxes bool) *Scenario {
	p := *s
	p.Clients.FastCGI = clients
	p.Servers = slices.Clone(s.Servers)
	for i := range p.Servers {
		p.Servers[i].FastCGI = boxes
	}
	return &p
}
