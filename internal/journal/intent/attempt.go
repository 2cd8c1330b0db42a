package intent

// Attempt combines the records of one attempt: one transmission of a request to one server.
type Attempt struct {
	Server          string
	AtUnixNano      int64
	EndedAtUnixNano int64
	Outcome         string
	IsReconciled    bool // a Reconciled record was added
	state           attemptState
}

// Proof returns whether the attempt is known to have run.
func (a Attempt) Proof() Proof { return proofByState[a.state] }

// attemptState is what the records added so far prove about an attempt.
type attemptState uint8

const (
	stateUnknown  attemptState = iota // no record yet; the intent may have been in a removed segment
	stateIntended                     // the intent was stored: the attempt may have been sent
	stateUnproven                     // the attempt ended and may have run
	stateRan
	stateNeverRan
	attemptStateCount
)

var proofByState = [attemptStateCount]Proof{stateRan: Ran, stateNeverRan: NeverRan}

// evidence is what a single record proves about an attempt.
type evidence uint8

const (
	intentRecorded evidence = iota
	endedUnproven
	endedRan
	endedNeverRan
	executionFound   // the server's execution record contains the request
	executionMissing // the execution record covers the time of the attempt and does not contain the request
	evidenceCount
)

// transition is the effect of evidence on an attempt's state.
type transition struct {
	next       attemptState
	isConflict bool // the evidence contradicts the previous state
}

// transitions has a row for each state. Evidence that contradicts an earlier end does not change the state, except that
// proof that the attempt ran overrides proof that it never ran. Duplicate evidence, for example from records rewritten
// after a write failure, does not change the state either.
var transitions = [attemptStateCount][evidenceCount]transition{
	stateUnknown: {
		intentRecorded:   {next: stateIntended},
		endedUnproven:    {next: stateUnproven},
		endedRan:         {next: stateRan},
		endedNeverRan:    {next: stateNeverRan},
		executionFound:   {next: stateRan},
		executionMissing: {next: stateNeverRan},
	},
	stateIntended: {
		intentRecorded:   {next: stateIntended},
		endedUnproven:    {next: stateUnproven},
		endedRan:         {next: stateRan},
		endedNeverRan:    {next: stateNeverRan},
		executionFound:   {next: stateRan},
		executionMissing: {next: stateNeverRan},
	},
	stateUnproven: {
		intentRecorded:   {next: stateUnproven},
		endedUnproven:    {next: stateUnproven},
		endedRan:         {next: stateRan},
		endedNeverRan:    {next: stateUnproven, isConflict: true},
		executionFound:   {next: stateRan},
		executionMissing: {next: stateNeverRan},
	},
	stateRan: {
		intentRecorded:   {next: stateRan},
		endedUnproven:    {next: stateRan},
		endedRan:         {next: stateRan},
		endedNeverRan:    {next: stateRan, isConflict: true},
		executionFound:   {next: stateRan},
		executionMissing: {next: stateRan, isConflict: true},
	},
	stateNeverRan: {
		intentRecorded:   {next: stateNeverRan},
		endedUnproven:    {next: stateNeverRan, isConflict: true},
		endedRan:         {next: stateRan, isConflict: true},
		endedNeverRan:    {next: stateNeverRan},
		executionFound:   {next: stateRan, isConflict: true},
		executionMissing: {next: stateNeverRan},
	},
}

// evidenceByKind maps the kind and proof of a record to its evidence.
var evidenceByKind = map[Kind][3]evidence{
	Intent:       {PossiblyRan: intentRecorded, Ran: intentRecorded, NeverRan: intentRecorded},
	AttemptEnded: {PossiblyRan: endedUnproven, Ran: endedRan, NeverRan: endedNeverRan},
	Reconciled:   {PossiblyRan: endedUnproven, Ran: executionFound, NeverRan: executionMissing},
}

// add updates the attempt from a record and reports whether the record contradicts the previous state.
func (a *Attempt) add(r *Record) (isConflict bool) {
	if r.Server != "" {
		a.Server = r.Server
	}
	t := transitions[a.state][evidenceByKind[r.Kind][r.Proof]]
	a.state = t.next
	switch r.Kind {
	case Intent:
		a.AtUnixNano = r.AtUnixNano
	case AttemptEnded:
		a.EndedAtUnixNano = r.AtUnixNano
		a.Outcome = r.Outcome
	case Reconciled:
		a.IsReconciled = true
	}
	return t.isConflict
}
