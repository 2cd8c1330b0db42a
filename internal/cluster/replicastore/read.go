package replicastore

import (
	"errors"
	"os"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

// ReadStream calls each for the complete chunks of a stream, in order, and stops if each returns an error.
func (s *Store) ReadStream(stream replication.Stream, each func(wal.Chunk) error) (wal.ScanReport, error) {
	return ReadDir(s.files, s.StreamDir(stream), 0, each)
}

// errOtherIncarnation stops the scan of a segment of another incarnation.
var errOtherIncarnation = errors.New("segment of another incarnation")

// ReadDir calls each for the complete chunks in a folder of segments. It reads the segments of one incarnation, or of
// all if incarnation is 0. All chunks of a segment have the same incarnation.
func ReadDir(files wal.FileSystem, dir string, incarnation uint64, each func(wal.Chunk) error) (total wal.ScanReport, err error) {
	segments, err := wal.ListSegments(files, dir)
	if err != nil {
		return total, err
	}
	for _, segment := range segments {
		report, err := wal.ScanChunks(files, segment, func(c wal.Chunk) error {
			if incarnation != 0 && c.Incarnation != incarnation {
				return errOtherIncarnation
			}
			return each(c)
		})
		if errors.Is(err, errOtherIncarnation) {
			continue
		}
		total.Segments++
		total.Records += report.Records
		total.Bytes += report.Bytes
		total.Unreadable = append(total.Unreadable, report.Unreadable...)
		if err != nil && !errors.Is(err, os.ErrNotExist) { // a segment may be removed meanwhile
			return total, err
		}
	}
	return total, nil
}
