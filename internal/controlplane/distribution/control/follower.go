package control

import (
	"context"
	"net"
	"net/netip"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	dialTimeout  = time.Second            // for the TCP connection, the TLS handshake and the protocol handshake
	maxBackoff   = 2 * time.Second        // short, because control processes are few and regions must converge within seconds after a partition
	pingAfter    = 2 * time.Second        // without a frame, after which an upstream is pinged
	pingTimeout  = 2 * time.Second        // from a ping to the next frame
	pingInterval = 500 * time.Millisecond // between checks for a silent upstream
)

// follower maintains a connection to one of its upstreams at a time. The goroutine of run owns the fields that Server.mu does
// not guard.
type follower struct {
	server    *Server
	upstreams []netip.AddrPort
	lastFault string // of the last attempt, to log repeated faults once

	// Guarded by Server.mu.
	subscriber *distribution.Subscriber
	link       *link         // nil without a connection
	pingedAt   time.Duration // time of the last ping on this connection; 0 for none
}

// attempt is a connection to an upstream, or an attempt to establish one.
type attempt struct {
	upstream netip.AddrPort
	cancel   context.CancelFunc
	done     chan error // receives the cause of the end
}

// newFollowers creates the configured followers: one for all upstreams, or one for each.
func (s *Server) newFollowers() []*follower {
	if len(s.config.UpstreamAddresses) == 0 {
		return nil
	}
	if s.config.Follow == followAll {
		for _, upstream := range s.config.UpstreamAddresses {
			s.addFollower([]netip.AddrPort{upstream})
		}
	} else {
		s.addFollower(s.config.UpstreamAddresses)
	}
	return s.followers
}

func (s *Server) addFollower(upstreams []netip.AddrPort) {
	subscriber := distribution.NewSubscriber(s.now(), distribution.SubscriberOptions{
		UpstreamCount: len(upstreams),
		JitterSeed:    s.config.Name,
		MaxBackoff:    maxBackoff,
		FailbackDelay: s.config.FailbackDelay.Std(),
	})
	s.followers = append(s.followers, &follower{server: s, upstreams: upstreams, subscriber: subscriber})
}

// run maintains the connection to an upstream until the context ends.
func (f *follower) run(ctx context.Context) {
	none := &attempt{cancel: func() {}}
	current := none
	probes := make(chan probeResult, 1) // the subscriber requests one probe at a time
	for {
		action, wait := f.tick(current)
		if action.ShouldDisconnect && current != none {
			f.attemptEnded(current, <-current.done)
			current = none
		}
		if action.ShouldDial {
			current = f.startAttempt(ctx, f.upstreams[action.Upstream])
		}
		if action.ShouldProbe {
			go func() { probes <- f.probe(ctx, action.ProbeUpstream) }()
		}
		t := time.NewTimer(min(wait, pingInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			if current != none {
				<-current.done
			}
			return
		case err := <-current.done:
			f.upstreamLost()
			f.attemptEnded(current, err)
			current = none
		case p := <-probes:
			f.probeEnded(p)
		case <-t.C:
			f.pingIfSilent()
		}
		t.Stop()
	}
}

// tick returns the subscriber's next action, and cancels the current attempt if the action closes it.
func (f *follower) tick(current *attempt) (action distribution.Action, wait time.Duration) {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	action, next := f.subscriber.Tick(now)
	if action.ShouldDisconnect {
		current.cancel()
	}
	return action, next - now
}

func (f *follower) upstreamLost() {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.subscriber.UpstreamLost(f.server.now())
}

func (f *follower) probeEnded(p probeResult) {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.subscriber.ProbeEnded(f.server.now(), p.upstream, p.hasResponded)
}

// attemptEnded logs the end of a connection or an attempt, unless the previous one ended with the same upstream and cause.
func (f *follower) attemptEnded(a *attempt, err error) {
	s := f.server
	s.mu.Lock()
	f.link, f.pingedAt = nil, 0
	s.mu.Unlock()
	cause := "closed"
	if err != nil {
		cause = err.Error()
	}
	fault := a.upstream.String() + " " + cause
	if fault != f.lastFault {
		f.lastFault = fault
		s.log.Warn().Stringer("upstream", a.upstream).Err(err).Msg("upstream disconnected")
	}
}

// startAttempt starts an attempt to connect to an upstream.
func (f *follower) startAttempt(ctx context.Context, upstream netip.AddrPort) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{upstream: upstream, cancel: cancel, done: make(chan error, 1)}
	go func() {
		defer cancel()
		a.done <- f.connect(ctx, upstream)
	}()
	return a
}

