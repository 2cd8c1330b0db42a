package intent

// ExecutionRecord is what one server says that it has run, of all requests that it took between two moments.
type ExecutionRecord struct {
	Server       string
	FromUnixNano int64
	ToUnixNano   int64
	RequestIDs   map[string]bool
	Next         *ExecutionRecord // another record of the same server; nil: there is none
}

// lists reports whether any record of the server has a request.
func (x *ExecutionRecord) contains(id string) bool {
	for ; x != nil; x = x.Next {
		if x.RequestIDs[id] {
			return true
		}
	}
	return false
}

// covers reports whether one record of the server has all attempts that began at a moment. One that began within slackNanos
// of the record's end may still be running.
func (x *ExecutionRecord) covers(atUnixNano, slackNanos int64) bool {
	for ; x != nil; x = x.Next {
		if atUnixNano >= x.FromUnixNano && atUnixNano+slackNanos <= x.ToUnixNano {
			return true
		}
	}
	return false
}

// ExecutionRecords are the execution records of servers, by server name.
type ExecutionRecords map[string]*ExecutionRecord

// Add adds a record beside those that the server has already.
func (e ExecutionRecords) Add(x *ExecutionRecord) {
	x.Next = e[x.Server]
	e[x.Server] = x
}

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
		case executed.contains(e.RequestID):
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
