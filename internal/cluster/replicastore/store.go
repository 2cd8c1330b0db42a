// Package replicastore stores replicas of other nodes' journals on disk: a folder for each stream, in it segments as a
// journal has them (package wal), so that whoever reads a journal reads a replica.
//
// Package peer owns the Store and calls it from many goroutines. What the folders hold is decided by package replication.
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
	idleTimeout       = 30 * time.Second     // until a stream that gets nothing is closed
	queueFullTimeout  = time.Second          // for the disk to take some of what waits for it
	queueFullInterval = 5 * time.Millisecond // between two attempts meanwhile
)

// Store is a folder of replicas. Its methods may be called by any goroutine.
type Store struct {
	dir          string
	files        wal.FileSystem
	segmentBytes int64

	mu       sync.Mutex // never held over the disk
	open     map[replication.Stream]*openStream
	isClosed bool
}

// openStream is a stream that is written.
type openStream struct {
	ready    chan struct{} // closed when log or err is set
	log      *wal.Log
	err      error
	lastUsed time.Time // under the Store's lock
}

// Open returns the store in a folder that is there.
func Open(dir string, files wal.FileSystem, segmentBytes int64) *Store {
	return &Store{dir: dir, files: files, segmentBytes: segmentBytes, open: map[replication.Stream]*openStream{}}
}

// StreamDir is the folder of one stream.
func (s *Store) StreamDir(stream replication.Stream) string {
	return filepath.Join(s.dir, stream.String())
}

// Streams returns the streams that have a folder. Other entries of the store's folder are passed over.
func (s *Store) Streams() (streams []replication.Stream, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, e := range entries {
		if stream, ok := parseStream(e.Name()); ok && e.IsDir() {
			streams = append(streams, stream)
		}
	}
	return streams, err
}

// parseStream reads the name of a stream's folder.
func parseStream(folder string) (stream replication.Stream, ok bool) {
	name, incarnation, _ := strings.Cut(folder, "@")
	n, err := strconv.ParseInt(incarnation, 10, 64)
	stream = replication.Stream{Name: name, Incarnation: n}
	return stream, err == nil && stream.String() == folder
}

// Append stores records of a stream; the Commit reports when they are durable. Where more comes than the disk takes it
// blocks for a while, before it gives up with wal.ErrQueueFull.
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

// logOf returns the log of a stream. The first caller opens it, others wait for that.
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

// CloseIdle closes streams that got nothing for a while; later records go to a new segment.
func (s *Store) CloseIdle() {
	s.closeUnused(time.Now().Add(-idleTimeout), func(replication.Stream) bool { return true })
}

// Close closes all streams but those that are being opened: such a one stays open, and takes the records of the Append
// that opens it. Later calls of Append fail with wal.ErrClosed.
func (s *Store) Close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.closeUnused(time.Now(), func(replication.Stream) bool { return true })
}

// closeUnused closes the streams that fit and were not used since a moment.
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
			continue // it is being opened
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

// Remove removes a stream. It does not close one that is being opened: its segment may be removed under it.
func (s *Store) Remove(stream replication.Stream) error {
	s.closeUnused(time.Now(), func(other replication.Stream) bool { return other == stream })
	return os.RemoveAll(s.StreamDir(stream))
}

// TrimBefore removes the segments of a stream that hold only records before a number.
func (s *Store) TrimBefore(stream replication.Stream, first uint64) error {
	segments, err := wal.ListSegments(s.files, s.StreamDir(stream))
	if err != nil || len(segments) < 2 {
		return err
	}
	for _, segment := range segments[:len(segments)-1] { // the last may be written to
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
