package intent

// ExecutionRecord is what one server says that it has run, of all requests that it took between two moments.
type ExecutionRecord struct {
	Server       string
	FromUnixNano int64
	ToUnixNano   int64
	RequestIDs   map[string]bool
}

// covers reports whether the record has all attempts that began at a moment. One that began within slackNanos of the
// record's end may still be running.
func (x *ExecutionRecord) covers(atUnixNano, slackNanos int64) bool {
	return atUnixNano >= x.FromUnixNano && atUnixNano+slackNanos <= x.ToUnixNano
}

// ExecutionRecords are the execution records of servers, by server name.
type ExecutionRecords map[string]*ExecutionRecord

// Reconcile decides attempts of an entry that may have run, by the execution records of their servers.
// It changes nothing: it returns Reconciled records for the caller to store. An attempt whose time an execution record
// does not cover is decided only if the request is in it.
func Reconcile(e *Entry, executions ExecutionRecords, slackNanos, nowUnixNano int64) (reconciled []Record) {
	for i, a := range e.Attempts {
		executed := executions[a.Server]
		if a.Proof() != PossiblyRan || executed == nil {
			continue
		}
		r := Record{
			Kind:          Reconciled,
			Incarnation:   e.Incarnation,
			RequestNumber: e.RequestNumber,
			Attempt:       i,
			AtUnixNano:    nowUnixNano,
			Server:        a.Server,
		}
		switch {
		case executed.RequestIDs[e.RequestID]:
			r.Proof = Ran
		case executed.covers(a.AtUnixNano, slackNanos):
			r.Proof = NeverRan
		default:
			continue
		}
		reconciled = append(reconciled, r)
	}
	return reconciled
}
