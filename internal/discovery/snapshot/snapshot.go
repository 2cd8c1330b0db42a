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
	headerBytes  = len(magic) + 2 + 4 + 4
	maxBodyBytes = 16 << 20 // bytes
	maxServers   = 10_000
)

// Snapshot is a list of servers with what is known of its age. Times are Unix time in ms by the node's clock.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`

	Node            string // whose it is
	Deployment      string
	WrittenUnixMS   int64
	ConfirmedUnixMS int64  // when a source last told of servers, or that there is nothing new
	IsCleanShutdown bool   // written as the node ended in good order
	Revision        uint64 // of the source, for going on from there
	Servers         []Server
}

// Server is one of them.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID              string
	StartedUnixMS   int64 // when it started; 0: not told
	Condition       uint8 // as life.Condition
	Address         string
	Zone            string
	MachineKind     string
	Cell            int
	Weight          float64
	Source          uint8 // as roster.Source
	AnnouncedUnixMS int64
	ExecutedUnixMS  int64 // when it last answered this node with something that it had run; 0: never
}

// Reasons for which a file is no snapshot to go by.
var (
	ErrCorrupt      = errors.New("it is not whole")
	ErrNewerVersion = errors.New("it is of a newer version of this program")
)

// Encode writes one.
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

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is over the head before it and the body.
func checksum(head, body []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, head), castagnoli, body)
}

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxServers, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err) // options of this file
	}
	return m
}()

// Decode reads one.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) < headerBytes || string(b[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	if v := binary.BigEndian.Uint16(b[len(magic):]); v > version {
		return nil, ErrNewerVersion
	} else if v == 0 {
		return nil, ErrCorrupt
	}
	head, body := b[:headerBytes-4], b[headerBytes:]
	if n := binary.LittleEndian.Uint32(head[len(head)-4:]); n > maxBodyBytes || int(n) != len(body) ||
		checksum(head, body) != binary.LittleEndian.Uint32(b[headerBytes-4:]) {
		return nil, ErrCorrupt
	}
	s := &Snapshot{}
	if err := decodeMode.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	seen := make(map[string]bool, len(s.Servers))
	for _, one := range s.Servers {
		if one.ID == "" || seen[one.ID] {
			return nil, fmt.Errorf("%w: server %.40q is named twice, or not at all", ErrCorrupt, one.ID)
		}
		seen[one.ID] = true
	}
	return s, nil
}
