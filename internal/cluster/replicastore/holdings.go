// Package replicastore keeps replicas of other nodes' streams on disk: a folder for each stream, in it segments as a journal of
// bindings has them, so that whoever reads a journal reads a replica.
package replicastore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const (
	idleFor   = 30 * time.Second // until a stream that gets nothing is closed
	fullFor   = time.Second      // for a disk to take some of what waits for it
	fullAgain = 5 * time.Millisecond
)

// Store is a folder of replicas.
type Store struct {
	dir     string
	files   wal.FileSystem
	segment int64

	mu     sync.Mutex
	open   map[replication.Stream]*stream
	closed bool
}

type stream struct {
	ready chan struct{} // closed when log or err is there
	log   *wal.Log
	err   error
	used  time.Time
}

// Open is a store in a folder that is there.
func Open(dir string, files wal.FileSystem, segmentBytes int64) *Store {
	return &Store{dir: dir, files: files, segment: segmentBytes, open: map[replication.Stream]*stream{}}
}

// StreamDir is the folder of one stream.
func (s *Store) StreamDir(of replication.Stream) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s@%d", of.Name, of.Incarnation))
}

// Streams are those that have a folder.
func (s *Store) Streams() (all []replication.Stream, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, e := range entries {
		name, up, ok := strings.Cut(e.Name(), "@")
		n, bad := strconv.ParseInt(up, 10, 64)
		if of := (replication.Stream{Name: name, Incarnation: n}); ok && bad == nil && e.IsDir() && s.StreamDir(of) == filepath.Join(s.dir, e.Name()) {
			all = append(all, of)
		}
	}
	return all, err
}

// ReadStream reads the whole parts of a stream, with what they take on disk.
func (s *Store) ReadStream(of replication.Stream, each func(wal.Chunk) error) (wal.ScanReport, error) {
	return ReadDir(s.files, s.StreamDir(of), 0, each)
}

// errOther ends the reading of a segment of another life.
var errOther = errors.New("a segment of another life")

// ReadDir reads the whole parts in a folder of segments, of one life or, with 0, of all. A segment is one life's.
func ReadDir(files wal.FileSystem, dir string, run uint64, each func(wal.Chunk) error) (all wal.ScanReport, err error) {
	segments, err := wal.ListSegments(files, dir)
	if err != nil {
		return all, err
	}
	for _, segment := range segments {
		r, err := wal.ScanChunks(files, segment, func(p wal.Chunk) error {
			if run != 0 && p.Incarnation != run {
				return errOther
			}
			return each(p)
		})
		if errors.Is(err, errOther) {
			continue
		}
		all.Segments, all.Records, all.Bytes, all.Unreadable = all.Segments+1, all.Records+r.Records, all.Bytes+r.Bytes, append(all.Unreadable, r.Unreadable...)
		if err != nil && !errors.Is(err, os.ErrNotExist) { // one that was removed meanwhile is none
			return all, err
		}
	}
	return all, nil
}

// Append has records last; they are to be waited for.
func (s *Store) Append(of replication.Stream, records []intent.Record) (*wal.Commit, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, wal.ErrClosed
	}
	x := s.open[of]
	mine := x == nil
	if mine {
		x = &stream{ready: make(chan struct{})}
		s.open[of] = x
	}
	x.used = time.Now()
	s.mu.Unlock()
	if mine {
		x.log, x.err = s.begin(of)
		close(x.ready)
		if x.err != nil {
			s.mu.Lock()
			delete(s.open, of)
			s.mu.Unlock()
		}
	}
	if <-x.ready; x.err != nil {
		return nil, x.err
	}
	w, err := x.log.Append(true, records...)
	for by := time.Now().Add(fullFor); errors.Is(err, wal.ErrQueueFull) && time.Now().Before(by); {
		time.Sleep(fullAgain) // who sends more than the disk takes waits with it
		w, err = x.log.Append(true, records...)
	}
	return w, err
}

func (s *Store) begin(of replication.Stream) (*wal.Log, error) {
	if err := os.Mkdir(s.StreamDir(of), 0o700); err == nil {
		if err := s.files.SyncDir(s.dir); err != nil {
			return nil, err
		}
	} else if !errors.Is(err, os.ErrExist) {
		return nil, err
	}
	return wal.Open(wal.Options{Dir: s.StreamDir(of), FileSystem: s.files, Fsync: true, MaxSegmentBytes: s.segment, Incarnation: uint64(of.Incarnation), OmitGaps: true})
}

// CloseIdle closes streams that got nothing for a while; what comes later begins a segment.
func (s *Store) CloseIdle() {
	s.end(time.Now().Add(-idleFor), func(replication.Stream) bool { return true })
}

// Close ends all.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.end(time.Now(), func(replication.Stream) bool { return true })
}

func (s *Store) end(before time.Time, which func(replication.Stream) bool) {
	s.mu.Lock()
	var logs []*wal.Log
	for of, x := range s.open {
		select {
		case <-x.ready:
			if which(of) && !x.used.After(before) {
				delete(s.open, of)
				if x.log != nil {
					logs = append(logs, x.log)
				}
			}
		default:
		}
	}
	s.mu.Unlock()
	for _, l := range logs {
		l.Close()
	}
}

// Remove removes a stream.
func (s *Store) Remove(of replication.Stream) error {
	s.end(time.Now(), func(o replication.Stream) bool { return o == of })
	return os.RemoveAll(s.StreamDir(of))
}

// TrimBefore removes segments that hold nothing from a record on.
func (s *Store) TrimBefore(of replication.Stream, from uint64) error {
	segments, err := wal.ListSegments(s.files, s.StreamDir(of))
	if err != nil || len(segments) < 2 {
		return err
	}
	for _, segment := range segments[:len(segments)-1] { // the last may be written to
		needed := false
		if _, err := wal.ScanChunks(s.files, segment, func(p wal.Chunk) error {
			needed = needed || p.First+uint64(p.Count) > from
			return nil
		}); err != nil {
			return err
		}
		if needed {
			continue
		}
		if err := s.files.Remove(segment.Path); err != nil {
			return err
		}
	}
	return nil
}
