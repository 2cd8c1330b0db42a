package intent

import "slices"

// maxAttempts of an entry: a record that makes no sense must not take memory. Records of further attempts are passed over.
const maxAttempts = 64

// State of an entry, by its attempts.
type State uint8

const (
	// NotSent is a request of which no attempt was sent, or each provably never ran.
	NotSent State = iota
	// PossiblySent is a request of which some attempt may have run.
	PossiblySent
	// HasRun is a request of which some attempt provably ran.
	HasRun
	// Unknown is a request of which no attempt is known, while too few nodes were asked to say that there was none.
	Unknown
	stateCount
)

// stateNames are the words of commands and their output, which stay: "ran" is HasRun, "not-known" is Unknown.
var stateNames = [stateCount]string{"not-sent", "possibly-sent", "ran", "not-known"}

// String is the state's name in commands and their output.
func (s State) String() string { return stateNames[s] }

// ParseState finds a state by its name; ok is false where there is none of that name.
func ParseState(name string) (s State, ok bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Entry is what is known of one request.
type Entry struct {
	Incarnation   uint64 // of the node that took it
	RequestNumber uint64 // within the incarnation
	RequestID     string
	Tenant        string
	Type          string
	RepeatOf      string
	IsRetry       bool
	AtUnixNano    int64 // of the earliest record

	// Attempts are those about to be sent, by their numbers in the journal: one that is missing was lost to it.
	Attempts []Attempt

	ClientOutcome      string // "" where it isn't known
	NotifiedAtUnixNano int64
	Conflicts          int  // records that contradict what was known
	MayLackRecords     bool // further attempts may be in records that cannot be read
	TooFewNodesAsked   bool // too few of the nodes that may hold records were asked
	attemptsAtOutcome  int  // how many there were when the client was notified
	isUnsent           bool // an Unsent record was read
}

// State is what may be claimed of the request. It claims no more than the records prove.
func (e *Entry) State() State {
	s := NotSent
	if e.MayLackRecords || e.lacksAttempts() {
		s = PossiblySent
	}
	for _, a := range e.Attempts {
		switch a.Proof() {
		case Ran:
			return HasRun
		case PossiblyRan:
			s = PossiblySent
		}
	}
	if s == NotSent && e.TooFewNodesAsked {
		return Unknown
	}
	return s
}

// lacksAttempts reports whether there were attempts, or may have been, of which no record was read.
func (e *Entry) lacksAttempts() bool {
	return len(e.Attempts) < e.attemptsAtOutcome || len(e.Attempts) == 0 && e.ClientOutcome == "" && !e.isUnsent
}

// IsComplete reports that nothing more can come for the entry: the client was notified, and each attempt is proven.
func (e *Entry) IsComplete() bool {
	return e.ClientOutcome != "" && e.State() != PossiblySent && !e.hasUnprovenAttempt() && len(e.Attempts) >= e.attemptsAtOutcome
}

func (e *Entry) hasUnprovenAttempt() bool {
	return slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return a.Proof() == PossiblyRan })
}

// add takes in a record of the entry. A record with an attempt number or a proof out of bounds changes no attempt.
func (e *Entry) add(r *Record) {
	if e.AtUnixNano == 0 || r.AtUnixNano < e.AtUnixNano {
		e.AtUnixNano = r.AtUnixNano
	}
	if r.RequestID != "" {
		e.RequestID = r.RequestID
		e.Tenant = r.Tenant
		e.Type = r.Type
		e.RepeatOf = r.RepeatOf
		e.IsRetry = r.IsRetry
	}
	switch r.Kind {
	case Unsent:
		e.isUnsent = true
		return
	case ClientNotified:
		e.ClientOutcome = r.Outcome
		e.NotifiedAtUnixNano = r.AtUnixNano
		e.attemptsAtOutcome = min(max(r.Count, 0), maxAttempts)
		return
	}
	if r.Attempt < 0 || r.Attempt >= maxAttempts || r.Proof > NeverRan {
		return
	}
	for len(e.Attempts) <= r.Attempt {
		e.Attempts = append(e.Attempts, Attempt{})
	}
	if e.Attempts[r.Attempt].add(r) {
		e.Conflicts++
	}
}
