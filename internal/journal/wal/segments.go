package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func (l *Log) rotate() error {
	if l.o.Fsync {
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	err := l.file.Close()
	if l.file = nil; err != nil {
		return err
	}
	if err := l.next(); err != nil {
		return err
	}
	l.retain()
	return nil
}

// next makes a segment with the next free number.
func (l *Log) next() error {
	segments, err := ListSegments(l.o.FileSystem, l.o.Dir)
	if err != nil {
		return err
	}
	if n := len(segments); n > 0 {
		l.number = max(l.number, segments[n-1].Number)
	}
	for range numberTry {
		l.number++
		f, err := l.o.FileSystem.Create(filepath.Join(l.o.Dir, name(l.number)))
		if errors.Is(err, os.ErrExist) {
			continue // another process's
		}
		if err != nil {
			return err
		}
		if l.o.Fsync {
			if err := l.o.FileSystem.SyncDir(l.o.Dir); err != nil {
				f.Close()
				return err
			}
		}
		l.file, l.size = f, 0
		return nil
	}
	return fmt.Errorf("%s: no number is free", l.o.Dir)
}

// retain removes segments that are too old or too many, the oldest first, never the one that is written.
func (l *Log) retain() {
	segments, err := ListSegments(l.o.FileSystem, l.o.Dir)
	if err != nil {
		return
	}
	all := int64(0)
	for _, s := range segments {
		all += s.Size
	}
	for _, s := range segments {
		tooOld := l.o.RetentionAge > 0 && time.Since(s.ModTime) > l.o.RetentionAge
		if s.Number >= l.number || !tooOld && (l.o.RetentionBytes <= 0 || all <= l.o.RetentionBytes) {
			return
		}
		if l.o.FileSystem.Remove(s.Path) != nil {
			return
		}
		all -= s.Size
	}
}
