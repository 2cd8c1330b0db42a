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
	headerBytes  = len(magic) + 2 + 4 + 4 // magic, version, length of the body, checksum
	maxBodyBytes = 16 << 20
	maxServers   = 10_000 // incarnation.Table has a limit of its own
)

// Reasons why Decode does not accept a file.
var (
	// ErrCorrupt says that the file is incomplete, damaged or no list snapshot.
	ErrCorrupt = errors.New("incomplete or damaged")
	// ErrNewerVersion says that a newer version of this program wrote the file.
	ErrNewerVersion = errors.New("written by a newer version")
)

// Encode returns the file that holds a snapshot. It fails for more than maxServers servers, but does not check maxBodyBytes,
// beyond which Decode does not accept the file.
func Encode(s *Snapshot) ([]byte, error) {
	if len(s.Servers) > maxServers {
		return nil, fmt.Errorf("%d servers: %d at most", len(s.Servers), maxServers)
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

// Decode returns the snapshot that a file holds, or an error that is ErrCorrupt or ErrNewerVersion.
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
	isNamed := make(map[string]bool, len(s.Servers))
	for _, server := range s.Servers {
		if server.ID == "" || isNamed[server.ID] {
			return nil, fmt.Errorf("%w: server %.40q is named twice, or not at all", ErrCorrupt, server.ID)
		}
		isNamed[server.ID] = true
	}
	return s, nil
}

// isIntact reports whether the length and the checksum of a file with a complete header are right.
func isIntact(b []byte) bool {
	header, body := b[:headerBytes-4], b[headerBytes:]
	length := binary.LittleEndian.Uint32(header[len(header)-4:])
	return length <= maxBodyBytes && int(length) == len(body) &&
		checksum(header, body) == binary.LittleEndian.Uint32(b[headerBytes-4:])
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is over the header before the checksum itself, and the body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, header), castagnoli, body)
}

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxServers, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()
