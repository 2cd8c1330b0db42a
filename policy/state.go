package policy

import (
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
	"fernvane/internal/collections/indexset"
	"fernvane/internal/collections/intset"
	"fernvane/internal/collections/ranktree"
	"fernvane/policy/internal/failures"
	"fernvane/policy/internal/readiness"
	"fernvane/policy/internal/tenants"
)

// state of an operation.
type state uint8

const fresh, waiting, out, closed, states state = 0, 1, 2, 3, 4

// signal is what may move an operation on.
type signal uint8

const arrived, swept, won, lost, departed, signals signal = 0, 1, 2, 3, 4, 5

// row of the lifecycle table.
type row struct {
	in   state
	on   signal
	when func(*Policy, int) bool
	next state
	do   func(*Policy, int)
}

type hop struct {
	server      int
	sent        time.Duration
	ended, late bool // late: not in the window any more
}

type operation struct {
	state              state
	kind, room, bucket int
	tenant             int
	key                uint32
	came, target       time.Duration // answers after the target are worth nothing
	limit              time.Duration // the client is gone
	hops               []hop
	mayRun             bool
	again, doomed      bool          // the client repeats it; it failed by its own fault
	group              int           // server whose group must be kept, once mayRun
	firstRun           time.Duration // send of the first hop that may have run
	ended              Outcome       // of its last hop
	dispatched         int           // the last dispatch that looked at it
}

// shed is what was left to be denied when a bucket's turn came.
type shed struct {
	bucket     int
	worth, cut float64
}

// Policy is one instance of the decision module.
type Policy struct {
	set         Settings
	rows        [states][signals][]row
	seed, draws uint32
	now         time.Duration
	effects     []Effect

	ops   []operation
	open  intset.Set // operations in hand
	order []int      // buckets, the cheapest first

	// Servers, in parallel arrays under their index.
	members                       readiness.Table // which may be sent to, which are listed
	failures                      failures.Table  // by type; servers rest for one, or for all
	member, lost                  []bool          // member: taken in; lost: a connect failed
	rank, zone, machine, cell     []int           // machine: its kind
	inFlight, streak, pauses      []int
	strikes, soft, refused        []int     // failures in a row; what softRun counts; refusals in a row
	doubt                         []int     // steps down since the list dropped it
	scale, weight, due            []float64 // weight: scale, less while cold or slow; due: turns earned
	slowness                      []float64 // latency over what is usual for the type
	coldPace, part, pace          []float64 // hops a cold server may have; by a plan, see Share
	abandoned                     []float64 // hops given up that the server may still work on
	smoothed                      columns.Durations
	runStart, lastSpike           []time.Duration
	coldSince, interval, forecast []time.Duration // forecast: 0 if none
	abandonedSent                 []time.Duration // of the last of them
	answered                      []time.Duration // last sign of life while hops were out
	droppedAt                     []time.Duration // or its last answer since
	usedAt                        []time.Duration // notice, last send or outcome of one that is leaving
	onsets                        [][forecastWindow]float64
	records                       decay.Table         // how often hops to it failed
	byType, byKey                 []decay.FailureRate // the same of a sort
	breaks                        []decay.FailureRate // by type: servers that broke off a hop
	overall, turned, unconnected  decay.FailureRate   // how often all failed; were turned away as full; got no connection

	// What a walk over all servers would find.
	cold, shared indexset.Set  // shared: a plan names them
	leaving      indexset.Set  // connections to them are to be closed once more
	rotation     ranktree.Tree // all, in the order that all nodes share

	pool                               []int   // the servers taken in
	next, listedMost                   int     // place in rotation where the next joins; servers listed at a time
	need, dearest                      float64 // most hops out lately; revenue of the dearest type
	turn, pick, readyCount, dispatches int
	weights, scales, flying            float64         // of the pool; scales: cut to capacity only; flying: hops out
	usual, base                        []time.Duration // latency by type; the least of it lately: unloaded
	samples                            []float64       // answers by type, since the start
	answers                            bool            // to any type

	finished, grown           float64      // hops that would finish in time; answers made room for
	strain, blocked           float64      // time of hops over what they may take; share of time full
	admit, admitMost          float64      // share of the offered work let in; the most by a plan, or 0
	denyShare                 []float64    // by bucket: type, within or beyond its tenant's share
	rates, within             []float64    // arrivals per second by bucket; by a plan, by tenant
	busy                      indexset.Set // types that time changes something of: they had traffic lately
	shed                      []shed       // by the last tick, the cheapest first
	tenants                   tenants.Table
	allowances                float64   // of all tenants
	named                     int       // tenants from here on are unknown
	reallowed                 bool      // they are not those of the settings any more
	retries, copies           []float64 // by type: what is left of the budgets
	rooms, roomMost           []int     // operations with a hop out, and allowed, by room
	successes                 float64   // per second
	started, asked            bool
	lastSweep, askAt, askWait time.Duration
}
