package wire

import (
	"errors"
	"fmt"

	"fernvane/internal/cluster/framing"
)

// ErrOutOfBounds reports a message that exceeds a limit of the protocol or lacks a required field.
var ErrOutOfBounds = errors.New("message out of bounds")

// Send writes a message to a connection as one frame.
func Send(c *framing.Conn, m Message) error { return c.Send(m.kind(), frameBody(m)) }

// Append appends a message's frame to b and returns the extended slice.
func Append(frames []byte, m Message) ([]byte, error) {
	return Protocol.Append(frames, m.kind(), frameBody(m))
}

// frameBody returns the value to encode as the body of a message's frame.
func frameBody(m Message) any {
	if b, ok := m.(*Batch); ok {
		return packBatch(&b.Batch)
	}
	return m
}

// Decode decodes and validates the body of a frame. The error wraps framing.ErrUnknownKind, ErrOutOfBounds or the decoder's
// error.
func Decode(k framing.Kind, body []byte) (Message, error) {
	m := newMessage(k)
	if m == nil {
		return nil, fmt.Errorf("%w: %d", framing.ErrUnknownKind, k)
	}
	var err error
	if b, ok := m.(*Batch); ok {
		err = unpackBatch(body, &b.Batch)
	} else {
		err = framing.Decode(body, m)
	}
	if err == nil {
		err = m.validate()
	}
	if err != nil {
		return nil, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, nil
}
