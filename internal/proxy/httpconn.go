package proxy

import (
	"errors"
	"net"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// httpRequestConn is the present request on a client's connection that speaks HTTP.
type httpRequestConn struct {
	*httpClientConn
	request *message.Request
}

// SendAnswer announces with the answer whether the connection closes after it, and leaves that in request.Close. The client may send its
// next request on a connection whose close was not announced, so nothing that happens later closes it before it is idle.
func (c *httpRequestConn) SendAnswer(answer []byte) error {
	if c.server.isDraining.Load() || c.conn.Overflowed() {
		c.request.Close = true
	}
	if c.request.Close {
		answer = http1.AnnounceClose(answer)
	}
	return c.httpClientConn.SendAnswer(answer)
}

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
