package intent

import "slices"

// maxAttempts limits the attempts of an entry, so that a corrupt attempt number does not exhaust memory. Attempts with the
// number maxAttempts or a higher one are ignored.
const maxAttempts = 64

// State is what is known about the execution of a request.
type State uint8

const (
	// NotSent means that no attempt was sent, or that every attempt provably never ran.
	NotSent State = iota
	// PossiblySent means that at least one attempt may have run.
	PossiblySent
	// HasRun means that at least one attempt provably ran.
	HasRun
	// Unknown means that no attempt was found that may have run, but too few nodes were queried to rule one out.
	Unknown
	stateCount
)

// stateNames are part of the command-line interface and must not change: "ran" is HasRun, "not-known" is Unknown.
var stateNames = [stateCount]string{"not-sent", "possibly-sent", "ran", "not-known"}

// String returns the state's name in command arguments and output.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with a name; ok is false if the name is unknown.
func ParseState(name string) (s State, ok bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Entry combines the records of one request.
type Entry struct {
	Incarnation   uint64 // of the node that received the request
	RequestNumber uint64 // within the incarnation
	RequestID     string
	Tenant        string
	Type          string
	RepeatOf      string
	IsRetry       bool
	AtUnixNano    int64 // of the earliest record

	// Attempts are indexed by attempt number. An attempt without records is zero.
	Attempts []Attempt

	ClientOutcome        string // outcome reported to the client; "" if unknown
	NotifiedAtUnixNano   int64
	Conflicts            int  // number of records that contradict earlier ones
	MayLackRecords       bool // unreadable records may contain further attempts
	TooFewNodesResponded bool // too few of the nodes that may have records responded
	attemptsAtOutcome    int  // number of attempts when the client was notified
	isUnsent             bool // an Unsent record was added
}

// State returns the strongest statement about the request that the records prove.
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
	if s == NotSent && e.TooFewNodesResponded {
		return Unknown
	}
	return s
}

// lacksAttempts reports whether there were, or may have been, attempts of which no record was added: the client was
// notified after more attempts than were found, or neither an attempt nor an outcome nor an Unsent record was found.
func (e *Entry) lacksAttempts() bool {
	return len(e.Attempts) < e.attemptsAtOutcome || len(e.Attempts) == 0 && e.ClientOutcome == "" && !e.isUnsent
}

// IsComplete reports whether no further records are expected: the client was notified, and for each attempt it is proven
// whether it ran.
func (e *Entry) IsComplete() bool {
	return e.ClientOutcome != "" && e.State() != PossiblySent && !e.hasUnprovenAttempt() && len(e.Attempts) >= e.attemptsAtOutcome
}

func (e *Entry) hasUnprovenAttempt() bool {
	return slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return a.Proof() == PossiblyRan })
}

// add updates the entry from a record. An attempt number or proof out of range leaves the attempts unchanged.
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
