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
	segmentSuffix = ".bindings" // the name that deployed journals have
	// maxCreateAttempts bounds the numbers that other processes may have taken before creating a segment is an error.
	maxCreateAttempts = 100
)

// Segment is one file of a journal. Its number orders it among the others.
type Segment struct {
	Number uint64
	Path   string
	FileInfo
}

func segmentName(number uint64) string { return fmt.Sprintf("%020d%s", number, segmentSuffix) }

// ListSegments returns the files of a journal in their order. Other files in the folder are passed over.
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

// createSegment makes a segment with the next free number, which is written from then on.
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
			continue // another process's
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
	return fmt.Errorf("%s: no number is free", l.options.Dir)
}

// rotate ends the segment that is written and begins the next one.
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

// removeExpired removes segments that are too old or too many, the oldest first, never the one that is written. What
// cannot be removed now is tried again at the next rotation.
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
