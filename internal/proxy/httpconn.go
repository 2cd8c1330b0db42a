package proxy

import (
	"errors"
	"net"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// httpClientConn is a client's connection that speaks HTTP, with one request at a time.
type httpClientConn struct {
	server *Server
	conn   *http1.Conn
}

func (c *httpClientConn) AppendAnswer(b []byte, a message.Answer) []byte {
	return http1.AppendAnswer(b, a)
}

func (c *httpClientConn) AnswerBuffer() []byte { return c.conn.Scratch() }

// SendAnswer writes an answer; errAnswerUnsent is one that was not written whole.
func (c *httpClientConn) SendAnswer(answer []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if whole, err := c.conn.Send(answer); !whole {
		return errors.Join(errAnswerUnsent, err)
	}
	return nil
}

func (c *httpClientConn) ClientAddress() string {
	host, _, _ := net.SplitHostPort(c.conn.RemoteAddr().String())
	return host
}

func (c *httpClientConn) IsDisconnected() bool { return c.conn.PeekDisconnected() }

func (c *httpClientConn) IsDisconnectedBehindUnread() bool { return c.conn.Disconnected() }

// WatchDisconnect reads ahead on a goroutine of its own, which stop ends by a deadline that has passed.
func (c *httpClientConn) WatchDisconnect(onDisconnect func()) (stop func()) {
	conn := c.conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		if conn.WaitDisconnected() {
			onDisconnect()
		}
	}()
	return func() {
		conn.SetReadDeadline(pastDeadline)
		<-done
		conn.SetReadDeadline(time.Time{})
	}
}
