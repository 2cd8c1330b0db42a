package http1

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errChunk = errors.New("a chunk cannot be read")

// readBody reads a body of the given length or framing, at most limit bytes. The body starts at c.readPos, and c.readPos is
// moved behind it.
func (c *Conn) readBody(length, limit int) ([]byte, error) {
	start := c.readPos
	switch length {
	case chunked:
		return c.readChunks(limit)
	case untilClose:
		for {
			if c.fillPos-start > limit {
				return nil, errTooLarge
			}
			if err := c.fill(start + limit + 1); err == io.EOF {
				c.readPos = c.fillPos
				return c.buf[start:c.fillPos], nil
			} else if err != nil {
				return nil, err
			}
		}
	}
	if length > limit {
		return nil, errTooLarge
	}
	if err := c.fillTo(start+length, start+length); err != nil {
		return nil, err
	}
	c.readPos = start + length
	return c.buf[start:c.readPos], nil
}

// fillTo reads until the buffer is filled up to the offset to. The buffer grows up to limit bytes, or up to the offset.
func (c *Conn) fillTo(to, limit int) error {
	for c.fillPos < to {
		if err := c.fill(max(limit, to)); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// unexpectedEOF converts io.EOF within a body to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a chunked body and joins the chunks in place: each chunk is moved to the end of the previous one.
func (c *Conn) readChunks(maxBytes int) ([]byte, error) {
	start := c.readPos
	limit := start + maxBytes + maxTrailerBytes
	for end := start; ; {
		line, err := c.readLine(end, maxChunkLineBytes, limit)
		if err != nil {
			return nil, err
		}
		digits, _, _ := bytes.Cut(line, []byte{';'})
		digits = bytes.TrimRight(digits, " \t")
		size, err := strconv.ParseUint(string(digits), 16, 31)
		if err != nil {
			return nil, errChunk
		}
		if size == 0 {
			return c.buf[start:end], c.skipTrailer(end, limit)
		}
		length := int(size)
		if end-start+length > maxBytes {
			return nil, errTooLarge
		}
		for c.fillPos-c.readPos < length+2 {
			if err := c.readMore(end, limit); err != nil {
				return nil, err
			}
		}
		if c.buf[c.readPos+length] != '\r' || c.buf[c.readPos+length+1] != '\n' {
			return nil, errChunk
		}
		end += copy(c.buf[end:], c.buf[c.readPos:c.readPos+length])
		c.readPos += length + 2
	}
}

// skipTrailer skips the fields after the last chunk. The bytes before the offset end are kept.
func (c *Conn) skipTrailer(end, limit int) error {
	for skipped := 0; skipped <= maxTrailerBytes; {
		line, err := c.readLine(end, maxTrailerBytes, limit)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		skipped += len(line)
	}
	return errChunk
}

// readLine reads the next line and returns it without its line end. The bytes before the offset end are kept.
func (c *Conn) readLine(end, maxBytes, limit int) ([]byte, error) {
	for {
		if length := bytes.Index(c.buf[c.readPos:c.fillPos], []byte("\r\n")); length >= 0 {
			line := c.buf[c.readPos : c.readPos+length]
			c.readPos += length + 2
			return line, nil
		}
		if c.fillPos-c.readPos > maxBytes {
			return nil, errChunk
		}
		if err := c.readMore(end, limit); err != nil {
			return nil, err
		}
	}
}

// readMore reads once. If the buffer is full, the unread bytes are first moved to the offset end.
func (c *Conn) readMore(end, limit int) error {
	if c.fillPos == len(c.buf) && c.readPos > end {
		c.fillPos = end + copy(c.buf[end:], c.buf[c.readPos:c.fillPos])
		c.readPos = end
	}
	return unexpectedEOF(c.fill(limit))
}
