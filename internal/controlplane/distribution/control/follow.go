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
	dialMost    = time.Second
	backOffMost = 2 * time.Second        // between two tries: control processes are few, and regions that meet again are to agree within seconds
	pingAfter   = 2 * time.Second        // of an upstream's silence
	pingAnswer  = 2 * time.Second        // for it to say anything
	followLook  = 500 * time.Millisecond // between two looks at its silence
)

// follower follows one of its upstreams at a time.
type follower struct {
	server     *Server
	upstreams  []netip.AddrPort
	subscriber *distribution.Subscriber // under the server's lock
	link       *link                    // under the server's lock; nil without a connection
	fault      string                   // of the last attempt, so that it is said once
	pinged     time.Duration            // when the upstream was asked for a word; 0 if it was not
}

// attempt is a connection, or the try to make one.
type attempt struct {
	upstream netip.AddrPort
	cancel   context.CancelFunc
	done     chan error
}

// follow makes the followers that the file asks for.
func (s *Server) follow() []*follower {
	add := func(upstreams []netip.AddrPort) {
		following := distribution.SubscriberOptions{UpstreamCount: len(upstreams), JitterSeed: s.config.Name, MaxBackoff: backOffMost,
			FailbackDelay: s.config.FailbackDelay.Std()}
		s.followers = append(s.followers, &follower{server: s, upstreams: upstreams, subscriber: distribution.NewSubscriber(s.now(), following)})
	}
	switch {
	case len(s.config.UpstreamAddresses) == 0:
	case s.config.Follow == followAll:
		for _, at := range s.config.UpstreamAddresses {
			add([]netip.AddrPort{at})
		}
	default:
		add(s.config.UpstreamAddresses)
	}
	return s.followers
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	none := &attempt{cancel: func() {}}
	a := none
	probes := make(chan probe, 1) // the subscriber asks for one at a time
	for {
		do, wait := f.passed(a)
		if do.ShouldDisconnect && a != none {
			f.ended(a, <-a.done)
			a = none
		}
		if do.ShouldDial {
			a = f.dial(ctx, f.upstreams[do.Upstream])
		}
		if do.ShouldProbe {
			go func() { probes <- f.probe(ctx, do.ProbeUpstream) }()
		}
		t := time.NewTimer(min(wait, followLook))
		select {
		case <-ctx.Done():
			t.Stop()
			if a != none {
				<-a.done
			}
			return
		case err := <-a.done:
			f.server.mu.Lock()
			f.subscriber.UpstreamLost(f.server.now())
			f.server.mu.Unlock()
			f.ended(a, err)
			a = none
		case p := <-probes:
			f.server.mu.Lock()
			f.subscriber.ProbeEnded(f.server.now(), p.upstream, p.answered)
			f.server.mu.Unlock()
		case <-t.C:
			f.ping()
		}
		t.Stop()
	}
}

// passed asks the subscriber what is to be done.
func (f *follower) passed(a *attempt) (distribution.Action, time.Duration) {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	do, again := f.subscriber.Tick(now)
	if do.ShouldDisconnect {
		a.cancel()
	}
	return do, again - now
}

// ended says why a connection or an attempt has ended, unless the last one had the same end.
func (f *follower) ended(a *attempt, err error) {
	s := f.server
	s.mu.Lock()
	f.link, f.pinged = nil, 0
	s.mu.Unlock()
	why := "closed"
	if err != nil {
		why = err.Error()
	}
	if why = a.upstream.String() + " " + why; why != f.fault {
		f.fault = why
		s.log.Warn().Stringer("upstream", a.upstream).Err(err).Msg("upstream lost")
	}
}

// dial begins an attempt.
func (f *follower) dial(ctx context.Context, upstream netip.AddrPort) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{upstream: upstream, cancel: cancel, done: make(chan error, 1)}
	go func() {
		defer cancel()
		a.done <- f.connect(ctx, upstream)
	}()
	return a
}

// connect leads a connection with an upstream until it ends.
func (f *follower) connect(ctx context.Context, upstream netip.AddrPort) error {
	s := f.server
	nc, by, err := dialUpstream(ctx, upstream)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	conn, peer, err := f.greet(ctx, nc, by)
	if err != nil {
		return err
	}
	l := newLink(s, conn, peer, f)
	if !f.connected(ctx, l) {
		return ctx.Err()
	}
	return s.lives(ctx, l)
}

// dialUpstream connects to an upstream; until by the other side is to have greeted.
func dialUpstream(ctx context.Context, upstream netip.AddrPort) (nc net.Conn, by time.Time, err error) {
	by = time.Now().Add(dialMost)
	d := net.Dialer{Deadline: by, KeepAliveConfig: keepAlive}
	nc, err = d.DialContext(ctx, "tcp", upstream.String())
	return nc, by, err
}

// probe is how a look at an upstream has ended.
type probe struct {
	upstream int
	answered bool
}

// probe sees whether an upstream answers, beside the connection in hand.
func (f *follower) probe(ctx context.Context, upstream int) probe {
	nc, by, err := dialUpstream(ctx, f.upstreams[upstream])
	if err != nil {
		return probe{upstream, false}
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	_, _, err = f.greet(ctx, nc, by)
	return probe{upstream, err == nil}
}

func (f *follower) greet(ctx context.Context, nc net.Conn, by time.Time) (*framing.Conn, string, error) {
	config := f.server.config
	if config.Keys != nil {
		t := config.Keys.ClientConn(nc, config.TLSName)
		t.SetDeadline(by)
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		if err := config.Keys.ReloadError(); err != nil {
			f.server.log.Error().Err(err).Msg("keys not read again")
		}
		nc = t
	}
	conn := wire.Protocol.NewConn(nc)
	peer, err := conn.Handshake(config.Name, by)
	return conn, peer, err
}

// connected subscribes to all services, unless the attempt has been given up.
func (f *follower) connected(ctx context.Context, l *link) bool {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	f.subscriber.UpstreamConnected(s.now())
	l.heard.Store(int64(s.now()))
	f.link, f.fault = l, ""
	l.receiver = distribution.NewReceiver(s.store)
	l.put(&wire.Subscribe{Subscription: distribution.Subscription{Name: s.config.Name, Role: distribution.RoleControl, Region: s.config.Region,
		Zone: s.config.Zone, AllServices: true, Vector: s.store.Vector().Clone(), UnsyncedServices: s.store.UnsyncedServices()}})
	s.log.Info().Str("upstream", l.peer).Str("at", l.from).Msg("upstream followed")
	return true
}

// ping asks a silent upstream for a word, and leaves it if there is none.
func (f *follower) ping() {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	l := f.link
	if l == nil {
		return
	}
	now := s.now()
	heard := time.Duration(l.heard.Load())
	switch {
	case f.pinged > heard && now-f.pinged >= pingAnswer:
		l.end(errSilent)
	case f.pinged <= heard && now-heard >= pingAfter:
		f.pinged = now
		l.put(&wire.Pull{})
	}
}
