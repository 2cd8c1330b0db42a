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
	dialWithin  = time.Second      // for a connection, its TLS and its greeting
	silentMost  = 25 * time.Second // without a frame; a look at the state ends a silent connection sooner
	queueMost   = 64               // messages that wait for a control process to take them
	pingAfter   = 2 * time.Second  // of silence; an empty Want is sent, and a control process that lives answers it
	pingWithin  = 1500 * time.Millisecond
	offerBudget = 16 << 10 // bytes a second to a control process that lacks what this node holds: the operators' figure

	// A machine that is gone without a word is noticed by the system within five seconds.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

var (
	errQueue = errors.New("it takes nothing")
	errEnded = errors.New("the connection has ended")
)

// protocolError is a fault of the other side, which is told of it.
type protocolError struct{ error }

// event is what a connection's goroutines tell Run's.
type event struct {
	link      int
	connected bool
	message   wire.Message
	at        time.Time
	err       error
	probed    bool // a probe of an upstream has ended, of no link
	upstream  int  // of a probe
}

// link is one attempt at an upstream and the connection that comes of it.
type link struct {
	number   int
	upstream int
	cancel   context.CancelFunc
	out      chan wire.Message
	refusal  chan error

	// of Run's goroutine
	receiver  *distribution.Receiver
	told      distribution.Vector // in force, as the other side knows it
	toldBad   map[distribution.Key]string
	publisher *distribution.Publisher // of what the other side lacks; nil until it asks
	offered   distribution.SubscriptionID
	heard     time.Duration
	pinged    bool
	overrun   bool // a message found no place
	refused   bool
}

// dial begins an attempt.
func (c *Client) dial(running context.Context, upstream int) {
	c.lastLink++
	ctx, cancel := context.WithCancel(running)
	c.link = &link{number: c.lastLink, upstream: upstream, cancel: cancel, out: make(chan wire.Message, queueMost), refusal: make(chan error, 1),
		toldBad: map[distribution.Key]string{}, heard: c.now()}
	l := c.link
	c.running.Go(func() {
		defer cancel()
		err := l.run(ctx, c.config, c.events, c.log)
		if err == nil {
			err = errEnded
		}
		tell(running, c.events, event{link: l.number, err: err}) // also of a connection that has ended itself
	})
}

// probe sees whether a control process answers, beside the connection in hand.
func (c *Client) probe(running context.Context, upstream int) {
	c.running.Go(func() {
		conn, err := Dial(running, c.config, c.config.Addresses[upstream], c.config.Name)
		if errors.Is(err, errKeys) {
			err = nil
		}
		if conn != nil {
			conn.Close()
		}
		tell(running, c.events, event{probed: true, upstream: upstream, err: err})
	})
}

// tell hands an event over, unless what it is for is over.
func tell(ctx context.Context, events chan<- event, e event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// run leads the connection until it ends.
func (l *link) run(ctx context.Context, config *Config, events chan<- event, log zerolog.Logger) error {
	conn, err := Dial(ctx, config, config.Addresses[l.upstream], config.Name)
	if errors.Is(err, errKeys) {
		log.Error().Err(err).Msg("distribution: keys")
		err = nil
	}
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if !tell(ctx, events, event{link: l.number, connected: true}) {
		return nil
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		defer conn.Close()
		l.write(ctx, conn)
	}()
	err = l.read(ctx, conn, events)
	if errors.As(err, new(*protocolError)) {
		l.refuse(err) // by the writer, which then ends
	} else {
		l.cancel()
	}
	<-writer
	return err
}

func (l *link) write(ctx context.Context, conn *framing.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case why := <-l.refusal:
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
		kind, body, err := conn.Receive(time.Now().Add(silentMost))
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
		if !tell(ctx, events, event{link: l.number, message: m, at: time.Now()}) {
			return nil
		}
	}
}

// send has a message sent. An upstream that takes nothing is noticed by the next look.
func (l *link) send(m wire.Message) {
	select {
	case l.out <- m:
	default:
		l.overrun = true
	}
}

// refuse tells the other side why the connection ends, and ends it.
func (l *link) refuse(why error) {
	select {
	case l.refusal <- why:
	default:
	}
}

// Dial opens a connection to a control process, with its TLS and greeting. An error that is errKeys comes with a
// connection that is good.
func Dial(ctx context.Context, config *Config, at netip.AddrPort, name string) (*framing.Conn, error) {
	by := time.Now().Add(dialWithin)
	dialer := net.Dialer{Deadline: by, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}}
	connection, err := dialer.DialContext(ctx, "tcp", at.String())
	if err != nil {
		return nil, err
	}
	secured, fault := config.secure(connection)
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	secured.SetDeadline(by)
	conn := wire.Protocol.NewConn(secured)
	if _, err := conn.Handshake(name, by); err != nil {
		connection.Close()
		return nil, err
	}
	secured.SetDeadline(time.Time{})
	return conn, fault
}
