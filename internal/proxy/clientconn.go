package proxy

import (
	"fernvane/internal/protocol/message"
)

// clientConn is where a request came from and its answer goes, in the protocol that its client speaks. For FastCGI, whose requests
// share a connection, it is one request's part of it.
type clientConn interface {
	DisconnectWatcher
	// AppendAnswer appends an answer to b as the client reads it.
	AppendAnswer(b []byte, a message.Answer) []byte
	// AnswerBuffer is an empty buffer to compose an answer in. What was read of the request may be overwritten by it.
	AnswerBuffer() []byte
	// SendAnswer writes what AppendAnswer has composed, once for a request.
	SendAnswer(answer []byte) error
	// ClientAddress is the client's IP address.
	ClientAddress() string
}

// DisconnectWatcher reports whether the client of a request has closed or broken its connection, so that nothing is sent to a server
// on its behalf after that. Each kind of client connection is one; Config.WrapDisconnectWatcher may put another before it.
type DisconnectWatcher interface {
	// IsDisconnected looks at the connection without waiting, from any goroutine, also while WatchDisconnect is in force. It does
	// not see a close behind bytes that were not read yet.
	IsDisconnected() bool
	// IsDisconnectedBehindUnread also sees a close behind bytes that were not read yet. It must not be called while WatchDisconnect is
	// in force.
	IsDisconnectedBehindUnread() bool
	// WatchDisconnect calls onDisconnect if the client disconnects before stop is called. When stop returns, the connection is no
	// longer read and onDisconnect is not called any more.
	WatchDisconnect(onDisconnect func()) (stop func())
}

// disconnectWatcher is the watcher that the node goes by for a request.
func (s *Server) disconnectWatcher(conn clientConn) DisconnectWatcher {
	if wrap := s.cfg.WrapDisconnectWatcher; wrap != nil {
		return wrap(conn)
	}
	return conn
}

// sendAnswer composes an answer and sends it.
func sendAnswer(conn clientConn, a message.Answer) error {
	return conn.SendAnswer(conn.AppendAnswer(conn.AnswerBuffer(), a))
}
