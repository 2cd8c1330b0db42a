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
	responseTimeout = 5 * time.Second // for each message from a control process
	maxWriteBytes   = 512 << 10       // values in one write
	maxWriteChanges = 2000            // changes in one write
)

// ErrNoControlProcess reports that no control process responded.
var ErrNoControlProcess = errors.New("no control process responded")

// WriteRejectedError reports a write that a control process rejected, or accepted but failed to save to its disk.
type WriteRejectedError struct{ Reason string }

func (e *WriteRejectedError) Error() string { return "control process reported: " + e.Reason }

// Session is a command's connection to a control process. It is not safe for concurrent use.
type Session struct {
	Control string // address of the control process
	conn    *framing.Conn
	lastID  uint64 // ID of the last request
}

// Open connects to the first control process of the configuration that responds. The caller closes the session. The error wraps
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

// noControlProcess returns ErrNoControlProcess with the joined reasons on one line.
func noControlProcess(reasons error) error {
	text := ""
	if joined, ok := reasons.(interface{ Unwrap() []error }); ok {
		for _, err := range joined.Unwrap() {
			text += "; " + err.Error()
		}
	}
	return fmt.Errorf("%w%s", ErrNoControlProcess, text)
}

// Close closes the connection.
func (s *Session) Close() { s.conn.Close() }

// receive waits for the next message.
func (s *Session) receive() (wire.Message, error) {
	kind, body, err := s.conn.Receive(time.Now().Add(responseTimeout))
	if err != nil {
		return nil, err
	}
	if kind == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	return wire.Decode(kind, body)
}

// noResponse returns the error of a failed request without side effects.
func (s *Session) noResponse(err error) error {
	return fmt.Errorf("%w; %s: %v", ErrNoControlProcess, s.Control, err)
}

// outcomeUnknown returns the error of a write that may have taken effect.
func (s *Session) outcomeUnknown(err error) error {
	return fmt.Errorf("%w: write to %s: no result (%v): the change may be in effect, and a retry is safe",
		ErrNoControlProcess, s.Control, err)
}

// Write writes changes, split into as many requests as needed, and returns the last result. Each request is atomic. The error is
// a *WriteRejectedError, or wraps ErrNoControlProcess if the outcome is unknown.
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

// Status requests the status of the control process and of all nodes known to it. The error wraps ErrNoControlProcess.
func (s *Session) Status() (self distribution.NodeStatus, nodes []distribution.NodeStatus, err error) {
	s.lastID++
	if err := wire.Send(s.conn, &wire.StatusQuery{ID: s.lastID}); err != nil {
		return self, nil, s.noResponse(err)
	}
	for {
		m, err := s.receive()
		if err != nil {
			return self, nil, s.noResponse(err)
		}
		response, ok := m.(*wire.StatusAnswer)
		if !ok || response.ID != s.lastID {
			continue
		}
		self, nodes = response.Self, append(nodes, response.Nodes...)
		if response.IsLast {
			return self, nodes, nil
		}
	}
}

// Read returns all live entries of some services. After it, the only valid call on the session is Close.
func (s *Session) Read(services []string) ([]distribution.Entry, error) {
	store := distribution.NewStore("", distribution.Limits{})
	store.SetScope(services)
	subscription := distribution.Subscription{Name: "reader", Role: distribution.RoleReader, Services: services}
	if err := wire.Send(s.conn, &wire.Subscribe{Subscription: subscription}); err != nil {
		return nil, s.noResponse(err)
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

// receiveAll receives and acknowledges batches until one is complete.
func (s *Session) receiveAll(receiver *distribution.Receiver) error {
	for {
		m, err := s.receive()
		if err != nil {
			return s.noResponse(err)
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
			return s.noResponse(err)
		}
	}
}
