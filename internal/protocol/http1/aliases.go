package http1

import "fernvane/internal/protocol/message"

// What HTTP carries is what every protocol carries.
type (
	Field     = message.Field
	Request   = message.Request
	Response  = message.Response
	Answer    = message.Answer
	Operation = message.RequestInfo
	Malformed = message.RequestError
	Pool      = message.BufferBudget
)

// Bounds and names that all protocols share.
const (
	MaxHead        = message.MaxHead
	MaxBody        = message.MaxBody
	MaxAnswer      = message.MaxAnswer
	RequestID      = message.RequestID
	RequestTimeout = message.RequestTimeout
)

// NewPool makes memory of so many bytes that connections share.
func NewPool(bytes int) *Pool { return message.NewBufferBudget(bytes) }
