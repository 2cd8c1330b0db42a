package dispatch

import "fernvane/policy"

// AttemptResult is the result of an attempt.
type AttemptResult uint8

// Results up to ServerRefused are complete responses, after which the connection may be reused. Journals store the numbers
// and the names of results, so new results are appended.
const (
	Succeeded         AttemptResult = iota // complete response with status 200
	ErrorResponse                          // any other complete response
	RequestFault                           // complete response that reports a fault of the request itself
	ServerRefused                          // complete response that reports that the server did not start the request
	ConnectRefused                         // no connection: refused, unreachable or another immediate error
	ConnectTimeout                         // no connection within Settings.ConnectTimeout
	WriteFailed                            // new connection broke before the last byte was written
	StaleConnection                        // reused connection broke before the last byte was written; the server's state is unknown
	NoDescriptor                           // no connection: the node has no free descriptor
	ExpiredUnsent                          // timed out or canceled before the last byte was written, or not sent because the server or the client had left
	ConnectionLost                         // connection broke after the last byte was written and before the response was complete
	MalformedResponse                      // response could not be decoded
	ResponseTimeout                        // no complete response within the attempt's timeout
	JournalFailed                          // not sent because the journal could not store the intent
	Abandoned                              // the request was settled while the attempt was in flight
	attemptResultCount
)

// attemptResults maps each result to its outcome for the decision module and to its stored name. policy.NotStarted means
// that the result gives no information about the server.
var attemptResults = [attemptResultCount]struct {
	outcome policy.Outcome
	name    string
}{
	Succeeded:         {policy.Success, "answered"},
	ErrorResponse:     {policy.Failure, "erred"},
	RequestFault:      {policy.ClientError, "declined"},
	ServerRefused:     {policy.Overloaded, "turned away"},
	ConnectRefused:    {policy.Unreachable, "refused"},
	ConnectTimeout:    {policy.Unreachable, "never up"},
	WriteFailed:       {policy.Unreachable, "unsent"},
	StaleConnection:   {policy.NotStarted, "stale"},
	NoDescriptor:      {policy.NotStarted, "no room"},
	ExpiredUnsent:     {policy.NotStarted, "no time"},
	JournalFailed:     {policy.NotStarted, "not kept"},
	ConnectionLost:    {policy.ConnectionBroken, "cut off"},
	MalformedResponse: {policy.ConnectionBroken, "garbled"},
	ResponseTimeout:   {policy.TimedOut, "silent"},
	Abandoned:         {policy.Canceled, "given up"},
}

// Outcome returns the outcome that the decision module receives for the result.
func (r AttemptResult) Outcome() policy.Outcome { return attemptResults[r].outcome }

// ProvesNotRun reports whether the result proves that the server has not executed and will not execute the attempt.
func (r AttemptResult) ProvesNotRun() bool {
	switch r.Outcome() {
	case policy.Overloaded, policy.Unreachable, policy.NotStarted:
		return true
	}
	return false
}

// String returns the name of the result that journals and the log contain.
func (r AttemptResult) String() string { return attemptResults[r].name }
