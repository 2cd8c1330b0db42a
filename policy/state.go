package policy

import (
	"time"

	"fernvane/internal/activeset"
	"fernvane/internal/ordered"
)

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
	place, pumped      int           // in Policy.open; the last pump that looked at it
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

	ops         []operation
	open, order []int // operations in hand; buckets, the cheapest first

	// Servers, in parallel arrays under their index.
	ready, listed, member, lost   []bool // ready: may be sent to; member: taken in; lost: a connect failed
	labels                        []uint64
	rank, zone, cell              []int
	inFlight, streak, pauses      []int
	strikes, soft, refused        []int     // failures in a row; what softRun counts; refusals in a row
	doubt                         []int     // steps down since the list dropped it
	scale, weight, due            []float64 // weight: scale, less while cold or slow; due: turns earned
	slowness                      []float64 // latency over what is usual for the type
	coldPace, part, pace          []float64 // hops a cold server may have; by a plan, see Share
	ghosts                        []float64 // hops given up that the server may still work on
	smoothed, runStart, lastSpike []time.Duration
	coldSince, interval, forecast []time.Duration // forecast: 0 if none
	ghostSent, restUntil          []time.Duration // the last ghost
	answered                      []time.Duration // last sign of life while hops were out
	droppedAt                     []time.Duration // or its last answer since
	troubles                      [][]trouble     // by type, in no order
	onsets                        [][forecastWindow]float64
	records, byType, byKey        []record // how often hops to it failed, or of a sort
	breaks                        []record // by type: servers that broke off a hop
	overall, turned               record   // how often all failed; were turned away as full

	// What a walk over all servers would find.
	cold, dropped    activeset.Set // dropped: not listed, and may yet be sent to
	shared, troubled activeset.Set // a plan names them; they have troubles, or rest
	judged           activeset.Set // something is on record of them
	rotation         ordered.Index // all, in the order that all nodes share
	before           []bool        // whether it was listed before the list numbered in heard
	heard            []int
	lists            int
	readyNow         int     // readyCount is as of the last weighing
	labelled         [64]int // ready servers by label
	listedNow        int
	smoothedSum      time.Duration

	pool                          []int   // the servers taken in
	next, listedMost              int     // place in rotation where the next joins; servers listed at a time
	need, dearest                 float64 // most hops out lately; revenue of the dearest type
	turn, pick, readyCount, pumps int
	weights, scales, flying       float64         // of the pool; scales: cut to capacity only; flying: hops out
	usual, base                   []time.Duration // latency by type; the least of it lately: unloaded
	samples                       []float64       // answers by type, since the start
	answers                       bool            // to any type

	finished, grown           float64       // hops that would finish in time; answers made room for
	strain, blocked           float64       // time of hops over what they may take; share of time full
	admit, admitMost          float64       // share of the offered work let in; the most by a plan, or 0
	denyShare                 []float64     // by bucket: type, within or beyond its tenant's share
	rates, within             []float64     // arrivals per second by bucket; by a plan, by tenant
	busy                      activeset.Set // types that time changes something of: they had traffic lately
	shed                      []shed        // by the last tick, the cheapest first
	tenants                   tenantTable
	allowances                float64   // of all tenants
	reallowed                 bool      // they are not those of the settings any more
	retries, copies           []float64 // by type: what is left of the budgets
	rooms, roomMost           []int     // operations with a hop out, and allowed, by room
	successes                 float64   // per second
	started, asked            bool
	lastSweep, askAt, askWait time.Duration
}
