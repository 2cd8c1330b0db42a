package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// httpClient sends requests on a kept connection.
type httpClient struct {
	at     string
	conn   net.Conn
	reader *bufio.Reader
}

// get sends a request and returns the status of the answer. If the node closes the connection without an answer, which may cross the
// request, it connects once more, like the clients of the platform.
func (c *httpClient) get(path, id string) (status int, err error) {
	if status, err = c.getOnce(path, id); errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return c.getOnce(path, id)
	}
	return status, err
}

func (c *httpClient) getOnce(path, id string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.at, clientTimeout); err != nil {
			c.conn = nil
			return 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", path, id); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	var body strings.Builder
	if _, err := bufio.NewReader(answer.Body).WriteTo(&body); err != nil {
		return answer.StatusCode, err
	}
	if answer.StatusCode == 200 && body.String() != "answer to "+id {
		return answer.StatusCode, fmt.Errorf("foreign answer %q", body.String())
	}
	if answer.Close {
		c.close()
	}
	return answer.StatusCode, nil
}

func (c *httpClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
