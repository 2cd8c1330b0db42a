package wal

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	segmentSuffix = ".bindings" // must not change: the segments of deployed journals have this suffix
	// maxCreateAttempts limits how many consecutive numbers createSegment skips that other processes have taken.
	maxCreateAttempts = 100
)

// Segment is one file of a journal. Segments are ordered by their numbers.
type Segment struct {
	Number uint64
	Path   string
	FileInfo
}

func segmentName(number uint64) string { return fmt.Sprintf("%020d%s", number, segmentSuffix) }

// ListSegments returns the segments of a journal, ordered by number. It ignores other files in the directory.
func ListSegments(files FileSystem, dir string) ([]Segment, error) {
	all, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	var segments []Segment
	for _, f := range all {
		var number uint64
		if _, err := fmt.Sscanf(f.Name, "%020d"+segmentSuffix, &number); err == nil && f.Name == segmentName(number) {
			segments = append(segments, Segment{Number: number, Path: filepath.Join(dir, f.Name), FileInfo: f})
		}
	}
	slices.SortFunc(segments, func(a, b Segment) int { return cmp.Compare(a.Number, b.Number) })
	return segments, nil
}

// createSegment creates a segment with the next free number and makes it the active segment.
func (l *Log) createSegment() error {
	segments, err := ListSegments(l.options.FileSystem, l.options.Dir)
	if err != nil {
		return err
	}
	if n := len(segments); n > 0 {
		l.segment.number = max(l.segment.number, segments[n-1].Number)
	}
	for range maxCreateAttempts {
		l.segment.number++
		f, err := l.options.FileSystem.Create(filepath.Join(l.options.Dir, segmentName(l.segment.number)))
		if errors.Is(err, os.ErrExist) {
			continue // created by another process
		}
		if err != nil {
			return err
		}
		if l.options.Fsync {
			if err := l.options.FileSystem.SyncDir(l.options.Dir); err != nil {
				f.Close()
				return err
			}
		}
		l.segment.file = f
		l.segment.bytes = 0
		return nil
	}
	return fmt.Errorf("create segment in %s: no free segment number found", l.options.Dir)
}

// rotate closes the active segment, creates the next one and applies the retention limits. With Options.Fsync it first syncs
// the segment, which may end in records that no caller waits for.
func (l *Log) rotate() error {
	if l.options.Fsync {
		if err := l.segment.file.Sync(); err != nil {
			return err
		}
	}
	err := l.segment.file.Close()
	l.segment.file = nil
	if err != nil {
		return err
	}
	if err := l.createSegment(); err != nil {
		return err
	}
	l.removeExpired()
	return nil
}

// removeExpired removes segments that exceed the retention limits, the oldest first, but never the active segment. A failed
// removal is retried at the next rotation.
func (l *Log) removeExpired() {
	segments, err := ListSegments(l.options.FileSystem, l.options.Dir)
	if err != nil {
		return
	}
	total := int64(0)
	for _, s := range segments {
		total += s.Size
	}
	for _, s := range segments {
		isTooOld := l.options.RetentionAge > 0 && time.Since(s.ModTime) > l.options.RetentionAge
		isTooMuch := l.options.RetentionBytes > 0 && total > l.options.RetentionBytes
		if s.Number >= l.segment.number || !isTooOld && !isTooMuch {
			return
		}
		if l.options.FileSystem.Remove(s.Path) != nil {
			return
		}
		total -= s.Size
	}
}
