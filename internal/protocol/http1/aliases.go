package http1

import "fernvane/internal/protocol/message"

// Field is a header field.
type Field = message.Field

// Request is a complete request.
type Request = message.Request

// Response is a complete response of a server.
type Response = message.Response

// Answer is the response that the node sends to a client.
type Answer = message.Answer

// RequestInfo holds what decisions need of a request.
type RequestInfo = message.RequestInfo

// RequestError is the error of a request that cannot be served.
type RequestError = message.RequestError

// BufferBudget bounds the memory that connections use for large messages.
type BufferBudget = message.BufferBudget

// Limits and field names of package message.
const (
	MaxHead         = message.MaxHead
	MaxRequestBody  = message.MaxRequestBody
	MaxResponseBody = message.MaxResponseBody
	RequestID       = message.RequestID
	RequestTimeout  = message.RequestTimeout
)

// NewBufferBudget returns a budget of the given number of bytes.
func NewBufferBudget(bytes int) *BufferBudget { return message.NewBufferBudget(bytes) }
