package http1

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errChunk = errors.New("a chunk cannot be read")

// body reads a body of the given framing that begins at c.at, and leaves c.at behind it.
func (c *Conn) body(length, most int) ([]byte, error) {
	from := c.at
	switch length {
	case chunked:
		return c.chunks(most)
	case untilClose:
		for {
			if c.end-from > most {
				return nil, errTooLarge
			}
			if err := c.fill(from + most + 1); err == io.EOF {
				c.at = c.end
				return c.buf[from:c.end], nil
			} else if err != nil {
				return nil, err
			}
		}
	}
	if length > most {
		return nil, errTooLarge
	}
	if err := c.need(from+length, from+length); err != nil {
		return nil, err
	}
	c.at = from + length
	return c.buf[from:c.at], nil
}

// need reads until the buffer is filled up to a place.
func (c *Conn) need(to, limit int) error {
	for c.end < to {
		if err := c.fill(max(limit, to)); err != nil {
			return cut(err)
		}
	}
	return nil
}

func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunks joins the chunks in place: each is moved down to the end of the one before it.
func (c *Conn) chunks(most int) ([]byte, error) {
	from := c.at
	limit := from + most + maxTrailer
	for to := from; ; {
		line, err := c.line(to, maxLine, limit)
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
			return c.buf[from:to], c.trailer(to, limit)
		}
		n := int(size)
		if to-from+n > most {
			return nil, errTooLarge
		}
		for c.end-c.at < n+2 {
			if err := c.more(to, limit); err != nil {
				return nil, err
			}
		}
		if c.buf[c.at+n] != '\r' || c.buf[c.at+n+1] != '\n' {
			return nil, errChunk
		}
		to += copy(c.buf[to:], c.buf[c.at:c.at+n])
		c.at += n + 2
	}
}

// trailer passes over the fields behind the last chunk.
func (c *Conn) trailer(to, limit int) error {
	for passed := 0; passed <= maxTrailer; {
		line, err := c.line(to, maxTrailer, limit)
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

// line takes the next line, without its end; what lies before the place to is kept.
func (c *Conn) line(to, most, limit int) ([]byte, error) {
	for {
		if i := bytes.Index(c.buf[c.at:c.end], []byte("\r\n")); i >= 0 {
			line := c.buf[c.at : c.at+i]
			c.at += i + 2
			return line, nil
		}
		if c.end-c.at > most {
			return nil, errChunk
		}
		if err := c.more(to, limit); err != nil {
			return nil, err
		}
	}
}

// more reads on; a full buffer is first compacted over what lies between to and the unread.
func (c *Conn) more(to, limit int) error {
	if c.end == len(c.buf) && c.at > to {
		c.end = to + copy(c.buf[to:], c.buf[c.at:c.end])
		c.at = to
	}
	return cut(c.fill(limit))
}
