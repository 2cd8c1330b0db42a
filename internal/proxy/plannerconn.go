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
	plannerDialTimeout    = time.Second            // for the connect to a planner, with the TLS and planner handshakes
	plannerSilenceTimeout = 3 * time.Second        // without a frame, until the connection to a planner is closed
	initialRedialBackoff  = 200 * time.Millisecond // doubles with each redial, with a jitter of 50 %
	maxRedialBackoff      = 3 * time.Second
)

// maintainConnection maintains a connection to planner i until ctx has ended.
func (p *plannerClient) maintainConnection(ctx context.Context, i int, address netip.AddrPort) {
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

// runConnection connects to planner i, and runs the connection until it fails. It returns the cause.
func (p *plannerClient) runConnection(ctx context.Context, i int, address netip.AddrPort) error {
	deadline := time.Now().Add(plannerDialTimeout)
	dialer := net.Dialer{Deadline: deadline}
	nc, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	defer nc.Close()
	if p.cfg.Keys != nil {
		nc = p.cfg.Keys.ClientConn(nc, p.cfg.TLSName)
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
	p.planners[i].announced, p.planners[i].plan = map[string]incarnation.Entry{}, plan.Plan{}
	p.mu.Unlock()
	p.logger.Info().Int("planner", i).Stringer("at", address).Msg("planner connected")
	ended := make(chan struct{})
	sending := errgroup.Group{}
	sending.Go(func() error { return p.sendReports(c, i, nc, ended) })
	err = p.receive(c, i)
	close(ended)
	return errors.Join(err, sending.Wait())
}

// sendReports sends queued reports until ended is closed. If a send fails, it closes the connection, so that receive returns too.
func (p *plannerClient) sendReports(c *planwire.Conn, i int, nc net.Conn, ended <-chan struct{}) error {
	for {
		select {
		case <-ended:
			return nil
		case r := <-p.planners[i].reports:
			if err := c.Send(planwire.ReportKind, r); err != nil {
				nc.Close()
				return err
			}
		}
	}
}

// receive applies the changes of planner i until the connection fails or one side rejects the other. The error texts of rejections are sent
// to the planner.
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
			return fmt.Errorf("connection rejected by planner: %.200s", r.Reason)
		case planwire.ChangeKind:
			var change plan.Change
			if err := planwire.Decode(body, &change); err != nil {
				return c.Reject(fmt.Errorf("decode plan change: %w", err))
			}
			p.applyChange(i, change)
		default:
			return c.Reject(fmt.Errorf("unexpected frame of kind %d from planner", kind))
		}
	}
}
