package wal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"fernvane/internal/journal/intent"
)

const scanReadBytes = 128 << 10 // at a time

// UnreadableRange is a place in a segment that cannot be read.
type UnreadableRange struct {
	Path   string
	Offset int64
	Bytes  int64
	IsTorn bool // the file ends in bytes that are no valid record: an unfinished write, or damage
}

// String describes the range.
func (u UnreadableRange) String() string {
	if u.IsTorn {
		return fmt.Sprintf("%s: %d bytes at %d are the start of a record that was not written whole", u.Path, u.Bytes, u.Offset)
	}
	return fmt.Sprintf("%s: %d bytes at %d cannot be read; records behind them were read", u.Path, u.Bytes, u.Offset)
}

// ScanReport is what was read.
type ScanReport struct {
	Segments   int
	Records    int
	Bytes      int64
	Unreadable []UnreadableRange
}

// CorruptCount counts the unreadable ranges that are no torn ends. Damage to the last record of a segment is not counted.
func (r *ScanReport) CorruptCount() (n int) {
	for _, u := range r.Unreadable {
		if !u.IsTorn {
			n++
		}
	}
	return n
}

// Scan calls each for all records of the segments that were changed since a moment, in order, in little memory. progress,
// if any, is called with the bytes that were read and those of all segments. An error of each ends the scan.
func Scan(files FileSystem, dir string, since time.Time, each func(*intent.Record) error, progress func(read, total int64)) (ScanReport, error) {
	var report ScanReport
	segments, err := ListSegments(files, dir)
	if err != nil {
		return report, err
	}
	segments = slices.DeleteFunc(segments, func(s Segment) bool { return s.ModTime.Before(since) })
	total := int64(0)
	for _, s := range segments {
		total += s.Size
	}
	for _, s := range segments {
		if err := scanSegment(files, s, &report, each, func(read int64) {
			if progress != nil {
				progress(report.Bytes+read, total)
			}
		}); err != nil {
			return report, err
		}
		report.Segments++
	}
	return report, nil
}

// scanSegment reads one segment. progress, if any, is called with the bytes of the segment that were read.
func scanSegment(files FileSystem, s Segment, report *ScanReport, each func(*intent.Record) error, progress func(read int64)) error {
	f, err := files.Open(s.Path)
	if err != nil {
		return err
	}
	defer f.Close()
	scan := segmentScan{path: s.Path, report: report, each: each, unreadableFrom: -1}
	for {
		if err := scan.decode(); err != nil {
			return err
		}
		if scan.isAtEnd {
			scan.endUnreadable(scan.offset, true)
			report.Bytes += scan.offset
			return nil
		}
		err := scan.read(f)
		if progress != nil {
			progress(scan.offset)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", s.Path, err)
		}
	}
}

// segmentScan is a segment while it is read.
type segmentScan struct {
	path           string
	report         *ScanReport
	each           func(*intent.Record) error
	record         intent.Record
	buffer         []byte // read and not decoded yet
	offset         int64  // of the buffer's first byte in the segment
	isAtEnd        bool   // the file has nothing after the buffer
	unreadableFrom int64  // where the present unreadable range begins; -1: there is none
}

// decode hands on the records in the buffer and keeps what may be the start of a further one. After bytes that cannot be
// read it looks for the next frame that can, byte by byte.
func (s *segmentScan) decode() error {
	i := 0
	for {
		s.record = intent.Record{}
		n, ok := decodeFrame(s.buffer[i:], &s.record)
		left := len(s.buffer) - i
		if n == 0 && (left == 0 || !s.isAtEnd && left < frameHeaderBytes+maxRecordBytes) {
			break // nothing is left, or more is needed to tell
		}
		if n == 0 || !ok {
			if s.unreadableFrom < 0 {
				s.unreadableFrom = s.offset + int64(i)
			}
			i++
			continue
		}
		s.endUnreadable(s.offset+int64(i), false)
		if err := s.each(&s.record); err != nil {
			return err
		}
		s.report.Records++
		i += n
	}
	s.offset += int64(i)
	s.buffer = append(s.buffer[:0], s.buffer[i:]...)
	return nil
}

// endUnreadable reports the present unreadable range, if there is one.
func (s *segmentScan) endUnreadable(end int64, isTorn bool) {
	if s.unreadableFrom < 0 {
		return
	}
	s.report.Unreadable = append(s.report.Unreadable, UnreadableRange{
		Path:   s.path,
		Offset: s.unreadableFrom,
		Bytes:  end - s.unreadableFrom,
		IsTorn: isTorn,
	})
	s.unreadableFrom = -1
}

// read reads the next bytes of the file after those in the buffer.
func (s *segmentScan) read(f io.Reader) error {
	if cap(s.buffer)-len(s.buffer) < scanReadBytes {
		s.buffer = slices.Grow(s.buffer, scanReadBytes)
	}
	n, err := f.Read(s.buffer[len(s.buffer) : len(s.buffer)+scanReadBytes])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if errors.Is(err, io.EOF) {
		s.isAtEnd = true
		return nil
	}
	return err
}
