package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const (
	commandTimeout       = 5 * time.Minute // for a node to read all that it stores
	statusTimeout        = 5 * time.Second
	maxConcurrentQueries = 16
	commandName          = "command" // by which commands greet nodes
)

// Client is what the nodes of a cluster have answered to a command. It belongs to the goroutine that made it.
type Client struct {
	cfg *Config
	// Members are the nodes that were found, by name.
	Members map[string]membership.Member
	// Answered are the answers of those that could be asked, by name.
	Answered map[string]*Status
	// Unanswered says why others could not be asked, by name or, where that is not known, by address.
	Unanswered map[string]error
}

// Query finds the nodes of a cluster, by the addresses of the configuration and by their members, and asks each for its
// Status. With verify each node first reads all that it stores.
func Query(ctx context.Context, cfg *Config, verify bool) *Client {
	c := &Client{
		cfg:        cfg,
		Members:    map[string]membership.Member{},
		Answered:   map[string]*Status{},
		Unanswered: map[string]error{},
	}
	asked := map[string]bool{}
	for addresses := append(slices.Clone(cfg.Peers), cfg.Advertise); len(addresses) > 0; {
		c.queryAll(ctx, addresses, asked, verify)
		addresses = nil
		for _, m := range c.Members {
			if m.Condition != membership.Left && !asked[m.Address] {
				addresses = append(addresses, m.Address)
			}
		}
	}
	c.keyUnansweredByName()
	return c
}

// queryAll asks at addresses that were not asked yet.
func (c *Client) queryAll(ctx context.Context, addresses []string, asked map[string]bool, verify bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := queryStatus(ctx, c.cfg, address, verify)
			mu.Lock()
			defer mu.Unlock()
			c.addResponse(address, s, err)
		})
	}
	wg.Wait()
}

// note takes in one node's answer.
func (c *Client) addResponse(address string, s *Status, err error) {
	if err != nil {
		c.Unanswered[address] = err
		return
	}
	c.Answered[s.Self.Name] = s
	for _, m := range append(s.Members, s.Self) {
		if previous, ok := c.Members[m.Name]; !ok || membership.Compare(previous, m) < 0 {
			c.Members[m.Name] = m
		}
	}
}

// nameUnanswered puts those that did not answer under their names, where these are known.
func (c *Client) keyUnansweredByName() {
	unanswered := map[string]error{}
	for _, m := range c.Members {
		if err := c.Unanswered[m.Address]; err != nil && c.Answered[m.Name] == nil && m.Condition != membership.Left {
			unanswered[m.Name] = err
			delete(c.Unanswered, m.Address)
		}
	}
	for address, err := range c.Unanswered {
		unanswered[address] = err
	}
	c.Unanswered = unanswered
}

func queryStatus(ctx context.Context, cfg *Config, address string, verify bool) (*Status, error) {
	conn, err := dialAsCommand(ctx, cfg, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.Send(statusQueryKind, statusQuery{Verify: verify}); err != nil {
		return nil, err
	}
	timeout := statusTimeout
	if verify {
		timeout = commandTimeout
	}
	kind, body, err := conn.Receive(time.Now().Add(timeout))
	switch {
	case err != nil:
		return nil, err
	case kind == framing.RejectionKind:
		return nil, framing.RejectionError(body)
	case kind != statusKind:
		return nil, fmt.Errorf("a frame of kind %d in place of an answer", kind)
	}
	s := &Status{}
	return s, framing.Decode(body, s)
}

func dialAsCommand(ctx context.Context, cfg *Config, address string) (*framing.Conn, error) {
	conn, _, err := dial(ctx, cfg, netip.Addr{}, address, commandName, membership.Member{})
	return conn, err
}

// Records asks each node that answered for all its records, or those of one request id; each is called for every record,
// from one goroutine. What several nodes have comes several times. A node that does not send all moves from Answered
// to Unanswered. corrupt counts the places that nodes could not read; err is an error that each has
// returned, which ends the call.
func (c *Client) Records(ctx context.Context, since time.Time, id string, each func(*intent.Record) error) (corrupt int, err error) {
	for name := range c.Answered {
		query := recordsQuery{SinceUnixNano: since.UnixNano(), RequestID: id}
		n, err := c.recordsOf(ctx, c.Members[name].Address, query, each)
		corrupt += n
		var callerErr callerError
		if errors.As(err, &callerErr) {
			return corrupt, callerErr.error
		}
		if err != nil {
			c.Unanswered[name] = err
		}
	}
	for name := range c.Unanswered {
		delete(c.Answered, name)
	}
	return corrupt, nil
}

// callerError is an error of the caller's function, not of a node.
type callerError struct{ error }

func (c *Client) recordsOf(ctx context.Context, address string, query recordsQuery, each func(*intent.Record) error) (corrupt int, err error) {
	conn, err := dialAsCommand(ctx, c.cfg, address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.Send(recordsQueryKind, query); err != nil {
		return 0, err
	}
	for {
		kind, body, err := conn.Receive(time.Now().Add(commandTimeout))
		if err != nil {
			return corrupt, err
		}
		if kind != recordsKind {
			return corrupt, fmt.Errorf("a frame of kind %d in place of records", kind)
		}
		var part recordsPart
		if err := framing.Decode(body, &part); err != nil {
			return corrupt, err
		}
		if err := wal.DecodeFrames(part.Frames, func(r *intent.Record) error {
			if err := each(r); err != nil {
				return callerError{err}
			}
			return nil
		}); err != nil {
			return corrupt, err
		}
		if !part.IsLast {
			continue
		}
		if part.Failure != "" {
			err = errors.New(part.Failure)
		}
		return part.Corrupt, err
	}
}
