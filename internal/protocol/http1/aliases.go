package http1

import "fernvane/internal/protocol/message"

// Types of package message, for callers that speak HTTP only.
type (
	Field     = message.Field
	Request   = message.Request
	Response  = message.Response
	Answer    = message.Answer
	Operation = message.RequestInfo
	Malformed = message.RequestError
	Pool      = message.BufferBudget
)

// Bounds and field names of package message, likewise.
const (
	MaxHead        = message.MaxHead
	MaxBody        = message.MaxBody
	MaxAnswer      = message.MaxAnswer
	RequestID      = message.RequestID
	RequestTimeout = message.RequestTimeout
)

// NewPool is message.NewBufferBudget.
func NewPool(bytes int) *Pool { return message.NewBufferBudget(bytes) }
