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
	answerWithin = 5 * time.Second // for a control process to answer a command, between two messages
	writeBytes   = 512 << 10       // of values in one write
	writeChanges = 2000            // in one write
)

// ErrNoControlProcess says that no control process has answered.
var ErrNoControlProcess = errors.New("no control process answers")

// WriteRefusedError is a control process's answer to a write that it did not take, or that is not on its disk.
type WriteRefusedError struct{ Reason string }

func (e *WriteRefusedError) Error() string { return "the control process answers: " + e.Reason }

// Session is a command's connection to the first control process that answers.
type Session struct {
	Control string // its address
	conn    *framing.Conn
	last    uint64
}

// Open connects to the first control process of the file that answers.
func Open(ctx context.Context, config *Config) (*Session, error) {
	host, _ := os.Hostname()
	name := "config/" + host + "/" + strconv.Itoa(os.Getpid()) + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	var all error
	for i, at := range config.Addresses {
		conn, err := Dial(ctx, config, at, name)
		if err == nil || errors.Is(err, errKeys) {
			return &Session{Control: config.Control[i], conn: conn}, nil
		}
		all = errors.Join(all, fmt.Errorf("%s: %w", config.Control[i], err))
	}
	return nil, nobody(all)
}

// nobody puts the reasons into one line.
func nobody(all error) error {
	text := ""
	if joined, ok := all.(interface{ Unwrap() []error }); ok {
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
	kind, body, err := s.conn.Receive(time.Now().Add(answerWithin))
	if err != nil {
		return nil, err
	}
	if kind == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	return wire.Decode(kind, body)
}

// Write makes changes, in as many writes as they need, and returns the last answer. Each write is made whole or not at all.
func (s *Session) Write(changes []distribution.Change) (written *wire.WriteResult, err error) {
	for len(changes) > 0 {
		n, size := 0, 0
		for n < len(changes) && n < writeChanges && (n == 0 || size+len(changes[n].Value) <= writeBytes) {
			size += len(changes[n].Value)
			n++
		}
		if written, err = s.write(changes[:n]); err != nil {
			return nil, err
		}
		changes = changes[n:]
	}
	return written, nil
}

func (s *Session) write(changes []distribution.Change) (*wire.WriteResult, error) {
	s.last++
	if err := wire.Send(s.conn, &wire.Write{ID: s.last, Changes: changes}); err != nil {
		return nil, s.unanswered(err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return nil, s.unanswered(err)
		}
		if answer, ok := m.(*wire.WriteResult); ok && answer.ID == s.last {
			if answer.Error != "" {
				return nil, &WriteRefusedError{answer.Error}
			}
			return answer, nil
		}
	}
}

// unanswered is a write of which nobody knows whether it was made.
func (s *Session) unanswered(err error) error {
	return fmt.Errorf("%w: %s took the change and did not answer (%v): it may hold; to write it once more does no harm", ErrNoControlProcess, s.Control, err)
}

// Status asks for the state of all nodes that are known.
func (s *Session) Status() (self distribution.NodeStatus, nodes []distribution.NodeStatus, err error) {
	s.last++
	if err := wire.Send(s.conn, &wire.StatusQuery{ID: s.last}); err != nil {
		return self, nil, fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return self, nil, fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
		}
		answer, ok := m.(*wire.StatusAnswer)
		if !ok || answer.ID != s.last {
			continue
		}
		self, nodes = answer.Self, append(nodes, answer.Nodes...)
		if answer.IsLast {
			return self, nodes, nil
		}
	}
}

// Read reads all that is held of some services, and ends what this session may be used for.
func (s *Session) Read(services []string) ([]distribution.Entry, error) {
	store := distribution.NewStore("", distribution.Limits{})
	store.SetScope(services)
	receiver := distribution.NewReceiver(store)
	asked := distribution.Subscription{Name: "reader", Role: distribution.RoleReader, Services: services}
	if err := wire.Send(s.conn, &wire.Subscribe{Subscription: asked}); err != nil {
		return nil, fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return nil, fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
		}
		batch, ok := m.(*wire.Batch)
		if !ok {
			continue
		}
		got := receiver.ReceiveBatch(batch.Batch)
		if len(got.Rejected) > 0 {
			return nil, fmt.Errorf("%s: %s", got.Rejected[0].Key, got.Rejected[0].Reason)
		}
		if got.IsComplete {
			break
		}
		if err := wire.Send(s.conn, &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: batch.Number}}); err != nil {
			return nil, fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
		}
	}
	var all []distribution.Entry
	for _, name := range services {
		all = append(all, store.LiveEntries(name)...)
	}
	return all, nil
}
