package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	greetMost  = 2 * time.Second
	dialMost   = time.Second
	silentMost = 3 * time.Second // of a connection: twelve beats
	linkMost   = 16 << 20        // bytes that wait to be sent on one connection
	ackMost    = 256             // parts that wait for the disk from one connection
)

var errCrowded = errors.New("too many connections are here: ask another node")

// link is one connection with a node.
type link struct {
	conn   *framing.Conn
	name   string
	dialed bool

	mu     sync.Mutex
	queue  []any
	bytes  int
	wake   chan struct{}
	closed bool
	used   time.Duration // when it was last wanted, if dialed; under the peers' lock
	stored chan stored
}

// stored is a part that is on its way to the disk.
type stored struct {
	batch *replication.Batch
	at    int64
	wait  *wal.Commit
	err   error
}

func newLink(conn *framing.Conn, name string, dialed bool) *link {
	return &link{conn: conn, name: name, dialed: dialed, wake: make(chan struct{}, 1), stored: make(chan stored, ackMost)}
}

// put has something sent. It waits for nothing; a peer that takes too little has ended.
func (l *link) put(what any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.bytes += size(what); l.bytes > linkMost {
		l.closed = true
		go l.conn.Close()
		return
	}
	l.queue = append(l.queue, what)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes the connection, from either side.
func (l *link) end() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.conn.Close()
}

// write sends what is put, until the connection ends.
func (l *link) write(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-l.wake:
		}
		l.mu.Lock()
		batch := l.queue
		l.queue, l.bytes = nil, 0
		l.mu.Unlock()
		for _, what := range batch {
			if l.conn.Send(kindOf(what), what) != nil {
				l.conn.Close()
				return
			}
		}
	}
}

// accept takes connections of other nodes and of commands.
func (p *Node) accept(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			p.log.Warn().Err(err).Msg("a peer is not accepted")
			select {
			case <-ctx.Done():
			case <-time.After(acceptAgain):
			}
			continue
		}
		all.Go(func() {
			defer nc.Close()
			defer context.AfterFunc(ctx, func() { nc.Close() })()
			if err := p.accepted(ctx, nc); err != nil && ctx.Err() == nil {
				p.log.Debug().Err(err).Stringer("from", nc.RemoteAddr()).Msg("peer gone")
			}
		})
	}
}

func (p *Node) accepted(ctx context.Context, nc net.Conn) error {
	by := time.Now().Add(greetMost)
	nc.SetDeadline(by)
	if p.cfg.Keys != nil {
		nc = p.cfg.Keys.ServerConn(nc)
	}
	c := protocol.NewConn(nc)
	if _, err := c.ReceiveHello(by); err != nil {
		return err
	}
	if err := c.Send(framing.HelloKind, framing.Hello{Version: version, Name: p.name}); err != nil {
		return err
	}
	k, body, err := c.Receive(by)
	if err != nil {
		return err
	}
	var who intro
	if k != introKind || framing.Decode(body, &who) != nil {
		return c.Reject(errors.New("a caller that does not say who it is"))
	}
	if who.Deployment != p.cfg.Deployment {
		return c.Reject(fmt.Errorf("this is deployment %q", p.cfg.Deployment))
	}
	if who.Member.Incarnation == 0 {
		return p.command(ctx, c)
	}
	p.mu.Lock()
	crowded := len(p.links) >= linksMost && p.links[who.Member.Name] == nil
	p.mu.Unlock()
	if crowded {
		return c.Reject(errCrowded)
	}
	if err := c.Send(introKind, intro{Deployment: p.cfg.Deployment, Member: p.self()}); err != nil {
		return err
	}
	return p.lead(ctx, newLink(c, who.Member.Name, false), who.Member)
}

