package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"fernvane/internal/journal/intent"
)

const scanReadBytes = 128 << 10 // size of one read

// UnreadableRange is a range of bytes in a segment that contains no valid record.
type UnreadableRange struct {
	Path   string
	Offset int64
	Bytes  int64
	IsTorn bool // the range is at the end of the file: an unfinished write, or damage to the last record
}

// String describes the range by file, length and offset.
func (u UnreadableRange) String() string {
	if u.IsTorn {
		return fmt.Sprintf("%s: %d bytes at offset %d: last record incomplete or damaged", u.Path, u.Bytes, u.Offset)
	}
	return fmt.Sprintf("%s: %d bytes at offset %d are damaged; later records were read", u.Path, u.Bytes, u.Offset)
}

// ScanReport contains the totals of a scan and the ranges that could not be decoded.
type ScanReport struct {
	Segments   int
	Records    int
	Bytes      int64
	Unreadable []UnreadableRange
}

// CorruptCount returns the number of unreadable ranges that are not at the end of a segment. Damage to the last record of a
// segment cannot be distinguished from an unfinished write and is not counted.
func (r *ScanReport) CorruptCount() (n int) {
	for _, u := range r.Unreadable {
		if !u.IsTorn {
			n++
		}
	}
	return n
}

// Scan calls each for every record of the segments modified since a time, in order. It reads in blocks, so its memory use
// does not depend on the size of the journal. A segment that retention removes during the scan is skipped. progress, if not nil, is called with the bytes read so far and the total
// bytes of the segments. An error from each ends the scan.
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
	}
	return report, nil
}

// scanSegment scans one segment, unless it has been removed. progress, if not nil, is called with the bytes of the segment decoded so far.
func scanSegment(files FileSystem, s Segment, report *ScanReport, each func(*intent.Record) error, progress func(read int64)) error {
	f, err := files.Open(s.Path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	report.Segments++
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
			return fmt.Errorf("read segment %s: %w", s.Path, err)
		}
	}
}

// segmentScan is the state of the scan of one segment.
type segmentScan struct {
	path           string
	report         *ScanReport
	each           func(*intent.Record) error
	record         intent.Record
	buffer         []byte // read but not decoded yet
	offset         int64  // position of the buffer's first byte in the segment
	isAtEnd        bool   // no bytes follow the buffer in the file
	unreadableFrom int64  // offset of the current unreadable range; -1: none
}

// decode calls each for the records in the buffer and retains bytes that may be the start of an incomplete frame. After
// invalid bytes it searches for the next valid frame byte by byte.
func (s *segmentScan) decode() error {
	i := 0
	for {
		s.record = intent.Record{}
		n, ok := decodeFrame(s.buffer[i:], &s.record)
		remaining := len(s.buffer) - i
		if n == 0 && (remaining == 0 || !s.isAtEnd && remaining < frameHeaderBytes+maxRecordBytes) {
			break // the buffer is empty, or may end within a frame
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

// endUnreadable adds the current unreadable range, if any, to the report.
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

// read appends the next block of the file to the buffer.
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
