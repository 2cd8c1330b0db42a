package http1

import "fernvane/internal/protocol/message"

// Field is a header field.
type Field = message.Field

// Request is a complete request.
type Request = message.Request

// Response is a server's complete response.
type Response = message.Response

// Answer is what the node sends to a client.
type Answer = message.Answer

// Operation is what the fields of a request say that decisions need.
type Operation = message.RequestInfo

// Malformed is the error of a request that cannot be served.
type Malformed = message.RequestError

// Pool bounds the memory that connections share.
type Pool = message.BufferBudget

// Bounds and field names of package message.
const (
	MaxHead        = message.MaxHead
	MaxBody        = message.MaxBody
	MaxAnswer      = message.MaxAnswer
	RequestID      = message.RequestID
	RequestTimeout = message.RequestTimeout
)

// NewPool returns a budget of so many bytes.
func NewPool(bytes int) *Pool { return message.NewBufferBudget(bytes) }
