package endpoints

// State is the state of a server in a Set.
type State uint8

// The states of a server.
const (
	StateAbsent    State = iota // unknown or gone
	StatePresent                // listed and usable
	StateSuspected              // listed, but connection attempts fail; not usable
	StateDraining               // listed as draining
	StateMissing                // no longer listed; tracked for flapWindow, not usable
	StateRetained               // removed together with most others; usable while the registry is suspected
	stateCount
)

// input is an event that affects a server.
type input uint8

const (
	entryListed          input = iota // listed as the same incarnation
	newIncarnationListed              // listed as another incarnation
	drainListed                       // listed as draining
	entryRemoved
	massRemoved // entry removed together with most others
	connectFailed
	responseReceived
	timerExpired
	inputCount
)

// effect is the announcement that a transition causes.
type effect uint8

const (
	noEffect               effect = iota
	announceNewIncarnation        // up as a new incarnation
	announceReinstated            // up as the same incarnation, in a new generation
	announceDraining
	announceGone
)

type transition struct {
	next   State
	effect effect
}

// transitions maps each state and input to the next state and the effect.
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
