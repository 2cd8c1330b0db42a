package peer

import (
	"cmp"
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
	commandTimeout       = 5 * time.Minute // allows a node to read all of its stored records
	statusTimeout        = 5 * time.Second
	maxConcurrentQueries = 16
	commandName          = "command" // name in the Hello of a command
)

// errAddressTaken is the error of a node at whose address another node responds.
var errAddressTaken = errors.New("another node responds at its address")

// Client collects the responses of a cluster's nodes to a command. It must be used by one goroutine only.
type Client struct {
	cfg *Config
	// Members contains the discovered nodes by name.
	Members map[string]membership.Member
	// Responses contains the responses by node name.
	Responses map[string]*Status
	// QueryErrors contains the error of each node that did not respond, by name or, if the name is unknown, by address.
	QueryErrors map[string]error
	// ShutDown contains the names of the nodes that have shut down gracefully. Their journals and the replicas that they store may be the only
	// copies of some records. Nodes forget them after 10 minutes, like nodes that failed.
	ShutDown []string
}

// Query discovers the nodes of a cluster from the configured addresses and the members that the nodes report, and
// requests the Status of each node. With verify each node first re-reads all of its stored records.
func Query(ctx context.Context, cfg *Config, verify bool) *Client {
	c := &Client{
		cfg:         cfg,
		Members:     map[string]membership.Member{},
		Responses:   map[string]*Status{},
		QueryErrors: map[string]error{},
	}
	queried := map[string]bool{}
	for addresses := append(slices.Clone(cfg.Peers), cfg.Advertise); len(addresses) > 0; {
		c.queryAll(ctx, addresses, queried, verify)
		addresses = nil
		for _, m := range c.Members {
			if m.Condition != membership.Left && !queried[m.Address] {
				addresses = append(addresses, m.Address)
			}
		}
	}
	c.keyQueryErrorsByName()
	return c
}

// queryAll queries the addresses that were not queried yet.
func (c *Client) queryAll(ctx context.Context, addresses []string, queried map[string]bool, verify bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, address := range addresses {
		if queried[address] {
			continue
		}
		queried[address] = true
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

// addResponse adds one node's response or error.
func (c *Client) addResponse(address string, s *Status, err error) {
	if err != nil {
		c.QueryErrors[address] = err
		return
	}
	c.Responses[s.Self.Name] = s
	for _, m := range append(s.Members, s.Self) {
		if previous, ok := c.Members[m.Name]; !ok || membership.Compare(previous, m) < 0 {
			c.Members[m.Name] = m
		}
	}
}

// keyQueryErrorsByName replaces the addresses in QueryErrors by node names where these are known. A node at whose address another node
// responds did not respond.
func (c *Client) keyQueryErrorsByName() {
	errorsByName := map[string]error{}
	for _, m := range c.Members {
		if c.Responses[m.Name] != nil {
			continue
		}
		if m.Condition == membership.Left {
			c.ShutDown = append(c.ShutDown, m.Name)
			continue
		}
		errorsByName[m.Name] = cmp.Or(c.QueryErrors[m.Address], errAddressTaken)
	}
	for name := range errorsByName {
		delete(c.QueryErrors, c.Members[name].Address)
	}
	for address, err := range c.QueryErrors {
		errorsByName[address] = err
	}
	slices.Sort(c.ShutDown)
	c.QueryErrors = errorsByName
}

func queryStatus(ctx context.Context, cfg *Config, address string, verify bool) (*Status, error) {
	conn, _, err := dialAsCommand(ctx, cfg, address)
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
		return nil, fmt.Errorf("unexpected frame of kind %d, expected status", kind)
	}
	s := &Status{}
	return s, framing.Decode(body, s)
}

// dialAsCommand connects to the node at an address and returns the connection with the name of that node.
func dialAsCommand(ctx context.Context, cfg *Config, address string) (conn *framing.Conn, name string, err error) {
	conn, remote, err := dial(ctx, cfg, netip.Addr{}, address, commandName, membership.Member{})
	return conn, remote.name, err
}

// Records requests all records, or those of one request ID, from each node in Responses, and calls each for every record
// from the calling goroutine. A record that several nodes store is passed several times. A node that does not send all
// of its records moves from Responses to QueryErrors. corrupt is the number of unreadable places that the nodes reported.
// If each returns an error, Records stops and returns it as err.
func (c *Client) Records(ctx context.Context, since time.Time, id string, each func(*intent.Record) error) (corrupt int, err error) {
	for name := range c.Responses {
		query := recordsQuery{SinceUnixNano: since.UnixNano(), RequestID: id}
		n, err := c.recordsOf(ctx, c.Members[name], query, each)
		corrupt += n
		var callerErr callerError
		if errors.As(err, &callerErr) {
			return corrupt, callerErr.error
		}
		if err != nil {
			c.QueryErrors[name] = err
		}
	}
	for name := range c.QueryErrors {
		delete(c.Responses, name)
	}
	return corrupt, nil
}

// callerError wraps an error that the caller's function returned, as opposed to an error of a node.
type callerError struct{ error }

func (c *Client) recordsOf(ctx context.Context, m membership.Member, query recordsQuery, each func(*intent.Record) error) (corrupt int, err error) {
	conn, name, err := dialAsCommand(ctx, c.cfg, m.Address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if name != m.Name { // since the node responded to Query
		return 0, errAddressTaken
	}
	if err := conn.Send(recordsQueryKind, query); err != nil {
		return 0, err
	}
	for {
		kind, body, err := conn.Receive(time.Now().Add(commandTimeout))
		if err != nil {
			return corrupt, err
		}
		if kind != recordsKind {
			return corrupt, fmt.Errorf("unexpected frame of kind %d, expected records", kind)
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
