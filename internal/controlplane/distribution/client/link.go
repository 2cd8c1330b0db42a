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
	dialTimeout       = time.Second      // for a connection, its TLS and its greeting
	silenceTimeout    = 25 * time.Second // without a frame; pings end a silent connection sooner
	maxQueuedMessages = 64               // that wait for a control process to take them
	pingAfter         = 2 * time.Second  // of silence
	pingTimeout       = 1500 * time.Millisecond
)

// keepAlive has the system notice within five seconds that a machine is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Why a connection is ended from here.
var (
	errQueueFull = errors.New("peer accepts no messages")
	errSilent    = errors.New("no frame from peer")
	errEnded     = errors.New("connection ended")
)

// protocolError is a violation of the protocol by the other side, which is sent it as the rejection.
type protocolError struct{ error }

// event is what the goroutines of connections hand to Run's.
type event struct {
	link        int // number
	isConnected bool
	message     wire.Message
	at          time.Time // of the message
	err         error

	isProbe  bool // a probe of an upstream has ended, which has no link
	upstream int  // of the probe
}

// link is one attempt at an upstream, and the connection that comes of it.
type link struct {
	number    int
	upstream  int // index
	cancel    context.CancelFunc
	out       chan wire.Message
	rejection chan error // why the connection ends, to be sent to the other side

	// Of Run's goroutine alone.
	receiver           *distribution.Receiver // nil until connected
	reported           distribution.Vector    // applied, as the other side knows it; nil until connected
	reportedRejections map[distribution.Key]string
	upload             upload
	lastMessage        time.Duration
	isPinged           bool
	isOverflowed       bool // a message found no room in out
	isRejected         bool
}

// startLink begins an attempt at an upstream.
func (c *Client) startLink(running context.Context, upstream int) {
	c.lastLink++
	ctx, cancel := context.WithCancel(running)
	l := &link{
		number:             c.lastLink,
		upstream:           upstream,
		cancel:             cancel,
		out:                make(chan wire.Message, maxQueuedMessages),
		rejection:          make(chan error, 1),
		reportedRejections: map[distribution.Key]string{},
		lastMessage:        c.now(),
	}
	c.link = l
	c.running.Go(func() {
		defer cancel()
		err := l.run(ctx, c.config, c.events, c.log)
		if err == nil {
			err = errEnded
		}
		notify(running, c.events, event{link: l.number, err: err}) // not ctx: also of a connection that has ended itself
	})
}

// startProbe sees whether a control process answers, beside the current connection.
func (c *Client) startProbe(running context.Context, upstream int) {
	c.running.Go(func() {
		conn, err := Dial(running, c.config, c.config.Addresses[upstream], c.config.Name)
		if errors.Is(err, errKeysNotReloaded) {
			err = nil
		}
		if conn != nil {
			conn.Close()
		}
		notify(running, c.events, event{isProbe: true, upstream: upstream, err: err})
	})
}

// notify hands over an event. It returns false if the context ended before.
func notify(ctx context.Context, events chan<- event, e event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// run connects, and reads and writes until the connection ends.
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
		l.reject(err) // the writer sends it and ends
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
		case why := <-l.rejection:
			conn.Reject(why)
			l.cancel()
			return
		case m := <-l.out:
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
		if !notify(ctx, events, event{link: l.number, message: m, at: time.Now()}) {
			return nil
		}
	}
}

// send queues a message. If the upstream takes nothing, the next acknowledgement ends the connection.
func (l *link) send(m wire.Message) {
	select {
	case l.out <- m:
	default:
		l.isOverflowed = true
	}
}

// reject sends the other side why the connection ends, and ends it.
func (l *link) reject(why error) {
	select {
	case l.rejection <- why:
	default:
	}
}

// Dial opens a connection to a control process, with its TLS and greeting. If keys could not be reloaded it returns both a good
// connection and an error; every other error comes without a connection.
func Dial(ctx context.Context, config *Config, at netip.AddrPort, name string) (*framing.Conn, error) {
	deadline := time.Now().Add(dialTimeout)
	dialer := net.Dialer{Deadline: deadline, KeepAliveConfig: keepAlive}
	connection, err := dialer.DialContext(ctx, "tcp", at.String())
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
