package client

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	dialTimeout       = time.Second             // for the connection, TLS handshake and protocol handshake
	silenceTimeout    = 25 * time.Second        // read deadline of a frame; pings detect a silent connection sooner
	maxQueuedMessages = 64                      // messages queued for a control process
	pingAfter         = 2 * time.Second         // silence before a ping
	pingTimeout       = 1500 * time.Millisecond // for any message after a ping
)

// keepAlive makes the kernel detect a lost machine within five seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Reasons for which the client closes a connection.
var (
	errQueueFull        = errors.New("outgoing queue full: control process reads no messages")
	errPingTimeout      = errors.New("no frame from control process within ping timeout")
	errConnectionClosed = errors.New("connection closed")
)

// protocolError is a protocol violation by the control process, to which it is sent as the rejection.
type protocolError struct{ error }

// event is sent from the goroutines of connections and probes to Run's goroutine.
type event struct {
	link        int // number of the link
	isConnected bool
	message     wire.Message
	receivedAt  time.Time // receipt of the message
	err         error

	isProbe  bool // end of a probe, which has no link
	upstream int  // index of the probed upstream
}

// link is one connection attempt to an upstream and the resulting connection.
type link struct {
	number    int
	upstream  int // index of the upstream
	cancel    context.CancelFunc
	outgoing  chan wire.Message
	rejection chan error // reason for closing the connection, to be sent to the control process

	// Owned by Run's goroutine.
	receiver           *distribution.Receiver // nil until connected
	reportedVector     distribution.Vector    // applied vector as reported to the control process; nil until connected
	reportedRejections map[distribution.Key]string
	upload             upload
	lastMessage        time.Duration
	isPinged           bool
	isOverflowed       bool // a message was dropped because outgoing was full
	isRejected         bool
}

// startLink starts a connection attempt to an upstream.
func (c *Client) startLink(parent context.Context, upstream int) {
	c.lastLink++
	ctx, cancel := context.WithCancel(parent)
	l := &link{
		number:             c.lastLink,
		upstream:           upstream,
		cancel:             cancel,
		outgoing:           make(chan wire.Message, maxQueuedMessages),
		rejection:          make(chan error, 1),
		reportedRejections: map[distribution.Key]string{},
		lastMessage:        c.now(),
	}
	c.link = l
	c.running.Go(func() {
		defer cancel()
		err := l.run(ctx, c.config, c.events, c.log)
		if err == nil {
			err = errConnectionClosed
		}
		notify(parent, c.events, event{link: l.number, err: err}) // not ctx, which is done when the link has cancelled itself
	})
}

// startProbe tests whether an upstream completes the handshakes on a separate connection, and sends the result as an event.
func (c *Client) startProbe(parent context.Context, upstream int) {
	c.running.Go(func() {
		conn, err := Dial(parent, c.config, c.config.Addresses[upstream], c.config.Name)
		if errors.Is(err, errKeysNotReloaded) {
			err = nil
		}
		if conn != nil {
			conn.Close()
		}
		notify(parent, c.events, event{isProbe: true, upstream: upstream, err: err})
	})
}

// notify sends an event. It returns false if the context is done first.
func notify(ctx context.Context, events chan<- event, e event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// run connects to the upstream, and reads and writes messages until the connection closes.
func (l *link) run(ctx context.Context, config *Config, events chan<- event, log zerolog.Logger) error {
	conn, err := Dial(ctx, config, config.Addresses[l.upstream], config.Name)
	if errors.Is(err, errKeysNotReloaded) {
		log.Error().Err(err).Msg("distribution: keys not reloaded")
		err = nil
	}
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if !notify(ctx, events, event{link: l.number, isConnected: true}) {
		return nil
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer conn.Close()
		l.write(ctx, conn)
	}()
	err = l.read(ctx, conn, events)
	if errors.As(err, new(*protocolError)) {
		l.reject(err) // the writer sends the rejection and returns
	} else {
		l.cancel()
	}
	<-writerDone
	return err
}

func (l *link) write(ctx context.Context, conn *framing.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case cause := <-l.rejection:
			conn.Reject(cause)
			l.cancel()
			return
		case m := <-l.outgoing:
			if err := wire.Send(conn, m); err != nil {
				return
			}
		}
	}
}

func (l *link) read(ctx context.Context, conn *framing.Conn, events chan<- event) error {
	for {
		kind, body, err := conn.Receive(time.Now().Add(silenceTimeout))
		if err != nil {
			return err
		}
		if kind == framing.RejectionKind {
			return framing.RejectionError(body)
		}
		m, err := wire.Decode(kind, body)
		if err != nil {
			return &protocolError{err}
		}
		if !notify(ctx, events, event{link: l.number, message: m, receivedAt: time.Now()}) {
			return nil
		}
	}
}

// send queues a message. If the queue is full, the next acknowledgement closes the connection.
func (l *link) send(m wire.Message) {
	select {
	case l.outgoing <- m:
	default:
		l.isOverflowed = true
	}
}

// reject schedules the rejection, after which the writer closes the connection.
func (l *link) reject(cause error) {
	select {
	case l.rejection <- cause:
	default:
	}
}

// Dial connects to a control process and completes the TLS and protocol handshakes. If changed keys fail to load, it returns both
// a usable connection and an error. For every other error the connection is nil.
func Dial(ctx context.Context, config *Config, address netip.AddrPort, name string) (*framing.Conn, error) {
	deadline := time.Now().Add(dialTimeout)
	dialer := net.Dialer{Deadline: deadline, KeepAliveConfig: keepAlive}
	connection, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	secured, reloadErr := config.secure(connection)
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	secured.SetDeadline(deadline)
	conn := wire.Protocol.NewConn(secured)
	if _, err := conn.Handshake(name, deadline); err != nil {
		connection.Close()
		return nil, err
	}
	secured.SetDeadline(time.Time{})
	return conn, reloadErr
}
