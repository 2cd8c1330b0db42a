package endpoints

// State of a server in a Set.
type State uint8

// The states of a server.
const (
	StateAbsent    State = iota // not known, or gone
	StatePresent                // listed and usable
	StateSuspected              // listed, but attempts cannot connect; not usable
	StateDraining               // listed as draining
	StateMissing                // not listed any more; remembered for flapWindow, not usable
	StateRetained               // not listed any more, as most others; usable while the registry is suspected
	stateCount
)

// input is what happens to a server.
type input uint8

const (
	entryListed          input = iota // by the same incarnation
	newIncarnationListed              // by another incarnation
	drainListed                       // as draining
	entryRemoved
	massRemoved // together with most others
	connectFailed
	responseReceived
	timerExpired
	inputCount
)

// effect is what a Set announces when a server changes its state.
type effect uint8

const (
	noEffect               effect = iota
	announceNewIncarnation        // up, as a new incarnation
	announceReinstated            // up, as the incarnation that it had, in a new generation
	announceDraining
	announceGone
)

type transition struct {
	next   State
	effect effect
}

// transitions holds what each input does in each state.
var transitions = [stateCount][inputCount]transition{
	StateAbsent: {
		entryListed:          {StatePresent, announceNewIncarnation},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, announceDraining},
		entryRemoved:         {StateAbsent, noEffect},
		massRemoved:          {StateAbsent, noEffect},
		connectFailed:        {StateAbsent, noEffect},
		responseReceived:     {StateAbsent, noEffect},
		timerExpired:         {StateAbsent, noEffect},
	},
	StatePresent: {
		entryListed:          {StatePresent, noEffect},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, announceDraining},
		entryRemoved:         {StateMissing, announceDraining},
		massRemoved:          {StateRetained, noEffect},
		connectFailed:        {StateSuspected, announceDraining},
		responseReceived:     {StatePresent, noEffect},
		timerExpired:         {StatePresent, noEffect},
	},
	StateSuspected: {
		entryListed:          {StateSuspected, noEffect},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, noEffect},
		entryRemoved:         {StateMissing, noEffect},
		massRemoved:          {StateMissing, noEffect},
		connectFailed:        {StateSuspected, noEffect},
		responseReceived:     {StatePresent, announceReinstated},
		timerExpired:         {StatePresent, announceReinstated},
	},
	StateDraining: {
		entryListed:          {StatePresent, announceReinstated},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, noEffect},
		entryRemoved:         {StateAbsent, announceGone},
		massRemoved:          {StateAbsent, announceGone},
		connectFailed:        {StateDraining, noEffect},
		responseReceived:     {StateDraining, noEffect},
		timerExpired:         {StateDraining, noEffect},
	},
	StateMissing: {
		entryListed:          {StatePresent, announceReinstated},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, noEffect},
		entryRemoved:         {StateMissing, noEffect},
		massRemoved:          {StateRetained, announceReinstated},
		connectFailed:        {StateMissing, noEffect},
		responseReceived:     {StateMissing, noEffect},
		timerExpired:         {StateAbsent, announceGone},
	},
	StateRetained: {
		entryListed:          {StatePresent, noEffect},
		newIncarnationListed: {StatePresent, announceNewIncarnation},
		drainListed:          {StateDraining, announceDraining},
		entryRemoved:         {StateMissing, announceDraining},
		massRemoved:          {StateRetained, noEffect},
		connectFailed:        {StateMissing, announceDraining},
		responseReceived:     {StateRetained, noEffect},
		timerExpired:         {StateRetained, noEffect},
	},
}