// dial opens a connection to an address and says who this is.
func dial(ctx context.Context, cfg *Config, from netip.Addr, at, name string, me membership.Member) (c *framing.Conn, who intro, err error) {
	by := time.Now().Add(dialMost)
	d := net.Dialer{Deadline: by}
	if from.IsValid() && !from.IsUnspecified() { // the address by which the others know this node
		d.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	}
	nc, err := d.DialContext(ctx, "tcp", at)
	if err != nil {
		return nil, who, err
	}
	defer func() {
		if err != nil {
			nc.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	by = time.Now().Add(greetMost)
	nc.SetDeadline(by)
	wrapped := nc
	if cfg.Keys != nil {
		wrapped = cfg.Keys.ClientConn(nc, cfg.TLSName)
	}
	c = protocol.NewConn(wrapped)
	if _, err = c.Handshake(name, by); err != nil {
		return nil, who, err
	}
	if err = c.Send(introKind, intro{Deployment: cfg.Deployment, Member: me}); err != nil {
		return nil, who, err
	}
	if me.Incarnation == 0 {
		return c, who, nil
	}
	k, body, err := c.Receive(by)
	switch {
	case err != nil:
	case k == framing.RejectionKind:
		err = framing.RejectionError(body)
	case k != introKind:
		err = errors.New("a peer that does not say who it is")
	default:
		err = framing.Decode(body, &who)
	}
	return c, who, err
}

// lead is the life of a connection with a node.
func (p *Node) lead(ctx context.Context, l *link, who membership.Member) error {
	defer l.end()
	if l.name == "" || l.name == p.name && who.Incarnation == p.self().Incarnation {
		return errors.New("this node itself")
	}
	ended := make(chan struct{})
	var both sync.WaitGroup
	defer both.Wait()
	defer close(ended)
	defer close(l.stored)
	both.Go(func() { l.write(ended) })
	both.Go(func() { p.store1(l) })
	if l.name == p.name { // another life of this name: it is told, and nothing else
		p.met(l, who, nil)
		time.Sleep(greetMost / 4)
		return errors.New("another life of this name")
	}
	p.met(l, who, l)
	defer p.lost(l)
	for {
		k, body, err := l.conn.Receive(time.Now().Add(silentMost))
		if err != nil {
			return err
		}
		what, err := read(k, body)
		if err != nil {
			return err
		}
		if b, ok := what.(*replication.Batch); ok {
			if err := p.batch(l, b); err != nil {
				return err
			}
			continue
		}
		p.got(l, what)
	}
}

// batch has a part of a stream written, if it is taken.
func (p *Node) batch(l *link, b *replication.Batch) error {
	part, records, err := wal.DecodeChunks(b.Frames)
	if err != nil {
		return err
	}
	if int64(part.Incarnation) != b.Incarnation || part.First != b.First || part.Count != b.Count || !streamNames.MatchString(b.Name) {
		return fmt.Errorf("a part of %s that is another", b.Stream)
	}
	p.mu.Lock()
	now := p.now()
	p.table.HeardFrom(now, l.name)
	ok, out := p.keeper.AdmitBatch(l.name, b, part.AtUnixNano, time.Now().UnixNano())
	if !p.ready {
		ok, out = false, nil // what it holds is not known yet; it is sent again
	}
	p.send(now, out)
	p.mu.Unlock()
	if !ok {
		return nil
	}
	s := stored{batch: b, at: part.AtUnixNano}
	s.wait, s.err = p.store.Append(b.Stream, records)
	l.stored <- s
	return nil
}

// store1 answers for parts in the order in which they came, each when it lasts.
func (p *Node) store1(l *link) {
	for s := range l.stored {
		if s.err == nil {
			<-s.wait.Done()
			s.err = s.wait.Err()
		}
		ack := &replication.Ack{Stream: s.batch.Stream, First: s.batch.First, Count: s.batch.Count}
		p.mu.Lock()
		if s.err == nil {
			p.keeper.RecordsStored(ack.Stream, ack.First, ack.First+uint64(ack.Count), int64(len(s.batch.Frames)), s.at)
			if p.origin != nil && ack.Stream == p.origin.Stream() { // what was damaged here has come back
				p.origin.RecordsStored(ack.First, ack.First+uint64(ack.Count))
			}
		} else {
			ack.RejectReason = "the disk takes nothing"
		}
		p.mu.Unlock()
		if s.err != nil {
			p.log.Error().Err(s.err).Stringer("stream", ack.Stream).Msg("replica not kept")
		}
		l.put(ack)
	}
}
