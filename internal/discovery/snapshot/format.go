package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	magic        = "FVLIST"
	version      = 1
	headerBytes  = len(magic) + 2 + 4 + 4 // magic bytes, version, body length, checksum
	maxBodyBytes = 16 << 20
	maxServers   = 10_000 // incarnation.Table has a separate limit
)

// Errors that Decode returns for a rejected file.
var (
	// ErrCorrupt reports that the file is truncated, damaged or not a list snapshot.
	ErrCorrupt = errors.New("incomplete or damaged")
	// ErrNewerVersion reports that a newer version of this program wrote the file.
	ErrNewerVersion = errors.New("written by a newer version")
)

// Encode returns the file contents for a snapshot. It returns an error for more than maxServers servers, but does not check
// maxBodyBytes, above which Decode rejects the file.
func Encode(s *Snapshot) ([]byte, error) {
	if len(s.Servers) > maxServers {
		return nil, fmt.Errorf("encode snapshot: %d servers exceed the limit of %d", len(s.Servers), maxServers)
	}
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), 0, version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...), nil
}

// Decode returns the snapshot encoded in a file, or an error that matches ErrCorrupt or ErrNewerVersion.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) < headerBytes || string(b[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	if v := binary.BigEndian.Uint16(b[len(magic):]); v > version {
		return nil, ErrNewerVersion
	} else if v == 0 {
		return nil, ErrCorrupt
	}
	if !isIntact(b) {
		return nil, ErrCorrupt
	}
	s := &Snapshot{}
	if err := decodeMode.Unmarshal(b[headerBytes:], s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	isSeen := make(map[string]bool, len(s.Servers))
	for _, server := range s.Servers {
		if server.ID == "" || isSeen[server.ID] {
			return nil, fmt.Errorf("%w: server ID %.40q is empty or duplicate", ErrCorrupt, server.ID)
		}
		isSeen[server.ID] = true
	}
	return s, nil
}

// isIntact reports whether the length and the checksum of a file with a complete header are correct.
func isIntact(b []byte) bool {
	header, body := b[:headerBytes-4], b[headerBytes:]
	length := binary.LittleEndian.Uint32(header[len(header)-4:])
	return length <= maxBodyBytes && int(length) == len(body) &&
		checksum(header, body) == binary.LittleEndian.Uint32(b[headerBytes-4:])
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of the body and of the header fields before the checksum.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, header), castagnoli, body)
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxServers, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()
