package proxy

import (
	"fernvane/internal/protocol/message"
)

// clientConn is the client's side of one request: it identifies the client and sends the answer, in the protocol of the client. FastCGI
// requests share a connection; each of them has its own clientConn.
type clientConn interface {
	DisconnectWatcher
	// AppendAnswer appends an answer to b, encoded in the protocol of the client.
	AppendAnswer(b []byte, a message.Answer) []byte
	// AnswerBuffer returns an empty buffer for the answer. Writing to it may overwrite the request.
	AnswerBuffer() []byte
	// SendAnswer writes an answer that AppendAnswer has encoded. It is called once per request.
	SendAnswer(answer []byte) error
	// ClientAddress returns the client's IP address.
	ClientAddress() string
}

// DisconnectWatcher reports whether the client of a request has closed or reset its connection, so that no attempt is sent to a server
// after that. Each kind of client connection implements it; Config.WrapDisconnectWatcher may wrap it.
type DisconnectWatcher interface {
	// IsDisconnected checks the connection without blocking. It may be called from any goroutine, also while WatchDisconnect is in effect.
	// It does not detect a close that follows unread bytes.
	IsDisconnected() bool
	// IsDisconnectedBehindUnread also detects a close that follows unread bytes. It must not be called while WatchDisconnect is in effect.
	IsDisconnectedBehindUnread() bool
	// WatchDisconnect calls onDisconnect if the client disconnects before stop is called. After stop has returned, the connection is no
	// longer read and onDisconnect is no longer called.
	WatchDisconnect(onDisconnect func()) (stop func())
}

// disconnectWatcher returns the watcher that the node uses for a request.
func (s *Server) disconnectWatcher(conn clientConn) DisconnectWatcher {
	if wrap := s.cfg.WrapDisconnectWatcher; wrap != nil {
		return wrap(conn)
	}
	return conn
}

// sendAnswer encodes an answer and sends it.
func sendAnswer(conn clientConn, a message.Answer) error {
	return conn.SendAnswer(conn.AppendAnswer(conn.AnswerBuffer(), a))
}
