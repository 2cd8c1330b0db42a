package dispatch

import "fernvane/policy"

// AttemptResult is how an attempt ended.
type AttemptResult uint8

// Results up to ServerRefused are complete responses, after which the connection may be used again. The numbers and the
// names of results are stored in journals: new ones are added at the end.
const (
	Succeeded         AttemptResult = iota // a complete response with status 200
	ErrorResponse                          // any other complete response
	RequestFault                           // a response that finds the request itself faulty
	ServerRefused                          // a response that says that the server did not begin
	ConnectRefused                         // no connection: refused, unreachable or another error at once
	ConnectTimeout                         // no connection within Settings.ConnectTimeout
	WriteFailed                            // a new connection broke before the last byte was written
	StaleConnection                        // a reused connection broke so, which shows nothing about its server now
	NoDescriptor                           // no connection: this node had no descriptor left
	ExpiredUnsent                          // the attempt timed out or was canceled before its last byte was written, or its server or client had left
	ConnectionLost                         // the connection ended after the last byte, before the complete response
	MalformedResponse                      // the response cannot be read
	ResponseTimeout                        // no complete response within the attempt's timeout
	JournalFailed                          // not sent, because the journal did not store that it would be
	Abandoned                              // the request was settled while the attempt was in flight
	attemptResultCount
)

// attemptResults holds what each result means to the decision module (policy.NotStarted: nothing of the server), and its
// stored name.
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

// Outcome returns what the result means to the decision module.
func (r AttemptResult) Outcome() policy.Outcome { return attemptResults[r].outcome }

// String returns the result's name in journals and in the log.
func (r AttemptResult) String() string { return attemptResults[r].name }
