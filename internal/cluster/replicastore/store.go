// Package replicastore stores replicas of other nodes' journals on disk. Each stream has a folder with segments in the
// journal's format (package wal), so the same code reads journals and replicas.
//
// Package peer owns the Store and calls it from many goroutines. Package replication decides which records are stored.
package replicastore

import (
	"errors"
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
	idleTimeout       = 30 * time.Second     // until a stream without appended records is closed
	queueFullTimeout  = time.Second          // for the disk to write some of the queued records
	queueFullInterval = 5 * time.Millisecond // between two attempts to append to a full queue
)

// Store is a folder of replicas. Its methods may be called by any goroutine.
type Store struct {
	dir          string
	files        wal.FileSystem
	segmentBytes int64

	mu       sync.Mutex // never held during disk I/O
	open     map[replication.Stream]*openStream
	isClosed bool
}

// openStream is a stream that is open for appending.
type openStream struct {
	ready    chan struct{} // closed when log or err is set
	log      *wal.Log
	err      error
	lastUsed time.Time // guarded by the Store's lock
}

// Open returns a store in an existing folder.
func Open(dir string, files wal.FileSystem, segmentBytes int64) *Store {
	return &Store{dir: dir, files: files, segmentBytes: segmentBytes, open: map[replication.Stream]*openStream{}}
}

// StreamDir returns the folder of a stream.
func (s *Store) StreamDir(stream replication.Stream) string {
	return filepath.Join(s.dir, stream.String())
}

// Streams returns the streams that have a folder. It ignores other entries of the store's folder.
func (s *Store) Streams() (streams []replication.Stream, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, e := range entries {
		if stream, ok := parseStream(e.Name()); ok && e.IsDir() {
			streams = append(streams, stream)
		}
	}
	return streams, err
}

// parseStream parses the name of a stream's folder.
func parseStream(folder string) (stream replication.Stream, ok bool) {
	name, incarnation, _ := strings.Cut(folder, "@")
	n, err := strconv.ParseInt(incarnation, 10, 64)
	stream = replication.Stream{Name: name, Incarnation: n}
	return stream, err == nil && stream.String() == folder
}

// Append stores records of a stream, which include the headers of their chunks: the Store does not number records. The
// Commit reports when they are durable. If the write queue is full, Append blocks for up to queueFullTimeout and then
// fails with wal.ErrQueueFull.
func (s *Store) Append(stream replication.Stream, records []intent.Record) (*wal.Commit, error) {
	log, err := s.streamLog(stream)
	if err != nil {
		return nil, err
	}
	commit, err := log.Append(true, records...)
	for deadline := time.Now().Add(queueFullTimeout); errors.Is(err, wal.ErrQueueFull) && time.Now().Before(deadline); {
		time.Sleep(queueFullInterval)
		commit, err = log.Append(true, records...)
	}
	return commit, err
}

// streamLog returns the log of a stream. The first caller opens it, concurrent callers wait until it is open.
func (s *Store) streamLog(stream replication.Stream) (*wal.Log, error) {
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		return nil, wal.ErrClosed
	}
	o := s.open[stream]
	isFirst := o == nil
	if isFirst {
		o = &openStream{ready: make(chan struct{})}
		s.open[stream] = o
	}
	o.lastUsed = time.Now()
	s.mu.Unlock()
	if isFirst {
		o.log, o.err = s.openLog(stream)
		close(o.ready)
		if o.err != nil {
			s.mu.Lock()
			delete(s.open, stream)
			s.mu.Unlock()
		}
	}
	<-o.ready
	return o.log, o.err
}

func (s *Store) openLog(stream replication.Stream) (*wal.Log, error) {
	dir := s.StreamDir(stream)
	switch err := os.Mkdir(dir, 0o700); {
	case err == nil:
		if err := s.files.SyncDir(s.dir); err != nil {
			return nil, err
		}
	case !errors.Is(err, os.ErrExist):
		return nil, err
	}
	return wal.Open(wal.Options{
		Dir:             dir,
		FileSystem:      s.files,
		Fsync:           true,
		MaxSegmentBytes: s.segmentBytes,
		Incarnation:     uint64(stream.Incarnation),
		OmitGaps:        true,
	})
}

// CloseIdle closes streams to which nothing was appended for idleTimeout. Later records start a new segment.
func (s *Store) CloseIdle() {
	s.closeUnused(time.Now().Add(-idleTimeout), func(replication.Stream) bool { return true })
}

// Close closes all streams, except those that are being opened: such a stream stays open and stores the records of the
// Append that opens it. Later calls of Append fail with wal.ErrClosed.
func (s *Store) Close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.closeUnused(time.Now(), func(replication.Stream) bool { return true })
}

// closeUnused closes the matching streams that were not used after a time.
func (s *Store) closeUnused(since time.Time, matches func(replication.Stream) bool) {
	for _, log := range s.detachUnused(since, matches) {
		log.Close()
	}
}

func (s *Store) detachUnused(since time.Time, matches func(replication.Stream) bool) (logs []*wal.Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, o := range s.open {
		select {
		case <-o.ready:
		default:
			continue // being opened
		}
		if !matches(stream) || o.lastUsed.After(since) {
			continue
		}
		delete(s.open, stream)
		if o.log != nil {
			logs = append(logs, o.log)
		}
	}
	return logs
}

// Remove closes a stream and deletes its folder. It does not close a stream that is being opened, so the segment of
// such a stream may be deleted while it is open.
func (s *Store) Remove(stream replication.Stream) error {
	s.closeUnused(time.Now(), func(other replication.Stream) bool { return other == stream })
	return os.RemoveAll(s.StreamDir(stream))
}

// TrimBefore deletes the segments of a stream in which a scan finds no record with the number first or a later one.
// That includes segments without a readable chunk. The last segment is never deleted, because it may be open for
// writing.
func (s *Store) TrimBefore(stream replication.Stream, first uint64) error {
	segments, err := wal.ListSegments(s.files, s.StreamDir(stream))
	if err != nil || len(segments) < 2 {
		return err
	}
	for _, segment := range segments[:len(segments)-1] {
		isNeeded := false
		if _, err := wal.ScanChunks(s.files, segment, func(c wal.Chunk) error {
			isNeeded = isNeeded || c.First+uint64(c.Count) > first
			return nil
		}); err != nil {
			return err
		}
		if isNeeded {
			continue
		}
		if err := s.files.Remove(segment.Path); err != nil {
			return err
		}
	}
	return nil
}
