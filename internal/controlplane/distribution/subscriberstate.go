package distribution

// State is the connection and freshness state of a subscriber.
type State uint8

// The states. In all but the first two the process may serve.
const (
	StateStarting   State = iota // no upstream is connected yet
	StateCatchingUp              // an upstream is connected and sends the missing entries
	StateCurrent                 // all entries that the upstream has were received
	StateBehind                  // the process serves from its stored configuration while it reconnects or catches up
	StateIsolated                // the process serves from its stored configuration; no upstream for isolationTimeout, or from the start for StartTimeout
	stateLimit
)

// String returns the state's name, as used in logs and in the status.
func (s State) String() string {
	return [...]string{"starting", "catching up", "current", "behind", "isolated"}[s]
}

// stateInput is an input of the state machine.
type stateInput uint8

const (
	connected          stateInput = iota // an upstream has connected
	completed                            // a complete message was received: a batch or digests
	lost                                 // the connection or attempt has ended
	startTimedOut                        // SubscriberOptions.StartTimeout has elapsed since the start
	isolationTimedOut                    // no upstream was connected for isolationTimeout
	incompleteTimedOut                   // no complete message followed an incomplete one within incompleteTimeout
	stateInputLimit
)

// transitions is the transition table. A process that serves never stops serving: only StateStarting and StateCatchingUp don't
// serve, and no other state leads to them.
var transitions = [stateLimit][stateInputLimit]State{
	StateStarting: {
		connected:          StateCatchingUp,
		completed:          StateCurrent,
		lost:               StateStarting,
		startTimedOut:      StateIsolated,
		isolationTimedOut:  StateIsolated,
		incompleteTimedOut: StateStarting,
	},
	StateCatchingUp: {
		connected:          StateCatchingUp,
		completed:          StateCurrent,
		lost:               StateStarting,
		startTimedOut:      StateBehind,
		isolationTimedOut:  StateCatchingUp,
		incompleteTimedOut: StateCatchingUp,
	},
	StateCurrent: {
		connected:          StateBehind,
		completed:          StateCurrent,
		lost:               StateBehind,
		startTimedOut:      StateCurrent,
		isolationTimedOut:  StateBehind,
		incompleteTimedOut: StateBehind,
	},
	StateBehind: {
		connected:          StateBehind,
		completed:          StateCurrent,
		lost:               StateBehind,
		startTimedOut:      StateBehind,
		isolationTimedOut:  StateIsolated,
		incompleteTimedOut: StateBehind,
	},
	StateIsolated: {
		connected:          StateBehind,
		completed:          StateCurrent,
		lost:               StateIsolated,
		startTimedOut:      StateIsolated,
		isolationTimedOut:  StateIsolated,
		incompleteTimedOut: StateIsolated,
	},
}

func (s *Subscriber) apply(in stateInput) { s.state = transitions[s.state][in] }
