package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

const (
	killGrace     = 700 * time.Millisecond // SIGKILL comes the longest deadline and this after the first SIGTERM or SIGINT
	connectWindow = 400 * time.Millisecond // for which new connections come after that signal
	warmUp        = 500 * time.Millisecond // of load before the first signals
	maxSignalLead = 300 * time.Millisecond // of signals before the stop
	maxSignalLag  = 1200 * time.Millisecond

	scarceSockets   = 200 // descriptors of a node in a run with a crowd
	idleClientCount = 220 // idle clients of such a run
	ampleSockets    = 1024
)

// timedSignal is a signal to the node, at a time counted from the stop.
type timedSignal struct {
	At     time.Duration
	Signal syscall.Signal
}

// Plan is all that a seed draws for a run.
type Plan struct {
	Seed           uint64
	Deadline       time.Duration // the longest for which a client waits
	Clients        int
	MaxPause       time.Duration // of a client between two requests
	FastCGIShare   float64       // of the clients
	PipelineRate   float64       // share of requests behind which a client sends another at once
	Servers        int
	HangRate       float64       // share of requests that a server never answers
	MaxWork        time.Duration // of a request at a server
	DrainServer    bool          // a server drains as the node stops
	DiscoveryDown  bool          // discovery is down as the node stops
	MovesDiscovery bool          // a reload changes discovery's address just before the stop
	HasJournal     bool
	HasIdleClients bool
	Signals        []timedSignal // in order; one of them, at 0, is the stop
}

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64) Plan {
	chance := rand.New(rand.NewPCG(seed, 0x50a4))
	upTo := func(d time.Duration) time.Duration { return time.Duration(chance.Int64N(int64(d))) }
	isDrawn := func(share float64) bool { return chance.Float64() < share }
	p := Plan{
		Seed:           seed,
		Deadline:       time.Second + upTo(2*time.Second),
		Clients:        8 + chance.IntN(33),
		MaxPause:       []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second}[chance.IntN(4)],
		FastCGIShare:   []float64{0, 0, 0.5}[chance.IntN(3)],
		PipelineRate:   []float64{0, 0.1}[chance.IntN(2)],
		Servers:        3 + chance.IntN(3),
		HangRate:       []float64{0, 0.01, 0.05}[chance.IntN(3)],
		MaxWork:        []time.Duration{2 * time.Millisecond, 20 * time.Millisecond}[chance.IntN(2)],
		DrainServer:    isDrawn(0.3),
		DiscoveryDown:  isDrawn(0.3),
		MovesDiscovery: isDrawn(0.3),
		HasJournal:     isDrawn(0.4),
		HasIdleClients: isDrawn(1.0 / 3),
	}
	for range chance.IntN(3) {
		p.Signals = append(p.Signals, timedSignal{-upTo(maxSignalLead), syscall.SIGHUP})
	}
	if p.MovesDiscovery {
		p.Signals = append(p.Signals, timedSignal{-upTo(maxSignalLead / 10), syscall.SIGHUP})
	}
	stops := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}
	p.Signals = append(p.Signals, timedSignal{0, stops[chance.IntN(len(stops))]})
	for range chance.IntN(4) {
		p.Signals = append(p.Signals, timedSignal{upTo(maxSignalLag), []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[chance.IntN(3)]})
	}
	sortSignals(p.Signals)
	return p
}

// Sockets returns how many descriptors the node has.
func (p *Plan) Sockets() int {
	if p.HasIdleClients {
		return scarceSockets
	}
	return ampleSockets
}

// KillAfter returns when the node is killed, counted from the stop.
func (p *Plan) KillAfter() time.Duration { return p.Deadline + killGrace }

// String lists what was drawn, on one line.
func (p *Plan) String() string {
	var signals []string
	for _, s := range p.Signals {
		signals = append(signals, fmt.Sprintf("%s%+dms", s.Signal, s.At.Milliseconds()))
	}
	return fmt.Sprintf("deadline %s, %d clients (pause up to %s, FastCGI %.0f%%, pipelined %.0f%%), %d servers (work up to %s, %.0f%% hang, drain %v), discovery down %v, moves %v, journal %v, crowd %v, signals %s",
		p.Deadline.Round(time.Millisecond), p.Clients, p.MaxPause, 100*p.FastCGIShare, 100*p.PipelineRate, p.Servers, p.MaxWork, 100*p.HangRate, p.DrainServer,
		p.DiscoveryDown, p.MovesDiscovery, p.HasJournal, p.HasIdleClients, strings.Join(signals, " "))
}
