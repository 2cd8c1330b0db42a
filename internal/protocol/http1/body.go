package http1

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errChunk = errors.New("a chunk cannot be read")

// readBody reads a body of the given length or framing from c.readPos on, and leaves c.readPos behind it.
func (c *Conn) readBody(length, most int) ([]byte, error) {
	from := c.readPos
	switch length {
	case chunked:
		return c.readChunks(most)
	case untilClose:
		for {
			if c.fillPos-from > most {
				return nil, errTooLarge
			}
			if err := c.fill(from + most + 1); err == io.EOF {
				c.readPos = c.fillPos
				return c.buf[from:c.fillPos], nil
			} else if err != nil {
				return nil, err
			}
		}
	}
	if length > most {
		return nil, errTooLarge
	}
	if err := c.fillTo(from+length, from+length); err != nil {
		return nil, err
	}
	c.readPos = from + length
	return c.buf[from:c.readPos], nil
}

// fillTo reads until the buffer is filled up to an offset.
func (c *Conn) fillTo(to, limit int) error {
	for c.fillPos < to {
		if err := c.fill(max(limit, to)); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// unexpectedEOF turns an end of the stream within a body into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks joins the chunks in place: each is moved down to the end of the one before it.
func (c *Conn) readChunks(most int) ([]byte, error) {
	from := c.readPos
	limit := from + most + maxTrailerBytes
	for to := from; ; {
		line, err := c.readLine(to, maxChunkLineBytes, limit)
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
			return c.buf[from:to], c.skipTrailer(to, limit)
		}
		n := int(size)
		if to-from+n > most {
			return nil, errTooLarge
		}
		for c.fillPos-c.readPos < n+2 {
			if err := c.readMore(to, limit); err != nil {
				return nil, err
			}
		}
		if c.buf[c.readPos+n] != '\r' || c.buf[c.readPos+n+1] != '\n' {
			return nil, errChunk
		}
		to += copy(c.buf[to:], c.buf[c.readPos:c.readPos+n])
		c.readPos += n + 2
	}
}

// skipTrailer skips the fields after the last chunk.
func (c *Conn) skipTrailer(to, limit int) error {
	for passed := 0; passed <= maxTrailerBytes; {
		line, err := c.readLine(to, maxTrailerBytes, limit)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		passed += len(line)
	}
	return errChunk
}

// readLine reads the next line, without its end. What lies before the offset to is kept.
func (c *Conn) readLine(to, most, limit int) ([]byte, error) {
	for {
		if i := bytes.Index(c.buf[c.readPos:c.fillPos], []byte("\r\n")); i >= 0 {
			line := c.buf[c.readPos : c.readPos+i]
			c.readPos += i + 2
			return line, nil
		}
		if c.fillPos-c.readPos > most {
			return nil, errChunk
		}
		if err := c.readMore(to, limit); err != nil {
			return nil, err
		}
	}
}

// readMore reads once. A full buffer is first compacted over the bytes between to and the unread ones.
func (c *Conn) readMore(to, limit int) error {
	if c.fillPos == len(c.buf) && c.readPos > to {
		c.fillPos = to + copy(c.buf[to:], c.buf[c.readPos:c.fillPos])
		c.readPos = to
	}
	return unexpectedEOF(c.fill(limit))
}
