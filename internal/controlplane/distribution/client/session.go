package client

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	answerTimeout   = 5 * time.Second // for a control process to answer a command, between two messages
	maxWriteBytes   = 512 << 10       // of values in one write
	maxWriteChanges = 2000            // in one write
)

// ErrNoControlProcess says that no control process has answered.
var ErrNoControlProcess = errors.New("no control process answers")

// WriteRejectedError is a control process's answer to a write that it did not accept, or that is not on its disk.
type WriteRejectedError struct{ Reason string }

func (e *WriteRejectedError) Error() string { return "the control process answers: " + e.Reason }

// Session is a command's connection to the first control process that answers. It is not safe for concurrent use.
type Session struct {
	Control string // its address
	conn    *framing.Conn
	lastID  uint64 // of a request
}

// Open connects to the first control process of the file that answers. The caller closes the session. The error wraps
// ErrNoControlProcess.
func Open(ctx context.Context, config *Config) (*Session, error) {
	host, _ := os.Hostname()
	name := "config/" + host + "/" + strconv.Itoa(os.Getpid()) + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	var reasons error
	for i, address := range config.Addresses {
		conn, err := Dial(ctx, config, address, name)
		if err == nil || errors.Is(err, errKeysNotReloaded) {
			return &Session{Control: config.Control[i], conn: conn}, nil
		}
		reasons = errors.Join(reasons, fmt.Errorf("%s: %w", config.Control[i], err))
	}
	return nil, noControlProcess(reasons)
}

// noControlProcess adds the reasons, which are joined, to ErrNoControlProcess.
func noControlProcess(reasons error) error {
	text := ""
	if joined, ok := reasons.(interface{ Unwrap() []error }); ok {
		for _, err := range joined.Unwrap() {
			text += "; " + err.Error()
		}
	}
	return fmt.Errorf("%w%s", ErrNoControlProcess, text)
}

// Close ends the connection.
func (s *Session) Close() { s.conn.Close() }

// receive waits for the next message.
func (s *Session) receive() (wire.Message, error) {
	kind, body, err := s.conn.Receive(time.Now().Add(answerTimeout))
	if err != nil {
		return nil, err
	}
	if kind == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	return wire.Decode(kind, body)
}

// noAnswer is the error of a request that changes nothing.
func (s *Session) noAnswer(err error) error {
	return fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
}

// outcomeUnknown is the error of a write that may have been made.
func (s *Session) outcomeUnknown(err error) error {
	return fmt.Errorf("%w: %s took the change and did not answer (%v): it may be in effect, and writing it again is safe",
		ErrNoControlProcess, s.Control, err)
}

// Write makes changes, in as many writes as they need, and returns the last result. Each write is made as a whole or not at
// all. The error is a *WriteRejectedError, or wraps ErrNoControlProcess if the outcome is not known.
func (s *Session) Write(changes []distribution.Change) (result *wire.WriteResult, err error) {
	for len(changes) > 0 {
		n, bytes := 0, 0
		for n < len(changes) && n < maxWriteChanges && (n == 0 || bytes+len(changes[n].Value) <= maxWriteBytes) {
			bytes += len(changes[n].Value)
			n++
		}
		if result, err = s.writeOnce(changes[:n]); err != nil {
			return nil, err
		}
		changes = changes[n:]
	}
	return result, nil
}

func (s *Session) writeOnce(changes []distribution.Change) (*wire.WriteResult, error) {
	s.lastID++
	if err := wire.Send(s.conn, &wire.Write{ID: s.lastID, Changes: changes}); err != nil {
		return nil, s.outcomeUnknown(err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return nil, s.outcomeUnknown(err)
		}
		result, ok := m.(*wire.WriteResult)
		if !ok || result.ID != s.lastID {
			continue
		}
		if result.Error != "" {
			return nil, &WriteRejectedError{result.Error}
		}
		return result, nil
	}
}

// Status asks for the status of the control process itself and of all nodes that it knows. The error wraps
// ErrNoControlProcess.
func (s *Session) Status() (self distribution.NodeStatus, nodes []distribution.NodeStatus, err error) {
	s.lastID++
	if err := wire.Send(s.conn, &wire.StatusQuery{ID: s.lastID}); err != nil {
		return self, nil, s.noAnswer(err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return self, nil, s.noAnswer(err)
		}
		answer, ok := m.(*wire.StatusAnswer)
		if !ok || answer.ID != s.lastID {
			continue
		}
		self, nodes = answer.Self, append(nodes, answer.Nodes...)
		if answer.IsLast {
			return self, nodes, nil
		}
	}
}

// Read reads all entries that are held of some services. The session can only be closed afterwards.
func (s *Session) Read(services []string) ([]distribution.Entry, error) {
	store := distribution.NewStore("", distribution.Limits{})
	store.SetScope(services)
	asked := distribution.Subscription{Name: "reader", Role: distribution.RoleReader, Services: services}
	if err := wire.Send(s.conn, &wire.Subscribe{Subscription: asked}); err != nil {
		return nil, s.noAnswer(err)
	}
	if err := s.receiveAll(distribution.NewReceiver(store)); err != nil {
		return nil, err
	}
	var all []distribution.Entry
	for _, name := range services {
		all = append(all, store.LiveEntries(name)...)
	}
	return all, nil
}

// receiveAll receives batches until one is complete.
func (s *Session) receiveAll(receiver *distribution.Receiver) error {
	for {
		m, err := s.receive()
		if err != nil {
			return s.noAnswer(err)
		}
		batch, ok := m.(*wire.Batch)
		if !ok {
			continue
		}
		result := receiver.ReceiveBatch(batch.Batch)
		if len(result.Rejected) > 0 {
			return fmt.Errorf("%s: %s", result.Rejected[0].Key, result.Rejected[0].Reason)
		}
		if result.IsComplete {
			return nil
		}
		acknowledge := &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: batch.Number}}
		if err := wire.Send(s.conn, acknowledge); err != nil {
			return s.noAnswer(err)
		}
	}
}
