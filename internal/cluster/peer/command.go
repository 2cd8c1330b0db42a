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
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const (
	askMost     = 5 * time.Minute // for a node to read all that it holds
	statusMost  = 5 * time.Second
	pulledBytes = 256 << 10 // of records in one frame
	askAtOnce   = 16
)

// command answers a caller that is no node.
func (p *Node) command(ctx context.Context, c *framing.Conn) error {
	for {
		k, body, err := c.Receive(time.Now().Add(askMost))
		if err != nil {
			return err
		}
		switch k {
		case queryKind:
			var q query
			if err := framing.Decode(body, &q); err != nil {
				return c.Reject(err)
			}
			var faults []string
			if q.Verify {
				faults = p.verify(ctx)
			}
			s := p.Status()
			s.Damage = faults
			if err := c.Send(statusKind, s); err != nil {
				return err
			}
		case pullKind:
			var q pull
			if err := framing.Decode(body, &q); err != nil {
				return c.Reject(err)
			}
			if err := p.pulled(ctx, c, &q); err != nil {
				return err
			}
		default:
			return c.Reject(fmt.Errorf("a frame of kind %d from a command", k))
		}
	}
}

// Status is how the node stands.
func (p *Node) Status() *Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Status{Self: p.table.Self(), Members: p.table.Members(), IsReady: p.ready, Replicas: p.cfg.Replicas, StoredReplicas: p.keeper.StoredReplicas(), StoredBytes: p.keeper.StoredBytes(), MaxBytes: p.cfg.MaxReplicaBytes}
	if p.origin != nil {
		s.Stream, s.Next, s.Committed, s.Uncommitted, s.Holders = p.origin.Stream(), p.origin.NextNumber(), p.origin.Committed(), p.origin.UncommittedCount(), p.origin.Holders()
	}
	return s
}

// pulled sends all records that stand here.
func (p *Node) pulled(ctx context.Context, c *framing.Conn, q *pull) error {
	p.mu.Lock()
	journal := p.journal
	p.mu.Unlock()
	streams, err := p.store.Streams()
	var dirs []string
	if journal != "" {
		dirs = append(dirs, journal)
	}
	for _, s := range streams {
		dirs = append(dirs, p.store.StreamDir(s))
	}
	out := pulled{}
	send := func() error {
		err := c.Send(pulledKind, &out)
		out.Body = out.Body[:0]
		return err
	}
	mine := map[[2]uint64]bool{} // operations of the id; what settles a stream stands behind it
	for _, dir := range dirs {
		report, scanned := wal.Scan(p.files, dir, time.Unix(0, q.Since), func(r *intent.Record) error {
			if q.ID != "" && r.Kind != intent.Gap {
				op := [2]uint64{r.Incarnation, r.RequestNumber}
				if r.RequestID == q.ID || r.RepeatOf == q.ID {
					mine[op] = true
				} else if !mine[op] {
					return nil
				}
			}
			if r.Kind == intent.ChunkHeader {
				return nil
			}
			var err error
			if out.Body, err = wal.AppendFrame(out.Body, r); err != nil {
				return err
			}
			if len(out.Body) > pulledBytes {
				return send()
			}
			return ctx.Err()
		}, nil)
		if scanned != nil {
			err = errors.Join(err, scanned)
		}
		out.Corrupt += report.CorruptCount()
	}
	if out.Last = true; err != nil {
		out.Fault = err.Error()
	}
	return send()
}

// Client asks the nodes of a tier.
type Client struct {
	cfg *Config
	// Members are those that were found; Asked those that answered, by name, and Missed why the others did not.
	Members    map[string]membership.Member
	Answered   map[string]*Status
	Unanswered map[string]error
}

