package intent

// ExecutionRecord lists the requests that a server ran, of all requests that it received in a time range.
type ExecutionRecord struct {
	Server       string
	FromUnixNano int64
	ToUnixNano   int64
	RequestIDs   map[string]bool
	Next         *ExecutionRecord // further record of the same server; nil: none
}

// contains reports whether any record of the server lists a request.
func (x *ExecutionRecord) contains(id string) bool {
	for ; x != nil; x = x.Next {
		if x.RequestIDs[id] {
			return true
		}
	}
	return false
}

// covers reports whether a record of the server is complete for attempts that began at atUnixNano. Attempts that began
// within slackNanos before the end of the record are not covered, because they may still have been running.
func (x *ExecutionRecord) covers(atUnixNano, slackNanos int64) bool {
	for ; x != nil; x = x.Next {
		if atUnixNano >= x.FromUnixNano && atUnixNano+slackNanos <= x.ToUnixNano {
			return true
		}
	}
	return false
}

// ExecutionRecords maps a server's name to the list of its execution records.
type ExecutionRecords map[string]*ExecutionRecord

// Add adds a record and retains earlier records of the same server.
func (e ExecutionRecords) Add(x *ExecutionRecord) {
	x.Next = e[x.Server]
	e[x.Server] = x
}

// Reconcile uses the execution records of servers to determine whether an entry's unproven attempts ran. It does not modify
// the entry, but returns Reconciled records for the caller to store. An attempt at a time that no execution record of its
// server covers is reconciled only if a record lists the request.
func Reconcile(e *Entry, executions ExecutionRecords, slackNanos, nowUnixNano int64) (reconciled []Record) {
	for i, a := range e.Attempts {
		execution := executions[a.Server]
		if a.Proof() != PossiblyRan || execution == nil {
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
		case execution.contains(e.RequestID):
			r.Proof = Ran
		case execution.covers(a.AtUnixNano, slackNanos):
			r.Proof = NeverRan
		default:
			continue
		}
		reconciled = append(reconciled, r)
	}
	return reconciled
}
