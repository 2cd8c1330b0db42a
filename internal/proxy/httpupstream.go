package proxy

import (
	"encoding/binary"
	"hash/maphash"
	"sync"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// distinctResponses is the number of successive responses that must differ from each other before an equal one counts as a copy.
const distinctResponses = 16

// httpUpstream is an HTTP connection to a server. An HTTP response does not identify its request, so a second copy of the previous
// response that arrives late is recognized by its content, if the responses of the servers differ from each other.
type httpUpstream struct {
	*http1.Conn
	history  *responseHistory
	previous uint64 // digest of the previous response; 0 if a copy of it would not be recognized
}

// ReceiveResponse implements upstreamConn. It skips second copies of the previous response.
func (c *httpUpstream) ReceiveResponse(r *message.Response) error {
	for isCopySkipped := false; ; isCopySkipped = true {
		if err := c.Conn.ReceiveResponse(r); err != nil {
			if isCopySkipped { // perhaps it was no copy
				c.history.reset()
			}
			return err
		}
		digest := responseDigest(r)
		if digest == c.previous {
			continue
		}
		c.previous = 0
		if r.Status == 200 && c.history.add(digest) {
			c.previous = digest
		}
		return nil
	}
}

// IsReusable implements upstreamConn. After a response that proves that a request never ran, the connection is not reused: refusals equal
// each other, so a second copy, however late, would be read as the proof that the next request never ran.
func (c *httpUpstream) IsReusable(r *message.Response) bool {
	return c.Conn.IsReusable(r) && !r.NotStarted()
}

// IdentifiesResponses implements dispatch.ServerConn.
func (c *httpUpstream) IdentifiesResponses() bool { return c.previous != 0 }

// responseHistory reports whether the latest responses of all servers differ from each other. It is safe for concurrent use.
// Its zero value is empty.
type responseHistory struct {
	mu     sync.Mutex
	recent [distinctResponses]uint64 // digests, in a ring
	count  int                       // responses since two were equal
}

var digestSeed = maphash.MakeSeed()

// responseDigest returns a hash of a response. It is not 0.
func responseDigest(r *message.Response) uint64 {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	writePart := func(part []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	for _, f := range r.Fields {
		writePart(f.Name)
		writePart(f.Value)
	}
	writePart(r.Body)
	return max(hash.Sum64()+uint64(r.Status), 1)
}

// add adds a response and reports whether the latest distinctResponses responses differ from each other.
func (h *responseHistory) add(digest uint64) (areDistinct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range min(h.count, distinctResponses) {
		if h.recent[i] == digest {
			h.count = 0
			break
		}
	}
	h.recent[h.count%distinctResponses] = digest
	h.count++
	return h.count >= distinctResponses
}

// reset forgets all responses.
func (h *responseHistory) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count = 0
}
