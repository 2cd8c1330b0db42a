package intent

// Attempt is one sending of a request to one server, as far as records show.
type Attempt struct {
	Server          string
	AtUnixNano      int64
	EndedAtUnixNano int64
	Outcome         string
	IsReconciled    bool // the server's execution record was consulted
	state           attemptState
}

// Proof is what is known of the attempt.
func (a Attempt) Proof() Proof { return proofByState[a.state] }

// attemptState is what the records so far say of an attempt.
type attemptState uint8

const (
	stateUnknown  attemptState = iota // no intent was read, as when an older segment is gone
	stateIntended                     // about to be sent: it may have been
	stateUnproven                     // ended, and may have run
	stateRan
	stateNeverRan
	attemptStateCount
)

var proofByState = [attemptStateCount]Proof{stateRan: Ran, stateNeverRan: NeverRan}

// evidence is what one record says of an attempt.
type evidence uint8

const (
	intentRecorded evidence = iota
	endedUnproven
	endedRan
	endedNeverRan
	executionFound   // the server's execution record has the request
	executionMissing // it does not, and covers the time of the attempt
	evidenceCount
)

// transition is what evidence makes of an attempt's state.
type transition struct {
	next       attemptState
	isConflict bool // the evidence contradicts what was known
}

// transitions has a row for each state. Evidence that contradicts an earlier end changes nothing, except that a proof of
// having run overrides one of never having run. Evidence that comes again, as when records were written again after a
// failure, changes nothing either.
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

// evidenceOf gives what a record of an attempt says, by its kind and proof.
var evidenceByKind = map[Kind][3]evidence{
	Intent:       {PossiblyRan: intentRecorded, Ran: intentRecorded, NeverRan: intentRecorded},
	AttemptEnded: {PossiblyRan: endedUnproven, Ran: endedRan, NeverRan: endedNeverRan},
	Reconciled:   {PossiblyRan: endedUnproven, Ran: executionFound, NeverRan: executionMissing},
}

// add takes in a record of the attempt and reports whether it contradicts what was known.
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
