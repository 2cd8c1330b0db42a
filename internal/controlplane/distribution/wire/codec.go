package wire

import (
	"errors"
	"fmt"

	"fernvane/internal/cluster/framing"
)

// ErrOutOfBounds says that a message exceeds a bound of the protocol.
var ErrOutOfBounds = errors.New("a message breaks a bound")

// Send writes a message to a connection.
func Send(c *framing.Conn, m Message) error { return c.Send(m.kind(), body(m)) }

// Append appends a message's frame to b.
func Append(b []byte, m Message) ([]byte, error) { return Protocol.Append(b, m.kind(), body(m)) }

// body is what of a message is encoded.
func body(m Message) any {
	if b, ok := m.(*Batch); ok {
		return packBatch(&b.Batch)
	}
	return m
}

// Decode reads the body of a frame strictly. The error wraps framing.ErrUnknownKind, ErrOutOfBounds or the decoder's error.
func Decode(k framing.Kind, text []byte) (Message, error) {
	m := newMessage(k)
	if m == nil {
		return nil, fmt.Errorf("%w: %d", framing.ErrUnknownKind, k)
	}
	var err error
	if b, ok := m.(*Batch); ok {
		err = unpackBatch(text, &b.Batch)
	} else {
		err = framing.Decode(text, m)
	}
	if err == nil {
		err = m.validate()
	}
	if err != nil {
		return nil, fmt.Errorf("a %T that cannot be read: %w", m, err)
	}
	return m, nil
}
