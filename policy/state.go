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

const stateNew, stateQueued, stateInFlight, stateDone, stateCount state = 0, 1, 2, 3, 4

// signal is what may move an operation on.
type signal uint8

const onArrival, onTick, onSuccess, onFailure, onClientLeft, signalCount signal = 0, 1, 2, 3, 4, 5

// row of the lifecycle table.
type transition struct {
	from   state
	on     signal
	guard  func(*Policy, int) bool
	to     state
	action func(*Policy, int)
}

type attempt struct {
	server           int
	sentAt           time.Duration
	ended, uncounted bool // late: not in the window any more
}

type request struct {
	state                          state
	trafficType, routeLimit, class int
	tenant                         int
	key                            uint32
	arrivedAt, objectiveAt         time.Duration // answers after the target are worth nothing
	clientDeadline                 time.Duration // the client is gone
	attempts                       []attempt
	mayHaveRun                     bool
	isClientRetry, failedByItself  bool          // the client repeats it; it failed by its own fault
	keyServer                      int           // server whose group must be kept, once mayRun
	firstRunAt                     time.Duration // send of the first hop that may have run
	lastOutcome                    Outcome       // of its last hop
	lastDequeue                    int           // the last dispatch that looked at it
}

// shed is what was left to be denied when a bucket's turn came.
type shedEntry struct {
	class             int
	weight, remaining float64
}

// Policy is one instance of the decision module.
type Policy struct {
	settings    Settings
	transitions [stateCount][signalCount][]transition
	seed, draws uint32
	now         time.Duration
	effects     []Effect

	requests     []request
	openRequests intset.Set // operations in hand
	classes      []int      // buckets, the cheapest first

	// Servers, in parallel arrays under their index.
	readiness                                         readiness.Table // which may be sent to, which are listed
	ejections                                         failures.Table  // by type; servers rest for one, or for all
	inSubset, unreachable                             []bool          // member: taken in; lost: a connect failed
	rank, zone, machineKind, cell                     []int           // machine: its kind
	inFlight, spikesInRow, pauseCount                 []int
	consecutiveFailures, softFailures, overloadsInRow []int     // failures in a row; what softRun counts; refusals in a row
	suspicion                                         []int     // steps down since the list dropped it
	listedWeight, turnWeight, credit                  []float64 // weight: scale, less while cold or slow; due: turns earned
	slowness                                          []float64 // latency over what is usual for the type
	slowStartTokens, preference, plannedRate          []float64 // hops a cold server may have; by a plan, see Share
	abandoned                                         []float64 // hops given up that the server may still work on
	smoothedLatency                                   columns.Durations
	runStart, lastSpike                               []time.Duration
	slowStartSince, pauseInterval, nextPause          []time.Duration // forecast: 0 if none
	abandonedSentAt                                   []time.Duration // of the last of them
	lastAnswerAt                                      []time.Duration // last sign of life while hops were out
	lastSignAt                                        []time.Duration // or its last answer since
	lastActivity                                      []time.Duration // notice, last send or outcome of one that is leaving
	onsets                                            [][maxOnsets]float64
	serverFailures                                    decay.Table         // how often hops to it failed
	typeFailures, keyFailures                         []decay.FailureRate // the same of a sort
	breakingServers                                   []decay.FailureRate // by type: servers that broke off a hop
	allFailures, overloaded, connectFailures          decay.FailureRate   // how often all failed; were turned away as full; got no connection

	// What a walk over all servers would find.
	slowStarting, assigned indexset.Set  // shared: a plan names them
	closing                indexset.Set  // connections to them are to be closed once more
	rotation               ranktree.Tree // all, in the order that all nodes share

	subset                                        []int   // the servers taken in
	nextToJoin, maxListed                         int     // place in rotation where the next joins; servers listed at a time
	needed, maxPriorityWeight                     float64 // most hops out lately; revenue of the dearest type
	position, picked, readyCount, dequeues        int
	totalTurnWeight, totalCapacity, inFlightCount float64         // of the pool; scales: cut to capacity only; flying: hops out
	typicalLatency, unloadedLatency               []time.Duration // latency by type; the least of it lately: unloaded
	answerCount                                   []float64       // answers by type, since the start
	hasAnswers                                    bool            // to any type

	finishedLoad, grownLimit                float64      // hops that would finish in time; answers made room for
	latencyRatio, saturatedShare            float64      // time of hops over what they may take; share of time full
	admittedShare, maxAdmittedShare         float64      // share of the offered work let in; the most by a plan, or 0
	rejectShare                             []float64    // by bucket: type, within or beyond its tenant's share
	arrivalRates, withinQuotaShares         []float64    // arrivals per second by bucket; by a plan, by tenant
	activeTypes                             indexset.Set // types that time changes something of: they had traffic lately
	shedEntries                             []shedEntry  // by the last tick, the cheapest first
	tenants                                 tenants.Table
	totalQuota                              float64   // of all tenants
	knownTenants                            int       // tenants from here on are unknown
	quotasChanged                           bool      // they are not those of the settings any more
	retryBudget, hedgeBudget                []float64 // by type: what is left of the budgets
	routeInFlight, routeLimits              []int     // operations with a hop out, and allowed, by room
	successRate                             float64   // per second
	hasStartPosition, requested             bool
	lastTick, nextRequestAt, requestBackoff time.Duration
}
