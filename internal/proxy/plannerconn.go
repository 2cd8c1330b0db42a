package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const (
	plannerDialTimeout    = time.Second            // for a connection to a planner, its TLS and its handshake
	plannerSilenceTimeout = 3 * time.Second        // without a frame, until a planner's connection is ended
	initialRedialBackoff  = 200 * time.Millisecond // doubles, with a jitter of half
	maxRedialBackoff      = 3 * time.Second
)

// keepConnected keeps a connection to planner i until the node ends.
func (p *plannerClient) keepConnected(ctx context.Context, i int, address netip.AddrPort) {
	backoff := initialRedialBackoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := p.runConnection(ctx, i, address)
		if ctx.Err() != nil {
			return
		}
		if time.Since(startedAt) > plannerSilenceTimeout {
			backoff = initialRedialBackoff
		}
		p.logger.Warn().Err(err).Int("planner", i).Stringer("at", address).Msg("planner connection lost")
		timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(backoff)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// runConnection connects to planner i and returns why the connection has ended.
func (p *plannerClient) runConnection(ctx context.Context, i int, address netip.AddrPort) error {
	deadline := time.Now().Add(plannerDialTimeout)
	dialer := net.Dialer{Deadline: deadline}
	nc, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	defer nc.Close()
	if p.cfg.Keys != nil {
		nc = p.cfg.Keys.ClientConn(nc, p.cfg.Name)
		if err := p.cfg.Keys.ReloadError(); err != nil {
			p.logger.Error().Err(err).Msg("planner keys not reloaded")
		}
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := planwire.NewConn(nc)
	nc.SetDeadline(deadline)
	if _, err := c.Handshake(p.nodeName, deadline); err != nil {
		return err
	}
	p.mu.Lock()
	p.sources[i].announced, p.sources[i].plan = map[string]incarnation.Entry{}, plan.Plan{}
	p.mu.Unlock()
	p.logger.Info().Int("planner", i).Stringer("at", address).Msg("planner connected")
	ended := make(chan struct{})
	sending := errgroup.Group{}
	sending.Go(func() error { return p.sendReports(c, i, nc, ended) })
	err = p.receive(c, i)
	close(ended)
	return errors.Join(err, sending.Wait())
}

// sendReports sends queued reports until ended is closed. Where it fails it closes the connection, so that receive returns too.
func (p *plannerClient) sendReports(c *planwire.Conn, i int, nc net.Conn, ended <-chan struct{}) error {
	for {
		select {
		case <-ended:
			return nil
		case r := <-p.sources[i].reports:
			if err := c.Send(planwire.ReportKind, r); err != nil {
				nc.Close()
				return err
			}
		}
	}
}

// receive applies planner i's changes until the connection fails or either side refuses the other. The texts of refusals go to the planner.
func (p *plannerClient) receive(c *planwire.Conn, i int) error {
	for {
		kind, body, err := c.Receive(time.Now().Add(plannerSilenceTimeout))
		if err != nil {
			return err
		}
		switch kind {
		case planwire.RejectionKind:
			var r planwire.Rejection
			if err := planwire.Decode(body, &r); err != nil {
				return err
			}
			return fmt.Errorf("refused by the planner: %.200s", r.Reason)
		case planwire.ChangeKind:
			var change plan.Change
			if err := planwire.Decode(body, &change); err != nil {
				return c.Reject(fmt.Errorf("a plan that cannot be read: %w", err))
			}
			p.applyChange(i, change)
		default:
			return c.Reject(fmt.Errorf("a frame of kind %d from a planner", kind))
		}
	}
}
