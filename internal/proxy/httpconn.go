package proxy

import (
	"errors"
	"net"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// httpRequestConn is the clientConn of the current request on an HTTP connection.
type httpRequestConn struct {
	*httpClientConn
	request *message.Request
}

// SendAnswer decides whether the connection closes after the answer, announces a close in the answer, and sets request.Close accordingly.
// The client may send its next request on a connection whose close was not announced, so later events do not close the connection before it is
// idle.
func (c *httpRequestConn) SendAnswer(answer []byte) error {
	if c.server.isDraining.Load() || c.conn.Overflowed() {
		c.request.Close = true
	}
	if c.request.Close {
		answer = http1.AnnounceClose(answer)
	}
	return c.httpClientConn.SendAnswer(answer)
}

// httpClientConn is a client's HTTP connection, with one request at a time.
type httpClientConn struct {
	server *Server
	conn   *http1.Conn
}

func (c *httpClientConn) AppendAnswer(b []byte, a message.Answer) []byte {
	return http1.AppendAnswer(b, a)
}

func (c *httpClientConn) AnswerBuffer() []byte { return c.conn.Scratch() }

// SendAnswer writes an answer. It returns errAnswerUnsent if the answer was not written completely.
func (c *httpClientConn) SendAnswer(answer []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if isWritten, err := c.conn.Send(answer); !isWritten {
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

// WatchDisconnect reads ahead on its own goroutine, which stop terminates with a read deadline in the past.
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