// Query finds the nodes of a tier, by the addresses of a file and by what those tell, and asks each how it stands.
func Query(ctx context.Context, cfg *Config, verify bool) *Client {
	t := &Client{cfg: cfg, Members: map[string]membership.Member{}, Answered: map[string]*Status{}, Unanswered: map[string]error{}}
	var mu sync.Mutex
	tried := map[string]bool{}
	next := append(slices.Clone(cfg.Peers), cfg.Advertise)
	for len(next) > 0 {
		var wg sync.WaitGroup
		room := make(chan struct{}, askAtOnce)
		for _, at := range next {
			if tried[at] {
				continue
			}
			tried[at] = true
			wg.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				s, err := status(ctx, cfg, at, verify)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Unanswered[at] = err
					return
				}
				t.Answered[s.Self.Name] = s
				for _, m := range append(s.Members, s.Self) {
					if was, ok := t.Members[m.Name]; !ok || membership.Compare(was, m) < 0 {
						t.Members[m.Name] = m
					}
				}
			})
		}
		wg.Wait()
		next = nil
		for _, m := range t.Members {
			if m.Condition != membership.Left && !tried[m.Address] {
				next = append(next, m.Address)
			}
		}
	}
	t.name()
	return t
}

// name has those that did not answer stand under their names, where these are known, and leaves out addresses of the file
// at which nobody of the tier was ever known.
func (t *Client) name() {
	missed := map[string]error{}
	for _, m := range t.Members {
		if err := t.Unanswered[m.Address]; err != nil && t.Answered[m.Name] == nil && m.Condition != membership.Left {
			missed[m.Name] = err
			delete(t.Unanswered, m.Address)
		}
	}
	for at, err := range t.Unanswered {
		missed[at] = err
	}
	t.Unanswered = missed
}

// HasEnoughAnswers tells whether those that answered hold all that was ever kept: no more are missing than may be lost.
func (t *Client) HasEnoughAnswers() bool {
	if len(t.Answered) == 0 {
		return false
	}
	machines, most := map[string]bool{}, 0
	for _, s := range t.Answered {
		most = max(most, s.Replicas)
		if !s.IsReady {
			return false
		}
	}
	for name := range t.Unanswered {
		machine := name
		if m, ok := t.Members[name]; ok {
			machine = m.Machine
		}
		machines[machine] = true
	}
	return len(machines) <= most
}

func status(ctx context.Context, cfg *Config, at string, verify bool) (*Status, error) {
	c, _, err := dial(ctx, cfg, netip.Addr{}, at, "command", membership.Member{})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.Send(queryKind, query{Verify: verify}); err != nil {
		return nil, err
	}
	by := time.Now().Add(statusMost)
	if verify {
		by = time.Now().Add(askMost)
	}
	k, body, err := c.Receive(by)
	switch {
	case err != nil:
		return nil, err
	case k == framing.RejectionKind:
		return nil, framing.RejectionError(body)
	case k != statusKind:
		return nil, fmt.Errorf("a frame of kind %d in place of an answer", k)
	}
	s := &Status{}
	return s, framing.Decode(body, s)
}

// Records has each node that answers tell all its records, or those of one operation; one is called for each, by one node
// at a time. What stands at several nodes comes several times. Who does not answer to its end counts as missed.
func (t *Client) Records(ctx context.Context, since time.Time, id string, each func(*intent.Record) error) (corrupt int, err error) {
	for name := range t.Answered {
		n, err := t.records(ctx, t.Members[name].Address, pull{Since: since.UnixNano(), ID: id}, each)
		corrupt += n
		var mine ownError
		if errors.As(err, &mine) {
			return corrupt, mine.error
		}
		if err != nil {
			t.Unanswered[name] = err
		}
	}
	for name := range t.Unanswered {
		delete(t.Answered, name)
	}
	return corrupt, nil
}

// ownError is one of the caller's, not of a node.
type ownError struct{ error }

