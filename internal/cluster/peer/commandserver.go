package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const recordsPartBytes = 256 << 10 // of records in one frame, after which it is sent

// Status returns the state of the node as commands display it.
func (n *Node) Status() *Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &Status{
		Self:           n.table.Self(),
		Members:        n.table.Members(),
		IsReady:        n.isLoaded,
		Replicas:       n.cfg.Replicas,
		StoredReplicas: n.replicas.StoredReplicas(),
		StoredBytes:    n.replicas.StoredBytes(),
		MaxBytes:       n.cfg.MaxReplicaBytes,
	}
	if n.origin != nil {
		s.Stream = n.origin.Stream()
		s.Next = n.origin.NextNumber()
		s.Committed = n.origin.Committed()
		s.Uncommitted = n.origin.UncommittedCount()
		s.Holders = n.origin.Holders()
	}
	return s
}

// serveCommand serves the queries of a command until it disconnects.
func (n *Node) serveCommand(ctx context.Context, conn *framing.Conn) error {
	for {
		kind, body, err := conn.Receive(time.Now().Add(commandTimeout))
		if err != nil {
			return err
		}
		switch kind {
		case statusQueryKind:
			err = n.serveStatus(ctx, conn, body)
		case recordsQueryKind:
			err = n.serveRecords(ctx, conn, body)
		default:
			err = conn.Reject(fmt.Errorf("unexpected frame of kind %d from command", kind))
		}
		if err != nil {
			return err
		}
	}
}

func (n *Node) serveStatus(ctx context.Context, conn *framing.Conn, body []byte) error {
	var q statusQuery
	if err := framing.Decode(body, &q); err != nil {
		return conn.Reject(err)
	}
	var damage []string
	if q.Verify {
		damage = n.verify(ctx)
	}
	s := n.Status()
	s.Damage = damage
	return conn.Send(statusKind, s)
}

// serveRecords sends all records that this node stores and that match the query, in parts.
func (n *Node) serveRecords(ctx context.Context, conn *framing.Conn, body []byte) error {
	var q recordsQuery
	if err := framing.Decode(body, &q); err != nil {
		return conn.Reject(err)
	}
	sender := recordsSender{conn: conn, filter: requestFilter{id: q.RequestID, matched: map[intent.RequestKey]bool{}}}
	dirs, err := n.recordDirs()
	for _, dir := range dirs {
		report, scanErr := wal.Scan(n.files, dir, time.Unix(0, q.SinceUnixNano), func(r *intent.Record) error {
			return sender.add(ctx, r)
		}, nil)
		if scanErr != nil {
			err = errors.Join(err, scanErr)
		}
		sender.part.Corrupt += report.CorruptCount()
	}
	sender.part.IsLast = true
	if err != nil {
		sender.part.Failure = err.Error()
	}
	return sender.send()
}

// recordDirs returns the journal's folder and the folders of the stored replicas. If listing fails, it returns the
// folders found so far with the error. It locks mu.
func (n *Node) recordDirs() (dirs []string, err error) {
	n.mu.Lock()
	journal := n.journal
	n.mu.Unlock()
	streams, err := n.store.Streams()
	if journal != "" {
		dirs = append(dirs, journal)
	}
	for _, s := range streams {
		dirs = append(dirs, n.store.StreamDir(s))
	}
	return dirs, err
}

// recordsSender collects records and sends them in parts.
type recordsSender struct {
	conn   *framing.Conn
	filter requestFilter
	part   recordsPart
}

func (s *recordsSender) add(ctx context.Context, r *intent.Record) error {
	if !s.filter.matches(r) || r.Kind == intent.ChunkHeader {
		return nil
	}
	var err error
	if s.part.Frames, err = wal.AppendFrame(s.part.Frames, r); err != nil {
		return err
	}
	if len(s.part.Frames) > recordsPartBytes {
		return s.send()
	}
	return ctx.Err()
}

func (s *recordsSender) send() error {
	err := s.conn.Send(recordsKind, &s.part)
	s.part.Frames = s.part.Frames[:0]
	return err
}

// requestFilter selects the records of requests with an ID, and of requests that repeat one with that ID. Only the
// first records of a request contain its ID; the later ones are matched by request key. The records that reconcile a
// request are read after them, because the folder of a reconciliation stream sorts after that of its stream.
type requestFilter struct {
	id      string // "" matches all records
	matched map[intent.RequestKey]bool
}

func (f *requestFilter) matches(r *intent.Record) bool {
	if f.id == "" || r.Kind == intent.Gap {
		return true
	}
	key := r.Key()
	if r.RequestID == f.id || r.RepeatOf == f.id {
		f.matched[key] = true
	}
	return f.matched[key]
}