// connect establishes a connection to an upstream and serves it until it ends.
func (f *follower) connect(ctx context.Context, upstream netip.AddrPort) error {
	nc, deadline, err := dialUpstream(ctx, upstream)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	conn, peer, err := f.handshake(ctx, nc, deadline)
	if err != nil {
		return err
	}
	l := newLink(f.server, conn, peer, f)
	if !f.subscribe(ctx, l) {
		return ctx.Err()
	}
	return f.server.serveLink(ctx, l)
}

// dialUpstream connects to an upstream. The handshake must complete by the returned deadline.
func dialUpstream(ctx context.Context, upstream netip.AddrPort) (nc net.Conn, deadline time.Time, err error) {
	deadline = time.Now().Add(dialTimeout)
	d := net.Dialer{Deadline: deadline, KeepAliveConfig: keepAlive}
	nc, err = d.DialContext(ctx, "tcp", upstream.String())
	return nc, deadline, err
}

// handshake performs the TLS and protocol handshakes on a connection to an upstream.
func (f *follower) handshake(ctx context.Context, nc net.Conn, deadline time.Time) (conn *framing.Conn, peer string, err error) {
	config := f.server.config
	if config.Keys != nil {
		secured := config.Keys.ClientConn(nc, config.TLSName)
		secured.SetDeadline(deadline)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		f.server.logReloadError()
		nc = secured
	}
	conn = wire.Protocol.NewConn(nc)
	peer, err = conn.Handshake(config.Name, deadline)
	return conn, peer, err
}

// probeResult is the result of the probe of an upstream.
type probeResult struct {
	upstream     int
	hasResponded bool
}

// probe tests whether an upstream completes the handshake on a separate connection.
func (f *follower) probe(ctx context.Context, upstream int) probeResult {
	nc, deadline, err := dialUpstream(ctx, f.upstreams[upstream])
	if err != nil {
		return probeResult{upstream, false}
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	_, _, err = f.handshake(ctx, nc, deadline)
	return probeResult{upstream, err == nil}
}

// subscribe subscribes to all services at an upstream. It returns false if the attempt was canceled.
func (f *follower) subscribe(ctx context.Context, l *link) bool {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	f.subscriber.UpstreamConnected(s.now())
	l.lastFrame.Store(int64(s.now()))
	f.link, f.lastFault = l, ""
	l.receiver = distribution.NewReceiver(s.store)
	l.enqueue(&wire.Subscribe{Subscription: distribution.Subscription{
		Name:             s.config.Name,
		Role:             distribution.RoleControl,
		Region:           s.config.Region,
		Zone:             s.config.Zone,
		AllServices:      true,
		Vector:           s.store.Vector().Clone(),
		UnsyncedServices: s.store.UnsyncedServices(),
	}})
	s.log.Info().Str("upstream", l.peer).Str("at", l.from).Msg("upstream connected")
	return true
}

// pingIfSilent pings a silent upstream, and closes the connection if no frame follows within pingTimeout.
func (f *follower) pingIfSilent() {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	l := f.link
	if l == nil {
		return
	}
	now := s.now()
	lastFrame := time.Duration(l.lastFrame.Load())
	switch {
	case f.pingedAt > lastFrame && now-f.pingedAt >= pingTimeout:
		l.close(errSilent)
	case f.pingedAt <= lastFrame && now-lastFrame >= pingAfter:
		f.pingedAt = now
		l.enqueue(&wire.Pull{})
	}
}
