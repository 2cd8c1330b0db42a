package distribution

// State of a subscriber.
type State uint8

// The states.
const (
	StateStarting   State = iota // no upstream has answered yet; the process does not serve yet
	StateCatchingUp              // one has, and sends what is missing; the process does not serve yet
	StateCurrent                 // everything that the upstream has was received
	StateBehind                  // the process serves by what it holds while it reconnects or catches up
	StateIsolated                // it serves by what it holds, and no upstream has answered for isolationTimeout
	stateLimit
)

// String returns the state's name in logs and in the status.
func (s State) String() string {
	return [...]string{"starting", "catching up", "current", "behind", "isolated"}[s]
}

// stateInput is what a state changes by.
type stateInput uint8

const (
	connected          stateInput = iota // an upstream has answered
	completed                            // everything that it has was received
	lost                                 // the connection or attempt has ended
	startTimedOut                        // the time that a start may wait is over
	isolationTimedOut                    // no upstream for isolationTimeout
	incompleteTimedOut                   // something was received and not completed for incompleteTimeout
	stateInputLimit
)

// transitions are all changes of state. A process that serves never stops: only StateStarting and StateCatchingUp don't serve,
// and no other state leads to them.
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
