package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

const (
	killGrace     = 700 * time.Millisecond  // time from the first SIGTERM or SIGINT to SIGKILL, in addition to Plan.Deadline
	connectWindow = 400 * time.Millisecond  // time after that signal during which clients open new connections
	warmUp        = 500 * time.Millisecond  // load before the first signals
	maxSignalLead = 300 * time.Millisecond  // maximum time by which a signal precedes the stop
	maxSignalLag  = 1200 * time.Millisecond // maximum time by which a signal follows the stop

	scarceSockets   = 200 // descriptors of a node in a run with idle clients
	idleClientCount = 220 // idle clients in such a run, more than the node has descriptors
	ampleSockets    = 1024
)

// timedSignal is a signal to the node, at a time relative to the stop.
type timedSignal struct {
	At     time.Duration
	Signal syscall.Signal
}

// Plan holds the parameters of a run, drawn from a seed.
type Plan struct {
	Seed           uint64
	Deadline       time.Duration // longest client timeout
	Clients        int
	MaxPause       time.Duration // longest pause of a client between requests
	FastCGIShare   float64       // share of clients that speak FastCGI
	PipelineRate   float64       // share of requests after which a client immediately pipelines another
	Servers        int
	HangRate       float64       // share of requests that servers do not answer
	MaxWork        time.Duration // longest service time of a request
	DrainServer    bool          // one server starts to drain when the node is stopped
	DiscoveryDown  bool          // discovery becomes unavailable when the node is stopped
	MovesDiscovery bool          // a reload changes discovery's address shortly before the stop
	HasJournal     bool
	HasIdleClients bool
	Signals        []timedSignal // ordered by time; the signal at time 0 is the stop
}

// NewPlan draws the plan for a seed. It is deterministic.
func NewPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	isDrawn := func(share float64) bool { return rng.Float64() < share }
	p := Plan{
		Seed:           seed,
		Deadline:       time.Second + upTo(2*time.Second),
		Clients:        8 + rng.IntN(33),
		MaxPause:       []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second}[rng.IntN(4)],
		FastCGIShare:   []float64{0, 0, 0.5}[rng.IntN(3)],
		PipelineRate:   []float64{0, 0.1}[rng.IntN(2)],
		Servers:        3 + rng.IntN(3),
		HangRate:       []float64{0, 0.01, 0.05}[rng.IntN(3)],
		MaxWork:        []time.Duration{2 * time.Millisecond, 20 * time.Millisecond}[rng.IntN(2)],
		DrainServer:    isDrawn(0.3),
		DiscoveryDown:  isDrawn(0.3),
		MovesDiscovery: isDrawn(0.3),
		HasJournal:     isDrawn(0.4),
		HasIdleClients: isDrawn(1.0 / 3),
	}
	for range rng.IntN(3) {
		p.Signals = append(p.Signals, timedSignal{-upTo(maxSignalLead), syscall.SIGHUP})
	}
	if p.MovesDiscovery {
		p.Signals = append(p.Signals, timedSignal{-upTo(maxSignalLead / 10), syscall.SIGHUP})
	}
	stops := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}
	p.Signals = append(p.Signals, timedSignal{0, stops[rng.IntN(len(stops))]})
	for range rng.IntN(4) {
		p.Signals = append(p.Signals, timedSignal{upTo(maxSignalLag), []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[rng.IntN(3)]})
	}
	sortSignals(p.Signals)
	return p
}

// Sockets returns the number of descriptors that the node may use.
func (p *Plan) Sockets() int {
	if p.HasIdleClients {
		return scarceSockets
	}
	return ampleSockets
}

// KillAfter returns the time from the stop until the node is killed.
func (p *Plan) KillAfter() time.Duration { return p.Deadline + killGrace }

// String returns the drawn parameters on one line.
func (p *Plan) String() string {
	var signals []string
	for _, s := range p.Signals {
		signals = append(signals, fmt.Sprintf("%s%+dms", s.Signal, s.At.Milliseconds()))
	}
	return fmt.Sprintf("deadline %s, %d clients (pause up to %s, FastCGI %.0f%%, pipelined %.0f%%), %d servers (work up to %s, %.0f%% hang, drain %v), discovery down %v, moves %v, journal %v, idle clients %v, signals %s",
		p.Deadline.Round(time.Millisecond), p.Clients, p.MaxPause, 100*p.FastCGIShare, 100*p.PipelineRate, p.Servers, p.MaxWork, 100*p.HangRate, p.DrainServer,
		p.DiscoveryDown, p.MovesDiscovery, p.HasJournal, p.HasIdleClients, strings.Join(signals, " "))
}
