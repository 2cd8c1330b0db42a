// Package zookeeper is a stand-in for a ZooKeeper ensemble, written from its published wire protocol: jute records in frames. A
// Registry implements sessions with timeouts and passwords, nodes that are persistent, ephemeral or sequential, with versions, and
// watches that fire once. Its operations are create, delete, exists, getData, setData, getChildren in both versions, sync, ping,
// auth, setWatches and close; others are rejected as not implemented. It ignores ACLs and accepts any credentials. A Server is one
// address of the ensemble, which can lag behind commits and have faults.
package zookeeper

import (
	"encoding/binary"
	"errors"
	"io"
)

const maxFrameBytes = 1 << 20 // default of ZooKeeper

var errFrameTooLong = errors.New("read frame: length exceeds 1 MiB")

// reader decodes a record. After the first malformed field it returns zero values.
type reader struct {
	b           []byte
	isMalformed bool
}

func (r *reader) take(n int) []byte {
	if r.isMalformed || n < 0 || n > len(r.b) {
		r.isMalformed = true
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) int() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) long() int64 {
	if b := r.take(8); b != nil {
		return int64(binary.BigEndian.Uint64(b))
	}
	return 0
}

func (r *reader) bool() bool {
	b := r.take(1)
	return b != nil && b[0] != 0
}

func (r *reader) buffer() []byte {
	n := r.int()
	if n == -1 { // null
		return nil
	}
	return r.take(int(n))
}

func (r *reader) string() string { return string(r.buffer()) }

func (r *reader) strings() []string {
	n := r.int()
	if n < 0 || int(n) > len(r.b)/4 {
		r.isMalformed = r.isMalformed || n != -1
		return nil
	}
	all := make([]string, n)
	for i := range all {
		all[i] = r.string()
	}
	return all
}

// writer encodes a record.
type writer []byte

func (w *writer) int(v int32)  { *w = binary.BigEndian.AppendUint32(*w, uint32(v)) }
func (w *writer) long(v int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(v)) }
func (w *writer) bool(v bool) {
	if v {
		*w = append(*w, 1)
	} else {
		*w = append(*w, 0)
	}
}
func (w *writer) buffer(b []byte) {
	if b == nil {
		w.int(-1)
		return
	}
	w.int(int32(len(b)))
	*w = append(*w, b...)
}
func (w *writer) string(s string) { w.buffer([]byte(s)) }
func (w *writer) strings(all []string) {
	w.int(int32(len(all)))
	for _, s := range all {
		w.string(s)
	}
}

func (w *writer) stat(n *node) {
	w.long(n.czxid)
	w.long(n.mzxid)
	w.long(n.ctime)
	w.long(n.mtime)
	w.int(n.version)
	w.int(n.cversion)
	w.int(0)
	w.long(n.owner)
	w.int(int32(len(n.data)))
	w.int(int32(len(n.children)))
	w.long(n.pzxid)
}

func readFrame(from io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, errFrameTooLong
	}
	b := make([]byte, n)
	_, err := io.ReadFull(from, b)
	return b, err
}

func frame(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
