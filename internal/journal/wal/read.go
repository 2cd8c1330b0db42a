package wal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	suffix    = ".bindings"
	readBytes = 128 << 10 // at a time
)

// Segment is one file of a journal.
type Segment struct {
	Number uint64
	Path   string
	FileInfo
}

// UnreadableRange is a place that cannot be read.
type UnreadableRange struct {
	Path   string
	Offset int64
	Bytes  int64
	IsTorn bool // the end of the file: a write that was not finished
}

func (f UnreadableRange) String() string {
	if f.IsTorn {
		return fmt.Sprintf("%s: %d bytes at %d are the start of a record that was not written whole", f.Path, f.Bytes, f.Offset)
	}
	return fmt.Sprintf("%s: %d bytes at %d cannot be read; records behind them were read", f.Path, f.Bytes, f.Offset)
}

// ScanReport is what was read.
type ScanReport struct {
	Segments   int
	Records    int
	Bytes      int64
	Unreadable []UnreadableRange
}

// CorruptCount counts the faults that are no torn ends.
func (r *ScanReport) CorruptCount() (n int) {
	for _, f := range r.Unreadable {
		if !f.IsTorn {
			n++
		}
	}
	return n
}

// ListSegments are the files of a journal, in their order.
func ListSegments(files FileSystem, dir string) ([]Segment, error) {
	all, err := files.List(dir)
	if err != nil {
		return nil, err
	}
	var segments []Segment
	for _, i := range all {
		var n uint64
		if _, err := fmt.Sscanf(i.Name, "%020d"+suffix, &n); err == nil && i.Name == name(n) {
			segments = append(segments, Segment{n, filepath.Join(dir, i.Name), i})
		}
	}
	slices.SortFunc(segments, func(a, b Segment) int { return cmp.Compare(a.Number, b.Number) })
	return segments, nil
}

func name(n uint64) string { return fmt.Sprintf("%020d%s", n, suffix) }

// Scan reads all records of the segments that were changed since a moment, in order, in little memory. progress is told
// of the bytes read and in all.
func Scan(files FileSystem, dir string, since time.Time, each func(*intent.Record) error, progress func(read, all int64)) (ScanReport, error) {
	var r ScanReport
	segments, err := ListSegments(files, dir)
	if err != nil {
		return r, err
	}
	all := int64(0)
	segments = slices.DeleteFunc(segments, func(s Segment) bool { return s.ModTime.Before(since) })
	for _, s := range segments {
		all += s.Size
	}
	for _, s := range segments {
		if err := scan(files, s, &r, each, func(n int64) {
			if progress != nil {
				progress(r.Bytes+n, all)
			}
		}); err != nil {
			return r, err
		}
		r.Segments++
	}
	return r, nil
}

// scan reads one segment. Behind what cannot be read it looks for the next frame that can.
func scan(files FileSystem, s Segment, r *ScanReport, each func(*intent.Record) error, progress func(int64)) error {
	f, err := files.Open(s.Path)
	if err != nil {
		return err
	}
	defer f.Close()
	var buffer []byte
	var rec intent.Record
	at, bad := int64(0), int64(-1)
	ended := false
	fault := func(until int64, torn bool) {
		if bad >= 0 {
			r.Unreadable = append(r.Unreadable, UnreadableRange{s.Path, bad, until - bad, torn})
			bad = -1
		}
	}
	for {
		i := 0
		for {
			rec = intent.Record{}
			n, ok := readFrame(buffer[i:], &rec)
			if n == 0 && (!ended && len(buffer)-i < frameHead+recordMost || i == len(buffer)) {
				break // more is needed to tell, or nothing is left
			}
			if n > 0 && ok {
				fault(at+int64(i), false)
				if err := each(&rec); err != nil {
					return err
				}
				r.Records++
				i += n
				continue
			}
			if bad < 0 {
				bad = at + int64(i)
			}
			i++
		}
		at += int64(i)
		buffer = append(buffer[:0], buffer[i:]...)
		if ended {
			fault(at, true)
			r.Bytes += at
			return nil
		}
		if cap(buffer)-len(buffer) < readBytes {
			buffer = slices.Grow(buffer, readBytes)
		}
		n, err := f.Read(buffer[len(buffer) : len(buffer)+readBytes])
		buffer = buffer[:len(buffer)+n]
		progress(at)
		if errors.Is(err, io.EOF) {
			ended = true
		} else if err != nil {
			return fmt.Errorf("%s: %w", s.Path, err)
		}
	}
}