func (t *Client) records(ctx context.Context, at string, q pull, each func(*intent.Record) error) (corrupt int, err error) {
	c, _, err := dial(ctx, t.cfg, netip.Addr{}, at, "command", membership.Member{})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.Send(pullKind, q); err != nil {
		return 0, err
	}
	for {
		k, body, err := c.Receive(time.Now().Add(askMost))
		if err != nil {
			return corrupt, err
		}
		var part pulled
		if k != pulledKind {
			return corrupt, fmt.Errorf("a frame of kind %d in place of records", k)
		}
		if err := framing.Decode(body, &part); err != nil {
			return corrupt, err
		}
		if err := wal.DecodeFrames(part.Body, func(r *intent.Record) error {
			if err := each(r); err != nil {
				return ownError{err}
			}
			return nil
		}); err != nil {
			return corrupt, err
		}
		if part.Last {
			if corrupt = part.Corrupt; part.Fault != "" {
				err = errors.New(part.Fault)
			}
			return corrupt, err
		}
	}
}

// whole finds which nodes have each stream whole, as far as any node has it. The origin's own disk counts where it answers.
func (t *Client) whole() map[replication.Stream][]string {
	all := map[replication.Stream]replication.Ranges{}
	for _, s := range t.Answered {
		for _, h := range s.StoredReplicas {
			for _, x := range h.Ranges {
				all[h.Stream] = all[h.Stream].With(x.From, x.To)
			}
		}
	}
	at := map[replication.Stream][]string{}
	for stream, whole := range all {
		for name, s := range t.Answered {
			if s.Stream == stream || slices.ContainsFunc(s.StoredReplicas, func(h replication.StoredReplica) bool {
				return h.Stream == stream && len(whole.Without(h.Ranges)) == 0
			}) {
				at[stream] = append(at[stream], name)
			}
		}
	}
	return at
}

// CopyCounts counts on how many machines each stream stands whole.
func (t *Client) CopyCounts() map[replication.Stream]int {
	counts := map[replication.Stream]int{}
	for stream, names := range t.whole() {
		machines := map[string]bool{}
		for _, name := range names {
			machines[t.Answered[name].Self.Machine] = true
		}
		counts[stream] = len(machines)
	}
	return counts
}

// SurvivesLoss tells whether a node's journal, its running life's and earlier ones', stands whole past the loss of some nodes
// with their disks. Who has only a part of it, from a time when others did not answer, does not count. It is false where
// the node does not say who holds it.
func (t *Client) SurvivesLoss(name string, lost []string) bool {
	gone := func(n string) bool { return slices.Contains(lost, n) }
	own := t.Answered[name]
	if own == nil {
		return false
	}
	if gone(name) && own.Stream.Incarnation != 0 && !slices.ContainsFunc(own.Holders, func(h replication.Holder) bool {
		return h.State == "level" && h.MissingRecords == 0 && !gone(h.Name)
	}) {
		return false
	}
	for stream, at := range t.whole() {
		if stream.Name == name && stream != own.Stream && !slices.ContainsFunc(at, func(n string) bool { return !gone(n) }) {
			return false
		}
	}
	return true
}

// Shortfall is what of the tier does not stand as often as it should, "" where all does: each stream without a life on as
// many machines as replicas and one, each living one at its holders up to what is on its way.
func (t *Client) Shortfall() string {
	copies := t.CopyCounts()
	for name, s := range t.Answered {
		if !s.IsReady {
			return name + " is still reading what it holds"
		}
		level := 0
		for _, h := range s.Holders {
			if h.State == "level" && h.MissingRecords == 0 {
				level++
			}
		}
		if s.Stream.Incarnation != 0 && level < s.Replicas {
			return fmt.Sprintf("%s is held by %d of %d others: %+v", name, level, s.Replicas, s.Holders)
		}
		for _, h := range s.StoredReplicas {
			if h.IsOrphan && copies[h.Stream] < s.Replicas+1 {
				return fmt.Sprintf("%s stands on %d of %d machines", h.Stream, copies[h.Stream], s.Replicas+1)
			}
		}
	}
	return ""
}

// HoldersOf are the nodes that have some of a node's journal, its running life's or an earlier one's, itself first.
func (t *Client) HoldersOf(name string) []string {
	all := []string{name}
	for other, s := range t.Answered {
		if slices.ContainsFunc(s.StoredReplicas, func(h replication.StoredReplica) bool { return h.Name == name }) && other != name {
			all = append(all, other)
		}
	}
	slices.Sort(all[1:])
	return all
}
